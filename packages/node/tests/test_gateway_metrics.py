"""What a metrics scrape reports of the request path, and the limits of its size."""

import asyncio

import pytest
from gateway_world import async_environment

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint_node.gateway.counters import (
    ANSWERED,
    OTHER,
    ROUTES_MAX,
    GatewayCounters,
    Gauges,
)
from greengagepoint_node.gateway.metrics_page import MetricsPage
from greengagepoint_node.gateway.process_memory import UNKNOWN, resident_bytes
from greengagepoint_node.http.server import ServerLimits
from greengagepoint_standins.users_platform.backend import Manner

PREFIX = "greengagepoint_"
LIMITS = ServerLimits(
    header_bytes=8_192, headers=50, first_request_seconds=5.0, connections=10
)


async def async_scrape(world, path="/metrics"):
    address = world.daemon.settings.metrics_address
    async with world.session.get(f"http://{address}{path}") as answer:
        return answer.status, (await answer.text()).splitlines()


def value(lines, name, **labels):
    """Return the value of a series, whatever the order of its labels."""
    for line in lines:
        text, _, number = line.rpartition(" ")
        series, _, rest = text.partition("{")
        found = set(rest.rstrip("}").split(",")) - {""}
        if series == PREFIX + name and found == {
            f'{k}="{v}"' for k, v in labels.items()
        }:
            return float(number)
    return None


@pytest.mark.parametrize(
    ("manner", "outcome", "verdict", "attempts"),
    [
        (Manner.GOOD, ANSWERED, "answered", 1),
        (Manner.SHED, ErrorKind.BACKEND_SHED, "shed", 2),
        (Manner.RESET, ErrorKind.BACKEND_RESET, "broken", 2),
        (Manner.FOREIGN, ErrorKind.BACKEND_PROTOCOL, "foreign", 2),
    ],
)
async def test_a_scrape_reports_request_outcomes(manner, outcome, verdict, attempts):
    async with async_environment(metrics=True) as world:
        for backend in world.backends:
            backend.manner = manner
        await world.async_call("/safe/1")
        status, lines = await async_scrape(world)
        assert status == 200
        series = {"service": "booking", "route": "/safe/"}
        assert value(lines, "requests_total", **series, outcome=outcome) == 1
        bucket = {**series, "le": "+Inf"}
        assert value(lines, "request_duration_seconds_bucket", **bucket) == 1
        found = value(lines, "tries_total", service="booking", verdict=verdict)
        assert found == attempts
        assert value(lines, "backend_servers") == 2
        assert value(lines, "configuration_version") == 1
        store = {"operation": "snapshot", "outcome": "ok"}
        assert value(lines, "store_calls_total", **store) == 1


@pytest.mark.parametrize("text", ["", "5", "a b c"])
def test_memory_that_cannot_be_read_is_reported_as_unknown(tmp_path, text):
    statm = tmp_path / "statm"
    statm.write_text(text)
    assert resident_bytes(statm) == UNKNOWN
    assert resident_bytes(tmp_path / "none") == UNKNOWN


async def test_a_scrape_reports_resident_memory():
    async with async_environment(metrics=True) as world:
        _, lines = await async_scrape(world)
        assert value(lines, "memory_bytes") > 1_000_000


async def test_requests_without_a_route_share_one_series():
    # Callers may send any path; a series for each would exhaust the host's memory.
    async with async_environment(metrics=True) as world:
        for number in range(3):
            await world.async_call(f"/hostile-{number}/")
        _, lines = await async_scrape(world)
        labels = {"service": "", "route": "", "outcome": ErrorKind.UNKNOWN_SERVICE}
        assert value(lines, "requests_total", **labels) == 3
        assert not any("hostile" in line for line in lines)


def test_labels_that_hold_quotes_and_line_breaks_are_escaped():
    # Operators name routes; a raw line break would make the whole page invalid.
    counters = GatewayCounters()
    counters.add_request("booking", 'a"b\\c\nd', ANSWERED, 0.1)
    page = MetricsPage(counters, lambda: Gauges(*[0] * len(Gauges._fields)))
    assert r'route="a\"b\\c\nd"' in page.render().decode()


async def test_other_paths_of_the_address_are_not_found():
    async with async_environment(metrics=True) as world:
        assert (await async_scrape(world, "/"))[0] == 404
        assert world.daemon.metrics.page is None


def test_routes_beyond_the_bound_share_one_series():
    counters = GatewayCounters()
    for number in range(10_000):
        counters.add_request("booking", f"r{number}", ANSWERED, 0.1)
    assert len(counters.requests) == ROUTES_MAX + 1
    assert counters.requests["booking", OTHER, ANSWERED] == 10_000 - ROUTES_MAX
    page = MetricsPage(counters, lambda: Gauges(*[0] * len(Gauges._fields)))
    assert len(page.render().splitlines()) < 20 * (ROUTES_MAX + 10)


@pytest.mark.parametrize("kind", ["taken", "malformed"])
async def test_an_unusable_metrics_address_is_logged_and_requests_are_served(kind):
    # Another process holds the port. A host that exited for that would serve no
    # requests, and restart again and again.
    async with async_environment() as world:
        daemon = world.daemon
        address = daemon.settings.front_address if kind == "taken" else "nowhere"
        daemon.settings = daemon.settings._replace(metrics_address=address)
        await daemon._async_listen_for_scrapes(LIMITS)
        (row,) = world.events.of(Event.METRICS_UNAVAILABLE)
        assert row["address"] == address
        assert (await world.async_call("/safe/1"))[0] == 200


async def test_a_delayed_send_is_reported_with_the_age_of_the_state():
    # A request reached a server that had announced seconds before that it was leaving.
    # On-call engineers need to see whether the host had no such update when it chose
    # the server, or had it at the first byte, half a second later, and did not check.
    async with async_environment(metrics=True) as world:
        world.clock.stop()
        with world.blocked_connections() as waiting:
            call = asyncio.create_task(world.async_call("/safe/1"))
            await waiting.wait()
            world.clock.ahead += 0.7
        await call
        (line,) = world.events.of(Event.REQUEST_SENT)
        assert line["seconds"] == 0.7
        assert line["news_age"] == pytest.approx(line["news_age_at_choice"] + 0.7)
        _, lines = await async_scrape(world)
        assert value(lines, "send_delay_seconds_bucket", le="0.6") == 0
        assert value(lines, "send_delay_seconds_bucket", le="1") == 1
        assert value(lines, "news_age_seconds_bucket", le="+Inf") == 1
