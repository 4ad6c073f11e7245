"""Measure what a configuration of many routes costs one host of the platform.

Names and prefixes are made up, 7 letters each, a route in about 200 bytes, half of the
routes under each of two host names. The baseline of each size is the smallest one.
"""

import asyncio
import random
import string
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from statistics import median
from typing import Any, Final, NamedTuple

import msgspec

from greengagepoint.events import Event
from greengagepoint.routing.tables import RouteTable, find_route
from greengagepoint_node.gateway.facts import Changes, StoredItem
from greengagepoint_node.gateway.view import FleetView
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


def configuration(routes: int) -> bytes:
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
        {"version": "r12", "listeners": listeners, "clusters": clusters}
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


async def async_put_in_force(view: FleetView, value: bytes) -> None:
    """Give a host a configuration, and wait until it is in force."""
    item = StoredItem(KEY_CONFIGURATION, value, 1)
    # In a step of its own, so that no start of the event loop counts as part of it.
    await asyncio.sleep(0)
    view.apply(Changes((item,), 1), 0.0)
    await view.events.in_force.wait()


def table_of(value: bytes) -> RouteTable:
    """Return a configuration's table."""
    view = FleetView({}, decode_item, Lines())
    asyncio.run(async_put_in_force(view, value))
    assert view.routes is not None
    return view.routes


def cost(value: bytes) -> Cost:
    """Return what a configuration costs, the median of several rounds each."""
    found = []
    for _ in range(ROUNDS):
        with timed_steps() as steps:
            table_of(value)
        found.append(Cost(sum(steps), max(steps)))
    return Cost(*(median(column) for column in zip(*found, strict=True)))


def peak_kilobytes(value: bytes) -> float:
    """Return the most memory that a configuration takes beside its own bytes."""
    tracemalloc.start()
    table_of(value)
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


def slopes() -> list[Slope]:
    """Return each cost over the number of routes."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size in SIZES:
        value = configuration(size)
        whole = cost(value)
        table = table_of(value)
        middle = msgspec.json.decode(value)["listeners"][0]["rules"][size // 4]
        values = {
            ("until in force", "ms"): whole.whole * MILLISECONDS,
            ("longest step of the loop", "ms"): whole.longest_step * MILLISECONDS,
            ("look-up, a hit in the middle", "us"): look_up_microseconds(
                table, f"{middle['match']['pathPrefix']}x"
            ),
            ("look-up, a miss", "us"): look_up_microseconds(table, "/unknown/x"),
            ("peak memory", "kB"): peak_kilobytes(value),
        }
        for key, found in values.items():
            points.setdefault(key, []).append((size, found))
    return [
        Slope(name, "routes", unit, tuple(row)) for (name, unit), row in points.items()
    ]


def figures(slope: Slope) -> list[Figure]:
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


def run() -> list[Figure]:
    """Return the figures."""
    return [figure for slope in slopes() for figure in figures(slope)]
