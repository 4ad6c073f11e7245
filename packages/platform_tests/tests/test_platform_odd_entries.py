"""Deeply nested items and numbers out of range in the store of three real daemons."""

import asyncio
import base64
import contextlib
from pathlib import Path
from typing import NamedTuple

import msgspec
from told_entries import ENTRY, HOST

from greengagepoint_node.gateway.gossip import EXCHANGE_PATH
from greengagepoint_node.gateway.key_placement import KEY_USAGE_PATH
from greengagepoint_node.gateway.peer_notifier import NEWS_PATH
from greengagepoint_node.gateway.quarantine_sync import QUARANTINE_PATH
from greengagepoint_node.gateway.region_reports import REPORTS_PATH
from greengagepoint_node.gateway.server_quotas import QUOTAS_PATH
from greengagepoint_standins.users_platform.daemons import (
    GRACE_SECONDS,
    SERVICE,
    async_fleet,
)
from greengagepoint_standins.users_platform.store import PlatformStore

ROOT = Path(__file__).parents[3]
DEPTH = 100_000
NAMED_SECONDS = 10.0
DIGITS = b"9" * 5_000
SERVER = {**ENTRY, "service": SERVICE, "zone": "z-a"}
HOST_ENTRY = {**HOST, "zone": "z-a", "link_mbps": 10}
QUARANTINE = {"content": "c", "seconds": 1.0, "ends": []}
# A host answers these if and only if the request has not run.
REJECTIONS = {429, 503}

ARRAYS = b"[" * DEPTH + b"]" * DEPTH
OBJECTS = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
NUMBERS = (
    DIGITS,
    b"-" + DIGITS,
    b"1e999",
    b"NaN",
    b"9223372036854775808",
    b"18446744073709551616",
    b"-1",
)
PORTS = ("0", "65536", "70000", "-1", DIGITS.decode())
BYTES = (b"", b"\xff\xfe", b'"\xff"', ARRAYS, OBJECTS, b"[" * DEPTH, DIGITS)


UNREADABLE = {"field", "unreadable"}
VERSIONS = ("r", "r-1", "r" + "9" * 19, "r" + "9" * 30, "r" + "9" * 5_000)
ODD_CONFIGURATIONS = [
    *BYTES,
    b'{"version":"r999","listeners":' + ARRAYS + b',"clusters":[]}',
    b'{"version":"r999","listeners":[],"clusters":[],"later":' + OBJECTS + b"}",
    *(
        msgspec.json.encode({"version": text, "listeners": [], "clusters": []})
        for text in VERSIONS
    ),
]
# What peers exchange is MessagePack: arrays, maps and an integer of 64 bits.
MESSAGES = (
    b"",
    b"\xff\xfe",
    b"\x91" * DEPTH,
    b"\x81\x01" * DEPTH,
    b"\xcf" + b"\xff" * 8,
)
MESSAGE_PATHS = (
    EXCHANGE_PATH,
    NEWS_PATH,
    QUARANTINE_PATH,
    REPORTS_PATH,
    KEY_USAGE_PATH,
    QUOTAS_PATH,
)


class OddItem(NamedTuple):
    """An item that no writer may put, and the reasons that its refusal may name."""

    key: str
    value: bytes
    reasons: set[str]


def with_value(document, name, value):
    """Return an encoded document with the raw JSON of one field replaced."""
    fields = {
        key: msgspec.Raw(msgspec.json.encode(row)) for key, row in document.items()
    }
    fields[name] = msgspec.Raw(value)
    return msgspec.json.encode(fields)


def odd_values(document, numbers, addresses):
    """Yield odd forms of a document, and the reasons for which they are refused."""
    for value in BYTES:
        yield value, UNREADABLE
    for value in (ARRAYS, OBJECTS):
        yield with_value(document, "later", value), UNREADABLE
        yield with_value(document, numbers[0], value), UNREADABLE
    for name in numbers:
        for value in NUMBERS:
            yield with_value(document, name, value), UNREADABLE
    for name in addresses:
        for port in PORTS:
            address = msgspec.json.encode(f"127.0.0.1:{port}")
            yield with_value(document, name, address), {"address"}


def odd_items():
    """Yield odd items under keys of their own below each prefix."""
    for prefix, document, numbers, addresses in (
        ("servers/", SERVER, ("slots", "coldLeftS", "sequence", "born"), ("address",)),
        ("hosts/", HOST_ENTRY, ("link_mbps",), ("front_address", "peer_address")),
        ("quarantine/", QUARANTINE, ("seconds",), ()),
    ):
        count = len(list(odd_values(document, numbers, addresses)))
        for number in range(count):
            name = f"odd-{number}"
            named = {
                key: name if key in ("name", "content") else value
                for key, value in document.items()
            }
            value, reasons = list(odd_values(named, numbers, addresses))[number]
            yield OddItem(f"{prefix}{name}", value, reasons)
    for number, value in enumerate(BYTES):
        yield OddItem(f"op/evacuate/odd-{number}", value, {"zone"})
        yield OddItem(f"other/odd-{number}", value, set())


ODD_ITEMS = list(odd_items())


def put(fleet, key, value):
    fleet.store.items.put(key, base64.b64encode(value).decode())


