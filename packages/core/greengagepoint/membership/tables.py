"""Tables of hosts, probes, digests and sums as one host holds them."""

from collections.abc import Iterable
from typing import Final, NamedTuple

import msgspec

from greengagepoint.hosts import HostIdentity
from greengagepoint.membership.messages import (
    Claim,
    Contact,
    HostState,
    Message,
    RegionSum,
    ZoneDigest,
)
from greengagepoint.protocols import ListedHost

# Up to this many hosts each tracks all others in detail; the gap between the two
# bounds keeps a system at the border from switching to and fro.
DETAIL_HOSTS_MAX: Final = 64
DETAIL_HOSTS_RETURN: Final = 48
# Times a claim is passed on, for each doubling of the group: enough for an epidemic
# to reach all with a probability that the anti-entropy exchange makes up for.
CLAIM_SENDS_PER_DOUBLING: Final = 3
LEARNT_ADDRESSES_MAX: Final = 512


class Member(msgspec.Struct):
    """A host as held here.

    ``heard_at`` is when a message of its own last came, ``claimed_at`` when its state
    last changed; ``suspicion_ends_at``, set while this host's own probes fail, is
    when it will be held gone.
    """

    claim: Claim
    heard_at: float
    claimed_at: float
    suspicion_ends_at: float | None = None
    listed_leaving: bool = False


class Probe(msgspec.Struct):
    """A ping that awaits its answer; ``asked_at`` is when helpers were asked."""

    target: str
    sent_at: float
    resent: bool = False
    asked_at: float | None = None


class Relay(NamedTuple):
    """A ping sent on behalf of another host."""

    requester: str
    sequence: int
    sent_at: float


class Send(NamedTuple):
    """A command to send a message to a host."""

    host: str
    message: Message


class Change(NamedTuple):
    """A change of what is held about a host; ``before`` is None for a new one."""

    host: str
    before: Claim | None
    after: Claim


class RegionChange(NamedTuple):
    """A region that came into reach or went out of it."""

    region: str
    reachable: bool


class Heard(msgspec.Struct):
    """A digest or sum, when a newer beat of it last came, and its newest contacts.

    ``contacts_sends`` is how many more times they travel each time the item does.
    """

    item: ZoneDigest | RegionSum
    heard_at: float
    contacts_beat: int = 0
    contacts: tuple[Contact, ...] = ()
    contacts_sends: int = 0


class Passing(msgspec.Struct):
    """A claim that is still to be passed on some times."""

    claim: Claim
    sends_left: int


class MembershipTables:
    """All that one host holds about the others."""

    def __init__(self, host: HostIdentity, now: float) -> None:
        self.me = Claim(
            host.name,
            host.incarnation,
            host.incarnation,
            HostState.ALIVE,
            False,
            host.region,
            host.zone,
            host.address,
            host.peer_address,
        )
        self.started_at = now
        self.joined_at = now
        self.members: dict[str, Member] = {}
        self.listed: dict[str, ListedHost] = {}
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.passing: dict[str, Passing] = {}
        self.zones: dict[tuple[str, str], Heard] = {}
        self.regions: dict[str, Heard] = {}
        self.region_heard_at: dict[str, float] = {}
        self.region_known_at: dict[str, float] = {}
        self.unreachable: set[str] = set()
        self.order: list[str] = []
        self.changes: list[Change | RegionChange] = []
        self.notes: dict[str, bytes] = {}
        self.sequence = 0
        self.version = 0
        self.beat = 0
        self.items_sent = 0
        self.overviews_sent = 0
        self.detail_everywhere = True
        self.present_rows: list[Member] = []
        self.present_version = -1
        self.digest = 0
        self.digest_version = -1
        self.learnt_addresses: dict[str, str] = {}
        self.ran_at = now
        self.surveyed_at = float("-inf")
        self.probed_at = float("-inf")
        self.heard_at = now
        self.alert = False
        self.differing = 0
        self.synced_at = now
        self.overview_at = now
        self.revived_at = now

    def next_sequence(self) -> int:
        """Return a sequence number not used before."""
        self.sequence += 1
        return self.sequence

    def in_detail(self, claim: Claim | ListedHost) -> bool:
        """Tell whether a host is tracked one by one here."""
        return self.detail_everywhere or (
            claim.region == self.me.region and claim.zone == self.me.zone
        )

    def detailed(self) -> Iterable[Member]:
        """Yield the members tracked one by one."""
        return (row for row in self.members.values() if self.in_detail(row.claim))

    def present(self) -> list[Member]:
        """Return the detailed members that are not gone."""
        if self.present_version != self.version:
            self.present_version = self.version
            self.present_rows = [
                row for row in self.detailed() if row.claim.state is not HostState.GONE
            ]
        return self.present_rows

    def peer_address(self, host: str) -> str | None:
        """Return where a host's daemon listens to peers, if known."""
        row = self.members.get(host)
        if row is not None:
            return row.claim.peer_address
        listed = self.listed.get(host)
        return listed.peer_address if listed else self.learnt_addresses.get(host)

    def learn_address(self, host: str, peer_address: str) -> None:
        """Keep the address of a host that has no row, the latest ones only."""
        self.learnt_addresses.pop(host, None)
        self.learnt_addresses[host] = peer_address
        if len(self.learnt_addresses) > LEARNT_ADDRESSES_MAX:
            del self.learnt_addresses[next(iter(self.learnt_addresses))]
