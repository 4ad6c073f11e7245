"""Find the line of each record and field in a TOML text."""

import re
from typing import Final, NamedTuple

HEADER: Final = re.compile(r"^\s*\[\[?\s*([A-Za-z0-9_.-]+)\s*\]?\]")
KEY: Final = re.compile(r"""^\s*["']?([A-Za-z0-9_-]+)["']?\s*=\s*(\[)?""")


class RecordLines(NamedTuple):
    """Lines of one record: its header and its fields by dotted path."""

    line: int
    fields: dict[str, int]


class _Scan:
    """Hold the record, table and list that the scanned line belongs to."""

    def __init__(self) -> None:
        self.found: dict[str, list[RecordLines]] = {}
        self.record: RecordLines | None = None
        self.counters: dict[str, int] = {}
        self.prefix = ""
        self.list_path: str | None = None
        self.list_index = 0

    def header(self, path: str, number: int) -> None:
        """Enter a record or a table nested in the current one."""
        self.list_path = None
        kind, _, nested = path.partition(".")
        if not nested:
            self.record = RecordLines(number, {})
            self.found.setdefault(kind, []).append(self.record)
            self.counters = {}
            self.prefix = ""
            return
        index = self.counters.get(nested, 0)
        self.counters[nested] = index + 1
        self.prefix = f"{nested}[{index}]."
        if self.record is not None:
            self.record.fields[self.prefix[:-1]] = number
            self.record.fields.setdefault(nested, number)

    def key(self, name: str, opens_list: bool, number: int) -> None:
        """Note the line of a field."""
        if self.record is None:
            return
        path = f"{self.prefix}{name}"
        self.record.fields.setdefault(path, number)
        self.list_path = path if opens_list else None
        self.list_index = 0

    def element(self, number: int) -> None:
        """Note the line of an inline table in the current list."""
        if self.record is None or self.list_path is None:
            return
        self.record.fields[f"{self.list_path}[{self.list_index}]"] = number
        self.list_index += 1


def find_lines(text: str) -> dict[str, list[RecordLines]]:
    """Return the lines of all records in order, by kind."""
    scan = _Scan()
    for number, line in enumerate(text.splitlines(), start=1):
        if match := HEADER.match(line):
            scan.header(match[1], number)
        elif match := KEY.match(line):
            scan.key(match[1], match[2] is not None, number)
        elif line.lstrip().startswith("{"):
            scan.element(number)
    return scan.found


def line_of(fields: dict[str, int], path: str | None, default: int) -> int:
    """Return the line of a field or of the nearest table around it."""
    while path:
        if path in fields:
            return fields[path]
        cut = max(path.rfind("."), path.rfind("["))
        path = path[:cut] if cut > 0 else ""
    return default
