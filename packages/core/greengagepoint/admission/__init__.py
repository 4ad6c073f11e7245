"""Decide which requests are served when a service lacks capacity."""
