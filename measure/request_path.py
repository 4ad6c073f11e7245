"""Measure the processor time of one small request and one look-up in the daemon.

The baselines do the same work with aiohttp alone, in the same run: a pass-through that
reads the body, forwards it and returns the answer, and a handler that returns the bytes
of a look-up's answer. Blocks of requests go to daemon and baseline in turn, so that
a machine that gets busier favours neither. A process's time is read from the kernel
for all its threads, so the daemon's figure holds its ticks and peer links too.
"""

import asyncio
import contextlib
from statistics import median
from typing import Final, NamedTuple

from measure.figure import Figure
from measure.request_path_servers import Deployment, Server, async_deployment
from measure.runner import is_quick

CONNECTIONS: Final = 8
BLOCK_REQUESTS: Final = 400 if is_quick() else 1_200
BLOCKS: Final = 4 if is_quick() else 9
WARM_UP_REQUESTS: Final = 400
KEYED_REQUESTS: Final = 200
KEYED_BLOCKS: Final = 3
PROXIED_LIMIT: Final = 2.0
LOOKUP_LIMIT: Final = 1.3
MICROSECONDS: Final = 1e6
STATUS_OK: Final = b"HTTP/1.1 200 "


class Load(NamedTuple):
    """What is sent to one server, again and again."""

    server: Server
    request: bytes
    keyed: bool = False


class FailedRequestError(Exception):
    """Report an answer that would make the figures wrong."""


async def async_send(load: Load, count: int, first: int) -> None:
    """Send a number of requests one after another over one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", load.server.port)
    with contextlib.closing(writer):
        for number in range(first, first + count):
            request = load.request
            if load.keyed:
                request = request.replace(b"KEY", b"k%d" % number)
            writer.write(request)
            await _async_read_answer(reader)


async def _async_read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return the body of one answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
    body = await reader.readexactly(length)
    if not head.startswith(STATUS_OK):
        raise FailedRequestError((head + body[:500]).decode())
    return body


async def async_block(load: Load, requests: int, first: int = 0) -> float:
    """Return microseconds of the server's processor time for each request."""
    each = requests // CONNECTIONS
    before = load.server.processor_seconds()
    await asyncio.gather(
        *(
            async_send(load, each, first + connection * each)
            for connection in range(CONNECTIONS)
        )
    )
    spent = load.server.processor_seconds() - before
    return spent / (each * CONNECTIONS) * MICROSECONDS


async def async_compare(loads: list[Load]) -> list[float]:
    """Return the median block of each load, run in turn after a warm-up."""
    for load in loads:
        await async_block(load, WARM_UP_REQUESTS)
    blocks: list[list[float]] = [[] for _ in loads]
    for number in range(BLOCKS):
        order = list(zip(loads, blocks, strict=True))
        for load, found in order if number % 2 else reversed(order):
            found.append(await async_block(load, BLOCK_REQUESTS))
    return [median(found) for found in blocks]


async def async_keyed(deployment: Deployment) -> float:
    """Return the cost of a request whose key must be claimed in the store."""
    load = Load(deployment.daemon, deployment.post_request, keyed=True)
    found = [
        await async_block(load, KEYED_REQUESTS, number * KEYED_REQUESTS)
        for number in range(KEYED_BLOCKS)
    ]
    return median(found)


async def async_run() -> list[Figure]:
    """Start the processes and compare."""
    async with async_deployment() as deployment:
        daemon, bare = deployment.daemon, deployment.bare
        proxied, plain, application = await async_compare(
            [
                Load(daemon, deployment.get_request),
                Load(bare.pass_through, deployment.get_request),
                Load(bare.pass_through_application, deployment.get_request),
            ]
        )
        await deployment.async_copy_lookup()
        lookup, handler, low_level = await async_compare(
            [
                Load(daemon, deployment.lookup_request),
                Load(bare.lookup_application, deployment.lookup_request),
                Load(bare.lookup, deployment.lookup_request),
            ]
        )
        keyed = await async_keyed(deployment)
    low, full = "web.Server with the daemon's options", "web.Application"
    return [
        Figure("request path: a small GET", proxied, "us", plain, low),
        Figure("request path: a small GET", proxied, "us", application, full),
        Figure(
            "request path: a small GET over a pass-through",
            proxied / plain,
            "ratio",
            limit=PROXIED_LIMIT,
        ),
        Figure("request path: a look-up", lookup, "us", handler, full),
        Figure("request path: a look-up", lookup, "us", low_level, low),
        Figure(
            "request path: a look-up over a bare handler",
            lookup / handler,
            "ratio",
            limit=LOOKUP_LIMIT,
        ),
        Figure("request path: a POST with a key", keyed, "us", proxied, "a small GET"),
    ]


def run() -> list[Figure]:
    """Return the figures of the request path."""
    return asyncio.run(async_run())
