"""Measurements; each module compares with the simplest way in the same run."""
