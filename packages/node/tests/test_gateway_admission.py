"""Admission and waiting on the request path, and what ends a wait."""

import asyncio
import contextlib
import math

import msgspec
import pytest
from deployment import async_until
from gateway_world import async_environment, routes
from test_gateway_metrics import async_scrape, value

from greengagepoint.admission.levels import ServiceLevel
from greengagepoint.admission.plan import create_plan
from greengagepoint.admission.pressure import MergedPressure, ServicePressure
from greengagepoint.admission.share import PRESSURE_LIMIT
from greengagepoint.admission.waiting import WAITING_MAX
from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.routing.tables import create_route_table
from greengagepoint_node.gateway.gossip_messages import ENCODER, Message, decode, encode
from greengagepoint_node.gateway.wait_room import TRIES_PER_CHECK

RANKS = {"/safe/": 2, "/unsafe/": 1, "/pack/": 2, "/upload/": 3}


def ranked_routes(**changes):
    """Return routes that switch the demand-aware decisions on."""
    fields = {"goal_seconds": 2.0, "timeout_seconds": 3.0, **changes}
    rows = routes(**fields)
    return [
        type(row)(
            **{name: getattr(row, name) for name in row.__struct_fields__}
            | {"rank": RANKS[row.prefix]}
        )
        for row in rows
    ]


@contextlib.asynccontextmanager
async def async_ranked_environment(rows=None, servers=1, **fields):
    """Run a gateway with the demand-aware decisions switched on."""
    rows = ranked_routes() if rows is None else rows
    async with async_environment(servers=servers, rows=rows, **fields) as env:
        await async_until(lambda: env.daemon.admission.is_on)
        yield env


@contextlib.asynccontextmanager
async def async_busy_environment(rows=None, *, create=async_ranked_environment):
    """Run a gateway whose only server is reported to be full."""
    async with create(rows=rows, servers=1) as env:
        set_load(env, 44)
        env.daemon.placer.wait_allowance.tokens = -math.inf
        yield env


def set_load(env, held):
    server = env.daemon.view.servers.servers["i-0"]
    server.apply_report(min(held, 4), max(0, held - 4), env.clock.monotonic())


def waiting(env):
    return len(env.daemon.admission.room.queue.rows)


async def async_waiting_call(env, path="/safe/1", method="GET", **fields):
    """Start a call and return its task once the request waits on the host."""
    before = waiting(env)
    call = asyncio.create_task(env.async_call(path, method, **fields))
    await async_until(lambda: waiting(env) > before or call.done())
    return call


def outcomes(env):
    return [row["outcome"] for row in env.events.of(Event.REQUEST_WAITED)]


async def test_with_the_mode_off_a_request_is_rejected_without_a_wait():
    async with async_busy_environment(routes(), create=async_environment) as env:
        status, body, headers = await env.async_call("/safe/1")
        assert (status, body) == (503, b"all servers are busy: booking\n")
        assert not outcomes(env)
        daemon = env.daemon
        assert decode(daemon.gossip.encode_exchange(0)).pressures == []
        assert not daemon.admission.levels.services
        (refused,) = env.events.of(Event.REQUEST_REFUSED)
        assert float(headers["Retry-After"]) <= 1.25 * refused["retry_after"]
        assert refused["retry_after"] == pytest.approx(
            refused["shortest_wait"] - refused["longest_wait"], abs=0.01
        )


@pytest.mark.parametrize(("path", "method"), [("/safe/1", "GET"), ("/upload/1", "PUT")])
async def test_a_request_waits_until_a_server_has_a_free_slot(path, method):
    # A request that may not be repeated runs once, however often it tried to find a
    # server before.
    async with async_busy_environment() as env:
        call = await async_waiting_call(env, path, method)
        assert not env.ran()
        set_load(env, 0)
        status, _, _ = await call
        assert status == 200
        assert env.ran() == 1
        assert outcomes(env) == ["served"]
        assert env.daemon.counters.waits["booking", "served"] == 1


async def test_a_wait_without_a_server_ends_with_the_rejection_of_the_placement():
    async with async_busy_environment() as env:
        status, body, headers = await env.async_call("/safe/1")
        assert (status, body) == (503, b"all servers are busy: booking\n")
        assert float(headers["Retry-After"]) > 0
        assert outcomes(env) == ["expired"]
        assert env.daemon.admission.levels.pressures.samples["booking"].mean() > 0
        (row,) = env.events.of(Event.REQUEST_WAITED)
        assert row["seconds"] >= 0.4
        assert not env.ran()


async def test_a_request_whose_run_no_longer_fits_its_goal_does_not_wait():
    # A run is expected to take 0.3 s before the first measurement.
    rows = ranked_routes(goal_seconds=0.3)
    async with async_busy_environment(rows) as env:
        status, _, _ = await env.async_call("/safe/1")
        assert status == 503
        assert not outcomes(env)


async def test_a_caller_that_disconnects_leaves_the_queue():
    async with async_busy_environment() as env:
        call = await async_waiting_call(env)
        call.cancel()
        await async_until(lambda: not waiting(env))
        await async_until(lambda: outcomes(env))
        assert outcomes(env) == ["cancelled"]
        assert not env.daemon.admission.room.turns
        assert not env.ran()


