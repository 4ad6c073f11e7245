"""Name, encode and judge claims of idempotency keys."""

import hashlib
from enum import StrEnum
from typing import Final

import msgspec

from greengagepoint.errors import ErrorKind, StoreError

CLAIMS_PREFIX: Final = "/greengagepoint/claims/"
DIGEST_BYTES: Final = 16


class ClaimValue(msgspec.Struct, frozen=True, array_like=True):
    """Who holds a claim and for which request; ``at_ms`` is wall time, for people.

    ``write_id`` is unique to one attempt of one incarnation of a host.
    """

    host: str
    incarnation: int
    write_id: str
    digest: str
    at_ms: int


class Verdict(StrEnum):
    """What a claim found in the store means for the one who looked."""

    WON = "won"
    IN_USE = "in_use"
    MISMATCH = "mismatch"


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(ClaimValue)


def _hash(*parts: str) -> str:
    """Return a digest of parts that no other list of parts shares.

    The hash is a cryptographic one because callers choose the parts: a collision
    made on purpose would let one caller's key block another's.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        raw = part.encode("utf-8", "surrogateescape")
        state.update(len(raw).to_bytes(4, "big"))
        state.update(raw)
    return state.hexdigest()


def claim_key(service: str, team: str, key: str) -> str:
    """Return the store's key for a caller's idempotency key."""
    return CLAIMS_PREFIX + _hash(service, team, key)


def request_digest(method: str, target: str, body: bytes | int | None) -> str:
    """Return the digest that tells a repeat from another request with the same key.

    ``body`` is the whole body, or its length where it streams, or None.
    """
    if isinstance(body, bytes):
        body_part = hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
    else:
        body_part = str(body)
    return _hash(method, target, body_part)


def encode(value: ClaimValue) -> bytes:
    """Return a claim as the store holds it."""
    return _ENCODER.encode(value)


def decode(raw: bytes) -> ClaimValue:
    """Return a claim read from the store; raise StoreError if it is garbage."""
    try:
        return _DECODER.decode(raw)
    except msgspec.MsgspecError as error:
        raise StoreError(
            f"A claim in the store cannot be decoded: {error}",
            ErrorKind.STORE_ANSWER_INVALID,
        ) from error


def judge(found: ClaimValue, own: ClaimValue) -> Verdict:
    """Decide what the claim that is in the store means for one's own.

    A lost reply, a second committer or a doubled message can make a create fail
    on one's own earlier write. The write id tells: it is given to one attempt
    only, so finding it means that this attempt, and no other, holds the key.
    """
    if found.write_id == own.write_id:
        return Verdict.WON
    if found.digest != own.digest:
        return Verdict.MISMATCH
    return Verdict.IN_USE
