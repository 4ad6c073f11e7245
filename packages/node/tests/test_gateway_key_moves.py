"""Keys that a host tells its region's ledger, and where it is told that they belong."""

import asyncio
from collections import defaultdict

import pytest
from deployment import async_until
from gateway_world import NAMES, async_world

from greengagepoint.placing.key_balance import KeyPlace
from greengagepoint_node.gateway.key_moves import KeyMoves
from greengagepoint_node.gateway.report_messages import MovesCursor

KEYS, SERVERS = 64, 4


async def async_ask_all(world):
    """Ask for each key once; return the keys of each server."""
    for backend in world.backends:
        backend.ran.clear()
    for number in range(KEYS):
        cookie = f"{NAMES.affinity_cookie}={number}"
        answer = await world.async_call("/safe/1", headers={"Cookie": cookie})
        assert answer[0] == 200
    keys = defaultdict(set)
    for backend in world.backends:
        keys[backend.instance] = {row.headers["cookie"] for row in backend.ran}
    return keys


async def test_a_host_sends_keys_where_they_are_balanced():
    async with async_world(servers=SERVERS, affinity=True) as world:
        await async_ask_all(world)
        balance = world.daemon.reports.keys.balance
        await async_until(lambda: len(balance.places) == KEYS)
        await asyncio.sleep(0.1)
        keys = await async_ask_all(world)
        assert max(map(len, keys.values())) <= KEYS / SERVERS


class View:
    """Servers of two regions."""

    def __init__(self, table):
        self.servers = table


@pytest.fixture
def ledger():
    from test_placing_key_balance import table_of

    table = table_of("i-0", "i-1")
    table.servers |= table_of("far", region="dytiki").servers
    table.rebuild()
    return KeyMoves("h1", 1, "attiki", View(table))


def rows(count, instance="i-0"):
    return [KeyPlace("booking", digest, instance) for digest in range(count)]


def test_keys_of_another_region_wait_for_its_ledger(ledger):
    ledger.see([*rows(1, "far"), *rows(1, "gone")], 0.0)
    assert ledger.balance.places == {}
    assert ledger.take_forwarded("dytiki") == rows(1, "far")
    assert ledger.take_forwarded("dytiki") == []


@pytest.mark.parametrize(
    ("cursor", "all_of_them"),
    [
        (None, True),
        (MovesCursor("h1", 1, 0, 2), False),
        (MovesCursor("h1", 2, 0, 2), True),
        (MovesCursor("h2", 1, 0, 2), True),
        (MovesCursor("h1", 1, 1, 2), True),
    ],
)
def test_a_host_hears_of_the_moves_that_it_does_not_know(ledger, cursor, all_of_them):
    ledger.see(rows(60), 0.0)
    assert len(ledger.moves) > 2
    first = 0 if all_of_them else 2
    assert ledger.since(cursor) == ledger.moves[first:]
    assert ledger.since(ledger.end()) == []
