"""Answers of this host's own, for requests that no server answers."""

import math
from typing import Final

from aiohttp import web

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.choice import NoServerAvailable
from greengagepoint.placing.ranking import unit_hash
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.names import HeaderNames

RETRY_AFTER_MIN_SECONDS: Final = 0.05
# A host with old news asks a peer each half second.
OLD_NEWS_RETRY_SECONDS: Final = 0.5
# Servers that shed everything are looked at again after this, where they don't say.
SHED_RETRY_SECONDS: Final = 0.1
# Callers who were refused together come back spread over a quarter of the time on
# either side, not as the same burst.
RETRY_SPREAD: Final = 0.5
# These say that the request has not run and will not.
NOT_RUN_STATUSES: Final = frozenset({400, 401, 404, 408, 413, 429, 503})
# What is left of such a request on its connection would be read as the next one.
UNREAD_STATUSES: Final = frozenset({400, 408, 413})


# What a failed try means for its caller.
KINDS: Final[dict[Verdict, ErrorKind]] = {
    Verdict.SHED: ErrorKind.BACKEND_SHED,
    Verdict.UNREACHABLE: ErrorKind.BACKEND_REFUSED,
    Verdict.OTHER_SERVER: ErrorKind.BACKEND_REFUSED,
    Verdict.BROKEN: ErrorKind.BACKEND_RESET,
    Verdict.FOREIGN: ErrorKind.BACKEND_PROTOCOL,
    Verdict.TIMED_OUT: ErrorKind.BACKEND_TIMEOUT,
    Verdict.LAPSED: ErrorKind.DEADLINE_TOO_SHORT,
    Verdict.LEFT: ErrorKind.NO_BACKEND_SERVER,
    Verdict.OLD_NEWS: ErrorKind.NOT_READY,
}


class Refusal(Exception):
    """End a request with an answer of this host's own.

    The status stands beside the kind: callers of this path take every 503 as a promise
    that nothing ran, and 502 and 504 as none, whatever the kind. ``inputs`` are what
    decided it, for the log.
    """

    def __init__(
        self,
        kind: ErrorKind,
        status: int,
        reason: str,
        retry_after: float | None = None,
        inputs: dict[str, float | int | str | None] | None = None,
    ) -> None:
        super().__init__(reason)
        self.kind = kind
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
        self.inputs = inputs or {}

    @property
    def event(self) -> Event:
        """Return the event under which it is logged."""
        if self.status in NOT_RUN_STATUSES:
            return Event.REQUEST_REFUSED
        return Event.REQUEST_FAILED


def no_place(service: str, place: NoServerAvailable) -> Refusal:
    """Return the refusal of a request for which there is no server now."""
    if place.servers_known:
        kind, reason = ErrorKind.OVERLOADED, "all servers are busy"
    else:
        kind, reason = ErrorKind.NO_BACKEND_SERVER, "no server may be used"
    age = place.report_age
    inputs = {
        "servers": place.servers,
        "shortest_wait": round(place.shortest_wait, 3),
        "longest_wait": round(place.longest_wait, 3),
        "report_age": round(age, 3) if math.isfinite(age) else None,
    }
    return Refusal(kind, 503, f"{reason}: {service}", place.retry_seconds, inputs)


def no_answer(last: Exchange | None, *, may_have_run: bool) -> Refusal:
    """Return what the caller is told when no try gave an answer."""
    if last is None:
        kind = ErrorKind.DEADLINE_TOO_SHORT
        return Refusal(kind, 503, "no time was left to send the request", 0.0)
    kind = KINDS[last.verdict]
    if may_have_run:
        status = 504 if last.verdict is Verdict.TIMED_OUT else 502
        return Refusal(kind, status, f"may have run: {last.verdict}")
    seconds = SHED_RETRY_SECONDS if last.retry_after is None else last.retry_after
    if last.verdict is Verdict.OLD_NEWS:
        seconds = OLD_NEWS_RETRY_SECONDS
    return Refusal(kind, 503, f"not run: {last.verdict}", seconds)


def refusal_response(
    refusal: Refusal, names: HeaderNames, request_id: str
) -> web.Response:
    """Return the answer to a request that is refused."""
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
    if refusal.status in UNREAD_STATUSES:
        response.force_close()
    return response
