"""Adjust the weights of servers until their keys add up to the same load."""

import math
from collections.abc import Generator, Iterator, Sequence
from itertools import chain
from operator import mul, ne
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
# Keys that all passes together place in a second, which takes 20 ms on a fast core.
PLACED_MAX: Final = 12_000
# A pass that would move too many keys is made again with half the step.
HALVINGS_MAX: Final = 4
# The event loop serves callers after each part, which takes 1 ms on a fast core.
KEYS_PER_PART: Final = 500
# A key takes memory as soon as it runs, and slots in proportion to its requests.
MEMORY_SHARE: Final = 0.5


class Keys(NamedTuple):
    """The keys of a service, as parts that are placed in one step.

    Each part has the scores of the candidates at weight 1 and their servers' indices,
    ``candidates`` of them for each key. Each key has up to ``homes`` homes, over which
    its load is spread evenly.
    """

    parts: list[tuple[list[float], list[int]]]
    candidates: int
    loads: list[float]
    homes: int


class Load(NamedTuple):
    """The homes of the keys by index of their server, and the load of each server."""

    homes: list[tuple[int, ...]]
    loads: list[float]


class Limits(NamedTuple):
    """How many keys may move, and what each has to lower the excess by in mean keys."""

    moves_max: float
    gain_per_move: float


class Balance(NamedTuple):
    """The weights of the members of a service, and what they lead to.

    ``moved`` is the number of keys whose home changes, ``before`` and ``after`` are the
    excess over all servers in mean keys.
    """

    weights: list[float]
    load: Load
    moved: int
    before: float
    after: float


def create_keys(
    rows: Sequence[KeyRow], rates: Sequence[float], homes: int
) -> Generator[None, None, Keys]:
    """Yield after each part; return the keys of a service with at least one row."""
    parts = []
    for begin in range(0, len(rows), KEYS_PER_PART):
        part = rows[begin : begin + KEYS_PER_PART]
        strengths = chain.from_iterable(row.strengths for row in part)
        indices = chain.from_iterable(row.indices for row in part)
        parts.append((list(strengths), list(indices)))
        yield None
    return Keys(parts, len(rows[0].indices), key_loads(rates), homes)


def measure_rates(
    rows: Sequence[KeyRow], now: float
) -> Generator[None, None, list[float]]:
    """Yield after each part; return the requests per second of keys."""
    rates: list[float] = []
    for begin in range(0, len(rows), KEYS_PER_PART):
        rates += [row.rate(now) for row in rows[begin : begin + KEYS_PER_PART]]
        yield None
    return rates


def key_loads(rates: Sequence[float]) -> list[float]:
    """Return the loads of keys with these request rates; their mean is 1."""
    mean = sum(rates) / len(rates) if rates else 0.0
    if mean <= 0:
        return [1.0] * len(rates)
    share = (1 - MEMORY_SHARE) / mean
    return [MEMORY_SHARE + share * rate for rate in rates]


def balance_steps(
    keys: Keys, weights: Sequence[float], limits: Limits
) -> Iterator[Balance | None]:
    """Yield None after each part of the work, and the balance at the end.

    ``weights`` are those in force by index of the server.
    """
    load = yield from _place(keys, weights)
    target = sum(load.loads) / len(weights)
    before = excess(load.loads, target)
    best = current = start = Balance(list(weights), load, 0, before, before)
    scale = 1.0
    for _ in range(min(PASSES_MAX, max(1, PLACED_MAX // len(load.homes)))):
        if current.after <= 0 or scale < 0.5**HALVINGS_MAX:
            break
        new = step_weights(current.weights, current.load.loads, target, scale)
        load = yield from _place(keys, new)
        moved = sum(map(ne, load.homes, start.load.homes))
        if moved > limits.moves_max:
            scale /= 2
            continue
        after = excess(load.loads, target)
        current = Balance(new, load, moved, before, after)
        if _cost(current, limits) < _cost(best, limits):
            best = current
    yield best


def _cost(balance: Balance, limits: Limits) -> float:
    """Return what remains of the excess, and what the moves cost."""
    return balance.after + limits.gain_per_move * balance.moved


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


def _place(keys: Keys, weights: Sequence[float]) -> Generator[None, None, Load]:
    """Yield after each part; return the homes of keys and the loads of servers."""
    homes: list[tuple[int, ...]] = []
    for strengths, indices in keys.parts:
        scores = map(mul, strengths, map(weights.__getitem__, indices))
        groups = zip(*[scores] * keys.candidates, strict=True)
        starts = range(0, len(indices), keys.candidates)
        homes += [
            tuple(indices[start + place] for place in _highest(group, keys.homes))
            for start, group in zip(starts, groups, strict=True)
        ]
        yield None
    sums = [0.0] * len(weights)
    for chosen, load in zip(homes, keys.loads, strict=True):
        for home in chosen:
            sums[home] += load / len(chosen)
    return Load(homes, sums)


def _highest(scores: tuple[float, ...], count: int) -> list[int]:
    """Return the places of the highest scores, the highest first."""
    places = [scores.index(max(scores))]
    while len(places) < min(count, len(scores)):
        others = [place for place in range(len(scores)) if place not in places]
        places.append(max(others, key=scores.__getitem__))
    return places
