"""Validate names, addresses and values of entries in the store."""

from typing import Annotated, Final

from msgspec import Meta

from greengagepoint_node.gateway.addresses import is_address
from greengagepoint_node.gateway.store_types import (
    HostEntry,
    ItemRefusedError,
    RefusedFor,
)

NAME_LENGTH_MAX: Final = 255
# No real server has more slots or stays cold for longer. A faulty entry beyond these
# limits would attract all requests or exclude a server permanently.
SLOTS_MAX: Final = 100_000
COLD_SECONDS_MAX: Final = 3_600
# A faulty entry above any real link would be the only one that counts as well linked.
LINK_MBPS_MAX: Final = 1_000_000.0
# The last Unix millisecond of the year 9999. An incarnation with a start time that late
# would take precedence over all that follow it.
BORN_MAX: Final = 253_402_300_799_999
SEQUENCE_MAX: Final = 2**63 - 1

Slots = Annotated[int, Meta(ge=1, le=SLOTS_MAX)]
ColdSeconds = Annotated[float, Meta(ge=0, le=COLD_SECONDS_MAX)]
Born = Annotated[int, Meta(ge=0, le=BORN_MAX)]
SequenceNumber = Annotated[int, Meta(ge=0, le=SEQUENCE_MAX)]


def name_from_key(key: str, prefix: str) -> str:
    """Return the name at the end of a key; it is used in headers and log lines.

    Raise ItemRefusedError if the key does not end with a valid name.
    """
    name = key.removeprefix(prefix)
    is_plain = name.isascii() and name.isprintable() and " " not in name
    if not name or "/" in name or not is_plain or len(name) > NAME_LENGTH_MAX:
        detail = f"the key has no valid name after its prefix {prefix}"
        raise ItemRefusedError(detail, RefusedFor.KEY, key)
    return name


def check_address(key: str, text: str) -> None:
    """Raise ItemRefusedError unless a text is an IPv4 address and a port."""
    if not is_address(text):
        detail = f"{text[:NAME_LENGTH_MAX]!r} is not an IPv4 address with a port"
        raise ItemRefusedError(detail, RefusedFor.ADDRESS, key)


def check_name(key: str, name: str, entry_name: str) -> None:
    """Raise ItemRefusedError if an entry's name differs from that in its key."""
    if name != entry_name:
        raise ItemRefusedError(
            "the entry's name differs from its key", RefusedFor.KEY, key
        )


def check_host(key: str, name: str, host: HostEntry) -> None:
    """Raise ItemRefusedError if a host's entry has an invalid name, address or link."""
    check_name(key, name, host.name)
    if not 0 <= host.link_mbps <= LINK_MBPS_MAX:
        detail = f"the link must carry 0 to {LINK_MBPS_MAX:.0f} Mbit/s"
        raise ItemRefusedError(detail, RefusedFor.FIELD, key)
    check_address(key, host.front_address)
    check_address(key, host.peer_address)
