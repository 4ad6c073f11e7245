"""Backend servers that answer wrongly, through real sockets."""

import asyncio

import pytest
import pytest_asyncio
from deployment import async_until
from hostile import (
    GOOD,
    async_raw,
    async_raw_deployment,
    forgive,
    held,
    raw_request,
)

from greengagepoint.events import Event

pytestmark = pytest.mark.asyncio(loop_scope="module")
OK = b"HTTP/1.1 200 OK\r\n"
ONCE = b"/s/booking/tickets"


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared():
    async with async_raw_deployment() as running:
        yield running


@pytest.fixture
def target(shared):
    _, daemon, backend, _ = shared
    backend.answer = GOOD
    forgive(daemon)
    daemon.admission.gates.clear()
    backend.requests.clear()
    return daemon, backend


@pytest.mark.parametrize("reused", [False, True])
@pytest.mark.parametrize(
    "method", [b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE", b"POST", b"PATCH"]
)
async def test_a_reset_is_never_sent_again_unseen(target, method, reused) -> None:
    """A server resets the connection of a request that must not run twice.

    The HTTP client would send a PUT or DELETE again by itself, on a new connection
    as on a reused one, and the server would run it twice. The caller is told
    "unknown" and the server has got it once.
    """
    daemon, backend = target

    async def async_reset(head, writer):
        writer.transport.abort()

    if reused:
        await async_raw(daemon, raw_request(ONCE, method=b"POST"))
    backend.requests.clear()
    backend.answer = async_reset
    answer = await async_raw(daemon, raw_request(ONCE, method=method))
    assert (answer.status, len(backend.requests)) == (502, 1)
    assert "Greengagepoint-Ran: unknown" in answer.head


async def test_bytes_on_an_idle_connection_reach_no_other_caller(target) -> None:
    """A server answers once more, after its answer, on the now idle connection.

    The next request on that connection would take the second answer for its own, and
    a driver would get another's booking. The host sees that bytes are there before
    it sends, closes that connection and opens another.
    """
    daemon, backend = target
    sent = asyncio.Event()

    async def async_twice(head, writer):
        writer.write(GOOD)
        await asyncio.sleep(0.02)
        writer.write(OK + b"Content-Length: 4\r\n\r\nEVIL")
        sent.set()

    for _ in range(4):
        backend.answer = async_twice
        await async_raw(daemon, raw_request())
        await sent.wait()
        sent.clear()
    await asyncio.sleep(0.02)
    backend.answer = GOOD
    for _ in range(8):
        answer = await async_raw(daemon, raw_request())
        assert answer.raw.endswith(b"\r\n\r\ngood")


CL = b"Content-Length: 4\r\n\r\ngood"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
MALFORMED = {
    "length and chunks": OK + b"Transfer-Encoding: chunked\r\n" + CL,
    "two lengths": OK + b"Content-Length: 5\r\n" + CL,
    "signed length": OK + b"Content-Length: +4\r\n\r\ngood",
    "huge length": OK + b"Content-Length: 99999999999999999999999\r\n\r\ngood",
    "no framing": OK + b"\r\ngood",
    "coded transfer": OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "unknown transfer": OK + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "bad first chunk": OK + CHUNKED + b"zz\r\ngood\r\n0\r\n\r\n",
    "huge header": OK + b"X: " + b"a" * 60_000 + b"\r\n" + CL,
    "many headers": OK + b"X: a\r\n" * 500 + CL,
    "Latin-1 header": OK + b"X: caf\xe9\r\n" + CL,
    "NUL in a header": OK + b"X: a\0b\r\n" + CL,
    "control in a header": OK + b"X: a\x01b\r\n" + CL,
    "control beside UTF-8": OK + b"X: \xc3\xa9\x01b\r\n" + CL,
    "CR in a header": OK + b"X: a\rSet-Cookie: b=1\r\n" + CL,
    "switching protocols": b"HTTP/1.1 101 Switch\r\nUpgrade: websocket\r\n\r\nxx",
    "status too high": b"HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
    "not HTTP": b"\xff\xfe\r\n\r\n",
}


@pytest.mark.parametrize("case", MALFORMED)
async def test_a_malformed_answer_is_one_typed_problem(shared, target, case) -> None:
    """A server's answer cannot be passed on as it is.

    It was sent once and may have run: the caller gets one problem that says
    "unknown", one event tells of it, and nothing of the server's bytes is in it.
    """
    daemon, backend = target
    backend.answer = MALFORMED[case]
    shared.events.clear()
    answer = await async_raw(daemon, raw_request(ONCE, method=b"POST"))
    assert answer.status == 502, answer.raw
    assert answer.problem["kind"] == "backend_protocol"
    assert answer.problem["ran"] == "unknown"
    assert len(backend.requests) == 1
    assert b"127.0.0.1" not in answer.raw
    assert shared.events[Event.REQUEST_FAILED] == 1
    assert not shared.events[Event.INTERNAL_ERROR]


@pytest.mark.parametrize("control", [b"\x01", b"\x7f"])
async def test_a_spoilt_head_costs_no_other_request_its_answer(target, control) -> None:
    # Beside a character outside ASCII, the control character was not seen.
    daemon, backend = target

    async def async_spoil(head, writer):
        is_spoilt = b"tickets/0" in head
        line = b"X: \xc3\xa9" + control + b"\r\n" if is_spoilt else b""
        writer.write(OK + line + CL)

    backend.answer = async_spoil
    kept = [
        raw_request(ONCE + b"/%d" % row, method=b"POST").replace(
            b"Connection: close", b"Accept: */*"
        )
        for row in range(2)
    ]
    answer = await async_raw(daemon, b"".join(kept) + raw_request(ONCE, method=b"POST"))
    statuses = [row[:3] for row in answer.raw.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"502", b"200", b"200"]


async def test_a_cut_small_answer_tells_nothing_of_the_library(target) -> None:
    daemon, backend = target

    async def async_cut(head, writer):
        writer.write(OK + b"Content-Length: 4\r\n\r\ngo")
        writer.close()

    backend.answer = async_cut
    answer = await async_raw(daemon, raw_request(ONCE, method=b"POST"))
    assert answer.problem["kind"] == "backend_reset"
    assert answer.problem["detail"] == "The answer broke off before its end"


@pytest.mark.parametrize("retry_after", [b"\xc2\xb2", b"9" * 5000, b"-1", b"soon"])
async def test_an_odd_retry_after_is_left_out(target, retry_after) -> None:
    daemon, backend = target
    backend.answer = (
        b"HTTP/1.1 503 Shed\r\nGreengagepoint-Ran: not_run\r\n"
        b"Retry-After: " + retry_after + b"\r\nContent-Length: 0\r\n\r\n"
    )
    answer = await async_raw(daemon, raw_request())
    assert (answer.status, answer.problem["kind"]) == (503, "backend_shed")
    assert "Retry-After: 1\r\n" in answer.head + "\r\n"


PASSED_ON = {
    "two cookies": (
        OK + b"Set-Cookie: a=1\r\nSet-Cookie: b=2; Path=/\r\n" + CL,
        ["Set-Cookie: a=1\r\nSet-Cookie: b=2; Path=/"],
        [],
    ),
    "interim answers": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + GOOD,
        ["200 OK"],
        ["Link"],
    ),
    "redirect": (
        b"HTTP/1.1 302 F\r\nLocation: http://x/%0d%0ay\r\nContent-Length: 0\r\n\r\n",
        ["302", "Location: http://x/%0d%0ay"],
        [],
    ),
    "no content": (b"HTTP/1.1 204 No\r\n\r\n", ["204"], ["Content-Length"]),
    "not modified": (b"HTTP/1.1 304 Not\r\nETag: a\r\n\r\n", ["304", "ETag: a"], []),
    "encoded body": (OK + b"Content-Encoding: gzip\r\n" + CL, ["gzip"], []),
    "hop-by-hop headers": (
        OK
        + b"Connection: X-A\r\nConnection: X-B, close\r\nX-A: 1\r\nX-B: 2\r\n"
        + b"Keep-Alive: 5\r\nX-C: 3\r\n"
        + CL,
        ["X-C: 3"],
        ["X-A", "X-B", "Keep-Alive"],
    ),
    "headers of this system": (
        OK
        + b"Greengagepoint-Request-Id: other\r\nGreengagepoint-Host: evil\r\n"
        + b"Greengagepoint-Key: replayed\r\nGreengagepoint-Ran: not_run\r\n"
        + CL,
        ["Greengagepoint-Request-Id: own", "Greengagepoint-Host: attiki-host-0"],
        ["other", "evil", "Greengagepoint-Key", "Greengagepoint-Ran"],
    ),
    "control in the reason": (
        b"HTTP/1.1 200 Odd\x01\r\n" + CL,
        ["HTTP/1.1 200 OK"],
        ["\x01"],
    ),
    "one answer too many": (GOOD + GOOD, ["200"], []),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n" + CL, ["HTTP/1.1 200"], []),
}


