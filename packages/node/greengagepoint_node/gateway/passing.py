"""Relay request headers, request bodies and answers between caller and server."""

import asyncio
from typing import Final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from greengagepoint.errors import ErrorKind
from greengagepoint.placing.tables import Server
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import Exchange
from greengagepoint_node.gateway.names import (
    ATTEMPTS_LEFT,
    CALLER_ADDRESS,
    CONFIGURATION_VERSION,
    READS_RELAY_ORIGIN,
    RELAY_ORIGIN,
    RELAY_RESULT,
    RELAYED_BY,
    HeaderNames,
)
from greengagepoint_node.gateway.refusals import Refusal
from greengagepoint_node.gateway.uploads import UploadBody
from greengagepoint_node.http.const import HOP_BY_HOP_HEADERS
from greengagepoint_node.proxy.answer_bodies import HeldBody
from greengagepoint_node.proxy.headers import connection_headers

RELAY_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        RELAYED_BY,
        CALLER_ADDRESS,
        CONFIGURATION_VERSION,
        ATTEMPTS_LEFT,
        READS_RELAY_ORIGIN,
        RELAY_RESULT,
        RELAY_ORIGIN,
    )
)
CREDENTIALS: Final = frozenset({"authorization"})


class RequestHeaders:
    """Build the headers of requests to backend servers."""

    def __init__(self, names: HeaderNames) -> None:
        self.names = names
        self.dropped = HOP_BY_HOP_HEADERS | {
            "host",
            "expect",
            "content-length",
            names.deadline_ms.lower(),
            names.target_instance.lower(),
            names.account.lower(),
            *RELAY_HEADERS,
        }

    def relay_headers(self, request: web.BaseRequest) -> CIMultiDict[str]:
        """Return the caller's headers for a host that takes the request on."""
        dropped = HOP_BY_HOP_HEADERS | connection_headers(request.headers)
        dropped |= {"host", "expect", "content-length"}
        dropped |= {self.names.deadline_ms.lower(), *RELAY_HEADERS}
        headers: CIMultiDict[str] = CIMultiDict()
        headers["Host"] = request.headers.get("Host", "")
        for name, value in request.headers.items():
            if name.lower() not in dropped:
                headers.add(name, value)
        return headers

    def backend_headers(
        self,
        request: web.BaseRequest,
        server: Server,
        call: Call,
        *,
        has_accounts: bool,
    ) -> CIMultiDict[str]:
        """Return the caller's headers plus the server's instance and account.

        The remaining time is added right before the first byte is sent. With
        ``has_accounts``, the callers' credentials are not passed on.
        """
        dropped = self.dropped | connection_headers(request.headers)
        if has_accounts:
            dropped = dropped | CREDENTIALS
        headers: CIMultiDict[str] = CIMultiDict()
        headers["Host"] = request.headers.get("Host", "")
        for name, value in request.headers.items():
            # Some servers treat an underscore in a header name as a hyphen.
            if name.lower().replace("_", "-") not in dropped:
                headers.add(name, value)
        headers[self.names.target_instance] = server.instance
        if call.account is not None:
            headers[self.names.account] = call.account.name
        return headers


async def async_read_body(
    request: web.BaseRequest, seconds: float, limit_bytes: int, upload: UploadBody
) -> bytes:
    """Return the whole body of a request, or raise Refusal.

    Errors are a body over ``limit_bytes``, one that takes more than ``seconds``, and a
    connection that breaks, and one that the host can't hold. Its bytes are held until
    ``upload`` is released.
    """
    length = request.content_length or 0
    if length > limit_bytes:
        raise Refusal(ErrorKind.BODY_TOO_LARGE, 413, "the body is too long")
    upload.reserve(length)
    pieces: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(seconds):
            while piece := await request.content.readany():
                pieces.append(piece)
                size += len(piece)
                if size > limit_bytes:
                    raise Refusal(ErrorKind.BODY_TOO_LARGE, 413, "the body is too long")
                upload.grow(len(piece))
    except TimeoutError as error:
        reason = "the request body was not complete before the deadline"
        raise Refusal(ErrorKind.SLOW_SENDER, 408, reason) from error
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        reason = "the connection broke before the end of the request body"
        raise Refusal(ErrorKind.BAD_REQUEST, 400, reason) from error
    return b"".join(pieces)


class HeldResponse(web.Response):
    """A server's answer, whose bytes are given back once they are written."""

    held: HeldBody | None = None

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body, and give back its bytes."""
        try:
            await super().write_eof(data)
        finally:
            if self.held is not None:
                self.held.release()


def answer_response(exchange: Exchange) -> web.Response:
    """Return a backend server's answer as the response to the caller."""
    assert exchange.headers is not None
    # What hosts tell each other must not come from a server.
    dropped = HOP_BY_HOP_HEADERS | connection_headers(exchange.headers) | RELAY_HEADERS
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in exchange.headers.items():
        if name.lower() not in dropped and name.lower() != "content-length":
            headers.add(name, value)
    response = HeldResponse(
        status=exchange.status,
        reason=exchange.reason,
        headers=headers,
        body=exchange.body,
    )
    response.held = exchange.held
    return response
