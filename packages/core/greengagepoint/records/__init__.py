"""Steering records: what operators write."""
