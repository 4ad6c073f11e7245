"""Who hears of the store's entries of suspected requests."""

from typing import Protocol

from greengagepoint_node.gateway.facts import QuarantineEntry


class QuarantineEntries(Protocol):
    """Keep the store's entries."""

    def take(self, entry: QuarantineEntry) -> None:
        """Take in an entry that was written."""

    def drop(self, entry: QuarantineEntry) -> None:
        """Take in that an entry is there no more."""


class NoQuarantine:
    """Leave the store's entries aside."""

    def take(self, entry: QuarantineEntry) -> None:
        """Ignore an entry."""

    def drop(self, entry: QuarantineEntry) -> None:
        """Ignore that an entry is gone."""
