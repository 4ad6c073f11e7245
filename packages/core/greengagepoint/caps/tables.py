"""Entities of caps: sites, loans, borrowers and this host's own share."""

from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

import msgspec

from greengagepoint.caps.const import HINT_SECONDS
from greengagepoint.caps.ledger import EMPTY_LEDGER, Entry, Ledger, owner_key
from greengagepoint.hosts import HostIdentity


class Permit(msgspec.Struct, gc=False):
    """The right to one request toward a site.

    The request must be sent before ``start_by`` and be over at ``end_by`` (monotonic
    seconds); ``lender`` is empty for a unit of this host's own share.
    """

    site: str
    lender: str
    start_by: float
    end_by: float
    open: bool = True


@dataclass(slots=True)
class Loan:
    """Units borrowed from one lender for one site.

    ``counted`` is the most the lender may count as lent; ``sent_holding`` and
    ``sent_want`` are those of the newest request; ``of`` is the site's limit that
    ``units`` were lent under.
    """

    units: int = 0
    of: int = 0
    counted: int = 0
    sent_holding: int = 0
    sent_want: int = 0
    in_flight: int = 0
    start_until: float = -inf
    end_until: float = -inf
    request_seconds: float = 0.0
    lendable: int = 0
    answered: float = -inf
    short_until: float = -inf
    short_seconds: float = 0.0


@dataclass(slots=True)
class Site:
    """One site: its limit, this host's part of it and what is in use.

    ``owned`` is what the ledger gives this host, ``lent`` what others hold of it.
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
    starved_at: float = -inf
    starved_by: str = ""
    owners: tuple[HostIdentity, ...] = ()
    lenders: tuple[HostIdentity, ...] = ()
    owners_version: int = -1
    named_owners: tuple[str, ...] = ()
    named_until: float = -inf


@dataclass(slots=True)
class Lender:
    """The exchange with one lender; at most one request is outstanding."""

    host: str
    incarnation: int
    sequence: int = 0
    asked: float | None = None
    sites: tuple[str, ...] = ()


@dataclass(slots=True)
class Lent:
    """Units one borrower may still use, until it says otherwise or ``expires``."""

    units: int
    expires: float
    wanted: int = 0


@dataclass(slots=True)
class Borrower:
    """The exchange with one borrower."""

    last_sequence: int = 0
    lent: dict[str, Lent] = field(default_factory=dict)
    heard: float = -inf


class Pending(NamedTuple):
    """A ledger write whose outcome is not known yet, and this host's entry in it."""

    base_revision: int
    entry: Entry


class DeadEvidence(NamedTuple):
    """Why an owner counts as lost, and since when this host has known."""

    reason: str
    since: float


@dataclass(slots=True)
class CapsTable:
    """Everything one host knows of caps."""

    host: HostIdentity
    me: str
    sites: dict[str, Site] = field(default_factory=dict)
    # Capacity of this host's own region and its part of it.
    region_capacity: int = 0
    region_owned: int = 0
    region_used: int = 0
    region_short_at: float = -inf
    region_asked_away: int = 0
    region_yields_until: float = -inf
    region_wanted_at: float = -inf
    region_turn: int = 0
    # The longest request: as the ledger allows it, and as configured.
    request_seconds: int = 0
    wanted_request_seconds: int = 0
    # The ledger as last read.
    ledger: Ledger = EMPTY_LEDGER
    # Owners by limit, and the ledger that they were taken from.
    owners: dict[str, tuple[str, ...]] = field(default_factory=dict)
    owners_ledger: Ledger = EMPTY_LEDGER
    revision: int = -1
    read_at: float = -inf
    hinted_revision: int = -1
    hinted_at: float = -inf
    next_hint_read: float = -inf
    pending: list[Pending] = field(default_factory=list)
    # Rights: what confirms this host's share.
    entries: tuple[Entry, ...] = ()
    write_confirmed: float = -inf
    paused: bool = False
    vouched: dict[str, float] = field(default_factory=dict)
    vouch_asked: dict[str, tuple[int, float]] = field(default_factory=dict)
    vouch_sequence: int = 0
    next_vouch: float = -inf
    rights_until: float = -inf
    has_rights: bool = False
    last_tick: float = -inf
    leaving: bool = False
    # Witness work: owners voted out, by base revision of the vote's write.
    voted: dict[str, int] = field(default_factory=dict)
    seen_at: dict[str, float] = field(default_factory=dict)
    evidence: dict[str, DeadEvidence] = field(default_factory=dict)
    departed: frozenset[str] = frozenset()
    votes_cast: int = 0
    # The other ends.
    live: dict[str, HostIdentity] = field(default_factory=dict)
    region_hosts: dict[str, tuple[HostIdentity, ...]] = field(default_factory=dict)
    live_version: int = 0
    lenders: dict[str, Lender] = field(default_factory=dict)
    borrowers: dict[str, Borrower] = field(default_factory=dict)
    next_plan: float = -inf


def create_table(host: HostIdentity) -> CapsTable:
    """Create the table of one run of a host; it holds nothing yet."""
    return CapsTable(host, owner_key(host.name, host.incarnation))


def is_behind(table: CapsTable, now: float) -> bool:
    """Tell whether a peer lately said that it knows a later revision.

    Hosts that know one repeat it while the store shows an older one; when they are
    all replaced, nobody holds units by it any more.
    """
    is_fresh = now - table.hinted_at < HINT_SECONDS
    return is_fresh and table.hinted_revision > table.revision
