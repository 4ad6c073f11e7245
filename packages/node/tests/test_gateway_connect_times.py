"""What connections that are made, refused or given up tell of a host's link."""

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest

from greengagepoint.overload.full_link import FULL_LINK_SECONDS, SAMPLES_MIN, LinkDelay
from greengagepoint_node.gateway.connect_times import trace_connections


class Clock:
    now = 10.0

    def monotonic(self):
        return self.now


async def async_connect(trace, clock, seconds, error):
    """Go through what the client tells of one connection."""
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
async def test_only_connections_that_end_by_themselves_show_a_free_link(
    seconds, error, full
):
    # A host's link is full, and callers who see nothing come of it leave. Taken for a
    # connection that was made as fast, each of them made the link look free, and the
    # host sent the others on news that was too old.
    link, clock = LinkDelay(), Clock()
    trace = trace_connections(link, clock)
    for _ in range(SAMPLES_MIN):
        await async_connect(trace, clock, 0.3, None)
    assert link.seconds(clock.now) >= FULL_LINK_SECONDS
    await async_connect(trace, clock, seconds, error)
    assert link.is_full(clock.now) is full


async def test_a_failure_after_the_connection_was_made_says_nothing_of_it():
    link, clock = LinkDelay(), Clock()
    trace = trace_connections(link, clock)
    context = SimpleNamespace()
    params = SimpleNamespace(exception=aiohttp.ClientError("reset"))
    for step in (trace.on_connection_create_start, trace.on_connection_create_end):
        for handler in step:
            await handler(None, context, None)
    for handler in trace.on_request_exception:
        await handler(None, context, params)
    assert len(link.samples) == 1
