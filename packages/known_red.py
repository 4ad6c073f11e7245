"""Expect the tests of KNOWN-RED.txt to fail, and nothing else.

The file stands at the root only while a check fails for a real fault that is not mended
yet. Each line is ``check | what was seen | issue``. A check is the id of a test, where
that of a table of cases stands for all of them and each has to fail, or ``$ command``
for one that the run does not make: a seed of a soak, a script, a day.

A test that fails only now and then has ``sometimes:`` before what was seen. It may
pass; any other listed test that passes fails the run.
"""

from pathlib import Path
from typing import Final, NamedTuple

import pytest

FILE_NAME: Final = "KNOWN-RED.txt"
ENTRIES_MAX: Final = 8
SEPARATOR: Final = " | "
COMMAND_PREFIX: Final = "$ "
SOMETIMES_PREFIX: Final = "sometimes:"


class KnownRed(NamedTuple):
    """One check that fails, what was seen, and the issue that is to mend it."""

    check: str
    seen: str
    issue: str

    @property
    def is_command(self) -> bool:
        """Return True for a command, which the run does not make."""
        return self.check.startswith(COMMAND_PREFIX)

    @property
    def fails_always(self) -> bool:
        """Return True for a test that must not pass as long as it is listed."""
        return not self.seen.startswith(SOMETIMES_PREFIX)

    def files(self) -> list[str]:
        """Return the paths in a command, relative to the root."""
        return [word for word in self.check.split()[1:] if "/" in word]


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
    if len({entry.check for entry in entries}) < len(entries):
        raise pytest.UsageError(f"{FILE_NAME} names a check twice")
    for entry in entries:
        if entry.is_command:
            _check_files(entry, path.parent)
    return entries


def _check_files(entry: KnownRed, root: Path) -> None:
    """Raise ``pytest.UsageError`` if a command names no file, or one that is gone."""
    gone = [word for word in entry.files() if not (root / word).is_file()]
    if gone or not entry.files():
        reason = f"there is no file {gone[0]}" if gone else "no file is named"
        raise pytest.UsageError(f"{FILE_NAME}: {entry.check!r}: {reason}")


def _read_line(line: str) -> KnownRed:
    """Return the entry of one line."""
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != len(KnownRed._fields) or not all(parts):
        raise pytest.UsageError(
            f"{FILE_NAME}: {line!r} is not: "
            f"test id or $ command{SEPARATOR}what was seen{SEPARATOR}issue"
        )
    return KnownRed(*parts)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the listed tests as failing."""
    entries = read_known_red(config.rootpath / FILE_NAME)
    by_id: dict[str, list[pytest.Item]] = {}
    for item in items:
        for test_id in {item.nodeid, item.nodeid.partition("[")[0]}:
            by_id.setdefault(test_id, []).append(item)
    whole_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    for entry in entries:
        if entry.is_command:
            continue
        listed = by_id.get(entry.check, [])
        reason = f"{entry.seen} ({entry.issue})"
        for item in listed:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.fails_always))
        if not listed and whole_run:
            # A renamed or deleted test would otherwise stay on the list unseen.
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {entry.check}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the listed checks at the end of each run."""
    entries = read_known_red(config.rootpath / FILE_NAME)
    if not entries:
        return
    terminalreporter.section(f"{len(entries)} known red checks")
    for entry in entries:
        terminalreporter.line(SEPARATOR.join(entry))
