"""Measure what a configuration of many routes costs one host of the platform.

Names and prefixes are made up, 7 letters each, a route in about 200 bytes, half of the
routes under each of two host names. A version takes the place of another one of its
size. The baseline of costs is to read it whole in one step of the event loop, that of
look-ups the smallest size.
"""

import asyncio
import gc
import random
import string
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from statistics import median
from typing import Any, Final, NamedTuple

import msgspec

from greengagepoint.events import Event
from greengagepoint.routing.tables import RouteTable, find_route
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.configuration_loader import ConfigurationLoader
from greengagepoint_node.gateway.store_types import Changes, StoredItem
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_platform.configuration import decode_in_steps
from greengagepoint_platform.decoding import decode_item
from greengagepoint_platform.names import KEY_CONFIGURATION
from measure.capacity_slopes import Slope
from measure.figure import Figure
from measure.runner import is_quick

SIZES: Final = (500, 2_000, 5_000, 10_000)
HOSTS: Final = ("north.example", "south.example")
SERVICES: Final = 40
NAME_LETTERS: Final = 7
ROUNDS: Final = 3 if is_quick() else 9
LOOK_UPS: Final = 200
SEED: Final = 5
MILLISECONDS: Final = 1e3
MICROSECONDS: Final = 1e6
KILOBYTE: Final = 1e3
ROUTES_A_SLOPE: Final = 1_000
# The smallest host has 0.43 of one core; there a step may take 20 ms, and 5,000 routes
# one second.
SMALLEST_CORE: Final = 0.43
LIMITS: Final = {
    ("longest step of the loop", 5_000): 20 * SMALLEST_CORE,
    ("until in force", 5_000): 1_000 * SMALLEST_CORE,
}


class Lines:
    """Tell when a configuration is in force."""

    def __init__(self) -> None:
        self.in_force = asyncio.Event()

    def record(self, event: Event, **fields: Any) -> None:
        """Take in one event."""
        if event is Event.CONFIGURATION_IN_FORCE:
            self.in_force.set()


class Cost(NamedTuple):
    """What one version cost until it was in force; times are processor seconds."""

    whole: float
    longest_step: float


def configuration(routes: int, version: int = 1) -> bytes:
    """Return a configuration as an operator would write it."""
    draw = random.Random(SEED)
    names = [_word(draw) for _ in range(routes)]
    services = [_word(draw) for _ in range(SERVICES)]
    rules = [_rule(draw, name, draw.choice(services)) for name in names]
    listeners = [
        {"host": host, "rules": rules[index :: len(HOSTS)]}
        for index, host in enumerate(HOSTS)
    ]
    clusters = [{"name": name, "maxConns": 390, "coldStartS": 3} for name in services]
    return msgspec.json.encode(
        {"version": f"r{version}", "listeners": listeners, "clusters": clusters}
    )


def _word(draw: random.Random) -> str:
    """Return a made-up name."""
    return "".join(draw.choices(string.ascii_lowercase, k=NAME_LETTERS))


def _rule(draw: random.Random, name: str, service: str) -> dict[str, Any]:
    """Return one route."""
    return {
        "name": name,
        "kind": draw.choice(["safe", "unsafe", "download"]),
        "targetLatencyS": 0.4,
        "priority": draw.randrange(4),
        "match": {"pathPrefix": f"/{_word(draw)}/"},
        "action": {
            "service": service,
            "timeoutS": 1.2,
            "maxAttempts": 3,
            "allowedRegions": [draw.choice(["attiki", "kriti"])],
        },
    }


@contextmanager
def timed_steps() -> Iterator[list[float]]:
    """Keep the processor time of each step of the event loop."""
    steps: list[float] = []
    run = asyncio.Handle._run

    def timed(handle: asyncio.Handle) -> None:
        started = time.thread_time()
        run(handle)
        steps.append(time.thread_time() - started)

    asyncio.Handle._run = timed
    try:
        yield steps
    finally:
        asyncio.Handle._run = run


def view_of(*, in_steps: bool) -> FleetView:
    """Return what a host believes before its first configuration."""
    loader = ConfigurationLoader(decode_in_steps, SystemClock()) if in_steps else None
    return FleetView({}, decode_item, Lines(), loader=loader)


async def async_put_in_force(
    view: FleetView, values: Sequence[bytes], steps: list[float]
) -> None:
    """Put one version after another in force; leave the steps of the last one."""
    reading = None
    if view.loader is not None:
        reading = asyncio.create_task(view.loader.async_run(view))
    for revision, value in enumerate(values, 1):
        view.events.in_force.clear()
        # The step that ends here, and the one that began this, aren't the version's.
        await asyncio.sleep(0)
        steps.clear()
        await asyncio.sleep(0)
        item = StoredItem(KEY_CONFIGURATION, value, revision)
        view.apply(Changes((item,), revision), 0.0)
        await view.events.in_force.wait()
    if reading is not None:
        reading.cancel()


