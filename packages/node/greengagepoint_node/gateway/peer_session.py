"""The HTTP session towards other hosts."""

from typing import Final

import aiohttp

from greengagepoint_node.gateway.listeners import create_socket

# Reports come at least once a second.
REPORT_KEEPALIVE_SECONDS: Final = 3.0


def create_peer_session(
    trace: aiohttp.TraceConfig | None = None,
) -> aiohttp.ClientSession:
    """Return the session towards other hosts.

    Each exchange opens its connection anew. After a cut, kept connections may stand
    still for good while new ones work, and each would have to time out before news came
    by that peer again.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=True,
        socket_factory=lambda info: create_socket(*info[:3]),
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[trace] if trace is not None else None,
    )


def create_report_session() -> aiohttp.ClientSession:
    """Return the session for messages to one host, several each second.

    Its connection is kept; one that stands still ends with the report that timed out.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=REPORT_KEEPALIVE_SECONDS,
        socket_factory=lambda info: create_socket(*info[:3]),
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )
