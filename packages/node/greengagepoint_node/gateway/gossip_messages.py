"""What hosts send each other, and its encoding."""

import zlib
from typing import Final

import msgspec

from greengagepoint.accounts.certainty import Proof
from greengagepoint.placing.busy_servers import BusyServer
from greengagepoint.placing.region_loads import RegionLoad
from greengagepoint.quarantine.messages import SharedSuspect
from greengagepoint_node.gateway.packing import PackedItem
from greengagepoint_node.gateway.store_types import HostEntry, RemovedKey

# No message begins with this byte, which MessagePack leaves unused.
DEFLATED: Final = b"\xc1"
DEFLATED_MIN: Final = 512
DEFLATED_MAX: Final = 64 * 1024
LEVEL: Final = 1


class HostState(msgspec.Struct, array_like=True):
    """What a host tells of itself.

    ``started`` orders its lifetimes and ``count`` its news in one of them.
    """

    entry: HostEntry
    started: int
    count: int
    leaving: bool


class Heartbeat(msgspec.Struct, array_like=True):
    """A host's newest state without its addresses, which hardly ever change."""

    name: str
    started: int
    count: int
    leaving: bool


class Message(msgspec.Struct, array_like=True):
    """Half of an exchange, or news.

    The items are those after the revision ``after``, or all where it is ``whole``: then
    a key that is not among them has been removed. ``age`` is how many seconds ago
    the sender's view was known to be complete, None where it never was.
    ``wants_addresses`` asks for all hosts in full. ``wants_news`` is False where
    another exchange already brings what the sender lacks. ``sent_at`` is by the
    sender's steady clock. ``busy_servers`` are backend servers that are full.
    ``lapsed_seconds`` are how long the removals of ``lapsed`` stay unconfirmed.
    ``full_link`` tells that all that the sender sends and gets has to wait.
    Where ``partial_after`` is set, the items are all after it but large values, which
    come by themselves; ``after`` is then as high as ``revision``. ``suspects`` are
    requests that end backend servers. ``proof`` is what the sender knows of the newest
    configuration. ``relay`` are the addresses of hosts to which the receiver passes the
    news on.
    """

    revision: int
    after: int
    age: float | None
    hosts: list[HostState]
    heartbeats: list[Heartbeat]
    wants_addresses: bool
    items: list[PackedItem]
    removed: list[RemovedKey]
    lapsed: list[str]
    whole: bool = False
    loads: list[RegionLoad] = []
    wants_news: bool = True
    sent_at: float | None = None
    busy_servers: list[BusyServer] = []
    lapsed_seconds: list[float] = []
    full_link: bool = False
    partial_after: int | None = None
    suspects: list[SharedSuspect] = []
    proof: Proof | None = None
    relay: list[str] = []


def heartbeat_of(state: HostState) -> Heartbeat:
    """Return a state without its addresses."""
    return Heartbeat(state.entry.name, state.started, state.count, state.leaving)


ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as it is sent, deflated where that saves much.

    A table of 300 hosts and the entries of servers take a third of their bytes then.
    Large values are packed already, and dwarf what is beside them.
    """
    body = ENCODER.encode(message)
    has_large = any(isinstance(row, PackedItem) and row.packed for row in message.items)
    if not has_large and DEFLATED_MIN <= len(body) <= DEFLATED_MAX:
        return DEFLATED + zlib.compress(body, LEVEL)
    return body


def decode(body: bytes) -> Message:
    """Return a message as it was written; raise msgspec.MsgspecError."""
    if body.startswith(DEFLATED):
        body = _inflate(body[len(DEFLATED) :])
    return DECODER.decode(body)


def _inflate(data: bytes) -> bytes:
    """Return a deflated message; raise msgspec.ValidationError."""
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(data, DEFLATED_MAX)
    except zlib.error as error:
        raise msgspec.ValidationError(f"message: {error}") from error
    if not stream.eof:
        raise msgspec.ValidationError("message: cut short or too long")
    return body
