"""News of full servers between hosts."""

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


def test_a_full_server_is_known_to_a_host_that_never_met_it():
    # One host's request waited behind 18 others. Another host, whose caller comes next,
    # would send it to the same server and make it late.
    here, there = table(), table()
    teller, hearer = BusyServers(), BusyServers()
    teller.note(here.servers["i-0"], 27, NOW)
    hearer.take(teller.shared(NOW + 0.5), there, NOW + 0.6)
    assert there.servers["i-0"].occupancy(NOW + 0.6) == pytest.approx(27, rel=0.5)
    assert there.servers["i-1"].occupancy(NOW + 0.6) == 0


def test_news_is_passed_on_with_its_age():
    rows = [BusyServers() for _ in range(3)]
    rows[0].note(table().servers["i-0"], 20, NOW)
    rows[1].take(rows[0].shared(NOW + 0.5), table(), NOW + 0.5)
    rows[2].take(rows[1].shared(NOW + 1.0), table(), NOW + 1.0)
    assert rows[2].shared(NOW + 1.5) == [BusyServer("i-0", 0, 20, 1500)]


def test_a_host_believes_its_own_newer_report():
    servers = table()
    mine = servers.servers["i-0"]
    mine.take_report(2, 0, NOW)
    BusyServers().take([BusyServer("i-0", 0, 27, 300)], servers, NOW)
    assert mine.occupancy(NOW) == 2


def test_a_server_with_free_slots_is_news_no_more():
    busy = BusyServers()
    server = table().servers["i-0"]
    busy.note(server, 20, NOW)
    busy.note(server, 3, NOW + 0.1)
    assert busy.shared(NOW + 0.2) == []


def test_old_news_is_dropped_and_the_newest_is_sent():
    busy = BusyServers()
    servers = table(SHARED_MAX + 10)
    for number in range(SHARED_MAX + 10):
        busy.note(servers.servers[f"i-{number}"], 20, NOW + number / 100)
    sent = busy.shared(NOW + 0.5)
    assert len(sent) == SHARED_MAX
    assert sent[0].instance == f"i-{SHARED_MAX + 9}"
    assert busy.shared(NOW + AGE_MAX_SECONDS + 1) == []


def test_news_of_servers_that_are_not_known_is_passed_over():
    busy = BusyServers()
    busy.take([BusyServer("i-9", 0, 20, 100)], table(), NOW)
    assert busy.shared(NOW) == []


def test_news_of_a_former_run_says_nothing_of_the_present_one():
    # A full server ends and starts again under its id. Taken for full, it would get no
    # request of the keys that it is to have.
    servers = table()
    BusyServers().take([BusyServer("i-0", 5, 27, 300)], servers, NOW)
    assert servers.servers["i-0"].occupancy(NOW) == 0
