"""The interface between the exchange with peers and the signals of servers."""

from collections.abc import Iterable
from typing import Protocol

from greengagepoint.backpressure.messages import LimitNotice


class SignalExchange(Protocol):
    """Share with peers what backend servers say in their answers."""

    def shared_limits(self) -> list[LimitNotice]:
        """Return the limits that peers may lack."""

    def take_limits(self, notices: Iterable[LimitNotice]) -> None:
        """Merge what a peer heard from servers."""


class NoSignalExchange:
    """Share nothing, for hosts without backend servers."""

    def shared_limits(self) -> list[LimitNotice]:
        """Return an empty list."""
        return []

    def take_limits(self, notices: Iterable[LimitNotice]) -> None:
        """Ignore a peer's notices."""
