"""Track which backend servers the platform's host list marks as leaving."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.balancing.rows import set_listed_leaving
from greengagepoint.balancing.tables import BackendTable
from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank

READERS_PER_REGION: Final = 2
READ_INTERVAL_SECONDS: Final = 2.0
# Reading a list of this length each ``READ_INTERVAL_SECONDS`` takes about 5 KB/s. A
# longer list is read less often, so a leaving server in it is detected later.
SHORT_LIST_ENTRIES: Final = 100
READ_INTERVAL_SECONDS_PER_ENTRY: Final = 0.2
RESEND_INTERVAL_SECONDS: Final = 10.0
# Several times the resend interval, so that a lost message doesn't make a leaving
# server available again.
REPORT_EXPIRY_SECONDS: Final = 35.0


class LeavingNames(NamedTuple):
    """Leaving names from one reader of the list; ``at`` is in monotonic seconds."""

    names: frozenset[str]
    at: float


@dataclass(slots=True)
class ListedTable:
    """Names that the host list marks as leaving, by the host that read it."""

    by_reader: dict[str, LeavingNames] = field(default_factory=dict)
    read_at: float = float("-inf")
    sent_at: float = float("-inf")
    entries: int = 0


def is_reader(host: HostIdentity, live: Iterable[HostIdentity]) -> bool:
    """Return True if a host is one of the readers of the list for its region.

    Hosts with different views of the live hosts may choose different readers, which
    only causes additional reads.
    """
    in_region = [peer for peer in live if peer.region == host.region]
    readers = rank("host list", in_region, lambda peer: peer.name)[:READERS_PER_REGION]
    return not readers or host.name in {peer.name for peer in readers}


def is_read_due(table: ListedTable, now: float) -> bool:
    """Return True if a read of the list is due and record it as made."""
    period = READ_INTERVAL_SECONDS
    if table.entries > SHORT_LIST_ENTRIES:
        period = READ_INTERVAL_SECONDS_PER_ENTRY * table.entries
    if now - table.read_at < period:
        return False
    table.read_at = now
    return True


def record_read(
    table: ListedTable, own_name: str, entries: int, names: frozenset[str], now: float
) -> bool:
    """Record a read of the list; return True if it must be sent to peers."""
    previous = table.by_reader.get(own_name)
    table.entries = entries
    table.by_reader[own_name] = LeavingNames(names, now)
    changed = previous is None or previous.names != names
    if changed or now - table.sent_at >= RESEND_INTERVAL_SECONDS:
        table.sent_at = now
        return True
    return False


def apply(table: ListedTable, backends: BackendTable, now: float) -> None:
    """Drop expired reads and mark the servers that any reader lists as leaving."""
    expired = [
        name
        for name, row in table.by_reader.items()
        if now - row.at > REPORT_EXPIRY_SECONDS
    ]
    for name in expired:
        del table.by_reader[name]
    names: frozenset[str] = frozenset()
    for row in table.by_reader.values():
        names |= row.names
    set_listed_leaving(backends, names)


def leaving_backend_servers(
    backends: BackendTable, leaving: Sequence[str]
) -> frozenset[str]:
    """Return the leaving names that belong to backend servers."""
    servers = {row.name for row in backends.rows.values()}
    return servers.intersection(leaving)
