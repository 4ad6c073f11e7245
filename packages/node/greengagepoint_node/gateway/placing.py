"""Choose backend servers for requests, and track the load and health of servers."""

import math
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from greengagepoint.backpressure.quota import QuotaPool
from greengagepoint.draining.late_requests import LongestRuns
from greengagepoint.events import Event
from greengagepoint.key_placement.usage import KeyUsage
from greengagepoint.placing import suspicion
from greengagepoint.placing.allowance import (
    create_move_allowance,
    create_spill_allowance,
    create_wait_allowance,
)
from greengagepoint.placing.busy_servers import BusyServers
from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
    preferred_servers,
)
from greengagepoint.placing.cold_start import ColdStartLimiter
from greengagepoint.placing.ranking import RankCache, unit_hash
from greengagepoint.placing.region_loads import RegionLoads
from greengagepoint.placing.regions import region_for_key, should_run_locally
from greengagepoint.placing.request_limits import server_to_ask_for
from greengagepoint.placing.rests import seconds_until_rested
from greengagepoint.placing.room import LostCapacityTracker
from greengagepoint.placing.server_silence import AnswerTimes, silence_timeout
from greengagepoint.placing.spilling import (
    BUSY_SPILL_KEY_SHARE,
    RemoteRegion,
    can_spill_key,
    choose_with_spill,
)
from greengagepoint.placing.tables import SHEDDING_QUEUE_PER_SLOT, Incarnation, Server
from greengagepoint.placing.unmeasured import choose_unmeasured
from greengagepoint.placing.unverified import UnverifiedServers, lacks_news
from greengagepoint.placing.warm_keys import WarmKeys
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import NOT_RUN, Exchange, Verdict
from greengagepoint_node.gateway.finish_placing import FinishPlacing
from greengagepoint_node.gateway.load_reports import (
    DecodeLoad,
    LoadReader,
    LoadReport,
    record_uneven_servers,
)
from greengagepoint_node.gateway.region_weights import RegionWeights, WeightKey
from greengagepoint_node.gateway.view import FleetView

# A pass over 3,000 servers takes 3 ms, and load reports stay in use for seconds.
LOAD_REFRESH_SECONDS: Final = 0.5


class PlacementInputs(NamedTuple):
    """Hold what the choice of a server depends on; ``now`` is monotonic seconds."""

    call: Call
    region: str
    criteria: ServerCriteria
    remote_regions: Sequence[RemoteRegion]
    permissions: Permissions
    may_spill: Callable[[Server], bool]
    now: float


