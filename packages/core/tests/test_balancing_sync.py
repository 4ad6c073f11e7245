"""Tests that changes of unrelated records leave the backend rows alone."""

import pytest

from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.tables import BackendTable, LeavingSource
from greengagepoint.configuration import EMPTY
from greengagepoint.records.schemas import (
    BackendServer,
    Drain,
    DrainTarget,
    Site,
    Team,
)

DRAIN_START_MS = 10_000
SERVERS = tuple(BackendServer(name, "booking", f"{name}:80", 10) for name in "ab")
SITE = Site(name="s", region="r", zone="z", capacity=20, backend_servers=SERVERS)
DRAIN = Drain(
    name="d",
    target_kind=DrainTarget.BACKEND_SERVER,
    target="a",
    start_at="1970-01-01T00:00:10Z",
)
RECORDS = EMPTY._replace(generation=1, sites={"s": SITE}, drains={"d": DRAIN})
TEAM = Team(name="t", requests_per_second=1.0, burst=1)


@pytest.mark.parametrize(
    ("change", "updates_rows"),
    [
        ({"teams": {"t": TEAM}}, False),
        ({"sites": {"s": SITE}, "drains": {"d": DRAIN}}, False),
        ({"drains": {}}, True),
        ({"sites": {"s": SITE, "s2": SITE}}, True),
    ],
)
def test_only_changed_sites_and_drains_update_the_rows(
    monkeypatch, change, updates_rows
):
    table = BackendTable()
    sync_rows(table, RECORDS, 0.0, 0)
    index_calls = []
    monkeypatch.setattr(
        "greengagepoint.balancing.rows._index_pools", lambda _: index_calls.append(True)
    )
    sync_rows(table, RECORDS._replace(generation=2, **change), 1.0, 0)
    assert bool(index_calls) == updates_rows
    assert table.synced_configuration.generation == 2


def test_a_planned_drain_begins_after_a_change_of_another_record():
    """A drain is planned for 10 s from now; meanwhile a team's record changes.

    The change must not update the rows or lose the start time of the drain. Without
    the start time, requests would be sent to the server until it shuts down.
    """
    table = BackendTable()
    sync_rows(table, RECORDS, 0.0, 0)
    changed = RECORDS._replace(generation=2, teams={"t": TEAM})
    sync_rows(table, changed, 1.0, DRAIN_START_MS - 1)
    row = table.rows["booking", "s", "a"]
    assert not row.leaving
    sync_rows(table, changed, 2.0, DRAIN_START_MS)
    assert row.leaving == {LeavingSource.DRAIN_RECORD}
