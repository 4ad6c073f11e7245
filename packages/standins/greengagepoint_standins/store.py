"""Stand in for the platform's key-value service over etcd v3's JSON gateway."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web

from greengagepoint_standins.server import Down, StandIn, async_serve
from greengagepoint_standins.store_control import StoreControl
from greengagepoint_standins.store_gateway import MAX_BODY_BYTES, StoreGateway
from greengagepoint_standins.store_views import StoreViews


def create_store_app(gateway: StoreGateway) -> web.Application:
    """Build the application with the gateway's and the control routes."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    views = StoreViews(gateway)
    routes: dict[str, Callable[[web.Request], Awaitable[web.StreamResponse]]] = {
        "/v3/kv/range": gateway.range,
        "/v3/kv/put": gateway.put,
        "/v3/kv/deleterange": gateway.delete_range,
        "/v3/kv/txn": gateway.txn,
        "/v3/lease/grant": gateway.lease_grant,
        "/v3/lease/keepalive": gateway.lease_keepalive,
        "/v3/lease/revoke": gateway.lease_revoke,
        "/v3/watch": gateway.watch,
        "/control": views.change_control,
        "/control/restore": views.change_restore,
        "/control/expire-leases": views.change_leases,
    }
    for path, handler in routes.items():
        app.router.add_post(path, handler)
    app.router.add_get("/control", views.show_control)
    app.cleanup_ctx.append(gateway.async_run_timers)
    return app


class StoreStandIn(StandIn[StoreControl]):
    """A running stand-in store; ``gateway`` holds its state."""

    gateway: StoreGateway

    @property
    def counts(self) -> Counter[str]:
        """Return the calls so far by kind."""
        return self.gateway.counts

    def set_down(self, down: Down) -> None:
        """Put the store out of order, or in order again."""
        self.gateway.set_down(down)


async def async_start_store(
    port: int = 0, control: StoreControl | None = None
) -> StoreStandIn:
    """Start a stand-in store on a loopback port (0: the kernel picks one)."""
    control = control or StoreControl()
    gateway = StoreGateway(control, asyncio.get_running_loop().time)
    runner, address = await async_serve(create_store_app(gateway), port)
    stand_in = StoreStandIn(control, runner, address)
    stand_in.gateway = gateway
    return stand_in
