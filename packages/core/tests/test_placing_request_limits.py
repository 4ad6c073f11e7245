"""The choice among servers with request limits, for which this host may lack quota."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
    choose,
)
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.request_limits import limit_wait, server_to_ask_for
from greengagepoint.placing.tables import REQUEST_LIMIT_MIN, Server, ServerTable

NOW = 100.0
SERVICE, REGION = "booking", "attiki"


def table_of(limits):
    """Return a table of servers with these limits, None for none."""
    table = ServerTable()
    for number, limit in enumerate(limits):
        name = f"i-{number}"
        table.servers[name] = Server(name, SERVICE, "", "a", REGION, 4)
        table.set_request_limit(table.servers[name], limit)
    table.rebuild()
    return table


def permissions_with(quota):
    """Return permissions of a host with quota for some servers."""

    def has_quota(server):
        return server.instance in quota

    def may_send(server):
        return server.request_limit is None or has_quota(server)

    return Permissions(may_send, lambda: False, lambda: False, has_quota)


@given(
    limits=st.lists(st.sampled_from([None, 0.0, 2.0]), min_size=1, max_size=8),
    quota=st.sets(st.sampled_from([f"i-{number}" for number in range(8)])),
    key=st.sampled_from([None, "k1", "k2", "k3"]),
    warm=st.sets(st.integers(0, 7), max_size=4),
)
def test_callers_are_served_while_any_idle_server_may_be_used(limits, quota, key, warm):
    table = table_of(limits)
    rows = list(table.servers.values())
    warm_servers = [rows[number % len(rows)].incarnation for number in warm]
    criteria = ServerCriteria(
        SERVICE, [REGION], key, 0.4, 2.0, frozenset(), warm_servers
    )
    usable = {
        row.instance
        for row in rows
        if row.request_limit is None or row.instance in quota
    }
    choice = choose(table, RankCache(), criteria, permissions_with(quota), NOW)
    if usable:
        assert isinstance(choice, Server)
        assert choice.instance in usable
    else:
        assert isinstance(choice, NoServerAvailable)
        assert choice.limited == choice.servers == len(rows)
        assert choice.retry_seconds >= limit_wait(rows)


@pytest.mark.parametrize(
    ("limits", "seconds"),
    [
        ([2.0], 0.5),
        ([2.0, 2.0], 0.25),
        ([2.0, None], 0.0),
        ([0.0], 1 / REQUEST_LIMIT_MIN),
        ([], 0.0),
    ],
)
def test_callers_return_at_the_rate_that_all_limits_allow(limits, seconds):
    assert limit_wait(table_of(limits).servers.values()) == seconds


@pytest.mark.parametrize(
    ("limits", "quota", "refused", "expected"),
    [
        ([None, 2.0], "", "", None),
        ([2.0, None], "", "", "i-0"),
        ([2.0, None], "", "i-0", None),
        ([2.0, 2.0], "", "i-0", "i-1"),
        ([2.0, 2.0], "i-0", "", None),
        ([2.0, 2.0], "", "i-0 i-1", None),
    ],
)
def test_quota_is_asked_for_in_the_order_of_use(limits, quota, refused, expected):
    rows = list(table_of(limits).servers.values())
    chosen = server_to_ask_for(
        rows,
        lambda row: row.instance in quota.split(),
        lambda row: row.instance not in refused.split(),
        NOW,
    )
    assert (chosen.instance if chosen else None) == expected
