"""Bounds on how far all hosts together may exceed the limits of accounts."""

from typing import Final, NamedTuple

from greengagepoint.accounts.tables import Account

# The rest covers what hosts admit before they receive a lower limit, and what hosts
# admit that receive no limits at all.
GRANTED_FRACTION: Final = 0.82


class LimitBounds(NamedTuple):
    """How far an account may exceed its limit in any ``window_seconds``.

    ``overshoot`` is a fraction of what its rate and burst allow, ``slack`` a number of
    requests on top.
    """

    window_seconds: float = 5.0
    overshoot: float = 0.0
    slack: float = 0.0

    def max_requests(self, account: Account) -> float:
        """Return the maximum number of requests of an account in a window."""
        rate, burst = account.requests_per_second, account.burst
        allowed = rate * self.window_seconds + burst
        return allowed * (1 + self.overshoot) + self.slack

    def rate(self, account: Account) -> float:
        """Return the requests per second that are granted in addition to the burst.

        For a small account the slack allows several times its rate; rejecting requests
        within it would cost callers without need.
        """
        granted = GRANTED_FRACTION * self.max_requests(account) - account.burst
        return max(0.0, granted / self.window_seconds)

    def reserve(self, account: Account) -> float:
        """Return the requests in a window that are not granted."""
        return (1 - GRANTED_FRACTION) * self.max_requests(account)


STRICT: Final = LimitBounds()
