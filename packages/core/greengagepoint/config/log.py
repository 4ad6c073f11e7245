"""The table of records in force and the system that applies entries to it."""

from collections import deque
from enum import StrEnum
from typing import Final, NamedTuple

import msgspec

from greengagepoint.config.entries import Change, Entry
from greengagepoint.configuration import Configuration
from greengagepoint.errors import RecordError
from greengagepoint.records.checking import configuration_of
from greengagepoint.records.loading import (
    RecordDocument,
    pack_document,
    unpack_document,
)
from greengagepoint.records.packing import PackedStrings
from greengagepoint.records.schemas import NEWEST_VERSIONS, Callers, Record
from greengagepoint.records.versions import KnownVersions, decode

TAIL_ENTRIES_MAX: Final = 256
TAIL_BYTES_MAX: Final = 4 * 1024 * 1024

RecordKey = tuple[str, str]


class Applied(StrEnum):
    """What applying an entry came to."""

    APPLIED = "applied"
    KNOWN = "known"
    GAP = "gap"
    FORKED = "forked"


class Row(NamedTuple):
    """One record in the log.

    ``packed`` is its document; ``older`` holds the last document of each lower
    schema version, so that a daemon that doesn't know the newest keeps what it last
    understood in force. ``record`` is None where none of them is understood.
    """

    packed: bytes
    older: tuple[bytes, ...]
    generation: int
    author: str
    at_ms: int
    record: Record | None
    fault: RecordError | None

    @property
    def document(self) -> RecordDocument:
        """Return the newest document, whether it is understood here or not."""
        return unpack_document(self.packed)

    @property
    def older_documents(self) -> tuple[RecordDocument, ...]:
        """Return the documents of lower schema versions, newest first."""
        return tuple(unpack_document(packed) for packed in self.older)


class ConfigLog:
    """Hold the records in force, the head of the log and its last entries."""

    def __init__(self, newest: KnownVersions = NEWEST_VERSIONS) -> None:
        self.newest = newest
        self.rows: dict[RecordKey, Row] = {}
        self.generation = 0
        self.digest = ""
        self.tail: deque[Entry] = deque()
        self.tail_bytes = 0

    def copy(self) -> "ConfigLog":
        """Return a log that can be changed without changing this one."""
        copied = ConfigLog(self.newest)
        copied.rows = dict(self.rows)
        copied.generation = self.generation
        copied.digest = self.digest
        copied.tail = self.tail.copy()
        copied.tail_bytes = self.tail_bytes
        return copied

    def remember(self, entry: Entry) -> None:
        """Add the newest entry to the tail and forget the oldest beyond its bounds."""
        self.tail.append(entry)
        self.tail_bytes += len(entry.encoded)
        while len(self.tail) > 1 and (
            len(self.tail) > TAIL_ENTRIES_MAX or self.tail_bytes > TAIL_BYTES_MAX
        ):
            self.tail_bytes -= len(self.tail.popleft().encoded)

    def digest_at(self, generation: int) -> str | None:
        """Return the digest of a generation, or None where it is cut off."""
        if generation == self.generation:
            return self.digest
        if generation == 0:
            return ""
        if not self.tail or generation > self.generation:
            return None
        index = generation - self.tail[0].generation
        if index == -1:
            return self.tail[0].previous_digest
        return self.tail[index].digest if index >= 0 else None

    def entries_after(self, generation: int) -> tuple[Entry, ...] | None:
        """Return the entries after a generation, or None where they are cut off."""
        if generation >= self.generation:
            return ()
        if not self.tail or generation < self.tail[0].generation - 1:
            return None
        start = generation + 1 - self.tail[0].generation
        return tuple(self.tail[index] for index in range(start, len(self.tail)))


def apply_entry(log: ConfigLog, entry: Entry) -> Applied:
    """Apply the next entry; change nothing unless it continues this chain.

    A store that was restored from a backup, or an old read, offers a generation
    that is already known: it is compared and never applied, so no record goes
    back. An entry of another history fails the digest check.
    """
    if entry.generation <= log.generation:
        known = log.digest_at(entry.generation)
        return Applied.KNOWN if known in (None, entry.digest) else Applied.FORKED
    if entry.generation > log.generation + 1:
        return Applied.GAP
    if entry.previous_digest != log.digest:
        return Applied.FORKED
    for change in entry.changes:
        _apply_change(log, entry, change)
    log.generation = entry.generation
    log.digest = entry.digest
    log.remember(entry)
    return Applied.APPLIED


def effective(log: ConfigLog) -> Configuration:
    """Return the records in force by kind and name."""
    records = (row.record for row in log.rows.values() if row.record is not None)
    return configuration_of(records)._replace(
        generation=log.generation, digest=log.digest
    )


def not_understood(log: ConfigLog) -> list[RecordError]:
    """Return why the newest document of a record isn't the one in force."""
    return [row.fault for row in log.rows.values() if row.fault is not None]


def make_row(
    document: RecordDocument,
    older: tuple[RecordDocument, ...],
    generation: int,
    author: str,
    at_ms: int,
    newest: KnownVersions,
) -> Row:
    """Build a row with the newest document that this daemon understands."""
    record, fault = None, None
    for candidate in (document, *older):
        try:
            record = _slim(decode(candidate, newest=newest))
            break
        except RecordError as error:
            fault = fault or error
    packed = pack_document(document)
    packed_older = tuple(pack_document(candidate) for candidate in older)
    return Row(packed, packed_older, generation, author, at_ms, record, fault)


def _slim(record: Record) -> Record:
    """Return a record with its long list packed."""
    if not isinstance(record, Callers):
        return record
    return msgspec.structs.replace(record, blocks=PackedStrings(record.blocks))


def _apply_change(log: ConfigLog, entry: Entry, change: Change) -> None:
    """Put or delete one record."""
    if change.document is None:
        log.rows.pop(change.key, None)
        return
    older = _older_documents(log.rows.get(change.key), change.document)
    log.rows[change.key] = make_row(
        change.document,
        older,
        entry.generation,
        entry.author,
        entry.at_ms,
        log.newest,
    )


def _older_documents(
    row: Row | None, document: RecordDocument
) -> tuple[RecordDocument, ...]:
    """Return one document for each lower schema version, newest first."""
    if row is None:
        return ()
    return tuple(
        older
        for older in (row.document, *row.older_documents)
        if older.schema_version < document.schema_version
    )
