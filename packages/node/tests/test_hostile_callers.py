"""Callers and operators that send what they should not, through real sockets."""

import asyncio

import pytest
import pytest_asyncio
from deployment import OPERATOR_KEY, async_until
from hostile import (
    GOOD,
    async_raw,
    async_raw_deployment,
    held,
    raw_request,
)

from greengagepoint.events import Event

pytestmark = pytest.mark.asyncio(loop_scope="module")
CHUNKED = b"Transfer-Encoding: chunked"
BAYS = b"/s/booking/bays"
KEYED = f"Authorization: Bearer {OPERATOR_KEY}".encode()
TOLD = (Event.REQUEST_MALFORMED, Event.REQUEST_REFUSED, Event.RECORD_REFUSED)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def shared():
    async with async_raw_deployment() as running:
        yield running


@pytest.fixture
def target(shared):
    shared.backend.answer = GOOD
    shared.backend.requests.clear()
    return shared


def post(*lines: bytes, body: bytes = b"", path: bytes = BAYS) -> bytes:
    return raw_request(path, *lines, method=b"POST", body=body)


def apply(body: bytes, *lines: bytes) -> bytes:
    length = b"Content-Length: %d" % len(body)
    return post(KEYED, length, *lines, body=body, path=b"/v1/records/apply")


def change(document: bytes, kind: bytes = b"team") -> bytes:
    return b'{"author":"a","changes":[{"kind":"%s","name":"x","document":%s}]}' % (
        kind,
        document,
    )


