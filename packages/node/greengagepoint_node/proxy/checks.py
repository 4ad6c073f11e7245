"""Refuse requests that a backend server could read differently from this host."""

import re
from typing import Final
from urllib.parse import unquote

from aiohttp import HttpVersion11, hdrs, web

from greengagepoint.errors import RequestError
from greengagepoint_node.http.const import (
    HEADER_DEADLINE_MS,
    HEADER_KEY,
    HEADER_REQUEST_ID,
    HEADER_TEAM,
)
from greengagepoint_node.proxy.headers import unsendable_header

SINGLE_HEADERS: Final = (
    HEADER_DEADLINE_MS,
    HEADER_KEY,
    HEADER_REQUEST_ID,
    HEADER_TEAM,
)
DOT_SEGMENTS: Final = frozenset({".", ".."})
SLASHES: Final = re.compile(r"[/\\]+")
CHUNKED: Final = "chunked"
WEBSOCKET: Final = "websocket"


def check_protocol(request: web.BaseRequest) -> None:
    """Raise RequestError where the message can't be passed on as it is."""
    # A body of unknown length can't be sent to an HTTP/1.0 caller so that a cut is
    # seen: it would take a part of a drawing pack for the whole.
    if request.version != HttpVersion11:
        raise RequestError("Requests to services need HTTP/1.1")
    headers = request.headers
    coding = headers.get(hdrs.TRANSFER_ENCODING)
    if coding is not None and coding.lower() != CHUNKED:
        raise RequestError("The only transfer coding accepted is chunked")
    # The library hands over no body after such a header, whatever its length.
    if headers.get(hdrs.UPGRADE, "").lower() == WEBSOCKET:
        raise RequestError("Connections are not upgraded here")
    for name in SINGLE_HEADERS:
        if len(headers.getall(name, ())) > 1:
            raise RequestError(f"{name} may stand only once")
    name = unsendable_header(headers)
    if name is not None:
        raise RequestError(f"The header {name[:50]} is not UTF-8")


def check_path(path: str) -> None:
    """Raise RequestError for dot segments, also encoded ones.

    ``/bays/../pay`` would match the route of ``/bays``, which may be sent twice, and
    run as a payment on a backend server that resolves it.
    """
    if "." not in path and "%" not in path:
        return
    for segment in SLASHES.split(unquote(path)):
        if segment.partition(";")[0] in DOT_SEGMENTS:
            raise RequestError("The path must have no dot segments")


def plain_path(path: str) -> str:
    """Return the path as a backend server that decodes it may see it."""
    if "%" not in path and "//" not in path and "\\" not in path:
        return path
    return SLASHES.sub("/", unquote(path))
