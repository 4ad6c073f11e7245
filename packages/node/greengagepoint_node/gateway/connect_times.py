"""Measure the connection times of a client session."""

import asyncio
from types import SimpleNamespace
from typing import Any

import aiohttp

from greengagepoint.overload.full_link import FULL_LINK_SECONDS, LinkDelay
from greengagepoint.protocols import Clock


def trace_connections(link: LinkDelay, clock: Clock) -> aiohttp.TraceConfig:
    """Return a trace config that reports connection times and failures to ``link``."""

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
        abandoned = isinstance(params.exception, asyncio.CancelledError)
        if abandoned and now - began_at < FULL_LINK_SECONDS:
            # The caller disconnected. On a saturated link the connection would have
            # taken longer; counted as a fast one, it would make the link look free.
            return
        link.record(now - began_at, now)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(async_begin)
    trace.on_connection_create_end.append(async_end)
    trace.on_request_exception.append(async_fail)
    return trace
