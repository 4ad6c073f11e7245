"""Keep small answers of keyed requests in bounded memory for replay."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.delivery.claims import ClaimValue
from greengagepoint.delivery.outcomes import SERVER_ERROR_FROM
from greengagepoint.errors import Ran

ANSWER_BYTES_MAX: Final = 16 * 1024
TABLE_BYTES_MAX: Final = 4 * 1024 * 1024
ROW_BYTES: Final = 512
HEADER_BYTES: Final = 32


class StoredAnswer(NamedTuple):
    """A whole answer that can be given again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True)
class ClaimRow:
    """One claim this host knows; ``answer`` once it has ended and was small.

    ``ran`` is what a repeat is told when there is no answer to give again.
    """

    value: ClaimValue
    memory_only: bool = False
    ended: bool = False
    ran: Ran = Ran.UNKNOWN
    answer: StoredAnswer | None = None
    size_bytes: int = ROW_BYTES


@dataclass(slots=True)
class ClaimTable:
    """Claims held by this host, oldest first; ``size_bytes`` is bounded."""

    rows: OrderedDict[str, ClaimRow] = field(default_factory=OrderedDict)
    size_bytes: int = 0


def answer_bytes(answer: StoredAnswer) -> int:
    """Return how much memory an answer is counted for."""
    headers = sum(
        len(name) + len(value) + HEADER_BYTES for name, value in answer.headers
    )
    return len(answer.body) + headers


def put(table: ClaimTable, key: str, row: ClaimRow) -> None:
    """Add a claim and drop the oldest that have ended where memory is full."""
    drop(table, key)
    table.rows[key] = row
    table.size_bytes += row.size_bytes
    _shrink(table)


def drop(table: ClaimTable, key: str) -> None:
    """Forget a claim."""
    row = table.rows.pop(key, None)
    if row is not None:
        table.size_bytes -= row.size_bytes


def store_answer(table: ClaimTable, key: str, answer: StoredAnswer | None) -> None:
    """Mark a claim as ended and keep its answer if it is small enough."""
    row = table.rows.get(key)
    if row is None:
        return
    row.ended = True
    if answer is None:
        return
    # A server error may follow half of the work, see outcomes.py.
    row.ran = Ran.RAN if answer.status < SERVER_ERROR_FROM else Ran.UNKNOWN
    if answer_bytes(answer) > ANSWER_BYTES_MAX:
        return
    row.answer = answer
    added = answer_bytes(answer)
    row.size_bytes += added
    table.size_bytes += added
    _shrink(table)


def _shrink(table: ClaimTable) -> None:
    """Drop the oldest rows that the store holds too until the table fits.

    A row that lives in memory only, or whose request is in flight, is the one
    thing that stops a repeat from running, so it stays. Those in flight are
    bounded by the concurrency limit; those in memory only by the outage.
    """
    excess = table.size_bytes - TABLE_BYTES_MAX
    chosen: list[str] = []
    for key, row in table.rows.items():
        if excess <= 0:
            break
        if row.ended and not row.memory_only:
            chosen.append(key)
            excess -= row.size_bytes
    for key in chosen:
        drop(table, key)