@pytest.mark.parametrize("case", PASSED_ON)
async def test_an_unusual_answer_is_passed_on(target, case) -> None:
    daemon, backend = target
    backend.answer, present, absent = PASSED_ON[case]
    request = raw_request(ONCE, b"Greengagepoint-Request-Id: own")
    answer = await async_raw(daemon, request)
    head = answer.head.replace("Etag", "ETag")
    assert [text for text in present if text not in head] == []
    assert [text for text in absent if text in head] == []
    assert answer.raw.count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize("size", [4, 200_000])
async def test_a_bad_chunk_later_on_breaks_the_answer(target, size: int) -> None:
    """The size of a chunk is garbage after part of the body has reached the caller.

    No other answer can be given any more: the caller's connection closes without the
    last chunk, so the part can't be taken for the whole.
    """
    daemon, backend = target

    async def async_chunks(head, writer):
        writer.write(OK + CHUNKED + b"%x\r\n" % size + b"g" * size + b"\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"zz\r\n\r\n")

    backend.answer = async_chunks
    answer = await async_raw(daemon, raw_request(ONCE))
    assert answer.status == 200
    assert not answer.raw.endswith(b"0\r\n\r\n")


async def test_no_place_is_held_after_all_of_this(shared) -> None:
    await async_until(lambda: not held(shared.deployment))
