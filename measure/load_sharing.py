"""Measure what sharing the load of backend servers costs and how old it is."""

import random
import time
from statistics import mean, quantiles
from typing import Final, NamedTuple

import msgspec

from greengagepoint.balancing import sharing
from greengagepoint.balancing.choice import record_request_end, record_request_start
from greengagepoint.balancing.messages import LoadReports
from greengagepoint.balancing.reports import record_load_report
from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.shared_reports import (
    apply_shared_reports,
    reports_to_send,
    rows_to_poll,
)
from greengagepoint.balancing.sharing import SharingTable
from greengagepoint.balancing.tables import BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import BackendServer, Site
from measure.figure import Figure

TICK_SECONDS: Final = 0.25
WARM_UP_SECONDS: Final = 10.0
SECONDS: Final = 30.0
SEED: Final = 3


class Shape(NamedTuple):
    """A zone: entry hosts, sites and backend servers a site."""

    name: str
    hosts: int
    sites: int
    servers: int


SHAPES: Final = (
    Shape("Ermis, one zone", 2, 1, 8),
    Shape("10 hosts, 4 sites", 10, 4, 8),
    Shape("40 hosts, 8 sites", 40, 8, 8),
    Shape("120 hosts, 8 sites", 120, 8, 8),
)


class Counts(NamedTuple):
    """Totals over all hosts; ``ages`` in seconds, processor time in seconds.

    ``busiest`` is the messages of the host that sent most.
    """

    asks: int
    messages: int
    sent_bytes: int
    ages: list[float]
    processor: float
    busiest: int


class Host:
    """One host's tables."""

    def __init__(self, identity: HostIdentity, records: Configuration) -> None:
        self.name = identity.name
        self.sharing = SharingTable()
        self.table = BackendTable()
        sync_rows(self.table, records, 0.0, 0)

    def use_all(self, now: float) -> None:
        """Send a request to a server of each pool, without a load header."""
        for pool in self.table.pools.values():
            record_request_start(pool.rows[0], now)
            record_request_end(pool.rows[0], Outcome.ANSWERED, 0.05, now)


def run() -> list[Figure]:
    """Compare with each host asking each server."""
    figures = []
    for shape in SHAPES:
        figures += _figures(shape, replay(shape))
    return figures


def replay(shape: Shape) -> Counts:
    """Run hosts that all send to all sites, where no answer tells its load."""
    identities = tuple(
        HostIdentity(f"h{number}", 1, "r", "z", f"h{number}:80", f"h{number}:81")
        for number in range(shape.hosts)
    )
    records = _records(shape)
    hosts = {one.name: Host(one, records) for one in identities}
    asks = messages = sent_bytes = 0
    ages: list[float] = []
    draw = random.Random(SEED)
    processor = 0.0
    sent_by_host = dict.fromkeys(hosts, 0)
    for tick in range(int((WARM_UP_SECONDS + SECONDS) / TICK_SECONDS)):
        now = 1000.0 + tick * TICK_SECONDS
        counting = tick * TICK_SECONDS >= WARM_UP_SECONDS
        outgoing = []
        for host in hosts.values():
            host.use_all(now)
            begun = time.process_time()
            due, sent = _step(host, records, identities, now)
            processor += (time.process_time() - begun) * counting
            for row in due:
                record_load_report(row, Load(draw.randrange(10), 10), now)
            outgoing += [(host.name, *one) for one in sent]
            asks += len(due) * counting
        for sender, receiver, message in outgoing:
            begun = time.process_time()
            _deliver(hosts[receiver], sender, message, now)
            processor += (time.process_time() - begun) * counting
            messages += counting
            sent_by_host[sender] += counting
            sent_bytes += len(msgspec.msgpack.encode(message)) * counting
        if counting and tick % 4 == 3:
            ages += _ages(hosts, now)
    return Counts(
        asks, messages, sent_bytes, ages, processor, max(sent_by_host.values())
    )


def _step(host: Host, records: Configuration, identities: tuple, now: float) -> tuple:
    """Return the rows that a host asks and the messages that it sends."""
    sent: list[tuple[str, object]] = []
    if now % 1.0 == 0:
        used = sharing.used_pools(host.table, now)
        wants = sharing.subscriptions_to_send(
            host.sharing, used, records, identities, host.name, now
        )
        sent += wants.items()
    due = rows_to_poll(host.sharing, host.table, now)
    sent += reports_to_send(host.sharing, host.table, host.name, now).items()
    return due, sent


def _deliver(host: Host, sender: str, message: object, now: float) -> None:
    """Let a host take a message in."""
    if isinstance(message, LoadReports):
        apply_shared_reports(host.table, message, now)
    else:
        sharing.record_subscription(host.sharing, sender, message, now)


def _ages(hosts: dict[str, Host], now: float) -> list[float]:
    """Return the age of what each host knows of each server."""
    return [
        now - row.reported_at
        for host in hosts.values()
        for row in host.table.rows.values()
        if row.reported is not None
    ]


def _records(shape: Shape) -> Configuration:
    """Return the records of a zone."""
    sites = {}
    for number in range(shape.sites):
        name = f"site-{number}"
        servers = tuple(
            BackendServer(f"b{server:02}", "booking", f"{name}-{server}:80", 10)
            for server in range(shape.servers)
        )
        sites[name] = Site(
            name=name, region="r", zone="z", capacity=80, backend_servers=servers
        )
    return EMPTY._replace(generation=1, sites=sites)


def _figures(shape: Shape, counts: Counts) -> list[Figure]:
    """Return the figures of one shape, by host and second."""
    scale = shape.hosts * SECONDS
    prefix = f"load sharing, {shape.name}"
    all_servers = shape.sites * shape.servers
    return [
        Figure(
            f"{prefix}: asked by host",
            counts.asks / scale,
            "1/s",
            all_servers,
            "each host asks each server",
        ),
        Figure(f"{prefix}: messages sent by host", counts.messages / scale, "1/s"),
        Figure(f"{prefix}: messages of the busiest", counts.busiest / SECONDS, "1/s"),
        Figure(f"{prefix}: bytes sent by host", counts.sent_bytes / scale, "B/s"),
        Figure(f"{prefix}: processor", counts.processor / scale * 1e3, "ms/s"),
        Figure(f"{prefix}: mean age", mean(counts.ages), "s"),
        Figure(f"{prefix}: p99 age", quantiles(counts.ages, n=100)[98], "s"),
    ]
