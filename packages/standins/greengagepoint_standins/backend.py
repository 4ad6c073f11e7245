"""Stand in for backend servers."""

import asyncio
from collections import Counter

from aiohttp import web

from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.backend_server import BackendServer
from greengagepoint_standins.backend_views import BackendViews
from greengagepoint_standins.runs import RunLog
from greengagepoint_standins.server import StandIn, async_serve


class BackendStandIn(StandIn[BackendControl]):
    """A running stand-in backend server."""

    server: BackendServer

    @property
    def log(self) -> RunLog:
        """Return what really ran."""
        return self.server.log

    @property
    def counts(self) -> Counter[str]:
        """Return counts of requests, sheds and connections."""
        return self.server.counts

    def leave(self, leaving: bool = True) -> None:
        """Start or end the drain state."""
        self.server.leave(leaving)


def create_backend_app(server: BackendServer) -> web.Application:
    """Build the application; any path is served."""
    app = web.Application()
    views = BackendViews(server)
    app.router.add_get("/load", views.show_load)
    app.router.add_get("/control", views.show_control)
    app.router.add_post("/control", views.change_control)
    app.router.add_get("/control/runs", views.show_runs)
    app.router.add_route("*", "/{path:.*}", server.async_handle)
    return app


async def async_start_backend(
    port: int = 0,
    control: BackendControl | None = None,
    *,
    name: str = "",
    seed: int = 0,
) -> BackendStandIn:
    """Start a stand-in backend server on a loopback port."""
    control = control or BackendControl()
    clock = asyncio.get_running_loop().time
    server = BackendServer(name, control, clock, seed)
    runner, address = await async_serve(create_backend_app(server), port)
    server.name = name or address
    stand_in = BackendStandIn(control, runner, address)
    stand_in.server = server
    return stand_in
