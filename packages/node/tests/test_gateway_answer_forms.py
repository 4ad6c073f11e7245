"""What callers get for each form of a server's answer, over real sockets."""

import asyncio
import contextlib
from typing import NamedTuple
from unittest.mock import Mock

import pytest
from cut_links import Cut, async_fleet
from gateway_world import NAMES, async_environment
from hypothesis import given, settings
from hypothesis import strategies as st
from raw_caller import async_connection, request

from greengagepoint.events import Event
from greengagepoint_node.gateway import relay
from greengagepoint_node.gateway.exchange import Verdict
from greengagepoint_node.gateway.names import RELAY_RESULT
from greengagepoint_node.gateway.relay import DONE
from greengagepoint_standins.users_platform.backend import SIGNATURE, request_id

ANSWER_REJECTED = Event.ANSWER_REJECTED
NOT_WRITTEN = Event.ANSWER_NOT_WRITTEN
SPOILT_PATH = "/0"
SECONDS = 3.0
BODILESS = (204, 304)
BODY = b"good"
CHUNKS = b"4\r\ngood\r\n0\r\n\r\n"
LENGTH = b"Content-Length: 4"
CHUNKED = b"Transfer-Encoding: chunked"
PATHS = {"GET": "/safe/", "POST": "/unsafe/"}


class Answer(NamedTuple):
    """An answer as its caller got it."""

    start: bytes
    fields: list[bytes]
    body: bytes

    @property
    def status(self):
        return int(self.start.split(b" ")[1])

    def values(self, name):
        """Return the values of a header field."""
        rows = [row.partition(b": ") for row in self.fields]
        return [value for key, _, value in rows if key.lower() == name.lower().encode()]


