"""Build faults of records: the checks that several kinds share."""

import datetime
import ipaddress
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Final, NamedTuple

from greengagepoint.errors import RecordError
from greengagepoint.records.schemas import RecordKind

NAME: Final = re.compile(r"[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?")
NAME_ACCEPTED: Final = "1 to 63 of a-z, 0-9, '-' and '.', letter or digit at both ends"
TIME_ACCEPTED: Final = "RFC 3339 with an offset, such as 2026-12-02T18:00:00+02:00"


class Fault(NamedTuple):
    """One fault of a record, before it is bound to the record's name."""

    field: str
    detail: str
    accepted: str


def parse_time(text: str) -> datetime.datetime | None:
    """Return an RFC 3339 time with its offset, or None."""
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    return time if time.tzinfo is not None and "T" in text.upper() else None


def bind(kind: RecordKind, name: str, fault: Fault) -> RecordError:
    """Return a fault as the error of a named record."""
    return RecordError(
        fault.detail,
        field=fault.field,
        accepted=fault.accepted,
        record=f"{kind}/{name}",
    )


def check_name(field: str, value: str) -> Iterator[Fault]:
    """Check a name."""
    if not NAME.fullmatch(value):
        yield Fault(field, f"{value!r} is no name", NAME_ACCEPTED)


def check_range(field: str, value: float, low: float, high: float) -> Iterator[Fault]:
    """Check that a number is within its bounds (also that it is one)."""
    if not low <= value <= high:
        yield Fault(field, f"{value} is out of range", f"{low} to {high}")


def check_unique(field: str, values: Iterable[str]) -> Iterator[Fault]:
    """Check that a list names nothing twice."""
    for value, count in Counter(values).items():
        if count > 1:
            yield Fault(field, f"{value!r} stands {count} times", "each once")


def check_not_empty(field: str, values: Sequence[Any]) -> Iterator[Fault]:
    """Check that a list has elements."""
    if not values:
        yield Fault(field, "is empty", "at least one")


def check_address(field: str, address: str) -> Iterator[Fault]:
    """Check an address of the form IP:port, as hosts reach each other by IP."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 1 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        yield Fault(field, f"{address!r} is no address", "IP:port, port 1 to 65535")


def check_time(field: str, text: str) -> Iterator[Fault]:
    """Check a time."""
    if parse_time(text) is None:
        yield Fault(field, f"{text!r} is no time", TIME_ACCEPTED)
