"""Stand in for the platform's lagging list of hosts."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable

import msgspec
from aiohttp import web

from greengagepoint.protocols import ListedHost
from greengagepoint_standins.server import (
    GARBAGE,
    Down,
    StandIn,
    async_be_down,
    async_serve,
    json_answer,
    update_control,
)


class HostListControl(msgspec.Struct, kw_only=True):
    """What the host list does wrong.

    ``frozen`` keeps serving what was served last; ``garbage_answers`` counts down.
    """

    down: Down = Down.NO
    slow_ms: float = 0.0
    lag_seconds: float = 0.0
    frozen: bool = False
    garbage_answers: int = 0


class HostListServer:
    """Serve the list as it was some seconds ago."""

    def __init__(self, control: HostListControl, clock: Callable[[], float]) -> None:
        self.control = control
        self.clock = clock
        self.hosts: dict[str, ListedHost] = {}
        self.past: deque[tuple[float, tuple[ListedHost, ...]]] = deque()
        self.served: tuple[ListedHost, ...] = ()
        self.counts: Counter[str] = Counter()

    def put(self, host: ListedHost) -> None:
        """Add or replace one host, by name."""
        self.hosts[host.name] = host
        self.sample()

    def remove(self, name: str) -> None:
        """Remove one host."""
        self.hosts.pop(name, None)
        self.sample()

    def mark_leaving(self, name: str, leaving: bool = True) -> None:
        """Mark one host as leaving, or take the mark back."""
        host = self.hosts.get(name)
        if host is not None:
            self.put(host._replace(leaving=leaving))

    def sample(self) -> None:
        """Remember the list of now."""
        self.past.append((self.clock(), tuple(self.hosts.values())))

    def current(self) -> tuple[ListedHost, ...]:
        """Return the list as it was before the lag."""
        if self.control.frozen:
            return self.served
        until = self.clock() - self.control.lag_seconds
        while self.past and self.past[0][0] <= until:
            _, self.served = self.past.popleft()
        return self.served

    async def show_hosts(self, request: web.Request) -> web.Response:
        """Answer with the list."""
        self.counts["reads"] += 1
        await async_be_down(request, self.control)
        if self.control.slow_ms > 0:
            await asyncio.sleep(self.control.slow_ms / 1000)
        if self.control.garbage_answers > 0:
            self.control.garbage_answers -= 1
            return web.Response(body=GARBAGE, content_type="application/json")
        return json_answer([host._asdict() for host in self.current()])

    async def show_control(self, request: web.Request) -> web.Response:
        """Show the control state, the counts and the list without lag."""
        shown = msgspec.to_builtins(self.control)
        hosts = [host._asdict() for host in self.hosts.values()]
        return json_answer(shown | {"counts": dict(self.counts), "hosts": hosts})

    async def change_control(self, request: web.Request) -> web.Response:
        """Change fields of the control state."""
        update_control(self.control, await request.read())
        return await self.show_control(request)

    async def change_hosts(self, request: web.Request) -> web.Response:
        """Put hosts into the list."""
        body = msgspec.json.decode(await request.read(), type=list[HostEntry])
        for entry in body:
            self.put(ListedHost(**msgspec.structs.asdict(entry)))
        return await self.show_control(request)

    async def change_leaving(self, request: web.Request) -> web.Response:
        """Mark one host as leaving; ``?leaving=0`` takes the mark back."""
        leaving = request.query.get("leaving") != "0"
        self.mark_leaving(request.match_info["name"], leaving)
        return await self.show_control(request)

    async def delete_host(self, request: web.Request) -> web.Response:
        """Remove one host."""
        self.remove(request.match_info["name"])
        return await self.show_control(request)


class HostEntry(msgspec.Struct, kw_only=True):
    """One host as it is put into the list."""

    name: str
    address: str
    peer_address: str
    region: str
    zone: str
    leaving: bool = False


class HostListStandIn(StandIn[HostListControl]):
    """A running stand-in host list; ``server`` holds the hosts."""

    server: HostListServer


def create_host_list_app(server: HostListServer) -> web.Application:
    """Build the application with the list and its control."""
    app = web.Application()
    app.router.add_get("/hosts", server.show_hosts)
    app.router.add_get("/control", server.show_control)
    app.router.add_post("/control", server.change_control)
    app.router.add_post("/control/hosts", server.change_hosts)
    app.router.add_post("/control/hosts/{name}/leaving", server.change_leaving)
    app.router.add_delete("/control/hosts/{name}", server.delete_host)
    return app


async def async_start_host_list(
    port: int = 0, control: HostListControl | None = None
) -> HostListStandIn:
    """Start a stand-in host list on a loopback port (0: the kernel picks one)."""
    control = control or HostListControl()
    server = HostListServer(control, asyncio.get_running_loop().time)
    runner, address = await async_serve(create_host_list_app(server), port)
    stand_in = HostListStandIn(control, runner, address)
    stand_in.server = server
    return stand_in
