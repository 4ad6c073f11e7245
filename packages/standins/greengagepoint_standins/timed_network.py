"""Carry messages between hosts of one process with drawn delays, losses and doubles."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from greengagepoint.events import Event


class TimedNetwork:
    """Deliver each message after the delays that are drawn for it.

    No delay loses the message, two deliver it twice.
    """

    def __init__(self, next_delays: Callable[[], Sequence[float]]) -> None:
        self.next_delays = next_delays
        self.callbacks: dict[tuple[str, type], Callable[[str, Any], None]] = {}
        self.sent = 0

    def send(self, sender: str, host: str, message: object) -> bool:
        """Plan the delivery of a message."""
        self.sent += 1
        for delay in self.next_delays():
            asyncio.get_running_loop().call_later(
                delay, self.deliver, sender, host, message
            )
        return True

    def deliver(self, sender: str, host: str, message: object) -> None:
        """Deliver a message now."""
        callback = self.callbacks.get((host, type(message)))
        if callback is not None:
            callback(sender, message)


class TimedBus(NamedTuple):
    """One host's end of the network."""

    network: TimedNetwork
    name: str

    def send(self, host: str, message: object) -> bool:
        """Send a message to a host."""
        return self.network.send(self.name, host, message)

    def subscribe(
        self, message_type: type, callback: Callable[[str, Any], None]
    ) -> Callable[[], None]:
        """Register a callback; return how to take it back."""
        entry = (self.name, message_type)
        self.network.callbacks[entry] = callback
        return lambda: self.network.callbacks.pop(entry, None) and None


class EventList(list[Event]):
    """Keep the numbers of events."""

    def record(self, event: Event, **fields: Any) -> None:
        """Keep one event's number."""
        self.append(event)
