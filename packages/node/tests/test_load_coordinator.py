"""Load sharing over a fake bus and a real load endpoint on loopback."""

import asyncio
import random

import aiohttp
import pytest
from aiohttp import web

from greengagepoint.balancing.choice import record_request_end, record_request_start
from greengagepoint.balancing.messages import LoadWanted, PoolName
from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.tables import BackendTable, LeavingSource, Load, Outcome
from greengagepoint.configuration import EMPTY
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import BackendServer, Site
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.load import LoadCoordinator
from greengagepoint_standins.memory_fleet import MemoryBus, MemoryEvents

VALID = b'{"in_flight":4,"slots":10,"queued":1,"leaving":false}'
LEAVING = b'{"in_flight":4,"slots":10,"queued":1,"leaving":true}'
HOSTS = tuple(
    HostIdentity(f"h{number}", 1, "r", "z", f"h{number}:80", f"h{number}:81")
    for number in range(3)
)


class FakeClock:
    now = 100.0

    def monotonic(self):
        return self.now


class Endpoint:
    """A load endpoint that answers what the test puts in."""

    def __init__(self):
        self.body = VALID
        self.status = 200
        self.asked = 0

    async def async_answer(self, request):
        self.asked += 1
        return web.Response(body=self.body, status=self.status)


class Fleet:
    """Three hosts that send to one backend server."""

    def __init__(self, address, session):
        site = Site(
            name="s",
            region="r",
            zone="z",
            capacity=10,
            backend_servers=(BackendServer("b0", "booking", address, 10),),
        )
        self.configuration = EMPTY._replace(generation=1, sites={"s": site})
        self.clock = FakeClock()
        self.bus = MemoryBus()
        self.events = MemoryEvents()
        self.parts = [self.make(host, session) for host in HOSTS]

    def make(self, host, session):
        table = BackendTable()
        sync_rows(table, self.configuration, 0.0, 0)
        port = self.bus.port(host.name)
        context = Context(host, self.clock, random.Random(1), None, port, self.events)
        return LoadCoordinator(
            context, lambda: self.configuration, lambda: HOSTS, session, table
        )

    def row(self, part):
        return part.table.rows["booking", "s", "b0"]

    async def async_tick(self, seconds):
        self.clock.now += seconds
        for part in self.parts:
            part.tick(self.clock.now)
        self.bus.deliver_round()
        for part in self.parts:
            await asyncio.gather(*part.asks)

    def use(self):
        for part in self.parts:
            record_request_start(self.row(part), self.clock.now)
            record_request_end(self.row(part), Outcome.ANSWERED, 0.01, self.clock.now)


@pytest.fixture
async def endpoint():
    return Endpoint()


@pytest.fixture
async def fleet(endpoint):
    application = web.Application()
    application.router.add_get("/load", endpoint.async_answer)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0]
    async with aiohttp.ClientSession() as session:
        fleet = Fleet(f"{host}:{port}", session)
        for part in fleet.parts:
            await part.async_start()
        yield fleet
        for part in fleet.parts:
            await part.async_stop()
        left = [list(found.values()) for found in fleet.bus.handlers.values()]
        assert left == [[[], []]] * len(HOSTS)
    await runner.cleanup()


async def test_two_ask_and_all_that_send_are_told(fleet, endpoint):
    """Three hosts send to a server; two of them ask it for its load.

    One round later the third knows it too, with its age.
    """
    await fleet.async_tick(1.0)
    assert endpoint.asked == 0
    fleet.use()
    await fleet.async_tick(1.0)
    await fleet.async_tick(0.5)
    assert endpoint.asked == 2
    await fleet.async_tick(3.0)
    loads = {fleet.row(part).reported for part in fleet.parts}
    assert loads == {Load(4, 10, 1, False)}
    assert endpoint.asked == 4


async def test_leaving_is_known_everywhere_within_two_ticks(fleet, endpoint):
    fleet.use()
    await fleet.async_tick(1.0)
    endpoint.body = LEAVING
    await fleet.async_tick(1.1)
    await fleet.async_tick(0.1)
    for part in fleet.parts:
        assert LeavingSource.OWN_SIGNAL in fleet.row(part).leaving


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (500, VALID),
        (302, VALID),
        (200, b"nonsense"),
        (200, b'{"in_flight":-4,"slots":10}'),
        (200, VALID[:-1] + b" " * 100_000 + b"}"),
    ],
)
async def test_broken_endpoint_is_told_once_and_has_no_weight(
    fleet, endpoint, status, body
):
    """A load endpoint answers nonsense each time that it is asked.

    The event comes once from each asker, no report is taken in, and a valid answer
    later counts again.
    """
    endpoint.status, endpoint.body = status, body
    for _ in range(3):
        fleet.use()
        await fleet.async_tick(1.1)
    assert fleet.events.count(Event.LOAD_REPORT_INVALID) == 2
    assert {fleet.row(part).reported for part in fleet.parts} == {None}
    endpoint.status, endpoint.body = 200, VALID
    await fleet.async_tick(1.1)
    assert Load(4, 10, 1, False) in {fleet.row(part).reported for part in fleet.parts}


async def test_unreachable_server_is_no_report_and_no_event(fleet):
    row = fleet.row(fleet.parts[0])
    row.address = "127.0.0.1:1"
    await fleet.parts[0].async_ask(row)
    assert row.reported is None
    assert fleet.events.recorded == []


async def test_wish_for_an_unknown_pool_does_no_harm(fleet):
    message = LoadWanted((PoolName("none", "nowhere"),))
    fleet.parts[0].on_wanted("h1", message)
    await fleet.async_tick(3.0)
    assert fleet.events.recorded == []
