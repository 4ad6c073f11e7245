"""Turn caller addresses and CIDR blocks into numbers."""

from ipaddress import ip_address, ip_network
from typing import Final, NamedTuple

IPV4_BITS: Final = 32
IPV6_BITS: Final = 128
PARTS: Final = {str(part): part for part in range(256)}


class Block(NamedTuple):
    """A block of addresses; ``bits`` is the width of the family's addresses."""

    bits: int
    start: int
    length: int


def parse_block(text: str) -> Block:
    """Return a CIDR block; raise ``ValueError`` when it is none."""
    if ":" not in text:
        address, _slash, length = text.partition("/")
        start = _ipv4_number(address)
        if start is not None and length.isdecimal() and length.isascii():
            return _ipv4_block(text, start, int(length))
    network = ip_network(text)
    bits = network.max_prefixlen
    return Block(bits, int(network.network_address), network.prefixlen)


def parse_address(text: str) -> tuple[int, int]:
    """Return (bits, number) of an address; raise ``ValueError`` when it is none.

    An IPv4 address written as an IPv6 one counts as IPv4.
    """
    number = _ipv4_number(text)
    if number is not None:
        return IPV4_BITS, number
    address = ip_address(text)
    if address.version == 6:
        if address.ipv4_mapped is None:
            return IPV6_BITS, int(address)
        address = address.ipv4_mapped
    return IPV4_BITS, int(address)


def _ipv4_block(text: str, start: int, length: int) -> Block:
    """Return an IPv4 block if no address bit is set beyond its length."""
    if length > IPV4_BITS or start & ((1 << (IPV4_BITS - length)) - 1):
        raise ValueError(f"not a block of addresses: {text}")
    return Block(IPV4_BITS, start, length)


def _ipv4_number(text: str) -> int | None:
    """Return an IPv4 address in four decimal parts as a number, or None.

    The library takes several times as long, which a table of a million blocks
    feels; whatever is unusual is left to it.
    """
    try:
        a, b, c, d = [PARTS[part] for part in text.split(".")]
    except (KeyError, ValueError):
        return None
    return a << 24 | b << 16 | c << 8 | d
