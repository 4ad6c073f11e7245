"""How closely all hosts together have to keep the limits of accounts."""

from typing import Final, NamedTuple

from greengagepoint.accounts.tables import Account

# The rest is for what hosts admit before they are told otherwise, and for hosts that
# are told nothing.
GIVEN_SHARE: Final = 0.82


class LimitBounds(NamedTuple):
    """In any ``window_seconds`` an account may run so much more than its limit.

    That is ``overshoot`` of what its rate and burst allow, and ``slack`` requests.
    """

    window_seconds: float = 5.0
    overshoot: float = 0.0
    slack: float = 0.0

    def most(self, account: Account) -> float:
        """Return the most requests of an account in a window."""
        rate, burst = account.requests_per_second, account.burst
        allowed = rate * self.window_seconds + burst
        return allowed * (1 + self.overshoot) + self.slack

    def rate(self, account: Account) -> float:
        """Return the requests a second that are given out, beside the burst.

        Of a small account the slack allows several times its rate; refused, these
        requests would be lost for nothing.
        """
        given = GIVEN_SHARE * self.most(account) - account.burst
        return max(0.0, given / self.window_seconds)

    def reserve(self, account: Account) -> float:
        """Return the requests in a window that are not given out."""
        return (1 - GIVEN_SHARE) * self.most(account)


STRICT: Final = LimitBounds()
