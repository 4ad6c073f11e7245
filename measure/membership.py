"""Measure how hosts watch each other, against heartbeats from each to all."""

import random
import statistics
import time
from typing import Final, NamedTuple

import msgspec

from greengagepoint.membership.messages import HostState
from greengagepoint.membership.tables import Change
from greengagepoint_node.peer_codec import PeerCodec
from measure.figure import Figure
from measure.membership_fleet import TWELVE, Fleet, lay_out

CONTROL_BYTES_PER_SECOND: Final = 3000
CONTROL_MILLISECONDS_PER_SECOND: Final = 23
SIZES: Final = ((12, 3, 2, 2), (50, 5, 2, 5), (180, 15, 3, 4), (200, 5, 4, 10))
# Takes half a minute, so it is run by hand: python -m measure.membership.
LARGE_SIZE: Final = (5, 4, 40)
# Claims of a start travel on for a while; at rest there are none.
WARM_SECONDS: Final = 90
RUN_SECONDS: Final = 10
DEATHS: Final = 10
LOSSES: Final = (0.05, 0.2)
ALARM_SECONDS: Final = 600
HEARTBEAT_SILENCE_SECONDS: Final = 5
SECONDS_PER_HOUR: Final = 3600


class Cost(NamedTuple):
    """Cost of a node: means, and the largest node's messages and bytes a second."""

    messages: float
    messages_max: float
    bytes: float
    bytes_max: float
    milliseconds: float


def envelope_bytes(fleet: Fleet) -> int:
    """Return what the authenticated envelope adds to one message."""
    tables = next(iter(fleet.tables.values()))
    codec = PeerCodec("h0-0-0", tables.me.incarnation, b"k", [type(tables.me)])
    message = tables.me
    alone = len(msgspec.msgpack.encode(message))
    clock = (tables.me.incarnation, 0)
    return len(codec.encode("h1-1-1", clock, [message])) - alone


def cost(places: tuple[int, int, int]) -> Cost:
    """Run a fleet at rest and return what a node costs, envelopes included."""
    fleet = Fleet(lay_out(*places))
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


def notice() -> tuple[list[float], list[float]]:
    """Return seconds until all hosts suspect a dead one, and hold it gone."""
    fleet = Fleet(TWELVE).run(15)
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


def _last(fleet: Fleet, name: str, since: float, state: HostState) -> float:
    """Return when the last host came to hold a state, or a worse one."""
    first: dict[str, float] = {}
    states = {state, HostState.GONE}
    for when, viewer, change in fleet.changes:
        if when < since or not isinstance(change, Change) or change.host != name:
            continue
        if change.after.state in states:
            first.setdefault(viewer, when)
    return max(first.values())


def alarms(loss: float) -> tuple[float, float]:
    """Return hosts wrongly held gone and suspected an hour by all 12 together."""
    fleet = Fleet(TWELVE, loss=loss).run(15)
    fleet.changes.clear()
    fleet.run(ALARM_SECONDS)
    hours = ALARM_SECONDS / SECONDS_PER_HOUR
    suspected = fleet.seen(HostState.SUSPECTED)
    return len(fleet.seen(HostState.GONE)) / hours, len(suspected) / hours


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


def run() -> list[Figure]:
    """Return all figures."""
    figures = []
    for hosts, *places in SIZES:
        figures += _cost_figures(hosts, cost(tuple(places)))
    suspected, gone = notice()
    for name, values in (("out of look-ups", suspected), ("held gone", gone)):
        silence = HEARTBEAT_SILENCE_SECONDS
        median = statistics.median(values)
        figures += [
            Figure(f"dead host {name} everywhere, median", median, "s", silence),
            Figure(f"dead host {name} everywhere, most", max(values), "s", silence),
        ]
    for loss in LOSSES:
        wrong, doubts = alarms(loss)
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
    for figure in run():
        print(figure)
    print(cost(LARGE_SIZE))
