"""One caller's request as this host understands it."""

import secrets
from typing import Final

import msgspec
from aiohttp import hdrs, web

from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint.overload.tables import Ticket
from greengagepoint.records.schemas import RequestClass, Route, Service
from greengagepoint_node.http.const import (
    DEADLINE_MAX_MS,
    HEADER_DEADLINE_MS,
    HEADER_KEY,
    HEADER_REQUEST_ID,
    HEADER_TEAM,
    KEY_MAX_LENGTH,
    REQUEST_ID_MAX_LENGTH,
)
from greengagepoint_node.proxy.checks import plain_path

# A body up to this size is read before the request is sent, so that it can be sent
# again after a try that did not run. A larger one streams and is sent once.
REPLAYABLE_BODY_BYTES: Final = 64 * 1024

REQUEST_ID_BYTES: Final = 16
HEDGED_METHODS: Final = frozenset({hdrs.METH_GET, hdrs.METH_HEAD})
DEFAULT_ROUTE: Final = Route(path="/", request_class=RequestClass.LOOKUP)


class Call(msgspec.Struct, kw_only=True):
    """A parsed request; ``ends_at`` is monotonic seconds."""

    request_id: str
    service: Service
    route: Route
    team: str
    method: str
    target: str
    key: str | None
    ends_at: float
    received_at: float
    body: bytes | None = None
    streamed: bool = False
    attempts: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    ticket: Ticket | None = None
    latency_seconds: float | None = None
    key_state: str | None = None
    range_headers: dict[str, str] | None = None
    broken_by: str = ""

    @property
    def may_be_hedged(self) -> bool:
        """Tell whether a second copy of the request does no harm."""
        return (
            self.route.repeatable
            and self.method in HEDGED_METHODS
            and self.range_headers is None
        )

    def remaining(self, now: float) -> float:
        """Return the seconds left until the deadline."""
        return self.ends_at - now


def is_under(path: str, prefix: str) -> bool:
    """Tell whether a path is a prefix or lies below it, by whole segments.

    ``/bays`` must not lend its rights to ``/bays-and-pay``.
    """
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def match_route(service: Service, method: str, path: str) -> Route:
    """Return the route with the longest matching path prefix."""
    best: Route | None = None
    for route in service.routes:
        if not is_under(path, route.path):
            continue
        if route.methods and method not in route.methods:
            continue
        if best is None or len(route.path) > len(best.path):
            best = route
    return best or DEFAULT_ROUTE


def find_route(service: Service, method: str, path: str) -> Route:
    """Return the route of a path, or raise where backend servers may see another.

    A server that decodes ``/%70ay`` or merges the slashes of ``//pay`` would run a
    payment that this host takes for something else and might send twice.
    """
    route = match_route(service, method, path)
    plain = plain_path(path)
    if plain != path and match_route(service, method, plain) is not route:
        raise RequestError("The path means another route once it is decoded")
    return route


def parse_request_id(request: web.Request) -> str:
    """Return the caller's request id, or a new one."""
    request_id = request.headers.get(HEADER_REQUEST_ID)
    if request_id is None:
        return secrets.token_hex(REQUEST_ID_BYTES)
    if not _is_token(request_id, REQUEST_ID_MAX_LENGTH):
        raise RequestError(
            f"{HEADER_REQUEST_ID} must be 1 to {REQUEST_ID_MAX_LENGTH} visible "
            "ASCII characters"
        )
    return request_id


def parse_deadline_ms(request: web.Request, route: Route, service: Service) -> int:
    """Return the milliseconds left, bounded by the service's longest deadline."""
    text = request.headers.get(HEADER_DEADLINE_MS)
    if text is None:
        return min(route.deadline_ms, service.max_deadline_ms)
    if (
        not text.isascii()
        or not text.isdigit()
        or len(text) > len(str(DEADLINE_MAX_MS))
    ):
        raise RequestError(
            f"{HEADER_DEADLINE_MS} must be whole milliseconds, 1 to {DEADLINE_MAX_MS}"
        )
    deadline_ms = int(text)
    if deadline_ms == 0:
        raise RequestError("The deadline has passed", ErrorKind.DEADLINE_TOO_SHORT)
    return min(deadline_ms, service.max_deadline_ms)


def parse_key(request: web.Request, route: Route) -> str | None:
    """Return the idempotency key; a route may demand one."""
    key = request.headers.get(HEADER_KEY)
    if key is None:
        if route.needs_key:
            raise RequestError(f"This route needs the header {HEADER_KEY}")
        return None
    if not _is_token(key, KEY_MAX_LENGTH):
        raise RequestError(
            f"{HEADER_KEY} must be 1 to {KEY_MAX_LENGTH} visible ASCII characters"
        )
    return key


def parse_call(
    request: web.Request, request_id: str, service: Service, target: str, now: float
) -> Call:
    """Read what the caller asks for; raise RequestError where it is malformed."""
    route = find_route(service, request.method, target.partition("?")[0])
    deadline_ms = parse_deadline_ms(request, route, service)
    return Call(
        request_id=request_id,
        service=service,
        route=route,
        team=request.headers.get(HEADER_TEAM, ""),
        method=request.method,
        target=target,
        key=parse_key(request, route),
        ends_at=now + deadline_ms / 1000,
        received_at=now,
    )


def body_streams(request: web.Request) -> bool:
    """Tell whether the body is too large, or of unknown length, to keep."""
    if not request.can_read_body:
        return False
    if hdrs.CONTENT_LENGTH not in request.headers:
        return True
    return (request.content_length or 0) > REPLAYABLE_BODY_BYTES


def _is_token(text: str, max_length: int) -> bool:
    """Tell whether a header value is visible ASCII of bounded length."""
    if not 0 < len(text) <= max_length:
        return False
    return text.isascii() and text.isprintable() and " " not in text
