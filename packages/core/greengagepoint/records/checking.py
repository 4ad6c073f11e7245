"""Check documents as a whole, as an operator does before applying them."""

from collections import defaultdict
from collections.abc import Iterable

from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.errors import RecordError
from greengagepoint.records.loading import RecordDocument, locate
from greengagepoint.records.references import validate
from greengagepoint.records.schemas import Record, RecordKind
from greengagepoint.records.validation import KINDS, validate_record
from greengagepoint.records.versions import decode


def check_documents(documents: Iterable[RecordDocument]) -> list[RecordError]:
    """Return all faults of documents that are to stand together, with their lines."""
    by_reference: dict[str, RecordDocument] = {}
    records: list[Record] = []
    errors: list[RecordError] = []
    for document in documents:
        if first := by_reference.get(document.reference):
            place = f"{first.source}:{first.line}"
            error = RecordError(f"the record stands at {place} too", accepted="once")
            errors.append(locate(error, document))
            continue
        by_reference[document.reference] = document
        try:
            records.append(decode(document, strict=True))
        except RecordError as error:
            errors.append(error)
            continue
        errors += [locate(error, document) for error in validate_record(records[-1])]
    # A record that can't be read would be reported again wherever it is named.
    if len(records) < len(by_reference):
        return errors
    return errors + [
        locate(error, by_reference[error.record])
        for error in validate(configuration_of(records))
    ]


def configuration_of(records: Iterable[Record]) -> Configuration:
    """Return records by kind and name, without a generation."""
    found: dict[RecordKind, dict[str, Record]] = defaultdict(dict)
    for record in records:
        found[KINDS[type(record)]][record.name] = record
    return EMPTY._replace(
        regions=found[RecordKind.REGION],
        sites=found[RecordKind.SITE],
        services=found[RecordKind.SERVICE],
        teams=found[RecordKind.TEAM],
        caps=found[RecordKind.CAP],
        shifts=found[RecordKind.SHIFT],
        drains=found[RecordKind.DRAIN],
        callers=found[RecordKind.CALLERS],
    )
