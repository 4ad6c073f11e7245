"""Watch what is in flight, to tell how long a drain still takes."""

from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.draining import estimate, slots
from greengagepoint.draining.estimate import Transfer

SAMPLES_MAX: Final = 256
# A shorter answer is over before its speed is known, and counts as a small request.
PACK_BYTES_MIN: Final = 1024 * 1024
SPEED_GAIN: Final = 0.3
SPEED_SECONDS_MIN: Final = 0.5
PEAK_FADE_SECONDS: Final = 600.0


@dataclass(slots=True)
class Flight:
    """One request at a backend server; times are monotonic seconds.

    Whoever passes the answer on sets ``length_bytes`` once it is known and counts
    ``received_bytes``.
    """

    site: str
    backend_server: str
    service: str
    started_at: float
    length_bytes: int | None = None
    received_bytes: int = 0
    sampled_bytes: int = 0
    sampled_at: float = 0.0
    bytes_per_second: float | None = None

    @property
    def is_pack(self) -> bool:
        """Tell whether the answer is large and its speed known."""
        if self.bytes_per_second is None or self.length_bytes is None:
            return False
        return self.length_bytes >= PACK_BYTES_MIN


@dataclass(slots=True)
class Peak:
    """The highest total speed of packs from one site, and when it was seen."""

    bytes_per_second: float = 0.0
    seen_at: float = 0.0


@dataclass(slots=True)
class FlightTable:
    """What this host has in flight, and how long small requests took lately."""

    flights: dict[int, Flight] = field(default_factory=dict)
    last_id: int = 0
    samples: defaultdict[str, deque[float]] = field(
        default_factory=lambda: defaultdict(lambda: deque(maxlen=SAMPLES_MAX))
    )
    peaks: defaultdict[str, Peak] = field(default_factory=lambda: defaultdict(Peak))


class Progress(NamedTuple):
    """What is left of a drain; the seconds are None when nothing tells them."""

    in_flight: int
    remaining_seconds: float | None


def begin(
    table: FlightTable, site: str, backend_server: str, service: str, now: float
) -> int:
    """Note that a request was sent; return the id of its row."""
    table.last_id += 1
    flight = Flight(site, backend_server, service, now, sampled_at=now)
    table.flights[table.last_id] = flight
    return table.last_id


def end(table: FlightTable, flight_id: int, now: float, *, answered: bool) -> None:
    """Note that a request has ended; only a whole answer says how long one takes."""
    flight = table.flights.pop(flight_id, None)
    if flight is None or not answered or flight.is_pack:
        return
    table.samples[flight.service].append(now - flight.started_at)


def run(table: FlightTable, now: float) -> None:
    """Measure the speeds of downloads, and their totals by site."""
    totals: defaultdict[str, float] = defaultdict(float)
    for flight in table.flights.values():
        if flight.length_bytes is None:
            continue
        _sample_speed(flight, now)
        if flight.is_pack:
            totals[flight.site] += flight.bytes_per_second or 0.0
    for site, total in totals.items():
        peak = table.peaks[site]
        if total >= peak.bytes_per_second or now - peak.seen_at > PEAK_FADE_SECONDS:
            table.peaks[site] = Peak(total, now)


def progress(
    table: FlightTable, selects: Callable[[Flight], bool], now: float
) -> Progress:
    """Return what is in flight of a drain and when the last of it ends.

    Packs of one site share the way from it and are judged together, also with packs
    that are not part of the drain: those take their share of it as well.
    """
    chosen = [flight for flight in table.flights.values() if selects(flight)]
    seconds = [
        *_pack_seconds(table, chosen),
        *_small_seconds(table, chosen, now),
    ]
    known = [row for row in seconds if row is not None]
    return Progress(len(chosen), max(known, default=None if chosen else 0.0))


def _pack_seconds(table: FlightTable, chosen: Iterable[Flight]) -> list[float]:
    """Return when each chosen pack ends."""
    ids = {id(flight) for flight in chosen if flight.is_pack}
    ends: list[float] = []
    for site in {flight.site for flight in chosen if flight.is_pack}:
        packs = [
            flight
            for flight in table.flights.values()
            if flight.is_pack and flight.site == site
        ]
        transfers = [_transfer(flight) for flight in packs]
        peak = table.peaks[site].bytes_per_second
        found = estimate.held_back_seconds(transfers, peak)
        ends += [
            row for flight, row in zip(packs, found, strict=True) if id(flight) in ids
        ]
    return ends


def _small_seconds(
    table: FlightTable, chosen: Iterable[Flight], now: float
) -> list[float | None]:
    """Return for each service when its small requests end, None if unknown."""
    elapsed: defaultdict[str, list[float]] = defaultdict(list)
    for flight in chosen:
        if not flight.is_pack:
            elapsed[flight.service].append(now - flight.started_at)
    return [
        slots.remaining_seconds(rows, table.samples[service])
        if table.samples.get(service)
        else None
        for service, rows in elapsed.items()
    ]


def _transfer(flight: Flight) -> Transfer:
    """Return a pack as the estimate wants it."""
    left = max(0, (flight.length_bytes or 0) - flight.received_bytes)
    return Transfer(left, flight.bytes_per_second or 0.0)


def _sample_speed(flight: Flight, now: float) -> None:
    """Follow a download's speed, slowly enough to even out its bursts."""
    seconds = now - flight.sampled_at
    if seconds < SPEED_SECONDS_MIN:
        return
    speed = (flight.received_bytes - flight.sampled_bytes) / seconds
    if flight.bytes_per_second is None:
        flight.bytes_per_second = speed
    else:
        flight.bytes_per_second += SPEED_GAIN * (speed - flight.bytes_per_second)
    flight.sampled_bytes = flight.received_bytes
    flight.sampled_at = now
