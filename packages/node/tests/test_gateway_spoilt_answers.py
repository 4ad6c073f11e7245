"""A server spoils the head of one of three answers on a caller's connection."""

import asyncio
from typing import NamedTuple

import pytest
from gateway_world import NAMES, async_environment

from greengagepoint.events import Event

CONTROL_CHARACTERS = (0x01, 0x07, 0x0B, 0x1B, 0x7F)
ANSWER_SECONDS = 3.0
SPOILT_PATH = "/0"


class Answer(NamedTuple):
    """An answer as its caller got it."""

    status: int
    request_id: str
    body: bytes


async def async_read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    request_id = headers.get(NAMES.request_id.lower(), "")
    return Answer(int(first.split(" ")[1]), request_id, body)


async def async_call_at_once(env, method, paths):
    """Send requests on one connection at once; return the answers that came."""
    host, _, port = env.daemon.settings.front_address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answers = []
    try:
        for path in paths:
            head = [f"{method} {path} HTTP/1.1"]
            head += [f"{name}: {value}" for name, value in env.headers().items()]
            head.append("Content-Length: 0" if method == "POST" else "Accept: */*")
            writer.write("\r\n".join([*head, "", ""]).encode())
        async with asyncio.timeout(ANSWER_SECONDS):
            for _ in paths:
                answers.append(await async_read_answer(reader))
    except (asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        writer.close()
    return answers


def spoil(env, old, new):
    """Let servers spoil the heads of answers to one path."""
    for backend in env.backends:
        backend.spoilt_path = SPOILT_PATH
        backend.spoil = lambda head: head.replace(old, new, 1)


def header_value(byte):
    return b"\r\n\r\n", b"\r\nX-Note: a" + bytes([byte]) + b"b\r\n\r\n"


def reason_phrase(byte):
    return b" 200 OK", b" 200 O" + bytes([byte]) + b"K"


@pytest.mark.parametrize("place", [header_value, reason_phrase])
@pytest.mark.parametrize("byte", CONTROL_CHARACTERS)
@pytest.mark.parametrize(("method", "route"), [("GET", "/safe"), ("POST", "/unsafe")])
async def test_a_control_character_in_a_head_leaves_no_request_unanswered(
    method, route, byte, place
):
    # The answer that could not be written ended the connection of its caller.
    async with async_environment() as env:
        spoil(env, *place(byte))
        answers = await async_call_at_once(
            env, method, [f"{route}{SPOILT_PATH}", f"{route}/1", f"{route}/2"]
        )
        assert [answer.status for answer in answers] == [502, 200, 200]
        assert [answer.request_id for answer in answers] == ["id-1", "id-2", "id-3"]
        assert [answer.body for answer in answers[1:]] == [
            f"{backend.instance} {request.target}".encode()
            for number in (1, 2)
            for backend in env.backends
            for request in backend.ran
            if request.target == f"{route}/{number}"
        ]
        assert not env.events.of(Event.ANSWER_NOT_WRITTEN)
