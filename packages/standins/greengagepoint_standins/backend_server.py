"""Serve a stand-in backend server's requests."""

import asyncio
import hashlib
import random
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
from typing import Final
from weakref import WeakSet

import msgspec
from aiohttp import web

from greengagepoint_standins import packs
from greengagepoint_standins.backend_control import PACK_PREFIXES, BackendControl
from greengagepoint_standins.load_report import LoadReport
from greengagepoint_standins.runs import Run, RunLog, RunState
from greengagepoint_standins.server import (
    GARBAGE,
    async_be_down,
    cut,
    json_answer,
)
from greengagepoint_standins.slots import Slots

REQUEST_ID: Final = "Greengagepoint-Request-Id"
DEADLINE: Final = "Greengagepoint-Deadline-Ms"
RAN: Final = "Greengagepoint-Ran"
LOAD: Final = "Greengagepoint-Load"
PREPARED: Final = web.RequestKey("prepared", bool)
KEY: Final = "Idempotency-Key"


class Shed(Exception):
    """Refuse a request before it runs."""


class BackendServer:
    """Run requests in slots, with the faults asked for."""

    def __init__(
        self, name: str, control: BackendControl, clock: Callable[[], float], seed: int
    ) -> None:
        self.name = name
        self.control = control
        self.clock = clock
        self.random = random.Random(seed)
        self.slots = Slots(control)
        self.load = LoadReport(control, self.slots)
        self.log = RunLog()
        self.counts: Counter[str] = Counter()
        self.connections: WeakSet[asyncio.Transport] = WeakSet()
        self.served = 0
        self.leaving_since: float | None = None

    async def async_handle(self, request: web.Request) -> web.StreamResponse:
        """Shed a request, or run it in a slot and answer."""
        self.counts["requests"] += 1
        await async_be_down(request, self.control)
        await self.async_connect(request)
        if self.control.take("next_reset_before_run"):
            cut(request)
            raise web.HTTPServiceUnavailable
        deadline = read_deadline(request, self.clock())
        try:
            await self.async_enter(request, deadline)
        except Shed as shed:
            self.counts["shed"] += 1
            return self.answer({"shed": str(shed)}, status=503, ran="not_run")
        try:
            return await self.async_run(request, deadline)
        finally:
            self.slots.release()
            self.load.sample(self.clock())

    async def async_connect(self, request: web.Request) -> None:
        """Take the time that a new connection costs; refuse one too many."""
        transport = request.transport
        if transport is None or transport in self.connections:
            return
        # The set is weak and may still hold closed connections.
        opened = sum(not known.is_closing() for known in self.connections)
        if opened >= self.control.connections:
            self.counts["connections_refused"] += 1
            cut(request)
            raise web.HTTPServiceUnavailable
        self.connections.add(transport)
        self.counts["connections"] += 1
        await asyncio.sleep(self.control.connection_ms / 1000)

    async def async_enter(self, request: web.Request, deadline: float | None) -> None:
        """Wait for a slot; shed when the queue is full or the deadline too near."""
        if self.control.take("next_shed"):
            raise Shed("asked for")
        if self.slots.is_full:
            raise Shed("queue full")
        run = self.control.mean_seconds(request.path)
        wait = run * self.slots.queued / max(1, self.control.slots)
        if deadline is not None and self.clock() + wait + run > deadline:
            raise Shed("deadline too near")
        try:
            async with asyncio.timeout_at(deadline):
                await self.slots.async_acquire()
        except TimeoutError as error:
            raise Shed("deadline passed in the queue") from error

    async def async_run(
        self, request: web.Request, deadline: float | None
    ) -> web.StreamResponse:
        """Run one request and log how it ended."""
        run = self.start(request)
        ended = RunState.CANCELLED
        try:
            async with asyncio.timeout_at(deadline):
                response = await self.async_work(request)
            ended = RunState.FINISHED
            return response
        except TimeoutError:
            ended = RunState.EXPIRED
            if request.get(PREPARED):
                # A second head in the midst of a body would be read as its bytes.
                cut(request)
            return self.answer({"expired": request.path}, status=504, ran="unknown")
        finally:
            self.end(run, ended)

    def start(self, request: web.Request) -> Run:
        """Log that a request runs from now on."""
        now = self.clock()
        since = self.leaving_since if self.control.leaving else None
        run = Run(
            request_id=request.headers.get(REQUEST_ID, ""),
            key=request.headers.get(KEY, ""),
            method=request.method,
            path=request.path,
            started=now,
            leaving_seconds=None if since is None else now - since,
        )
        self.log.start(run)
        self.load.sample(now)
        return run

    def end(self, run: Run, ended: RunState) -> None:
        """Log how a run has ended; one given up ends after the lag."""
        lag = self.control.cancel_lag_ms / 1000
        if ended is RunState.FINISHED or lag <= 0:
            self.log.end(run, ended, self.clock())
            return
        loop = asyncio.get_running_loop()
        loop.call_later(lag, lambda: self.log.end(run, ended, self.clock()))

    async def async_work(self, request: web.Request) -> web.StreamResponse:
        """Do the work of one run and answer."""
        received = hashlib.sha256()
        size = 0
        async for part in request.content.iter_any():
            received.update(part)
            size += len(part)
        await asyncio.sleep(self.service_seconds(request.path))
        if self.control.take("next_hang"):
            await asyncio.Event().wait()
        if self.control.take("next_reset_after_run"):
            cut(request)
            return web.Response()
        if self.control.take("next_garbage") and request.transport is not None:
            request.transport.write(GARBAGE)
            request.transport.close()
            return web.Response()
        if request.path.startswith(PACK_PREFIXES):
            return await self.async_send_pack(request)
        return await self.async_send_small(request, size, received.hexdigest())

    def service_seconds(self, path: str) -> float:
        """Draw the time of one run, longer while the server is cold."""
        control = self.control
        sigma = control.service_sigma
        drawn = self.random.lognormvariate(-sigma * sigma / 2, sigma) if sigma else 1.0
        left = max(0, control.cold_requests - self.served)
        self.served += 1
        cold = 1.0
        if left:
            cold += (control.cold_factor - 1) * left / control.cold_requests
        return control.mean_seconds(path) * drawn * cold

    async def async_send_small(
        self, request: web.Request, size: int, digest: str
    ) -> web.StreamResponse:
        """Answer with what was received, so that answers can't be confused."""
        answer = {
            "server": self.name,
            "method": request.method,
            "path": request.path_qs,
            "request_id": request.headers.get(REQUEST_ID, ""),
            "idempotency_key": request.headers.get(KEY, ""),
            "received_bytes": size,
            "received_sha256": digest,
        }
        body = msgspec.json.encode(answer)
        if not self.control.take("next_truncate"):
            return self.answer(answer)
        return await self.async_send_part(request, body)

    async def async_send_part(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        """Send half of a body and reset the connection."""
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        cut(request)
        return response

    async def async_send_pack(self, request: web.Request) -> web.StreamResponse:
        """Stream a pack, or the range of it that was asked for."""
        pack = packs.choose(
            request.path,
            read_size(request, self.control.pack_bytes),
            request.headers if self.control.accept_ranges else None,
        )
        headers = self.headers("ran") | pack.headers
        if pack.status == HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE:
            return web.Response(status=pack.status, headers=headers)
        response = web.StreamResponse(status=pack.status, headers=headers)
        response.content_length = pack.stop - pack.start
        request[PREPARED] = True
        await response.prepare(request)
        if request.method != "HEAD":
            await self.async_send_pieces(request, response, pack.start, pack.stop)
        return response

    async def async_send_pieces(
        self, request: web.Request, response: web.StreamResponse, start: int, stop: int
    ) -> None:
        """Send a pack's bytes at the rate asked for, or break off half-way."""
        broken_at = (start + stop) // 2 if self.control.take("next_truncate") else stop
        began = self.clock()
        sent = 0
        for piece in packs.pieces(request.path, start, broken_at):
            sent += len(piece)
            rate = self.control.pack_bytes_per_second
            # Waiting after the last piece would log a run as going on whose
            # caller has all of it.
            if rate > 0:
                await asyncio.sleep(began + sent / rate - self.clock())
            await response.write(piece)
        if broken_at < stop:
            cut(request)

    def headers(self, ran: str) -> dict[str, str]:
        """Build the headers of every answer."""
        if self.control.load_garbage:
            return {RAN: ran, LOAD: "{garbage"}
        load = msgspec.json.encode(self.load.read(self.clock()))
        return {RAN: ran, LOAD: load.decode()}

    def answer(
        self, value: object, status: int = 200, ran: str = "ran"
    ) -> web.StreamResponse:
        """Build a small answer."""
        response = json_answer(value, status)
        response.headers.update(self.headers(ran))
        return response

    def leave(self, leaving: bool) -> None:
        """Start or end the drain state; the load report tells of it."""
        self.control.leaving = leaving
        if not leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = self.clock()
        self.load.sample(self.clock())


def read_size(request: web.Request, default: int) -> int:
    """Return the size of the pack that a request asks for."""
    try:
        return int(request.query.get("bytes", default))
    except ValueError:
        raise web.HTTPBadRequest(text="bytes is not a number") from None


def read_deadline(request: web.Request, now: float) -> float | None:
    """Return when a request's time is over, or None without a deadline."""
    left = request.headers.get(DEADLINE)
    if left is None:
        return None
    try:
        return now + int(left) / 1000
    except ValueError:
        raise web.HTTPBadRequest(text=f"{DEADLINE} is not a number") from None