MALFORMED = {
    "garbage": (b"\x16\x03\x01\x02\x00\x01\xff\xfe\r\n\r\n", 400),
    "long request line": (raw_request(BAYS + b"/" + b"a" * 40_000), 431),
    "long header": (raw_request(BAYS, b"X: " + b"a" * 40_000), 431),
    "many headers": (raw_request(BAYS, *[b"X: 1"] * 200), 431),
    "length and chunks": (post(b"Content-Length: 4", CHUNKED, body=b"0\r\n\r\n"), 400),
    "two lengths": (post(b"Content-Length: 4", b"Content-Length: 5"), 400),
    "same length twice": (post(*[b"Content-Length: 4"] * 2, body=b"abcd"), 400),
    "signed length": (post(b"Content-Length: +4", body=b"abcd"), 400),
    "folded header": (raw_request(BAYS, b"X-A: b\r\n c"), 400),
    "bare line feeds": (b"GET /s/booking/bays HTTP/1.1\nHost: a\n\n", 400),
    "unknown coding": (post(b"Transfer-Encoding: xchunked", body=b"0\r\n\r\n"), 400),
    "two codings": (post(b"Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"), 400),
    "hexadecimal chunk": (post(CHUNKED, body=b"0x1\r\nx\r\n0\r\n\r\n"), 400),
    "line feed in a chunk": (post(CHUNKED, body=b"1;a\nb\r\nx\r\n0\r\n\r\n"), 400),
    "huge chunk": (post(CHUNKED, body=b"f" * 18 + b"\r\nx\r\n"), 400),
    "space before colon": (post(b"Content-Length : 4", body=b"abcd"), 400),
    "NUL in a header": (raw_request(BAYS, b"X: a\0b"), 400),
    "Latin-1 in a header": (raw_request(BAYS, b"X: caf\xe9"), 400),
    "Latin-1 in the path": (raw_request(BAYS + b"/\xe9"), 400),
    "control in the path": (raw_request(BAYS + b"\x01"), 400),
    "two hosts": (raw_request(BAYS, b"Host: other"), 400),
    "two teams": (raw_request(BAYS, b"Greengagepoint-Team: other"), 400),
    "two keys": (post(b"Idempotency-Key: a", b"Idempotency-Key: b"), 400),
    "odd request id": (raw_request(BAYS, b"Greengagepoint-Request-Id: a b"), 400),
    "odd deadline": (raw_request(BAYS, b"Greengagepoint-Deadline-Ms: \xc2\xb2"), 400),
    "no service": (raw_request(b"/s//x"), 404),
    "no slash": (raw_request(b"/s/booking"), 404),
    "line break in the service": (raw_request(b"/s/a%0d%0aX-Evil:1/x"), 404),
    "dot segments": (raw_request(b"/s/booking/../other"), 400),
    "dots to another route": (raw_request(BAYS + b"/../reservations"), 400),
    "encoded dots": (raw_request(BAYS + b"/%2e%2E/reservations"), 400),
    "encoded slash and dots": (raw_request(BAYS + b"/..%2freservations"), 400),
    "dots and backslash": (raw_request(BAYS + b"/..\\reservations"), 400),
    "encoded route": (post(path=b"/s/booking/%72eservations"), 400),
    "doubled slash": (post(path=b"/s/booking//reservations"), 400),
    "upgrade with a body": (
        BAYS.join([b"POST ", b" HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, close\r\n"])
        + b"Upgrade: websocket\r\nContent-Length: 4\r\n\r\nabcd",
        400,
    ),
    "tunnel": (raw_request(b"evil:80", method=b"CONNECT"), 400),
    "all of the server": (raw_request(b"*", method=b"OPTIONS"), 400),
    "HTTP/1.0": (raw_request(version=b"HTTP/1.0"), 400),
    "HTTP/2.0": (raw_request(version=b"HTTP/2.0"), 400),
    "HTTP/0.9": (b"GET /s/booking/bays\r\n\r\n", 400),
    "unknown method": (raw_request(method=b"FOO"), 400),
    "unknown path": (raw_request(b"/v1/nothing"), 400),
    "large length": (post(b"Content-Length: 2000000", body=b"GET / HTTP/1.1\r\n"), 413),
    "missing key": (raw_request(b"/v1/records"), 401),
    "key in Latin-1": (raw_request(b"/v1/records", b"Authorization: Bearer \xe9"), 401),
    "wrong key": (raw_request(b"/v1/records", KEYED + b"x"), 401),
    "endless limit": (raw_request(b"/v1/history?limit=" + b"9" * 5000, KEYED), 400),
    "endless time": (raw_request(b"/v1/timeline?since=" + b"9" * 5000, KEYED), 400),
    "superscript time": (raw_request(b"/v1/timeline?since=%C2%B2", KEYED), 400),
    "unknown event": (raw_request(b"/v1/timeline?kind=%C2%B2", KEYED), 400),
    "look-up of nothing": (raw_request(b"/v1/hosts"), 400),
    "look-up of bytes": (raw_request(b"/v1/hosts?service=%ff%fe"), 404),
    "records not JSON": (apply(b"nothing"), 400),
    "records of a wrong type": (apply(b'{"author":1,"changes":[]}'), 400),
    "records with a lone surrogate": (apply(change(b'{"a":"\\ud800"}')), 400),
    "unknown kind": (apply(change(b"null", b"vault")), 422),
    "unknown field": (
        apply(
            change(
                b'{"kind":"team","name":"x","schema_version":1,'
                b'"fields":{"requests_per_second":1,"burst":1,"colour":"red"}}'
            )
        ),
        422,
    ),
    "newer schema version": (
        apply(change(b'{"kind":"team","name":"x","schema_version":99,"fields":{}}')),
        422,
    ),
    "records too large": (apply(b" " * 1_000_001), 413),
    "chunked records too large": (
        post(
            KEYED,
            CHUNKED,
            path=b"/v1/records/apply",
            body=b"%x\r\n%s\r\n0\r\n\r\n" % (1_000_001, b" " * 1_000_001),
        ),
        413,
    ),
    "deep records": (apply(change(b"[" * 100_000)), 400),
}


@pytest.mark.parametrize("case", MALFORMED)
async def test_bad_input_is_one_problem_and_one_event(target, case) -> None:
    """Someone sends what no caller or operator should.

    It is refused before anything is sent on: one problem that says "not run", one
    numbered event, and no internal error.
    """
    data, status = MALFORMED[case]
    target.events.clear()
    answer = await async_raw(target.daemon, data)
    assert (answer.status, answer.problem["ran"]) == (status, "not_run"), answer.raw
    assert answer.raw.count(b"Greengagepoint-Ran: not_run") == 1
    assert target.backend.requests == []
    assert sum(target.events[event] for event in TOLD) == 1
    assert not target.events[Event.INTERNAL_ERROR]


