"""Run the demo: start everything, load it, drain it, break it, and report."""

import asyncio
import contextlib
import shutil
import time
from pathlib import Path
from typing import Annotated, Final

import msgspec
import typer

from greengagepoint_standins.demo import report
from greengagepoint_standins.demo.deployments import (
    DEPLOYMENTS,
    REPOSITORY,
    Deployment,
)
from greengagepoint_standins.demo.fleet import OPERATOR_KEY, Fleet, Host
from greengagepoint_standins.demo.load import Callers, Load
from greengagepoint_standins.demo.places import read_places, write_records
from greengagepoint_standins.demo.processes import DemoError
from greengagepoint_standins.demo.promises import Evidence, InForce, Run, check_all

STEADY_SECONDS: Final = 8.0
LOST_SECONDS: Final = 12.0
SETTLE_SECONDS: Final = 3.0
BURST_REQUESTS: Final = 400
BURST_DEADLINE_MS: Final = 3000
# Groups of callers in a region; each has a cache of look-ups of its own.
CALLER_GROUPS: Final = 4
EXIT_BROKEN: Final = 1
EXIT_FAILED: Final = 3
# Addresses of each region's callers, as the callers records have them.
CALLER_ADDRESSES: Final = ("10.1.0.1", "10.2.0.1", "10.3.0.1")


