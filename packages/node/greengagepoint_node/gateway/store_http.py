"""Call a store over HTTP; paths and formats are up to the caller."""

import asyncio
import time
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec

from greengagepoint.errors import (
    ErrorKind,
    StoreError,
    StoreOutcomeUnknownError,
)
from greengagepoint_node.gateway.listeners import create_socket
from greengagepoint_node.gateway.store_types import Connection
from greengagepoint_node.gateway.transfer import async_read_answer
from greengagepoint_node.proxy.bounded_connections import (
    TRANSFER_BYTES_MAX,
    BoundedConnector,
)

KEEPALIVE_SECONDS: Final = 30.0
ERA_DIGITS_MAX: Final = 6
JSON_HEADERS: Final = {"Content-Type": "application/json"}


class HttpAnswer(NamedTuple):
    """A complete response; its headers arrived at ``began_at`` (monotonic seconds).

    ``era`` counts how often the store has been restored from a copy, 0 if it does not
    say.
    """

    status: int
    body: bytes
    began_at: float
    era: int


class HttpCaller:
    """Call one address; a response may stall for at most ``idle_seconds``.

    ``era_header`` is the header that states the era of the store.
    """

    def __init__(self, address: str, idle_seconds: float, era_header: str) -> None:
        self.era_header = era_header
        self.base = f"http://{address}"
        self.idle_seconds = idle_seconds
        self.sessions = {kind: _create_session(kind) for kind in Connection}

    async def async_call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None,
        data: bytes | None,
        seconds: float,
        connection: Connection = Connection.KEPT,
    ) -> HttpAnswer:
        """Return the response, whatever its status; raise StoreError if there is none.

        A call that may have changed the store raises StoreOutcomeUnknownError instead.
        """
        headers = JSON_HEADERS if data is not None else None
        try:
            async with asyncio.timeout(seconds) as limit:
                async with self.sessions[connection].request(
                    method, self.base + path, params=query, data=data, headers=headers
                ) as answer:
                    began_at = time.monotonic()
                    body = await async_read_answer(
                        answer.content, limit, self.idle_seconds
                    )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            kind = StoreOutcomeUnknownError if method != "GET" else StoreError
            raise kind(f"{method} {path}: {type(error).__name__}") from error
        era = _read_era(answer.headers.get(self.era_header, ""))
        return HttpAnswer(answer.status, body, began_at, era)

    async def async_close(self) -> None:
        """Close all connections."""
        for session in self.sessions.values():
            await session.close()


def _create_session(kind: Connection) -> aiohttp.ClientSession:
    """Return the session for calls on one kind of connection."""
    is_new = kind is Connection.NEW
    connector = BoundedConnector(
        body_bytes_max=TRANSFER_BYTES_MAX,
        limit=0,
        keepalive_timeout=None if is_new else KEEPALIVE_SECONDS,
        force_close=is_new,
        socket_factory=lambda info: create_socket(*info[:3]),
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )


def _read_era(text: str) -> int:
    """Return the era that a header states, 0 if it states none."""
    if not text.isascii() or not text.isdigit() or len(text) > ERA_DIGITS_MAX:
        return 0
    return int(text)


def decode_body(answer: HttpAnswer, kind: type[Any]) -> Any:
    """Return the decoded body of an answer; raise StoreError if it is invalid."""
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreError(str(error), ErrorKind.STORE_ANSWER_INVALID) from error
