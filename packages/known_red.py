"""Expect the tests of KNOWN-RED.txt to fail, and nothing else.

The file stands at the root only while a test fails for a real fault that is not mended
yet. Each line is ``test id | cause | issue``; the id of a table of cases without a case
stands for all of them, and each has to fail.
"""

from pathlib import Path
from typing import Final, NamedTuple

import pytest

FILE_NAME: Final = "KNOWN-RED.txt"
ENTRIES_MAX: Final = 3
SEPARATOR: Final = " | "


class KnownRed(NamedTuple):
    """One test that fails, why, and the issue that is to mend it."""

    test_id: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the entries of a list; none without the file.

    Raise ``pytest.UsageError``, which fails the run, when the list is out of form.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line]
    if len(lines) > ENTRIES_MAX:
        raise pytest.UsageError(
            f"{FILE_NAME} has {len(lines)} lines; {ENTRIES_MAX} are allowed"
        )
    entries = [_read_line(line) for line in lines]
    if len({entry.test_id for entry in entries}) < len(entries):
        raise pytest.UsageError(f"{FILE_NAME} names a test twice")
    return entries


def _read_line(line: str) -> KnownRed:
    """Return the entry of one line."""
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != len(KnownRed._fields) or not all(parts):
        raise pytest.UsageError(
            f"{FILE_NAME}: {line!r} is not: test id{SEPARATOR}cause{SEPARATOR}issue"
        )
    return KnownRed(*parts)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the listed tests as failing; one that passes fails the run."""
    entries = read_known_red(config.rootpath / FILE_NAME)
    by_id: dict[str, list[pytest.Item]] = {}
    for item in items:
        for test_id in {item.nodeid, item.nodeid.partition("[")[0]}:
            by_id.setdefault(test_id, []).append(item)
    whole_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    for entry in entries:
        listed = by_id.get(entry.test_id, [])
        reason = f"{entry.cause} ({entry.issue})"
        for item in listed:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
        if not listed and whole_run:
            # A renamed or deleted test would otherwise stay on the list unseen.
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {entry.test_id}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the listed tests at the end of each run."""
    entries = read_known_red(config.rootpath / FILE_NAME)
    if not entries:
        return
    terminalreporter.section(f"{len(entries)} known red tests")
    for entry in entries:
        terminalreporter.line(SEPARATOR.join(entry))
