"""Join the states of all hosts."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from greengagepoint_cli.answers import StatusAnswer
from greengagepoint_cli.const import POLL_SECONDS, ExitCode
from greengagepoint_cli.errors import ClientError
from greengagepoint_cli.survey import HostAnswer


def fleet_status(answers: Iterable[HostAnswer]) -> dict[str, Any]:
    """Return the state of all hosts as one document."""
    answers = list(answers)
    known = [answer.document for answer in answers if answer.document is not None]
    return {
        "hosts": [_host(answer) for answer in answers],
        "headroom": headroom(known),
        "caps": caps(known),
        "shifts": _first_by_name(known, "shifts"),
        "drains": drains(known),
    }


def headroom(statuses: Iterable[StatusAnswer]) -> list[dict[str, Any]]:
    """Return capacity and use by region, added up over hosts."""
    rows: dict[str, dict[str, Any]] = {}
    for status in statuses:
        part = status.get("caps", {}).get("region")
        if not part:
            continue
        name = part["region"]
        row = rows.setdefault(
            name, {"region": name, "capacity": 0, "owned": 0, "used": 0, "headroom": 0}
        )
        row["capacity"] = max(row["capacity"], part["capacity"])
        for member in ("owned", "used", "headroom"):
            row[member] += part[member]
    return [rows[name] for name in sorted(rows)]


def caps(statuses: Iterable[StatusAnswer]) -> list[dict[str, Any]]:
    """Return limit and use by site, added up over hosts."""
    rows: dict[str, dict[str, Any]] = {}
    for status in statuses:
        for part in status.get("caps", {}).get("sites", ()):
            name = part["site"]
            row = rows.setdefault(
                name,
                {
                    "site": name,
                    "region": part["region"],
                    "limit": part["limit"],
                    "owned": 0,
                    "in_flight": 0,
                    "headroom": 0,
                },
            )
            row["limit"] = max(row["limit"], part["limit"])
            for member in ("owned", "in_flight", "headroom"):
                row[member] += part[member]
    return [rows[name] for name in sorted(rows)]


def drains(statuses: Iterable[StatusAnswer]) -> list[dict[str, Any]]:
    """Return what is in flight to leaving backend servers, added up over hosts."""
    rows: dict[tuple[str, str, str], dict[str, Any]] = {}
    estimates: defaultdict[tuple[str, str, str], list[float]] = defaultdict(list)
    for status in statuses:
        for part in status.get("drains", ()):
            key = (part["site"], part["backend_server"], part["service"])
            row = rows.setdefault(
                key,
                {
                    "site": part["site"],
                    "backend_server": part["backend_server"],
                    "service": part["service"],
                    "in_flight": 0,
                    "remaining_seconds": None,
                },
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


def behind(answers: Iterable[HostAnswer], generation: int) -> list[str]:
    """Return the hosts that do not have a generation in force, or did not answer."""
    return [
        answer.host
        for answer in answers
        if answer.document is None or answer.document["generation"] < generation
    ]


def _host(answer: HostAnswer) -> dict[str, Any]:
    """Return the row of one host."""
    status = answer.document or {}
    row = {"name": answer.host}
    for member in ("region", "zone", "state", "generation", "digest", "in_flight"):
        row[member] = status.get(member)
    row["fault"] = answer.fault or None
    return row


def _first_by_name(
    statuses: Iterable[StatusAnswer], member: str
) -> list[dict[str, Any]]:
    """Return rows by name; where hosts differ, the one that has come least far.

    Hosts move a shift step by step, so the slowest tells what has been reached.
    """
    rows: dict[str, dict[str, Any]] = {}
    for status in statuses:
        for row in status.get(member, ()):
            held = rows.get(row["name"])
            if held is None or row.get("fraction", 0) < held.get("fraction", 0):
                rows[row["name"]] = row
    return [rows[name] for name in sorted(rows)]
