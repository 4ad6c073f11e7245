"""Measure how long a client session's connections take."""

import asyncio
from types import SimpleNamespace
from typing import Any

import aiohttp

from greengagepoint.overload.full_link import FULL_LINK_SECONDS, LinkDelay
from greengagepoint.protocols import Clock


def trace_connections(link: LinkDelay, clock: Clock) -> aiohttp.TraceConfig:
    """Return a trace that tells ``link`` of each connection, also of failed ones."""

    async def async_begin(_: Any, context: SimpleNamespace, __: Any) -> None:
        context.began_at = clock.monotonic()

    async def async_end(_: Any, context: SimpleNamespace, __: Any) -> None:
        now = clock.monotonic()
        link.record(now - context.began_at, now)
        context.began_at = None

    async def async_fail(
        _: Any,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestExceptionParams,
    ) -> None:
        began_at = getattr(context, "began_at", None)
        if began_at is None:
            return
        now = clock.monotonic()
        given_up = isinstance(params.exception, asyncio.CancelledError)
        if given_up and now - began_at < FULL_LINK_SECONDS:
            # A caller has left. On a full link the connection would have taken longer;
            # taken for a quick one, it would make the link look free.
            return
        link.record(now - began_at, now)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(async_begin)
    trace.on_connection_create_end.append(async_end)
    trace.on_request_exception.append(async_fail)
    return trace
