"""Map what happened on the wire to whether the request ran and may be sent again."""

from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.errors import ErrorKind, Ran


class WireOutcome(StrEnum):
    """All ways in which one try at a backend server can end."""

    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    RESET_BEFORE_SENDING = "reset_before_sending"
    RESET_AFTER_SENDING = "reset_after_sending"
    REUSED_CONNECTION_CLOSED = "reused_connection_closed"
    HEADERS_TIMEOUT = "headers_timeout"
    SHED = "shed"
    GARBAGE = "garbage"
    BODY_TRUNCATED = "body_truncated"
    BODY_TIMEOUT = "body_timeout"
    DEADLINE_BEFORE_SENDING = "deadline_before_sending"
    CANCELLED_BEFORE_SENDING = "cancelled_before_sending"
    CANCELLED_AFTER_SENDING = "cancelled_after_sending"
    ANSWERED_SUCCESS = "answered_success"
    ANSWERED_REDIRECT = "answered_redirect"
    ANSWERED_CLIENT_ERROR = "answered_client_error"
    ANSWERED_SERVER_ERROR = "answered_server_error"
    ANSWERED_UNAVAILABLE = "answered_unavailable"


class Consequence(NamedTuple):
    """What one outcome means; ``kind`` is None where the answer is passed on."""

    ran: Ran
    kind: ErrorKind | None
    retry_if_repeatable: bool
    retry_if_not_repeatable: bool


def _not_run(kind: ErrorKind, *, retry: bool = True) -> Consequence:
    """Build the row of a try that surely did not run."""
    return Consequence(Ran.NOT_RUN, kind, retry, retry)


def _unknown(kind: ErrorKind | None, *, retry: bool = True) -> Consequence:
    """Build the row of a try that may have run."""
    return Consequence(Ran.UNKNOWN, kind, retry, False)


_RAN: Final = Consequence(Ran.RAN, None, False, False)

CONSEQUENCES: Final[dict[WireOutcome, Consequence]] = {
    WireOutcome.CONNECT_REFUSED: _not_run(ErrorKind.BACKEND_REFUSED),
    WireOutcome.CONNECT_TIMEOUT: _not_run(ErrorKind.BACKEND_REFUSED),
    WireOutcome.RESET_BEFORE_SENDING: _not_run(ErrorKind.BACKEND_REFUSED),
    # A request may run as soon as its first byte is out: a reset says nothing
    # about what the backend server had read before.
    WireOutcome.RESET_AFTER_SENDING: _unknown(ErrorKind.BACKEND_RESET),
    # A reused connection that closes is mostly an idle timeout that crossed the
    # request on the way, but a server that died while running it looks the same.
    WireOutcome.REUSED_CONNECTION_CLOSED: _unknown(ErrorKind.BACKEND_RESET),
    WireOutcome.HEADERS_TIMEOUT: _unknown(ErrorKind.BACKEND_TIMEOUT),
    WireOutcome.SHED: _not_run(ErrorKind.BACKEND_SHED),
    WireOutcome.GARBAGE: _unknown(ErrorKind.BACKEND_PROTOCOL),
    # The head of the answer is with the caller: another try could only append a
    # different answer's bytes. Resuming by range is decided in resume.py.
    WireOutcome.BODY_TRUNCATED: _unknown(ErrorKind.BACKEND_TRUNCATED, retry=False),
    WireOutcome.BODY_TIMEOUT: _unknown(ErrorKind.BACKEND_TIMEOUT, retry=False),
    WireOutcome.DEADLINE_BEFORE_SENDING: _not_run(
        ErrorKind.DEADLINE_TOO_SHORT, retry=False
    ),
    WireOutcome.CANCELLED_BEFORE_SENDING: _not_run(
        ErrorKind.CALLER_CANCELLED, retry=False
    ),
    WireOutcome.CANCELLED_AFTER_SENDING: _unknown(
        ErrorKind.CALLER_CANCELLED, retry=False
    ),
    WireOutcome.ANSWERED_SUCCESS: _RAN,
    WireOutcome.ANSWERED_REDIRECT: _RAN,
    WireOutcome.ANSWERED_CLIENT_ERROR: _RAN,
    # A server error may follow half of the work; only the backend server's word
    # (SHED) makes it not run.
    WireOutcome.ANSWERED_SERVER_ERROR: _unknown(None, retry=False),
    WireOutcome.ANSWERED_UNAVAILABLE: _unknown(None),
}

UNAVAILABLE_STATUSES: Final = frozenset({502, 503, 504})
SHED_STATUS: Final = 503
INFORMATIONAL_BELOW: Final = 200
REDIRECT_FROM: Final = 300
CLIENT_ERROR_FROM: Final = 400
SERVER_ERROR_FROM: Final = 500
SERVER_ERROR_BELOW: Final = 600


def classify_answer(status: int, ran_header: str | None) -> WireOutcome:
    """Return the outcome for an answer's status and ``Greengagepoint-Ran`` header."""
    if status < INFORMATIONAL_BELOW or status >= SERVER_ERROR_BELOW:
        return WireOutcome.GARBAGE
    if status < REDIRECT_FROM:
        return WireOutcome.ANSWERED_SUCCESS
    if status < CLIENT_ERROR_FROM:
        return WireOutcome.ANSWERED_REDIRECT
    if status < SERVER_ERROR_FROM:
        return WireOutcome.ANSWERED_CLIENT_ERROR
    if status == SHED_STATUS and ran_header == Ran.NOT_RUN:
        return WireOutcome.SHED
    if status in UNAVAILABLE_STATUSES:
        return WireOutcome.ANSWERED_UNAVAILABLE
    return WireOutcome.ANSWERED_SERVER_ERROR


def may_retry(outcome: WireOutcome, *, repeatable: bool) -> bool:
    """Tell whether a request may be sent again after one try."""
    consequence = CONSEQUENCES[outcome]
    if repeatable:
        return consequence.retry_if_repeatable
    return consequence.retry_if_not_repeatable


def combine(earlier: Ran, later: Ran) -> Ran:
    """Return what is known of a request from two of its tries.

    Only when every try has not run has the request not run.
    """
    if Ran.RAN in (earlier, later):
        return Ran.RAN
    if Ran.UNKNOWN in (earlier, later):
        return Ran.UNKNOWN
    return Ran.NOT_RUN
