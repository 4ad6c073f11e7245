"""Decisions of a global traffic steering system, without I/O."""
