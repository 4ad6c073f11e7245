"""Build the messages that this host sends to its peers."""

import math
from collections.abc import Callable

from greengagepoint.admission.pressure import ServicePressure
from greengagepoint.placing.busy_servers import BusyServers
from greengagepoint.placing.region_loads import RegionLoads
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.gossip_messages import (
    HostState,
    Message,
    heartbeat_of,
)
from greengagepoint_node.gateway.host_table import (
    ADDRESSES_SECONDS,
    HeardHost,
    HostTable,
)
from greengagepoint_node.gateway.news_ages import ViewFreshnessTracker
from greengagepoint_node.gateway.packing import ItemPacker
from greengagepoint_node.gateway.store_types import (
    Changes,
    RemovedKey,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.view import FleetView


class MessageWriter:
    """Build messages from the view, the host table and the loads of the servers."""

    def __init__(
        self,
        own: HostState,
        view: FleetView,
        table: HostTable,
        ages: ViewFreshnessTracker,
        clock: Clock,
        link_is_full: Callable[[], bool],
    ) -> None:
        self.own = own
        self.view = view
        self.table = table
        self.ages = ages
        self.clock = clock
        self.link_is_full = link_is_full
        self.packer = ItemPacker()
        self.loads = RegionLoads(own.entry.region)
        self.busy_servers = BusyServers()
        self.recent_pressures: Callable[[], list[ServicePressure]] = list

    def create_message(
        self, revision: int, peers: list[HeardHost], *, full: bool = False
    ) -> Message:
        """Return a message with what a peer at a revision lacks and states of hosts.

        Addresses that the peer should have already are left out, unless ``full``.
        """
        now = self.clock.monotonic()
        new_since = now - ADDRESSES_SECONDS
        in_full: list[HeardHost] = []
        as_heartbeats: list[HeardHost] = []
        for row in peers:
            chosen = (
                in_full if full or row.first_heard_at >= new_since else as_heartbeats
            )
            chosen.append(row)
        missing: Changes | Snapshot = Changes((), self.view.revision)
        if revision < self.view.revision:
            missing = self.view.changes_after(revision)
        whole = isinstance(missing, Snapshot)
        rows = missing.items if whole else missing.changes
        age = now - self.ages.complete_at()
        unconfirmed = self.view.unconfirmed_removals(now)
        return Message(
            revision=self.view.revision,
            after=min(revision, self.view.revision),
            age=age if math.isfinite(age) else None,
            hosts=[self.own, *(row.state for row in in_full)],
            heartbeats=[heartbeat_of(row.state) for row in as_heartbeats],
            wants_addresses=self.table.lacks_addresses,
            items=[self.packer.pack(row) for row in rows if _is_item(row)],
            removed=[row for row in rows if isinstance(row, RemovedKey)],
            lapsed=list(unconfirmed),
            whole=whole,
            loads=self.loads.recent_loads(now),
            sent_at=now,
            busy_servers=self.busy_servers.recent_reports(now),
            lapsed_seconds=list(unconfirmed.values()),
            full_link=self.link_is_full(),
            proof=self.view.certainty.proof(now),
            uneven_servers=self.view.servers.demand.uneven_servers,
            pressures=self.recent_pressures(),
        )

    def create_partial(self, revision: int) -> Message:
        """Return a message with all that a peer lacks except large values."""
        message = self.create_message(self.view.revision, [])
        rows = self.view.small_changes_after(revision)
        message.items = [self.packer.pack(row) for row in rows if _is_item(row)]
        message.removed = [row for row in rows if isinstance(row, RemovedKey)]
        message.partial_after = revision
        return message


def _is_item(row: StoredItem | RemovedKey) -> bool:
    """Return True for a stored item, False for a removed key."""
    return isinstance(row, StoredItem)
