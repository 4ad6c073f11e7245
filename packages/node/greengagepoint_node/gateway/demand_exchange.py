"""Exchange demand figures with peers."""

from typing import Final, Protocol

from greengagepoint.demand.regional import RegionalDemand
from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip_messages import Message

# Hosts are replaced daily; a line for each of the newest ones is enough.
LOGGED_SENDERS_MAX: Final = 1_000


class DemandExchange(Protocol):
    """Share demand figures with peers."""

    def fill(self, message: Message, region: str | None) -> None:
        """Add the figures for a peer in a region, None if that is unknown."""

    def take(self, message: Message) -> None:
        """Merge the figures of a peer."""


class NoDemandExchange:
    """Share nothing, for hosts without backend servers."""

    def fill(self, message: Message, region: str | None) -> None:
        """Leave the message as it is."""

    def take(self, message: Message) -> None:
        """Ignore the figures of a peer."""


class RegionalDemandExchange:
    """Share the figures of regional demand while the mode is on."""

    def __init__(self, demand: RegionalDemand, clock: Clock, events: EventSink) -> None:
        self.demand = demand
        self.clock = clock
        self.events = events
        self.logged_senders: set[str] = set()

    def fill(self, message: Message, region: str | None) -> None:
        """Add the figures of regions, and those of hosts for a peer of this region."""
        if not self.demand.is_on:
            return
        now = self.clock.monotonic()
        message.region_demands = self.demand.table.recent_regions(now)
        if region == self.demand.home:
            message.host_demands = self.demand.table.recent_hosts(now)

    def take(self, message: Message) -> None:
        """Merge the figures of a peer; log those that are ignored, once per sender."""
        if not self.demand.is_on or not message.hosts:
            return
        now = self.clock.monotonic()
        table = self.demand.table
        sender = message.hosts[0].entry
        ignored_before = dict(table.ignored)
        if sender.region == self.demand.home:
            table.take_hosts(message.host_demands, now)
        table.take_regions(message.region_demands, now)
        if table.ignored != ignored_before:
            self._log_ignored(sender.name, ignored_before)

    def _log_ignored(self, sender: str, before: dict[tuple[str], int]) -> None:
        """Log which figures of a sender were ignored."""
        reasons = {
            reason: count - before.get((reason,), 0)
            for (reason,), count in self.demand.table.ignored.items()
            if count > before.get((reason,), 0) and reason != "unknown_service"
        }
        if not reasons or sender in self.logged_senders:
            return
        if len(self.logged_senders) >= LOGGED_SENDERS_MAX:
            self.logged_senders.clear()
        self.logged_senders.add(sender)
        self.events.record(Event.DEMAND_FIGURE_INVALID, sender=sender, ignored=reasons)
