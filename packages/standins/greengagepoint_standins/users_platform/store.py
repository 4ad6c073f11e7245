"""The platform's store over HTTP."""

import asyncio
import contextlib
import weakref
from typing import Any, Final

import msgspec
from aiohttp import web

from greengagepoint_standins.users_platform.store_items import Control, StoreItems

LOOPBACK: Final = "127.0.0.1"
PAGE_ITEMS: Final = 500
TRANSACTION_ENTRIES_MAX: Final = 32
EXPIRY_SECONDS: Final = 0.1
READ_ONLY_PREFIXES: Final = ("op/", "servers/")


class PlatformStore:
    """One running store; ``control`` puts it out of order."""

    def __init__(self) -> None:
        self.control = Control()
        self.items = StoreItems()
        self.address = ""
        self.transports: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self.silent: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self.app = web.Application(middlewares=[self._async_guard])
        self.app.add_routes(
            [
                web.get("/api/kv-key", self._async_key),
                web.get("/api/kv-range", self._async_range),
                web.get("/api/kv-watch", self._async_watch),
                web.post("/api/kv-txn", self._async_transaction),
                web.post("/api/kv-lease", self._async_lease),
                web.post("/api/kv-keep/{lease}", self._async_keep),
                web.delete("/api/kv-lease-end/{lease}", self._async_end),
            ]
        )
        self.runner = web.AppRunner(self.app, shutdown_timeout=0.1)

    async def async_start(self) -> None:
        """Listen on loopback."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, LOOPBACK, 0)
        await site.start()
        host, port = site._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.expiry = asyncio.create_task(self._async_expire())

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        self.expiry.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.expiry
        await self.runner.cleanup()

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open; new ones work."""
        self.silent.update(self.transports)

    async def _async_expire(self) -> None:
        """End leases in time, but not while the store is down."""
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            if not (self.control.status or self.control.hangs):
                self.items.expire()

    @web.middleware
    async def _async_guard(self, request: web.Request, handler: Any) -> web.Response:
        """Answer as an outage would, if there is one."""
        self.control.calls += 1
        self.transports.add(request.transport)
        if self.control.hangs or request.transport in self.silent:
            await asyncio.sleep(3600)
        if self.control.status:
            return web.Response(status=self.control.status)
        answer = await handler(request)
        if request.transport in self.silent:
            await asyncio.sleep(3600)
        answer.headers["Store-Era"] = str(self.items.era)
        if self.control.lost_writes and request.method != "GET":
            request.transport.abort()
        return answer

    async def _async_key(self, request: web.Request) -> web.Response:
        """Return one item."""
        item = self.items.items.get(request.query["key"])
        if item is None:
            return _json({"at": self.items.revision}, 404)
        return _json({**item._asdict(), "at": self.items.revision})

    async def _async_range(self, request: web.Request) -> web.Response:
        """Return a page of items."""
        await asyncio.sleep(self.control.page_seconds)
        prefix = request.query.get("pathPrefix", "")
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self.items.items if key.startswith(prefix) and key > after
        )
        page = [self.items.items[key]._asdict() for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return _json({"items": page, "truncated": truncated, "at": self.items.revision})

    async def _async_watch(self, request: web.Request) -> web.Response:
        """Return changes, waiting for one."""
        after = int(request.query["after"])
        prefix = request.query.get("pathPrefix", "")
        wait_seconds = int(request.query["waitMs"]) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while self.control.silent_watches or not self._has_news(after, prefix):
                    await self.items.changed.wait()
        if not self.items.kept_after <= after <= self.items.revision:
            return _json({"at": self.items.revision}, 410)
        if self.control.silent_watches:
            return _json({"events": [], "at": after})
        events = self.items.after(after, prefix)
        return _json({"events": events, "at": self.items.revision})

    def _has_news(self, after: int, prefix: str) -> bool:
        """Tell whether a watch has to be answered."""
        if not self.items.kept_after <= after <= self.items.revision:
            return True
        return bool(self.items.after(after, prefix))

    async def _async_transaction(self, request: web.Request) -> web.Response:
        """Write all or nothing."""
        body = msgspec.json.decode(await request.read())
        conditions = body.get("expectedRev", [])
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        if len(conditions) + len(puts) + len(deletes) > TRANSACTION_ENTRIES_MAX:
            return _json({"error": "too many entries"}, 400)
        keys = [put["key"] for put in puts] + deletes
        if any(key.startswith(READ_ONLY_PREFIXES) for key in keys):
            return _json({"error": "forbidden"}, 403)
        if any(self._revision(row["key"]) != row["revision"] for row in conditions):
            return _json({"items": []}, 412)
        leases = [put.get("lease", 0) for put in puts]
        if any(lease and lease not in self.items.leases for lease in leases):
            return _json({"error": "no such lease"}, 404)
        lost = self.control.lost_prefix
        for put in puts:
            if lost is not None and put["key"].startswith(lost):
                continue
            self.items.put(put["key"], put["value"], put.get("lease", 0))
        for key in deletes:
            self.items.remove(key)
        return _json({"revision": self.items.revision})

    def _revision(self, key: str) -> int:
        """Return the revision of a key, 0 where it does not exist."""
        item = self.items.items.get(key)
        return item.revision if item else 0

    async def _async_lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        seconds = msgspec.json.decode(await request.read())["ttlS_time"]
        return _json({"lease": self.items.grant(seconds), "ttlS_time": seconds})

    async def _async_keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        lasted = self.items.renew(int(request.match_info["lease"]))
        return _json({"ttlS_time": 3}, 200 if lasted else 404)

    async def _async_end(self, request: web.Request) -> web.Response:
        """End a lease."""
        lasted = self.items.end(int(request.match_info["lease"]))
        return _json({}, 200 if lasted else 404)


def _json(document: Any, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type="application/json",
    )
