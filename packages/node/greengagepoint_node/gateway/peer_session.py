"""Create the HTTP sessions to other hosts."""

from typing import Final

import aiohttp

from greengagepoint_node.gateway.listeners import create_socket
from greengagepoint_node.proxy.bounded_connections import (
    TRANSFER_BYTES_MAX,
    BoundedConnector,
)

# Longer than the second between two reports at most.
REPORT_KEEPALIVE_SECONDS: Final = 3.0


def create_peer_session(
    trace: aiohttp.TraceConfig | None = None,
) -> aiohttp.ClientSession:
    """Return the session for exchanges with other hosts.

    Each exchange opens a new connection. After a network partition, kept connections
    may stall forever while new ones work, and each would have to time out before
    updates from its peer arrive again.
    """
    connector = BoundedConnector(
        body_bytes_max=TRANSFER_BYTES_MAX,
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
    """Return the session for reports, which go to one host several times a second.

    It keeps its connection; a stalled one is closed when a report times out.
    """
    connector = BoundedConnector(
        body_bytes_max=TRANSFER_BYTES_MAX,
        limit=0,
        keepalive_timeout=REPORT_KEEPALIVE_SECONDS,
        socket_factory=lambda info: create_socket(*info[:3]),
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )
