"""Parsers of setting values; each names what it would accept."""

import hmac
import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit

NAME: Final = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
MIN_KEY_CHARACTERS: Final = 16
MAX_KEY_CHARACTERS: Final = 1024
MAX_PORT: Final = 65_535

Parser = Callable[[str], Any]


class InvalidValueError(ValueError):
    """Say what would have been accepted."""


class Address(NamedTuple):
    """An IP address and port; ``str`` gives host:port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return (
            f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"
        )

    @property
    def is_loopback(self) -> bool:
        """Tell whether only this machine can reach the address."""
        return ipaddress.ip_address(self.ip).is_loopback

    @property
    def is_unspecified(self) -> bool:
        """Tell whether the address stands for all of the machine's."""
        return ipaddress.ip_address(self.ip).is_unspecified


class SharedKey:
    """A secret that must not appear in logs, errors or process lists."""

    __slots__ = ("text",)

    def __init__(self, text: str) -> None:
        self.text = text

    def __repr__(self) -> str:
        return "SharedKey(hidden)"

    @property
    def data(self) -> bytes:
        """Return the key's bytes."""
        return self.text.encode()

    def matches(self, offered: str) -> bool:
        """Compare in constant time, so that answers do not tell a key's start."""
        return hmac.compare_digest(self.data, offered.encode("utf-8", "surrogatepass"))


def parse_name(text: str) -> str:
    """Return a name of a host, region or zone."""
    if not NAME.fullmatch(text):
        raise InvalidValueError(
            "1 to 63 lower-case letters, digits, '-', '_' and '.', "
            "beginning and ending with a letter or digit"
        )
    return text


def parse_address(text: str) -> Address:
    """Return an IP address with a port, as 10.0.0.1:8080 or [::1]:8080."""
    accepted = "an IP address with a port, as 10.0.0.1:8080 or [fd00::1]:8080"
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise InvalidValueError(accepted)
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise InvalidValueError(accepted)
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise InvalidValueError(accepted) from None
    if int(port) > MAX_PORT:
        raise InvalidValueError(f"a port from 0 to {MAX_PORT}")
    return Address(host, int(port))


def parse_advertised(text: str) -> Address:
    """Return an address that others can reach."""
    address = parse_address(text)
    if address.is_unspecified or address.port == 0:
        raise InvalidValueError("the IP address and port by which others reach it")
    return address


def parse_url(text: str) -> str:
    """Return an http or https URL without query, fragment or password."""
    accepted = "an http or https URL, as http://10.0.0.1:2379"
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        raise InvalidValueError(accepted) from None
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        raise InvalidValueError(accepted)
    if parts.query or parts.fragment or parts.username is not None:
        raise InvalidValueError(accepted + ", without query, fragment or password")
    return text.rstrip("/")


def parse_urls(text: str) -> tuple[str, ...]:
    """Return one or more URLs separated by commas."""
    return tuple(parse_url(part.strip()) for part in text.split(","))


def parse_key(text: str) -> SharedKey:
    """Return a shared key."""
    if not MIN_KEY_CHARACTERS <= len(text) <= MAX_KEY_CHARACTERS:
        raise InvalidValueError(
            f"{MIN_KEY_CHARACTERS} to {MAX_KEY_CHARACTERS} characters"
        )
    if not text.isascii() or not text.isprintable() or " " in text:
        raise InvalidValueError("printable ASCII characters without spaces")
    return SharedKey(text)


def parse_key_file(text: str) -> SharedKey:
    """Return the shared key that a file holds."""
    try:
        content = Path(text).read_text(encoding="ascii")
    except (OSError, ValueError):
        raise InvalidValueError("a readable file that holds the key") from None
    return parse_key(content.strip())


def whole_number(least: int, most: int) -> Parser:
    """Return a parser of whole numbers in a range."""

    def parse(text: str) -> int:
        if not re.fullmatch(r"[0-9]{1,18}", text) or not least <= int(text) <= most:
            raise InvalidValueError(f"a whole number from {least} to {most}")
        return int(text)

    return parse


def number(least: float, most: float) -> Parser:
    """Return a parser of numbers in a range."""

    def parse(text: str) -> float:
        if not re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text) or not (
            least <= float(text) <= most
        ):
            raise InvalidValueError(f"a number from {least:g} to {most:g}")
        return float(text)

    return parse


def one_of(*words: str) -> Parser:
    """Return a parser of one of a few words."""

    def parse(text: str) -> str:
        if text not in words:
            raise InvalidValueError("one of " + ", ".join(words))
        return text

    return parse
