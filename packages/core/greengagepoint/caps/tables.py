"""State of caps: sites, loans, borrowers and this host's own share."""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

import msgspec

from greengagepoint.caps.const import HINT_TTL_SECONDS
from greengagepoint.caps.ledger import EMPTY_LEDGER, Entry, Ledger, owner_key
from greengagepoint.hosts import HostIdentity


class Permit(msgspec.Struct, gc=False):
    """The right to send one request to a site.

    The request must be sent by ``start_by`` and end by ``end_by`` (monotonic seconds).
    ``lender`` is empty for a unit of this host's own share.
    """

    site: str
    lender: str
    start_by: float
    end_by: float
    open: bool = True


@dataclass(slots=True)
class Loan:
    """Units borrowed from one lender for one site.

    ``counted`` is the most that the lender may count as lent; ``sent_holding`` and
    ``sent_want`` are those of the newest request; ``lent_limit`` is the site's limit
    under which ``units`` were lent.
    """

    units: int = 0
    lent_limit: int = 0
    counted: int = 0
    sent_holding: int = 0
    sent_want: int = 0
    in_flight: int = 0
    start_until: float = -inf
    end_until: float = -inf
    request_seconds: float = 0.0
    lendable: int = 0
    answered_at: float = -inf
    backoff_until: float = -inf
    backoff_seconds: float = 0.0


@dataclass(slots=True)
class Site:
    """One site: its limit, this host's units and those in use.

    ``owned`` are the units that the ledger grants this host, ``lent`` those of them
    that are on loan to peers.
    """

    name: str
    region: str
    limit: int
    owned: int = 0
    in_flight: int = 0
    lent: int = 0
    loans: dict[str, Loan] = field(default_factory=dict)
    borrowed_in_flight: int = 0
    refused: int = 0
    peak: int = 0
    recent_peak: int = 0
    window_start: float = -inf
    active_at: float = -inf
    shortage_at: float = -inf
    shortage_by: str = ""
    owners: tuple[HostIdentity, ...] = ()
    lenders: tuple[HostIdentity, ...] = ()
    owners_version: int = -1
    named_owners: tuple[str, ...] = ()
    named_until: float = -inf


@dataclass(slots=True)
class Lender:
    """The state of requests to one lender; at most one is outstanding."""

    host: str
    incarnation: int
    sequence: int = 0
    requested_at: float | None = None
    sites: tuple[str, ...] = ()


@dataclass(slots=True)
class Lent:
    """Units one borrower may use until its next request or ``expires``."""

    units: int
    expires: float
    wanted: int = 0


@dataclass(slots=True)
class Borrower:
    """The loans to one borrower and its newest request."""

    last_sequence: int = 0
    lent: dict[str, Lent] = field(default_factory=dict)
    last_request_at: float = -inf


class Pending(NamedTuple):
    """A ledger write of unknown outcome, with this host's entry in it."""

    base_revision: int
    entry: Entry


class LossEvidence(NamedTuple):
    """Why an owner counts as lost, and when this host first read that."""

    reason: str
    since: float


@dataclass(slots=True)
class CapsTable:
    """The state of caps on one host."""

    host: HostIdentity
    own_key: str
    sites: dict[str, Site] = field(default_factory=dict)
    # Capacity of this host's region, and this host's share of it.
    region_capacity: int = 0
    region_owned: int = 0
    region_used: int = 0
    region_exhausted_at: float = -inf
    region_units_requested: int = 0
    region_yields_until: float = -inf
    region_requested_at: float = -inf
    region_peer_turn: int = 0
    # Longest request in seconds: as recorded in the ledger, and as configured.
    request_seconds: int = 0
    configured_request_seconds: int = 0
    # Last ledger read.
    ledger: Ledger = EMPTY_LEDGER
    # Owners by limit, cached for ``owners_ledger``.
    owners: dict[str, tuple[str, ...]] = field(default_factory=dict)
    owners_ledger: Ledger = EMPTY_LEDGER
    revision: int = -1
    read_at: float = -inf
    hinted_revision: int = -1
    hinted_at: float = -inf
    next_hint_read: float = -inf
    pending: list[Pending] = field(default_factory=list)
    # Rights to this host's share, and what confirms them.
    entries: tuple[Entry, ...] = ()
    write_confirmed_at: float = -inf
    paused: bool = False
    vouched: dict[str, float] = field(default_factory=dict)
    vouch_requests: dict[str, tuple[int, float]] = field(default_factory=dict)
    vouch_sequence: int = 0
    next_vouch: float = -inf
    rights_until: float = -inf
    has_rights: bool = False
    last_tick: float = -inf
    leaving: bool = False
    # As a witness: owners voted out, with the revision that the vote was based on.
    voted: dict[str, int] = field(default_factory=dict)
    seen_at: dict[str, float] = field(default_factory=dict)
    evidence: dict[str, LossEvidence] = field(default_factory=dict)
    departed: frozenset[str] = frozenset()
    votes_cast: int = 0
    # Peers.
    live: dict[str, HostIdentity] = field(default_factory=dict)
    region_hosts: dict[str, tuple[HostIdentity, ...]] = field(default_factory=dict)
    live_version: int = 0
    lenders: dict[str, Lender] = field(default_factory=dict)
    borrowers: dict[str, Borrower] = field(default_factory=dict)
    next_plan: float = -inf


def create_table(host: HostIdentity) -> CapsTable:
    """Create the table of one incarnation of a host, without shares or loans."""
    return CapsTable(host, owner_key(host.name, host.incarnation))


def is_behind(table: CapsTable, now: float) -> bool:
    """Return True if a peer recently reported a later ledger revision.

    Hosts that have seen a later revision keep reporting it while the store shows an
    older one. Once all of them are replaced, nobody holds units by that revision.
    """
    is_fresh = now - table.hinted_at < HINT_TTL_SECONDS
    return is_fresh and table.hinted_revision > table.revision
