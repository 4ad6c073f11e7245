"""Measure how long a client session's connections take."""

from types import SimpleNamespace
from typing import Any

import aiohttp

from greengagepoint.overload.full_link import LinkDelay
from greengagepoint.protocols import Clock


def trace_connections(link: LinkDelay, clock: Clock) -> aiohttp.TraceConfig:
    """Return a trace that tells ``link`` of each connection, also of failed ones."""

    async def async_begin(_: Any, context: SimpleNamespace, __: Any) -> None:
        context.began_at = clock.monotonic()

    async def async_end(_: Any, context: SimpleNamespace, __: Any) -> None:
        began_at = getattr(context, "began_at", None)
        if began_at is not None:
            now = clock.monotonic()
            link.note(now - began_at, now)
            context.began_at = None

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(async_begin)
    trace.on_connection_create_end.append(async_end)
    # A connection that is refused or given up tells as much about the link.
    trace.on_request_exception.append(async_end)
    return trace
