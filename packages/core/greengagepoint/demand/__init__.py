"""Decide which share of a region's keys runs where, by the demand of its callers."""
