"""What of a request and its answer is passed on."""

import asyncio
from typing import Final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from greengagepoint.errors import ErrorKind
from greengagepoint.placing.tables import Server
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import Exchange
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.refusals import Refusal
from greengagepoint_node.http.const import HOP_BY_HOP_HEADERS
from greengagepoint_node.proxy.headers import connection_headers

CREDENTIALS: Final = frozenset({"authorization"})


class RequestHeaders:
    """Write the headers of requests to backend servers."""

    def __init__(self, names: HeaderNames) -> None:
        self.names = names
        self.dropped = HOP_BY_HOP_HEADERS | {
            "host",
            "expect",
            "content-length",
            names.deadline_ms.lower(),
            names.target_instance.lower(),
            names.account.lower(),
        }

    def passed_on(
        self, request: web.BaseRequest, server: Server, call: Call, *, keyed: bool
    ) -> CIMultiDict[str]:
        """Return a caller's headers and the server's name, without the time left.

        That is written right before the first byte goes out. Where callers are
        ``keyed``, their keys stay here.
        """
        dropped = self.dropped | connection_headers(request.headers)
        if keyed:
            dropped = dropped | CREDENTIALS
        headers: CIMultiDict[str] = CIMultiDict()
        headers["Host"] = request.headers.get("Host", "")
        for name, value in request.headers.items():
            # Servers behind some gateways read an underscore as a hyphen.
            if name.lower().replace("_", "-") not in dropped:
                headers.add(name, value)
        headers[self.names.target_instance] = server.instance
        if call.account is not None:
            headers[self.names.account] = call.account.name
        return headers


async def async_read_body(
    request: web.BaseRequest, seconds: float, limit_bytes: int
) -> bytes:
    """Return the body of a request whole, or raise Refusal."""
    if (request.content_length or 0) > limit_bytes:
        raise Refusal(ErrorKind.BODY_TOO_LARGE, 413, "the body is too long")
    pieces: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(seconds):
            while piece := await request.content.readany():
                pieces.append(piece)
                size += len(piece)
                if size > limit_bytes:
                    raise Refusal(ErrorKind.BODY_TOO_LARGE, 413, "the body is too long")
    except TimeoutError as error:
        reason = "the body did not end before the deadline"
        raise Refusal(ErrorKind.SLOW_SENDER, 408, reason) from error
    except (aiohttp.ClientError, web.RequestPayloadError) as error:
        reason = "the body broke off"
        raise Refusal(ErrorKind.BAD_REQUEST, 400, reason) from error
    return b"".join(pieces)


def answer_response(exchange: Exchange) -> web.Response:
    """Return a backend server's answer for the caller."""
    assert exchange.headers is not None
    dropped = HOP_BY_HOP_HEADERS | connection_headers(exchange.headers)
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in exchange.headers.items():
        if name.lower() not in dropped and name.lower() != "content-length":
            headers.add(name, value)
    return web.Response(
        status=exchange.status,
        reason=exchange.reason,
        headers=headers,
        body=exchange.body,
    )
