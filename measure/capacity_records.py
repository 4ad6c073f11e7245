"""Measure what records and backend servers cost one node by their number."""

import random
from collections.abc import Iterator
from itertools import islice
from typing import Any, Final

import msgspec

from greengagepoint.balancing import sharing, system
from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.shared_reports import reports_to_send
from greengagepoint.balancing.tables import BackendTable
from greengagepoint.config.entries import Change, make_entry
from greengagepoint.config.log import ConfigLog, apply_entry, effective
from greengagepoint.config.preparing import prepare
from greengagepoint.config.snapshot import load_snapshot, take_snapshot
from greengagepoint.configuration import Configuration
from greengagepoint.records.loading import RecordDocument
from greengagepoint.records.schemas import NEWEST_VERSIONS, RecordKind
from greengagepoint.steering.site_choice import candidate_sites
from greengagepoint.steering.tables import SteeringTable
from measure import capacity_fleet as fleet
from measure.capacity_slopes import Slope, held_bytes, milliseconds

SITE_COUNTS: Final = (325, 650, 1300)
CHANGES_AN_ENTRY: Final = 100
CHOICES: Final = 1000
TICKS_A_SECOND: Final = 4
SEED: Final = 5


def measure() -> list[Slope]:
    """Return the slopes over the number of sites."""
    return [*_backend_slopes(), *_record_slopes(), _choice_slope()]


def changes(configuration: Configuration) -> Iterator[Change]:
    """Yield a change for each record."""
    tables = {
        RecordKind.REGION: configuration.regions,
        RecordKind.SITE: configuration.sites,
        RecordKind.SERVICE: configuration.services,
        RecordKind.TEAM: configuration.teams,
        RecordKind.CALLERS: configuration.callers,
    }
    for kind, records in tables.items():
        for name, record in records.items():
            fields = msgspec.to_builtins(record)
            del fields["name"]
            document = RecordDocument(
                kind=kind,
                name=name,
                schema_version=NEWEST_VERSIONS[kind],
                fields=fields,
            )
            yield Change(kind=kind, name=name, document=document)


def log_of(wanted: Iterator[Change]) -> ConfigLog:
    """Return a log with records in force."""
    log = ConfigLog()
    while part := tuple(islice(wanted, CHANGES_AN_ENTRY)):
        entry = make_entry(
            generation=log.generation + 1,
            write_id="w",
            author="operator",
            at_ms=0,
            changes=part,
            previous_digest=log.digest,
        )
        apply_entry(log, entry)
    return log


def changed_team(log: ConfigLog, number: int) -> Change:
    """Return a change of one team."""
    fields: dict[str, Any] = {"requests_per_second": 1000.0, "burst": 3000 + number}
    document = RecordDocument(
        kind=RecordKind.TEAM, name="team-0001", schema_version=1, fields=fields
    )
    return Change(kind=RecordKind.TEAM, name="team-0001", document=document)


def _backend_slopes() -> list[Slope]:
    """Measure the table of backend servers."""
    ticks, used, changed, held = [], [], [], []
    for sites in SITE_COUNTS:
        table = BackendTable()
        records = fleet.configuration(sites)
        _, size = held_bytes(lambda t=table, r=records: sync_rows(t, r, 0.0, 0))
        rows = len(table.rows)
        now = iter(range(1, 1000))
        state = sharing.SharingTable()

        def tick(t=table, n=now, s=state) -> None:
            at = next(n) / TICKS_A_SECOND
            system.run(t, at)
            reports_to_send(s, t, "host", at)

        ticks.append((rows, TICKS_A_SECOND * milliseconds(tick, 20)))
        used.append((rows, milliseconds(lambda t=table: sharing.used_pools(t, 5.0))))
        log = log_of(changes(records))
        others = iter([_after_change(log, number) for number in range(5)])
        sync_rows(table, effective(log), 6.0, 0)
        changed.append(
            (
                rows,
                milliseconds(lambda t=table, o=others: sync_rows(t, next(o), 7.0, 0)),
            )
        )
        held.append((rows, size))
    over = "backend servers"
    return [
        Slope("ticks over the rows", over, "ms/s", tuple(ticks)),
        Slope("pools in use, each second", over, "ms/s", tuple(used)),
        Slope("rows after a change of a team", over, "ms", tuple(changed)),
        Slope("rows of backend servers held", over, "B", tuple(held)),
    ]


def _after_change(log: ConfigLog, number: int) -> Configuration:
    """Apply a change of one team; return the configuration."""
    entry = prepare(log, [changed_team(log, number)], "operator", f"w{number}", 0)
    apply_entry(log, entry)
    return effective(log)


def _record_slopes() -> list[Slope]:
    """Measure records in force, without client blocks."""
    held, changed, checked, size = [], [], [], []
    for sites in SITE_COUNTS:
        records = fleet.configuration(sites)
        log, found = held_bytes(lambda r=records: log_of(changes(r)))
        held.append((sites, found - log.tail_bytes))
        changed.append((sites, milliseconds(lambda g=log: effective(g))))
        team = changed_team(log, 0)
        checked.append(
            (sites, milliseconds(lambda g=log, t=team: prepare(g, [t], "a", "w", 0), 3))
        )
        snapshot = take_snapshot(log)
        size.append((sites, sum(len(part) for part in snapshot.parts)))
        load_snapshot(snapshot.manifest, snapshot.parts)
    return [
        Slope("records held, no client blocks", "sites", "B", tuple(held)),
        Slope("records put in force at a change", "sites", "ms", tuple(changed)),
        Slope("check of a change at its writer", "sites", "ms", tuple(checked)),
        Slope("snapshot, no client blocks", "sites", "B", tuple(size)),
    ]


def _choice_slope() -> Slope:
    """Measure the choice of a site for a service that all sites serve."""
    points = []
    draw = random.Random(SEED)
    for sites in SITE_COUNTS:
        records = fleet.configuration(sites)
        everywhere = records.services["service-000"]
        everywhere = msgspec.structs.replace(everywhere, sites=tuple(records.sites))
        records = records._replace(services={"service-000": everywhere})
        state = SteeringTable()

        def choose(r=records, s=state) -> None:
            for _ in range(CHOICES):
                candidate_sites(
                    r, "service-000", "region-00", "zone-00", 0, s, lambda _: 5, draw
                )

        points.append((sites, milliseconds(choose)))
    return Slope("choice of a site", "sites of the service", "us", tuple(points))
