"""Place requests on backend servers, and learn from how they end there."""

from collections.abc import Callable
from typing import Final, NamedTuple

from greengagepoint.events import Event
from greengagepoint.placing import suspicion
from greengagepoint.placing.allowance import create_moving, create_waiting
from greengagepoint.placing.busy_servers import BusyServers
from greengagepoint.placing.choice import NoPlace, Permissions, Wanted
from greengagepoint.placing.cold_start import ColdStartLimiter
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.region_loads import RegionLoads
from greengagepoint.placing.regions import region_for_key, runs_near
from greengagepoint.placing.room import RoomWatch
from greengagepoint.placing.server_silence import AnswerTimes, silent_after
from greengagepoint.placing.spilling import Elsewhere, choose_with_spill, may_leave
from greengagepoint.placing.tables import SHEDDING_QUEUE, Incarnation, Server
from greengagepoint.placing.warm_keys import WarmKeys
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import NOT_RUN, Exchange, Verdict
from greengagepoint_node.gateway.region_weights import RegionWeights, WeightKey
from greengagepoint_node.gateway.view import FleetView

# Looking at each of 3,000 servers takes 3 ms; news of loads is passed on for seconds.
MEASURE_SECONDS: Final = 0.5


class Load(NamedTuple):
    """How many requests a server runs, and how many wait for a slot."""

    running: int
    waiting: int


