"""What the exchange of tables asks of the quarantine."""

from typing import Protocol

from greengagepoint.quarantine.messages import SharedSuspect


class SuspectNews(Protocol):
    """Know of requests that end backend servers."""

    def shared(self) -> list[SharedSuspect]:
        """Return what peers may have missed."""

    def take(self, rows: list[SharedSuspect]) -> None:
        """Take in what a peer knows."""


class NoSuspects:
    """Know of no such request."""

    def shared(self) -> list[SharedSuspect]:
        """Return nothing."""
        return []

    def take(self, rows: list[SharedSuspect]) -> None:
        """Leave what a peer knows aside."""
