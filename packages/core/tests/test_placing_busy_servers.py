"""Reports of full servers that hosts share."""

import pytest

from greengagepoint.placing.busy_servers import (
    AGE_MAX_SECONDS,
    SHARED_MAX,
    BusyServer,
    BusyServers,
)
from greengagepoint.placing.tables import Server, ServerTable

NOW = 100.0


def table(count=2):
    rows = ServerTable()
    for number in range(count):
        name = f"i-{number}"
        rows.servers[name] = Server(
            name, "booking", "", "zone-a", "north", 9, senders=65
        )
    rows.rebuild()
    return rows


def test_a_report_of_a_full_server_reaches_a_host_that_never_sent_to_it():
    # One host's request waited behind 18 others. Without the report, another host would
    # send its next request to the same server and answer it late.
    sender_table, receiver_table = table(), table()
    sender, receiver = BusyServers(), BusyServers()
    sender.note(sender_table.servers["i-0"], 27, NOW)
    receiver.take(sender.recent_reports(NOW + 0.5), receiver_table, NOW + 0.6)
    assert receiver_table.servers["i-0"].occupancy(NOW + 0.6) == pytest.approx(
        27, rel=0.5
    )
    assert receiver_table.servers["i-1"].occupancy(NOW + 0.6) == 0


def test_a_forwarded_report_keeps_its_age():
    rows = [BusyServers() for _ in range(3)]
    rows[0].note(table().servers["i-0"], 20, NOW)
    rows[1].take(rows[0].recent_reports(NOW + 0.5), table(), NOW + 0.5)
    rows[2].take(rows[1].recent_reports(NOW + 1.0), table(), NOW + 1.0)
    assert rows[2].recent_reports(NOW + 1.5) == [BusyServer("i-0", 0, 20, 1500)]


def test_a_newer_own_report_takes_precedence():
    servers = table()
    own_row = servers.servers["i-0"]
    own_row.apply_report(2, 0, NOW)
    BusyServers().take([BusyServer("i-0", 0, 27, 300)], servers, NOW)
    assert own_row.occupancy(NOW) == 2


def test_a_server_with_free_slots_is_no_longer_shared():
    busy = BusyServers()
    server = table().servers["i-0"]
    busy.note(server, 20, NOW)
    busy.note(server, 3, NOW + 0.1)
    assert busy.recent_reports(NOW + 0.2) == []


def test_old_reports_are_dropped_and_the_newest_are_sent():
    busy = BusyServers()
    servers = table(SHARED_MAX + 10)
    for number in range(SHARED_MAX + 10):
        busy.note(servers.servers[f"i-{number}"], 20, NOW + number / 100)
    sent = busy.recent_reports(NOW + 0.5)
    assert len(sent) == SHARED_MAX
    assert sent[0].instance == f"i-{SHARED_MAX + 9}"
    assert busy.recent_reports(NOW + AGE_MAX_SECONDS + 1) == []


def test_reports_of_unknown_servers_are_ignored():
    busy = BusyServers()
    busy.take([BusyServer("i-9", 0, 20, 100)], table(), NOW)
    assert busy.recent_reports(NOW) == []


def test_a_report_of_an_earlier_incarnation_is_not_applied():
    # A full server stops and restarts under its id. If it still counted as full, it
    # would receive no requests for the keys that rank it first.
    servers = table()
    BusyServers().take([BusyServer("i-0", 5, 27, 300)], servers, NOW)
    assert servers.servers["i-0"].occupancy(NOW) == 0
