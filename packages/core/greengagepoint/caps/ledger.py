"""The ledger of one region: which owner holds which part of each limit."""

from fractions import Fraction
from math import floor
from typing import Final

import msgspec

from greengagepoint.errors import ErrorKind, StoreError

LEDGER_SCHEMA: Final = 1
LEDGER_PREFIX: Final = "/greengagepoint/ledger/"


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """A part of a limit: ``units`` out of ``of``.

    Kept as a part, so that a changed limit scales all owners alike without a write:
    parts sum to at most one, hence units in use to at most the largest limit that
    is still in force anywhere.
    """

    units: int
    of: int


class Entry(msgspec.Struct, frozen=True):
    """What one owner (host#incarnation) holds.

    Only the owner itself makes its holdings smaller, before the write; all others may
    only vote (by witness name) or remove the entry after the quarantine.
    """

    shares: dict[str, Holding]
    witnesses: tuple[str, ...] = ()
    request_seconds: int = 0
    votes: dict[str, str] = {}


class Ledger(msgspec.Struct, frozen=True):
    """All entries of one region, changed by compare-and-swap only."""

    owners: dict[str, Entry]
    schema: int = LEDGER_SCHEMA


EMPTY_LEDGER: Final = Ledger({})


def ledger_key(region: str) -> str:
    """Return the store key of a region's ledger."""
    return LEDGER_PREFIX + region


def owner_key(name: str, incarnation: int) -> str:
    """Return the name under which one run of a host owns and borrows."""
    return f"{name}#{incarnation}"


def owner_name(key: str) -> str:
    """Return the host of an owner."""
    return key.rpartition("#")[0]


def owner_incarnation(key: str) -> int:
    """Return the incarnation of an owner."""
    return int(key.rpartition("#")[2])


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger for the store."""
    return msgspec.json.encode(ledger)


def decode_ledger(value: bytes) -> Ledger:
    """Decode a ledger from the store; raise StoreError on anything else."""
    try:
        ledger = msgspec.json.decode(value, type=Ledger)
    except msgspec.DecodeError as error:
        detail = f"The ledger cannot be decoded: {error}"
        raise StoreError(detail, ErrorKind.STORE_ANSWER_INVALID) from error
    if ledger.schema != LEDGER_SCHEMA:
        detail = f"The ledger has schema {ledger.schema}, not {LEDGER_SCHEMA}."
        raise StoreError(detail, ErrorKind.STORE_ANSWER_INVALID)
    return ledger


def units_of(entry: Entry, key: str, limit: int) -> int:
    """Return how many units of a limit an entry is worth."""
    holding = entry.shares.get(key)
    if holding is None or holding.of <= 0:
        return 0
    return holding.units * limit // holding.of


def unowned_units(ledger: Ledger, key: str, limit: int) -> int:
    """Return how many units of a limit no entry holds."""
    held = Fraction(0)
    for entry in ledger.owners.values():
        holding = entry.shares.get(key)
        if holding is not None and holding.of > 0:
            held += Fraction(holding.units, holding.of)
    return max(0, floor(limit * (1 - held)))


def owners_by_key(ledger: Ledger) -> dict[str, tuple[str, ...]]:
    """Return who holds a part of each limit."""
    found: dict[str, list[str]] = {}
    for owner, entry in sorted(ledger.owners.items()):
        for key in entry.shares:
            found.setdefault(key, []).append(owner)
    return {key: tuple(owners) for key, owners in found.items()}


def votes_needed(entry: Entry) -> int:
    """Return how many witnesses must vote before an owner counts as lost."""
    return len(entry.witnesses) // 2 + 1


def vouches_needed(entry: Entry) -> int:
    """Return how many witnesses must vouch for an owner.

    Any such set shares a witness with any set of voters, and a witness that has
    voted does not vouch: an owner cannot be confirmed and voted out at once.
    """
    return len(entry.witnesses) - votes_needed(entry) + 1


def is_voted_out(entry: Entry) -> bool:
    """Tell whether enough listed witnesses have voted."""
    names = {owner_name(witness) for witness in entry.witnesses}
    return len(names & entry.votes.keys()) >= votes_needed(entry)
