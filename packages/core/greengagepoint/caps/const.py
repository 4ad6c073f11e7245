"""Times and sizes that bound how rights are kept and transferred."""

from typing import Final

REGION_KEY: Final = "*"
"""Ledger key of the region's own capacity, next to the keys of its sites."""

OWNERS_PER_SITE: Final = 4
WITNESSES_PER_OWNER: Final = 3

LOAN_SECONDS: Final = 5.0
"""How long after its loan request a borrower may start requests on the loan."""

CONFIRM_SECONDS: Final = 6.0
"""How long after its last confirmation an owner may use its share."""

VOUCH_INTERVAL_SECONDS: Final = 2.0
FENCE_SECONDS: Final = 1.0
"""A host whose ticks are further apart was paused and gives up its rights."""

VOTE_AFTER_SECONDS: Final = 2.5 * VOUCH_INTERVAL_SECONDS
"""How long an owner must have been unseen before a witness votes it out."""

CLOCK_RATE_ERROR: Final = 0.01
"""Upper bound on the relative rate difference of two hosts' clocks."""

CLOCK_MARGIN_SECONDS: Final = 0.05

RUN_END_SECONDS: Final = 0.25
"""How long a request may run past its deadline: network and server delay."""

LOAN_REQUEST_TIMEOUT_SECONDS: Final = 1.0
SHORTFALL_BACKOFF_SECONDS: Final = 0.25
"""First backoff after a lender granted less than wanted; doubles each time."""

SHORTFALL_BACKOFF_SECONDS_MAX: Final = 2.0
TIMEOUT_BACKOFF_SECONDS: Final = 4.0
"""First backoff after a lender did not answer in time; doubles each time."""

TIMEOUT_BACKOFF_SECONDS_MAX: Final = 16.0

DEMAND_WINDOW_SECONDS: Final = 0.5
IDLE_UNIT_SECONDS: Final = 5.0
"""How long a unit is kept after the last request, so that the next need not wait."""

REDIRECT_SECONDS: Final = 30.0
"""How long a borrower uses the owners that a host of the site's region named."""

LENDABLE_MAX_AGE_SECONDS: Final = 5.0
LEDGER_POLL_SECONDS: Final = 30.0
STORE_RETRY_SECONDS: Final = 1.0
HOSTS_AT_FULL_RETRY_RATE: Final = 16
"""With up to this many hosts in a region, each retries a failed store every second."""

HINT_RETRY_SECONDS: Final = 5.0
HINT_TTL_SECONDS: Final = 300.0
"""How long a later revision reported by a peer counts; hosts read at least as often."""

LEDGER_OWNERS_PER_POLL: Final = 100
"""This many owners add one poll interval, so a larger ledger is read less often."""

PLAN_INTERVAL_SECONDS: Final = 0.5
RECLAIM_STAGGER_SECONDS: Final = 0.5
"""Delay between the hosts that could reclaim the same share, so that one does it."""

DEFAULT_REQUEST_SECONDS: Final = 30


def loan_expiry_seconds(request_seconds: float) -> float:
    """Return how many seconds a lender counts a loan that is not renewed."""
    longest = LOAN_SECONDS + request_seconds + RUN_END_SECONDS
    return longest * (1 + CLOCK_RATE_ERROR) + CLOCK_MARGIN_SECONDS


def quarantine_seconds(request_seconds: float) -> float:
    """Return for how many seconds a lost owner's share must stay unused.

    The owner may use its share for ``CONFIRM_SECONDS`` after a witness last vouched
    for it, and may pause for ``FENCE_SECONDS`` between its check and the send. Its
    last loan then runs for ``LOAN_SECONDS``, and the last request on it until its
    own deadline.
    """
    held = CONFIRM_SECONDS + FENCE_SECONDS + LOAN_SECONDS
    longest = held + request_seconds + RUN_END_SECONDS
    return longest * (1 + CLOCK_RATE_ERROR) + CLOCK_MARGIN_SECONDS


def store_retry_seconds(hosts: int) -> float:
    """Return how many seconds a host waits before it retries a failed store.

    During a long outage the ledger becomes due on every host. If each retried once a
    second, a fleet of 4,900 hosts would send more than twice the load that the store
    can serve in the first second after its recovery, and in each later second.
    """
    return STORE_RETRY_SECONDS * max(1.0, hosts / HOSTS_AT_FULL_RETRY_RATE)
