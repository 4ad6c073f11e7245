"""Decide which hosts callers use and which sites requests go to."""
