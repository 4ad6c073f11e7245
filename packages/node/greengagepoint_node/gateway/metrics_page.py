"""Render the request path's counters as Prometheus text.

Imported at the first scrape, so that a host without scrapes saves the memory that
OpenTelemetry takes. Its Prometheus exporter needs the TLS module, which this daemon
does not load for the same reason, so the text format is written here.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader, Metric, Sum
from opentelemetry.sdk.resources import Resource

from greengagepoint_node.gateway.counters import GatewayCounters, Gauges
from greengagepoint_node.histogram import Histogram

METER_NAME = "greengagepoint"
# Series of a histogram, which do not get the suffix ``_total`` of other counters.
HISTOGRAM_PARTS = ("_bucket", "_sum")

Rows = Iterable[tuple[float, dict[str, str]]]


class Instrument(NamedTuple):
    """An observable counter."""

    name: str
    description: str
    read: Callable[[], Rows]


class MetricsPage:
    """The metrics of one host, rendered for Prometheus."""

    def __init__(self, counters: GatewayCounters, gauges: Callable[[], Gauges]) -> None:
        self.counters = counters
        self.gauges = gauges
        self.reader = InMemoryMetricReader()
        self.provider = MeterProvider(
            [self.reader], resource=Resource({}), shutdown_on_exit=False
        )
        meter = self.provider.get_meter(METER_NAME)
        for instrument in self._instruments():
            meter.create_observable_counter(
                f"{METER_NAME}_{instrument.name}",
                [_observer(instrument.read)],
                description=instrument.description,
            )
        self._declare_gauges(meter)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        data = self.reader.get_metrics_data()
        lines = [
            line
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            for line in _lines(metric)
        ]
        return ("\n".join(lines) + "\n").encode()

    def _instruments(self) -> Iterator[Instrument]:
        """Yield the counters and the series of the histograms."""
        counters = self.counters
        yield Instrument(
            "requests",
            "Requests by service, route and outcome.",
            lambda: _rows(counters.requests, "service", "route", "outcome"),
        )
        yield Instrument(
            "tries",
            "Requests sent to a backend server, by how that ended.",
            lambda: _rows(counters.tries, "service", "verdict"),
        )
        yield Instrument(
            "backend_connections",
            "New connections to backend servers, by how they ended.",
            lambda: _rows(counters.connections, "outcome"),
        )
        yield Instrument(
            "backend_probes",
            "Probes of whether servers can be reached, by how they ended.",
            lambda: _rows(counters.probes, "outcome"),
        )
        yield Instrument(
            "relayed_requests",
            "Requests passed on by hosts without a backend server, by how they ended.",
            lambda: _rows(counters.relayed, "direction", "outcome"),
        )
        yield Instrument(
            "answers_by_region",
            "Answers by the region of their backend server.",
            lambda: _rows(counters.regions, "service", "region"),
        )
        yield Instrument(
            "store_calls",
            "Calls to the platform's store, by how they ended.",
            lambda: _rows(counters.store_calls, "operation", "outcome"),
        )
        yield Instrument(
            "peer_bytes",
            "Bytes of messages between hosts, by way and direction.",
            lambda: _rows(counters.peer_bytes, "way", "direction"),
        )
        yield Instrument(
            "store_items_refused",
            "Items of the platform's store that were refused, by reason.",
            lambda: _rows(counters.rejected_items, "reason"),
        )
        yield Instrument(
            "requests_in_flight_at_server_end",
            "Requests that a backend server had when it ended, by service.",
            lambda: _rows(counters.in_flight_at_crash, "service"),
        )
        yield Instrument(
            "backend_server_limit_changes",
            "Request limits of backend servers, as they were named and ended.",
            lambda: _rows(counters.limit_changes, "service", "change"),
        )
        yield Instrument(
            "backend_servers_announced_leaving",
            "Backend servers that said in an answer that they leave, by service.",
            lambda: _rows(counters.leaving_announced, "service"),
        )
        yield Instrument(
            "backend_server_rests",
            "Times without requests that backend servers asked for, by service.",
            lambda: _rows(counters.rests, "service"),
        )
        yield Instrument(
            "demand_figures_ignored",
            "Demand figures of peers that were ignored, by reason.",
            lambda: _rows(counters.demand_figures, "reason"),
        )
        yield Instrument(
            "spilled_requests",
            "Requests sent to another region, as their own lost slots or is busy.",
            lambda: _rows(counters.spills, "service", "reason"),
        )
        yield Instrument(
            "account_requests",
            "Requests of client accounts, admitted or over a limit.",
            lambda: _rows(counters.accounts, "account", "outcome"),
        )
        yield Instrument(
            "choices_by_finish",
            "Servers chosen by expected finish, by service and reason.",
            lambda: _rows(counters.choices, "service", "reason"),
        )
        yield Instrument(
            "runs_by_warmth",
            "Runs without a wait, by what was expected and what was measured.",
            lambda: _rows(counters.runs, "service", "expected", "measured"),
        )
        yield Instrument(
            "key_placement",
            "Reports, weights applied, keys moved, runs, cold runs and invalid rows.",
            lambda: _rows(counters.key_placement, "figure"),
        )
        yield Instrument(
            "late_requests",
            "Requests that a stopping host sent or rejected, by service and reason.",
            lambda: _rows(counters.late_requests, "service", "reason"),
        )
        yield Instrument(
            "answers_dropped",
            "Answers that were given up as the host can't hold them, by reason.",
            lambda: _rows(counters.answers_dropped, "reason"),
        )
        yield from _admission_counters(counters)
        durations = counters.durations
        yield Instrument(
            "request_duration_seconds_bucket",
            "Requests that took at most le seconds.",
            lambda: _buckets(durations, "service", "route"),
        )
        yield Instrument(
            "request_duration_seconds_sum",
            "Seconds that requests took together.",
            lambda: _sums(durations, "service", "route"),
        )
        yield from _histogram(
            "loop_lag", "Ticks by how late they came", counters.loop_lag
        )
        yield from _histogram(
            "send_delay",
            "Tries by the time from the choice of a server to the first byte",
            counters.send_delay,
        )
        yield from _histogram(
            "finish_excess",
            "Answers by the time after their expected finish",
            counters.finish_excess,
        )
        yield from _histogram(
            "news_age",
            "Tries by how old the host's news was at the first byte",
            counters.news_age,
        )

    def _declare_gauges(self, meter: Meter) -> None:
        """Create a gauge for each field of Gauges, and that of admission levels."""
        meter.create_observable_gauge(
            f"{METER_NAME}_admission_level",
            [_observer(lambda: _rows(self.counters.admission_levels, "service"))],
            description="Ranks below the level are admitted, by service.",
        )
        for field in Gauges._fields:
            meter.create_observable_gauge(
                f"{METER_NAME}_{field}",
                [_observer(lambda field=field: [(getattr(self.gauges(), field), {})])],
            )
        for field in ("requests_per_second", "peak_per_second", "share"):
            meter.create_observable_gauge(
                f"{METER_NAME}_region_{field}",
                [_observer(lambda field=field: self._region_rows(field))],
            )

    def _region_rows(self, field: str) -> Rows:
        """Yield a figure of regional demand by service and region."""
        for row in self.counters.region_gauges():
            labels = {"service": row.service, "region": row.region}
            yield getattr(row, field), labels


def _admission_counters(counters: GatewayCounters) -> Iterator[Instrument]:
    """Yield the counters of admission and of waits for a server."""
    yield Instrument(
        "admission_rejected",
        "Requests rejected by the admission level, by service and rank.",
        lambda: _rows(counters.admission_rejected, "service", "rank"),
    )
    yield Instrument(
        "waits",
        "Requests that waited on this host for a server, by how that ended.",
        lambda: _rows(counters.waits, "service", "outcome"),
    )
    yield Instrument(
        "pressures_invalid",
        "Pressure figures of peers that were ignored.",
        lambda: [(counters.pressures_invalid, {})],
    )
    yield from _histogram(
        "wait_time", "Waits for a server on this host", counters.wait_time
    )


def _histogram(
    name: str, description: str, histogram: Histogram
) -> Iterator[Instrument]:
    """Yield the series of a histogram of seconds that has no labels."""
    table = {(): histogram}
    yield Instrument(
        f"{name}_seconds_bucket", f"{description}.", lambda: _buckets(table)
    )
    yield Instrument(
        f"{name}_seconds_sum",
        f"{description}, in seconds together.",
        lambda: _sums(table),
    )


def _rows(table: dict[tuple[str, ...], int], *labels: str) -> Rows:
    """Yield a table's counts with its keys as labels."""
    for key, count in list(table.items()):
        yield count, dict(zip(labels, key, strict=True))


