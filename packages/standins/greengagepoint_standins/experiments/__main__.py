"""Run experiments and print one table over them."""

import asyncio
import shutil
import subprocess
import time
from typing import Annotated, Final, NamedTuple

import aiohttp
import typer

from greengagepoint_standins.demo.deployments import (
    DEPLOYMENTS,
    REPOSITORY,
    Deployment,
)
from greengagepoint_standins.demo.processes import DemoError
from greengagepoint_standins.demo.promises import Check
from greengagepoint_standins.demo.report import promises_table, table
from greengagepoint_standins.experiments import (  # noqa: F401
    hosts,
    operators,
    pairs,
    platform,
    store,
)
from greengagepoint_standins.experiments.catalogue import EXPERIMENTS, Experiment
from greengagepoint_standins.experiments.outcomes import Counts, count
from greengagepoint_standins.experiments.world import World

EXIT_BROKEN: Final = 1
EXIT_FAILED: Final = 3
RESULTS: Final = REPOSITORY / "build" / "experiments"


class Result(NamedTuple):
    """How one experiment ended; ``error`` tells why it could not be judged."""

    name: str
    counts: Counts
    promises: list[Check]
    expectations: list[Check]
    error: str = ""

    @property
    def code(self) -> int:
        """Return the exit code."""
        if self.error:
            return EXIT_FAILED
        broken = any(one.broken for one in (*self.promises, *self.expectations))
        return EXIT_BROKEN if broken else 0


async def async_run(one: Experiment, deployment: Deployment, seed: int) -> Result:
    """Run one experiment on a fresh fleet."""
    directory = RESULTS / one.name
    shutil.rmtree(directory, ignore_errors=True)
    world = World(deployment, directory, seed, relayed=one.relayed)
    try:
        await world.async_start()
        await one.run(world)
        await world.async_end_load()
        promises, expectations = await world.async_check()
    except (DemoError, TimeoutError, OSError, aiohttp.ClientError) as error:
        return Result(one.name, Counts(0, 0, 0), [], [], repr(error))
    finally:
        await world.async_end()
    result = Result(one.name, count(world.load.sent), promises, expectations)
    (directory / "checks.txt").write_text(details(result))
    return result


def details(result: Result) -> str:
    """Return all checks of one experiment."""
    if result.error:
        return f"{result.name}: not judged: {result.error}\n"
    return f"{result.name}\n{promises_table([*result.promises, *result.expectations])}"


def summary(results: list[Result], seed: int) -> str:
    """Return one table over all experiments."""
    heads = (
        "experiment",
        "answered",
        "refused not run",
        "broken or unknown",
        "promises broken",
        "expectations missed",
    )
    rows = [
        (
            result.name,
            *result.counts,
            result.error or _broken(result.promises),
            _broken(result.expectations),
        )
        for result in results
    ]
    return table(f"Experiments, seed {seed}, commit {_commit()}", heads, rows)


def _broken(checks: list[Check]) -> str:
    """Return how many checks were broken, and which."""
    broken = [one.promise for one in checks if one.broken]
    return f"{len(broken)} of {len(checks)} {'; '.join(broken)}".rstrip()


def _commit() -> str:
    """Return the commit that is run."""
    asked = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        cwd=REPOSITORY,
        capture_output=True,
        text=True,
        check=False,
    )
    return asked.stdout.strip() or "unknown"


def main(
    names: Annotated[list[str] | None, typer.Argument(help="All by default.")] = None,
    show: Annotated[bool, typer.Option("--list", help="List them and end.")] = False,
    deployment: Annotated[str, typer.Option(help="ermis or rayonnage.")] = "ermis",
    seed: Annotated[int, typer.Option(help="Seed of load and choices.")] = 1,
) -> None:
    """Break a loaded deployment in known ways and check the eight promises."""
    if show:
        for one in EXPERIMENTS.values():
            typer.echo(f"{one.name}: {one.tells}")
        return
    chosen = names or list(EXPERIMENTS)
    unknown = [name for name in chosen if name not in EXPERIMENTS]
    if unknown or deployment not in DEPLOYMENTS:
        raise typer.BadParameter(f"not known: {', '.join(unknown) or deployment}")
    results = []
    for name in chosen:
        typer.echo(f"[{time.strftime('%H:%M:%S')}] {name}")
        try:
            one = EXPERIMENTS[name]
            results.append(asyncio.run(async_run(one, DEPLOYMENTS[deployment], seed)))
        except KeyboardInterrupt:
            break
        typer.echo(details(results[-1]))
    typer.echo(summary(results, seed))
    raise typer.Exit(max((result.code for result in results), default=0))


if __name__ == "__main__":
    app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    app.command()(main)
    app()
