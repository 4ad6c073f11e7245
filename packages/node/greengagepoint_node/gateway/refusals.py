"""Responses that this host generates for requests without a server's answer."""

import math
from typing import Final

from aiohttp import web

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.choice import NoServerAvailable
from greengagepoint.placing.ranking import unit_hash
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.finish_fields import LogFields, finish_fields
from greengagepoint_node.gateway.names import HeaderNames

RETRY_AFTER_MIN_SECONDS: Final = 0.05
# A host with an outdated view polls a peer every half second.
OUTDATED_VIEW_RETRY_SECONDS: Final = 0.5
# Retry delay if servers shed the request while others may take it.
SHED_RETRY_SECONDS: Final = 0.1
# Retry-After is spread by a quarter to either side, so that callers rejected together
# don't retry as one burst.
RETRY_SPREAD: Final = 0.5
# Statuses that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES: Final = frozenset({400, 401, 404, 408, 413, 429, 503})
# Statuses after which the connection is closed if the request was not read whole:
# its unread bytes would be parsed as the next request.
UNREAD_STATUSES: Final = frozenset({400, 408, 413})


# Error kind that the caller gets for the verdict on the last attempt.
KIND_BY_VERDICT: Final[dict[Verdict, ErrorKind]] = {
    Verdict.SHED: ErrorKind.BACKEND_SHED,
    Verdict.UNREACHABLE: ErrorKind.BACKEND_REFUSED,
    Verdict.OTHER_SERVER: ErrorKind.BACKEND_REFUSED,
    Verdict.BROKEN: ErrorKind.BACKEND_RESET,
    Verdict.NOT_HELD: ErrorKind.BACKEND_RESET,
    Verdict.FOREIGN: ErrorKind.BACKEND_PROTOCOL,
    Verdict.TIMED_OUT: ErrorKind.BACKEND_TIMEOUT,
    Verdict.LAPSED: ErrorKind.DEADLINE_TOO_SHORT,
    Verdict.LEFT: ErrorKind.NO_BACKEND_SERVER,
    Verdict.RESTING: ErrorKind.BACKEND_SHED,
    Verdict.OLD_NEWS: ErrorKind.NOT_READY,
    Verdict.HOST_LEAVING: ErrorKind.HOST_LEAVING,
}


class Refusal(Exception):
    """Reject or fail a request with a response of this host.

    The status is independent of the kind: callers take any 503 as a guarantee that the
    request did not run, while 502 and 504 give no guarantee. ``inputs`` are the values
    behind the decision, for the log. ``retry_after`` is in seconds. ``may_wait`` is
    True if a server may become available at any moment, ``can_run_elsewhere`` if the
    request has not run for a reason that is this host's own, ``is_unread`` if a part
    of its body is left on the connection. ``attempts_left`` is the number of servers
    to which a failed request may still be sent.
    """

    def __init__(
        self,
        kind: ErrorKind,
        status: int,
        reason: str,
        retry_after: float | None = None,
        inputs: LogFields | None = None,
        *,
        may_wait: bool = False,
        can_run_elsewhere: bool = False,
        is_unread: bool = False,
    ) -> None:
        super().__init__(reason)
        self.kind = kind
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
        self.inputs = inputs or {}
        self.may_wait = may_wait
        self.can_run_elsewhere = can_run_elsewhere
        self.is_unread = is_unread
        self.attempts_left = 0

    @property
    def event(self) -> Event:
        """Return the event to log: refused if the request can't have run, or failed."""
        if self.status in NOT_RUN_STATUSES:
            return Event.REQUEST_REFUSED
        return Event.REQUEST_FAILED


