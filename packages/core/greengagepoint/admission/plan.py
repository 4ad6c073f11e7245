"""Distribute the admitted share of a service over ranks and accounts."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

# Each rank and each account is admitted at least this often relative to all callers.
# A quarter has to be served; some admitted requests find no server, and the share of a
# small class varies by chance.
LOWER_LIMIT: Final = 0.3

Class = tuple[int, str]


class AdmissionPlan(NamedTuple):
    """The probability of admission of each rank and account of a service.

    Ranks below ``level`` are admitted; of the rank at the level, the share given by its
    fraction. ``by_class`` has the probabilities that differ from their rank's.
    """

    share: float = 1.0
    level: float = 0.0
    by_rank: Mapping[int, float] = {}
    by_class: Mapping[Class, float] = {}

    def probability(self, rank: int, account: str) -> float:
        """Return the probability of admission of a request.

        An account without recent requests is below its share, so it is admitted like
        the most favored one. A rank without recent requests is admitted if it is more
        urgent than the boundary rank.
        """
        if self.share >= 1:
            return 1.0
        found = self.by_class.get((rank, account))
        if found is not None:
            return found
        lowest = LOWER_LIMIT * self.share
        if rank == int(self.level):
            return 1.0 if self.by_class else self.by_rank.get(rank, lowest)
        return self.by_rank.get(rank, 1.0 if rank < self.level else lowest)


ADMIT_ALL: Final = AdmissionPlan()


def create_plan(rates: Mapping[Class, float], share: float) -> AdmissionPlan:
    """Return the plan that admits ``share`` of all requests.

    ``rates`` are the recent requests per second by rank and account.
    """
    by_rank: dict[int, dict[str, float]] = {}
    for (rank, account), rate in rates.items():
        if rate > 0:
            by_rank.setdefault(rank, {})[account] = rate
    lowest = LOWER_LIMIT * share
    total = sum(sum(accounts.values()) for accounts in by_rank.values())
    left = (share - lowest) * total
    level = float(max(by_rank, default=-1) + 1)
    probabilities: dict[int, float] = {}
    by_class: dict[Class, float] = {}
    for rank in sorted(by_rank):
        demand = sum(by_rank[rank].values())
        taken = min(left, (1 - lowest) * demand)
        left -= taken
        probabilities[rank] = lowest + taken / demand
        fraction = taken / ((1 - lowest) * demand)
        if fraction >= 1 or rank > level:
            continue
        if len(by_rank[rank]) > 1:
            shares = _account_shares(by_rank[rank], taken, lowest)
            by_class.update({(rank, name): row for name, row in shares.items()})
        level = min(level, rank + fraction)
    return AdmissionPlan(share, level, probabilities, by_class)


def _account_shares(
    rates: Mapping[str, float], taken: float, lowest: float
) -> dict[str, float]:
    """Return each account's probability if ``taken`` is left above the lower limit."""
    demands = {name: (1 - lowest) * rate for name, rate in rates.items()}
    extra = max_min_shares(demands, taken)
    return {name: lowest + extra[name] / rate for name, rate in rates.items()}


def max_min_shares(
    demands: Mapping[str, float],
    capacity: float,
    weights: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a capacity.

    Demands below their fair share are met in full, and the rest is divided in
    proportion to the weights, 1 by default.
    """
    weight_of = weights or {}
    shares: dict[str, float] = {}
    weight_left = sum(weight_of.get(name, 1.0) for name in demands)
    for name in _by_relative_demand(demands, weight_of):
        weight = weight_of.get(name, 1.0)
        fair = capacity * weight / weight_left if weight_left > 0 else 0.0
        shares[name] = max(0.0, min(demands[name], fair))
        capacity -= shares[name]
        weight_left -= weight
    return shares


def _by_relative_demand(
    demands: Mapping[str, float], weights: Mapping[str, float]
) -> Iterable[str]:
    """Return the names in ascending order of demand per weight."""
    return sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0))
