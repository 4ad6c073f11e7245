"""Show a stand-in backend server's load and runs, and change its control state."""

import msgspec
from aiohttp import web

from greengagepoint_standins.backend_server import BackendServer
from greengagepoint_standins.server import (
    GARBAGE,
    async_be_down,
    json_answer,
    update_control,
)


class BackendViews:
    """Answer what is asked about a server, as against what it shall run."""

    def __init__(self, server: BackendServer) -> None:
        self.server = server

    async def show_load(self, request: web.Request) -> web.StreamResponse:
        """Report the load."""
        self.server.counts["load_reads"] += 1
        await async_be_down(request, self.server.control)
        if self.server.control.load_garbage:
            return web.Response(body=GARBAGE, content_type="application/json")
        return json_answer(self.server.load.read(self.server.clock()))

    async def show_control(self, request: web.Request) -> web.Response:
        """Show the control state and the counts."""
        shown = msgspec.to_builtins(self.server.control)
        return json_answer(
            shown | {"counts": dict(self.server.counts), "name": self.server.name}
        )

    async def change_control(self, request: web.Request) -> web.Response:
        """Change fields of the control state."""
        update_control(self.server.control, await request.read())
        self.server.leave(self.server.control.leaving)
        return await self.show_control(request)

    async def show_runs(self, request: web.Request) -> web.Response:
        """Show what ran; ``?runs=1`` lists each run."""
        summary = self.server.log.summary(with_runs=request.query.get("runs") == "1")
        return json_answer(
            summary | {"name": self.server.name, "now": self.server.clock()}
        )
