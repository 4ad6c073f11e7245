"""Compare estimates of drain time for packs on one link and for small requests."""

import random
from collections.abc import Callable, Sequence
from heapq import heapify, heapreplace
from typing import Final

from greengagepoint.draining import estimate, slots
from greengagepoint.draining.estimate import Transfer
from measure.figure import Figure

SEED: Final = 5
RUNS: Final = 30
PACKS: Final = 20
LINK_BYTES_PER_SECOND: Final = 100e6
PACK_BYTES: Final = 200e6
PACK_SIGMA: Final = 0.8
STEP_SECONDS: Final = 0.1
SPEED_WINDOW_STEPS: Final = 10
SPEED_NOISE: Final = 0.15
ASK_AT: Final = (0.1, 0.3, 0.5, 0.7)
HOLD_SECONDS: Final = 2.0
HOLD_SIGMA: Final = 0.7
SAMPLES: Final = 200

Estimate = Callable[[Sequence[Transfer], float], float]
ESTIMATES: Final[dict[str, Estimate]] = {
    "plain": lambda rows, link: estimate.plain_seconds(rows),
    "paper 2.2": lambda rows, link: max(estimate.shared_seconds(rows)),
    "held back": estimate.remaining_seconds,
}


def share(ceilings: Sequence[float], draw: random.Random) -> list[float]:
    """Divide the link fairly below each caller's own link, with noise."""
    left = LINK_BYTES_PER_SECOND
    shares = [0.0] * len(ceilings)
    order = sorted(range(len(ceilings)), key=lambda index: ceilings[index])
    for position, index in enumerate(order):
        even = left / (len(order) - position)
        shares[index] = min(ceilings[index], even * draw.uniform(0.8, 1.2))
        left = max(0.0, left - shares[index])
    return shares


def drain(
    ceiling_of: Callable[[random.Random], float], seed: int
) -> list[tuple[float, list[Transfer]]]:
    """Play one drain; return what was seen at each step."""
    draw = random.Random(seed)
    left = [PACK_BYTES * draw.lognormvariate(0, PACK_SIGMA) for _ in range(PACKS)]
    ceilings = [ceiling_of(draw) for _ in range(PACKS)]
    speeds = [0.0] * PACKS
    seen = []
    now = 0.0
    while any(row > 0 for row in left):
        running = [index for index in range(PACKS) if left[index] > 0]
        shares = share([ceilings[index] for index in running], draw)
        for index, got in zip(running, shares, strict=True):
            left[index] -= got * STEP_SECONDS
            noisy = got * draw.uniform(1 - SPEED_NOISE, 1 + SPEED_NOISE)
            gain = 1 / SPEED_WINDOW_STEPS if speeds[index] else 1.0
            speeds[index] += gain * (noisy - speeds[index])
        now += STEP_SECONDS
        rows = [
            Transfer(left[index], speeds[index]) for index in running if left[index] > 0
        ]
        seen.append((now, rows))
    return seen


def pack_errors(ceiling_of: Callable[[random.Random], float]) -> dict[str, float]:
    """Return the sum of errors in percent of the sum of true rests."""
    errors = dict.fromkeys(ESTIMATES, 0.0)
    total = 0.0
    for run_number in range(RUNS):
        seen = drain(ceiling_of, SEED + run_number)
        end = seen[-1][0]
        for fraction in ASK_AT:
            step = int(len(seen) * fraction)
            now, rows = seen[step]
            link = max(
                sum(row.bytes_per_second for row in earlier)
                for _, earlier in seen[: step + 1]
            )
            total += end - now
            for name, estimate_of in ESTIMATES.items():
                errors[name] += abs(estimate_of(rows, link) - (end - now))
    return {name: 100 * error / total for name, error in errors.items()}


def slot_errors(requests: int) -> dict[str, float]:
    """Return the same for requests that each hold a slot."""
    draw = random.Random(SEED)
    errors = {"plain": 0.0, "paper 2.2": 0.0, "samples": 0.0}
    total = 0.0

    for _ in range(RUNS * 2):
        samples = [_hold(draw) for _ in range(SAMPLES)]
        mean = sum(samples) / len(samples)
        # What is in flight when asked is longer than the average (it was seen).
        chosen = draw.choices(samples, weights=samples, k=requests)
        elapsed = [row * draw.random() for row in chosen]
        fresh = [_hold(draw) for _ in range(SAMPLES)]
        rest = [
            draw.choice([f for f in fresh if f > e] or [e + HOLD_SECONDS]) - e
            for e in elapsed
        ]
        end = max(rest)
        found = {
            "plain": slots.plain_seconds(elapsed, mean),
            "paper 2.2": slots.shared_seconds(elapsed, mean),
            "samples": slots.remaining_seconds(elapsed, samples),
        }
        for name, seconds in found.items():
            errors[name] += abs(seconds - end)
        total += end
    return {name: 100 * error / total for name, error in errors.items()}


def queue_errors(slots_count: int, waiting: int) -> dict[str, float]:
    """Return the same for slots with requests that wait for them."""
    draw = random.Random(SEED)
    errors = {"plain": 0.0, "running only": 0.0, "paper 2.3 and samples": 0.0}
    total = 0.0
    for _ in range(RUNS * 2):
        samples = [_hold(draw) for _ in range(SAMPLES)]
        elapsed = [_hold(draw) * draw.random() for _ in range(slots_count)]
        ends = [_hold(draw) * draw.random() for _ in range(slots_count)]
        heapify(ends)
        for _ in range(waiting):
            heapreplace(ends, ends[0] + _hold(draw))
        end = max(ends)
        total += end
        found = {
            "plain": slots.plain_seconds(elapsed, sum(samples) / len(samples)),
            "running only": slots.remaining_seconds(elapsed, samples),
            "paper 2.3 and samples": slots.queued_seconds(elapsed, waiting, samples),
        }
        for name, seconds in found.items():
            errors[name] += abs(seconds - end)
    return {name: 100 * error / total for name, error in errors.items()}


def _hold(draw: random.Random) -> float:
    """Draw how long a request holds its slot."""
    return HOLD_SECONDS * draw.lognormvariate(-(HOLD_SIGMA**2) / 2, HOLD_SIGMA)


def run() -> list[Figure]:
    """Measure packs on fast and on mixed callers' links, and slots apart."""
    cases: dict[str, Callable[[random.Random], float]] = {
        "callers' links never limit": lambda draw: float("inf"),
        "half of the callers at 2 MB/s": lambda draw: draw.choice([2e6, float("inf")]),
        "callers at 1 to 50 MB/s": lambda draw: 1e6 * 50 ** draw.random(),
    }
    figures = []
    for label, ceiling_of in cases.items():
        found = pack_errors(ceiling_of)
        figures += _figures(f"packs, {label}", found)
    for requests in (4, 40):
        figures += _figures(f"{requests} small requests", slot_errors(requests))
    figures += _figures("10 slots and 40 waiting", queue_errors(10, 40))
    return figures


def _figures(label: str, errors: dict[str, float]) -> list[Figure]:
    """Return each estimate's error beside the plain one's."""
    return [
        Figure(
            f"drain time: error of {name}, {label}",
            value,
            "%",
            errors["plain"],
            "plain",
        )
        for name, value in errors.items()
        if name != "plain"
    ]
