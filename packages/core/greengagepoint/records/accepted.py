"""Tell from a schema what a field accepts and which fields it doesn't know."""

import enum
import re
import types
import typing
from collections.abc import Sequence
from typing import Any, Final

import msgspec

from greengagepoint.errors import RecordError
from greengagepoint.records.loading import suggest

PATH_STEP: Final = re.compile(r"\.([A-Za-z0-9_]+)|\[(\d+|\.\.\.)\]")
VALIDATION_MESSAGE: Final = re.compile(r"^(.*?)(?: - at `\$(.*)`)?$", re.DOTALL)
WORDS: Final[dict[type, str]] = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "text",
}


def field_types(schema: type) -> dict[str, Any]:
    """Return the fields of a struct with their types."""
    return {field.name: field.type for field in msgspec.structs.fields(schema)}


def element_type(wanted: Any) -> Any | None:
    """Return the type of the elements of a sequence type, else None."""
    if typing.get_origin(wanted) in (tuple, Sequence):
        return typing.get_args(wanted)[0]
    return None


def without_none(wanted: Any) -> Any:
    """Return the type that an optional type wraps."""
    if typing.get_origin(wanted) not in (types.UnionType, typing.Union):
        return wanted
    return next(part for part in typing.get_args(wanted) if part is not types.NoneType)


def is_struct(wanted: Any) -> bool:
    """Tell whether a type is a table with fields of its own."""
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)


def describe_type(wanted: Any) -> str:
    """Return in words what a type accepts."""
    wanted = without_none(wanted)
    if element := element_type(wanted):
        return f"a list, each {describe_type(element)}"
    if is_struct(wanted):
        return f"a table with {', '.join(field_types(wanted))}"
    if isinstance(wanted, type) and issubclass(wanted, enum.Enum):
        return "one of " + ", ".join(repr(str(member)) for member in wanted)
    return WORDS.get(wanted, str(wanted))


def type_at(schema: type, path: str) -> Any | None:
    """Return the type at a path such as ``.routes[0].deadline_ms``."""
    wanted: Any = schema
    for match in PATH_STEP.finditer(path):
        wanted = without_none(wanted)
        if match[1] is None:
            wanted = element_type(wanted)
        else:
            known = field_types(wanted) if is_struct(wanted) else {}
            wanted = known.get(match[1])
        if wanted is None:
            return None
    return wanted


def unknown_fields(schema: type, value: Any, path: str = "") -> list[RecordError]:
    """Return an error for each field that a schema doesn't know, also nested."""
    schema = without_none(schema)
    if (element := element_type(schema)) and isinstance(value, list):
        return [
            error
            for index, item in enumerate(value)
            for error in unknown_fields(element, item, f"{path}[{index}]")
        ]
    if not is_struct(schema) or not isinstance(value, dict):
        return []
    known = field_types(schema)
    errors = []
    for name, item in value.items():
        inner = f"{path}.{name}" if path else name
        if name in known:
            errors += unknown_fields(known[name], item, inner)
            continue
        errors.append(
            RecordError(
                f"unknown field{suggest(name, list(known))}",
                field=inner,
                accepted=", ".join(known),
            )
        )
    return errors


def translate(error: msgspec.ValidationError, schema: type) -> RecordError:
    """Return the record error for a value that doesn't fit its schema."""
    match = VALIDATION_MESSAGE.match(str(error))
    message, path = match[1], match[2] or ""
    if missing := re.search(r"missing required field `(\w+)`", message):
        path = f"{path}.{missing[1]}"
        message = "is missing"
    wanted = type_at(schema, path)
    return RecordError(
        message.replace("`", "").replace("Object", "table"),
        field=path.lstrip(".") or None,
        accepted=describe_type(wanted) if wanted else None,
    )
