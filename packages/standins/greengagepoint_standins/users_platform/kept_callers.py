"""Callers that use a connection until its host closes it."""

import asyncio
import contextlib
import random
import socket
import time
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint_standins.users_platform.backend import BYTES_QUERY
from greengagepoint_standins.users_platform.daemons import HOST, Fleet, Node

DEADLINE_SECONDS: Final = 3.0
ANSWER_SECONDS: Final = 4.0
CONNECT_SECONDS: Final = 1.0
PAUSE_SECONDS: Final = (0.05, 0.5)
PIECE_BYTES: Final = 16_384
# A caller on a slow link keeps most of a large answer in the buffers of its host.
SLOW_BUFFER_BYTES: Final = 4_096
SLOW_PIECE_SECONDS: Final = 0.03
LARGE_BYTES: Final = 600_000
UPLOAD_BYTES: Final = 40_000
UPLOAD_PAUSE_SECONDS: Final = 0.3


class Habit(StrEnum):
    """How a caller sends and reads."""

    PLAIN = "plain"
    FRESH = "fresh"
    PIPELINED = "pipelined"
    SLOW_READER = "slow reader"
    UPLOAD = "upload"


class Ending(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    CLOSED = "closed"
    RESET = "reset"
    TIMED_OUT = "timed out"


class Sent(NamedTuple):
    """One request and how it ended; times are monotonic seconds.

    ``sent_at`` is when its last byte was written, ``begun_at`` when the head of its
    answer came, if it did. ``is_behind`` tells that an answer on its connection was
    still due.
    """

    request_id: str
    host: str
    opened_at: float
    sent_at: float
    ended_at: float
    status: int
    ending: Ending
    begun_at: float | None
    is_behind: bool


class Answer(NamedTuple):
    """A whole answer, and whether the host closes the connection after it."""

    status: int
    closes: bool


class KeptCaller:
    """Send requests on one connection after the other, each to some host."""

    def __init__(
        self, fleet: Fleet, habit: Habit, draw: random.Random, keys: int
    ) -> None:
        self.fleet = fleet
        self.habit = habit
        self.draw = draw
        self.keys = keys
        self.sent: list[Sent] = []
        self.is_stopped = False

    async def async_run(self) -> None:
        """Send until stopped; the last answers are waited for."""
        while not self.is_stopped:
            node = self.draw.choice(self.fleet.nodes)
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    reader, writer = await self._async_connect(node)
            except (OSError, TimeoutError):
                await asyncio.sleep(PAUSE_SECONDS[0])
                continue
            try:
                await self._async_use(node, reader, writer)
            finally:
                writer.transport.abort()
            await asyncio.sleep(self.draw.uniform(*PAUSE_SECONDS))

    async def _async_connect(
        self, node: Node
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to a host."""
        host, _, port = node.listen["front"].rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        limit = 2**16
        if self.habit is Habit.SLOW_READER:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            limit = SLOW_BUFFER_BYTES
        try:
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except BaseException:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=limit)

    async def _async_use(
        self, node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send on a connection until the host closes it or the caller is stopped."""
        opened_at = time.monotonic()
        while not self.is_stopped:
            count = 3 if self.habit is Habit.PIPELINED else 1
            names = [self.fleet.next_id() for _ in range(count)]
            times = []
            with contextlib.suppress(ConnectionError):
                for name in names:
                    await self._async_send(name, writer)
                    times.append(time.monotonic())
            for index, (name, sent_at) in enumerate(zip(names, times, strict=False)):
                row = await self._async_outcome(reader)
                sent = Sent(
                    name,
                    node.name,
                    opened_at,
                    sent_at,
                    time.monotonic(),
                    *row,
                    is_behind=index > 0,
                )
                self.sent.append(sent)
                is_over = self.closes or self.habit is Habit.FRESH
                if sent.ending is not Ending.WHOLE or is_over:
                    self._abandon(node, opened_at, names, times, index + 1)
                    return
            if len(times) < len(names):
                return
            await asyncio.sleep(self.draw.uniform(*PAUSE_SECONDS))

    def _abandon(
        self,
        node: Node,
        opened_at: float,
        names: list[str],
        times: list[float],
        since: int,
    ) -> None:
        """Record the requests that were sent behind the last answer."""
        now = time.monotonic()
        for name, sent_at in list(zip(names, times, strict=False))[since:]:
            self.sent.append(
                Sent(
                    name,
                    node.name,
                    opened_at,
                    sent_at,
                    now,
                    0,
                    Ending.CLOSED,
                    None,
                    True,
                )
            )

    async def _async_send(self, name: str, writer: asyncio.StreamWriter) -> None:
        """Write one request."""
        number = self.draw.randrange(1_000)
        key = self.draw.randrange(self.keys)
        method, target, body = "GET", f"/bays/{number}", b""
        if self.habit is Habit.SLOW_READER:
            target += f"{BYTES_QUERY}{LARGE_BYTES}"
        if self.habit is Habit.UPLOAD:
            method, target, body = "POST", f"/pay/{number}", bytes(UPLOAD_BYTES)
        head = (
            f"{method} {target} HTTP/1.1\r\n"
            f"Host: {HOST}\r\n"
            f"X-Greengagepoint-Request-Id: {name}\r\n"
            f"X-Greengagepoint-Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
            f"Cookie: X-Greengagepoint-Affinity-Key={key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        if method == "GET":
            head = head.replace("Content-Length: 0\r\n", "")
        half = len(body) // 2
        writer.write(head.encode() + body[:half])
        if body:
            await asyncio.sleep(self.draw.uniform(0.0, UPLOAD_PAUSE_SECONDS))
            writer.write(body[half:])
        await writer.drain()

    async def _async_outcome(
        self, reader: asyncio.StreamReader
    ) -> tuple[int, Ending, float | None]:
        """Read one answer; return its status, how it ended and when it began."""
        self.closes = True
        self.begun_status = 0
        self.begun_at: float | None = None
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                answer = await self._async_read(reader)
        except TimeoutError:
            return self.begun_status, Ending.TIMED_OUT, self.begun_at
        except asyncio.IncompleteReadError:
            return self.begun_status, Ending.CLOSED, self.begun_at
        except ConnectionError:
            return self.begun_status, Ending.RESET, self.begun_at
        self.closes = answer.closes
        return answer.status, Ending.WHOLE, self.begun_at

    async def _async_read(self, reader: asyncio.StreamReader) -> Answer:
        """Read one whole answer."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        lines = head.split("\r\n")
        self.begun_status = status = int(lines[0].split(" ")[1])
        self.begun_at = time.monotonic()
        headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        left = int(headers.get("content-length", 0))
        while left:
            piece = await reader.read(min(left, PIECE_BYTES))
            if not piece:
                raise asyncio.IncompleteReadError(head.encode(), None)
            left -= len(piece)
            if self.habit is Habit.SLOW_READER:
                await asyncio.sleep(SLOW_PIECE_SECONDS * len(piece) / PIECE_BYTES)
        return Answer(status, headers.get("connection") == "close")
