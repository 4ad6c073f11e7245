"""Recognize network addresses."""

import re
from ipaddress import IPv4Address
from typing import Final

PORT: Final = re.compile(r"[1-9][0-9]{0,4}")
PORT_MAX: Final = 65_535


def is_address(text: str) -> bool:
    """Return True if a text is an IPv4 address and a port."""
    host, _, port = text.rpartition(":")
    if not PORT.fullmatch(port) or int(port) > PORT_MAX:
        return False
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return True
