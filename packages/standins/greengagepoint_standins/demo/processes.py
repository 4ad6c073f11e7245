"""Start, watch and end the demo's processes."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Final

START_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.05
DAEMON: Final = Path(sys.executable).parent / "greengagepointd"
CLIENT: Final = Path(sys.executable).parent / "greengagepoint"
STARTED_EVENT: Final = 1001


class DemoError(Exception):
    """Stop the demo because a process did not do what it must."""


class Child:
    """One process that the demo started; its output goes to a file."""

    def __init__(self, name: str, log: Path) -> None:
        self.name = name
        self.log = log
        self.process: asyncio.subprocess.Process

    async def async_start(
        self, *command: str | Path, environment: dict[str, str]
    ) -> None:
        """Start the process."""
        with self.log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | environment,
            )

    async def async_wait_for_line(self, field: str, value: object = None) -> dict:
        """Return the first JSON line that has a field (with a value)."""
        async with asyncio.timeout(START_SECONDS):
            while True:
                for line in self.log.read_text(errors="replace").splitlines():
                    row = _decode(line)
                    if field in row and value in (None, row[field]):
                        return row
                if self.process.returncode is not None:
                    raise DemoError(f"{self.name} ended early; see {self.log.name}")
                await asyncio.sleep(POLL_SECONDS)

    async def async_end(self, number: signal.Signals, seconds: float) -> int:
        """Send a signal and wait for the end; kill after ``seconds``."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        try:
            return await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
            raise DemoError(f"{self.name} did not end in {seconds} seconds") from None


class Processes:
    """All processes of one demo."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.children: list[Child] = []
        directory.mkdir(parents=True, exist_ok=True)

    async def async_stand_in(self, name: str, *arguments: str) -> list[str]:
        """Start a stand-in process; return the addresses it serves."""
        child = Child(name, self.directory / f"{name}.log")
        self.children.append(child)
        module = "greengagepoint_standins"
        await child.async_start(
            sys.executable, "-m", module, *arguments, environment={}
        )
        row = await child.async_wait_for_line("addresses")
        return row["addresses"]

    async def async_daemon(self, name: str, environment: dict[str, str]) -> Child:
        """Start a daemon; its addresses are in the line of its start event."""
        child = Child(name, self.directory / f"{name}.log")
        self.children.append(child)
        await child.async_start(DAEMON, environment=environment)
        return child

    async def async_client(
        self, *arguments: str, environment: dict[str, str]
    ) -> tuple[int, str]:
        """Run the operators' client; return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            CLIENT,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=os.environ | environment,
        )
        output, _nothing = await process.communicate()
        return process.returncode or 0, output.decode(errors="replace")

    async def async_end_all(self) -> None:
        """End every process that still runs."""
        for child in reversed(self.children):
            if child.process.returncode is None:
                child.process.kill()
        await asyncio.gather(*(child.process.wait() for child in self.children))


def _decode(line: str) -> dict:
    """Return a JSON object, or an empty one for any other line."""
    try:
        row = json.loads(line)
    except ValueError:
        return {}
    return row if isinstance(row, dict) else {}
