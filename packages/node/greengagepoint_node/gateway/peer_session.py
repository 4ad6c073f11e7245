"""The HTTP session towards other hosts."""

import aiohttp

from greengagepoint_node.gateway.listeners import create_socket


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