async def test_a_host_that_stops_rejects_what_waits():
    async with async_busy_environment() as env:
        call = await async_waiting_call(env)
        env.daemon.gateway.rejecting = True
        env.daemon.admission.stop()
        status, _, _ = await call
        assert status == 503
        assert outcomes(env) == ["host_leaving"]
        assert not env.ran()


async def test_a_removed_route_ends_the_wait():
    async with async_busy_environment() as env:
        call = await async_waiting_call(env)
        view = env.daemon.view
        kept = [row for row in ranked_routes() if row.prefix != "/safe/"]
        services = list(view.routes.services.values())
        table = create_route_table(2, {"a.example": kept}, services, view.routes.limits)
        view.routes = table
        status, _, _ = await call
        assert status == 503
        assert outcomes(env) == ["route_removed"]
        assert not env.ran()


async def test_servers_that_leave_end_the_wait():
    async with async_busy_environment() as env:
        call = await async_waiting_call(env)
        servers = env.daemon.view.servers
        servers.leaving.add(servers.servers["i-0"].incarnation)
        servers.rebuild()
        status, body, _ = await call
        assert (status, body) == (503, b"no server may be used: booking\n")
        assert outcomes(env) == ["unavailable"]


async def test_a_more_urgent_request_displaces_the_last_one():
    async with async_busy_environment(ranked_routes(goal_seconds=4.0)) as env:
        set_load(env, 400)
        calls = [asyncio.create_task(env.async_call("/safe/1")) for _ in range(64)]
        await async_until(lambda: waiting(env) >= WAITING_MAX - TRIES_PER_CHECK)
        urgent = [
            asyncio.create_task(env.async_call("/unsafe/1", "POST"))
            for _ in range(TRIES_PER_CHECK)
        ]
        await async_until(lambda: "displaced" in outcomes(env))
        set_load(env, 0)
        statuses = [status for status, _, _ in await asyncio.gather(*calls, *urgent)]
        assert statuses[-TRIES_PER_CHECK:] == [200] * TRIES_PER_CHECK
        assert 503 in statuses
        assert env.ran() == statuses.count(200)


async def test_a_stop_closes_the_queue():
    async with async_ranked_environment() as env:
        await env.daemon.async_stop()
        assert env.daemon.admission.room.is_closed


async def test_a_wait_ends_when_the_mode_is_switched_off():
    async with async_busy_environment() as env:
        call = await async_waiting_call(env)
        env.daemon.view.servers.demand.competing_callers = False
        env.daemon.admission.tick(env.clock.monotonic())
        status, body, _ = await call
        assert (status, body) == (503, b"all servers are busy: booking\n")
        assert outcomes(env) == ["unavailable"]
        assert not env.daemon.admission.levels.services


def overload(env, seconds=15.0):
    """Advance the level as if all responses reported a long queue for a while."""
    admission = env.daemon.admission
    server = env.daemon.view.servers.servers["i-0"]
    now = env.clock.monotonic()
    for number in range(int(seconds / 0.5)):
        at = now + number / 2
        admission.levels.pressures.record_load(server, 12, at)
        admission.levels.decide("booking", 1, "", 0.5, at)
        for _ in range(9):
            admission.levels.decide("booking", 3, "", 0.5, at)
        admission.tick(at)


async def test_in_an_overload_the_urgent_are_served_and_the_level_is_logged():
    async with async_ranked_environment(metrics=True) as env:
        overload(env)
        changes = env.events.of(Event.ADMISSION_LEVEL_CHANGED)
        assert len(changes) >= 3
        assert 3 <= changes[-1]["level"] < 3.5
        assert {"pressure", "pressure_age", "pressure_regions", "peer_share"} <= set(
            changes[-1]
        )
        statuses = {}
        for path, method in (("/unsafe/1", "POST"), ("/upload/1", "PUT")):
            calls = (env.async_call(path, method) for _ in range(30))
            statuses[path] = [row[0] for row in await asyncio.gather(*calls)]
        assert statuses["/unsafe/1"] == [200] * 30
        assert statuses["/upload/1"].count(503) >= 20
        assert env.ran() == 60 - statuses["/upload/1"].count(503)
        _, lines = await async_scrape(env)
        rejected = value(lines, "admission_rejected_total", service="booking", rank="3")
        assert rejected == statuses["/upload/1"].count(503)
        assert 3 <= value(lines, "admission_level", service="booking") < 3.5
        assert value(lines, "requests_waiting") == 0


async def test_a_wait_is_visible_in_a_scrape():
    async with async_busy_environment(create=async_scraped_environment) as env:
        await env.async_call("/safe/1")
        _, lines = await async_scrape(env)
        assert value(lines, "waits_total", service="booking", outcome="expired") == 1
        assert value(lines, "wait_time_seconds_bucket", le="+Inf") == 1
        assert value(lines, "pressures_invalid_total") == 0


def async_scraped_environment(**fields):
    return async_ranked_environment(metrics=True, **fields)


