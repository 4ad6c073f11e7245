"""Measure what faults do to callers and how long it takes until all is normal again.

Six daemons in Ermis' shape run in one loop with the stand-ins, under a steady load of
look-ups and reservations with keys from all regions. Each fault is measured in a
fleet of its own.
"""

import asyncio
import itertools
import os
import time
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from greengagepoint_node.daemon import Daemon
from measure.daemon_fleet import DaemonFleet, Shortened, async_fleet, async_until
from measure.figure import Figure
from measure.recovery_callers import Callers, Told
from measure.runner import is_quick

# A lost host's share stays unused for the longest request and 12 s more.
SHORTENED: Final = Shortened(lookup_ttl_seconds=1, max_deadline_ms=10_000)
BEFORE_SECONDS: Final = 2.0
AFTER_SECONDS: Final = 4.0
SHORT_SECONDS: Final = 4.0 if is_quick() else 8.0
# Longer than each timer that an outage of the store sets off: the ledger and the log
# are looked at every 30 s. An hour brings nothing more than repeats of these.
STORE_DOWN_SECONDS: Final = 6.0 if is_quick() else 35.0
CUT_SECONDS: Final = 15.0 if is_quick() else 25.0
# Longer than the 60 s after which what is known of a silent region is dropped.
ALONE_SECONDS: Final = 15.0 if is_quick() else 70.0
SLOW_STORE_MS: Final = 1_500.0
LOST_REPLIES: Final = 20
CHANGES_A_SIDE: Final = 3
ATTIKI: Final = "attiki"
KENTRIKI: Final = "kentriki-makedonia"
# A comma-separated choice of faults, for work on one of them.
CHOSEN_VARIABLE: Final = "GREENGAGEPOINT_MEASURE_FAULTS"


class Fault(NamedTuple):
    """When a fault began and ended, and what else was seen of it, in seconds."""

    began: float
    ended: float
    seen: dict[str, float]


Cause = Callable[[DaemonFleet], Awaitable[Fault]]


async def async_store_down_at_start(fleet: DaemonFleet) -> Fault:
    """Start a daemon while the store is down; bring the store back later."""
    began = time.monotonic()
    await fleet.store.async_refuse()
    place = next(iter(fleet.places.values()))
    late = await fleet.async_start_host("late", place)
    await async_until(lambda: late.state == "serving")
    serving = time.monotonic() - began
    await asyncio.sleep(SHORT_SECONDS)
    await fleet.store.async_accept()
    ended = time.monotonic()
    await async_until(lambda: late.caps.table.has_rights)
    rights = time.monotonic() - ended
    return Fault(began, ended, {"serves after": serving, "rights after": rights})


async def async_store_down(fleet: DaemonFleet) -> Fault:
    """Take the store away for a while."""
    began = time.monotonic()
    await fleet.store.async_refuse()
    await asyncio.sleep(STORE_DOWN_SECONDS)
    await fleet.store.async_accept()
    ended = time.monotonic()
    return Fault(began, ended, {"next change accepted": await _async_change(fleet)})


async def async_store_slow(fleet: DaemonFleet) -> Fault:
    """Let each call of the store take long."""
    began = time.monotonic()
    fleet.store.control.slow_ms = SLOW_STORE_MS
    change = await _async_change(fleet)
    await asyncio.sleep(SHORT_SECONDS)
    fleet.store.control.slow_ms = 0.0
    return Fault(began, time.monotonic(), {"change meanwhile in force": change})


async def async_lost_replies(fleet: DaemonFleet) -> Fault:
    """Lose replies of writes that took effect, and change records meanwhile."""
    began = time.monotonic()
    fleet.store.control.lose_replies = LOST_REPLIES
    generation = _generations(fleet)[0]
    change = await _async_change(fleet)
    await async_until(lambda: fleet.store.control.lose_replies == 0)
    written = _generations(fleet)[0] - generation
    seen = {"change meanwhile in force": change, "generations for it": written}
    return Fault(began, time.monotonic(), seen)


async def async_replace_all(fleet: DaemonFleet) -> Fault:
    """Stop each daemon gracefully and start it again, one after another."""
    began = time.monotonic()
    longest = 0.0
    for name in list(fleet.daemons):
        started = time.monotonic()
        fleet.host_list.server.mark_leaving(name)
        await fleet.daemons[name].async_stop()
        await fleet.async_start_host(name, fleet.places[name])
        await fleet.async_until_ready([name])
        longest = max(longest, time.monotonic() - started)
    return Fault(began, time.monotonic(), {"longest replacement": longest})


async def async_region_lost(fleet: DaemonFleet) -> Fault:
    """Kill all daemons of a region at once and start them again later."""
    began = time.monotonic()
    lost = _of_region(fleet, ATTIKI)
    await asyncio.gather(*(fleet.async_kill(name) for name in lost))
    others = [one for one in fleet.serving() if one.identity.name not in lost]
    await async_until(lambda: all(_names(one).isdisjoint(lost) for one in others))
    noticed = time.monotonic() - began
    await asyncio.sleep(SHORT_SECONDS)
    ended = time.monotonic()
    for name in lost:
        await fleet.async_start_host(name, fleet.places[name])
    await fleet.async_until_ready(lost)
    rights = time.monotonic() - ended
    return Fault(began, ended, {"noticed after": noticed, "rights again after": rights})


