"""Decide whether the head of an answer can be written to a caller (RFC 9110, 9112)."""

import re
from collections.abc import Iterable
from enum import StrEnum
from typing import Final, NamedTuple

FINAL_STATUS_MIN: Final = 200
FINAL_STATUS_MAX: Final = 599
RESET_CONTENT: Final = 205
NAME_CHARACTERS_MAX: Final = 50

# Allowed are HTAB, SP, VCHAR and obs-text.
_NOT_IN_VALUE: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_NOT_IN_NAME: Final = re.compile(r"[^!#$%&'*+.^_`|~0-9A-Za-z-]")
# Bytes that are not UTF-8 are read as these characters (PEP 383).
_SURROGATE_ESCAPE_BASE: Final = 0xDC00


class HeadPart(StrEnum):
    """The part of a head that is at fault."""

    STATUS = "status"
    REASON = "reason"
    NAME = "name"
    VALUE = "value"
    LENGTH = "length"


class HeadFault(NamedTuple):
    """Why a head can't be written.

    ``where`` is the status, or the name of the header field. ``character`` is the
    first one that is not allowed, as hex digits.
    """

    part: HeadPart
    where: str = ""
    character: str = ""

    def __str__(self) -> str:
        """Return the fault for a log line."""
        return " ".join(filter(None, (self.part, self.where, self.character)))


def find_head_fault(
    status: int, reason: str | None, headers: Iterable[tuple[str, str]]
) -> HeadFault | None:
    """Return the first fault of a final answer's head, or None if it can be written."""
    if not FINAL_STATUS_MIN <= status <= FINAL_STATUS_MAX:
        return HeadFault(HeadPart.STATUS, str(status))
    names, values = zip(*headers, strict=True) if headers else ((), ())
    if (
        is_value_valid("".join(values))
        and _NOT_IN_NAME.search("".join(names)) is None
        and all(names)
        and is_value_valid(reason or "")
    ):
        return _find_length_fault(status, names, values)
    return _locate(reason or "", zip(names, values, strict=True))


def is_value_valid(text: str) -> bool:
    """Return True if a header value or a reason phrase may consist of this text."""
    # Much faster for most heads; characters that are not printable may be valid.
    return text.isprintable() or _NOT_IN_VALUE.search(text) is None


def _find_length_fault(
    status: int, names: Iterable[str], values: Iterable[str]
) -> HeadFault | None:
    """Return the fault of a head that announces content which its status rules out.

    Some callers read no content after this status, and would take it for the next
    answer.
    """
    if status != RESET_CONTENT:
        return None
    for name, value in zip(names, values, strict=True):
        if name.lower() == "content-length" and value == "0":
            return None
    return HeadFault(HeadPart.LENGTH, str(status))


def _locate(reason: str, headers: Iterable[tuple[str, str]]) -> HeadFault:
    """Return the first fault of a head that has one."""
    if found := _NOT_IN_VALUE.search(reason):
        return HeadFault(HeadPart.REASON, character=_hex(found[0]))
    for name, value in headers:
        where = name[:NAME_CHARACTERS_MAX].encode("unicode_escape").decode()
        if not name or (found := _NOT_IN_NAME.search(name)):
            return HeadFault(HeadPart.NAME, where, _hex(found[0]) if name else "")
        if found := _NOT_IN_VALUE.search(value):
            return HeadFault(HeadPart.VALUE, where, _hex(found[0]))
    raise AssertionError("no fault in this head")


def _hex(character: str) -> str:
    """Return a character as it was on the wire, in hex digits."""
    code = ord(character)
    if _SURROGATE_ESCAPE_BASE <= code <= _SURROGATE_ESCAPE_BASE + 0xFF:
        code -= _SURROGATE_ESCAPE_BASE
    return f"{code:02x}"
