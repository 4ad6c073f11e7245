"""Pace reports, probes of the health path, and choices by expected finish."""

import msgspec
import pytest
from deployment import async_until
from gateway_world import NAMES, ZONES, EventLog, async_environment, routes
from test_gateway_gossip import host
from test_gateway_metrics import async_scrape, value

from greengagepoint.events import Event
from greengagepoint.placing.finish import Reason
from greengagepoint.placing.tables import Server
from greengagepoint.routing.tables import Destination, Route, ServicePolicy
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.gossip_messages import Message, decode, encode
from greengagepoint_node.gateway.pace_probe import STARTUP_SECONDS
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.region_weights import RegionWeights
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_standins.users_platform.backend import Manner

PACED = "1,0,4,100"
HEALTH = "/healthz"
NOW = 50.0


def probes(env):
    return [
        row for backend in env.backends for row in backend.received if HEALTH in row
    ]


def skip_startup(env):
    """Let the host know its peers, so that it probes if it is the first."""
    env.clock.ahead += STARTUP_SECONDS


def set_health_path(env):
    policy = ServicePolicy(name="booking", health_path=HEALTH)
    env.daemon.view.routes.services["booking"] = policy


async def test_the_mode_is_on_before_the_first_caller():
    # Keys would be placed by the rules of the other mode first, and run cold again.
    async with async_environment(load=PACED, health_path=HEALTH) as env:
        demand = env.daemon.view.servers.demand
        await env.daemon.pace_probe.async_probe_due()
        assert not probes(env)
        skip_startup(env)
        await async_until(lambda: demand.is_on)
        (row,) = env.events.of(Event.UNEVEN_SERVERS_FOUND)
        assert row["source"] == "probe"
        (probe,) = probes(env)
        assert probe.method == "GET"
        assert NAMES.target_instance.lower() in probe.headers
        await env.daemon.pace_probe.async_probe_due()
        assert len(probes(env)) == 1


async def test_servers_without_a_pace_are_probed_once():
    # The probe costs nothing where servers never report a pace.
    async with async_environment(health_path=HEALTH) as env:
        skip_startup(env)
        await async_until(lambda: env.daemon.pace_probe.answered)
        env.clock.ahead += 30
        await env.daemon.pace_probe.async_probe_due()
        assert len(probes(env)) == 1
        assert not env.daemon.view.servers.demand.is_on
        rows = env.daemon.view.servers.servers.values()
        assert all(row.reported_at < 0 for row in rows)


@pytest.mark.parametrize("manner", [Manner.RESET, Manner.SHED, Manner.GARBAGE])
async def test_a_failed_probe_is_repeated_after_its_interval(manner):
    # The first server asked has crashed or sheds; nothing may depend on that one.
    async with async_environment(load=PACED) as env:
        probe = env.daemon.pace_probe
        for backend in env.backends:
            backend.manner = manner
        set_health_path(env)
        skip_startup(env)
        await async_until(lambda: probe.failed)
        count = len(probes(env))
        await probe.async_probe_due()
        assert len(probes(env)) == count
        for backend in env.backends:
            backend.manner = Manner.GOOD
        env.clock.ahead += 5
        await probe.async_probe_due()
        await async_until(lambda: env.daemon.view.servers.demand.is_on)
        assert len(env.events.of(Event.PACE_PROBE_FAILED)) == 1


async def test_only_the_first_host_of_a_region_probes():
    async with async_environment(load=PACED) as env:
        probe = env.daemon.pace_probe
        probe.is_prober = lambda: False
        set_health_path(env)
        skip_startup(env)
        await probe.async_probe_due()
        assert not probes(env)


async def test_a_silent_server_delays_no_caller():
    # The server accepts the probe and never answers it.
    async with async_environment(servers=1) as env:
        env.backends[0].manner = Manner.SILENT
        set_health_path(env)
        skip_startup(env)
        await async_until(lambda: probes(env))
        env.backends[0].manner = Manner.GOOD
        status, _, _ = await env.async_call("/safe/1")
        assert status == 200
        assert not env.daemon.pace_probe.answered


async def test_a_malformed_load_header_is_logged_once_and_ignored():
    async with async_environment(servers=1, load="1,nan,4") as env:
        for number in range(3):
            status, _, _ = await env.async_call(f"/safe/{number}")
            assert status == 200
        (row,) = env.events.of(Event.LOAD_REPORT_INVALID)
        assert row["detail"] == "load '1,nan,4'"
        (server,) = env.daemon.view.servers.servers.values()
        assert server.reported_at < 0


async def test_a_choice_by_finish_is_logged_and_counted():
    # An operator sees from a line what the host expected and with which inputs.
    rows = routes(affinity=True)
    async with async_environment(load=PACED, health_path=HEALTH, rows=rows) as env:
        skip_startup(env)
        await async_until(lambda: env.daemon.view.servers.demand.is_on)
        cookie = {"Cookie": f"{NAMES.affinity_cookie}=k1"}
        for _ in range(128):
            status, _, _ = await env.async_call("/safe/1", headers=cookie)
            assert status == 200
        lines = env.events.of(Event.REQUEST_ANSWERED)
        assert lines
        line = lines[0]
        assert line["choice"] == "home"
        assert line["expected_warm"] is True
        assert line["expected_finish"] >= line["expected_run"] > 0
        assert (line["pace"], line["pace_age"] >= 0) == (1.0, True)
        finish = env.daemon.placer.finish
        assert finish.choices["booking", "home"] == 128
        assert sum(finish.runs.values()) > 100
        assert not finish.expected
        # All requests of a key go to its home.
        assert sorted(
            sum(row.target == "/safe/1" for row in backend.ran)
            for backend in env.backends
        ) == [0, 128]


