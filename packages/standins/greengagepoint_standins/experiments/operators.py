"""Experiments on operators: races and a lowered cap."""

import asyncio
import itertools
import time
from enum import IntEnum
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from greengagepoint_standins.demo.fleet import OPERATOR_KEY, Host
from greengagepoint_standins.experiments.catalogue import experiment
from greengagepoint_standins.experiments.expectations import (
    expect_limit,
    expect_recovered,
    expect_true,
)
from greengagepoint_standins.experiments.world import World


class ExitCode(IntEnum):
    """Exit codes of the operators' client that a race may end with."""

    OK = 0
    CONFLICT = 4
    OUTCOME_UNKNOWN = 7


ROUNDS: Final = 20
LOWERED_LIMIT: Final = 2
AFTER_SECONDS: Final = 8.0
LAST_SECONDS: Final = 5.0
TEAM: Final = """[[team]]
schema_version = 1
name = "{name}"
requests_per_second = 10
burst = {burst}
weight = 1.0
"""
CAP: Final = """[[cap]]
schema_version = 1
name = "{site}"
site = "{site}"
limit = {limit}
"""


class Written(NamedTuple):
    """One operator's change: the client's exit code and, if accepted, generation."""

    team: str
    burst: int
    code: int
    generation: int


class Race:
    """Two operators who change teams through different hosts at once."""

    def __init__(self, world: World, allowed: set[ExitCode], first: int) -> None:
        self.world = world
        self.allowed = allowed
        self.bursts = itertools.count(first)
        self.codes: dict[int, int] = {}
        self.wrong: list[str] = []
        self.told: list[str] = []
        self.directory = world.directory / f"race-{first}"
        self.directory.mkdir(exist_ok=True)

    async def async_round(self, teams: tuple[str, str]) -> None:
        """Let both change their team, and check what is in force afterwards."""
        pair = self.world.random.sample(self.world.live_hosts(), 2)
        both = [
            self._async_write(host, team, next(self.bursts))
            for host, team in zip(pair, teams, strict=True)
        ]
        written = await asyncio.gather(*both)
        for one in written:
            self.codes[one.code] = self.codes.get(one.code, 0) + 1
            if one.code not in self.allowed:
                self.wrong.append(f"{one.team}: exit code {one.code}")
        if teams[0] != teams[1] and any(
            one.code == ExitCode.CONFLICT for one in written
        ):
            self.wrong.append("a conflict between different records")
        await self._async_check([one for one in written if one.code == ExitCode.OK])

    def conclude(self, what: str) -> None:
        """Enter what was seen as an expectation, and keep what the client told."""
        (self.directory / "told.txt").write_text("\n".join(self.told))
        codes = ", ".join(
            f"{count} with exit code {code}" for code, count in self.codes.items()
        )
        shown = "; ".join((codes, *self.wrong[:3]))
        expect_true(self.world, what, not self.wrong, shown)

    def _write(self, team: str, burst: int) -> Path:
        """Write a team's record to a file."""
        path = self.directory / f"{burst}.toml"
        path.write_text(TEAM.format(name=team, burst=burst))
        return path

    async def _async_write(self, host: Host, team: str, burst: int) -> Written:
        """Apply one team's record through one host."""
        path = self._write(team, burst)
        environment = {
            "GREENGAGEPOINT_SERVER": f"http://{host.address}",
            "GREENGAGEPOINT_OPERATOR_KEY": OPERATOR_KEY,
            "GREENGAGEPOINT_AUTHOR": host.name,
        }
        code, output = await self.world.fleet.processes.async_client(
            "apply", str(path), "--output", "json", environment=environment
        )
        generation = 0
        if code == ExitCode.OK:
            generation = msgspec.json.decode(output)["generation"]
        self.told.append(f"{host.name} {team} {burst}: {code} {output}")
        return Written(team, burst, code, generation)

    async def _async_check(self, accepted: list[Written]) -> None:
        """Wait until accepted changes are in force; compare every host's records."""
        if not accepted:
            return
        world = self.world
        world.in_force.append(await world.fleet.async_time_in_force(time.monotonic()))
        last = {one.team: one for one in sorted(accepted, key=lambda one: one[3])}
        for host in world.live_hosts():
            known = await self._async_teams(host)
            for team, one in last.items():
                seen = known.get(team, {})
                if seen.get("generation", 0) < one.generation:
                    self.wrong.append(f"{host.name} lacks {one}")
                elif (
                    seen["generation"] == one.generation
                    and seen["fields"]["burst"] != one.burst
                ):
                    self.wrong.append(f"{host.name} has {seen} for {one}")

    async def _async_teams(self, host: Host) -> dict[str, dict[str, Any]]:
        """Return the team records in force on a host."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"http://{host.address}/v1/records"
        async with self.world.fleet.session.get(url, headers=headers) as answer:
            answer.raise_for_status()
            rows = (await answer.json())["documents"]
        return {row["name"]: row for row in rows if row["kind"] == "team"}


async def async_race(
    world: World, rounds: int, allowed: set[ExitCode], first: int = 100
) -> None:
    """Race on one record and on two, in turns; values count up from ``first``."""
    race = Race(world, allowed, first)
    for number in range(rounds):
        same = number % 2 == 0
        await race.async_round(("race", "race") if same else ("race-a", "race-b"))
    race.conclude("races end as documented")


async def async_lower_cap(world: World, limit: int = LOWERED_LIMIT) -> None:
    """Lower the cap of the site that traffic is shifted to."""
    site = world.target_site
    path = world.directory / f"cap-{limit}.toml"
    path.write_text(CAP.format(site=site, limit=limit))
    await world.async_change("apply", str(path))
    expect_limit(world, site, limit, time.monotonic())


@experiment("operators-racing")
async def async_operators_racing(world: World) -> None:
    """Notice nothing while two operators write at the same moment, 20 times.

    On the same record one of them may be told of a conflict (exit code 4), on
    different records both are accepted; each accepted change is in force on every
    host, and none takes the place of a later one.
    """
    allowed = {ExitCode.OK, ExitCode.CONFLICT}
    await async_race(world, ROUNDS, allowed)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)


@experiment("cap-lowered")
async def async_cap_lowered(world: World) -> None:
    """Be served elsewhere when the cap of a site is lowered under load.

    The cap goes from 5 to 2 while it is in full use. Once the record is in force
    and what was in flight has ended, no more than 2 requests run there.
    """
    await async_lower_cap(world)
    await asyncio.sleep(AFTER_SECONDS)
    expect_recovered(world)
    await asyncio.sleep(LAST_SECONDS)
