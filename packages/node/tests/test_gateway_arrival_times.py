"""Check which chunk counts as a request's arrival for any split of the stream."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_gateway_metrics import LIMITS

from greengagepoint_node.gateway.pipelining import create_pipelined_connection
from greengagepoint_node.http.server import ProblemServer

GET = b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
EMPTY = b"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
SIZED = b"POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nsome\r\ntxt"
CHUNKED = (
    b"POST /4 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbody\r\n3\r\nend\r\n0\r\n\r\n"
)
TRAILERS = CHUNKED[:-2] + b"Sum: 1\r\n\r\n"
PARTS = (
    b"POST /5 HTTP/1.1\r\nHost: a\r\nContent-Length: 36\r\n\r\n"
    b"--b\r\nName: x\r\n\r\ntext\r\n--b\r\n\r\n--b--\r\n"
)
UPGRADE = b"GET /6 HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
BLANK = b"\r\n"


class FakeAnswerer:
    """Answer nothing; the clock shows the number of the chunk."""

    def __init__(self):
        self.now = -1.0
        self.clock = self

    def monotonic(self):
        return self.now

    def can_start_early(self, request):
        return False


class FakeTransport(asyncio.Transport):
    """A transport that discards what is written."""

    def close(self):
        pass


async def async_unexpected_request(request):
    raise AssertionError("No request has its turn")


def arrival_times(chunks):
    """Return the arrival times of the requests in some chunks."""

    async def async_receive():
        answerer = FakeAnswerer()
        connection_type = create_pipelined_connection(answerer)
        server = ProblemServer(async_unexpected_request, None, LIMITS, connection_type)
        connection = server()
        connection.connection_made(FakeTransport())
        await asyncio.sleep(0)
        for chunk in chunks:
            answerer.now += 1
            connection.data_received(chunk)
        times = list(connection._messages.times)
        connection.connection_lost(None)
        await asyncio.sleep(0)
        return times

    return asyncio.run(async_receive())


def cut(stream, places):
    """Return the chunks of a stream that is split at some positions."""
    edges = [0, *sorted({place % len(stream) for place in places} - {0}), len(stream)]
    return [stream[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def first_chunks(parts, chunks):
    """Return the number of the chunk that holds the first byte of each request."""
    starts, position = [], 0
    for part in parts:
        if part != BLANK:
            starts.append(position)
        position += len(part)
    found, position = [], 0
    for number, chunk in enumerate(chunks):
        position += len(chunk)
        while len(found) < len(starts) and starts[len(found)] < position:
            found.append(number)
    return found


REQUESTS = [GET, EMPTY, SIZED, CHUNKED, TRAILERS]
CUTS = st.lists(st.integers(0, 800), max_size=12)


@given(st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=6), CUTS)
def test_a_request_counts_from_the_chunk_with_its_first_byte(parts, places):
    chunks = cut(b"".join(parts), places)
    assert arrival_times(chunks) == first_chunks(parts, chunks)


@given(
    st.lists(st.sampled_from([*REQUESTS, PARTS, BLANK]), min_size=1, max_size=6),
    CUTS,
)
def test_a_request_never_counts_from_before_its_first_byte(parts, places):
    # Bodies and blank lines may look like the end of a head. If they counted as the
    # start of a request, the idle time before the next request would count as its time.
    chunks = cut(b"".join(parts), places)
    found, right = arrival_times(chunks), first_chunks(parts, chunks)
    assert len(found) == len(right)
    assert all(one >= other for one, other in zip(found, right, strict=True))


@pytest.mark.parametrize("rest", [b"", BLANK, BLANK + BLANK, b"\r", b"\n"])
@pytest.mark.parametrize("parts", [GET, EMPTY, SIZED, CHUNKED, TRAILERS, PARTS])
def test_line_ends_after_a_request_start_no_request(parts, rest):
    assert arrival_times([parts + BLANK, rest, GET])[1] == 2


def test_bytes_after_an_upgrade_keep_the_order_of_times():
    assert arrival_times([GET, UPGRADE + GET, GET])[:2] == [0, 1]
