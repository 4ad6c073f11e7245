"""What the request path checks right before and while it sends."""

import asyncio
import posixpath
import re
from urllib.parse import unquote

import pytest
from deployment import async_until
from hostile import (
    GOOD,
    RawAnswer,
    async_raw,
    async_raw_deployment,
    held,
    raw_request,
)
from hypothesis import example, given
from hypothesis import strategies as st

from greengagepoint.balancing.tables import LeavingSource
from greengagepoint.errors import RequestError
from greengagepoint_node.proxy.checks import check_path, plain_path
from greengagepoint_node.proxy.sessions import BackendRequest

ONCE = b"/s/booking/tickets"


async def test_a_permit_that_lapses_while_connecting_sends_nothing(monkeypatch) -> None:
    """A host's unit is on loan, and connecting takes longer than the loan.

    The lender counts the unit as free and another host may use it. The permit is
    looked at right before the first byte: the caller is told "not run", and the
    server never saw the request.
    """
    async with async_raw_deployment() as running:
        _, daemon, backend, _ = running
        acquire = daemon.caps.acquire
        permits = []

        def acquire_short(site, deadline_seconds):
            permit = acquire(site, deadline_seconds)
            permits.append(permit)
            return permit

        send = BackendRequest.send

        async def async_send_late(self, connection):
            # As if the connection had taken until after the permit's end.
            late = max(permit.start_by for permit in permits) + 0.001
            clock = daemon.context.clock
            with monkeypatch.context() as patch:
                patch.setattr(clock, "monotonic", lambda: late)
                return await send(self, connection)

        monkeypatch.setattr(daemon.caps, "acquire", acquire_short)
        monkeypatch.setattr(BackendRequest, "send", async_send_late)
        answer = await async_raw(daemon, raw_request())
        assert (answer.status, answer.problem["ran"]) == (503, "not_run")
        assert backend.requests == []
        monkeypatch.undo()
        answer = await async_raw(daemon, raw_request())
        assert answer.raw.endswith(GOOD[-4:])
        await async_until(lambda: not held(running.deployment))


async def test_a_server_that_is_drained_while_connecting_gets_nothing(monkeypatch):
    """Operators drain a server while a request's connection to it is being made.

    Sent all the same, the request would still be there when the server goes. It has
    not run, so the caller is told so, and where there is another server it goes there.
    """
    async with async_raw_deployment() as running:
        _, daemon, backend, _ = running
        send = BackendRequest.send

        async def async_send_late(self, connection):
            for row in daemon.backends.table.rows.values():
                row.leaving.add(LeavingSource.DRAIN_RECORD)
            return await send(self, connection)

        monkeypatch.setattr(BackendRequest, "send", async_send_late)
        answer = await async_raw(daemon, raw_request())
        assert answer.problem["ran"] == "not_run"
        assert backend.requests == []


@pytest.mark.parametrize(("body", "copies"), [(b"", 2), (b"1\r\nx\r\n0\r\n\r\n", 1)])
async def test_a_body_that_is_read_once_goes_to_one_server(body, copies) -> None:
    """A slow read, whose copies may be hedged, carries a body in chunks.

    Two copies would each send a part of it as if it were the whole, and whichever
    answered first would answer something that nobody asked.
    """
    async with async_raw_deployment() as running:
        _, daemon, backend, _ = running
        answered = asyncio.Event()

        async def async_slow(head, writer):
            if b" /bays" in head:
                await answered.wait()
            writer.write(GOOD)

        await async_raw(daemon, raw_request())
        gate = daemon.admission.gates["booking"]
        gate.hedge_wait_seconds = lambda: 0.0
        gate.may_hedge = lambda elapsed, *, repeatable: repeatable
        backend.requests.clear()
        backend.answer = async_slow
        lines = (b"Transfer-Encoding: chunked",) if body else ()
        request = raw_request(b"/s/booking/bays", *lines, body=body)
        answer = asyncio.ensure_future(async_raw(daemon, request))
        await async_until(lambda: len(backend.requests) >= copies)
        # Others' whole requests pass meanwhile, and a second copy would as well.
        for _ in range(5):
            await async_raw(daemon, raw_request(b"/s/booking/other"))
        answered.set()
        assert (await answer).raw.endswith(b"good")
        sent = [one for one in backend.requests if b" /bays" in one]
        assert len(sent) == copies
        assert all(one.endswith(body) for one in sent)
        await async_until(lambda: not held(running.deployment))


