"""Count what the daemon does and render it for GET /metrics.

A recording with attributes through an OpenTelemetry counter or histogram costs about
17 microseconds, which each request would pay several times. Requests are counted in
plain tables instead, and observable instruments read these when they are scraped.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Final, NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from greengagepoint_node.histogram import Histogram

METER_NAME: Final = "greengagepoint"
UNKNOWN_SERVICE: Final = "unknown"
MAX_SERVICES: Final = 100
# Upper bounds; a last bucket without a bound follows.
REQUEST_BOUNDS_SECONDS: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
)
TICK_BOUNDS_SECONDS: Final = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 1.0)

Observations = Callable[[], Iterable[Observation]]


class PeerTotals(NamedTuple):
    """Totals of the peer links since the start."""

    bytes_in: int
    bytes_out: int
    messages_in: int
    messages_out: int
    rejected: int
    dropped: int


class Sources(NamedTuple):
    """Where figures come from that the daemon's parts keep themselves.

    ``headroom`` gives free concurrent requests by region, ``peers`` the totals of
    the peer links, ``generation`` the configuration in force, ``store_calls`` the
    calls to the key-value service by operation and outcome.
    """

    headroom: Callable[[], Mapping[str, float]]
    peers: Callable[[], PeerTotals]
    generation: Callable[[], int]
    store_calls: Callable[[], Mapping[tuple[str, str], int]] = dict


class Metrics:
    """Figures of one daemon, in a registry of its own."""

    def __init__(self, sources: Sources) -> None:
        self.sources = sources
        self.requests: Counter[tuple[str, str]] = Counter()
        self.services: set[str] = set()
        self.in_flight: Counter[str] = Counter()
        self.durations: defaultdict[str, Histogram] = defaultdict(
            lambda: Histogram(REQUEST_BOUNDS_SECONDS)
        )
        self.ticks = Histogram(TICK_BOUNDS_SECONDS)
        self.lookups = 0
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=self.registry
        )
        self.provider = MeterProvider(
            [reader], resource=Resource({}), shutdown_on_exit=False
        )
        self._declare(self.provider.get_meter(METER_NAME))

    def start_request(self, service: str) -> None:
        """Count a request that has been admitted."""
        self.in_flight[service] += 1

    def finish_request(self, service: str, kind: str, seconds: float) -> None:
        """Count the end of a request; ``kind`` is ``ok`` or an error kind."""
        self.in_flight[service] -= 1
        self.requests[service, kind] += 1
        self.durations[service].add(seconds)

    def refuse_request(self, service: str, kind: str) -> None:
        """Count a request that was refused before it was admitted."""
        # A caller may name any service, and each name would be a series for ever.
        if service not in self.services:
            if len(self.services) >= MAX_SERVICES:
                service = UNKNOWN_SERVICE
            self.services.add(service)
        self.requests[service, kind] += 1

    def add_lookup(self) -> None:
        """Count one look-up."""
        self.lookups += 1

    def add_tick(self, seconds: float) -> None:
        """Count one run of the periodic systems."""
        self.ticks.add(seconds)

    def render(self) -> bytes:
        """Return all figures in the Prometheus text format."""
        return generate_latest(self.registry)

    def close(self) -> None:
        """Release the provider."""
        self.provider.shutdown()

    def _declare(self, meter: Meter) -> None:
        """Create the instruments; Prometheus adds ``_total`` to counters."""
        for name, read, description in (
            ("requests", self._requests, "Requests by service and outcome."),
            (
                "request_duration_seconds_bucket",
                self._request_buckets,
                "Requests by service that took at most le seconds.",
            ),
            (
                "request_duration_seconds_sum",
                self._request_sums,
                "Seconds that the requests of a service took together.",
            ),
            ("lookups", self._lookups, "Look-ups answered."),
            (
                "tick_duration_seconds_bucket",
                self._tick_buckets,
                "Runs of the periodic systems that took at most le seconds.",
            ),
            (
                "tick_duration_seconds_sum",
                self._tick_sum,
                "Seconds that the periodic systems took together.",
            ),
            (
                "peer_traffic_bytes",
                self._peer_bytes,
                "Bytes to and from other daemons.",
            ),
            ("peer_messages", self._peer_messages, "Peer messages by outcome."),
            ("store_calls", self._store_calls, "Calls to the key-value service."),
        ):
            meter.create_observable_counter(
                f"{METER_NAME}_{name}", [_callback(read)], description=description
            )
        for name, read, description in (
            ("requests_in_flight", self._in_flight, "Requests now under way."),
            (
                "headroom_requests",
                self._headroom,
                "Concurrent requests that a region has free.",
            ),
            (
                "configuration_generation",
                self._generation,
                "Generation of the configuration in force.",
            ),
        ):
            meter.create_observable_gauge(
                f"{METER_NAME}_{name}", [_callback(read)], description=description
            )

    def _requests(self) -> Iterator[Observation]:
        for (service, kind), count in self.requests.items():
            yield Observation(count, {"service": service, "kind": kind})

    def _request_buckets(self) -> Iterator[Observation]:
        for service, histogram in self.durations.items():
            for bound, count in histogram.buckets():
                yield Observation(count, {"service": service, "le": bound})

    def _request_sums(self) -> Iterator[Observation]:
        for service, histogram in self.durations.items():
            yield Observation(histogram.total, {"service": service})

    def _lookups(self) -> Iterator[Observation]:
        yield Observation(self.lookups)

    def _tick_buckets(self) -> Iterator[Observation]:
        for bound, count in self.ticks.buckets():
            yield Observation(count, {"le": bound})

    def _tick_sum(self) -> Iterator[Observation]:
        yield Observation(self.ticks.total)

    def _peer_bytes(self) -> Iterator[Observation]:
        totals = self.sources.peers()
        yield Observation(totals.bytes_in, {"direction": "in"})
        yield Observation(totals.bytes_out, {"direction": "out"})

    def _peer_messages(self) -> Iterator[Observation]:
        totals = self.sources.peers()
        yield Observation(totals.messages_in, {"outcome": "received"})
        yield Observation(totals.messages_out, {"outcome": "sent"})
        yield Observation(totals.rejected, {"outcome": "rejected"})
        yield Observation(totals.dropped, {"outcome": "dropped"})

    def _store_calls(self) -> Iterator[Observation]:
        for (operation, outcome), count in self.sources.store_calls().items():
            yield Observation(count, {"operation": operation, "outcome": outcome})

    def _in_flight(self) -> Iterator[Observation]:
        for service, count in self.in_flight.items():
            yield Observation(count, {"service": service})

    def _headroom(self) -> Iterator[Observation]:
        for region, free in self.sources.headroom().items():
            yield Observation(free, {"region": region})

    def _generation(self) -> Iterator[Observation]:
        yield Observation(self.sources.generation())


def _callback(read: Observations) -> Callable[[CallbackOptions], Iterable[Observation]]:
    """Return an OpenTelemetry callback for a method without arguments."""
    return lambda options: read()