def no_server_refusal(service: str, place: NoServerAvailable) -> Refusal:
    """Return the refusal of a request for which no server is available."""
    retry_seconds = place.retry_seconds
    may_wait = False
    if place.servers_known and place.resting == place.servers:
        kind, reason = ErrorKind.OVERLOADED, "all servers asked for rest"
        retry_seconds = not_before(retry_seconds)
    elif place.servers_known and place.unverified:
        kind = ErrorKind.OVERLOADED
        reason = "this host lacks news of servers and limits what it sends to each"
    elif place.servers_known and place.limited + place.resting == place.servers:
        kind, reason = ErrorKind.OVERLOADED, "all servers are at their request limits"
    elif place.servers_known:
        kind, reason = ErrorKind.OVERLOADED, "all servers are busy"
        may_wait = True
    else:
        kind, reason = ErrorKind.NO_BACKEND_SERVER, "no server may be used"
    age = place.report_age
    inputs = {
        "servers": place.servers,
        "shortest_wait": round(place.shortest_wait, 3),
        "longest_wait": round(place.longest_wait, 3),
        "report_age": round(age, 3) if math.isfinite(age) else None,
        "limited_servers": place.limited,
        "resting_servers": place.resting,
        "unverified_servers": place.unverified,
        **finish_fields(place.finish),
    }
    return Refusal(
        kind, 503, f"{reason}: {service}", retry_seconds, inputs, may_wait=may_wait
    )


def not_before(seconds: float) -> float:
    """Return the Retry-After that, spread over callers, is at least ``seconds``."""
    return seconds / (1 - RETRY_SPREAD / 2)


def no_answer_refusal(
    last: Exchange | None, *, may_have_run: bool, rest_seconds: float = 0.0
) -> Refusal:
    """Return the refusal of a request after attempts without an answer.

    ``last`` is the result of the last attempt, None if there was none.
    ``rest_seconds`` is the time until the first server wants requests again.
    """
    if last is None:
        kind = ErrorKind.DEADLINE_TOO_SHORT
        return Refusal(kind, 503, "no time was left to send the request", 0.0)
    kind = KIND_BY_VERDICT[last.verdict]
    if may_have_run:
        status = 504 if last.verdict is Verdict.TIMED_OUT else 502
        return Refusal(kind, status, f"may have run: {last.verdict}")
    seconds = max(SHED_RETRY_SECONDS, not_before(rest_seconds))
    if last.verdict is Verdict.OLD_NEWS:
        seconds = OUTDATED_VIEW_RETRY_SECONDS
    elif last.verdict is Verdict.HOST_LEAVING:
        return host_leaving_refusal(f"not run: {last.verdict}")
    return Refusal(kind, 503, f"not run: {last.verdict}", seconds)


def unproved_promise_refusal(status: int) -> Refusal:
    """Return the refusal in place of a server's status that promises too much."""
    reason = f"may have run: a server answered {status}, not that it did not run"
    inputs = {"answered": status}
    return Refusal(ErrorKind.BACKEND_PROTOCOL, 502, reason, inputs=inputs)


def host_leaving_refusal(reason: str) -> Refusal:
    """Return the refusal of a request that this host can't answer before its exit."""
    kind = ErrorKind.HOST_LEAVING
    return Refusal(kind, 503, reason, 0.0, can_run_elsewhere=True)


def cut_off_refusal() -> Refusal:
    """Return the refusal of a relayed request by a host that reaches no server."""
    kind = ErrorKind.NO_BACKEND_SERVER
    return Refusal(kind, 503, "cut off", can_run_elsewhere=True)


def unreached_refusal() -> Refusal:
    """Return the refusal of a relayed request that met only unreachable servers."""
    kind = ErrorKind.BACKEND_REFUSED
    return Refusal(kind, 503, "servers unreachable", can_run_elsewhere=True)


def refusal_response(
    refusal: Refusal, names: HeaderNames, request_id: str, *, is_read: bool
) -> web.Response:
    """Return the response for a refusal, with a randomized Retry-After header.

    ``is_read`` tells that the request was read whole. Its connection goes on then:
    other requests on it may have been passed on already.
    """
    headers = {}
    if request_id:
        headers[names.request_id] = request_id
    if refusal.retry_after is not None:
        spread = 1 + RETRY_SPREAD * (unit_hash(request_id) - 0.5)
        seconds = max(RETRY_AFTER_MIN_SECONDS, refusal.retry_after * spread)
        headers["Retry-After"] = f"{seconds:.3f}"
    response = web.Response(
        status=refusal.status, headers=headers, text=f"{refusal.reason}\n"
    )
    closes = refusal.is_unread or refusal.status in UNREAD_STATUSES
    if closes and not is_read:
        response.force_close()
    return response
