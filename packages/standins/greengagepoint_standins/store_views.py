"""Show and change the control state of the stand-in store."""

import msgspec
from aiohttp import web

from greengagepoint_standins.server import json_answer, update_control
from greengagepoint_standins.store_gateway import StoreGateway
from greengagepoint_standins.store_state import CompactedError


class RestoreRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Name the revision to go back to."""

    revision: int


class StoreViews:
    """Answer calls below ``/control``; they are not counted."""

    def __init__(self, gateway: StoreGateway) -> None:
        self.gateway = gateway

    async def show_control(self, request: web.Request) -> web.Response:
        """Show the control state, the counts and the revision."""
        gateway = self.gateway
        shown = msgspec.to_builtins(gateway.control)
        shown["counts"] = dict(gateway.counts)
        shown["revision"] = gateway.state.revision
        shown["open_watches"] = len(gateway.watches.transports)
        return json_answer(shown)

    async def change_control(self, request: web.Request) -> web.Response:
        """Change fields of the control state."""
        update_control(self.gateway.control, await request.read())
        self.gateway.set_down(self.gateway.control.down)
        return await self.show_control(request)

    async def change_restore(self, request: web.Request) -> web.Response:
        """Go back to an old revision, as a restored backup does."""
        try:
            wanted = msgspec.json.decode(await request.read(), type=RestoreRequest)
            self.gateway.restore(wanted.revision)
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        except CompactedError as error:
            raise web.HTTPBadRequest(text="the revision is not kept") from error
        return await self.show_control(request)

    async def change_leases(self, request: web.Request) -> web.Response:
        """Expire all leases now."""
        self.gateway.expire_leases()
        return await self.show_control(request)
