"""Share out the demand of regions that have too few backend servers.

Load answered: a region holds a tenth of a service's servers and a third of its callers.
Served at home alone, its callers wait in queues while other regions stand idle.
"""

import math
from collections.abc import Mapping
from typing import Final

from greengagepoint.placing.ranking import unit_hash

# Servers warm for their keys run at a third of the time that cold ones take, and an
# uneven hash puts up to a third more than the mean on one server; above this part of
# its slots a region's callers begin to queue.
TARGET_UTILISATION: Final = 0.7
# Users allow 0.15 of a region's requests to change their region between two spans of
# 2 s. Two hosts' views and the luck of a few hundred requests take up to half of it.
SHARE_CHANGE_PER_SECOND: Final = 0.03
SMALLEST_DEMAND: Final = 0.01
# Before the first requests nothing is measured, and all servers are cold for all keys,
# so requests run two to three times as long as later. Shares begin as if this part of
# all slots were busy, with callers where the entry hosts are.
EXPECTED_UTILISATION: Final = 0.85
# Running elsewhere for longer than needed costs one round trip between regions, 24 to
# 40 ms of a goal of 150 ms or more; running at home too early costs queues.
PEAK_MEMORY_SECONDS: Final = 60.0

Shares = dict[str, float]


def wanted_shares(
    home: str, demand: Mapping[str, float], slots: Mapping[str, float]
) -> Shares:
    """Return which part of a region's requests should run in which region.

    ``demand`` is in busy slots by region; ``slots`` by region holds those with servers.
    """
    if not slots:
        return {}
    room = {region: TARGET_UTILISATION * count for region, count in slots.items()}
    own = max(demand.get(home, 0.0), SMALLEST_DEMAND)
    kept = min(1.0, room.get(home, 0.0) / own)
    spare = {
        region: max(0.0, room[region] - demand.get(region, 0.0))
        for region in room
        if region != home
    }
    needed = sum(
        max(0.0, demand.get(region, 0.0) - room.get(region, 0.0)) for region in demand
    )
    total_spare = sum(spare.values())
    if total_spare < needed or total_spare <= 0:
        return _proportional(home, demand, slots)
    shares = {region: (1 - kept) * part / total_spare for region, part in spare.items()}
    shares[home] = kept
    return _cleaned(shares)


def expected_demand(
    hosts: Mapping[str, int], slots: Mapping[str, float]
) -> dict[str, float]:
    """Return the busy slots by region to expect before anything was measured.

    ``hosts`` counts the entry hosts of each region.
    """
    total = sum(hosts.values())
    busy = EXPECTED_UTILISATION * sum(slots.values())
    return {region: busy * count / total for region, count in hosts.items()}


def hold_peaks(
    peaks: Mapping[str, float], demand: Mapping[str, float], elapsed: float
) -> dict[str, float]:
    """Return the demand of each region's latest peak, which fades slowly.

    Load answered: traffic falls for some seconds and returns as a wave. Shares that
    followed it home would move back too slowly, as they may not move faster; callers
    of the smallest region then queued for ten seconds.
    """
    kept = math.exp(-elapsed / PEAK_MEMORY_SECONDS)
    names = {*peaks, *demand}
    return {
        name: max(demand.get(name, 0.0), kept * peaks.get(name, 0.0)) for name in names
    }


def _proportional(
    home: str, demand: Mapping[str, float], slots: Mapping[str, float]
) -> Shares:
    """Return shares for when all regions together are over the target.

    Each region then carries the same part of its slots, as much as can be kept at home.
    """
    total_slots = sum(slots.values())
    total_demand = max(sum(demand.values()), SMALLEST_DEMAND)
    fair = {name: total_demand * count / total_slots for name, count in slots.items()}
    own = max(demand.get(home, 0.0), SMALLEST_DEMAND)
    kept = min(1.0, fair.get(home, 0.0) / own)
    spare = {
        region: max(0.0, fair[region] - demand.get(region, 0.0))
        for region in fair
        if region != home
    }
    total = sum(spare.values())
    if total <= 0:
        return {home: 1.0} if home in slots else _cleaned(dict(slots))
    shares = {region: (1 - kept) * part / total for region, part in spare.items()}
    shares[home] = kept
    return _cleaned(shares)


def _cleaned(shares: Shares) -> Shares:
    """Return shares above zero that add up to one."""
    total = sum(shares.values())
    if total <= 0:
        return {}
    return {name: part / total for name, part in shares.items() if part > 0}


def moved_toward(now: Shares, wanted: Shares, most: float) -> Shares:
    """Return shares that differ from ``now`` by at most ``most``, toward ``wanted``.

    Regions that are no longer wanted at all because they have no servers are left to
    the caller, which drops them before.
    """
    if not now:
        return dict(wanted)
    names = set(now) | set(wanted)
    change = {name: wanted.get(name, 0.0) - now.get(name, 0.0) for name in names}
    moved = sum(part for part in change.values() if part > 0)
    scale = 1.0 if moved <= most else most / moved
    return _cleaned({name: now.get(name, 0.0) + scale * change[name] for name in names})


def region_for_key(key: str, home: str, shares: Shares) -> str:
    """Return the region in which a key runs; the home's part comes first.

    Whole keys move, never single requests, and a key near the border of a share moves
    only when the border passes it, so servers stay warm for the keys that they have.
    """
    point = unit_hash(key)
    passed = shares.get(home, 0.0)
    if point < passed:
        return home
    last = home
    for region in sorted(shares):
        if region == home:
            continue
        passed += shares[region]
        last = region
        if point < passed:
            return region
    return last
