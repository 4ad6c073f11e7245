"""Errors that end a command with a line for the operator and an exit code."""

from collections.abc import Mapping, Sequence
from typing import Any

from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.records.loading import describe
from greengagepoint_cli.const import EXIT_CODES, ExitCode


class ClientError(Exception):
    """End a command; each line is printed on its own."""

    def __init__(self, exit_code: ExitCode, *lines: str) -> None:
        super().__init__("; ".join(lines))
        self.exit_code = exit_code
        self.lines = lines


class UnreachableError(ClientError):
    """Report that no host answered."""

    def __init__(self, attempts: Sequence[str]) -> None:
        super().__init__(
            ExitCode.UNREACHABLE, "no entry host could be reached:", *attempts
        )


class ProblemError(ClientError):
    """Report the problem that a host answered with."""

    def __init__(self, problem: Mapping[str, Any], status: int) -> None:
        self.kind = _known_kind(problem.get("kind"))
        exit_code = EXIT_CODES.get(self.kind, ExitCode.SERVER_ERROR)
        super().__init__(exit_code, _describe_problem(problem, status))


def refuse_records(errors: Sequence[RecordError]) -> ClientError:
    """Return the error that names all faults of records, each on a line."""
    return ClientError(ExitCode.RECORD_REFUSED, *(describe(one) for one in errors))


def _known_kind(text: Any) -> ErrorKind:
    """Return an error kind; one that a newer host names counts as internal."""
    try:
        return ErrorKind(text)
    except ValueError:
        return ErrorKind.INTERNAL


def _describe_problem(problem: Mapping[str, Any], status: int) -> str:
    """Return one line for a problem answer."""
    error = RecordError(
        str(problem.get("detail") or problem.get("title") or f"status {status}"),
        field=problem.get("field"),
        line=problem.get("line"),
        accepted=problem.get("accepted"),
        record=problem.get("record"),
        source=problem.get("source"),
    )
    return f"{problem.get('kind', f'status {status}')}: {describe(error)}"
