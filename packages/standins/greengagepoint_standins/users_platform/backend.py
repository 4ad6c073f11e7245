"""A backend server in the platform's manner, over raw sockets."""

import asyncio
import contextlib
import math
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from enum import StrEnum
from functools import partial
from typing import Final, NamedTuple

from greengagepoint.backpressure.limits import read_limit
from greengagepoint.backpressure.rests import read_rest

LOOPBACK: Final = "127.0.0.1"
SIGNATURE: Final = "3e1b.07.5a2"
BYTES_QUERY: Final = "?bytes="


class Manner(StrEnum):
    """How a server answers."""

    GOOD = "good"
    SHED = "shed"
    TRUNCATED = "truncated"
    RESET = "reset"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed_reset"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    FOREIGN = "foreign"
    TWICE = "twice"
    GARBAGE = "garbage"
    SILENT = "silent"
    FAILED = "failed"
    GOOD_RESET = "good_reset"
    FATAL = "fatal"
    PLAIN = "plain"


class Received(NamedTuple):
    """One request as it came, at ``at`` in monotonic seconds.

    Header names are in lower case.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0


class LimitNamed(NamedTuple):
    """An answer that named a limit, at ``at`` in monotonic seconds."""

    at: float
    request_id: str
    limit: str


class RestAsked(NamedTuple):
    """A rejection that asked a host for so many seconds without requests."""

    at: float
    request_id: str
    seconds: float


class PlatformBackend:
    """One incarnation of a server; ``ran`` are the requests that it began to work on.

    ``load`` is the value of the header with the load report.
    ``limits`` are the values of the header with the request limit, as they are sent;
    ``limit_changes`` are the limits that can be read, and since when each was named.
    ``plain_status`` and ``plain_headers`` are those of answers in the plain manner.
    ``spoil`` changes the heads of answers to targets that end with ``spoilt_path``;
    ``write_raw`` returns the whole answer to such a target, if it is set.
    ``late_answers`` are written where the answer to the next request is expected, and
    ``early_answers`` before the body of a request is read; each is used up by that.
    ``{id}`` in them stands for the id of that request.
    ``leaving_told`` are the times and requests of answers that say that it leaves,
    ``leaving_periods`` the times in which they say so,
    ``rests`` those of rejections with a ``retry_after``.
    """

    def __init__(self, instance: str, *, seconds: float = 0.0) -> None:
        self.instance = instance
        self.seconds = seconds
        self.manner = Manner.GOOD
        self.load = "1,0,4"
        self.leaving = False
        self.leaving_periods: list[tuple[float, float]] = []
        self.retry_after: str | None = None
        # Answered like any other request, whatever instance it names.
        self.health_path = ""
        self.plain_status = "404 Not Found"
        self.plain_headers: tuple[str, ...] = ()
        self.spoilt_path = ""
        self.spoil: Callable[[bytes], bytes] = bytes
        self.write_raw: Callable[[Received], bytes] | None = None
        self.late_answers: list[bytes] = []
        self.early_answers: list[bytes] = []
        self.rests: list[RestAsked] = []
        self.limits: tuple[str, ...] = ()
        self.leaving_told: list[tuple[float, str]] = []
        self.limits_named: list[LimitNamed] = []
        self.limit_changes: list[tuple[float, float | None]] = []
        self.received: list[Received] = []
        self.ran: list[Received] = []
        self.cancelled: list[Received] = []
        self.address = ""
        self.stopped = asyncio.Event()
        self.connections: set[asyncio.StreamWriter] = set()

    async def async_start(self, listening: socket.socket | None = None) -> None:
        """Listen on loopback, or on a socket that listens already."""
        if listening is None:
            listening = socket.create_server((LOOPBACK, 0))
        self.server = await asyncio.start_server(self._async_serve, sock=listening)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def announce_leaving(self, *, leaving: bool) -> None:
        """Say in all answers from now on that it leaves, or be a new incarnation."""
        now = time.monotonic()
        self.leaving = leaving
        if leaving:
            self.leaving_periods.append((now, math.inf))
        else:
            began, _ = self.leaving_periods.pop()
            self.leaving_periods.append((began, now))

    def ask_for_rest(self, seconds: str | None) -> None:
        """Reject requests and ask for so many seconds without any, or serve again."""
        self.manner = Manner.SHED if seconds is not None else Manner.GOOD
        self.retry_after = seconds

    def name_limit(self, *texts: str) -> None:
        """Name a limit in all answers from now on, or none."""
        self.limits = texts
        limit = read_limit(texts)
        if not texts or limit is not None:
            self.limit_changes.append((time.monotonic(), limit))

    async def async_stop(self) -> None:
        """Stop listening."""
        self.server.close()
        self.stopped.set()

    async def async_crash(self) -> None:
        """Stop listening and reset all connections."""
        await self.async_stop()
        for writer in list(self.connections):
            writer.transport.abort()

    async def async_start_again(
        self, *, same_address: bool = True
    ) -> "PlatformBackend":
        """Return a new run under the same id; this one gets no new connections.

        The newer run takes over the socket for the same address, so that no other
        process gets its port meanwhile.
        """
        newer = type(self)(self.instance, seconds=self.seconds)
        listening = self.server.sockets[0].dup() if same_address else None
        self.server.close()
        await newer.async_start(listening)
        return newer

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        self.connections.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await _async_read(reader, partial(self._write_early, writer))
                self.received.append(request)
                if self.late_answers:
                    writer.write(_with_id(self.late_answers.pop(0), request))
                    await writer.drain()
                if not await self._async_answer(request, reader, writer):
                    break
        self.connections.discard(writer)
        writer.close()

    async def _async_answer(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; tell whether the connection goes on."""
        target = request.headers.get("x-greengagepoint-target-instance", self.instance)
        if target != self.instance and request.target != self.health_path:
            writer.write(self.head(request, "421 Misdirected Request", 0, signed=False))
            return True
        if self.manner is Manner.SHED:
            head = self.head(request, "503 Service Unavailable", 0, signed=False)
            writer.write(head[:-2] + self._shed_lines(request))
            return True
        self.ran.append(request)
        if self.seconds and not await self._async_work(request, reader):
            return False
        if self.write_raw is not None and self._is_spoilt(request):
            writer.write(self.write_raw(request))
            await writer.drain()
            return True
        answer = ANSWERS.get(self.manner, _async_good)
        return await answer(self, request, writer)

    def _write_early(self, writer: asyncio.StreamWriter, request: Received) -> None:
        """Write an answer to a request whose body has not been read."""
        if self.early_answers:
            writer.write(_with_id(self.early_answers.pop(0), request))

    async def _async_work(
        self, request: Received, reader: asyncio.StreamReader
    ) -> bool:
        """Work for a while; stop when the connection closes."""
        closed = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({closed}, timeout=self.seconds)
        if done and not closed.result():
            self.cancelled.append(request)
            return False
        closed.cancel()
        # Until it has ended, nothing else may read from the connection.
        await asyncio.wait({closed})
        return True

    def head(
        self, request: Received, status: str, length: int | None, *, signed: bool = True
    ) -> bytes:
        """Return the status line and headers of an answer."""
        lines = [f"HTTP/1.1 {status}"]
        lines.append(f"X-Greengagepoint-Request-Id: {request_id(request)}")
        lines.append(f"X-Greengagepoint-Backend-Load: {self.load}")
        if signed:
            lines.append(f"X-Greengagepoint-Response-Signature: {SIGNATURE}")
        if length is not None:
            lines.append(f"Content-Length: {length}")
        lines += self._limit_lines(request)
        if self.leaving:
            self.leaving_told.append((time.monotonic(), request_id(request)))
            lines.append("Server-Leaving: 1")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        return self.spoil(head) if self._is_spoilt(request) else head

    def _is_spoilt(self, request: Received) -> bool:
        """Return True if the answer to a request is spoilt."""
        return bool(self.spoilt_path) and request.target.endswith(self.spoilt_path)

    def _shed_lines(self, request: Received) -> bytes:
        """Return the last headers of a rejection, and keep when it asked for rest."""
        lines = "X-Greengagepoint-Not-Executed: 1\r\n"
        if self.retry_after is not None:
            seconds = read_rest(self.retry_after) or 0.0
            rest = RestAsked(time.monotonic(), request_id(request), seconds)
            self.rests.append(rest)
            lines += f"Retry-After: {self.retry_after}\r\n"
        return f"{lines}\r\n".encode()

    def _limit_lines(self, request: Received) -> list[str]:
        """Return the headers with the request limit, and keep when it was named."""
        now = time.monotonic()
        for limit in self.limits:
            self.limits_named.append(LimitNamed(now, request_id(request), limit))
        return [f"Server-Limit: {limit}" for limit in self.limits]