async def test_an_answer_before_the_end_of_the_body_leaves_nothing_behind() -> None:
    """A server answers an upload before it has come whole; its caller sends the rest.

    What is left of the body must not reach the server as the beginning of the next
    request, which comes on the same connection of the caller.
    """
    async with async_raw_deployment() as running:
        _, daemon, backend, _ = running
        backend.reads_bodies = False
        host, port = daemon.identity.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        upload = raw_request(ONCE, b"Content-Length: 200000", method=b"POST")
        writer.write(upload.replace(b"Connection: close\r\n", b"") + b"x" * 1000)
        assert (await reader.readuntil(b"good")).startswith(b"HTTP/1.1 200 ")
        writer.write(b"x" * 199_000 + raw_request())
        assert (await reader.read()).endswith(b"good")
        writer.close()
        assert [sent.split(b" ")[0] for sent in backend.requests] == [b"POST", b"GET"]
        await async_until(lambda: not held(running.deployment))


CUT = {
    "bad chunk": (b"zz\r\n", 408),
    "no more": (b"", 408),
    "too large": (b"f4240\r\n%s\r\n" % (b"x" * 1_000_000), 413),
    "gone": (None, 0),
}


async def test_a_cut_upload_never_looks_whole_to_the_server() -> None:
    """An upload in chunks breaks off while it is passed on.

    The server has got a part. It must not get the last chunk, or it would run half an
    order; its connection closes instead, and the caller is told "unknown".
    """
    async with async_raw_deployment() as running:
        _, daemon, backend, _ = running
        host, port = daemon.identity.address.split(":")
        upload = raw_request(
            ONCE, b"Transfer-Encoding: chunked", method=b"POST", body=b"1\r\na\r\n"
        )
        callers = [await asyncio.open_connection(host, int(port)) for _ in CUT]
        for _, writer in callers:
            writer.write(upload)
        await async_until(lambda: backend.broken == len(CUT))
        told = []
        for (reader, writer), (more, _) in zip(callers, CUT.values(), strict=True):
            if more is None:
                writer.transport.abort()
            else:
                writer.write(more)
                told.append(asyncio.ensure_future(reader.read()))
        answers = [RawAnswer(raw) for raw in await asyncio.gather(*told)]
        statuses = [status for _, status in CUT.values() if status]
        assert [answer.status for answer in answers] == statuses
        assert {answer.problem["ran"] for answer in answers} == {"unknown"}
        await async_until(lambda: not held(running.deployment))
        assert backend.broken == len(CUT)
        assert backend.requests == []


SEGMENTS = st.sampled_from(
    ["", ".", "..", "%2e", "%2E.", ".%2e", "..;a", "...", "a", "a%2f..", "..\\a", "%5c"]
)


@given(st.lists(SEGMENTS, max_size=5))
@example(["..%2f"])
def test_an_accepted_path_means_the_same_once_it_is_resolved(segments) -> None:
    path = "/".join(["a", *segments])
    try:
        check_path(path)
    except RequestError:
        return
    decoded = "/" + unquote(path).replace("\\", "/")
    without_parameters = re.sub(r";[^/]*", "", decoded)
    merged = re.sub("/+", "/", without_parameters).rstrip("/")
    assert posixpath.normpath(merged) == merged


@pytest.mark.parametrize(
    ("path", "plain"),
    [
        ("/pay", "/pay"),
        ("/%70ay", "/pay"),
        ("//pay", "/pay"),
        ("/a%2F%2fpay", "/a/pay"),
        ("\\pay", "/pay"),
    ],
)
def test_the_plain_path_is_what_a_decoding_server_sees(path: str, plain: str) -> None:
    assert plain_path(path) == plain
