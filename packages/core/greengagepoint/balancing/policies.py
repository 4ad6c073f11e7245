"""Policies that pick one of the usable backend servers."""

from collections.abc import Callable, Sequence
from typing import Final, Protocol

from greengagepoint.balancing.estimate import score
from greengagepoint.balancing.tables import BackendRow, Pool
from greengagepoint.protocols import Random


class Policy(Protocol):
    """Callable that picks one of ``rows``, which is never empty."""

    def __call__(
        self, rows: Sequence[BackendRow], pool: Pool, now: float, random: Random
    ) -> BackendRow:
        """Return the row that receives the request."""


def choose_at_random(
    rows: Sequence[BackendRow], pool: Pool, now: float, random: Random
) -> BackendRow:
    """Pick a row at random, with equal probability."""
    return rows[random.randrange(len(rows))]


def choose_round_robin(
    rows: Sequence[BackendRow], pool: Pool, now: float, random: Random
) -> BackendRow:
    """Pick the rows in turn."""
    pool.last_choice += 1
    return rows[pool.last_choice % len(rows)]


def choose_least_in_flight(
    rows: Sequence[BackendRow], pool: Pool, now: float, random: Random
) -> BackendRow:
    """Pick the row with the fewest requests from this host; ties at random."""
    return _lowest(rows, random, _own_in_flight)


def choose_of_two(
    rows: Sequence[BackendRow], pool: Pool, now: float, random: Random
) -> BackendRow:
    """Pick two rows at random and return the one with fewer requests from this host."""
    return _lowest(_pick_two(rows, random), random, _own_in_flight)


def choose_by_score(
    rows: Sequence[BackendRow], pool: Pool, now: float, random: Random
) -> BackendRow:
    """Pick the row with the lowest score; ties at random."""
    return _lowest(rows, random, lambda row: score(row, now))


def choose_of_two_by_score(
    rows: Sequence[BackendRow], pool: Pool, now: float, random: Random
) -> BackendRow:
    """Pick two rows at random and return the one with the lower score."""
    return _lowest(_pick_two(rows, random), random, lambda row: score(row, now))


POLICIES: Final[dict[str, Policy]] = {
    "random": choose_at_random,
    "round_robin": choose_round_robin,
    "least_in_flight": choose_least_in_flight,
    "power_of_two": choose_of_two,
    "score": choose_by_score,
    "score_of_two": choose_of_two_by_score,
}


def _own_in_flight(row: BackendRow) -> float:
    """Return the requests in flight from this host."""
    return row.in_flight


def _pick_two(rows: Sequence[BackendRow], random: Random) -> Sequence[BackendRow]:
    """Return two different rows at random, or the only one."""
    if len(rows) < 2:
        return rows
    first = random.randrange(len(rows))
    second = random.randrange(len(rows) - 1)
    return rows[first], rows[second + (second >= first)]


def _lowest(
    rows: Sequence[BackendRow], random: Random, key: Callable[[BackendRow], float]
) -> BackendRow:
    """Return the row with the lowest key; the random start breaks ties."""
    offset = random.randrange(len(rows))
    best = rows[offset]
    best_key = key(best)
    for index in range(offset + 1, offset + len(rows)):
        row = rows[index % len(rows)]
        row_key = key(row)
        if row_key < best_key:
            best, best_key = row, row_key
    return best
