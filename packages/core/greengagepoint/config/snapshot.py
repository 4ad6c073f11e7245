"""Turn the log's table into parts that fit a value of the store, and back."""

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec
import xxhash

from greengagepoint.config.entries import decode_entry
from greengagepoint.config.log import ConfigLog, make_row
from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint.records.loading import RecordDocument
from greengagepoint.records.schemas import NEWEST_VERSIONS
from greengagepoint.records.versions import KnownVersions

PART_BYTES_MAX: Final = 256 * 1024
SNAPSHOT_ENTRIES: Final = 128


class SnapshotRow(msgspec.Struct, frozen=True, array_like=True):
    """One record of a snapshot."""

    document: RecordDocument
    older: tuple[RecordDocument, ...]
    generation: int
    author: str
    at_ms: int


class SnapshotManifest(msgspec.Struct, frozen=True):
    """What a snapshot consists of; ``checksums`` has one for each part.

    ``head`` is the stored bytes of the entry of the snapshot's generation.
    """

    generation: int
    digest: str
    checksums: tuple[str, ...]
    head: bytes = b""


class Snapshot(msgspec.Struct, frozen=True):
    """A manifest with its parts."""

    manifest: SnapshotManifest
    parts: tuple[bytes, ...]


_encoder = msgspec.msgpack.Encoder()
_row_decoder = msgspec.msgpack.Decoder(list[SnapshotRow])
_manifest_decoder = msgspec.msgpack.Decoder(SnapshotManifest)


def take_snapshot(log: ConfigLog) -> Snapshot:
    """Return the records of a log in parts of bounded size."""
    rows = (
        SnapshotRow(
            row.document, row.older_documents, row.generation, row.author, row.at_ms
        )
        for row in log.rows.values()
    )
    parts = tuple(_parts(_encoder.encode(row) for row in rows))
    manifest = SnapshotManifest(
        generation=log.generation,
        digest=log.digest,
        checksums=tuple(xxhash.xxh3_64_hexdigest(part) for part in parts),
        head=log.tail[-1].encoded if log.tail else b"",
    )
    return Snapshot(manifest, parts)


def load_snapshot(
    manifest: SnapshotManifest,
    parts: Sequence[bytes],
    newest: KnownVersions = NEWEST_VERSIONS,
) -> ConfigLog:
    """Return the log of a snapshot, or raise STORE_ANSWER_INVALID."""
    checksums = tuple(xxhash.xxh3_64_hexdigest(part) for part in parts)
    if checksums != manifest.checksums:
        raise _invalid("its parts don't match its manifest")
    log = ConfigLog(newest)
    log.generation = manifest.generation
    log.digest = manifest.digest
    if manifest.head:
        log.remember(decode_entry(manifest.head))
    for part in parts:
        _load_rows(log, part)
    return log


def encode_manifest(manifest: SnapshotManifest) -> bytes:
    """Return the bytes of a manifest as the store holds them."""
    return _encoder.encode(manifest)


def decode_manifest(value: bytes) -> SnapshotManifest:
    """Return the manifest of stored bytes, or raise STORE_ANSWER_INVALID."""
    try:
        return _manifest_decoder.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(str(error)) from error


def _load_rows(log: ConfigLog, part: bytes) -> None:
    """Put the rows of one part into a log."""
    try:
        rows = _row_decoder.decode(part)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid(str(error)) from error
    for row in rows:
        key = (row.document.kind, row.document.name)
        log.rows[key] = make_row(
            row.document, row.older, row.generation, row.author, row.at_ms, log.newest
        )


def _parts(rows: Iterable[bytes]) -> Iterable[bytes]:
    """Yield MessagePack arrays of encoded rows, each of bounded size."""
    pending: list[msgspec.Raw] = []
    size = 0
    for row in rows:
        if pending and size + len(row) > PART_BYTES_MAX:
            yield _encoder.encode(pending)
            pending, size = [], 0
        pending.append(msgspec.Raw(row))
        size += len(row)
    if pending:
        yield _encoder.encode(pending)


def _invalid(detail: str) -> StoreError:
    """Build the error for a snapshot that cannot be used."""
    return StoreError(
        f"the snapshot cannot be used: {detail}", ErrorKind.STORE_ANSWER_INVALID
    )