async def async_read(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    start, *fields = head[:-4].split(b"\r\n")
    answer = Answer(start, fields, b"")
    assert not answer.values("Transfer-Encoding")
    if answer.status in BODILESS:
        return answer
    (length,) = answer.values("Content-Length")
    return answer._replace(body=await reader.readexactly(int(length)))


async def async_call_three(env, method="POST"):
    """Return the answers to three requests at once; the first one is spoilt."""
    numbers = (0, 1, 2)
    async with async_connection(env) as (reader, writer):
        writer.write(b"".join(request(row, method, PATHS[method]) for row in numbers))
        async with asyncio.timeout(SECONDS):
            answers = [await async_read(reader) for _ in numbers]
    for number, answer in enumerate(answers):
        assert answer.values(NAMES.request_id) == [f"id-{number}".encode()]
    for number, answer in enumerate(answers[1:], 1):
        if answers[0].status == 504 and answer.status == 503:
            # Waiting for its turn has used up its time.
            assert answer.body == b"no time was left to send the request\n"
            continue
        assert answer.status == 200
        assert answer.body.endswith(f" {PATHS[method]}{number}".encode())
    return answers


def answer_raw(env, status, fields, body):
    """Let servers answer the spoilt path with these bytes."""

    def write(received):
        own = [
            f"{NAMES.request_id}: {request_id(received)}".encode(),
            f"{NAMES.signature}: {SIGNATURE}".encode(),
        ]
        return b"\r\n".join([b"HTTP/1.1 " + status, *own, *fields, b"", body])

    for backend in env.backends:
        backend.spoilt_path = SPOILT_PATH
        backend.write_raw = write


REJECTED = {
    "100 as final": (b"100 Continue", [LENGTH], BODY),
    "101": (b"101 Switching Protocols", [b"Upgrade: h2c"], b""),
    "204 with a body": (b"204 No Content", [LENGTH], BODY),
    "204 with chunks": (b"204 No Content", [CHUNKED], CHUNKS),
    "205 with a body": (b"205 Reset Content", [LENGTH], BODY),
    "304 with a body": (b"304 Not Modified", [LENGTH], BODY),
    "304 with chunks": (b"304 Not Modified", [CHUNKED], CHUNKS),
    "600": (b"600 Odd", [LENGTH], BODY),
    "999": (b"999 Odd", [LENGTH], BODY),
    "1000": (b"1000 Odd", [LENGTH], BODY),
    "99": (b"099 Odd", [LENGTH], BODY),
    "shorter length": (b"200 OK", [b"Content-Length: 2"], BODY),
    "negative length": (b"200 OK", [b"Content-Length: -4"], BODY),
    "two lengths": (b"200 OK", [LENGTH, b"Content-Length: 5"], BODY),
    "length twice": (b"200 OK", [LENGTH, LENGTH], BODY),
    "length and chunks": (b"200 OK", [LENGTH, CHUNKED], CHUNKS),
    "control in a value": (b"200 OK", [LENGTH, b"X-A: a\x01b"], BODY),
    "control beside UTF-8": (b"200 OK", [LENGTH, b"X-A: \xc3\xa9\x01"], BODY),
    "control beside a byte": (b"200 OK", [LENGTH, b"X-A: \xe9\x01"], BODY),
    "control in a cookie": (b"200 OK", [LENGTH, b"Set-Cookie: a=\x7f"], BODY),
    "control in a type": (b"200 OK", [LENGTH, b"Content-Type: a/\x02b"], BODY),
    "empty name": (b"200 OK", [LENGTH, b": a"], BODY),
    "space in a name": (b"200 OK", [LENGTH, b"X A: a"], BODY),
    "encoding": (b"200 OK", [LENGTH, b"Content-Encoding: gzip"], BODY),
}


@pytest.mark.parametrize("form", REJECTED)
async def test_an_answer_that_can_not_be_passed_on_is_one_failure(form):
    async with async_environment() as env:
        answer_raw(env, *REJECTED[form])
        answers = await async_call_three(env)
        assert (answers[0].status, answers[0].body) == (502, b"may have run: broken\n")
        ran = [row.target for backend in env.backends for row in backend.ran]
        assert ran.count("/unsafe/0") == 1
        assert not env.events.of(Event.ANSWER_NOT_WRITTEN)


PASSED_ON = {
    "204": (b"204 No Content", [], b"", []),
    "205": (b"205 Reset Content", [b"Content-Length: 0"], b"", []),
    "304 with a length": (b"304 Not Modified", [LENGTH], b"", []),
    "599": (b"599 Odd", [LENGTH], BODY, []),
    "no reason": (b"200 ", [LENGTH], BODY, []),
    "byte in the reason": (b"200 O\xffK", [LENGTH], BODY, []),
    "byte in a value": (b"200 OK", [LENGTH, b"X-A: caf\xe9"], BODY, [b"caf\xe9"]),
    "UTF-8 in a value": (b"200 OK", [LENGTH, b"X-A: \xc3\xa9"], BODY, [b"\xc3\xa9"]),
    "tab in a value": (b"200 OK", [LENGTH, b"X-A: a\tb"], BODY, [b"a\tb"]),
    "field twice": (b"200 OK", [LENGTH, b"X-A: 1", b"X-A: 2"], BODY, [b"1", b"2"]),
    "names of the host": (b"200 OK", [LENGTH, b"Date: a", b"Server: b"], BODY, []),
    "closing": (b"200 OK", [LENGTH, b"Connection: close"], BODY, []),
    "upgrade": (b"200 OK", [LENGTH, b"Connection: upgrade", b"Upgrade: a"], BODY, []),
    "chunks": (b"200 OK", [CHUNKED], CHUNKS, []),
    "trailers": (b"200 OK", [CHUNKED], CHUNKS[:-2] + b"X-A: a\x01b\r\n\r\n", []),
}


@pytest.mark.parametrize("form", PASSED_ON)
async def test_what_the_standards_allow_is_passed_on_unchanged(form):
    status, fields, body, values = PASSED_ON[form]
    async with async_environment() as env:
        answer_raw(env, status, fields, body)
        answer = (await async_call_three(env))[0]
        assert answer.start == b"HTTP/1.1 " + status
        assert answer.values("X-A") == values
        assert answer.body == (BODY if body else b"")
        assert not answer.values("Connection")
        assert len(answer.values("Date")) == len(answer.values("Server")) == 1


async def test_a_repeatable_request_goes_to_another_server():
    async with async_environment() as env:
        backend = env.backends[0]
        backend.spoilt_path = SPOILT_PATH
        backend.spoil = lambda head: head.replace(b" OK", b" O\x01K", 1)
        for _ in range(4):
            answers = await async_call_three(env, "GET")
            assert answers[0].status == 200
            assert answers[0].body == b"i-1 /safe/0"
        told = env.events.of(Event.ANSWER_REJECTED)
        assert told
        for row in told:
            assert row["request_id"] == "id-0"
            assert row["sender"] == "i-0"
            assert (row["part"], row["character"]) == ("reason", "01")


async def test_a_peer_answers_for_a_server_whose_answer_is_spoilt():
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        for backend in fleet.backends:
            backend.spoilt_path = SPOILT_PATH
            backend.spoil = lambda head: head.replace(b" OK", b" O\x01K", 1)
        fleet.cut(Cut.RESETS, 0)
        while not host.daemon.monitor.is_cut_off:
            await host.async_call("/safe/1")
        answers = await async_call_three(host)
        assert answers[0].status == 502
        told = [row for one in fleet.hosts for row in one.events.of(ANSWER_REJECTED)]
        assert [row["request_id"] for row in told] == ["id-0"]
        assert not [row for one in fleet.hosts for row in one.events.of(NOT_WRITTEN)]


async def test_a_spoilt_answer_of_a_peer_is_rejected():
    answer = Mock(status=200, reason="OK", headers={RELAY_RESULT: DONE, "X": "\x01"})
    outgoing = Mock()
    exchange = await relay._async_read(NAMES, answer, outgoing)
    assert exchange.verdict is Verdict.BROKEN
    assert exchange.fault.where == "X"
    answer.close.assert_called_once()
    outgoing.used.close.assert_called_once()
    answer.read.assert_not_called()


@pytest.fixture(scope="module")
def world():
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()
        environment = async_environment(timeout_seconds=0.3)
        env = runner.run(stack.enter_async_context(environment))
        yield runner, env
        runner.run(stack.aclose())


EDITS = st.lists(
    st.tuples(
        st.integers(0, 250),
        st.integers(0, 3),
        st.one_of(
            st.binary(max_size=4),
            st.sampled_from([b"\r\n", b"\n", b"\r", b": ", b"\x01", b"\x7f", b" "]),
            st.sampled_from([LENGTH, CHUNKED, b"\r\nConnection: close"]),
        ),
    ),
    min_size=1,
    max_size=4,
)


def edit(head, edits):
    """Return a head with some of its bytes replaced."""
    for place, removed, added in edits:
        place %= len(head)
        head = head[:place] + added + head[place + removed :]
    return head


@settings(max_examples=80, deadline=None)
@given(edits=EDITS, method=st.sampled_from(["GET", "POST"]))
def test_any_bytes_in_a_head_spoil_one_answer_at_most(world, edits, method):
    runner, env = world
    env.events.rows.clear()
    for backend in env.backends:
        backend.spoilt_path = SPOILT_PATH
        backend.spoil = lambda head: edit(head, edits)
    runner.run(async_call_three(env, method))
    assert not env.events.of(Event.ANSWER_NOT_WRITTEN)
