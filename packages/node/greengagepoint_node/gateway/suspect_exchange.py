"""The interface between the exchange with peers and the quarantine."""

from typing import Protocol

from greengagepoint.quarantine.messages import SharedSuspect


class SuspectExchange(Protocol):
    """Share requests that crash backend servers with peers."""

    def shared(self) -> list[SharedSuspect]:
        """Return suspects that peers may lack."""

    def take(self, rows: list[SharedSuspect]) -> None:
        """Merge a peer's suspects."""


class NoSuspectExchange:
    """Share no suspects, for hosts without a quarantine."""

    def shared(self) -> list[SharedSuspect]:
        """Return an empty list."""
        return []

    def take(self, rows: list[SharedSuspect]) -> None:
        """Ignore a peer's suspects."""
