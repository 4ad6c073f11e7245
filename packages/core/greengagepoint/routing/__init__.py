"""Routes by host and path prefix, and the destinations that they name."""
