"""Measure the connection times of a client session."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any, Final, Protocol

import aiohttp

from greengagepoint.overload.full_link import FULL_LINK_SECONDS, LinkDelay
from greengagepoint.protocols import Clock

MADE: Final = "made"
FAILED: Final = "failed"


class ConnectionObserver(Protocol):
    """Observe the connections of a session; times are monotonic seconds."""

    def record_made(self, now: float) -> None:
        """Record that a connection was made."""

    def record_failed(self, now: float) -> None:
        """Record that a connection could not be made."""

    def note_slow(self) -> None:
        """Record that a connection takes longer than to any region."""


class ConnectionCounts:
    """Count the connections to backend servers; ``made_at`` is that of the last."""

    def __init__(self, outcomes: Counter[tuple[str]]) -> None:
        self.outcomes = outcomes
        self.made_at: float | None = None

    def record_made(self, now: float) -> None:
        """Count a connection that was made."""
        self.outcomes[(MADE,)] += 1
        self.made_at = now

    def record_failed(self, now: float) -> None:
        """Count a connection that could not be made."""
        self.outcomes[(FAILED,)] += 1

    def note_slow(self) -> None:
        """Ignore a slow connection; it is counted once it has ended."""


def trace_connections(
    link: LinkDelay, clock: Clock, observer: ConnectionObserver | None = None
) -> aiohttp.TraceConfig:
    """Return a trace config that reports connection times and failures to ``link``.

    ``observer`` is told of each connection that was made or failed.
    """

    async def async_begin(_: Any, context: SimpleNamespace, __: Any) -> None:
        context.began_at = clock.monotonic()
        if observer is not None:
            loop = asyncio.get_running_loop()
            context.timer = loop.call_later(FULL_LINK_SECONDS, observer.note_slow)

    async def async_end(_: Any, context: SimpleNamespace, __: Any) -> None:
        now = clock.monotonic()
        link.record(now - context.began_at, now)
        attempt = getattr(context, "trace_request_ctx", None)
        if attempt is not None:
            attempt.connected_at = context.began_at
        context.began_at = None
        if observer is not None:
            context.timer.cancel()
            observer.record_made(now)

    async def async_fail(
        _: Any,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestExceptionParams,
    ) -> None:
        began_at = getattr(context, "began_at", None)
        if began_at is None:
            return
        if observer is not None:
            context.timer.cancel()
        now = clock.monotonic()
        abandoned = isinstance(params.exception, asyncio.CancelledError)
        if abandoned and now - began_at < FULL_LINK_SECONDS:
            # The caller disconnected. On a saturated link the connection would have
            # taken longer; counted as a fast one, it would make the link look free.
            return
        link.record(now - began_at, now)
        if observer is not None and not abandoned:
            observer.record_failed(now)

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(async_begin)
    trace.on_connection_create_end.append(async_end)
    trace.on_request_exception.append(async_fail)
    return trace
