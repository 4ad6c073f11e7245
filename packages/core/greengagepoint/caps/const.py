"""Times and sizes that bound how rights are held and moved."""

from typing import Final

REGION_KEY: Final = "*"
"""Key of a region's own capacity beside its sites in the ledger."""

OWNERS_A_SITE: Final = 4
WITNESSES: Final = 3

LOAN_SECONDS: Final = 5.0
"""How long after asking a borrower may start requests on a loan."""

CONFIRM_SECONDS: Final = 6.0
"""How long after its last confirmation an owner may use its share."""

VOUCH_INTERVAL_SECONDS: Final = 2.0
FENCE_SECONDS: Final = 1.0
"""A longer gap between two ticks makes a host give up its rights."""

VOTE_AFTER_SECONDS: Final = 2.5 * VOUCH_INTERVAL_SECONDS
"""How long an owner must be unseen before a witness votes it out."""

CLOCK_RATE_ERROR: Final = 0.01
"""Bound on how much faster one host's clock runs than another's."""

CLOCK_MARGIN_SECONDS: Final = 0.05

RUN_END_SECONDS: Final = 0.25
"""How long after its deadline a run may go on: the network's delay and the server's."""

ASK_TIMEOUT_SECONDS: Final = 1.0
SHORT_SECONDS: Final = 0.25
"""How long a lender that granted too little is not asked for more; then doubled."""

SHORT_SECONDS_MAX: Final = 2.0
SILENT_SECONDS: Final = 4.0
"""How long a lender that did not answer is asked for nothing new; then doubled."""

SILENT_SECONDS_MAX: Final = 16.0

DEMAND_WINDOW_SECONDS: Final = 0.5
KEEP_SECONDS: Final = 5.0
"""How long one unit is kept after the last request, to save the next one a wait."""

REDIRECT_SECONDS: Final = 30.0
"""How long a borrower relies on the owners that a host of the region named."""

LENDABLE_AGE_SECONDS: Final = 5.0
LEDGER_POLL_SECONDS: Final = 30.0
STORE_RETRY_SECONDS: Final = 1.0
HOSTS_AT_FULL_RETRY_RATE: Final = 16
"""Up to so many hosts of a region each try a failed store once a second."""

HINT_RETRY_SECONDS: Final = 5.0
HINT_SECONDS: Final = 300.0
"""How long a peer's word of a later revision counts; hosts read at least as often."""

LEDGER_POLL_OWNERS: Final = 100
"""So many owners add as long again: a larger ledger is read less often."""

PLAN_INTERVAL_SECONDS: Final = 0.5
RECLAIM_RANK_SECONDS: Final = 0.5
"""Spaces the hosts that could reclaim the same share, so that one does it."""

DEFAULT_REQUEST_SECONDS: Final = 30


def lent_seconds(request_seconds: float) -> float:
    """Return how long a lender counts a loan that is not renewed."""
    longest = LOAN_SECONDS + request_seconds + RUN_END_SECONDS
    return longest * (1 + CLOCK_RATE_ERROR) + CLOCK_MARGIN_SECONDS


def quarantine_seconds(request_seconds: float) -> float:
    """Return how long a lost owner's share stays unused.

    The owner may use its share for ``CONFIRM_SECONDS`` after a witness's last word,
    be paused for ``FENCE_SECONDS`` between its check and the send, and what it lent
    last ends a loan and a request later.
    """
    held = CONFIRM_SECONDS + FENCE_SECONDS + LOAN_SECONDS
    longest = held + request_seconds + RUN_END_SECONDS
    return longest * (1 + CLOCK_RATE_ERROR) + CLOCK_MARGIN_SECONDS


def store_retry_seconds(hosts: int) -> float:
    """Return how long a host of a region waits after the store has failed.

    In a long outage the ledger becomes due on every host. If each tried once a second,
    a fleet of 4,900 would ask for more than twice what the store can take in the first
    second after it is back, and again in each later one.
    """
    return STORE_RETRY_SECONDS * max(1.0, hosts / HOSTS_AT_FULL_RETRY_RATE)
