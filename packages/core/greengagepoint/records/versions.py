"""Decode records of any known schema version into the newest types."""

from collections.abc import Callable, Mapping
from typing import Any, Final

import msgspec

from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.records.accepted import field_types, translate, unknown_fields
from greengagepoint.records.loading import RecordDocument, locate, suggest
from greengagepoint.records.schemas import (
    NEWEST_VERSIONS,
    RECORD_TYPES,
    Record,
    RecordKind,
    RequestClass,
)

Fields = dict[str, Any]
KnownVersions = Mapping[RecordKind, int]
WHOLE_SERVICE_PATH: Final = "/"
ROUTE_FIELDS_OF_SERVICE_V1: Final = (
    "request_class",
    "repeatable",
    "needs_key",
    "deadline_ms",
)


class ServiceV1(msgspec.Struct, frozen=True, kw_only=True):
    """A service at version 1, which treats all of its requests alike."""

    name: str
    sites: tuple[str, ...]
    request_class: RequestClass = RequestClass.LOOKUP
    repeatable: bool = False
    needs_key: bool = False
    deadline_ms: int = 10_000


OLD_SCHEMAS: Final[dict[tuple[RecordKind, int], type[msgspec.Struct]]] = {
    (RecordKind.SERVICE, 1): ServiceV1,
}


def _service_to_v2(fields: Fields) -> Fields:
    """Turn the treatment of the whole service into its route for all paths."""
    route = {"path": WHOLE_SERVICE_PATH}
    route |= {
        name: fields[name] for name in ROUTE_FIELDS_OF_SERVICE_V1 if name in fields
    }
    converted = {
        name: value
        for name, value in fields.items()
        if name not in ROUTE_FIELDS_OF_SERVICE_V1
    }
    deadline_ms = fields.get("deadline_ms", 10_000)
    return converted | {
        "routes": [route],
        "max_deadline_ms": max(30_000, deadline_ms),
    }


def _combine_service_v2(converted: Fields, kept: Fields) -> Fields:
    """Keep the routes and settings that a writer at version 1 can't see."""
    paths = {route["path"] for route in converted["routes"]}
    routes = [route for route in kept.get("routes", []) if route["path"] not in paths]
    return converted | kept | {"routes": [*converted["routes"], *routes]}


UPGRADES: Final[dict[tuple[RecordKind, int], Callable[[Fields], Fields]]] = {
    (RecordKind.SERVICE, 1): _service_to_v2,
}
COMBINERS: Final[dict[tuple[RecordKind, int], Callable[[Fields, Fields], Fields]]] = {
    (RecordKind.SERVICE, 2): _combine_service_v2,
}


def decode(
    document: RecordDocument,
    *,
    strict: bool = False,
    newest: KnownVersions = NEWEST_VERSIONS,
) -> Record:
    """Return the record of a document, up-converted step by step.

    ``strict`` is for writers: it refuses unknown fields. Raises RecordError.
    """
    try:
        return _decode(document, strict, newest)
    except RecordError as error:
        raise locate(error, document) from None


def schema_of(kind: RecordKind, version: int) -> type[msgspec.Struct]:
    """Return the type of a record at a known version."""
    if version == NEWEST_VERSIONS[kind]:
        return RECORD_TYPES[kind]
    return OLD_SCHEMAS[kind, version]


def is_known(document: RecordDocument, newest: KnownVersions) -> bool:
    """Tell whether a document's kind and version are known here."""
    known = newest.get(document.kind, 0)
    return 1 <= document.schema_version <= known


def merge_unknown(
    previous: RecordDocument | None, new: RecordDocument
) -> RecordDocument:
    """Return the new document with the fields that its version doesn't know.

    A writer at an older version replaces the fields it knows; those that only a
    newer version knows are kept beside them at that version.
    """
    if previous is None:
        return new
    version = max(previous.schema_version, previous.kept_version)
    if version <= new.schema_version:
        return new
    hidden = dict(previous.kept)
    if previous.schema_version > new.schema_version:
        hidden = previous.fields | hidden
    seen = field_types(schema_of(RecordKind(new.kind), new.schema_version))
    kept = {name: value for name, value in hidden.items() if name not in seen}
    return msgspec.structs.replace(new, kept=kept, kept_version=version)


def _decode(document: RecordDocument, strict: bool, newest: KnownVersions) -> Record:
    """Decode by the document's own version, then up-convert."""
    kind = _known_kind(document, newest)
    schema = schema_of(kind, document.schema_version)
    if strict and (errors := unknown_fields(schema, document.fields)):
        raise errors[0]
    fields = {**document.fields, "name": document.name}
    record = _convert(fields, schema)
    for version in range(document.schema_version, NEWEST_VERSIONS[kind]):
        fields = UPGRADES[kind, version](fields)
        if document.kept_version == version + 1 and version + 1 <= newest[kind]:
            fields = _combine(kind, version + 1, fields, document.kept)
    if schema is RECORD_TYPES[kind]:
        return record
    return _convert(fields, RECORD_TYPES[kind])


def _known_kind(document: RecordDocument, newest: KnownVersions) -> RecordKind:
    """Return the kind of a document whose version is known, else refuse it."""
    if document.kind not in newest:
        known = [str(kind) for kind in newest]
        raise RecordError(
            f"no kind of record is called {document.kind!r}"
            f"{suggest(document.kind, known)}",
            ErrorKind.RECORD_SCHEMA_UNKNOWN,
            accepted=", ".join(known),
        )
    kind = RecordKind(document.kind)
    if not is_known(document, newest):
        raise RecordError(
            f"schema version {document.schema_version} is not known",
            ErrorKind.RECORD_SCHEMA_UNKNOWN,
            field="schema_version",
            accepted=f"a whole number from 1 to {newest[kind]}",
        )
    return kind


def _combine(kind: RecordKind, version: int, fields: Fields, kept: Fields) -> Fields:
    """Join up-converted fields with those kept at the same version."""
    combine = COMBINERS.get((kind, version))
    if combine is None:
        return kept | fields
    return combine(fields, kept)


def _convert(fields: Fields, schema: type[msgspec.Struct]) -> Any:
    """Build a record from its fields, or tell which doesn't fit."""
    try:
        return msgspec.convert(fields, schema)
    except msgspec.ValidationError as error:
        raise translate(error, schema) from None