class Placer:
    """Hold what this host's choices stand on."""

    def __init__(
        self,
        host: str,
        home: str,
        view: FleetView,
        weights: RegionWeights,
        started_at: float,
        events: EventSink,
        distance: Callable[[str], float] = lambda region: 0.0,
    ) -> None:
        self.view = view
        self.weights = weights
        self.distance = distance
        self.events = events
        self.ranks = RankCache()
        self.waiting = create_waiting()
        self.moving = create_moving()
        self.loads = RegionLoads(home)
        self.busy_servers = BusyServers()
        self.room = RoomWatch()
        self.warm_keys = WarmKeys()
        self.answers: dict[tuple[str, str], AnswerTimes] = {}
        self.cold = ColdStartLimiter(host, started_at)
        self.serving_hosts: list[str] = [host]
        self.round_trip_seconds = 0.0
        self.measured_at = float("-inf")

    def place(
        self, call: Call, tried: frozenset[Incarnation], now: float
    ) -> Server | NoPlace:
        """Choose a server for a request that has not been sent to ``tried``."""
        weight_key = self._weight_key(call)
        region = region_for_key(_key_of(call), self.weights.current(weight_key))
        if region is None:
            return NoPlace(retry_seconds=1.0, servers_known=False)
        place = choose_with_spill(
            self.view.servers,
            self.ranks,
            self._wanted(call, region, tried, now),
            self._elsewhere(weight_key, region, now) if weight_key.near else (),
            self._permissions(call, now),
            lambda server: self._may_leave(call, region, server, now),
            now,
        )
        if isinstance(place, Server):
            self._note_place(call, place, now)
        return place

    def _wanted(
        self, call: Call, region: str, tried: frozenset[Incarnation], now: float
    ) -> Wanted:
        """Return what a request asks of the choice."""
        return Wanted(
            call.service,
            [region],
            call.key,
            call.route.goal_seconds,
            call.ends_at - now,
            tried,
            self.warm_keys.servers(call.key, now) if call.key else (),
            self.distance(region),
        )

    def _permissions(self, call: Call, now: float) -> Permissions:
        """Return what the choice for a request may use up."""
        rate = self._cold_rate(call.service)

        def may_send(server: Server) -> bool:
            return self.cold.may_send(server.incarnation, rate, self.serving_hosts, now)

        return Permissions(may_send, self.waiting.withdraw, self.moving.withdraw)

    def _may_leave(self, call: Call, region: str, server: Server, now: float) -> bool:
        """Tell whether a request may leave its region for a server in another one."""
        lost = self.room.lost_share(call.service, region)
        busy = self.loads.busy(call.service, server.region, now)
        return may_leave(_key_of(call), lost, busy)

    def _note_place(self, call: Call, server: Server, now: float) -> None:
        """Take in that a request goes to a server."""
        suspicion.begin_trial(server, now)
        if call.key:
            # The server takes the key in as the run begins, so the next caller of the
            # key finds it warm before the first one is answered.
            self.warm_keys.note(call.key, server.incarnation, now)

    def take_caller(self) -> None:
        """Count one caller toward what a part of them may use up."""
        self.waiting.deposit()
        self.moving.deposit()

    def learn(
        self,
        call: Call,
        server: Server,
        exchange: Exchange,
        seconds: float,
        waited: float,
        now: float,
    ) -> None:
        """Keep what a try says of its server; ``waited`` is what was expected."""
        if call.key and exchange.verdict in NOT_RUN:
            self.warm_keys.forget(call.key, server.incarnation)
        if not self.view.servers.holds(server):
            return
        load = read_load(exchange.load)
        if load is not None:
            server.take_report(load.running, load.waiting, now)
            self.busy_servers.note(server, load.running + load.waiting, now)
        elif exchange.verdict is Verdict.SHED:
            server.take_shedding(now)
            held = (1 + SHEDDING_QUEUE) * server.slots
            self.busy_servers.note(server, held, now)
        if exchange.verdict is Verdict.ANSWERED:
            suspicion.note_answer(server, now)
            self.answer_times(server).take(seconds, now)
            # A run that waited for its slot would make the server look slow, and its
            # queue twice as long as it is.
            if waited == 0 and (load is None or load.waiting == 0):
                server.take_service_time(seconds)
        elif exchange.verdict is Verdict.SHED:
            suspicion.note_answer(server, now)
        elif exchange.verdict is Verdict.OTHER_SERVER:
            self.view.record_replacement(server.incarnation)
        elif exchange.verdict in (Verdict.UNREACHABLE, Verdict.BROKEN):
            self.suspect(server, exchange.verdict, now)

    def answer_times(self, server: Server) -> AnswerTimes:
        """Return how servers like this one have answered this host."""
        return self.answers.setdefault((server.service, server.region), AnswerTimes())

    def silent_after(self, server: Server, seconds_left: float, now: float) -> float:
        """Return after how many seconds a server that answers nobody counts as dead."""
        members = self.view.servers.find(server.service, server.region).servers
        answers = self.answer_times(server)
        return silent_after(
            seconds_left, server.service_seconds, answers, len(members), now
        )

    def suspect(self, server: Server, verdict: Verdict, now: float) -> None:
        """Spare a server for a while, unless a newer one has its id."""
        if not self.view.servers.holds(server):
            return
        suspicion.note_failure(server, now)
        self.events.record(
            Event.BACKEND_SERVER_SUSPECTED,
            instance=server.instance,
            failures=server.failures,
            outcome=verdict,
            seconds=round(server.suspect_until - now, 3),
        )

    def tick(self, now: float) -> None:
        """Look at the room there is, and drop what is kept of servers that are gone."""
        self.room.tick(self.view.servers, now)
        if now - self.measured_at < MEASURE_SECONDS:
            return
        self.measured_at = now
        self.loads.measure(self.view.servers, now)
        self.cold.keep({row.incarnation for row in self.view.servers.servers.values()})

    def _elsewhere(self, key: WeightKey, region: str, now: float) -> list[Elsewhere]:
        """Return the other region with the most free slots, if any may run a key.

        A small one next to it would be filled within a second by what a large one lost.
        Keys that do not run near their callers need none: they are spread by the slots
        that there are, so all regions are as full.
        """
        free = {
            name: slots * (1 - (self.loads.busy(key.service, name, now) or 0.0))
            for name, slots in self.weights.slots(key).items()
            if name != region
        }
        if not free:
            return []
        name = max(free, key=free.__getitem__)
        return [Elsewhere(name, self.distance(name))]

    def _weight_key(self, call: Call) -> WeightKey:
        """Return which weights give a request's key its region."""
        near = runs_near(call.route, self.round_trip_seconds)
        return WeightKey(call.service, call.home_regions, near)

    def _cold_rate(self, service: str) -> float:
        """Return what a cold server of a service bears, in requests a second."""
        routes = self.view.routes
        policy = routes.services.get(service) if routes is not None else None
        return policy.cold_requests_per_second if policy else 0.0


def _key_of(call: Call) -> str:
    """Return what decides the region of a request."""
    return call.key or call.request_id


def read_load(text: str | None) -> Load | None:
    """Return what a server says of its load, or None where it says nothing."""
    if text is None:
        return None
    parts = text.split(",")
    if len(parts) < 2 or not (parts[0].isdigit() and parts[1].isdigit()):
        return None
    return Load(int(parts[0]), int(parts[1]))
