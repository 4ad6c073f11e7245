"""Entries of the configuration log: who changed which records, in what order."""

from collections.abc import Sequence
from typing import Final

import msgspec
import xxhash

from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint.records.loading import RecordDocument

ENTRY_BYTES_MAX: Final = 512 * 1024
DIGEST_BYTES: Final = 16


class Change(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Put a record in force, or delete it where ``document`` is None.

    ``expected_generation`` is the generation that last changed the record when
    its writer read it (0: there was none); None takes what the daemon sees.
    """

    kind: str
    name: str
    document: RecordDocument | None = None
    expected_generation: int | None = None

    @property
    def key(self) -> tuple[str, str]:
        """Return the kind and name of the changed record."""
        return self.kind, self.name

    @property
    def reference(self) -> str:
        """Return kind/name."""
        return f"{self.kind}/{self.name}"


class EntryBody(msgspec.Struct, frozen=True, kw_only=True):
    """One generation of the configuration; ``previous_digest`` chains it."""

    generation: int
    write_id: str
    author: str
    at_ms: int
    changes: tuple[Change, ...]
    previous_digest: str


class Entry(EntryBody, frozen=True, kw_only=True):
    """An entry with its bytes and their digest.

    The bytes go on to the store and to peers as they came, so that a daemon that
    doesn't know a field of a newer one neither drops it nor breaks the digest.
    """

    digest: str
    encoded: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(EntryBody)


def make_entry(
    *,
    generation: int,
    write_id: str,
    author: str,
    at_ms: int,
    changes: Sequence[Change],
    previous_digest: str,
) -> Entry:
    """Return a sealed entry."""
    body = EntryBody(
        generation=generation,
        write_id=write_id,
        author=author,
        at_ms=at_ms,
        changes=tuple(changes),
        previous_digest=previous_digest,
    )
    return _seal(body, _encoder.encode(body))


def decode_entry(value: bytes) -> Entry:
    """Return the entry of stored bytes, or raise STORE_ANSWER_INVALID."""
    digest, encoded = value[:DIGEST_BYTES], value[DIGEST_BYTES:]
    if xxhash.xxh3_128_digest(encoded) != digest:
        raise _invalid("its digest is wrong")
    try:
        return _seal(_decoder.decode(encoded), encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(str(error)) from error


def _seal(body: EntryBody, encoded: bytes) -> Entry:
    """Join a body with its digest.

    The hash finds accidents and forks; peers and the store are authenticated, so
    it need not withstand an attacker.
    """
    digest = xxhash.xxh3_128_digest(encoded)
    return Entry(
        **{name: getattr(body, name) for name in EntryBody.__struct_fields__},
        digest=digest.hex(),
        encoded=digest + encoded,
    )


def _invalid(detail: str) -> StoreError:
    """Build the error for bytes that are no entry."""
    return StoreError(
        f"a log entry cannot be decoded: {detail}", ErrorKind.STORE_ANSWER_INVALID
    )
