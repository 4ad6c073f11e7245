"""Measure caps: capacity left unused, time for a unit to move, messages and cost."""

import random
import time
from collections.abc import Callable
from contextlib import contextmanager
from statistics import mean
from typing import Final, NamedTuple

import msgspec

from greengagepoint.caps import owners, permits
from greengagepoint.caps.messages import (
    Granted,
    LoanGrant,
    LoanRequest,
    Vouch,
    VouchRequest,
    Want,
)
from greengagepoint.caps.owners import update_live
from greengagepoint.caps.system import run as run_tick
from greengagepoint_standins.caps_layout import Layout
from greengagepoint_standins.caps_world import World
from measure.caps_size import large_layout, ledger_bytes, table_bytes
from measure.figure import Figure

REGIONS: Final = ("attiki", "kentriki", "dytiki")
HOSTS: Final = tuple(f"{region}-{n}" for region in REGIONS for n in range(1, 5))
SITE: Final = "booking"
LIMIT: Final = 120
LAYOUT: Final = Layout(
    hosts=HOSTS,
    region_of_site={SITE: "attiki"},
    capacity=dict.fromkeys(REGIONS, 2 * LIMIT),
    limits={SITE: LIMIT},
    request_seconds=10,
)
SEED: Final = 11
STEP_SECONDS: Final = 0.05
TICK_STEPS: Final = 4
LINK_SECONDS: Final = 0.02
REQUEST_SECONDS: Final = 0.2
WARM_SECONDS: Final = 6
TRACE_SECONDS: Final = 30
CHANGE_SECONDS: Final = 1.0
SHIFT_PART: Final = 0.9
LOSS_SECONDS: Final = 40
"""Request, loan, confirmation and pause end well within this time here."""

TICK_SECONDS: Final = STEP_SECONDS * TICK_STEPS
COST_SECONDS: Final = 12
NEVER: Final = 10**9
ROUNDS: Final = 15

Demand = dict[str, int]


class Way(NamedTuple):
    """A way to share a cap; ``owners`` is 0 for static shares."""

    name: str
    owners: int


STATIC: Final = Way("static shares", 0)
SINGLE: Final = Way("one lease holder", 1)
LOANS: Final = Way("loans from four owners", 4)


@contextmanager
def _owners_a_site(count: int):
    """Let this many hosts own a site."""
    before = owners.OWNERS_PER_SITE
    owners.OWNERS_PER_SITE = count
    try:
        yield
    finally:
        owners.OWNERS_PER_SITE = before


def demand_trace() -> list[Demand]:
    """Return each host's demand, second by second; together 0.9 of the limit.

    Callers move between hosts: each host's weight walks at random.
    """
    source = random.Random(SEED)
    weights = {host: source.uniform(0.2, 1) for host in HOSTS}
    trace = []
    for _ in range(TRACE_SECONDS):
        for host in HOSTS:
            weights[host] = max(0.05, weights[host] * source.uniform(0.7, 1.4))
        total = sum(weights.values())
        trace.append(
            {host: round(0.9 * LIMIT * w / total) for host, w in weights.items()}
        )
    return trace


def build_world(demand: Demand) -> World:
    """Build the fleet and let it settle under a demand."""
    world = World(
        LAYOUT,
        SEED,
        step_seconds=STEP_SECONDS,
        tick_steps=TICK_STEPS,
        link_seconds=LINK_SECONDS,
    )
    for host in world.hosts.values():
        host.duration = REQUEST_SECONDS
    apply(world, demand)
    world.advance(WARM_SECONDS)
    return world


def apply(world: World, demand: Demand) -> None:
    """Set how many requests each host wants to run."""
    for name, host in world.hosts.items():
        host.wanted[SITE] = demand.get(name, 0)


def served(world: World) -> int:
    """Return requests in flight toward the site."""
    return world.in_flight()[SITE]


def static_served(demand: Demand, live: set[str]) -> int:
    """Return what fixed equal parts serve of a demand."""
    part = LIMIT // len(HOSTS)
    return sum(min(part, demand.get(host, 0)) for host in live)