PASSED_ON = {
    "encoded bytes": (
        raw_request(b"/s/booking/a%2Fb//c%20d%0d%0aX?x=%2f&y=a+b%2B"),
        b"GET /a%2Fb//c%20d%0d%0aX?x=%2f&y=a+b%2B HTTP/1.1\r\n",
    ),
    "another host's name": (
        raw_request(b"http://evil:80/s/booking/bays?x=1"),
        b"GET /bays?x=1 HTTP/1.1\r\n",
    ),
    "headers of one connection": (
        raw_request(BAYS, b"Connection: X-A", b"X-A: 1", b"TE: x", b"X-B: 2"),
        b"X-B: 2\r\n",
    ),
    "UTF-8": (raw_request(BAYS, b"X: caf\xc3\xa9"), b"X: caf\xc3\xa9\r\n"),
    "offered upgrade": (raw_request(BAYS, b"Upgrade: h2c"), b"GET /bays"),
    "no body": (raw_request(method=b"HEAD"), b"HEAD /bays"),
    "options": (raw_request(method=b"OPTIONS"), b"OPTIONS /bays"),
    "chunks": (
        post(CHUNKED, b"Trailer: X-T", body=b"1\r\nx\r\n0\r\nX-T: 1\r\n\r\n"),
        b"\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    ),
    "length named hop-by-hop": (
        post(b"Connection: Content-Length", b"Content-Length: 4", body=b"abcd"),
        b"Content-Length: 4\r\n\r\nabcd",
    ),
}


@pytest.mark.parametrize("case", PASSED_ON)
async def test_an_unusual_request_is_passed_on(target, case) -> None:
    _, daemon, backend, _ = target
    data, sent = PASSED_ON[case]
    answer = await async_raw(daemon, data)
    assert answer.status == 200
    assert len(backend.requests) == 1
    assert sent in backend.requests[0]
    for absent in (b"evil", b"X-A", b"TE: x", b"Upgrade", b"X-T", b"\r\nX?"):
        assert absent not in backend.requests[0]


async def test_an_awaited_invitation_comes_before_the_body(target) -> None:
    """A caller sends its body only after "100 Continue", as for large uploads."""
    _, daemon, backend, _ = target
    host, port = daemon.identity.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    expecting = (b"Expect: 100-continue", b"Content-Length: 4")
    writer.write(post(*expecting))
    assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"abcd")
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert backend.requests[0].endswith(b"\r\n\r\nabcd")


async def test_pipelined_requests_get_their_own_answers_in_order(target) -> None:
    _, daemon, backend, _ = target

    async def async_echo(head, writer):
        body = head.split(b" ")[1]
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)

    backend.answer = async_echo
    requests = [raw_request(BAYS + b"/%d" % number) for number in range(3)]
    piped = b"".join(requests).replace(b"Connection: close\r\n", b"", 2)
    answer = await async_raw(daemon, piped)
    bodies = [part[-7:] for part in answer.raw.split(b"HTTP/1.1 ")[1:]]
    assert bodies == [b"/bays/0", b"/bays/1", b"/bays/2"]


STALLED = {
    b"GET /s/booking/bays HTTP/1.1\r\nHost: a\r\n": b"",
    post(b"Content-Length: 4", body=b"ab"): b"HTTP/1.1 408 ",
    post(b"Content-Length: 70000", body=b"ab"): b"HTTP/1.1 408 ",
    post(CHUNKED, body=b"1\r\na\r\n"): b"HTTP/1.1 408 ",
}


async def test_stalled_senders_disturb_nobody(target) -> None:
    """Callers stop in the middle of their headers or bodies and hold connections.

    Others are answered meanwhile. Once the time for the next part is over each of
    them is told so, or its connection closes, and one event tells of each.
    """
    daemon = target.daemon
    target.events.clear()
    stalled = [asyncio.ensure_future(async_raw(daemon, sent)) for sent in STALLED]
    for _ in range(5):
        answer = await async_raw(daemon, raw_request())
        assert answer.raw.endswith(b"\r\n\r\ngood")
    for answer, told in zip(
        await asyncio.gather(*stalled), STALLED.values(), strict=True
    ):
        assert answer.raw.startswith(told)
    ended = (*TOLD, Event.REQUEST_FAILED)
    assert sum(target.events[event] for event in ended) == len(STALLED)


async def test_a_body_that_trickles_in_ends_at_the_deadline(target) -> None:
    """A caller sends a byte now and then, each in time, and would never end.

    Its deadline bounds the whole body: it is told so and nothing has run.
    """
    host, port = target.daemon.identity.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (b"Content-Length: 60000", b"Greengagepoint-Deadline-Ms: 300")
    writer.write(post(*head))
    answer = asyncio.ensure_future(reader.readline())
    while not answer.done():
        writer.write(b"a")
        await asyncio.wait({answer}, timeout=0.05)
    writer.close()
    assert (await answer).startswith(b"HTTP/1.1 408 ")
    assert target.backend.requests == []


async def test_no_place_is_held_after_all_of_this(shared) -> None:
    await async_until(lambda: not held(shared.deployment))
