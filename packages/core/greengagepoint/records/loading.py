"""Read steering records from TOML text."""

import datetime
import difflib
import re
import tomllib
from typing import Any, Final

import msgspec

from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.records.lines import RecordLines, find_lines, line_of
from greengagepoint.records.packing import pack, unpack
from greengagepoint.records.schemas import RecordKind

TOML_ERROR_LINE: Final = re.compile(r"at line (\d+)")
TEXT_BYTES_MAX: Final = 4 * 1024 * 1024


class RecordDocument(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One record as written, at its writer's schema version.

    ``kept`` holds fields of ``kept_version`` that the writer's version doesn't
    know. ``source``, ``line`` and ``lines`` (by dotted field path) tell where it
    was read and aren't stored.
    """

    kind: str
    name: str
    schema_version: int
    fields: dict[str, Any]
    kept: dict[str, Any] = {}
    kept_version: int = 0
    source: str = ""
    line: int = 0
    lines: dict[str, int] = {}

    @property
    def reference(self) -> str:
        """Return kind/name."""
        return f"{self.kind}/{self.name}"


def parse_toml(text: str, source: str) -> tuple[RecordDocument, ...]:
    """Return the records of a text in the order of their kinds' first tables."""
    if len(text) > TEXT_BYTES_MAX:
        raise _malformed(source, None, f"more than {TEXT_BYTES_MAX} characters")
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        match = TOML_ERROR_LINE.search(str(error))
        line = int(match[1]) if match else None
        raise _malformed(source, line, f"not TOML: {error}") from error
    lines = find_lines(text)
    return tuple(
        _document(kind, fields, source, _lines_at(lines, kind, index))
        for kind, value in tables.items()
        for index, fields in enumerate(_records_of(kind, value, source, lines))
    )


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecordDocument)


def pack_document(document: RecordDocument) -> bytes:
    """Return a document in the form in which it is kept in memory."""
    return pack(_encoder.encode(document))


def unpack_document(packed: bytes) -> RecordDocument:
    """Return a document that was packed."""
    return _decoder.decode(unpack(packed))


def strip_source(document: RecordDocument) -> RecordDocument:
    """Return the document without the place where it was read."""
    return msgspec.structs.replace(document, source="", line=0, lines={})


def locate(error: RecordError, document: RecordDocument) -> RecordError:
    """Fill in the record, source and line of an error in a document."""
    error.record = document.reference
    error.source = document.source or None
    if document.line:
        error.line = line_of(document.lines, error.field, document.line)
    return error


def describe(error: RecordError) -> str:
    """Return one line that names the place, the fault and what is accepted."""
    place = ":".join(
        str(part) for part in (error.source, error.line) if part is not None
    )
    parts = [part for part in (place, error.record, error.field) if part]
    accepted = f" (accepted: {error.accepted})" if error.accepted else ""
    return f"{': '.join([*parts, error.detail])}{accepted}"


def suggest(word: str, known: list[str]) -> str:
    """Return a question that names the nearest known word, or nothing."""
    near = difflib.get_close_matches(word, known, n=1)
    return f"; did you mean {near[0]!r}?" if near else ""


def _records_of(
    kind: str, value: Any, source: str, lines: dict[str, list[RecordLines]]
) -> list[dict[str, Any]]:
    """Return the tables of one kind, refusing what is no record."""
    known = [str(known) for known in RecordKind]
    line = _lines_at(lines, kind, 0).line
    if kind not in known:
        raise _malformed(
            source,
            line or None,
            f"no kind of record is called {kind!r}{suggest(kind, known)}",
            f"tables [[{']], [['.join(known)}]]",
        )
    records = [value] if isinstance(value, dict) else value
    if not isinstance(records, list) or not all(
        isinstance(record, dict) for record in records
    ):
        raise _malformed(
            source, line or None, f"{kind} is no table", f"tables [[{kind}]]"
        )
    return records


def _document(
    kind: str, fields: dict[str, Any], source: str, lines: RecordLines
) -> RecordDocument:
    """Build one document from its table."""
    fields = _plain(fields)
    name = fields.pop("name", None)
    version = fields.pop("schema_version", None)
    for field, value, wanted in (
        ("name", name, str),
        ("schema_version", version, int),
    ):
        if type(value) is wanted:
            continue
        line = line_of(lines.fields, field, lines.line) or None
        what = "is missing" if value is None else f"is {value!r}"
        accepted = "text" if wanted is str else "a whole number"
        error = _malformed(source, line, f"{what}", accepted)
        error.field = field
        error.record = f"{kind}/{name}" if field != "name" else kind
        raise error
    return RecordDocument(
        kind=kind,
        name=name,
        schema_version=version,
        fields=fields,
        source=source,
        line=lines.line,
        lines=lines.fields,
    )


def _plain(value: Any) -> Any:
    """Return a value with TOML's own times as RFC 3339 text."""
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_plain(item) for item in value]
    if isinstance(value, datetime.date | datetime.time):
        return value.isoformat()
    return value


def _lines_at(
    lines: dict[str, list[RecordLines]], kind: str, index: int
) -> RecordLines:
    """Return the lines of the record with this index, or none."""
    found = lines.get(kind, [])
    return found[index] if index < len(found) else RecordLines(0, {})


def _malformed(
    source: str, line: int | None, detail: str, accepted: str | None = None
) -> RecordError:
    """Build an error on a text that cannot be read."""
    error = RecordError(
        detail, ErrorKind.RECORD_MALFORMED, line=line, accepted=accepted
    )
    error.source = source
    return error
