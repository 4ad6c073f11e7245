"""Measure what caps, usage, load, metrics and the time line cost one node."""

import random
import time
from typing import Final

import msgspec

from greengagepoint.caps import owners
from greengagepoint.caps.ledger import Entry, Holding, Ledger, owner_key
from greengagepoint.caps.owners import update_live
from greengagepoint.caps.planning import plan
from greengagepoint.caps.rights import apply_ledger
from greengagepoint.caps.system import configure
from greengagepoint.caps.system import run as run_caps
from greengagepoint.caps.tables import CapsTable, create_table
from greengagepoint.events import Event
from greengagepoint.records.schemas import Shift
from greengagepoint.steering.shifts import run as run_shifts
from greengagepoint.steering.tables import SteeringTable
from greengagepoint.timeline.ring import EventRecorder
from greengagepoint.usage import UsageOutcome
from greengagepoint.usage.tables import UsageTables
from greengagepoint_node.metrics import Metrics, PeerTotals, Sources
from greengagepoint_standins.caps_layout import Layout
from measure import capacity_fleet as fleet
from measure import caps, load_sharing, usage
from measure.capacity_slopes import MILLISECONDS, Slope, held_bytes, milliseconds
from measure.figure import Figure

SITE_COUNTS: Final = (325, 650, 1300)
USED_COUNTS: Final = (0, 30, 100)
OWNER_COUNTS: Final = (80, 160, 320)
ROW_COUNTS: Final = (10, 100, 1000)
SERVICE_COUNTS: Final = (25, 50, 100)
SHIFT_COUNTS: Final = (25, 50, 100)
EVENT_COUNTS: Final = (1024, 2048, 4096)
LOAD_SITES: Final = (8, 16, 32)
OWN_REGION_HOSTS: Final = 124
FAR_HOSTS: Final = 3
ONE_UNIT: Final = 20
PLANS_A_SECOND: Final = 2
TICKS_A_SECOND: Final = 4
BUSY_SECONDS: Final = 15
SITES_USED: Final = 30
USED_UNITS: Final = 5
HOSTS_A_ZONE: Final = 120
EVENTS: Final = 20_000
WALL_MILLISECONDS: Final = 1_790_000_000_000
SCRAPE_SECONDS: Final = 15.0
KINDS: Final = ("ok", "team_limit", "overloaded", "deadline")


def measure() -> list[Slope]:
    """Return the slopes."""
    return [
        *_cap_slopes(),
        *_plan_slopes(),
        *_usage_slopes(),
        *_load_slopes(),
        _scrape_slope(),
        _shift_slope(),
        *_event_slopes(),
    ]


def layout(sites: int) -> Layout:
    """Return what one host sees: its region's part in view and few hosts of others."""
    regions = [f"region{number:02}" for number in range(fleet.REGIONS)]
    hosts = [f"{regions[0]}-{number}" for number in range(OWN_REGION_HOSTS)]
    hosts += [f"{r}-{number}" for r in regions[1:] for number in range(FAR_HOSTS)]
    names = {f"site{n:04}": regions[n % fleet.REGIONS] for n in range(sites)}
    return Layout(
        hosts=tuple(hosts),
        region_of_site=names,
        capacity=dict.fromkeys(regions, 100_000),
        limits=dict.fromkeys(names, fleet.SITE_CAPACITY),
        request_seconds=10,
    )


