"""Hold the retries of all hosts together to one budget a service.

Load answered: backend servers fail part of their requests, and every host sends again.
Each host spends a part of its own first tries and an equal part of the slack, so no
message is needed and the sum over all hosts stays within the budget in any window.
"""

from dataclasses import dataclass, field
from typing import Final

# The budget may be looked at in any window; what a host saved before counts there too.
# The rest is for first tries that were counted here and never arrived.
USED_RATIO: Final = 0.9
# Of what a host may have saved, the part that only the most urgent requests use up.
# While servers turn away half of what they get, all requests want more than there is,
# and a reservation that is told to come back is worth two look-ups.
URGENT_SHARE: Final = 0.5
# Half of the slack is what all hosts may have saved up, the other half is for hosts
# that started again with a new part.
USED_SLACK: Final = 0.5


@dataclass(slots=True)
class SharedRetryBudget:
    """Tokens by service for sending once more."""

    ratio: float
    slack: float
    hosts: int = 1
    tokens: dict[str, float] = field(default_factory=dict)

    def most(self) -> float:
        """Return the most that this host may save up."""
        return self.slack * USED_SLACK / max(1, self.hosts)

    def deposit(self, service: str) -> None:
        """Add what one first try is worth."""
        saved = self.tokens.get(service, self.most())
        self.tokens[service] = min(self.most(), saved + self.ratio * USED_RATIO)

    def withdraw(self, service: str, *, urgent: bool = True) -> bool:
        """Take the token for one more send; tell whether there was one."""
        saved = self.tokens.get(service, self.most())
        if saved < 1 + (0.0 if urgent else self._kept_for_urgent()):
            return False
        self.tokens[service] = saved - 1
        return True

    def _kept_for_urgent(self) -> float:
        """Return what others have to leave; with many hosts each saves little more."""
        return max(0.0, min(URGENT_SHARE * self.most(), self.most() - 1))
