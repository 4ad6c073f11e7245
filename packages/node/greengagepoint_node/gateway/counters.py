"""Count requests, attempts and store calls in tables read by metrics scrapes."""

from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple

from greengagepoint.errors import ErrorKind
from greengagepoint_node.histogram import Histogram

ANSWERED: Final = "answered"
ADMITTED: Final = "admitted"
REFUSED: Final = "refused"
OTHER: Final = "other"
# Operators add routes by the thousand; a series for each would exhaust the host's
# memory.
ROUTES_MAX: Final = 100
ACCOUNTS_MAX: Final = 100
SECONDS_BOUNDS: Final = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8)
LAG_BOUNDS: Final = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5)


class Gauges(NamedTuple):
    """A host's current view; ages are in seconds, -1 if there is no value yet."""

    configuration_version: int
    configuration_age_seconds: float
    configuration_certainty_age_seconds: float
    store_contact_age_seconds: float
    store_revision: int
    store_era: int
    backend_servers: int
    backend_servers_suspected: int
    backend_servers_limited: int
    backend_servers_resting: int
    requests_suspected: int
    requests_quarantined: int
    hosts_alive: int
    keys_known: int
    requests_in_flight: int
    link_delay_seconds: float
    log_lines_dropped: int
    requests_waiting: int
    backend_connection_age_seconds: float
    cut_off: int
    hosts_cut_off: int
    memory_bytes: int
    answer_bytes_held: int
    answer_bytes_budget: int


class RegionGauge(NamedTuple):
    """The demand of one region for a service, and its share of this host's keys.

    The rates are in requests per second, -1 without a recent figure.
    """

    service: str
    region: str
    requests_per_second: float
    peak_per_second: float
    share: float


class GatewayCounters:
    """Totals since the start.

    Keys are (service, route, outcome) for requests, (service, verdict) for attempts
    (``tries``), (service, region) for answers, (operation, outcome) for store calls,
    (path, direction) for the bytes of messages between hosts, (reason,) for rejected
    items of the store, (service,) for requests in flight at a server crash, (account,
    admitted or refused) for ``accounts``, (service, named, changed or ended) for
    ``limit_changes`` of servers, (service,) for ``leaving_announced`` and
    ``rests``, (service, reason) for ``choices`` by expected finish and (service,
    believed, measured) for ``runs``, each warm or cold. ``finish_excess`` holds the
    seconds by which answers came after their expected finish. Further keys are
    (figure,) for ``key_placement``, (reason,) for ignored ``demand_figures`` of peers,
    (service, lost or busy) for ``spills`` to another region. ``region_gauges`` returns
    the regional demand, which is empty with the demand-aware mode off. (service,) are
    the keys of ``admission_levels``, (service, rank) of ``admission_rejected`` and
    (service, outcome) of ``waits``. ``wait_time`` holds the seconds that requests
    waited for a server, ``pressures_invalid`` the number of ignored figures of peers.
    (reason,) are the keys of ``answers_dropped``,
    (service, reason) those of ``late_requests``, which came to a stopping host.
    (made or failed,) are the keys of ``connections`` to backend servers and of
    ``probes``, (sent, verdict) and (received, done or unable) those of ``relayed``
    requests.
    ``send_delay`` holds the seconds from the choice of a server to the first byte,
    ``news_age`` the age of the host's state at the first byte.
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, str, str]] = Counter()
        self.tries: Counter[tuple[str, str]] = Counter()
        self.connections: Counter[tuple[str]] = Counter()
        self.probes: Counter[tuple[str]] = Counter()
        self.relayed: Counter[tuple[str, str]] = Counter()
        self.regions: Counter[tuple[str, str]] = Counter()
        self.store_calls: Counter[tuple[str, str]] = Counter()
        self.peer_bytes: Counter[tuple[str, str]] = Counter()
        self.rejected_items: Counter[tuple[str]] = Counter()
        self.in_flight_at_crash: Counter[tuple[str]] = Counter()
        self.limit_changes: Counter[tuple[str, str]] = Counter()
        self.leaving_announced: Counter[tuple[str]] = Counter()
        self.rests: Counter[tuple[str]] = Counter()
        self.choices: Counter[tuple[str, str]] = Counter()
        self.runs: Counter[tuple[str, str, str]] = Counter()
        self.finish_excess = Histogram(SECONDS_BOUNDS)
        self.key_placement: Counter[tuple[str]] = Counter()
        self.demand_figures: Counter[tuple[str]] = Counter()
        self.spills: Counter[tuple[str, str]] = Counter()
        self.region_gauges: Callable[[], list[RegionGauge]] = list
        self.durations: dict[tuple[str, str], Histogram] = {}
        self.loop_lag = Histogram(LAG_BOUNDS)
        self.late_requests: Counter[tuple[str, str]] = Counter()
        self.answers_dropped: Counter[tuple[str]] = Counter()
        self.send_delay = Histogram(SECONDS_BOUNDS)
        self.news_age = Histogram(SECONDS_BOUNDS)
        self.routes: set[str] = set()
        self.accounts: Counter[tuple[str, str]] = Counter()
        self.account_names: set[str] = set()
        self.admission_levels: dict[tuple[str], float] = {}
        self.admission_rejected: Counter[tuple[str, str]] = Counter()
        self.waits: Counter[tuple[str, str]] = Counter()
        self.wait_time = Histogram(SECONDS_BOUNDS)
        self.pressures_invalid = 0

    def add_request(
        self, service: str, route: str, outcome: ErrorKind | str, seconds: float
    ) -> None:
        """Count a finished request and its duration."""
        route = self._route_label(route)
        self.requests[service, route, str(outcome)] += 1
        duration = self.durations.get((service, route))
        if duration is None:
            duration = self.durations[service, route] = Histogram(SECONDS_BOUNDS)
        duration.add(seconds)

    def add_account(self, name: str, *, admitted: bool) -> None:
        """Count a request of an account; accounts over the limit share one label."""
        if name not in self.account_names:
            if len(self.account_names) < ACCOUNTS_MAX:
                self.account_names.add(name)
            else:
                name = OTHER
        self.accounts[name, ADMITTED if admitted else REFUSED] += 1

    def _route_label(self, route: str) -> str:
        """Return the label of a route; routes over the limit share one label."""
        if route not in self.routes:
            if len(self.routes) >= ROUTES_MAX:
                return OTHER
            self.routes.add(route)
        return route
