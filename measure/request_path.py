"""Measure the processor time of one small request and one look-up in the daemon.

The baselines do the same work with aiohttp alone, in the same run: a pass-through that
reads the body, forwards it and returns the answer, and a handler that returns the bytes
of a look-up's answer. Blocks of requests go to daemon and baseline in turn, so that
a machine that gets busier favours neither. A process's time is read from the kernel
for all its threads, so the daemon's figure holds its ticks and peer links too.
"""

import asyncio
import contextlib
import itertools
from statistics import median
from typing import Final, NamedTuple

from measure.figure import Figure
from measure.request_path_servers import Deployment, Server, async_deployment
from measure.runner import is_quick

CONNECTIONS: Final = 8
BLOCK_REQUESTS: Final = 160
BLOCKS: Final = 10 if is_quick() else 15
# Where the kernel puts a process in memory and on a core costs it up to a tenth, for
# as long as it lives; so several runs of all processes are taken together.
DEPLOYMENTS: Final = 1 if is_quick() else 4
WARM_UP_REQUESTS: Final = 400
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


class Client:
    """Connections that are kept open and send one request after another."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.numbers = itertools.count()

    async def async_open(self) -> None:
        """Open the connections and warm the server up."""
        port = self.load.server.port
        for _ in range(CONNECTIONS):
            self.streams.append(await asyncio.open_connection("127.0.0.1", port))
        await self.async_block(WARM_UP_REQUESTS)

    def close(self) -> None:
        """Close the connections."""
        for _reader, writer in self.streams:
            writer.close()

    async def async_block(self, requests: int) -> float:
        """Return microseconds of the server's processor time for each request."""
        each = requests // CONNECTIONS
        before = self.load.server.processor_seconds()
        await asyncio.gather(
            *(self._async_send(reader, writer, each) for reader, writer in self.streams)
        )
        spent = self.load.server.processor_seconds() - before
        return spent / (each * CONNECTIONS) * MICROSECONDS

    async def _async_send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, count: int
    ) -> None:
        """Send requests one after another over one connection."""
        for _ in range(count):
            request = self.load.request
            if self.load.keyed:
                request = request.replace(b"KEY", b"k%d" % next(self.numbers))
            writer.write(request)
            await _async_read_answer(reader)


async def _async_read_answer(reader: asyncio.StreamReader) -> None:
    """Read one answer whole."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0])
    body = await reader.readexactly(length)
    if not head.startswith(STATUS_OK):
        raise FailedRequestError((head + body[:500]).decode())


async def async_compare(loads: list[Load]) -> list[list[float]]:
    """Return the blocks of each load; the n-th blocks of all were run in turn."""
    async with contextlib.AsyncExitStack() as stack:
        clients = [Client(load) for load in loads]
        for client in clients:
            stack.callback(client.close)
            await client.async_open()
        blocks: list[list[float]] = [[] for _ in loads]
        for number in range(BLOCKS):
            order = list(zip(clients, blocks, strict=True))
            for client, found in order if number % 2 else reversed(order):
                found.append(await client.async_block(BLOCK_REQUESTS))
    return blocks


def ratio(own: list[float], baseline: list[float]) -> float:
    """Return the median of the ratios of blocks that ran next to each other.

    A busy machine slows both blocks of a pair, so their ratio is steadier than that
    of the two medians.
    """
    return median(one / other for one, other in zip(own, baseline, strict=True))


async def async_keyed(deployment: Deployment) -> list[float]:
    """Return blocks of requests whose keys must be claimed in the store."""
    load = Load(deployment.daemon, deployment.post_request, keyed=True)
    client = Client(load)
    with contextlib.closing(client):
        await client.async_open()
        return [await client.async_block(BLOCK_REQUESTS) for _ in range(KEYED_BLOCKS)]


class Blocks(NamedTuple):
    """The blocks of one deployment; the n-th ones of a group were run in turn."""

    proxied: list[float]
    pass_through: list[float]
    pass_through_application: list[float]
    lookup: list[float]
    handler_application: list[float]
    handler: list[float]
    keyed: list[float]


async def async_measure() -> Blocks:
    """Start the processes and compare."""
    async with async_deployment() as deployment:
        daemon, bare = deployment.daemon, deployment.bare
        requests = await async_compare(
            [
                Load(daemon, deployment.get_request),
                Load(bare.pass_through, deployment.get_request),
                Load(bare.pass_through_application, deployment.get_request),
            ]
        )
        await deployment.async_copy_lookup()
        lookups = await async_compare(
            [
                Load(daemon, deployment.lookup_request),
                Load(bare.lookup_application, deployment.lookup_request),
                Load(bare.lookup, deployment.lookup_request),
            ]
        )
        return Blocks(*requests, *lookups, await async_keyed(deployment))


async def async_run() -> Blocks:
    """Return the blocks of all deployments together."""
    found = [await async_measure() for _ in range(DEPLOYMENTS)]
    return Blocks(*(sum(lists, []) for lists in zip(*found, strict=True)))


def compare(name: str, own: list[float], other: list[float], baseline: str) -> Figure:
    """Return the figure of one load beside a baseline."""
    return Figure(f"request path: {name}", median(own), "us", median(other), baseline)


def limited(name: str, own: list[float], other: list[float], limit: float) -> Figure:
    """Return the ratio that has a limit."""
    return Figure(f"request path: {name}", ratio(own, other), "ratio", limit=limit)


def run() -> list[Figure]:
    """Return the figures of the request path."""
    blocks = asyncio.run(async_run())
    low, full = "web.Server with the daemon's options", "web.Application"
    get, lookup, post = "a small GET", "a look-up", "a POST with a key"
    return [
        compare(get, blocks.proxied, blocks.pass_through, low),
        compare(get, blocks.proxied, blocks.pass_through_application, full),
        limited(
            "a small GET over a pass-through (web.Server)",
            blocks.proxied,
            blocks.pass_through,
            PROXIED_LIMIT,
        ),
        compare(lookup, blocks.lookup, blocks.handler_application, full),
        compare(lookup, blocks.lookup, blocks.handler, low),
        limited(
            "a look-up over a handler (web.Application)",
            blocks.lookup,
            blocks.handler_application,
            LOOKUP_LIMIT,
        ),
        compare(post, blocks.keyed, blocks.proxied, get),
    ]
