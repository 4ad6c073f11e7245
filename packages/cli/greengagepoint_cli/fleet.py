"""Join the states of all hosts."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from typing import TypedDict

from greengagepoint.operator_api import (
    DrainPart,
    RegionPart,
    ShiftRow,
    SitePart,
    StatusAnswer,
)
from greengagepoint_cli.const import POLL_SECONDS, ExitCode
from greengagepoint_cli.errors import ClientError
from greengagepoint_cli.survey import HostAnswer


class HostRow(TypedDict):
    """One host; without an answer all but name and fault are None."""

    name: str
    region: str | None
    zone: str | None
    state: str | None
    generation: int | None
    digest: str | None
    in_flight: int | None
    fault: str | None


class FleetStatus(TypedDict):
    """The state of all hosts."""

    hosts: list[HostRow]
    headroom: list[RegionPart]
    caps: list[SitePart]
    shifts: list[ShiftRow]
    drains: list[DrainPart]


def fleet_status(answers: Iterable[HostAnswer[StatusAnswer]]) -> FleetStatus:
    """Return the state of all hosts as one document."""
    answers = list(answers)
    known = [answer.document for answer in answers if answer.document is not None]
    return FleetStatus(
        hosts=[_host(answer) for answer in answers],
        headroom=headroom(known),
        caps=caps(known),
        shifts=_slowest_shifts(known),
        drains=drains(known),
    )


def headroom(statuses: Iterable[StatusAnswer]) -> list[RegionPart]:
    """Return capacity and use by region, added up over hosts."""
    rows: dict[str, RegionPart] = {}
    for status in statuses:
        part = status.get("caps", {}).get("region")
        if not part:
            continue
        name = part["region"]
        row = rows.setdefault(
            name, RegionPart(region=name, capacity=0, owned=0, used=0, headroom=0)
        )
        row["capacity"] = max(row["capacity"], part["capacity"])
        for member in ("owned", "used", "headroom"):
            row[member] += part[member]
    return [rows[name] for name in sorted(rows)]


def caps(statuses: Iterable[StatusAnswer]) -> list[SitePart]:
    """Return limit and use by site, added up over hosts."""
    rows: dict[str, SitePart] = {}
    for status in statuses:
        for part in status.get("caps", {}).get("sites", ()):
            name = part["site"]
            row = rows.setdefault(
                name,
                SitePart(
                    site=name,
                    region=part["region"],
                    limit=part["limit"],
                    owned=0,
                    in_flight=0,
                    headroom=0,
                ),
            )
            row["limit"] = max(row["limit"], part["limit"])
            for member in ("owned", "in_flight", "headroom"):
                row[member] += part[member]
    return [rows[name] for name in sorted(rows)]


def drains(statuses: Iterable[StatusAnswer]) -> list[DrainPart]:
    """Return what is in flight to leaving backend servers, added up over hosts."""
    rows: dict[tuple[str, str, str], DrainPart] = {}
    estimates: defaultdict[tuple[str, str, str], list[float]] = defaultdict(list)
    for status in statuses:
        for part in status.get("drains", ()):
            key = (part["site"], part["backend_server"], part["service"])
            row = rows.setdefault(
                key,
                DrainPart(
                    site=part["site"],
                    backend_server=part["backend_server"],
                    service=part["service"],
                    in_flight=0,
                    remaining_seconds=None,
                ),
            )
            row["in_flight"] += part["in_flight"]
            if part.get("remaining_seconds") is not None:
                estimates[key].append(part["remaining_seconds"])
    for key, seconds in estimates.items():
        rows[key]["remaining_seconds"] = max(seconds)
    return [rows[key] for key in sorted(rows)]


async def async_wait(
    check: Callable[[], Awaitable[bool]], timeout_seconds: float, what: str
) -> None:
    """Check again and again until it holds; raise NOT_IN_TIME after the timeout."""
    deadline = time.monotonic() + timeout_seconds
    while not await check():
        if time.monotonic() >= deadline:
            raise ClientError(
                ExitCode.NOT_IN_TIME, f"not within {timeout_seconds:g} seconds: {what}"
            )
        await asyncio.sleep(POLL_SECONDS)


def behind(answers: Iterable[HostAnswer[StatusAnswer]], generation: int) -> list[str]:
    """Return the hosts that do not have a generation in force, or did not answer."""
    return [
        answer.host
        for answer in answers
        if answer.document is None or answer.document["generation"] < generation
    ]


def _host(answer: HostAnswer[StatusAnswer]) -> HostRow:
    """Return the row of one host."""
    status = answer.document or {}
    return HostRow(
        name=answer.host,
        region=status.get("region"),
        zone=status.get("zone"),
        state=status.get("state"),
        generation=status.get("generation"),
        digest=status.get("digest"),
        in_flight=status.get("in_flight"),
        fault=answer.fault or None,
    )


def _slowest_shifts(statuses: Iterable[StatusAnswer]) -> list[ShiftRow]:
    """Return shifts by name; where hosts differ, the one that has come least far.

    Hosts move a shift step by step, so the slowest tells what has been reached.
    """
    rows: dict[str, ShiftRow] = {}
    for status in statuses:
        for row in status["shifts"]:
            held = rows.get(row["name"])
            if held is None or row["fraction"] < held["fraction"]:
                rows[row["name"]] = row
    return [rows[name] for name in sorted(rows)]
