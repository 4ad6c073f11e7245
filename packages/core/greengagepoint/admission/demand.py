"""Track the recent request rates of a service's callers by rank and account."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from greengagepoint.accounts.rates import Rate

# A host of a large fleet sees a few requests per second. Its sample of the ranks needs
# some dozens of requests, while a flood shows within seconds by its size alone.
RATE_SECONDS: Final = 20.0
# A class without a request for about a minute is dropped, so that a returning account
# starts without credit or debt.
RATE_MIN: Final = 0.0025


@dataclass(slots=True)
class RecentDemand:
    """Hold the request rates of one service by rank and account."""

    rates: dict[tuple[int, str], Rate] = field(default_factory=dict)

    def record(self, rank: int, account: str, now: float) -> None:
        """Record one request."""
        rate = self.rates.get((rank, account))
        if rate is None:
            rate = self.rates[rank, account] = Rate(RATE_SECONDS, at=now)
        rate.add(1, now)

    def read(self, now: float) -> dict[tuple[int, str], float]:
        """Return the rates per second, and drop classes without recent requests."""
        found = {key: rate.read(now) for key, rate in self.rates.items()}
        self._drop(key for key, rate in found.items() if rate < RATE_MIN)
        return {key: rate for key, rate in found.items() if key in self.rates}

    def _drop(self, keys: Iterable[tuple[int, str]]) -> None:
        """Drop the rates of classes."""
        for key in keys:
            del self.rates[key]
