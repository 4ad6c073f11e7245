"""Exchange changes and entries as plain JSON-able values with operators."""

from typing import Any

import msgspec

from greengagepoint.config.entries import Change, Entry
from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.operator_api import HistoryChange, HistoryEntry
from greengagepoint.records.loading import RecordDocument


def change_from_plain(
    kind: str,
    name: str,
    document: dict[str, Any] | None,
    expected_generation: int | None = None,
) -> Change:
    """Return a change of a record from a document with schema_version and fields.

    Raises RecordError where the document isn't of that form.
    """
    if document is None:
        return Change(kind=kind, name=name, expected_generation=expected_generation)
    written = {
        "kind": kind,
        "name": name,
        "schema_version": document.get("schema_version"),
        "fields": document.get("fields"),
    }
    try:
        converted = msgspec.convert(written, RecordDocument)
    except msgspec.ValidationError as error:
        raise RecordError(
            f"the document cannot be read: {error}",
            ErrorKind.RECORD_MALFORMED,
            record=f"{kind}/{name}",
            accepted="a table with schema_version and fields",
        ) from None
    return Change(
        kind=kind,
        name=name,
        document=converted,
        expected_generation=expected_generation,
    )


def document_to_plain(document: RecordDocument) -> dict[str, Any]:
    """Return a record as an operator wrote it, with what is kept beside it."""
    plain = {
        "kind": document.kind,
        "name": document.name,
        "schema_version": document.schema_version,
        "fields": document.fields,
    }
    if document.kept:
        plain |= {"kept": document.kept, "kept_version": document.kept_version}
    return plain


def entry_to_plain(entry: Entry) -> HistoryEntry:
    """Return who changed what in an entry."""
    return HistoryEntry(
        generation=entry.generation,
        write_id=entry.write_id,
        author=entry.author,
        at_ms=entry.at_ms,
        digest=entry.digest,
        changes=[_change_to_plain(change) for change in entry.changes],
    )


def _change_to_plain(change: Change) -> HistoryChange:
    """Return one change; ``document`` None deletes."""
    return HistoryChange(
        kind=change.kind,
        name=change.name,
        document=document_to_plain(change.document) if change.document else None,
    )