def unused_part(way: Way, trace: list[Demand]) -> tuple[float, float]:
    """Return the part of a wanted capacity left unused, and messages a host second."""
    if not way.owners:
        parts = [static_served(d, set(HOSTS)) / sum(d.values()) for d in trace]
        return 1 - mean(parts), 0.0
    with _owners_a_site(way.owners):
        world = build_world(trace[0])
        world.sent.clear()
        parts = []
        for demand in trace:
            apply(world, demand)
            for _ in range(round(CHANGE_SECONDS / STEP_SECONDS)):
                world.step()
                parts.append(min(1.0, served(world) / sum(demand.values())))
        messages = sum(world.sent.values()) / len(HOSTS) / len(trace)
    return 1 - mean(parts), messages


def seconds_to_move(way: Way) -> float:
    """Return the time until 0.9 of a demand that jumped to one host runs there.

    Another region's host takes over a demand of half the limit at once.
    """
    old, new = "attiki-1", "kentriki-1"
    wanted = LIMIT // 2
    with _owners_a_site(way.owners):
        world = build_world({old: wanted})
        apply(world, {new: wanted})
        start = world.now
        while world.hosts[new].running[SITE] < SHIFT_PART * wanted:
            world.step()
            if world.now - start > LOSS_SECONDS:
                break
    return world.now - start


class AfterLoss(NamedTuple):
    """Part of the demand served after a host's loss."""

    worst: float
    average: float
    recovered_seconds: float


def after_loss(way: Way, *, store_down: bool = False) -> AfterLoss:
    """Kill the owner with the largest share; its callers go to the others."""
    with _owners_a_site(max(1, way.owners)):
        world = build_world(dict.fromkeys(HOSTS, 8))
        shares = {n: h.table.sites[SITE].owned for n, h in world.hosts.items()}
        lost = max(shares, key=shares.__getitem__)
        if store_down:
            for host in world.hosts.values():
                host.store_cut = True
        world.kill(lost)
        demand = dict.fromkeys(world.hosts, 9)
        apply(world, demand)
        start = world.now
        parts, last_short = [], 0.0
        while world.now - start < LOSS_SECONDS:
            world.step()
            running = sum(host.running[SITE] for host in world.hosts.values())
            parts.append(running / sum(demand.values()))
            if parts[-1] < SHIFT_PART:
                last_short = world.now - start
    return AfterLoss(min(parts[20:]), mean(parts), last_short)


def seconds_per_call(*calls: Callable[[], object], count: int) -> list[float]:
    """Return each call's processor time in its best of several alternating rounds.

    On a shared machine a round is only ever disturbed upward.
    """
    best = [float("inf")] * len(calls)
    for _ in range(ROUNDS):
        for index, call in enumerate(calls):
            start = time.process_time()
            for _ in range(count):
                call()
            best[index] = min(best[index], (time.process_time() - start) / count)
    return best


def request_cost() -> tuple[float, float]:
    """Return seconds for acquire with release, and for a bare counter."""
    world = build_world(dict.fromkeys(HOSTS, 1))
    host = world.hosts["attiki-1"]
    host.wanted.clear()
    now = host.clock(world.now)
    table = host.table

    def with_caps() -> None:
        permit = permits.acquire(table, SITE, 1.0, now)
        permits.release(table, permit)

    counters = {SITE: 0}

    def take(site: str) -> bool:
        if counters[site] >= LIMIT:
            return False
        counters[site] += 1
        return True

    def bare() -> None:
        if take(SITE):
            counters[SITE] -= 1

    with_caps_seconds, bare_seconds = seconds_per_call(with_caps, bare, count=20_000)
    return with_caps_seconds, bare_seconds


class NodeCost(NamedTuple):
    """What one host spends on caps each second while it borrows."""

    core_part: float
    messages: float
    sent_bytes: float


