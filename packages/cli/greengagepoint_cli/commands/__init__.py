"""The commands of the client."""
