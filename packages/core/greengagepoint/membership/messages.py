"""Messages with which hosts watch each other."""

from enum import StrEnum

import msgspec


class HostState(StrEnum):
    """What is held about a host; later ones outweigh earlier ones of one version."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"


STATE_WEIGHTS = {HostState.ALIVE: 0, HostState.SUSPECTED: 1, HostState.GONE: 2}


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A statement about one host.

    ``incarnation`` names the run of the daemon. ``version`` orders statements about a
    host name: it starts at the incarnation, only the host itself raises it, and the
    higher one holds.
    """

    name: str
    incarnation: int
    version: int
    state: HostState
    leaving: bool
    region: str
    zone: str
    address: str
    peer_address: str


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """A host of another zone that answers for it."""

    name: str
    incarnation: int
    zone: str
    address: str
    peer_address: str


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """The state of one availability zone.

    ``beat`` grows while it is kept up, ``contacts_beat`` is the beat at which its
    contacts last changed. Most messages leave the contacts out to stay small.
    """

    region: str
    zone: str
    beat: int
    alive: int
    serving: int
    contacts_beat: int
    contacts: tuple[Contact, ...]


class RegionSum(msgspec.Struct, frozen=True, array_like=True):
    """The state of one region, with beats and contacts as in ``ZoneDigest``."""

    region: str
    beat: int
    alive: int
    serving: int
    contacts_beat: int
    contacts: tuple[Contact, ...]


class Piggyback(msgspec.Struct, frozen=True, array_like=True):
    """What a probe and its answer carry besides.

    ``digest`` sums up the sender's detailed table; ``notes`` are small payloads of
    other matters by their key.
    """

    claims: tuple[Claim, ...]
    zones: tuple[ZoneDigest, ...]
    regions: tuple[RegionSum, ...]
    digest: int
    notes: dict[str, bytes]


class Ping(
    msgspec.Struct, frozen=True, array_like=True, tag="membership.ping", kw_only=True
):
    """Ask a host for an answer; ``sequence`` 0 wants none."""

    sequence: int
    sender: Claim
    piggyback: Piggyback


class Ack(
    msgspec.Struct, frozen=True, array_like=True, tag="membership.ack", kw_only=True
):
    """Answer a ping."""

    sequence: int
    sender: Claim
    piggyback: Piggyback


class ProbeRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="membership.probe", kw_only=True
):
    """Ask a helper to ping a host that does not answer the sender."""

    sequence: int
    target: str
    target_peer_address: str


class ProbeAnswer(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag="membership.probe_answer",
    kw_only=True,
):
    """Tell the requester that the host has answered; ``claim`` is its own."""

    sequence: int
    claim: Claim


class Sync(
    msgspec.Struct, frozen=True, array_like=True, tag="membership.sync", kw_only=True
):
    """Send claims to a host; with ``reply`` it answers with those it holds newer."""

    claims: tuple[Claim, ...]
    reply: bool


class Overview(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag="membership.overview",
    kw_only=True,
):
    """Send digests and sums to another zone; with ``reply`` it answers with its own."""

    zones: tuple[ZoneDigest, ...]
    regions: tuple[RegionSum, ...]
    reply: bool


Message = Ping | Ack | ProbeRequest | ProbeAnswer | Sync | Overview
MESSAGES: tuple[type[Message], ...] = (
    Ping,
    Ack,
    ProbeRequest,
    ProbeAnswer,
    Sync,
    Overview,
)