def _buckets(table: dict[Any, Histogram], *labels: str) -> Rows:
    """Yield the buckets of a table of histograms."""
    for key, histogram in list(table.items()):
        for bound, count in histogram.buckets():
            yield count, {**dict(zip(labels, key, strict=True)), "le": bound}


def _sums(table: dict[Any, Histogram], *labels: str) -> Rows:
    """Yield the sums of a table of histograms."""
    for key, histogram in list(table.items()):
        yield histogram.total, dict(zip(labels, key, strict=True))


def _observer(
    read: Callable[[], Rows],
) -> Callable[[CallbackOptions], Iterator[Observation]]:
    """Return an OpenTelemetry callback that observes the rows."""
    return lambda options: (Observation(value, labels) for value, labels in read())


def _lines(metric: Metric) -> Iterator[str]:
    """Yield one metric's lines in the Prometheus text format."""
    name, kind = metric.name, "gauge"
    if isinstance(metric.data, Sum):
        kind = "counter"
        if not name.endswith(HISTOGRAM_PARTS):
            name += "_total"
    if metric.description:
        yield f"# HELP {name} {metric.description}"
    yield f"# TYPE {name} {kind}"
    for point in metric.data.data_points:
        labels = ",".join(
            f'{label}="{_escaped(str(value))}"'
            for label, value in (point.attributes or {}).items()
        )
        yield f"{name}{{{labels}}} {point.value}" if labels else f"{name} {point.value}"


def _escaped(text: str) -> str:
    """Escape a label's value for the text format."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