Answer = Callable[[PlatformBackend, Received, asyncio.StreamWriter], Awaitable[bool]]


def request_id(request: Received) -> str:
    """Return the id of a request."""
    return request.headers.get("x-greengagepoint-request-id", "")


def body_of(backend: PlatformBackend, request: Received) -> bytes:
    """Return the whole body of the answer; a target may ask for so many bytes."""
    _, _, size = request.target.partition(BYTES_QUERY)
    text = f"{backend.instance} {request.target}".encode()
    return text.ljust(int(size or 0), b".")


async def _async_good(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer well."""
    body = body_of(backend, request)
    writer.write(backend.head(request, "200 OK", len(body)) + body)
    await writer.drain()
    return True


async def _async_truncated(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Break off within the body."""
    body = body_of(backend, request)
    writer.write(backend.head(request, "200 OK", len(body)) + body[:3])
    await writer.drain()
    return False


async def _async_reset(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Reset before the first byte."""
    writer.transport.abort()
    return False


async def _async_unframed(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer without a length; the end of the connection is that of the body."""
    body = body_of(backend, request)
    writer.write(backend.head(request, "200 OK", None) + body)
    await writer.drain()
    return False


async def _async_unframed_reset(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Break off an answer without a length by a reset."""
    writer.write(backend.head(request, "200 OK", None) + b"i-")
    await writer.drain()
    await _async_reset_soon(writer)
    return False


async def _async_good_reset(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer well in two pieces, and reset the connection while it is idle."""
    body = body_of(backend, request)
    writer.write(backend.head(request, "200 OK", len(body)))
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.write(body)
    await writer.drain()
    await _async_reset_soon(writer)
    return False


async def _async_reset_soon(writer: asyncio.StreamWriter) -> None:
    """Reset a connection once the peer has had time to read what was written."""
    await asyncio.sleep(0.05)
    linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _async_unsigned(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer without a signature."""
    writer.write(backend.head(request, "200 OK", 2, signed=False) + b"ok")
    await writer.drain()
    return True


async def _async_encoded(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer with an encoding that nobody asked for."""
    head = backend.head(request, "200 OK", 2)
    writer.write(head[:-2] + b"Content-Encoding: gzip\r\n\r\nok")
    await writer.drain()
    return True


async def _async_foreign(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer for another request."""
    other = request._replace(headers={"x-greengagepoint-request-id": "another"})
    return await _async_good(backend, other, writer)


async def _async_twice(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer twice."""
    await _async_good(backend, request, writer)
    return await _async_good(backend, request, writer)


async def _async_garbage(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Send bytes that are no answer."""
    writer.write(b"\x00\x01 no answer\r\n\r\n")
    await writer.drain()
    return False


async def _async_silent(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Never answer."""
    await backend.stopped.wait()
    return False


async def _async_failed(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Fail after having run."""
    writer.write(backend.head(request, "500 Internal Server Error", 0))
    await writer.drain()
    return True


async def _async_plain(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer with a status and headers of its own after having run, unsigned."""
    head = backend.head(request, backend.plain_status, 2, signed=False)
    lines = "".join(f"{line}\r\n" for line in backend.plain_headers)
    writer.write(head[:-2] + lines.encode() + b"\r\nno")
    await writer.drain()
    return True


async def _async_fatal(
    backend: PlatformBackend, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """End with the request."""
    await backend.async_crash()
    return False


ANSWERS: Final[dict[Manner, Answer]] = {
    Manner.TRUNCATED: _async_truncated,
    Manner.RESET: _async_reset,
    Manner.UNFRAMED: _async_unframed,
    Manner.UNFRAMED_RESET: _async_unframed_reset,
    Manner.UNSIGNED: _async_unsigned,
    Manner.ENCODED: _async_encoded,
    Manner.FOREIGN: _async_foreign,
    Manner.TWICE: _async_twice,
    Manner.GARBAGE: _async_garbage,
    Manner.SILENT: _async_silent,
    Manner.FAILED: _async_failed,
    Manner.GOOD_RESET: _async_good_reset,
    Manner.FATAL: _async_fatal,
    Manner.PLAIN: _async_plain,
}


def _with_id(answer: bytes, request: Received) -> bytes:
    """Return an answer with the id of a request where it is wanted."""
    return answer.replace(b"{id}", request_id(request).encode())


async def _async_read(
    reader: asyncio.StreamReader, on_head: Callable[[Received], None]
) -> Received:
    """Read one request; call ``on_head`` before its body is read."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    on_head(Received(method, target, headers, b"", time.monotonic()))
    body = await reader.readexactly(length) if length else b""
    return Received(method, target, headers, body, time.monotonic())
