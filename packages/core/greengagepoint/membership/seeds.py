"""Take the lagging host list as a seed of addresses."""

from collections.abc import Iterable
from typing import Final

from greengagepoint.membership.tables import DETAIL_HOSTS_MAX, MembershipTables
from greengagepoint.protocols import ListedHost

LIST_SECONDS_MIN: Final = 10.0
# A host that knows no other is in a fleet that is just starting, or lost its list.
LIST_SECONDS_ALONE: Final = 1.0
# A long list is read less often, so that reading it stays near 0.5 KB a second at
# about 100 bytes an entry.
LIST_SECONDS_PER_HOST: Final = 0.2
LISTED_HOSTS_MAX: Final = 20_000


def usable(host: ListedHost) -> bool:
    """Tell whether an entry can be used to reach a host."""
    name, _, port = host.peer_address.rpartition(":")
    return bool(host.name and host.region and host.zone and name and port.isdigit())


def apply_list(tables: MembershipTables, hosts: Iterable[ListedHost]) -> int:
    """Replace the seeds by a list just read; return the number of bad entries.

    The list lags, so it never makes a host alive or gone. Its word that a host is
    leaving counts from the read in which it first says so of this run of the host.
    """
    rejected = 0
    before = tables.listed
    listed: dict[str, ListedHost] = {}
    for host in hosts:
        if not host.peer_address:
            continue
        if not usable(host) or len(listed) >= LISTED_HOSTS_MAX:
            rejected += 1
            continue
        listed[host.name] = host
        row = tables.members.get(host.name)
        if row is None:
            continue
        said_before = host.name in before and before[host.name].leaving
        leaving = host.leaving and (row.listed_leaving or not said_before)
        if leaving != row.listed_leaving:
            row.listed_leaving = leaving
            tables.version += 1
    listed.pop(tables.me.name, None)
    # An empty read is more likely a fault of the list than the end of the fleet.
    if listed or not before:
        tables.listed = listed
    if not tables.members:
        tables.detail_everywhere = len(tables.listed) <= DETAIL_HOSTS_MAX
    return rejected


def list_period_seconds(tables: MembershipTables) -> float:
    """Return how long to wait before reading the list again."""
    if not tables.members and not tables.listed:
        return LIST_SECONDS_ALONE
    return max(LIST_SECONDS_MIN, LIST_SECONDS_PER_HOST * len(tables.listed))
