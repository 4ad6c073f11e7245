"""Servers that asked this host to send them nothing for a time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
    choose,
    preferred_servers,
)
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.region_loads import RegionLoads
from greengagepoint.placing.room import LostCapacityTracker
from greengagepoint.placing.tables import Server, ServerTable

NOW = 100.0
SERVICE, REGION = "booking", "attiki"
PERMISSIONS = Permissions(lambda _: True, lambda: True, lambda: True)


def table_of(rests):
    """Return a table of servers that rest for so many seconds, 0 for none."""
    table = ServerTable()
    for number, seconds in enumerate(rests):
        name = f"i-{number}"
        row = Server(name, SERVICE, "", "a", REGION, 4)
        row.rest_until = NOW + seconds
        table.servers[name] = row
    table.rebuild()
    return table


def criteria(key, warm=()):
    return ServerCriteria(SERVICE, [REGION], key, 0.4, 2.0, frozenset(), warm)


@given(
    rests=st.lists(st.sampled_from([0.0, 0.5, 3.0]), min_size=1, max_size=12),
    key=st.sampled_from([None, "k1", "k2", "k3"]),
    warm=st.integers(0, 11),
    suspect=st.integers(0, 11),
)
def test_a_resting_server_is_never_chosen(rests, key, warm, suspect):
    table = table_of(rests)
    rows = list(table.servers.values())
    rows[suspect % len(rows)].suspect_until = NOW + 1
    wanted = criteria(key, (rows[warm % len(rows)].incarnation,))
    choice = choose(table, RankCache(), wanted, PERMISSIONS, NOW)
    preferred = preferred_servers(table, RankCache(), wanted, NOW)
    assert not any(row.is_resting(NOW) for row in preferred)
    if all(rests):
        assert isinstance(choice, NoServerAvailable)
        assert choice.retry_seconds == pytest.approx(min(rests))
        assert (choice.resting, choice.servers) == (len(rests), len(rests))
    else:
        assert isinstance(choice, Server)
        assert not choice.is_resting(NOW)


def test_resting_servers_count_as_lost_capacity():
    table = table_of([0.0] * 4)
    tracker = LostCapacityTracker()
    tracker.tick(table, NOW)
    for row in list(table.servers.values())[:3]:
        row.rest_until = NOW + 3
    tracker.tick(table, NOW)
    assert tracker.lost_share(SERVICE, REGION) == pytest.approx(0.75)


def test_a_region_of_resting_servers_counts_as_full():
    loads = RegionLoads(REGION)
    loads.measure(table_of([3.0] * 4), NOW)
    assert loads.busy(SERVICE, REGION, NOW) == 1.0
