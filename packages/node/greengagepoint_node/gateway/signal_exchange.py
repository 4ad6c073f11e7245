"""The interface between the exchange with peers and the signals of servers."""

from collections.abc import Sequence
from typing import Protocol

from greengagepoint.backpressure.messages import LeavingNotice, LimitNotice


class SignalExchange(Protocol):
    """Share with peers what backend servers say in their answers."""

    def shared_limits(self) -> list[LimitNotice]:
        """Return the limits that peers may lack."""

    def take_limits(self, notices: Sequence[LimitNotice]) -> None:
        """Merge what a peer heard from servers."""

    def shared_leaving(self) -> list[LeavingNotice]:
        """Return the leaving servers that peers may not know."""

    def take_leaving(self, notices: Sequence[LeavingNotice]) -> None:
        """Merge the leaving servers that a peer knows."""


class NoSignalExchange:
    """Share nothing, for hosts without backend servers."""

    def shared_limits(self) -> list[LimitNotice]:
        """Return an empty list."""
        return []

    def take_limits(self, notices: Sequence[LimitNotice]) -> None:
        """Ignore a peer's notices."""

    def shared_leaving(self) -> list[LeavingNotice]:
        """Return an empty list."""
        return []

    def take_leaving(self, notices: Sequence[LeavingNotice]) -> None:
        """Ignore a peer's notices."""
