"""Check how opened, refused and abandoned connections count for the link delay."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import aiohttp
import pytest

from greengagepoint.overload.full_link import FULL_LINK_SECONDS, SAMPLES_MIN, LinkDelay
from greengagepoint_node.gateway.connect_times import (
    ConnectionCounts,
    trace_connections,
)


class FakeClock:
    now = 10.0

    def monotonic(self):
        return self.now


async def async_connect(trace, clock, seconds, error):
    """Call the trace handlers of one connection attempt."""
    context = SimpleNamespace()
    for begin in trace.on_connection_create_start:
        await begin(None, context, None)
    clock.now += seconds
    if error is None:
        for end in trace.on_connection_create_end:
            await end(None, context, None)
        return
    params = SimpleNamespace(exception=error)
    for failed in trace.on_request_exception:
        await failed(None, context, params)


@pytest.mark.parametrize(
    ("seconds", "error", "full"),
    [
        (0.01, None, False),
        (0.01, aiohttp.ClientError("refused"), False),
        (0.05, asyncio.CancelledError(), True),
        (0.6, asyncio.CancelledError(), True),
        (0.6, aiohttp.ConnectionTimeoutError(), True),
    ],
    ids=["made", "refused", "caller left", "limit", "no answer"],
)
async def test_only_completed_connections_are_counted_as_fast(seconds, error, full):
    # On a saturated link, callers time out and disconnect. If an abandoned connection
    # counted as a fast one, the link would look free and the host would send requests
    # with an outdated view.
    link, clock = LinkDelay(), FakeClock()
    trace = trace_connections(link, clock)
    for _ in range(SAMPLES_MIN):
        await async_connect(trace, clock, 0.3, None)
    assert link.seconds(clock.now) >= FULL_LINK_SECONDS
    await async_connect(trace, clock, seconds, error)
    assert link.is_full(clock.now) is full


async def test_a_failure_after_connecting_is_not_counted_again():
    link, clock = LinkDelay(), FakeClock()
    trace = trace_connections(link, clock)
    context = SimpleNamespace()
    params = SimpleNamespace(exception=aiohttp.ClientError("reset"))
    for step in (trace.on_connection_create_start, trace.on_connection_create_end):
        for handler in step:
            await handler(None, context, None)
    for handler in trace.on_request_exception:
        await handler(None, context, params)
    assert len(link.samples) == 1


@pytest.mark.parametrize(
    ("error", "outcomes", "made_at"),
    [
        (None, {("made",): 1}, 10.5),
        (aiohttp.ConnectionTimeoutError(), {("failed",): 1}, None),
        (aiohttp.ClientError("refused"), {("failed",): 1}, None),
        (asyncio.CancelledError(), {}, None),
    ],
    ids=["made", "no answer", "refused", "caller left"],
)
async def test_connections_are_counted_by_outcome(error, outcomes, made_at):
    counts = ConnectionCounts(Counter())
    clock = FakeClock()
    trace = trace_connections(LinkDelay(), clock, counts)
    await async_connect(trace, clock, 0.5, error)
    assert counts.outcomes == outcomes
    assert counts.made_at == made_at