class Callers:
    """Call each host that is not restarting, and keep the statuses."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.restarting = None
        self.statuses = set()

    async def async_run(self, number):
        """Call one host after the other until cancelled."""
        while True:
            for node in self.fleet.nodes:
                if node is not self.restarting:
                    status, _, _ = await self.fleet.async_call(
                        node, "/bays/", str(number)
                    )
                    self.statuses.add(status)
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def async_callers(fleet):
    """Call all hosts while the block runs; each answer is a success or a rejection."""
    callers = Callers(fleet)
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(callers.async_run(number)) for number in range(4)]
        yield callers
        for task in tasks:
            task.cancel()
    assert 200 in callers.statuses
    assert callers.statuses <= {200} | REJECTIONS


def refused(node):
    """Return the reasons for which a host has refused keys."""
    rows = [row for row in node.lines if row["name"] == "record_refused"]
    return {row["key"]: row["reason"] for row in rows}


async def async_follow(fleet, prefix):
    """Add a route, and wait until all hosts serve it and know all of the store."""
    fleet.configure("/bays/", prefix)
    await fleet.async_until(fleet.async_all_know)

    async def async_is_served():
        answers = [await fleet.async_call(node, prefix) for node in fleet.nodes]
        return {status for status, _, _ in answers} == {200}

    await fleet.async_until(async_is_served)


def unnamed(node):
    """Return the odd items that a host has not named with one of their reasons."""
    named = refused(node)
    return [
        (item.key, named.get(item.key), item.value[-200:])
        for item in ODD_ITEMS
        if item.reasons and named.get(item.key) not in item.reasons
    ]


async def async_name_odd_items(fleet, nodes):
    """Wait until hosts have named each odd item with a reason."""

    async def async_have_named():
        return not any(unnamed(node) for node in nodes)

    with contextlib.suppress(TimeoutError):
        await fleet.async_until(async_have_named, NAMED_SECONDS)
    for node in nodes:
        assert unnamed(node) == []


def assert_none_ended(fleet):
    """Check that no process has ended by itself."""
    assert [node.process.returncode for node in fleet.nodes] == [None] * 3


async def test_odd_items_end_no_host(tmp_path):
    # A host whose task that follows the store ends at such an item serves callers by
    # an old list, and a restart finds the item again.
    async with async_fleet(ROOT, tmp_path) as fleet, async_callers(fleet) as callers:
        *_, last = fleet.nodes
        for item in ODD_ITEMS:
            put(fleet, item.key, item.value)
        for value, _ in odd_values(SERVER, ("slots",), ("address",)):
            put(fleet, "servers/i-0", value)
        await async_name_odd_items(fleet, fleet.nodes)
        await async_follow(fleet, "/new/")
        for node in fleet.nodes:
            assert refused(node)["servers/i-0"] == "address"

        callers.restarting = last
        await asyncio.sleep(0.5)
        await last.async_terminate(GRACE_SECONDS)
        assert last.lives[-1].exit_code == 0
        await last.async_start()
        await fleet.async_until(lambda: fleet.async_is_ready(last))
        callers.restarting = None
        await async_name_odd_items(fleet, [last])
        await async_follow(fleet, "/newer/")

        before = len(fleet.backends[0].ran)
        fleet.enter(fleet.backends[0], "z-a")

        async def async_is_used():
            return len(fleet.backends[0].ran) > before

        await fleet.async_until(async_is_used)
        assert_none_ended(fleet)


async def test_odd_items_that_only_peers_pass_on(tmp_path):
    # The store turns one host away, which hears of all items from the others.
    refusing = PlatformStore()
    await refusing.async_start()
    refusing.control.status = 503

    def prepare(node, _):
        if node.name == "n3":
            node.document["platform"]["address"] = refusing.address

    fleets = async_fleet(ROOT, tmp_path, prepare=prepare)
    try:
        async with fleets as fleet, async_callers(fleet):
            for item in ODD_ITEMS:
                put(fleet, item.key, item.value)
            await async_name_odd_items(fleet, fleet.nodes)
            await async_follow(fleet, "/new/")
            assert_none_ended(fleet)
    finally:
        await refusing.async_stop()


async def test_the_last_valid_configuration_outlasts_odd_ones(tmp_path):
    # A version above all others would make each later configuration an older one.
    async with async_fleet(ROOT, tmp_path) as fleet, async_callers(fleet):
        for value in ODD_CONFIGURATIONS:
            put(fleet, "op/config", value)
            await fleet.async_until(fleet.async_all_know)
        for node in fleet.nodes:
            rows = [row for row in node.lines if row["name"] == "record_refused"]
            assert [row["key"] for row in rows] == ["op/config"] * len(rows)
            assert len(rows) >= 1
        await async_follow(fleet, "/new/")
        assert_none_ended(fleet)


async def test_odd_messages_of_peers_end_no_host(tmp_path):
    async with async_fleet(ROOT, tmp_path) as fleet, async_callers(fleet):
        statuses = {}
        for node in fleet.nodes:
            for path in MESSAGE_PATHS:
                url = f"http://{node.listen['control']}{path}"
                for body in MESSAGES:
                    async with fleet.session.post(url, data=body) as answer:
                        statuses[path, body[:4]] = answer.status
        assert set(statuses.values()) == {400}, statuses
        await async_follow(fleet, "/new/")
        assert_none_ended(fleet)
