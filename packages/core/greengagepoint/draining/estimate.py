"""Estimate how long the downloads in flight to or from a place still take.

The stages are those of Luo, Naughton and Yu, "Multi-query SQL Progress Indicators",
section 2.2: requests share one capacity, and when one ends the others get faster.
Added here: a download that its caller's own link holds back does not get faster.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

# Downloads that share a link fairly are about equally fast. One that is clearly
# slower than the fastest is held back by something else.
HELD_BACK_FRACTION: Final = 0.7
# Below this part of the highest total seen, the link has room: what limits each
# download then is its caller's own link.
FULL_FRACTION: Final = 0.85
SPEED_MIN: Final = 1.0


class Transfer(NamedTuple):
    """One download: bytes still to come, and bytes a second at present."""

    remaining_bytes: float
    bytes_per_second: float


class _Stage(NamedTuple):
    """A download during the stages; ``ceiling`` is the most it can get."""

    index: int
    left: float
    ceiling: float


def plain_seconds(transfers: Sequence[Transfer]) -> float:
    """Return when the last would end if each kept its present speed."""
    return max((_alone(transfer) for transfer in transfers), default=0.0)


def shared_seconds(transfers: Sequence[Transfer]) -> list[float]:
    """Return when each ends if all share their present total speed for good.

    This is the paper's estimate as it stands, with the present speeds as weights:
    all requests get faster by the same factor as others end.
    """
    rate = sum(max(SPEED_MIN, row.bytes_per_second) for row in transfers)
    order = sorted(range(len(transfers)), key=lambda index: _alone(transfers[index]))
    ends = [0.0] * len(transfers)
    weight = rate
    now = 0.0
    done = 0.0
    for index in order:
        alone = _alone(transfers[index])
        now += (alone - done) * weight / rate if weight > 0 else 0.0
        done = alone
        weight -= max(SPEED_MIN, transfers[index].bytes_per_second)
        ends[index] = now
    return ends


def held_back_seconds(
    transfers: Sequence[Transfer], link_bytes_per_second: float
) -> list[float]:
    """Return when each ends if only those that nothing else holds back speed up.

    ``link_bytes_per_second`` is the highest total speed seen on the link.
    """
    speeds = [max(SPEED_MIN, row.bytes_per_second) for row in transfers]
    rate = sum(speeds)
    full = rate >= FULL_FRACTION * link_bytes_per_second
    held_back_below = HELD_BACK_FRACTION * max(speeds, default=SPEED_MIN)
    if not full:
        held_back_below = float("inf")
    running = [
        _Stage(
            index,
            transfer.remaining_bytes,
            speed if speed < held_back_below else float("inf"),
        )
        for index, (transfer, speed) in enumerate(zip(transfers, speeds, strict=True))
    ]
    ends = [0.0] * len(transfers)
    now = 0.0
    while running:
        shares = _fair_shares([row.ceiling for row in running], rate)
        step = min(row.left / share for row, share in zip(running, shares, strict=True))
        now += step
        later = []
        for row, share in zip(running, shares, strict=True):
            left = row.left - share * step
            if left <= 1e-6 * share:
                ends[row.index] = now
            else:
                later.append(row._replace(left=left))
        running = later
    return ends


def remaining_seconds(
    transfers: Sequence[Transfer], link_bytes_per_second: float
) -> float:
    """Return when the last download ends, by the estimate that measured best."""
    return max(held_back_seconds(transfers, link_bytes_per_second), default=0.0)


def late_transfers(
    transfers: Sequence[Transfer], link_bytes_per_second: float, seconds: float
) -> list[int]:
    """Return the indices of downloads that don't end within some seconds."""
    ends = held_back_seconds(transfers, link_bytes_per_second)
    return [index for index, end in enumerate(ends) if end > seconds]


def _alone(transfer: Transfer) -> float:
    """Return how long a download takes at its present speed."""
    speed = max(SPEED_MIN, transfer.bytes_per_second)
    return max(0.0, transfer.remaining_bytes) / speed


def _fair_shares(ceilings: Sequence[float], rate: float) -> list[float]:
    """Divide a rate evenly, nobody getting more than its ceiling."""
    shares = [0.0] * len(ceilings)
    left = rate
    order = sorted(range(len(ceilings)), key=lambda index: ceilings[index])
    for position, index in enumerate(order):
        even = left / (len(order) - position)
        shares[index] = max(SPEED_MIN, min(ceilings[index], even))
        left = max(0.0, left - shares[index])
    return shares