def table_of(value: bytes) -> RouteTable:
    """Return a configuration's table."""
    view = view_of(in_steps=False)
    asyncio.run(async_put_in_force(view, [value], []))
    assert view.routes is not None
    return view.routes


def cost(size: int, *, in_steps: bool) -> Cost:
    """Return what a version costs, and its longest step of several rounds."""
    values = [configuration(size, version) for version in (1, 2)]
    found = []
    for _ in range(ROUNDS):
        view = view_of(in_steps=in_steps)
        with timed_steps() as steps:
            asyncio.run(async_put_in_force(view, values, steps))
        found.append(Cost(sum(steps), max(steps)))
    return Cost(
        median(row.whole for row in found), max(row.longest_step for row in found)
    )


def peak_kilobytes(value: bytes, *, in_steps: bool) -> float:
    """Return the most memory that a configuration takes beside its own bytes."""
    view = view_of(in_steps=in_steps)
    tracemalloc.start()
    asyncio.run(async_put_in_force(view, [value], []))
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / KILOBYTE


def look_up_microseconds(table: RouteTable, path: str) -> float:
    """Return the processor time of one look-up."""

    def look_up() -> None:
        for _ in range(LOOK_UPS):
            find_route(table, HOSTS[0], path)

    return _shortest(look_up) / LOOK_UPS * MICROSECONDS


def _shortest(call: Callable[[], Any]) -> float:
    """Return the least processor time of a call, in seconds."""
    found = []
    for _ in range(ROUNDS):
        started = time.thread_time()
        call()
        found.append(time.thread_time() - started)
    return min(found)


def look_up_slopes() -> list[Slope]:
    """Return the cost of a look-up over the number of routes."""
    hits, misses = [], []
    for size in SIZES:
        value = configuration(size)
        table = table_of(value)
        middle = msgspec.json.decode(value)["listeners"][0]["rules"][size // 4]
        path = f"{middle['match']['pathPrefix']}x"
        hits.append((size, look_up_microseconds(table, path)))
        misses.append((size, look_up_microseconds(table, "/unknown/x")))
    return [
        Slope("look-up, a hit in the middle", "routes", "us", tuple(hits)),
        Slope("look-up, a miss", "routes", "us", tuple(misses)),
    ]


def reading_slopes(*, in_steps: bool) -> list[Slope]:
    """Return what a version costs over the number of routes."""
    whole, longest, peak = [], [], []
    for size in SIZES:
        found = cost(size, in_steps=in_steps)
        whole.append((size, found.whole * MILLISECONDS))
        longest.append((size, found.longest_step * MILLISECONDS))
        peak.append((size, peak_kilobytes(configuration(size), in_steps=in_steps)))
    return [
        Slope("until in force", "routes", "ms", tuple(whole)),
        Slope("longest step of the loop", "routes", "ms", tuple(longest)),
        Slope("peak memory", "routes", "kB", tuple(peak)),
    ]


def look_up_figures(slope: Slope) -> list[Figure]:
    """Return a figure for each size, and the slope."""
    smallest, first = slope.points[0]
    rows = [
        Figure(
            f"{slope.name}, {size:,.0f} routes",
            value,
            slope.unit,
            first,
            f"{smallest:,.0f} routes",
        )
        for size, value in slope.points
    ]
    each = slope.each * ROUTES_A_SLOPE
    return [*rows, Figure(f"{slope.name}, 1,000 routes more", each, slope.unit)]


def reading_figures(slope: Slope, at_once: Slope) -> list[Figure]:
    """Return a figure for each size, and the slope, against one step for all."""
    rows = [
        Figure(
            f"{slope.name}, {size:,.0f} routes",
            value,
            slope.unit,
            other,
            "in one step",
            limit=LIMITS.get((slope.name, size)),
        )
        for (size, value), (_, other) in zip(slope.points, at_once.points, strict=True)
    ]
    more = Figure(
        f"{slope.name}, 1,000 routes more",
        slope.each * ROUTES_A_SLOPE,
        slope.unit,
        at_once.each * ROUTES_A_SLOPE,
        "in one step",
    )
    return [*rows, more]


def run() -> list[Figure]:
    """Return the figures."""
    # As the daemon does once it has started.
    gc.freeze()
    figures = []
    pairs = zip(
        reading_slopes(in_steps=True), reading_slopes(in_steps=False), strict=True
    )
    for slope, at_once in pairs:
        figures += reading_figures(slope, at_once)
    for slope in look_up_slopes():
        figures += look_up_figures(slope)
    return figures
