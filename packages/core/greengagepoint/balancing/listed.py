"""Follow which backend servers the platform's host list calls leaving."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.balancing.rows import set_listed_leaving
from greengagepoint.balancing.tables import BackendTable
from greengagepoint.hosts import HostIdentity
from greengagepoint.rendezvous import rank

READERS_A_REGION: Final = 2
READ_SECONDS: Final = 2.0
# A list of this length read each ``READ_SECONDS`` stays near 5 KB a second; a longer
# one is read less often, and then a leaving server is noticed later by this way.
SHORT_LIST_ENTRIES: Final = 100
READ_SECONDS_AN_ENTRY: Final = 0.2
REPEAT_SECONDS: Final = 10.0
# Longer than several repeats, so that one lost message does not bring a server back.
HEARD_SECONDS: Final = 35.0


class Heard(NamedTuple):
    """What one reader of the list said, and when; monotonic seconds."""

    names: frozenset[str]
    at: float


@dataclass(slots=True)
class ListedTable:
    """What the readers of the host list said, by reader."""

    heard: dict[str, Heard] = field(default_factory=dict)
    read_at: float = float("-inf")
    told_at: float = float("-inf")
    entries: int = 0


def is_reader(host: HostIdentity, live: Iterable[HostIdentity]) -> bool:
    """Tell whether a host reads the list for its region.

    Two hosts with different views may both read, which only costs reads.
    """
    near = [one for one in live if one.region == host.region]
    readers = rank("host list", near, lambda one: one.name)[:READERS_A_REGION]
    return not readers or host.name in {one.name for one in readers}


def is_read_due(table: ListedTable, now: float) -> bool:
    """Tell whether the list is to be read again, and count the read as made."""
    period = READ_SECONDS
    if table.entries > SHORT_LIST_ENTRIES:
        period = READ_SECONDS_AN_ENTRY * table.entries
    if now - table.read_at < period:
        return False
    table.read_at = now
    return True


def note_read(
    table: ListedTable, own_name: str, entries: int, names: frozenset[str], now: float
) -> bool:
    """Take in a read of one's own; tell whether others must hear of it."""
    before = table.heard.get(own_name)
    table.entries = entries
    table.heard[own_name] = Heard(names, now)
    changed = before is None or before.names != names
    if changed or now - table.told_at >= REPEAT_SECONDS:
        table.told_at = now
        return True
    return False


def apply(table: ListedTable, backends: BackendTable, now: float) -> None:
    """Mark the backend servers that any reader heard lately calls leaving."""
    old = [name for name, row in table.heard.items() if now - row.at > HEARD_SECONDS]
    for name in old:
        del table.heard[name]
    names: frozenset[str] = frozenset()
    for row in table.heard.values():
        names |= row.names
    set_listed_leaving(backends, names)


def known_names(backends: BackendTable, leaving: Sequence[str]) -> frozenset[str]:
    """Return those of the leaving names that are backend servers."""
    servers = {row.name for row in backends.rows.values()}
    return servers.intersection(leaving)
