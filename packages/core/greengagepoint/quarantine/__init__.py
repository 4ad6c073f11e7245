"""Requests that end the backend servers that run them."""
