"""Exit codes, environment variables and limits of the client."""

from enum import IntEnum, StrEnum
from typing import Final

from greengagepoint.errors import ErrorKind

PROGRAM: Final = "greengagepoint"
ENV_SERVER: Final = "GREENGAGEPOINT_SERVER"
ENV_KEY: Final = "GREENGAGEPOINT_OPERATOR_KEY"
ENV_KEY_FILE: Final = "GREENGAGEPOINT_OPERATOR_KEY_FILE"
ENV_AUTHOR: Final = "GREENGAGEPOINT_AUTHOR"
DEFAULT_SERVER: Final = "http://127.0.0.1:8080"

CONNECT_TIMEOUT_SECONDS: Final = 3.0
ANSWER_TIMEOUT_SECONDS: Final = 30.0
POLL_SECONDS: Final = 0.25
MAX_ANSWER_BYTES: Final = 256 * 1024 * 1024
MAX_HOSTS_AT_ONCE: Final = 32


class ExitCode(IntEnum):
    """Exit codes; a number keeps its meaning."""

    OK = 0
    DIFFERENT = 1
    USAGE = 2
    RECORD_REFUSED = 3
    CONFLICT = 4
    UNREACHABLE = 5
    UNAUTHENTICATED = 6
    OUTCOME_UNKNOWN = 7
    SERVER_ERROR = 8
    NOT_IN_TIME = 9
    INTERNAL = 10


EXIT_CODES: Final[dict[ErrorKind, ExitCode]] = {
    ErrorKind.BAD_REQUEST: ExitCode.USAGE,
    ErrorKind.UNAUTHENTICATED: ExitCode.UNAUTHENTICATED,
    ErrorKind.RECORD_MALFORMED: ExitCode.RECORD_REFUSED,
    ErrorKind.RECORD_INVALID: ExitCode.RECORD_REFUSED,
    ErrorKind.RECORD_SCHEMA_UNKNOWN: ExitCode.RECORD_REFUSED,
    ErrorKind.RECORD_NOT_FOUND: ExitCode.RECORD_REFUSED,
    ErrorKind.BODY_TOO_LARGE: ExitCode.RECORD_REFUSED,
    ErrorKind.UNKNOWN_SERVICE: ExitCode.RECORD_REFUSED,
    ErrorKind.RECORD_CONFLICT: ExitCode.CONFLICT,
    ErrorKind.STORE_OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}


class Output(StrEnum):
    """Forms in which an answer is printed."""

    TABLE = "table"
    JSON = "json"


class TimelineOutput(StrEnum):
    """Forms in which the time line is printed."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"


class UsageOutput(StrEnum):
    """Forms in which usage is printed."""

    TABLE = "table"
    JSON = "json"
    CSV = "csv"