async def async_regions_cut(fleet: DaemonFleet) -> Fault:
    """Cut two regions from each other, with changes on both sides."""
    fleet.cut.add(frozenset({ATTIKI, KENTRIKI}))
    began = time.monotonic()
    spread = [
        await _async_change(fleet, fleet.daemons[_of_region(fleet, region)[0]])
        for _ in range(CHANGES_A_SIDE)
        for region in (ATTIKI, KENTRIKI)
    ]
    await asyncio.sleep(CUT_SECONDS)
    fleet.cut.clear()
    ended = time.monotonic()
    seen = {"change in force, longest": max(spread)}
    seen["change after in force"] = await _async_change(fleet)
    return Fault(began, ended, seen)


async def async_region_alone(fleet: DaemonFleet) -> Fault:
    """Cut a region from all others and from the store; change records elsewhere."""
    pairs = [frozenset({ATTIKI, place.region}) for place in fleet.places.values()]
    fleet.cut.update(pair for pair in pairs if len(pair) > 1)
    inside = [fleet.daemons[name] for name in _of_region(fleet, ATTIKI)]
    outside = [one for one in fleet.serving() if one not in inside]
    for path in fleet.paths[ATTIKI]:
        await path.async_cut()
    began = time.monotonic()
    for _ in range(CHANGES_A_SIDE):
        await fleet.async_change(outside[0])
    await asyncio.sleep(ALONE_SECONDS)
    behind = outside[0].config.configuration.generation - _generation(inside[0])
    for path in fleet.paths[ATTIKI]:
        await path.async_open()
    fleet.cut.clear()
    ended = time.monotonic()
    await async_until(lambda: len(set(_generations(fleet))) == 1)
    same = time.monotonic() - ended
    return Fault(began, ended, {"generations behind": behind, "same again after": same})


FAULTS: Final[dict[str, Cause]] = {
    "store down when a daemon starts": async_store_down_at_start,
    f"store down for {STORE_DOWN_SECONDS:.0f} s": async_store_down,
    f"store calls take {SLOW_STORE_MS / 1000} s": async_store_slow,
    f"{LOST_REPLIES} replies to writes lost": async_lost_replies,
    "each daemon replaced in turn": async_replace_all,
    "a region's daemons killed and restarted": async_region_lost,
    f"two regions cut for {CUT_SECONDS:.0f} s": async_regions_cut,
    f"a region cut from all and the store {ALONE_SECONDS:.0f} s": async_region_alone,
}


async def async_measure(name: str, cause: Cause) -> list[Figure]:
    """Run one fault under load and count what callers were told."""
    async with async_fleet(hosts_a_zone=1, shortened=SHORTENED) as fleet:
        callers = Callers(fleet)
        callers.start()
        try:
            await asyncio.sleep(BEFORE_SECONDS)
            fault = await cause(fleet)
            await asyncio.sleep(AFTER_SECONDS)
        finally:
            await callers.async_stop()
        return figures(name, callers, fault)


def figures(name: str, callers: Callers, fault: Fault) -> list[Figure]:
    """Return what callers were told from the fault's begin on."""
    told = callers.count(since=fault.began)
    rows = [Figure(f"{name}: {one}", told[one], "requests") for one in Told]
    for kind, count in sorted(callers.kinds().items()):
        rows.append(Figure(f"{name}: of these {kind}", count, "requests"))
    rows += [
        Figure(
            f"{name}: longest time without an answer to anyone",
            callers.longest_gap(fault.began, callers.ended[-1].at),
            "s",
        ),
        Figure(
            f"{name}: last request not answered after the end",
            callers.last_bad(fault.ended),
            "s",
        ),
        Figure(f"{name}: broken promises", callers.broken_promises(), "keys", limit=0),
    ]
    for what, value in fault.seen.items():
        unit = "generations" if "generations" in what else "s"
        rows.append(Figure(f"{name}: {what}", value, unit))
    return rows


def run() -> list[Figure]:
    """Return the figures of all faults."""
    chosen = os.environ.get(CHOSEN_VARIABLE, "").split(",")
    found = []
    for name, cause in FAULTS.items():
        if any(part in name for part in chosen):
            found.append(asyncio.run(async_measure(name, cause)))
    return list(itertools.chain.from_iterable(found))


async def _async_change(fleet: DaemonFleet, daemon: Daemon | None = None) -> float:
    """Change a record; return seconds until it is in force on all daemons."""
    started = time.monotonic()
    wanted = await fleet.async_change(daemon or fleet.serving()[0])
    await async_until(lambda: min(_generations(fleet)) >= wanted)
    return time.monotonic() - started


def _generations(fleet: DaemonFleet) -> list[int]:
    """Return the generation in force on each daemon."""
    return [_generation(one) for one in fleet.serving()]


def _generation(daemon: Daemon) -> int:
    """Return the generation in force on a daemon."""
    return daemon.config.configuration.generation


def _of_region(fleet: DaemonFleet, region: str) -> list[str]:
    """Return the names of a region's hosts."""
    return [name for name, place in fleet.places.items() if place.region == region]


def _names(daemon: Daemon) -> set[str]:
    """Return the hosts that a daemon would send callers to."""
    return {host.name for host in daemon.membership.serving_hosts()}
