"""Check what entries of the store name."""

from typing import Final

from greengagepoint_node.gateway.addresses import is_address
from greengagepoint_node.gateway.facts import HostEntry, ItemRefusedError, RefusedFor

NAME_LENGTH_MAX: Final = 255
# No server has so many slots, or is cold for so long; what an entry of another writer
# says beyond it would draw all requests, or keep a server out for good.
SLOTS_MAX: Final = 100_000
COLD_SECONDS_MAX: Final = 3_600
# The last Unix millisecond of the year 9999; a run that was born then would go before
# all that follow it.
BORN_MAX: Final = 253_402_300_799_999


def name_in(key: str, prefix: str) -> str:
    """Return the name that a key ends with; it goes into headers and log lines."""
    name = key.removeprefix(prefix)
    plain = name.isascii() and name.isprintable() and " " not in name
    if not name or "/" in name or not plain or len(name) > NAME_LENGTH_MAX:
        detail = f"the key does not end with a name after {prefix}"
        raise ItemRefusedError(detail, RefusedFor.KEY, key)
    return name


def check_address(key: str, text: str) -> None:
    """Raise ItemRefusedError unless a text is an IPv4 number and a port."""
    if not is_address(text):
        detail = f"{text[:NAME_LENGTH_MAX]!r} is no IPv4 number with a port"
        raise ItemRefusedError(detail, RefusedFor.ADDRESS, key)


def check_name(key: str, name: str, entry_name: str) -> None:
    """Raise ItemRefusedError where an entry names something else than its key."""
    if name != entry_name:
        raise ItemRefusedError("the entry names another", RefusedFor.KEY, key)


def check_host(key: str, name: str, host: HostEntry) -> None:
    """Raise ItemRefusedError where an entry can't be that of a host."""
    check_name(key, name, host.name)
    check_address(key, host.front_address)
    check_address(key, host.peer_address)