class Placer:
    """Choose servers for requests from this host's view of the fleet.

    ``distance`` returns the round-trip time to a region in seconds, ``decode_load``
    the load report in a server's header.
    """

    def __init__(
        self,
        host: str,
        home: str,
        view: FleetView,
        weights: RegionWeights,
        started_at: float,
        events: EventSink,
        distance: Callable[[str], float] = lambda region: 0.0,
        decode_load: DecodeLoad = lambda text: None,
    ) -> None:
        self.view = view
        self.weights = weights
        self.distance = distance
        self.events = events
        self.ranks = RankCache()
        self.wait_allowance = create_wait_allowance()
        self.move_allowance = create_move_allowance()
        self.spill_allowance = create_spill_allowance()
        self.spills: Counter[tuple[str, str]] = Counter()
        self.spill_regions: dict[tuple[WeightKey, str], list[RemoteRegion]] = {}
        self.loads = RegionLoads(home)
        self.busy_servers = BusyServers()
        self.lost_capacity = LostCapacityTracker()
        self.warm_keys = WarmKeys()
        self.key_usage = KeyUsage()
        self.answer_times_by_group: dict[tuple[str, str], AnswerTimes] = {}
        self.cold_starts = ColdStartLimiter(host, started_at)
        self.quota = QuotaPool()
        self.load_reader = LoadReader(decode_load, events)
        self.finish = FinishPlacing()
        self.longest_runs = LongestRuns()
        self.limit_sharers: list[str] = [host]
        self.round_trip_seconds = 0.0
        self.loads_measured_at = float("-inf")
        self.unverified = UnverifiedServers(host, (host,))
        self.lacks_news = False
        self.reaches_servers: Callable[[], bool] = lambda: True
        self.news_age: Callable[[], float] = lambda: 0.0

    def place(
        self, call: Call, tried: frozenset[Incarnation], now: float
    ) -> Server | NoServerAvailable:
        """Choose a server for a request, other than those in ``tried``."""
        weight_key = self._weight_key(call)
        region = region_for_key(_placement_key(call), self.weights.current(weight_key))
        if region is None:
            return NoServerAvailable(retry_seconds=1.0, servers_known=False)
        candidates: Sequence[RemoteRegion] = ()
        if weight_key.prefers_local or self.view.servers.demand.is_on:
            candidates = self._spill_candidates(weight_key, region, now)
        inputs = PlacementInputs(
            call,
            region,
            self._create_criteria(call, region, tried, now),
            candidates,
            self._create_permissions(call, now),
            lambda server: self._may_spill(call, region, server, now),
            now,
        )
        if self.lacks_news:
            inputs = self._limit_unverified(inputs, weight_key)
        choice = self._choose(inputs)
        if not isinstance(choice, Server) and call.relayed:
            choice = (
                choose_unmeasured(
                    self.view.servers, inputs.criteria, inputs.permissions, now
                )
                or choice
            )
        if isinstance(choice, Server):
            self._record_placement(call, choice, now)
        return choice

    def _choose(self, inputs: PlacementInputs) -> Server | NoServerAvailable:
        """Choose a server for a request, or tell why there is none."""
        call = inputs.call
        arguments = (
            self.view.servers,
            self.ranks,
            inputs.criteria,
            inputs.remote_regions,
            inputs.permissions,
            inputs.may_spill,
            inputs.now,
        )
        if self.view.servers.demand.is_on and call.key is not None:
            return self.finish.choose(call, *arguments)
        return choose_with_spill(*arguments)

    def _limit_unverified(
        self, inputs: PlacementInputs, key: WeightKey
    ) -> PlacementInputs:
        """Return inputs with the limits of a host without news.

        They apply in all regions. The load of other regions is not known.
        """
        now = inputs.now
        rate = self._cold_requests_per_second(inputs.call.service)
        others = [row for row in self.weights.slots(key) if row != inputs.region]
        return inputs._replace(
            permissions=inputs.permissions._replace(
                may_use=lambda server: self.unverified.may_use(server, rate, now)
            ),
            remote_regions=[
                RemoteRegion(name, self.distance(name))
                for name in sorted(others, key=self.distance)
            ],
            may_spill=lambda server: True,
        )

    def server_to_ask_for(
        self, call: Call, tried: frozenset[Incarnation], now: float
    ) -> Server | None:
        """Return the limited server for which a request needs quota, or None."""
        if not self.view.servers.limited:
            return None
        weights = self.weights.current(self._weight_key(call))
        region = region_for_key(_placement_key(call), weights)
        if region is None:
            return None
        criteria = self._create_criteria(call, region, tried, now)
        return server_to_ask_for(
            preferred_servers(self.view.servers, self.ranks, criteria, now),
            lambda server: self.quota.is_available(server.incarnation, now),
            lambda server: self.quota.may_ask(server.incarnation, now),
            now,
        )

    def _create_criteria(
        self, call: Call, region: str, tried: frozenset[Incarnation], now: float
    ) -> ServerCriteria:
        """Return what a request requires of its server."""
        return ServerCriteria(
            call.service,
            [region],
            call.key,
            self._goal_seconds(call, now),
            call.ends_at - now,
            tried,
            self.warm_keys.servers(call.key, now) if call.key else (),
            self.distance(region),
            unit_hash(call.request_id),
        )

    def _goal_seconds(self, call: Call, now: float) -> float:
        """Return the goal, or what is left of it if requests may have waited here."""
        if not self.view.servers.demand.is_on:
            return call.route.goal_seconds
        return max(0.0, call.arrived_at + call.route.goal_seconds - now)

    def _create_permissions(self, call: Call, now: float) -> Permissions:
        """Return the rate limits and allowances that the choice has to respect."""
        return Permissions(
            lambda server: self.may_send(server, now),
            self.wait_allowance.withdraw,
            self.move_allowance.withdraw,
            lambda server: self.quota.is_available(server.incarnation, now),
        )

    def may_send(self, server: Server, now: float) -> bool:
        """Spend one request of the rates of a cold or limited server."""
        incarnation = server.incarnation
        is_limited = server.request_limit is not None
        if is_limited and not self.quota.is_available(incarnation, now):
            return False
        rate = self._cold_requests_per_second(server.service)
        is_cold = server.cold_until > now
        if is_cold and not self.cold_starts.may_send(
            incarnation, rate, self.limit_sharers, now
        ):
            return False
        return not is_limited or self.quota.withdraw(incarnation, now)

    def _may_spill(self, call: Call, region: str, server: Server, now: float) -> bool:
        """Return True if a request may spill to a server of another region."""
        lost = self.lost_capacity.lost_share(call.service, region)
        busy = self.loads.busy(call.service, server.region, now)
        if can_spill_key(_placement_key(call), lost, busy):
            self.spills[call.service, "lost"] += 1
            return True
        if not self.view.servers.demand.is_on:
            return False
        can_spill = can_spill_key(_placement_key(call), BUSY_SPILL_KEY_SHARE, busy)
        if not can_spill or not self.spill_allowance.withdraw():
            return False
        self.spills[call.service, "busy"] += 1
        return True

    def _record_placement(self, call: Call, server: Server, now: float) -> None:
        """Record that a request is assigned to a server."""
        suspicion.begin_probe(server, now)
        self.unverified.record(server, now)
        if call.key:
            # The server loads the key when it starts the request, so the key is warm
            # for the next caller before the first one is answered.
            self.warm_keys.note(call.key, server.incarnation, now)

    def count_caller(self, call: Call, now: float) -> None:
        """Add one caller's share to the allowances and to its region's demand."""
        self.wait_allowance.deposit()
        self.move_allowance.deposit()
        if not self.view.servers.demand.is_on:
            return
        self.spill_allowance.deposit()
        key = self._weight_key(call)
        if key.prefers_local and not key.home_regions:
            self.weights.demand.count(call.service, now)

    def record_attempt(
        self,
        call: Call,
        server: Server,
        exchange: Exchange,
        seconds: float,
        expected_wait: float,
        now: float,
    ) -> LoadReport | None:
        """Record the outcome of an attempt at a server; return its load report.

        ``expected_wait`` is the wait for a slot expected when the server was chosen.
        ``seconds`` is the time from sending the request to the outcome.
        """
        if call.key and exchange.verdict in NOT_RUN:
            self.warm_keys.forget(call.key, server.incarnation)
        is_newest = self.view.servers.is_newest(server)
        if not is_newest and not self.view.servers.demand.is_on:
            return None
        if exchange.verdict in (Verdict.ANSWERED, Verdict.TIMED_OUT):
            self.longest_runs.record(call.service, call.route.prefix, seconds)
        load = self.load_reader.read(server, exchange.load)
        if not is_newest:
            # The pressure counts responses of a former incarnation, too.
            return load
        if load is not None:
            self.apply_report(server, load, "answer", now)
        elif exchange.verdict is Verdict.SHED:
            server.apply_shedding(now)
            assumed_load = (1 + SHEDDING_QUEUE_PER_SLOT) * server.slots
            self.busy_servers.note(server, assumed_load, now)
        if exchange.verdict is Verdict.ANSWERED:
            suspicion.record_answer(server, now)
            self.answer_times(server).record_time(seconds, now)
            # The time of a request that waited for its slot would make the server look
            # slow, and its queue twice as long as it is.
            if expected_wait == 0 and (load is None or load.waiting == 0):
                server.record_service_time(seconds)
            round_trip = self.distance(server.region)
            is_cold = self.finish.record_run(
                call, server, seconds, round_trip, load, now
            )
            if call.key and self.view.servers.demand.is_on:
                self.key_usage.note(
                    server.region, server.service, call.key, is_cold=is_cold
                )
                self.weights.demand.record_run(server.service, seconds)
        elif exchange.verdict is Verdict.SHED:
            suspicion.record_answer(server, now)
            self.finish.record_shed(call, server)
        elif exchange.verdict is Verdict.OTHER_SERVER:
            self.view.record_replacement(server.incarnation)
        elif exchange.verdict in (Verdict.UNREACHABLE, Verdict.BROKEN):
            self.suspect(server, exchange.verdict, now)
        return load

    def apply_report(
        self, server: Server, report: LoadReport, source: str, now: float
    ) -> None:
        """Apply the load report of a server; ``source`` tells how it came."""
        server.apply_report(report.running, report.waiting, now)
        self.busy_servers.note(server, report.running + report.waiting, now)
        if report.pace is not None:
            server.apply_pace(report.pace, now)
            record_uneven_servers(self.view.servers.demand, self.events, source)

    def answer_times(self, server: Server) -> AnswerTimes:
        """Return this host's answer times for a server's service and region."""
        return self.answer_times_by_group.setdefault(
            (server.service, server.region), AnswerTimes()
        )

    def silence_timeout(self, server: Server, seconds_left: float, now: float) -> float:
        """Return the seconds without any answer after which a server counts as dead."""
        members = self.view.servers.find(server.service, server.region).servers
        answers = self.answer_times(server)
        return silence_timeout(
            seconds_left, server.service_seconds, answers, len(members), now
        )

    def suspect(self, server: Server, verdict: Verdict, now: float) -> None:
        """Suspect a server for a while, unless a newer incarnation has replaced it."""
        if not self.view.servers.is_newest(server):
            return
        suspicion.record_failure(server, now)
        self.events.record(
            Event.BACKEND_SERVER_SUSPECTED,
            instance=server.instance,
            failures=server.failures,
            outcome=verdict,
            seconds=round(server.suspect_until - now, 3),
        )

    def tick(self, now: float) -> None:
        """Update free capacity and loads, and drop the state of removed servers."""
        self.view.servers.demand.apply_routes(self.view.routes)
        self.lost_capacity.tick(self.view.servers, now)
        self.spill_regions.clear()
        self._check_news()
        if now - self.loads_measured_at < LOAD_REFRESH_SECONDS:
            return
        self.loads_measured_at = now
        if self.reaches_servers():
            # Over lost links all servers would count as busy, and peers would hear so.
            self.loads.measure(self.view.servers, now)
        known = {row.incarnation for row in self.view.servers.servers.values()}
        self.cold_starts.keep(known)
        self.unverified.retain(known)
        self.load_reader.retain(known)
        self.finish.tick(now)

    def _check_news(self) -> None:
        """Log when this host begins or ends to limit requests for lack of news."""
        age = self.news_age()
        heard, sharers = len(self.unverified.hosts), len(self.limit_sharers)
        if lacks_news(age, heard, sharers) == self.lacks_news:
            return
        self.lacks_news = not self.lacks_news
        self.events.record(
            Event.SERVERS_UNVERIFIED,
            active=self.lacks_news,
            news_age=round(age, 3) if math.isfinite(age) else None,
            heard_hosts=heard,
            sharers=sharers,
            servers=len(self.view.servers.servers),
        )

    def rest_seconds(self, call: Call, now: float) -> float:
        """Return the seconds until the first server of a request's region is rested."""
        weights = self.weights.current(self._weight_key(call))
        region = region_for_key(_placement_key(call), weights) or ""
        members = self.view.servers.find(call.service, region).servers
        return seconds_until_rested(members, now)

    def _spill_candidates(
        self, key: WeightKey, region: str, now: float
    ) -> list[RemoteRegion]:
        """Return the other region with the most free slots, if one may run the key.

        With the demand-aware mode on, the result is kept until the next tick: it is
        needed for every request then, and looks at all servers of the other regions.
        """
        if not self.view.servers.demand.is_on:
            return self._find_spill_region(key, region, now)
        found = self.spill_regions.get((key, region))
        if found is None:
            found = self._find_spill_region(key, region, now)
            self.spill_regions[key, region] = found
        return found

    def _find_spill_region(
        self, key: WeightKey, region: str, now: float
    ) -> list[RemoteRegion]:
        """Find the other region with the most free slots, if one may run the key.

        The nearest region may be small, and requests that spill from a large region
        would fill it within a second. With the demand-aware mode off, keys that do not
        run near their callers do not spill: they are spread in proportion to slots, so
        all regions are equally full.
        """
        free = {
            name: slots * (1 - (self.loads.busy(key.service, name, now) or 0.0))
            for name, slots in self.weights.slots(key).items()
            if name != region
            and not seconds_until_rested(
                self.view.servers.find(key.service, name).servers, now
            )
        }
        if not free:
            return []
        name = max(free, key=free.__getitem__)
        return [RemoteRegion(name, self.distance(name))]

    def _weight_key(self, call: Call) -> WeightKey:
        """Return the key of the weights that assign a request to a region."""
        prefers_local = should_run_locally(
            call.route,
            self.round_trip_seconds,
            demand_is_on=self.view.servers.demand.is_on,
        )
        return WeightKey(call.service, call.home_regions, prefers_local)

    def _cold_requests_per_second(self, service: str) -> float:
        """Return the request rate limit of a cold server of a service, per second."""
        routes = self.view.routes
        policy = routes.services.get(service) if routes is not None else None
        return policy.cold_requests_per_second if policy else 0.0


def _placement_key(call: Call) -> str:
    """Return the key that is hashed to choose a request's region."""
    return call.key or call.request_id
