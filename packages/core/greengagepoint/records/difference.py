"""Compare wanted records with those in force."""

from collections.abc import Iterable, Iterator, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from greengagepoint.records.loading import RecordDocument


class DifferenceKind(StrEnum):
    """What applying a wanted record would do."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"


class FieldDifference(NamedTuple):
    """One field by its dotted path; None stands for absent."""

    path: str
    current: Any
    wanted: Any


class Difference(NamedTuple):
    """What would change about one record."""

    change: DifferenceKind
    kind: str
    name: str
    fields: tuple[FieldDifference, ...]


def diff(
    current: Iterable[RecordDocument],
    wanted: Iterable[RecordDocument],
    *,
    delete_absent: bool = False,
) -> list[Difference]:
    """Return what turns the current records into the wanted ones.

    Records that aren't wanted stay unless ``delete_absent`` is set.
    """
    before = {document.reference: document for document in current}
    after = {document.reference: document for document in wanted}
    found = []
    for reference, document in after.items():
        found += _compared(before.get(reference), document)
    if delete_absent:
        found += [
            Difference(DifferenceKind.DELETE, document.kind, document.name, ())
            for reference, document in before.items()
            if reference not in after
        ]
    return found


def _compared(
    current: RecordDocument | None, wanted: RecordDocument
) -> Iterator[Difference]:
    """Yield the difference of one record, or nothing."""
    fields = tuple(_field_differences(_content(current), _content(wanted)))
    if current is None:
        yield Difference(DifferenceKind.CREATE, wanted.kind, wanted.name, fields)
    elif fields:
        yield Difference(DifferenceKind.CHANGE, wanted.kind, wanted.name, fields)


def _content(document: RecordDocument | None) -> dict[str, Any]:
    """Return what an operator sees of a record."""
    if document is None:
        return {}
    return {"schema_version": document.schema_version, **document.fields}


def _field_differences(
    current: Any, wanted: Any, path: str = ""
) -> Iterator[FieldDifference]:
    """Yield the fields in which two values differ, as deep as they are alike."""
    if current == wanted:
        return
    if isinstance(current, Mapping) and isinstance(wanted, Mapping):
        for name in current | wanted:
            inner = f"{path}.{name}" if path else name
            yield from _field_differences(current.get(name), wanted.get(name), inner)
    elif (
        isinstance(current, list)
        and isinstance(wanted, list)
        and len(current) == len(wanted)
    ):
        for index, (old, new) in enumerate(zip(current, wanted, strict=True)):
            yield from _field_differences(old, new, f"{path}[{index}]")
    else:
        yield FieldDifference(path, current, wanted)
