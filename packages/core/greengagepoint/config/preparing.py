"""Turn an operator's changes into the next entry, or tell what they conflict with."""

import datetime
from collections.abc import Sequence

import msgspec

from greengagepoint.config.entries import (
    ENTRY_BYTES_MAX,
    Change,
    Entry,
    make_entry,
)
from greengagepoint.config.log import ConfigLog, Row, apply_entry, effective
from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.records.loading import RecordDocument, locate, strip_source
from greengagepoint.records.references import validate
from greengagepoint.records.schemas import RecordKind
from greengagepoint.records.validation import validate_record
from greengagepoint.records.versions import decode, merge_unknown


def pin(log: ConfigLog, changes: Sequence[Change]) -> tuple[Change, ...]:
    """Return the changes, each bound to the generation of its record.

    Without it a writer that lost a race would silently replace what the winner
    wrote to the same record when it tries again.
    """
    return tuple(
        change
        if change.expected_generation is not None
        else msgspec.structs.replace(
            change, expected_generation=_generation(log.rows.get(change.key))
        )
        for change in changes
    )


def prepare(
    log: ConfigLog, changes: Sequence[Change], author: str, write_id: str, at_ms: int
) -> Entry:
    """Return the entry after the log's head, checked as a whole.

    Raises RecordError: RECORD_CONFLICT with what the later writer met,
    RECORD_NOT_FOUND, RECORD_SCHEMA_UNKNOWN or RECORD_INVALID.
    """
    _refuse_repeated(changes)
    prepared = tuple(_prepare_change(log, change) for change in pin(log, changes))
    entry = make_entry(
        generation=log.generation + 1,
        write_id=write_id,
        author=author,
        at_ms=at_ms,
        changes=prepared,
        previous_digest=log.digest,
    )
    if (size := len(entry.encoded)) > ENTRY_BYTES_MAX:
        raise RecordError(
            f"the change takes {size} bytes; apply it in parts",
            accepted=f"up to {ENTRY_BYTES_MAX} bytes",
        )
    if errors := new_faults(log, entry):
        raise _located(errors[0], changes)
    return entry


def new_faults(log: ConfigLog, entry: Entry) -> list[RecordError]:
    """Return the faults that an entry would bring; old ones don't block it."""
    after = log.copy()
    apply_entry(after, entry)
    errors = [
        error
        for change in entry.changes
        if change.document is not None
        for error in validate_record(after.rows[change.key].record)
    ]
    between = validate(effective(after))
    if not between:
        return errors
    before = {(error.record, error.detail) for error in validate(effective(log))}
    return errors + [
        error for error in between if (error.record, error.detail) not in before
    ]


def _prepare_change(log: ConfigLog, change: Change) -> Change:
    """Check one change against the record that it meets."""
    row = log.rows.get(change.key)
    if change.expected_generation != _generation(row):
        raise _conflict(log, change, row)
    if change.document is None:
        if row is None:
            raise RecordError(
                "there is no such record",
                ErrorKind.RECORD_NOT_FOUND,
                record=change.reference,
            )
        return change
    document = change.document
    if (document.kind, document.name) != change.key:
        raise RecordError(
            f"the document is {document.reference}",
            record=change.reference,
            accepted="a document of the changed record",
        )
    decode(document, strict=True, newest=log.newest)
    merged = merge_unknown(row.document if row else None, strip_source(document))
    return msgspec.structs.replace(change, document=merged)


def _conflict(log: ConfigLog, change: Change, row: Row | None) -> RecordError:
    """Describe who changed the record meanwhile, when, and which fields differ."""
    met = _last_change(log, change, row)
    if row is None:
        fields = "record deleted"
        names = ()
    else:
        names = differing_fields(row.document, change.document)
        fields = f"differing: {', '.join(names) or 'nothing'}"
    return RecordError(
        f"changed meanwhile {met}; {fields}; "
        f"this change was made against generation {change.expected_generation}",
        ErrorKind.RECORD_CONFLICT,
        field=", ".join(names) or None,
        record=change.reference,
        accepted=f"expected_generation {_generation(row)} after reading it again",
    )


def _last_change(log: ConfigLog, change: Change, row: Row | None) -> str:
    """Return who last changed the record, when and in which generation."""
    if row is not None:
        return _who(row.author, row.at_ms, row.generation)
    for entry in reversed(log.tail):
        if any(past.key == change.key for past in entry.changes):
            return _who(entry.author, entry.at_ms, entry.generation)
    return "before the oldest entry still held"


def _who(author: str, at_ms: int, generation: int) -> str:
    """Return one clause that names a change."""
    at = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    stamp = at.isoformat(timespec="seconds")
    return f"by {author} at {stamp} in generation {generation}"


def differing_fields(
    met: RecordDocument, wanted: RecordDocument | None
) -> tuple[str, ...]:
    """Return the names of the fields in which two documents differ."""
    if wanted is None:
        return tuple(met.fields)
    names = met.fields | wanted.fields
    absent = object()
    return tuple(
        name
        for name in names
        if met.fields.get(name, absent) != wanted.fields.get(name, absent)
    )


def _generation(row: Row | None) -> int:
    """Return the generation that last changed a record, 0 where there is none."""
    return row.generation if row else 0


def _refuse_repeated(changes: Sequence[Change]) -> None:
    """Refuse nothing to do, and two changes to one record."""
    if not changes:
        raise RecordError("there is no change", accepted="at least one change")
    seen = set()
    for change in changes:
        if change.key in seen:
            error = RecordError(
                "the record is changed twice",
                record=change.reference,
                accepted="one change for each record",
            )
            raise _located(error, [change])
        seen.add(change.key)


def _located(error: RecordError, changes: Sequence[Change]) -> RecordError:
    """Return an error with the line of the changed document that it names."""
    for change in changes:
        if change.document is None or change.kind not in set(RecordKind):
            continue
        if change.document.reference == error.record:
            return locate(error, change.document)
    return error
