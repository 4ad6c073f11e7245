"""The way of a request by host and path prefix, where a platform names the servers."""
