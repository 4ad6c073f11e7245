"""Write what this host tells its peers."""

import math
from collections.abc import Callable

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
    """Put together what peers lack of the view, the hosts and the servers' loads."""

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

    def message(
        self, revision: int, others: list[HeardHost], *, full: bool = False
    ) -> Message:
        """Return what a peer at a revision lacks, with the states of other hosts.

        Their addresses are left out where peers should have them, unless ``full``.
        """
        now = self.clock.monotonic()
        new_since = now - ADDRESSES_SECONDS
        in_full: list[HeardHost] = []
        in_short: list[HeardHost] = []
        for row in others:
            chosen = in_full if full or row.first_heard_at >= new_since else in_short
            chosen.append(row)
        news: Changes | Snapshot = Changes((), self.view.revision)
        if revision < self.view.revision:
            news = self.view.changes_after(revision)
        whole = isinstance(news, Snapshot)
        rows = news.items if whole else news.changes
        age = now - self.ages.complete_at()
        unconfirmed = self.view.unconfirmed_removals(now)
        return Message(
            revision=self.view.revision,
            after=min(revision, self.view.revision),
            age=age if math.isfinite(age) else None,
            hosts=[self.own, *(row.state for row in in_full)],
            heartbeats=[heartbeat_of(row.state) for row in in_short],
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
        )

    def partial(self, revision: int) -> Message:
        """Return what a peer at a revision lacks but large values."""
        message = self.message(self.view.revision, [])
        rows = self.view.small_changes_after(revision)
        message.items = [self.packer.pack(row) for row in rows if _is_item(row)]
        message.removed = [row for row in rows if isinstance(row, RemovedKey)]
        message.partial_after = revision
        return message


def _is_item(row: StoredItem | RemovedKey) -> bool:
    """Tell a change from a removal."""
    return isinstance(row, StoredItem)
