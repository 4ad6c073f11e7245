"""Read steering records from files and from hosts, and work out changes."""

import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Final, NamedTuple

import msgspec

from greengagepoint.errors import RecordError
from greengagepoint.operator_api import RecordsAnswer, WantedChange
from greengagepoint.records.checking import check_documents
from greengagepoint.records.difference import Difference, DifferenceKind, diff
from greengagepoint.records.loading import RecordDocument, describe, parse_toml
from greengagepoint_cli.api import Api
from greengagepoint_cli.const import ExitCode
from greengagepoint_cli.errors import ClientError, refuse_records

STANDARD_INPUT: Final = "-"
FILE_PATTERN: Final = "*.toml"


class Current(NamedTuple):
    """The records in force and the generation that last changed each."""

    generation: int
    documents: tuple[RecordDocument, ...]
    generations: dict[str, int]


def read_documents(paths: Sequence[str]) -> tuple[RecordDocument, ...]:
    """Return the records of files, of folders' TOML files, and of ``-``."""
    documents: list[RecordDocument] = []
    faults: list[str] = []
    for source in _sources(paths):
        try:
            documents.extend(parse_toml(_read_text(source), source))
        except RecordError as error:
            faults.append(describe(error))
    if faults:
        raise ClientError(ExitCode.RECORD_REFUSED, *faults)
    return tuple(documents)


async def async_current(api: Api) -> Current:
    """Return the records in force."""
    answer = await api.async_get("/v1/records", RecordsAnswer)
    documents = tuple(
        RecordDocument(
            kind=row["kind"],
            name=row["name"],
            schema_version=row["schema_version"],
            fields=row["fields"],
        )
        for row in answer["documents"]
    )
    generations = {
        f"{row['kind']}/{row['name']}": row["generation"] for row in answer["documents"]
    }
    return Current(answer["generation"], documents, generations)


def check_alone(documents: Iterable[RecordDocument]) -> None:
    """Refuse records that are wrong by themselves or together."""
    if errors := check_documents(documents):
        raise refuse_records(errors)


def check_with_current(
    wanted: Sequence[RecordDocument], current: Current, removed: Iterable[str] = ()
) -> None:
    """Refuse records that would bring a fault into those in force."""
    replaced = {document.reference for document in wanted} | set(removed)
    kept = [one for one in current.documents if one.reference not in replaced]
    before = {_identity(error) for error in check_documents(current.documents)}
    errors = [
        error
        for error in check_documents([*kept, *wanted])
        if _identity(error) not in before
    ]
    if errors:
        raise refuse_records(errors)


def wanted_differences(
    wanted: Sequence[RecordDocument], current: Current, *, prune: bool
) -> list[Difference]:
    """Return what applying the records would change."""
    return diff(current.documents, wanted, delete_absent=prune)


def changes_of(
    differences: Sequence[Difference],
    wanted: Sequence[RecordDocument],
    current: Current,
) -> list[WantedChange]:
    """Return the changes to send, each bound to the generation that was read."""
    documents = {document.reference: document for document in wanted}
    return [
        change_of(
            difference.kind,
            difference.name,
            None
            if difference.change is DifferenceKind.DELETE
            else documents[f"{difference.kind}/{difference.name}"],
            current,
        )
        for difference in differences
    ]


def change_of(
    kind: str, name: str, document: RecordDocument | None, current: Current
) -> WantedChange:
    """Return one change to send; without a document the record is deleted."""
    return WantedChange(
        kind=kind,
        name=name,
        expected_generation=current.generations.get(f"{kind}/{name}", 0),
        document=None if document is None else msgspec.to_builtins(document),
    )


def _sources(paths: Sequence[str]) -> list[str]:
    """Return the files that paths name, folders by their TOML files."""
    sources: list[str] = []
    for text in paths:
        path = Path(text)
        if text != STANDARD_INPUT and path.is_dir():
            found = sorted(str(one) for one in path.rglob(FILE_PATTERN))
            if not found:
                raise ClientError(ExitCode.USAGE, f"{text}: holds no {FILE_PATTERN}")
            sources.extend(found)
        else:
            sources.append(text)
    return sources


def _read_text(source: str) -> str:
    """Return the text of a file or of standard input."""
    try:
        if source == STANDARD_INPUT:
            return sys.stdin.read()
        return Path(source).read_text(encoding="utf-8")
    except OSError as error:
        raise ClientError(ExitCode.USAGE, f"{source}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ClientError(
            ExitCode.RECORD_REFUSED, f"{source}: is not UTF-8 text"
        ) from None


def _identity(error: RecordError) -> tuple[str | None, str | None, str]:
    """Return what makes two faults the same."""
    return (error.record, error.field, error.detail)
