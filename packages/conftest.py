"""Settings shared by the tests of all packages."""

from hypothesis import HealthCheck, settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]

# The same examples on each run, so that the verdict never changes by itself.
settings.register_profile(
    "repeatable",
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")
