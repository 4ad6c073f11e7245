"""Run stand-ins as processes of their own."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated, Any

import msgspec
import typer

from greengagepoint_standins.backend import async_start_backend
from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.host_list import HostListControl, async_start_host_list
from greengagepoint_standins.server import StandIn
from greengagepoint_standins.store import async_start_store
from greengagepoint_standins.store_control import StoreControl

app = typer.Typer(no_args_is_help=True, add_completion=False)

Port = Annotated[int, typer.Option(help="Port on loopback; 0: the kernel picks one.")]
Control = Annotated[str, typer.Option(help="JSON object of control fields.")]


async def async_run(
    start: Callable[[], Awaitable[Sequence[StandIn[Any]]]],
) -> None:
    """Start stand-ins, print their addresses and serve until told to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    stand_ins = await start()
    addresses = [stand_in.address for stand_in in stand_ins]
    print(msgspec.json.encode({"addresses": addresses}).decode(), flush=True)
    await stop.wait()
    await asyncio.gather(*(stand_in.async_stop() for stand_in in stand_ins))


def read_control(text: str, control_type: type[msgspec.Struct]) -> Any:
    """Decode control fields given on the command line."""
    try:
        return msgspec.json.decode(text, type=control_type)
    except msgspec.DecodeError as error:
        raise typer.BadParameter(str(error)) from error


@app.command()
def store(port: Port = 0, control: Control = "{}") -> None:
    """Run the key-value service."""

    async def async_start() -> Sequence[StandIn[Any]]:
        return [await async_start_store(port, read_control(control, StoreControl))]

    asyncio.run(async_run(async_start))


@app.command()
def host_list(port: Port = 0, control: Control = "{}") -> None:
    """Run the host list."""

    async def async_start() -> Sequence[StandIn[Any]]:
        wanted = read_control(control, HostListControl)
        return [await async_start_host_list(port, wanted)]

    asyncio.run(async_run(async_start))


@app.command()
def backends(
    count: Annotated[int, typer.Option(min=1, help="How many servers.")] = 1,
    port: Annotated[
        list[int] | None, typer.Option(help="Ports; else the kernel picks them.")
    ] = None,
    control: Control = "{}",
    seed: Annotated[int, typer.Option(help="Seed of the service times.")] = 0,
) -> None:
    """Run several backend servers in one process."""
    ports = port or [0] * count

    async def async_start() -> Sequence[StandIn[Any]]:
        return [
            await async_start_backend(
                wanted, read_control(control, BackendControl), seed=seed + index
            )
            for index, wanted in enumerate(ports)
        ]

    asyncio.run(async_run(async_start))


if __name__ == "__main__":
    app()
