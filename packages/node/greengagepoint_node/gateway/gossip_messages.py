"""Define and encode the messages between hosts."""

import zlib
from typing import Final

import msgspec

from greengagepoint.accounts.certainty import Proof
from greengagepoint.admission.pressure import ServicePressure
from greengagepoint.backpressure.messages import LeavingNotice, LimitNotice
from greengagepoint.demand.messages import HostDemand, RegionDemand
from greengagepoint.placing.busy_servers import BusyServer
from greengagepoint.placing.region_loads import RegionLoad
from greengagepoint.quarantine.messages import SharedSuspect
from greengagepoint_node.gateway.packing import PackedItem
from greengagepoint_node.gateway.store_types import HostEntry, RemovedKey

# Marks a deflated message; MessagePack never uses this byte.
DEFLATED: Final = b"\xc1"
DEFLATED_MIN: Final = 512
DEFLATED_MAX: Final = 64 * 1024
LEVEL: Final = 1


class HostState(msgspec.Struct, array_like=True):
    """A host's state as it reports it.

    ``started`` orders its incarnations and ``count`` the states of one incarnation.
    ``cut_off`` means that it reaches no backend server steadily. If it is
    ``recovering`` as well, servers answer it again.
    """

    entry: HostEntry
    started: int
    count: int
    leaving: bool
    cut_off: bool = False
    recovering: bool = False


class Heartbeat(msgspec.Struct, array_like=True):
    """A host's newest state without its addresses, which rarely change."""

    name: str
    started: int
    count: int
    leaving: bool
    cut_off: bool = False
    recovering: bool = False


class Message(msgspec.Struct, array_like=True):
    """One side's message of an exchange, or an update from the watcher.

    ``items`` and ``removed`` are the changes after the revision ``after``. If
    ``whole``, ``items`` is a snapshot instead, and keys that it lacks have been
    removed. ``age`` is how many seconds ago the sender's view was known to be complete,
    None if it never was. ``wants_addresses`` asks for the full states of all hosts.
    ``wants_news`` is False while another exchange already fetches what the sender
    lacks. ``sent_at`` is by the sender's steady clock. ``busy_servers`` are backend
    servers without free slots. ``lapsed_seconds`` is how long the removals of the keys
    in ``lapsed`` stay unconfirmed. ``full_link`` means that the sender's link is
    saturated. If ``partial_after`` is set, the changes are those after it except large
    values, which are sent separately, and ``after`` equals ``revision``. ``suspects``
    are requests that crash backend servers. ``proof`` is the sender's proof of the
    newest configuration. ``relay`` holds the addresses of hosts to which the receiver
    relays the update. ``limits`` are the request limits that backend servers named,
    ``leaving_servers`` those that said that they leave. ``uneven_servers`` means that
    some server reported its pace to any host. ``host_demands`` are figures of the
    hosts of the sender's region, ``region_demands`` those of regions.
    ``pressures`` are those of services, empty unless the demand mode is on.
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
    limits: list[LimitNotice] = []
    leaving_servers: list[LeavingNotice] = []
    uneven_servers: bool = False
    host_demands: list[HostDemand] = []
    region_demands: list[RegionDemand] = []
    pressures: list[ServicePressure] = []


def heartbeat_of(state: HostState) -> Heartbeat:
    """Return the heartbeat of a state."""
    return Heartbeat(
        state.entry.name,
        state.started,
        state.count,
        state.leaving,
        state.cut_off,
        state.recovering,
    )


ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return an encoded message, deflated if that saves much.

    A table of 300 hosts and the entries of servers shrink to a third. Messages with
    large values are not deflated: the values are compressed already and make up most
    of the message.
    """
    body = ENCODER.encode(message)
    has_large = any(isinstance(row, PackedItem) and row.packed for row in message.items)
    if not has_large and DEFLATED_MIN <= len(body) <= DEFLATED_MAX:
        return DEFLATED + zlib.compress(body, LEVEL)
    return body


def decode(body: bytes) -> Message:
    """Return a decoded message; raise msgspec.MsgspecError if it is invalid."""
    if body.startswith(DEFLATED):
        body = _inflate(body[len(DEFLATED) :])
    return DECODER.decode(body)


def _inflate(data: bytes) -> bytes:
    """Return an inflated message; raise msgspec.ValidationError if it is invalid."""
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(data, DEFLATED_MAX)
    except zlib.error as error:
        raise msgspec.ValidationError(f"message: {error}") from error
    if not stream.eof:
        raise msgspec.ValidationError("message: truncated or too long")
    return body