def _cap_slopes() -> list[Slope]:
    """Measure caps of one host at rest and while it borrows for more and more sites."""
    rest, held = [], []
    for sites in SITE_COUNTS:
        cost = caps.node_cost(layout(sites), {})
        rest.append((sites, cost.core_part * MILLISECONDS))
        records = fleet.configuration(sites, servers=0)
        me = fleet.hosts(1)[0]

        def build(r=records, h=me) -> CapsTable:
            table = create_table(h)
            configure(table, r)
            return table

        held.append((sites, held_bytes(build)[1]))
    spent, sent, size = [], [], []
    full = layout(fleet.SITES)
    for used in USED_COUNTS:
        names = list(full.region_of_site)[:: max(1, fleet.SITES // max(1, used))][:used]
        cost = caps.node_cost(full, dict.fromkeys(names, ONE_UNIT))
        spent.append((used, cost.core_part * MILLISECONDS))
        sent.append((used, cost.messages))
        size.append((used, cost.sent_bytes))
    over = "sites used of 1,300"
    return [
        Slope("caps at rest, processor", "sites", "ms/s", tuple(rest)),
        Slope("caps table held", "sites", "B", tuple(held)),
        Slope("caps, processor", over, "ms/s", tuple(spent)),
        Slope("caps, messages sent", over, "1/s", tuple(sent)),
        Slope("caps, bytes sent", over, "B/s", tuple(size)),
    ]


def contended(count: int) -> CapsTable:
    """Return the table of a host whose region's units all belong to other owners.

    So it is where the zones of a region see different hosts and each lets four of its
    own claim a site: those who come last find nothing left and look again each plan.
    """
    everyone = fleet.hosts()
    me = everyone[0]
    records = fleet.configuration(servers=0)
    table = create_table(me)
    configure(table, records)
    update_live(table, fleet.view(me, everyone), 0.0)
    names = [site.name for site in records.sites.values() if site.region == me.region]
    parts: dict[str, dict[str, Holding]] = {}
    for number, name in enumerate(names):
        for turn in range(owners.OWNERS_PER_SITE):
            key = owner_key(f"other-{(number * 4 + turn) % count:03}", 1)
            quarter = Holding(fleet.SITE_CAPACITY // 4, fleet.SITE_CAPACITY)
            parts.setdefault(key, {})[name] = quarter
    ledger = Ledger({key: Entry(held) for key, held in parts.items()})
    apply_ledger(table, ledger, 1, 0.0)
    return table


def busy_milliseconds(count: int) -> float:
    """Return the ticks of a host that uses sites of its region, with many owners."""
    table = contended(count)
    own = [site for site in table.sites.values() if site.region == table.host.region]
    spent = 0.0
    for number in range(1, round(BUSY_SECONDS * TICKS_A_SECOND) + 1):
        for site in own[:SITES_USED]:
            site.peak = USED_UNITS
        started = time.process_time()
        run_caps(table, number / TICKS_A_SECOND)
        spent += time.process_time() - started
    return spent / BUSY_SECONDS * MILLISECONDS


def _plan_slopes() -> list[Slope]:
    """Measure a host that finds no unit left, by owners in the ledger."""
    spent, planned, size = [], [], []
    for count in OWNER_COUNTS:
        table = contended(count)
        found = len(table.ledger.owners)
        one = milliseconds(lambda t=table: plan(t, 1.0))
        planned.append((found, PLANS_A_SECOND * one))
        spent.append((found, busy_milliseconds(count)))
        size.append((found, len(msgspec.json.encode(table.ledger))))
    over = "owners in the ledger"
    return [
        Slope("caps of a busy host in its region", over, "ms/s", tuple(spent)),
        Slope("plans in it", over, "ms/s", tuple(planned)),
        Slope("ledger of a region", over, "B", tuple(size)),
    ]


def _usage_slopes() -> list[Slope]:
    """Measure counters and shares by the teams times services that a host serves."""
    size, period, spent, held = [], [], [], []
    for rows in ROW_COUNTS:
        found = usage.share_cost(rows)
        size.append((rows, found[0]))
        period.append((rows, found[1]))
        spent.append((rows, found[2]))

        def build(count=rows) -> UsageTables:
            tables = UsageTables("host", 1)
            tables.day = "2026-12-02"
            for number in range(count):
                tables.count(f"team-{number}", "one", UsageOutcome.ANSWERED, 300, 900)
            return tables

        held.append((rows, held_bytes(build)[1]))
    over = "rows of teams and services"
    return [
        Slope("usage, bytes sent", over, "B/s", tuple(size)),
        Slope("usage, time between shares", over, "s", tuple(period)),
        Slope("usage, processor", over, "ms/s", tuple(spent)),
        Slope("usage counters held", over, "B", tuple(held)),
    ]


def _load_slopes() -> list[Slope]:
    """Measure load sharing in one zone whose hosts send to all of its sites."""
    spent, sent, size = [], [], []
    for sites in LOAD_SITES:
        shape = load_sharing.Shape("", HOSTS_A_ZONE, sites, fleet.SERVERS_A_SITE)
        counts = load_sharing.replay(shape)
        scale = shape.hosts * load_sharing.SECONDS
        spent.append((sites, counts.processor / scale * MILLISECONDS))
        sent.append((sites, counts.busiest / load_sharing.SECONDS))
        size.append((sites, counts.sent_bytes / scale))
    over = "sites of a zone of 120 hosts"
    return [
        Slope("load, processor", over, "ms/s", tuple(spent)),
        Slope("load, messages of the busiest", over, "1/s", tuple(sent)),
        Slope("load, bytes sent", over, "B/s", tuple(size)),
    ]


def _scrape_slope() -> Slope:
    """Measure GET /metrics by services, each with some outcomes."""
    points = []
    for services in SERVICE_COUNTS:
        regions = {f"region-{number:02}": 1.0 for number in range(fleet.REGIONS)}
        sources = Sources(lambda r=regions: r, lambda: PeerTotals(*[0] * 6), lambda: 1)
        metrics = Metrics(sources)
        for number in range(services):
            for kind in KINDS:
                metrics.start_request(f"service-{number}")
                metrics.finish_request(f"service-{number}", kind, 0.01)
        metrics.render()
        points.append((services, milliseconds(metrics.render) / SCRAPE_SECONDS))
        metrics.close()
    return Slope("metrics read each 15 s", "services", "ms/s", tuple(points))


def filled_recorder(count: int) -> EventRecorder:
    """Return a time line with some events."""
    draw = random.Random(1)
    recorder = EventRecorder("host-0001", lambda: 1_790_000_000_000)
    for number in range(count):
        lender = f"host-{draw.randrange(fleet.HOSTS):04}"
        recorder.record(Event.LOAN_GRANTED, site=f"site-{number:04}", lender=lender)
    return recorder


def _event_slopes() -> list[Slope]:
    """Measure the ring of events by its length."""
    held = [
        (count, held_bytes(lambda c=count: filled_recorder(c))[1])
        for count in EVENT_COUNTS
    ]
    return [Slope("time line held", "events", "B", tuple(held))]


def _shift_slope() -> Slope:
    """Measure the ticks over shifts that have all ended and whose records stay."""
    points = []
    records = fleet.configuration()
    sites = list(records.sites)
    for count in SHIFT_COUNTS:
        wanted = {
            f"shift-{number:03}": Shift(
                name=f"shift-{number:03}",
                service="service-000",
                from_site=sites[number],
                to_site=sites[number + 1],
                fraction=0.5,
                start_at="2026-01-01T00:00:00Z",
                ramp_seconds=60,
            )
            for number in range(count)
        }
        table = SteeringTable()
        shifting = records._replace(shifts=wanted)

        def tick(t=table, c=shifting) -> None:
            run_shifts(t, c, frozenset(), lambda *_: None, 1000.0, WALL_MILLISECONDS)

        tick()
        points.append((count, TICKS_A_SECOND * milliseconds(tick)))
    return Slope("ticks over shifts", "records of shifts", "ms/s", tuple(points))


def event_microseconds() -> Figure:
    """Measure one event."""
    recorder = EventRecorder("host-0001", lambda: 1_790_000_000_000)
    started = time.process_time()
    for _ in range(EVENTS):
        recorder.record(Event.LOAN_GRANTED, site="site-1", lender="host-2")
    spent = time.process_time() - started
    return Figure("capacity: one event on the time line", spent / EVENTS * 1e6, "us")
