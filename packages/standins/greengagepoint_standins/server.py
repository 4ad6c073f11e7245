"""Run one stand-in as an HTTP server on loopback."""

import asyncio
from enum import StrEnum
from typing import Any, Final, Generic, Protocol, TypeVar

import msgspec
from aiohttp import web

LOOPBACK: Final = "127.0.0.1"
GARBAGE: Final = b'{"header":{"revision":"\xff\xfe not json'
SHUTDOWN_SECONDS: Final = 0.1
HANG_CHECK_SECONDS: Final = 0.02


class Down(StrEnum):
    """How a stand-in is out of order."""

    NO = "no"
    REFUSE = "refuse"
    HANG = "hang"


class Faults(Protocol):
    """Any control state that can put its stand-in out of order."""

    down: Down


ControlT = TypeVar("ControlT", bound=msgspec.Struct)


class StandIn(Generic[ControlT]):
    """A running stand-in; ``control`` may be changed while it runs."""

    def __init__(self, control: ControlT, runner: web.AppRunner, address: str) -> None:
        self.control = control
        self.runner = runner
        self.address = address

    async def async_refuse(self) -> None:
        """Close the port and reset all connections, as a dead process does."""
        for site in list(self.runner.sites):
            await site.stop()
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def async_accept(self) -> None:
        """Listen again on the same port."""
        port = int(self.address.rpartition(":")[2])
        await web.TCPSite(self.runner, LOOPBACK, port).start()

    async def async_stop(self) -> None:
        """Close the port and all connections."""
        await self.runner.cleanup()


async def async_serve(app: web.Application, port: int) -> tuple[web.AppRunner, str]:
    """Listen on a loopback port; return the runner and the bound address."""
    # Handlers end when their connection closes, so that a watch or a run whose
    # caller went away does not go on unseen.
    runner = web.AppRunner(
        app,
        handler_cancellation=True,
        access_log=None,
        shutdown_timeout=SHUTDOWN_SECONDS,
    )
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port).start()
    bound = runner.addresses[0][1]
    return runner, f"{LOOPBACK}:{bound}"


def update_control(control: msgspec.Struct, body: bytes) -> None:
    """Set the fields that a JSON object names; refuse unknown ones."""
    try:
        wanted = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    unknown = wanted.keys() - set(control.__struct_fields__)
    if unknown:
        raise web.HTTPBadRequest(text=f"unknown fields: {sorted(unknown)}")
    merged = msgspec.to_builtins(control) | wanted
    try:
        checked = msgspec.convert(merged, type(control))
    except msgspec.ValidationError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    for name in wanted:
        setattr(control, name, getattr(checked, name))


def json_answer(value: Any, status: int = 200) -> web.Response:
    """Encode an answer."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )


def cut(request: web.Request) -> None:
    """Reset the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


async def async_hang(faults: Faults) -> None:
    """Wait while told to hang; the field is plain, so it is looked at in turns."""
    while faults.down is Down.HANG:  # noqa: ASYNC110
        await asyncio.sleep(HANG_CHECK_SECONDS)


async def async_be_down(request: web.Request, faults: Faults) -> None:
    """Reset the connection or wait for as long as told; return when in order.

    What has waited goes on when the stand-in is in order again, as calls do that
    reached a process before it was paused.
    """
    await async_hang(faults)
    if faults.down is Down.REFUSE:
        cut(request)
        raise web.HTTPServiceUnavailable
