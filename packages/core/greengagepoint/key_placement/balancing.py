"""Adjust the weights of servers until their keys add up to the same load."""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from operator import mul
from typing import Final, NamedTuple

from greengagepoint.key_placement.known_keys import KeyRow

WEIGHT_MIN: Final = 0.25
WEIGHT_MAX: Final = 4.0
# Digits keep a message of 50 weights small, and let hosts and the coordinator
# calculate with the same figures.
WEIGHT_DIGITS: Final = 3
# A larger part of the difference overshoots, as the keys that leave a server also
# change the loads of others.
STEP_SHARE: Final = 0.5
# Bounds the change of a weight by one pass to a factor of 1.65.
STEP_MAX: Final = 0.5
PASSES_MAX: Final = 12
# A pass that would move too many keys is made again with half the step.
HALVINGS_MAX: Final = 4
# One pass over 1,000 keys takes 2 ms on a slow host; the event loop serves callers
# after each part.
KEYS_PER_PART: Final = 1_000
# A key takes memory as soon as it runs, and slots in proportion to its requests.
MEMORY_SHARE: Final = 0.5


class Load(NamedTuple):
    """The homes of the keys by index of their server, and the load of each server."""

    homes: list[int]
    loads: list[float]


@dataclass(slots=True)
class Balance:
    """The weights of the members of a service, and what they lead to.

    ``moved`` is the number of keys whose home changes, ``before`` and ``after`` are the
    excess over all servers in mean keys.
    """

    weights: list[float]
    load: Load
    moved: int = 0
    before: float = 0.0
    after: float = 0.0


def key_loads(rates: Sequence[float]) -> list[float]:
    """Return the loads of keys with these request rates; their mean is 1."""
    mean = sum(rates) / len(rates) if rates else 0.0
    if mean <= 0:
        return [1.0] * len(rates)
    share = (1 - MEMORY_SHARE) / mean
    return [MEMORY_SHARE + share * rate for rate in rates]


def balance_steps(
    rows: Sequence[KeyRow],
    loads: Sequence[float],
    copied: Sequence[bool],
    weights: Sequence[float],
    moves_max: float,
) -> Iterator[Balance | None]:
    """Yield None after each part of the work, and the balance at the end.

    ``weights`` are those in force by index of the server, ``moves_max`` the number of
    keys that may get another home.
    """
    start = yield from _place(rows, loads, copied, weights)
    target = sum(start.loads) / len(weights)
    best = Balance(list(weights), start)
    best.before = best.after = excess(start.loads, target)
    current, step_scale = best, 1.0
    for _ in range(PASSES_MAX):
        if current.after <= 0 or step_scale < 0.5**HALVINGS_MAX:
            break
        new = step_weights(current.weights, current.load.loads, target, step_scale)
        placed = yield from _place(rows, loads, copied, new)
        moved = sum(map(int.__ne__, placed.homes, start.homes))
        if moved > moves_max:
            step_scale /= 2
            continue
        current = Balance(new, placed, moved, best.before, excess(placed.loads, target))
        if current.after < best.after:
            best = current
    yield best


def excess(loads: Sequence[float], target: float) -> float:
    """Return the sum of the differences from the target beyond one mean key."""
    return sum(max(0.0, abs(load - target) - 1) for load in loads)


def step_weights(
    weights: Sequence[float], loads: Sequence[float], target: float, scale: float
) -> list[float]:
    """Return weights moved toward equal loads by a damped step.

    Their geometric mean is 1, so that a server that joins with weight 1 is a usual one.
    """
    logs = [
        math.log(weight) + scale * _step(load, target)
        for weight, load in zip(weights, loads, strict=True)
    ]
    mean = sum(logs) / len(logs)
    return [_rounded(math.exp(value - mean)) for value in logs]


def _step(load: float, target: float) -> float:
    """Return the change of the logarithm of a server's weight."""
    if abs(load - target) <= 1:
        return 0.0
    # The added key bounds the step of a server without keys.
    step = STEP_SHARE * math.log((target + 1) / (load + 1))
    return max(-STEP_MAX, min(STEP_MAX, step))


def _rounded(weight: float) -> float:
    """Return a weight within the range, rounded for messages."""
    return round(min(WEIGHT_MAX, max(WEIGHT_MIN, weight)), WEIGHT_DIGITS)


def _place(
    rows: Sequence[KeyRow],
    loads: Sequence[float],
    copied: Sequence[bool],
    weights: Sequence[float],
) -> Iterator[None]:
    """Yield after each part; return the homes of keys and the loads of servers."""
    homes: list[int] = []
    sums = [0.0] * len(weights)
    for begin in range(0, len(rows), KEYS_PER_PART):
        end = begin + KEYS_PER_PART
        parts = zip(rows[begin:end], loads[begin:end], copied[begin:end], strict=True)
        for row, load, is_copied in parts:
            if row.pick is None:
                homes.append(row.indices[0])
                sums[row.indices[0]] += load
                continue
            scores = list(map(mul, row.strengths, row.pick(weights)))
            home = row.indices[scores.index(max(scores))]
            homes.append(home)
            if is_copied:
                load /= 2
                scores[row.indices.index(home)] = -1.0
                sums[row.indices[scores.index(max(scores))]] += load
            sums[home] += load
        yield None
    return Load(homes, sums)
