"""Decide which backend server of a site takes a request."""