async def test_with_the_mode_off_nothing_is_logged_or_learned():
    # Deployments without competing callers or uneven servers must behave as before.
    async with async_environment(rows=routes(affinity=True)) as env:
        cookie = {"Cookie": f"{NAMES.affinity_cookie}=k1"}
        for _ in range(128):
            status, _, _ = await env.async_call("/safe/1", headers=cookie)
            assert status == 200
        lines = env.events.of(Event.REQUEST_ANSWERED)
        assert lines
        assert not any("choice" in line or "pace" in line for line in lines)
        finish = env.daemon.placer.finish
        assert not (finish.choices or finish.runs or finish.expected)
        assert not finish.run_times.routes


async def test_the_metrics_show_choices_and_runs():
    rows = routes(affinity=True)
    async with async_environment(metrics=True, load=PACED, rows=rows) as env:
        env.daemon.view.servers.demand.uneven_servers = True
        cookie = {"Cookie": f"{NAMES.affinity_cookie}=k1"}
        await env.async_call("/safe/1", headers=cookie)
        _, lines = await async_scrape(env)
        labels = {"service": "booking"}
        assert value(lines, "choices_by_finish_total", **labels, reason="home") == 1
        runs = {"expected": "warm", "measured": "warm"}
        assert value(lines, "runs_by_warmth_total", **labels, **runs) == 1
        assert value(lines, "finish_excess_seconds_bucket", le="+Inf") == 1


@pytest.mark.parametrize(
    ("waited", "reason"), [(0.0, Reason.HOME), (0.9, Reason.LATE_AT_HOME)]
)
def test_the_time_that_a_request_has_waited_counts_toward_its_goal(waited, reason):
    # The body of an upload, or a first attempt, has used up most of the goal.
    view = FleetView(ZONES, lambda item: None, EventLog())
    for number in range(3):
        name = f"i-{number}"
        view.servers.servers[name] = Server(name, "booking", "", "zone-a", "north", 3)
    view.servers.rebuild()
    view.servers.demand.uneven_servers = True
    weights = RegionWeights("north", 1, view.servers, EventLog())
    placer = Placer("h1", "north", view, weights, 0.0, EventLog())
    route = Route(name="r", prefix="/", destinations=(Destination("booking"),))
    call = Call("id-1", route, "booking", "k", "/", NOW - waited, NOW + 5)
    assert isinstance(placer.place(call, frozenset(), NOW), Server)
    assert placer.finish.choices == {("booking", reason): 1}
    assert placer.finish.expected["id-1"].reason is reason


async def test_a_refusal_by_finish_logs_its_inputs():
    rows = routes(affinity=True)
    async with async_environment(load=PACED, health_path=HEALTH, rows=rows) as env:
        skip_startup(env)
        await async_until(lambda: env.daemon.view.servers.demand.is_on)
        env.daemon.placer.wait_allowance.tokens = 0.0
        now = env.daemon.clock.monotonic()
        for server in env.daemon.view.servers.servers.values():
            server.apply_report(4, 30, now)
        cookie = {"Cookie": f"{NAMES.affinity_cookie}=k1"}
        status, _, _ = await env.async_call("/safe/1", headers=cookie)
        assert status == 503
        (row,) = env.events.of(Event.REQUEST_REFUSED)
        assert row["expected_finish"] > 0.4
        assert row["expected_wait"] == row["shortest_wait"]
        assert env.daemon.placer.finish.choices["booking", "none"] == 1


def test_the_mode_spreads_by_gossip_and_stays_on():
    # A host must know the mode before its own callers arrive.
    one, other = host("h1"), host("h2")
    assert not decode(one.encode_exchange(0)).uneven_servers
    one.view.servers.demand.uneven_servers = True
    other.apply_exchange(one.encode_exchange(0))
    assert other.view.servers.demand.uneven_servers
    assert other.events.of(Event.UNEVEN_SERVERS_FOUND) == [{"source": "peer"}]
    one.view.servers.demand.uneven_servers = False
    other.apply_exchange(one.encode_exchange(0))
    assert other.view.servers.demand.uneven_servers


def test_a_message_of_the_previous_build_changes_nothing():
    # During an update, hosts of both builds exchange messages.
    one, other = host("h1"), host("h2")
    one.view.servers.demand.uneven_servers = True
    values = msgspec.msgpack.decode(encode(decode(one.encode_exchange(0))))
    position = Message.__struct_fields__.index("uneven_servers")
    assert values[position] is True
    other.apply_exchange(msgspec.msgpack.encode(values[:position]))
    assert not other.view.servers.demand.uneven_servers
