"""Control which share of a service's requests is admitted, from its pressure."""

import math
from dataclasses import dataclass
from typing import Final

from greengagepoint.admission.pressure import SHARE_MIN

# A warm run takes 0.3 of the goal, so servers with a wait of twice the mean still
# answer in time. A limit of 0.22 leaves slots idle, and with 0.4 urgent requests are
# late.
PRESSURE_LIMIT: Final = 0.26
# If all callers are of one rank and account, there is nobody to protect, so only those
# who would be late anyway are rejected: a mean wait above this and a warm run together
# exceed the goal.
LATE_PRESSURE_LIMIT: Final = 0.6
# The share falls by this factor of itself per second and unit of excess.
FALL_PER_SECOND: Final = 0.8
# A larger excess, as after a start with empty queues, counts as this one: the share
# would fall too far before the queues of servers have drained.
EXCESS_MAX: Final = 0.5
# The share recovers by this factor of itself per second without any pressure.
RECOVERY_PER_SECOND: Final = 0.1
# Damping: the share is lower by this factor of itself per unit of excess.
DAMPING: Final = 2.0
# Weight of the peers' mean share in each step.
PEER_WEIGHT: Final = 0.3
# A host that was frozen continues as after one second.
ELAPSED_MAX_SECONDS: Final = 1.0


@dataclass(slots=True)
class ShareControl:
    """Hold the admitted share of one service; times are monotonic seconds.

    ``base`` is the integrated share, ``share`` the one in force.
    """

    base: float = 1.0
    share: float = 1.0
    stepped_at: float | None = None

    def step(
        self,
        pressure: float | None,
        peer_share: float | None,
        now: float,
        limit: float = PRESSURE_LIMIT,
    ) -> None:
        """Advance to ``now``; without a pressure, all requests are admitted."""
        elapsed = now - self.stepped_at if self.stepped_at is not None else 0.0
        elapsed = min(max(0.0, elapsed), ELAPSED_MAX_SECONDS)
        self.stepped_at = now
        if pressure is None:
            self.base = self.share = 1.0
            return
        if peer_share is not None:
            self.base += PEER_WEIGHT * (peer_share - self.base)
        excess = min(EXCESS_MAX, pressure - limit)
        rate = (
            -FALL_PER_SECOND * excess
            if excess > 0
            else -RECOVERY_PER_SECOND * excess / limit
        )
        self.base = _clamp(self.base * math.exp(rate * elapsed))
        self.share = _clamp(self.base * math.exp(-DAMPING * max(0.0, excess)))


def _clamp(share: float) -> float:
    """Return a share within its range."""
    return min(1.0, max(SHARE_MIN, share))
