"""Ask other hosts for quota to send to servers with request limits, and issue it."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

import aiohttp
import msgspec
from aiohttp import web

from greengagepoint.backpressure.limit_sharers import limit_sharers
from greengagepoint.backpressure.messages import QuotaAnswer, QuotaRequest
from greengagepoint.backpressure.quota import (
    FAILED_ISSUER_SKIP_SECONDS,
    Grant,
    QuotaIssuer,
    QuotaPool,
    issuers_of,
)
from greengagepoint.events import Event
from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint.protocols import Clock
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.server_signals import ServerSignals
from greengagepoint_node.gateway.store_types import HostEntry

QUOTAS_PATH: Final = "/v1/server-quotas"
# The caller's request waits meanwhile. The round trip between two regions is 40 ms.
ASK_SECONDS: Final = 0.15

encode = msgspec.msgpack.Encoder().encode
decode_request = msgspec.msgpack.Decoder(QuotaRequest).decode
decode_answer = msgspec.msgpack.Decoder(QuotaAnswer).decode


class ServerQuotas:
    """Hold this host's quota for limited servers, and issue quota to its peers."""

    def __init__(
        self,
        own: HostState,
        signals: ServerSignals,
        table: HostTable,
        session: aiohttp.ClientSession,
        clock: Clock,
        events: EventSink,
        transferred: Counter[tuple[str, str]],
        pool: QuotaPool,
        registered: Callable[[], Mapping[str, HostEntry]],
    ) -> None:
        self.own = own
        self.signals = signals
        self.table = table
        self.session = session
        self.clock = clock
        self.events = events
        self.transferred = transferred
        self.pool = pool
        self.registered = registered
        self.issuer = QuotaIssuer(clock.monotonic())
        self.skipped_until: dict[str, float] = {}
        self.asks: dict[Incarnation, asyncio.Task[None]] = {}

    async def async_acquire(self, server: Server) -> None:
        """Ask for quota to send one request to a limited server.

        Requests for the same server wait for one answer. If it brings no quota, they
        go to other servers.
        """
        count = self.pool.count_demand(server.incarnation, self.clock.monotonic())
        key = server.incarnation
        task = self.asks.get(key)
        if task is None:
            task = asyncio.create_task(self._async_ask(server, count))
            self.asks[key] = task
            task.add_done_callback(lambda _: self.asks.pop(key, None))
        # A caller that disconnects must not end the ask that others wait for.
        await asyncio.wait({task})

    async def async_answer(self, request: web.BaseRequest) -> web.Response:
        """Answer a peer that asks for quota."""
        body = await request.read()
        self.transferred["quotas", "received"] += len(body)
        try:
            ask = decode_request(body)
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        answer = encode(self._issue(ask))
        self.transferred["quotas", "sent"] += len(answer)
        return web.Response(body=answer)

    def tick(self) -> None:
        """Drop the state of servers without a limit."""
        limited = list(self.signals.limits.rows)
        self.pool.retain(limited)
        self.issuer.retain(limited)

    def _issue(self, ask: QuotaRequest) -> QuotaAnswer:
        """Return the quota for a peer, or for this host."""
        self.signals.take_limits([ask.notice])
        now = self.clock.monotonic()
        server = ask.notice.server
        limits = self.signals.limits
        if server in limits.rows:
            limit = limits.limit(server)
        else:
            limit = ask.notice.requests_per_second
        if limit is None:
            # A later answer named no limit; the peer will learn that from the server.
            return QuotaAnswer(ask.count, 0, True)
        candidates = issuers_of(server, self._hosts(ask.region))
        is_first = candidates[:1] == [self.own.entry.name]
        grant = self.issuer.grant(server, limit, ask.count, now, is_first=is_first)
        return QuotaAnswer(grant.count, round(grant.retry_seconds * 1000), grant.ready)

    async def _async_ask(self, server: Server, count: int) -> None:
        """Ask the first issuer that answers, and store what it grants."""
        now = self.clock.monotonic()
        if server.incarnation not in self.signals.limits.rows:
            return
        notice = self.signals.limits.notice(server.incarnation, now)
        ask = QuotaRequest(server.region, count, notice)
        hosts = self._hosts(server.region)
        for name in issuers_of(server.incarnation, hosts):
            asked_at = self.clock.monotonic()
            answer = await self._async_answer_of(hosts[name], ask)
            if answer is not None and answer.ready:
                grant = Grant(answer.count, answer.retry_ms / 1000)
                now = self.clock.monotonic()
                self.pool.add(server.incarnation, grant, asked_at, now)
                return

    async def _async_answer_of(
        self, entry: HostEntry, ask: QuotaRequest
    ) -> QuotaAnswer | None:
        """Return a host's answer, or None if it does not answer in time."""
        if entry.name == self.own.entry.name:
            return self._issue(ask)
        if self.skipped_until.get(entry.name, 0.0) > self.clock.monotonic():
            return None
        body = encode(ask)
        self.transferred["quotas", "sent"] += len(body)
        url = f"http://{entry.peer_address}{QUOTAS_PATH}"
        try:
            async with asyncio.timeout(ASK_SECONDS):
                async with self.session.post(url, data=body) as answer:
                    data = await answer.read()
            self.transferred["quotas", "received"] += len(data)
            return decode_answer(data)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            self._skip(entry, type(error).__name__)
            return None

    def _skip(self, entry: HostEntry, detail: str) -> None:
        """Do not ask a host for some time after it failed to answer."""
        until = self.clock.monotonic() + FAILED_ISSUER_SKIP_SECONDS
        self.skipped_until[entry.name] = until
        self.events.record(
            Event.PEER_MESSAGE_DROPPED, address=entry.peer_address, detail=detail
        )

    def _hosts(self, region: str) -> dict[str, HostEntry]:
        """Return the hosts of a server's region that may issue, or all if it has none.

        They include those of the store of which nothing is heard: if each part of a
        split fleet ranked only its own, each would have an issuer of the whole limit.
        """
        heard = {
            state.entry.name: state.entry
            for state in self.table.alive(self.clock.monotonic())
        }
        registered = self.registered()
        names = limit_sharers(heard, registered, self.table.leaving())
        entries = [heard.get(name) or registered[name] for name in names]
        local = [entry for entry in entries if entry.region == region]
        return {entry.name: entry for entry in local or entries}
