"""Measure what it costs to know requests that end backend servers.

The baseline of a check is hashing the whole request each time; that of a message is one
host telling all others itself.
"""

import random
import time
from collections.abc import Callable
from statistics import median
from typing import Final

import msgspec

from greengagepoint.quarantine.fingerprint import (
    Fingerprint,
    hash_caller,
    hash_content,
    hash_head,
)
from greengagepoint.quarantine.quarantine import SUSPECTS_MAX, Quarantine
from greengagepoint.quarantine.tables import CRASHES_KEPT, ServerIncarnation
from greengagepoint_node.gateway.quarantine_sync import FANOUT, ROWS_MAX
from measure.figure import Figure
from measure.runner import is_quick

BODY: Final = b"x" * 4_096
CALLS: Final = 2_000
ROUNDS: Final = 3 if is_quick() else 9
FLEETS: Final = (11, 195, 4_900)
MICROSECONDS: Final = 1e6


def run() -> list[Figure]:
    """Return the figures of checks and of messages."""
    figures = [*_checks(), _message()]
    for hosts in FLEETS:
        figures += _spread(hosts)
    return figures


def _checks() -> list[Figure]:
    """Return what a request costs that is not under suspicion, and one that is."""
    table = full_table()
    suspect = Fingerprint(f"{0:032}", "caller")
    whole = _microseconds(_hash_whole)
    head = _microseconds(
        lambda: table.has_suspect_head(hash_head("a.example", "POST", "/1/2"))
    )
    standing = _microseconds(lambda: table.standing(suspect, 1.0))
    return [
        Figure("check of a request", head, "µs", whole, "hash all of it"),
        Figure("check of one with 16 ends", standing, "µs", whole, "hash all of it"),
    ]


def full_table() -> Quarantine:
    """Return a table with as many requests as it keeps, the first with most ends."""
    table = Quarantine()
    for number in range(SUSPECTS_MAX):
        fingerprint = Fingerprint(f"{number:032}", "caller")
        table.note_end(fingerprint, ServerIncarnation(f"i-{number:010}", number), 0.0)
    for number in range(CRASHES_KEPT):
        fingerprint = Fingerprint(f"{0:032}", "caller")
        table.note_end(
            fingerprint, ServerIncarnation(f"i-{number:010}", number), 1.0 * number
        )
    return table


def _hash_whole() -> None:
    """Hash a request with its body and caller."""
    hash_content(hash_head("a.example", "POST", "/1/2"), BODY)
    hash_caller("10.0.0.1", "key=1")


def _message() -> Figure:
    """Return the bytes of the largest message."""
    table = full_table()
    rows = table.shared(list(table.suspects)[:ROWS_MAX], 20.0)
    size = len(msgspec.msgpack.encode(rows))
    return Figure("message of 32 requests", size / 1e3, "kB", limit=16.0)


def _spread(hosts: int) -> list[Figure]:
    """Return how far one piece of news comes that each host passes on once."""
    draw = random.Random(hosts)
    known, newest, steps, sent = {0}, [0], 0, 0
    while newest:
        steps += 1
        heard: set[int] = set()
        for host in newest:
            others = draw.sample(range(hosts - 1), min(FANOUT, hosts - 1))
            heard |= {other + (other >= host) for other in others}
            sent += len(others)
        newest = sorted(heard - known)
        known |= heard
    name = f"news among {hosts} hosts"
    return [
        Figure(f"{name}: reached", 100 * len(known) / hosts, "%", 100.0, "all"),
        Figure(f"{name}: steps", steps, "", 1, "one host tells all"),
        Figure(f"{name}: most sent by one", FANOUT, "", hosts - 1, "tells all"),
    ]


def _microseconds(call: Callable[[], object]) -> float:
    """Return the median time of a call."""
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        for _ in range(CALLS):
            call()
        times.append((time.perf_counter() - began) / CALLS)
    return median(times) * MICROSECONDS
