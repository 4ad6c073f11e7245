"""Detect entries that contradict what a backend server said of itself before."""

from enum import StrEnum
from typing import Final, NamedTuple

# A server that runs writes its entry again within a heartbeat, and the store removes
# the entry of one that ended after three. A contradiction that outlasts both is the
# truth: the entry before it came from another writer.
DISPUTE_SECONDS: Final = 10.0


class ClaimField(StrEnum):
    """A field that stays as it is while a server runs."""

    BORN = "born"
    ADDRESS = "address"
    SERVICE = "service"
    ZONE = "zone"


class Claim(NamedTuple):
    """What an entry says of a server that doesn't change while the server runs.

    ``born`` is its start time in Unix milliseconds, 0 if the entry does not state it.
    """

    born: int
    address: str
    service: str
    zone: str


class Dispute(NamedTuple):
    """A claim that contradicts the settled one, set aside until a monotonic time."""

    claim: Claim
    until: float


class Decision(NamedTuple):
    """Whether a claim holds; ``field`` contradicts the ``former`` settled claim."""

    accepted: bool
    field: ClaimField | None = None
    former: Claim | None = None


def contradicted_field(former: Claim, claim: Claim) -> ClaimField | None:
    """Return the field of a claim that the same run of a server can't have changed.

    A later start time is another run. Without start times, a new address is one.
    """
    if former.born and not claim.born:
        return ClaimField.BORN
    if former.born != claim.born:
        return None
    if former.address != claim.address:
        return ClaimField.ADDRESS if claim.born else None
    if former.service != claim.service:
        return ClaimField.SERVICE
    return ClaimField.ZONE if former.zone != claim.zone else None


class ServerClaims:
    """Settle what each key's server says of itself; times are monotonic seconds.

    The first claim of a run holds. One that contradicts it is set aside: it holds if
    nothing has confirmed the former one for ``DISPUTE_SECONDS``.
    """

    def __init__(self) -> None:
        self.settled: dict[str, Claim] = {}
        self.disputes: dict[str, Dispute] = {}

    def decide(self, key: str, claim: Claim, now: float) -> Decision:
        """Decide whether the newest claim of a key holds."""
        former = self.settled.get(key)
        field = contradicted_field(former, claim) if former is not None else None
        if field is None:
            self._settle(key, claim)
            return Decision(accepted=True)
        dispute = self.disputes.get(key)
        if dispute is None or dispute.claim != claim:
            dispute = Dispute(claim, now + DISPUTE_SECONDS)
            self.disputes[key] = dispute
        if now < dispute.until:
            return Decision(accepted=False, field=field, former=former)
        self._settle(key, claim)
        return Decision(accepted=True, field=field, former=former)

    def withdraw(self, key: str) -> None:
        """End the dispute of a key whose newest entry makes no claim."""
        self.disputes.pop(key, None)

    def forget(self, key: str) -> None:
        """Forget a key that the store removed."""
        self.settled.pop(key, None)
        self.disputes.pop(key, None)

    def expired(self, now: float) -> list[str]:
        """Return the keys whose disputes have lasted for long enough."""
        return [key for key, row in self.disputes.items() if row.until <= now]

    def _settle(self, key: str, claim: Claim) -> None:
        """Accept a claim."""
        self.settled[key] = claim
        self.disputes.pop(key, None)
