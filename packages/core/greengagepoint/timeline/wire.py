"""Carry events between hosts and the operators' client as JSON."""

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import Any, Final, NotRequired, TypedDict

import msgspec

from greengagepoint.events import CATALOGUE, Event, Level, Occurrence
from greengagepoint.timeline.hlc import Stamp

MILLISECONDS_PER_SECOND: Final = 1000
UNKNOWN_MEANING: Final = "An event that this version does not know."


class TimelineLine(TypedDict):
    """One event as an operator's script reads it; ``time`` is RFC 3339 in UTC."""

    clock: tuple[int, int]
    time: NotRequired[str]
    host: str
    number: int
    name: str
    level: NotRequired[str]
    meaning: NotRequired[str]
    fields: dict[str, Any]


class WireEvent(msgspec.Struct, frozen=True):
    """The part of a line from which an event is read back."""

    clock: tuple[int, int]
    host: str
    number: int
    fields: dict[str, Any] = {}


DECODER: Final = msgspec.json.Decoder(list[WireEvent])


def time_text(milliseconds: int) -> str:
    """Return a wall clock's reading as RFC 3339, or the number if it has no date."""
    try:
        moment = datetime.fromtimestamp(milliseconds / MILLISECONDS_PER_SECOND, UTC)
    except (OverflowError, OSError, ValueError):
        return str(milliseconds)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def event_name(event: int) -> str:
    """Return an event's name, or its number if this version does not know it."""
    return Event(event).name.lower() if event in CATALOGUE else str(int(event))


def event_level(event: int) -> Level:
    """Return how urgent an event is."""
    return CATALOGUE[event].level if event in CATALOGUE else Level.INFO


def line(occurrence: Occurrence) -> TimelineLine:
    """Return one event as a line."""
    event = occurrence.event
    row = CATALOGUE.get(event)
    return TimelineLine(
        clock=tuple(occurrence.clock),
        time=time_text(occurrence.clock[0]),
        host=occurrence.host,
        number=int(event),
        name=event_name(event),
        level=str(event_level(event)),
        meaning=row.meaning if row else UNKNOWN_MEANING,
        fields=occurrence.fields,
    )


def encode(occurrences: Iterable[Occurrence]) -> bytes:
    """Return events as a JSON list of lines; fields of other types become text."""
    lines = [line(occurrence) for occurrence in occurrences]
    return msgspec.json.encode(lines, enc_hook=str)


def decode(data: bytes) -> list[Occurrence]:
    """Read events back; an event of a newer version keeps its number.

    Raise ``msgspec.MsgspecError`` when the data isn't such a list.
    """
    return [_occurrence(one) for one in DECODER.decode(data)]


def from_lines(lines: Iterable[Mapping[str, Any]]) -> list[Occurrence]:
    """Read events back from lines that were already decoded.

    Raise ``msgspec.ValidationError`` when a line isn't one.
    """
    rows = msgspec.convert(list(lines), list[WireEvent])
    return [_occurrence(row) for row in rows]


def parse_kind(text: str) -> Event:
    """Return the event that an operator names, by name or number.

    Raise ``ValueError`` with what would be accepted.
    """
    wanted = text.strip().lower()
    for event in Event:
        if wanted in (event.name.lower(), str(int(event))):
            return event
    near = [event.name.lower() for event in Event if wanted in event.name.lower()]
    hint = f"; did you mean {', '.join(near)}" if wanted and near else ""
    raise ValueError(f"no event is named {text!r}{hint}")


def _occurrence(row: WireEvent) -> Occurrence:
    """Return the event that was carried."""
    return Occurrence(Stamp(*row.clock), row.host, _event(row.number), row.fields)


def _event(number: int) -> Event:
    """Return the event of a number, or the bare number of a newer version."""
    return Event(number) if number in CATALOGUE else number
