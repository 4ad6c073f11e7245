"""The way of one request through this host."""
