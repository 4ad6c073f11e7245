"""Receive the store's entries of quarantined requests."""

from typing import Protocol

from greengagepoint_node.gateway.store_types import QuarantineEntry


class QuarantineEntries(Protocol):
    """Keep the store's quarantine entries."""

    def take(self, entry: QuarantineEntry) -> None:
        """Add an entry that was written."""

    def drop(self, entry: QuarantineEntry) -> None:
        """Remove an entry that is no longer in the store."""

    def begin_era(self) -> None:
        """Forget which entries are in the store, as it was restored from a copy."""


class NoQuarantine:
    """Ignore the store's quarantine entries."""

    def take(self, entry: QuarantineEntry) -> None:
        """Ignore an entry."""

    def drop(self, entry: QuarantineEntry) -> None:
        """Ignore the removal of an entry."""

    def begin_era(self) -> None:
        """Ignore a restore."""
