"""Answer etcd v3's JSON gateway from the state of the stand-in store."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Final, TypeVar

import msgspec
from aiohttp import web

from greengagepoint_standins import store_messages as messages
from greengagepoint_standins import store_operations as operations
from greengagepoint_standins.server import (
    GARBAGE,
    Down,
    async_be_down,
    cut,
    json_answer,
)
from greengagepoint_standins.store_control import RateLimit, StoreControl
from greengagepoint_standins.store_state import (
    CompactedError,
    LeaseNotFoundError,
    StoreState,
)
from greengagepoint_standins.store_watch import Watches

# A request of 1.5 MiB, the published default limit, is a third longer as base64.
MAX_BODY_BYTES: Final = 2 * 1024 * 1024
LEASE_CHECK_SECONDS: Final = 0.1
OUT_OF_RANGE: Final = (400, 11)
INVALID_ARGUMENT: Final = (400, 3)
NOT_FOUND: Final = (404, 5)
RESOURCE_EXHAUSTED: Final = (429, 8)


class StoreGateway:
    """Answer the gateway's calls from the state, with the faults asked for."""

    def __init__(self, control: StoreControl, clock: Callable[[], float]) -> None:
        self.control = control
        self.clock = clock
        self.state = StoreState()
        self.counts: Counter[str] = Counter()
        self.reads = RateLimit()
        self.writes = RateLimit()
        self.tasks: set[asyncio.Task[web.StreamResponse]] = set()
        self.watches = Watches(self.state, control)

    async def async_call(
        self,
        request: web.Request,
        kind: str,
        run: Callable[[bytes], msgspec.Struct],
        *,
        write: bool = True,
    ) -> web.StreamResponse:
        """Carry out one call to its end, also when its caller has gone away.

        A caller that stops waiting does not take its write back: a slow or paused
        store carries it out later, and that must be seen in tests.
        """
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            return failure(INVALID_ARGUMENT, "etcdserver: request is too large")
        task = asyncio.create_task(
            self.async_execute(request, kind, lambda: run(body), write)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def async_execute(
        self,
        request: web.Request,
        kind: str,
        run: Callable[[], msgspec.Struct],
        write: bool,
    ) -> web.StreamResponse:
        """Count one call, run it and answer, or fail it as the control says."""
        refusal = await self.async_admit(request, kind, write)
        if refusal is not None:
            return refusal
        self.state.expire(self.clock())
        try:
            answer = run()
        except CompactedError:
            text = "etcdserver: mvcc: required revision has been compacted"
            return failure(OUT_OF_RANGE, text)
        except LeaseNotFoundError:
            return failure(NOT_FOUND, "etcdserver: requested lease not found")
        except operations.InvalidRequestError as error:
            return failure(INVALID_ARGUMENT, str(error))
        if write and self.control.lose_replies > 0:
            self.control.lose_replies -= 1
            self.counts["lost_replies"] += 1
            cut(request)
        if self.take_garbage():
            return web.Response(body=GARBAGE, content_type="application/json")
        return json_answer(answer)

    def take_garbage(self) -> bool:
        """Tell whether the next answer must be garbage, and count it down."""
        if self.control.garbage_answers <= 0:
            return False
        self.control.garbage_answers -= 1
        return True

    async def async_admit(
        self, request: web.Request, kind: str, write: bool
    ) -> web.Response | None:
        """Count a call; return an answer if it is over the rate limit."""
        self.counts[kind] += 1
        self.counts["writes" if write else "reads"] += 1
        await async_be_down(request, self.control)
        limit = self.writes if write else self.reads
        control = self.control
        rate = control.writes_per_second if write else control.reads_per_second
        if not limit.take(rate, self.clock()):
            self.counts["rate_limited"] += 1
            return failure(RESOURCE_EXHAUSTED, "etcdserver: too many requests")
        if self.control.slow_ms > 0:
            await asyncio.sleep(self.control.slow_ms / 1000)
            await async_be_down(request, self.control)
        return None

    def read_revision(self) -> int:
        """Return the revision to serve a read from (0: the newest)."""
        if self.control.stale_reads > 0:
            self.control.stale_reads -= 1
            return max(1, self.state.revision - self.control.stale_by)
        return self.control.read_at_revision

    async def range(self, request: web.Request) -> web.StreamResponse:
        """Read keys."""

        def run(body: bytes) -> msgspec.Struct:
            wanted = decode(body, messages.RangeRequest)
            return operations.run_range(self.state, wanted, self.read_revision())

        return await self.async_call(request, "range", run, write=False)

    async def put(self, request: web.Request) -> web.StreamResponse:
        """Write one key."""

        def run(body: bytes) -> msgspec.Struct:
            operation = messages.RequestOperation(
                request_put=decode(body, messages.PutRequest)
            )
            txn = messages.TxnRequest(success=[operation])
            return operations.run_txn(self.state, txn).responses[0].response_put

        return await self.async_call(request, "put", run)

    async def delete_range(self, request: web.Request) -> web.StreamResponse:
        """Delete keys."""

        def run(body: bytes) -> msgspec.Struct:
            operation = messages.RequestOperation(
                request_delete_range=decode(body, messages.DeleteRangeRequest)
            )
            txn = messages.TxnRequest(success=[operation])
            answer = operations.run_txn(self.state, txn).responses[0]
            return answer.response_delete_range

        return await self.async_call(request, "deleterange", run)

    async def txn(self, request: web.Request) -> web.StreamResponse:
        """Run a transaction."""

        def run(body: bytes) -> msgspec.Struct:
            return operations.run_txn(self.state, decode(body, messages.TxnRequest))

        return await self.async_call(request, "txn", run)

    async def lease_grant(self, request: web.Request) -> web.StreamResponse:
        """Create a lease."""

        def run(body: bytes) -> msgspec.Struct:
            wanted = decode(body, messages.LeaseGrantRequest)
            lease = self.state.grant(wanted.ttl, wanted.id, self.clock())
            return self.lease_answer(lease, wanted.ttl)

        return await self.async_call(request, "lease_grant", run)

    async def lease_keepalive(self, request: web.Request) -> web.StreamResponse:
        """Extend a lease; the answer is one line of a stream."""

        def run(body: bytes) -> msgspec.Struct:
            lease = decode(body, messages.LeaseRequest).id
            ttl = self.state.keep(lease, self.clock())
            return messages.Streamed(result=self.lease_answer(lease, ttl))

        return await self.async_call(request, "lease_keepalive", run)

    async def lease_revoke(self, request: web.Request) -> web.StreamResponse:
        """End a lease."""

        def run(body: bytes) -> msgspec.Struct:
            lease = decode(body, messages.LeaseRequest).id
            self.state.revoke(lease)
            return messages.LeaseResponse(header=operations.header(self.state))

        return await self.async_call(request, "lease_revoke", run)

    def lease_answer(self, lease: int, ttl: int) -> messages.LeaseResponse:
        """Build an answer about one lease."""
        return messages.LeaseResponse(
            header=operations.header(self.state),
            id=messages.number(lease),
            ttl=messages.number(ttl),
        )

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream changes; the whole watch counts as one call."""
        wanted = decode(await request.read(), messages.WatchRequest).create_request
        refusal = await self.async_admit(request, "watch", write=False)
        if refusal is not None:
            return refusal
        garbage = self.take_garbage()
        return await self.watches.async_stream(request, wanted, garbage=garbage)

    def set_down(self, down: Down) -> None:
        """Go out of order or in order again; refusing ends the watches too."""
        self.control.down = down
        if down is Down.REFUSE:
            self.watches.cut()

    def restore(self, revision: int) -> None:
        """Restore the state of an old revision and cut all watches."""
        self.state.restore(revision)
        self.watches.cut()

    def expire_leases(self) -> None:
        """End all leases, whatever time they have left."""
        self.state.expire(float("inf"))

    async def async_run_timers(self, app: web.Application) -> AsyncIterator[None]:
        """End leases in time, so that watches see it; at the end drop calls."""
        timer = asyncio.create_task(self.async_check_leases())
        yield
        for task in (timer, *self.tasks):
            task.cancel()

    async def async_check_leases(self) -> None:
        """End leases whenever they have run out."""
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            self.state.expire(self.clock())


MessageT = TypeVar("MessageT")


def decode(body: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode a request; integers may come as decimal strings."""
    try:
        return msgspec.json.decode(body, type=message_type, strict=False)
    except msgspec.DecodeError as error:
        raise operations.InvalidRequestError(str(error)) from error


def failure(status_and_code: tuple[int, int], text: str) -> web.Response:
    """Build the gateway's answer to a failed call."""
    status, code = status_and_code
    return json_answer(
        messages.GatewayError(error=text, code=code, message=text), status
    )