def say(text: str) -> None:
    """Show progress."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


class Demo:
    """One run of the demo."""

    def __init__(self, deployment: Deployment, directory: Path) -> None:
        self.deployment = deployment
        self.directory = directory
        self.fleet = Fleet(deployment, directory)
        self.in_force: list[InForce] = []
        self.drained: dict[str, float] = {}
        self.drain_rows: list[tuple[str, float, str]] = []
        self.stop_window = (0.0, 0.0)
        self.stopped_host = ""
        self.load: Load

    async def async_run(self) -> bool:
        """Run all steps; tell whether every promise held."""
        await self._async_start()
        watching = asyncio.create_task(self.fleet.async_watch())
        loading = asyncio.create_task(self.load.async_run())
        try:
            await self._async_steps()
        finally:
            self.load.stopped = True
            watching.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watching
        await loading
        say("waiting for the last requests")
        await self.load.async_finish()
        return await self._async_report()

    async def async_keep(self) -> None:
        """Leave everything running until the demo is interrupted."""
        host = next(one for one in self.fleet.hosts if one.alive)
        say("still running; stop with Ctrl-C. For the client:")
        print(f"  export GREENGAGEPOINT_SERVER=http://{host.address}")
        print(f"  export GREENGAGEPOINT_OPERATOR_KEY={OPERATOR_KEY}", flush=True)
        await asyncio.Event().wait()

    async def _async_start(self) -> None:
        """Start all processes and put the records in force."""
        fleet = self.fleet
        say(f"{self.deployment.name}: starting the platform's stand-ins")
        await fleet.async_start_platform()
        say("starting the daemons")
        await fleet.async_start_hosts()
        records = self.directory / "records"
        write_records(
            self.deployment.records,
            records,
            [pair[1] for pair in fleet.servers],
            {self._shift_target(): self.deployment.shift_cap},
        )
        fleet.places = read_places(records)
        say("writing the steering records")
        await fleet.async_client("validate", str(records))
        await self._async_write("apply", str(records))
        await fleet.async_wait_ready()
        say(f"{len(fleet.hosts)} hosts and {len(fleet.servers)} backend servers serve")
        self.load = Load(self.deployment, self._callers())

    def _callers(self) -> list[Callers]:
        """Return the callers of each region."""
        callers = []
        pairs = zip(self.fleet.places.zones, CALLER_ADDRESSES, strict=True)
        for seed, (region, address) in enumerate(pairs):
            near = [one.address for one in self.fleet.hosts if one.region == region]
            far = [one.address for one in self.fleet.hosts if one.region != region]
            callers += [
                Callers(region, address, [*near, *far], seed * CALLER_GROUPS + group)
                for group in range(CALLER_GROUPS)
            ]
        return callers

    async def _async_write(self, *arguments: str) -> str:
        """Run a client command that writes; time until it is in force everywhere."""
        output = await self.fleet.async_client(*arguments)
        started = time.monotonic()
        self.in_force.append(await self.fleet.async_time_in_force(started))
        return output

    async def _async_steps(self) -> None:
        """Load the fleet, then drain, shift, stop and break it."""
        rate = self.deployment.requests_per_second
        say(f"mixed load of {rate:.0f} requests a second")
        await asyncio.sleep(STEADY_SECONDS)
        await self._async_drain_backend_server()
        await self._async_shift()
        await self._async_burst()
        await self._async_stop_host()
        await self._async_lose_region()

    async def _async_drain_backend_server(self) -> None:
        """Drain one backend server as planned."""
        name = self.deployment.drained_backend_server
        say(f"draining the backend server {name}")
        started = time.monotonic()
        await self._async_write("drain", "backend-server", name)
        self.drained[name] = time.monotonic()
        await self._async_until_drained(name)
        seconds = time.monotonic() - started
        self.drain_rows.append((f"backend server {name}", seconds, "nothing in flight"))
        await asyncio.sleep(SETTLE_SECONDS)

    async def _async_until_drained(self, name: str) -> None:
        """Wait until no host has anything in flight to a backend server."""
        async with asyncio.timeout(60):
            while True:
                live = [host.name for host in self.fleet.hosts if host.alive]
                rows = [
                    row
                    for host in live
                    for row in self.fleet.statuses.get(host, {}).get("drains", ())
                    if row["backend_server"] == name
                ]
                if len(rows) == len(live) and not any(r["in_flight"] for r in rows):
                    return
                await asyncio.sleep(0.1)

    async def _async_shift(self) -> None:
        """Shift half of a site's traffic to a site of another region."""
        first = next(iter(self.fleet.places.site_regions))
        last = self._shift_target()
        cap = self.deployment.shift_cap
        say(f"shifting all of {first} to {last}, which is capped at {cap}")
        await self._async_write(
            "shift",
            "demo-shift",
            "--service",
            self.deployment.shift_service,
            "--from-site",
            first,
            "--to-site",
            last,
            "--fraction",
            "1.0",
            "--ramp-seconds",
            "4",
        )
        await asyncio.sleep(STEADY_SECONDS)

    async def _async_burst(self) -> None:
        """Ask for far more downloads at once than can end in time."""
        ask = next(ask for ask in self.deployment.asks if ask.download_bytes)
        say(f"a burst of {BURST_REQUESTS} requests of the kind {ask.name}")
        await self.load.async_burst(ask, BURST_REQUESTS, BURST_DEADLINE_MS)

    def _shift_target(self) -> str:
        """Return the site that the demo shifts traffic to."""
        return list(self.fleet.places.site_regions)[-1]

    async def _async_stop_host(self) -> None:
        """Stop one daemon as planned, under load."""
        host: Host = self.fleet.hosts[1]
        say(f"stopping the host {host.name}")
        began = time.monotonic()
        seconds = await self.fleet.async_stop_host(host)
        self.stopped_host = host.name
        self.stop_window = (began, time.monotonic())
        self.drain_rows.append((f"host {host.name}", seconds, "exit code 0"))
        await asyncio.sleep(SETTLE_SECONDS)

    async def _async_lose_region(self) -> None:
        """Kill every process of one region."""
        region = self.deployment.lost_region
        say(f"losing the region {region}")
        await self.fleet.async_lose_region(region)
        await asyncio.sleep(LOST_SECONDS)

    async def _async_report(self) -> bool:
        """Print the tables; tell whether every promise held."""
        runs = await self.fleet.async_runs(self.deployment.lost_region)
        self._write_evidence(runs)
        evidence = Evidence(
            places=self.fleet.places,
            sent=self.load.sent,
            runs=runs,
            drained=self.drained,
            stop_window=self.stop_window,
            stopped_host=self.stopped_host,
            in_force=self.in_force,
            generations=self.fleet.generations,
        )
        checks = check_all(evidence)
        print()
        print(report.outcomes_table(self.load))
        print(report.latency_table(self.load))
        print(report.headroom_table(self.fleet))
        print(report.drains_table(self.drain_rows))
        print(report.caps_table(self.fleet, runs))
        print(report.promises_table(checks), flush=True)
        await self.load.session.close()
        return not any(check.broken for check in checks)

    def _write_evidence(self, runs: list[Run]) -> None:
        """Keep what ran and what callers saw, to look into a broken promise."""
        for name, rows in (("runs", runs), ("sent", self.load.sent)):
            lines = [msgspec.json.encode(row) for row in rows]
            (self.directory / f"{name}.jsonl").write_bytes(b"\n".join(lines))


async def async_main(deployment: Deployment, *, keep: bool) -> int:
    """Run the demo and end all its processes; return the exit code."""
    directory = REPOSITORY / "build" / "demo" / deployment.name
    shutil.rmtree(directory, ignore_errors=True)
    demo = Demo(deployment, directory)
    try:
        held = await demo.async_run()
        if keep:
            await demo.async_keep()
    except DemoError as error:
        say(f"failed: {error}")
        return EXIT_FAILED
    finally:
        await demo.fleet.async_end()
    return 0 if held else EXIT_BROKEN


def main(
    deployment: Annotated[str, typer.Option(help="ermis or rayonnage.")] = "ermis",
    keep: Annotated[bool, typer.Option(help="Leave it running.")] = False,
) -> None:
    """Show a whole deployment under load, drains and failures."""
    if deployment not in DEPLOYMENTS:
        raise typer.BadParameter(f"accepted: {', '.join(DEPLOYMENTS)}")
    with contextlib.suppress(KeyboardInterrupt):
        code = asyncio.run(async_main(DEPLOYMENTS[deployment], keep=keep))
        raise typer.Exit(code)


if __name__ == "__main__":
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(main)
    app()