async def test_figures_of_peers_arrive_by_gossip_and_of_older_builds_there_are_none():
    async with async_ranked_environment() as env:
        gossip = env.daemon.gossip
        message = decode(gossip.encode_exchange(0))
        fields = msgspec.msgpack.decode(ENCODER.encode(message))
        older = msgspec.msgpack.encode(
            fields[: Message.__struct_fields__.index("pressures")]
        )
        gossip.apply_exchange(older)
        received = env.daemon.admission.levels.pressures.received
        assert not received
        message.pressures = [ServicePressure("north", "booking", 0.5, 0.1)]
        gossip.apply_exchange(encode(message))
        received = env.daemon.admission.levels.pressures.received
        assert received["booking", "north"].pressure == 0.5


async def test_with_the_mode_off_figures_of_peers_are_ignored():
    async with async_environment(servers=1) as env:
        admission = env.daemon.admission
        admission.take([ServicePressure("north", "booking", 0.5, 0.1)])
        assert not admission.levels.pressures.received
        assert admission.recent() == []


async def test_a_rejection_by_the_level_names_its_inputs_and_has_not_run():
    async with async_ranked_environment() as env:
        set_level(env, 0.02)
        status, body, headers = await env.async_call("/upload/1", "PUT")
        assert (status, body) == (503, b"rejected by admission level: booking\n")
        assert float(headers["Retry-After"]) > 1
        (refused,) = env.events.of(Event.REQUEST_REFUSED)
        assert refused["kind"] is ErrorKind.OVERLOADED
        fields = ("rank", "level", "pressure", "pressure_age", "pressure_regions")
        assert [refused[name] for name in fields] == [3, 1.02, 0.9, 0.4, 2]
        assert env.daemon.counters.admission_rejected["booking", "3"] == 1
        assert not env.ran()
        status, _, _ = await env.async_call("/unsafe/1", "POST")
        assert status == 200


def set_level(env, share):
    """Set the level of a service that is overloaded, most of it by rank 3."""
    admission = env.daemon.admission
    admission.stepped_at = math.inf
    level = ServiceLevel()
    level.plan = create_plan({(1, ""): 1e-6, (3, ""): 100.0}, share)
    level.plan = level.plan._replace(level=1.02, by_rank={1: 1.0, 3: 0.0})
    level.pressure = MergedPressure(0.9, 0.4, 2, None)
    admission.levels.services["booking"] = level


async def test_a_normal_load_is_admitted_in_full():
    async with async_ranked_environment(servers=2) as env:
        for number in range(60):
            path, method = [("/safe/1", "GET"), ("/upload/1", "PUT")][number % 2]
            status, _, _ = await env.async_call(path, method)
            assert status == 200
        assert not env.daemon.counters.admission_rejected
        assert not env.events.of(Event.ADMISSION_LEVEL_CHANGED)


@pytest.mark.parametrize(
    "figure",
    [
        ServicePressure("south", "booking", math.nan, 0.1),
        ServicePressure("south", "booking", -0.1, 0.1),
        ServicePressure("south", "booking", math.inf, 0.1),
        ServicePressure("south", "booking", 1e9, 0.1),
        ServicePressure("south", "booking", 0.5, math.nan),
        ServicePressure("south", "booking", 0.5, -0.1),
        ServicePressure("south", "booking", 0.5, 0.1, 1.5),
        ServicePressure("south", "booking", 0.5, 0.1, math.nan),
        ServicePressure("nowhere", "booking", 0.5, 0.1),
        ServicePressure("south", "unknown", 0.5, 0.1),
    ],
    ids=str,
)
async def test_an_invalid_figure_of_a_peer_is_ignored_counted_and_logged_once(figure):
    # A figure of one faulty host would otherwise shed the callers of all others.
    async with async_ranked_environment() as env:
        admission = env.daemon.admission
        for _ in range(3):
            admission.take([figure])
        assert not admission.levels.pressures.received
        assert env.daemon.counters.pressures_invalid == 3
        assert len(env.events.of(Event.PRESSURE_INVALID)) == 1


async def test_a_host_shares_the_figures_that_it_measures():
    async with async_busy_environment() as env:
        server = env.daemon.view.servers.servers["i-0"]
        for load in ("4,40", "4,40", "-1,nan", "", None):
            report = env.daemon.placer.load_reader.read(server, load)
            env.daemon.admission.notice_response(server, report)
        await async_until(lambda: env.daemon.admission.recent())
        message = decode(env.daemon.gossip.encode_exchange(0))
        (figure,) = message.pressures
        assert (figure.region, figure.service) == ("north", "booking")
        assert figure.pressure > PRESSURE_LIMIT


async def test_the_load_report_of_a_response_is_decoded_once():
    # Each response carries one; decoding it for each user of it took time twice.
    async with async_ranked_environment() as env:
        reader = env.daemon.placer.load_reader
        decode_load, decoded = reader.decode, []
        reader.decode = lambda text: decoded.append(text) or decode_load(text)
        status, _, _ = await env.async_call("/safe/1")
        assert status == 200
        assert len(decoded) == 1
        assert "booking" in env.daemon.admission.levels.pressures.samples
