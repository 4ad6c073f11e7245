"""Test that the catalogue tells what callers see, and the relay's cut."""

import asyncio
import contextlib
import inspect

import pytest

from greengagepoint_standins.demo.promises import Check
from greengagepoint_standins.experiments import __main__ as command
from greengagepoint_standins.experiments.catalogue import EXPERIMENTS
from greengagepoint_standins.experiments.outcomes import Counts
from greengagepoint_standins.relay import Relay

HELD = Check("held", 1, 0, "")
BROKEN = Check("broken", 1, 1, "")


@pytest.mark.parametrize("name", EXPERIMENTS)
def test_each_experiment_tells_what_callers_see(name: str) -> None:
    """Ask for two to five lines."""
    told = inspect.getdoc(EXPERIMENTS[name].run) or ""
    assert 1 <= sum(bool(line) for line in told.splitlines()) <= 5


@pytest.mark.parametrize(
    ("promises", "expectations", "error", "code"),
    [
        ([HELD], [HELD], "", 0),
        ([HELD, BROKEN], [HELD], "", 1),
        ([HELD], [BROKEN], "", 1),
        ([], [], "a process ended early", 3),
    ],
)
def test_the_exit_code_tells_of_what_broke(
    promises: list[Check], expectations: list[Check], error: str, code: int
) -> None:
    """Never end with 0 when something broke or could not be judged."""
    result = command.Result("one", Counts(0, 0, 0), promises, expectations, error)
    assert result.code == code


async def test_a_cut_relay_resets_and_refuses_until_it_is_opened() -> None:
    """Reach the host through the relay, not while it is cut, and again after it.

    Connections that are open when the relay is cut are reset; new ones are refused.
    """

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(await reader.readexactly(2))
        await writer.drain()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    relay = Relay(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    await relay.async_open()
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
    writer.write(b"hi")
    assert await reader.readexactly(2) == b"hi"
    await relay.async_cut()
    with contextlib.suppress(ConnectionResetError):
        assert await reader.read() == b""
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection("127.0.0.1", relay.port)
    await relay.async_open()
    reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
    writer.write(b"on")
    assert await reader.readexactly(2) == b"on"
    await relay.async_cut()
    server.close()
