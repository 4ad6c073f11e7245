"""Estimate how long drains take, and stop a host without cutting requests off."""
