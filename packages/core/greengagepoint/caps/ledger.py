"""The ledger of one region, which records each owner's part of each limit."""

from fractions import Fraction
from math import floor
from typing import Final

import msgspec

from greengagepoint.errors import ErrorKind, StoreError

LEDGER_SCHEMA: Final = 1
LEDGER_PREFIX: Final = "/greengagepoint/ledger/"


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """A part of a limit: ``units`` out of ``of``.

    It is stored as a fraction, so that a changed limit scales all owners alike
    without a write. The fractions sum to at most one, so the units in use never
    exceed the largest limit that is still active on some host.
    """

    units: int
    of: int


class Entry(msgspec.Struct, frozen=True):
    """The holdings of one owner (host#incarnation).

    Only the owner itself reduces its holdings, and stops using them before the write.
    Other hosts may only add or withdraw their vote (by witness name), or remove the
    entry after the quarantine.
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
    """Return the key by which one incarnation of a host owns and borrows units."""
    return f"{name}#{incarnation}"


def owner_name(key: str) -> str:
    """Return the host name in an owner key."""
    return key.rpartition("#")[0]


def owner_incarnation(key: str) -> int:
    """Return the incarnation in an owner key."""
    return int(key.rpartition("#")[2])


def encode_ledger(ledger: Ledger) -> bytes:
    """Encode a ledger for the store."""
    return msgspec.json.encode(ledger)


def decode_ledger(value: bytes) -> Ledger:
    """Decode a ledger from the store; raise StoreError if it is invalid."""
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
    """Return how many units of a limit an entry grants, rounded down."""
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
    """Return the owners of each limit, sorted by key."""
    found: dict[str, list[str]] = {}
    for owner, entry in sorted(ledger.owners.items()):
        for key in entry.shares:
            found.setdefault(key, []).append(owner)
    return {key: tuple(owners) for key, owners in found.items()}


def votes_needed(entry: Entry) -> int:
    """Return how many witnesses must vote before an owner is voted out."""
    return len(entry.witnesses) // 2 + 1


def vouches_needed(entry: Entry) -> int:
    """Return how many witnesses must vouch for an owner.

    Any such set and any sufficient set of voters have a witness in common, and a
    witness that has voted does not vouch. An owner can therefore never be confirmed
    and voted out at the same time.
    """
    return len(entry.witnesses) - votes_needed(entry) + 1


def is_voted_out(entry: Entry) -> bool:
    """Return True if enough of the entry's witnesses have voted."""
    names = {owner_name(witness) for witness in entry.witnesses}
    return len(names & entry.votes.keys()) >= votes_needed(entry)
