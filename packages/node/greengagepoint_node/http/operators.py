"""The operators' interface: records, history, status, timeline and usage."""

import hmac
import re
from datetime import date
from typing import Final, NamedTuple, Protocol

import msgspec
from aiohttp import web

from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint.operator_api import (
    ApplyAnswer,
    HistoryAnswer,
    PruneAnswer,
    RecordsAnswer,
    StatusAnswer,
    TimelineAnswer,
    UsageAnswer,
    WantedChanges,
)
from greengagepoint_node.http.problems import json_response
from greengagepoint_node.http.reading import async_read_body_bytes
from greengagepoint_node.http.server import Handler

AUTHORIZATION_SCHEME: Final = "Bearer "
APPLY_BODY_MAX_BYTES: Final = 1_000_000
APPLY_BODY_SECONDS: Final = 10.0
HISTORY_DEFAULT: Final = 50
HISTORY_MAX: Final = 1000
LIMIT_PATTERN: Final = re.compile("[0-9]{1,9}")


class OperatorBackend(Protocol):
    """The daemon's functions that the operators' interface uses."""

    def records(self) -> RecordsAnswer:
        """Return the generation and all documents."""

    async def async_apply(self, wanted: WantedChanges) -> ApplyAnswer:
        """Apply changes; return the generation that contains them."""

    async def async_history(self, limit: int) -> HistoryAnswer:
        """Return the newest entries of the change log."""

    def status(self) -> StatusAnswer:
        """Return the state of this host and its view of its peers."""

    def timeline(self, filters: dict[str, str]) -> TimelineAnswer:
        """Return this host's events that match the filters."""

    async def async_prune_usage(self, before: str) -> PruneAnswer:
        """Delete the usage of days before a day; return the number of counters."""

    async def async_usage(self, since: str | None, until: str | None) -> UsageAnswer:
        """Return the usage of each team from ``since`` to ``until``, both inclusive."""


class OperatorRoute(NamedTuple):
    """A method and path with its handler."""

    method: str
    path: str
    handler: Handler


def create_operator_routes(
    backend: OperatorBackend, key: str | None
) -> list[OperatorRoute]:
    """Return the routes of the operators' interface.

    If there is a shared key, every route requires it.
    """

    async def async_records(request: web.BaseRequest) -> web.StreamResponse:
        return json_response(backend.records())

    async def async_apply(request: web.BaseRequest) -> web.StreamResponse:
        changes = await async_read_changes(request)
        return json_response(await backend.async_apply(changes))

    async def async_history(request: web.BaseRequest) -> web.StreamResponse:
        limit = parse_limit(request.rel_url.query.get("limit"))
        return json_response(await backend.async_history(limit))

    async def async_status(request: web.BaseRequest) -> web.StreamResponse:
        return json_response(backend.status())

    async def async_timeline(request: web.BaseRequest) -> web.StreamResponse:
        return json_response(backend.timeline(dict(request.rel_url.query)))

    async def async_usage(request: web.BaseRequest) -> web.StreamResponse:
        query = request.rel_url.query
        since, until = parse_day(query.get("since")), parse_day(query.get("until"))
        return json_response(await backend.async_usage(since, until))

    async def async_prune_usage(request: web.BaseRequest) -> web.StreamResponse:
        before = parse_day(request.rel_url.query.get("before"))
        if before is None:
            raise RequestError("before is required, as YYYY-MM-DD")
        return json_response(await backend.async_prune_usage(before))

    routes = [
        OperatorRoute("GET", "/v1/records", async_records),
        OperatorRoute("POST", "/v1/records/apply", async_apply),
        OperatorRoute("GET", "/v1/history", async_history),
        OperatorRoute("GET", "/v1/status", async_status),
        OperatorRoute("GET", "/v1/timeline", async_timeline),
        OperatorRoute("GET", "/v1/usage", async_usage),
        OperatorRoute("POST", "/v1/usage/prune", async_prune_usage),
    ]
    return [
        OperatorRoute(route.method, route.path, require_key(route.handler, key))
        for route in routes
    ]


def require_key(handler: Handler, key: str | None) -> Handler:
    """Wrap a handler to reject requests without the shared key."""
    if key is None:
        return handler
    expected = (AUTHORIZATION_SCHEME + key).encode()

    async def async_checked(request: web.BaseRequest) -> web.StreamResponse:
        # A value that is not valid UTF-8 is treated as a wrong key.
        given = request.headers.get("Authorization", "").encode(
            errors="surrogateescape"
        )
        if not hmac.compare_digest(given, expected):
            raise RequestError(
                "The operators' interface requires the shared key",
                ErrorKind.UNAUTHENTICATED,
            )
        return await handler(request)

    return async_checked


async def async_read_changes(request: web.BaseRequest) -> WantedChanges:
    """Read the changes in the body of an apply request."""
    body = await async_read_body_bytes(
        request, APPLY_BODY_MAX_BYTES, APPLY_BODY_SECONDS
    )
    try:
        return msgspec.json.decode(body, type=WantedChanges)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RequestError(
            f"The body is not valid: {error}", ErrorKind.RECORD_MALFORMED
        ) from error


def parse_day(text: str | None) -> str | None:
    """Return a day as YYYY-MM-DD, or None; raise RequestError for an invalid one."""
    if text is None:
        return None
    try:
        return date.fromisoformat(text).isoformat()
    except ValueError:
        raise RequestError(
            f"{text[:50]!r} is not a day in the format YYYY-MM-DD"
        ) from None


def parse_limit(text: str | None) -> int:
    """Return the requested number of entries, at most ``HISTORY_MAX``."""
    if text is None:
        return HISTORY_DEFAULT
    if not LIMIT_PATTERN.fullmatch(text):
        raise RequestError("limit must be a whole number of at most 9 digits")
    return min(int(text), HISTORY_MAX)
