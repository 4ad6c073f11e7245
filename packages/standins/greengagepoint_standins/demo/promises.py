"""Check the eight promises of the brief against what really ran."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from greengagepoint_standins.demo.load import BROKEN, OK, Sent
from greengagepoint_standins.demo.places import Places, Server

LEAVING_GRACE_SECONDS = 3.0
IN_FORCE_SECONDS = 9.0


class Check(NamedTuple):
    """One promise: how many things were checked and how many broke it."""

    promise: str
    checked: int
    broken: int
    detail: str


class Run(NamedTuple):
    """One run on a backend server; times are monotonic seconds."""

    server: Server
    request_id: str
    key: str
    started: float
    ended: float
    state: str


class InForce(NamedTuple):
    """How long a generation took to be in force on all live hosts."""

    generation: int
    seconds: float


class Evidence(NamedTuple):
    """All that the promises are checked against."""

    places: Places
    sent: list[Sent]
    runs: list[Run]
    drained: dict[str, float]
    stop_window: tuple[float, float]
    stopped_host: str
    in_force: list[InForce]
    generations: dict[str, list[int]]


def peak_overlap(runs: Iterable[Run]) -> int:
    """Return the most runs that went on at the same time."""
    moments = [moment for run in runs for moment in ((run.started, 1), (run.ended, -1))]
    peak = level = 0
    for _moment, change in sorted(moments):
        level += change
        peak = max(peak, level)
    return peak


def check_all(evidence: Evidence) -> list[Check]:
    """Return the eight checks."""
    return [
        _check_caps(evidence),
        _check_regions(evidence),
        _check_answers(evidence),
        _check_not_run(evidence),
        _check_once(evidence),
        _check_leaving(evidence),
        check_stop(evidence),
        _check_configuration(evidence),
    ]


def _check_caps(evidence: Evidence) -> Check:
    """Compare each site's peak with its cap."""
    by_site: dict[str, list[Run]] = {site: [] for site in evidence.places.limits}
    for run in evidence.runs:
        by_site[run.server.site].append(run)
    peaks = {site: peak_overlap(runs) for site, runs in by_site.items()}
    limits = evidence.places.limits
    broken = sum(peak > limits[site] for site, peak in peaks.items())
    shown = ", ".join(f"{site} {peak}/{limits[site]}" for site, peak in peaks.items())
    return Check("shifts stay under their cap", len(peaks), broken, shown)


def _check_regions(evidence: Evidence) -> Check:
    """Compare each region's peak with its capacity."""
    capacities = evidence.places.capacities
    peaks = {
        region: peak_overlap(
            run for run in evidence.runs if run.server.region == region
        )
        for region in capacities
    }
    broken = sum(peak > capacities[region] for region, peak in peaks.items())
    shown = ", ".join(
        f"{name} {peak}/{capacities[name]}" for name, peak in peaks.items()
    )
    return Check("no region is overloaded", len(peaks), broken, shown)


def _check_answers(evidence: Evidence) -> Check:
    """Count answers that were not whole or not the caller's own."""
    answered = [sent for sent in evidence.sent if sent.outcome == OK]
    broken = sum(not (sent.whole and sent.own) for sent in answered)
    return Check("the whole answer to its own request", len(answered), broken, "")


def _check_not_run(evidence: Evidence) -> Check:
    """Count tries that were told "not run" and ran."""
    ran = {run.request_id for run in evidence.runs}
    told = [name for sent in evidence.sent for name in sent.told_not_run]
    broken = sum(name in ran for name in told)
    return Check('"not run" is true', len(told), broken, "")


def _check_once(evidence: Evidence) -> Check:
    """Count keys that ran more than once."""
    ran = Counter(run.key for run in evidence.runs if run.key)
    keys = {sent.key for sent in evidence.sent if sent.key}
    broken = sum(ran[key] > 1 for key in keys)
    return Check("what may not repeat runs at most once", len(keys), broken, "")


def _check_leaving(evidence: Evidence) -> Check:
    """Count runs that began on a leaving server after the grace time."""
    checked = broken = 0
    for run in evidence.runs:
        since = evidence.drained.get(run.server.name)
        if since is None or run.started <= since:
            continue
        checked += 1
        broken += run.started > since + LEAVING_GRACE_SECONDS
    detail = f"{checked} runs began within {LEAVING_GRACE_SECONDS:.0f} s of the drain"
    total = len(evidence.runs)
    return Check("a leaving backend server gets nothing new", total, broken, detail)


def check_stop(evidence: Evidence) -> Check:
    """Count requests that a planned stop cut off."""
    began, ended = evidence.stop_window
    touched = [
        sent
        for sent in evidence.sent
        if sent.hosts
        and evidence.stopped_host in sent.hosts
        and sent.ended >= began
        and sent.started <= ended
    ]
    broken = sum(
        sent.outcome in (BROKEN, "connection refused")
        and sent.hosts[-1] == evidence.stopped_host
        for sent in touched
    )
    return Check("a planned stop cuts nothing off", len(touched), broken, "")


def _check_configuration(evidence: Evidence) -> Check:
    """Count generations that came late or went back."""
    late = sum(one.seconds > IN_FORCE_SECONDS for one in evidence.in_force)
    back = sum(
        later < earlier
        for seen in evidence.generations.values()
        for earlier, later in zip(seen, seen[1:], strict=False)
    )
    slowest = max((one.seconds for one in evidence.in_force), default=0.0)
    checked = len(evidence.in_force) + sum(map(len, evidence.generations.values()))
    detail = f"slowest in force everywhere after {slowest:.2f} s"
    return Check(
        "accepted configuration is in force, never back", checked, late + back, detail
    )


def read_runs(server: Server, summary: dict[str, Any], now: float) -> list[Run]:
    """Return a server's log of runs; one that goes on ends now."""
    return [
        Run(
            server,
            row["request_id"],
            row["key"],
            row["started"],
            row["ended"] if row["ended"] is not None else now,
            row["state"],
        )
        for row in summary.get("runs", [])
    ]