def node_cost(layout: Layout, wanted: Demand) -> NodeCost:
    """Measure one host's ticks and messages while all lenders grant what it wants."""
    world = World(layout, SEED, tick_steps=NEVER)
    name = layout.hosts[0]
    host = world.hosts[name]
    seen = [other.table.host for other in world.hosts.values()]
    spent, messages, sent_bytes = 0.0, 0, 0
    for n in range(round(COST_SECONDS / TICK_SECONDS)):
        now = n * TICK_SECONDS
        for site, peak in wanted.items():
            host.table.sites[site].peak = peak
        clock = host.clock(now)
        start = time.process_time()
        update_live(host.table, seen, clock)
        commands = run_tick(host.table, clock)
        spent += time.process_time() - start
        messages += len(commands.messages)
        for outgoing in commands.messages:
            sent_bytes += len(msgspec.msgpack.encode(outgoing.message))
            start = time.process_time()
            host.handle(outgoing.host, agree(outgoing.message), now)
            spent += time.process_time() - start
        if commands.sync:
            host.exchange(world.store, now)
    return NodeCost(
        spent / COST_SECONDS, messages / COST_SECONDS, sent_bytes / COST_SECONDS
    )


def agree(message: LoanRequest | VouchRequest) -> LoanGrant | Vouch:
    """Reply as a lender with enough units or as a witness."""
    if isinstance(message, VouchRequest):
        return Vouch(message.owner, message.witness, message.sequence)
    granted = tuple(Granted(want.site, want.want, 50) for want in message.wants)
    return LoanGrant(message.borrower, message.lender, message.sequence, 10, granted)


def lender_seconds() -> float:
    """Return the processor time to answer one loan request for one site."""
    world = build_world(dict.fromkeys(HOSTS, 1))
    host = world.hosts["attiki-1"]
    sequence = 10**6

    def answer() -> None:
        nonlocal sequence
        sequence += 1
        request = LoanRequest(1, 1, sequence, (Want(SITE, 1, 1),))
        host.handle("dytiki-1", request, world.now)

    return seconds_per_call(answer, count=2_000)[0]


def run() -> list[Figure]:
    """Measure and compare with static shares and one lease holder."""
    return [*demand_figures(), *loss_figures(), *cost_figures()]


def demand_figures() -> list[Figure]:
    """Compare how units follow demand."""
    trace = demand_trace()
    static, _ = unused_part(STATIC, trace)
    single, single_messages = unused_part(SINGLE, trace)
    loans, messages = unused_part(LOANS, trace)
    return [
        Figure("caps_unused_part", loans, "1", static, STATIC.name),
        Figure("caps_unused_part_single", loans, "1", single, SINGLE.name),
        Figure("caps_messages", messages, "1/host/s", single_messages, SINGLE.name),
        Figure(
            "caps_move_seconds",
            seconds_to_move(LOANS),
            "s",
            seconds_to_move(SINGLE),
            SINGLE.name,
        ),
    ]


def loss_figures() -> list[Figure]:
    """Compare what is served after the loss of an owner, and of the lease holder."""
    figures = []
    for suffix, store_down in (("", False), ("_store_down", True)):
        loans = after_loss(LOANS, store_down=store_down)
        single = after_loss(SINGLE, store_down=store_down)
        for field in AfterLoss._fields:
            unit = "s" if field.endswith("seconds") else "1"
            value, baseline = getattr(loans, field), getattr(single, field)
            name = f"caps_after_loss_{field}{suffix}"
            figures.append(Figure(name, value, unit, baseline, SINGLE.name))
    return figures


def cost_figures() -> list[Figure]:
    """Measure processor time and bytes."""
    with_caps, bare = request_cost()
    small = node_cost(LAYOUT, {SITE: 20})
    large = large_layout()
    busy = node_cost(large, {f"site{n:04d}": 20 for n in range(0, 1300, 43)})
    idle = node_cost(large, {})
    return [
        Figure("caps_request_seconds", with_caps, "s", bare, "a bare counter"),
        Figure("caps_lender_seconds", lender_seconds(), "s"),
        Figure("caps_node_core_part", small.core_part, "1", limit=0.02),
        Figure("caps_node_core_part_large", busy.core_part, "1", limit=0.023),
        Figure("caps_node_core_part_large_idle", idle.core_part, "1"),
        Figure("caps_node_messages_large", busy.messages, "1/s"),
        Figure("caps_node_sent_bytes_large", busy.sent_bytes, "B/s", limit=3000),
        Figure("caps_table_bytes_large", table_bytes(large), "B"),
        Figure("caps_ledger_bytes_large", ledger_bytes(large), "B", limit=1_000_000),
    ]
