"""Measure how hosts watch each other, against heartbeats from each to all."""

import random
import statistics
import time
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import ModuleType
from typing import Any, Final, NamedTuple

import msgspec

from greengagepoint.membership.messages import HostState
from greengagepoint.membership.tables import Change
from greengagepoint_node.peer_codec import PeerCodec
from measure.figure import Figure

FLEET_FILE: Final = (
    Path(__file__).parents[1] / "packages/core/tests/test_membership_fleet.py"
)
CONTROL_BYTES_PER_SECOND: Final = 3000
CONTROL_MILLISECONDS_PER_SECOND: Final = 23
SIZES: Final = ((12, 3, 2, 2), (50, 5, 2, 5), (200, 5, 4, 10))
LARGE_SIZES: Final = (*SIZES, (800, 5, 4, 40))
# Claims of a start travel on for a while; at rest there are none.
WARM_SECONDS: Final = 90
RUN_SECONDS: Final = 10
DEATHS: Final = 10
LOSSES: Final = (0.05, 0.2)
ALARM_SECONDS: Final = 900
HEARTBEAT_SILENCE_SECONDS: Final = 5
SECONDS_PER_HOUR: Final = 3600


class Cost(NamedTuple):
    """Cost of a node: means, and the largest node's messages and bytes a second."""

    messages: float
    messages_max: float
    bytes: float
    bytes_max: float
    milliseconds: float


def load_fleet() -> ModuleType:
    """Load the hosts on a virtual clock that the tests use."""
    return SourceFileLoader("membership_fleet", str(FLEET_FILE)).load_module()


def envelope_bytes(fleet: Any) -> int:
    """Return what the authenticated envelope adds to one message."""
    tables = next(iter(fleet.tables.values()))
    codec = PeerCodec("h0-0-0", tables.me.incarnation, b"k", [type(tables.me)])
    message = tables.me
    alone = len(msgspec.msgpack.encode(message))
    clock = (tables.me.incarnation, 0)
    return len(codec.encode("h1-1-1", clock, [message])) - alone


def cost(fleet_module: ModuleType, places: tuple[int, int, int]) -> Cost:
    """Run a fleet at rest and return what a node costs, envelopes included."""
    fleet = fleet_module.Fleet(fleet_module.places(*places))
    fleet.run(WARM_SECONDS)
    fleet.sent.clear()
    fleet.bytes.clear()
    started = time.process_time()
    fleet.run(RUN_SECONDS)
    used = time.process_time() - started
    extra = envelope_bytes(fleet)
    sizes = [fleet.bytes[name] + extra * fleet.sent[name] for name in fleet.tables]
    hosts = len(fleet.tables)
    return Cost(
        sum(fleet.sent.values()) / RUN_SECONDS / hosts,
        max(fleet.sent.values()) / RUN_SECONDS,
        sum(sizes) / RUN_SECONDS / hosts,
        max(sizes) / RUN_SECONDS,
        used * 1000 / RUN_SECONDS / hosts,
    )


def notice(fleet_module: ModuleType) -> tuple[list[float], list[float]]:
    """Return seconds until all hosts suspect a dead one, and hold it gone."""
    fleet = fleet_module.Fleet(fleet_module.TWELVE).run(15)
    names = sorted(fleet.tables)
    suspected, gone = [], []
    for index in range(DEATHS):
        name = names[index]
        fleet.stop(name)
        died = fleet.now
        fleet.run(25)
        suspected.append(_last(fleet, name, died, HostState.SUSPECTED) - died)
        gone.append(_last(fleet, name, died, HostState.GONE) - died)
        fleet.start(name)
        fleet.run(10)
    return suspected, gone


def _last(fleet: Any, name: str, since: float, state: HostState) -> float:
    """Return when the last host came to hold a state, or a worse one."""
    first: dict[str, float] = {}
    states = {state, HostState.GONE}
    for when, viewer, change in fleet.changes:
        if when < since or not isinstance(change, Change) or change.host != name:
            continue
        if change.after.state in states:
            first.setdefault(viewer, when)
    return max(first.values())


def alarms(fleet_module: ModuleType, loss: float) -> tuple[float, float]:
    """Return hosts wrongly held gone and suspected an hour by all 12 together."""
    fleet = fleet_module.Fleet(fleet_module.TWELVE, loss=loss).run(15)
    fleet.changes.clear()
    fleet.run(ALARM_SECONDS)
    hours = ALARM_SECONDS / SECONDS_PER_HOUR
    suspected = [
        change
        for _, _, change in fleet.changes
        if isinstance(change, Change) and change.after.state is HostState.SUSPECTED
    ]
    return len(fleet.gone_seen()) / hours, len(suspected) / hours


def heartbeat_alarms(hosts: int, loss: float) -> float:
    """Return hosts wrongly held gone an hour by heartbeats from each to all."""
    draw = random.Random(1)
    silent = dict.fromkeys(range(hosts * (hosts - 1)), 0)
    held_gone = 0
    for _ in range(ALARM_SECONDS):
        for pair in silent:
            silent[pair] = silent[pair] + 1 if draw.random() < loss else 0
            held_gone += silent[pair] == HEARTBEAT_SILENCE_SECONDS
    return held_gone * SECONDS_PER_HOUR / ALARM_SECONDS


def run(sizes: tuple[tuple[int, int, int, int], ...] = SIZES) -> list[Figure]:
    """Return all figures."""
    module = load_fleet()
    figures = []
    for hosts, *places in sizes:
        figures += _cost_figures(hosts, cost(module, tuple(places)))
    suspected, gone = notice(module)
    for name, values in (("out of look-ups", suspected), ("held gone", gone)):
        silence = HEARTBEAT_SILENCE_SECONDS
        median = statistics.median(values)
        figures += [
            Figure(f"dead host {name} everywhere, median", median, "s", silence),
            Figure(f"dead host {name} everywhere, most", max(values), "s", silence),
        ]
    for loss in LOSSES:
        wrong, doubts = alarms(module, loss)
        percent = f"{loss:.0%} loss, 12 hosts"
        plain = heartbeat_alarms(12, loss)
        figures += [
            Figure(
                f"wrongly held gone, {percent}",
                wrong,
                "1/h",
                plain,
                "5 heartbeats missed",
            ),
            Figure(f"wrongly suspected, {percent}", doubts, "1/h"),
        ]
    return figures


def _cost_figures(hosts: int, each: Cost) -> list[Figure]:
    """Return the figures of one size; the baseline sends to all others each second."""
    return [
        Figure(
            f"messages a node, {hosts} hosts",
            each.messages,
            "1/s",
            hosts - 1,
            "heartbeat to all",
        ),
        Figure(
            f"messages of the busiest node, {hosts} hosts", each.messages_max, "1/s"
        ),
        Figure(f"bytes a node, {hosts} hosts", each.bytes, "B/s"),
        Figure(
            f"bytes, busiest node, {hosts} hosts",
            each.bytes_max,
            "B/s",
            limit=CONTROL_BYTES_PER_SECOND,
        ),
        Figure(
            f"processor time a node, {hosts} hosts",
            each.milliseconds,
            "ms/s",
            limit=CONTROL_MILLISECONDS_PER_SECOND,
        ),
    ]


if __name__ == "__main__":
    for figure in run(LARGE_SIZES):
        print(figure)
