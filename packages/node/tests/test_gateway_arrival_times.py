"""Which chunk counts as a request's first, however its connection was cut up."""

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


class Work:
    """Answer nothing; the time is the number of the chunk."""

    def __init__(self):
        self.now = -1.0
        self.clock = self

    def monotonic(self):
        return self.now

    def can_start_early(self, request):
        return False


class Connected(asyncio.Transport):
    """A connection on which nothing is written."""

    def close(self):
        pass


async def async_never(request):
    raise AssertionError("No request has its turn")


def times_of(chunks):
    """Return the times of the requests that a connection takes from some chunks."""

    async def async_take():
        work = Work()
        connection_type = create_pipelined_connection(work)
        server = ProblemServer(async_never, None, LIMITS, connection_type)
        connection = server()
        connection.connection_made(Connected())
        await asyncio.sleep(0)
        for chunk in chunks:
            work.now += 1
            connection.data_received(chunk)
        times = list(connection._messages.times)
        connection.connection_lost(None)
        await asyncio.sleep(0)
        return times

    return asyncio.run(async_take())


def cut(stream, places):
    """Return the pieces of a stream that is cut at some places."""
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
PLACES = st.lists(st.integers(0, 800), max_size=12)


@given(st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=6), PLACES)
def test_a_request_counts_from_the_chunk_with_its_first_byte(parts, places):
    chunks = cut(b"".join(parts), places)
    assert times_of(chunks) == first_chunks(parts, chunks)


@given(
    st.lists(st.sampled_from([*REQUESTS, PARTS, BLANK]), min_size=1, max_size=6),
    PLACES,
)
def test_a_request_never_counts_from_before_its_first_byte(parts, places):
    # Bodies and blank lines may look like the end of a head. Taken for the beginning of
    # a request, the pause until the caller's next one would count as that one's time.
    chunks = cut(b"".join(parts), places)
    found, right = times_of(chunks), first_chunks(parts, chunks)
    assert len(found) == len(right)
    assert all(one >= other for one, other in zip(found, right, strict=True))


@pytest.mark.parametrize("rest", [b"", BLANK, BLANK + BLANK, b"\r", b"\n"])
@pytest.mark.parametrize("parts", [GET, EMPTY, SIZED, CHUNKED, TRAILERS, PARTS])
def test_line_ends_behind_a_request_begin_none(parts, rest):
    assert times_of([parts + BLANK, rest, GET])[1] == 2


def test_what_comes_behind_an_upgrade_leaves_the_order_of_times():
    assert times_of([GET, UPGRADE + GET, GET])[:2] == [0, 1]
