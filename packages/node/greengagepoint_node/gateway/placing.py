"""Place requests on backend servers, and learn from how they end there."""

from typing import NamedTuple

from greengagepoint.events import Event
from greengagepoint.placing import suspicion
from greengagepoint.placing.allowance import create_moving, create_waiting
from greengagepoint.placing.choice import NoPlace, Permissions, Wanted, choose
from greengagepoint.placing.cold_start import ColdStartLimiter
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.regions import region_for_key, runs_near
from greengagepoint.placing.tables import Server
from greengagepoint.placing.warm_keys import WarmKeys
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.exchange import NOT_RUN, Exchange, Verdict
from greengagepoint_node.gateway.region_weights import RegionWeights, WeightKey
from greengagepoint_node.gateway.view import FleetView


class Load(NamedTuple):
    """How many requests a server runs, and how many wait for a slot."""

    running: int
    waiting: int


class Placer:
    """Hold what this host's choices stand on."""

    def __init__(
        self,
        host: str,
        view: FleetView,
        weights: RegionWeights,
        started_at: float,
        events: EventSink,
    ) -> None:
        self.view = view
        self.weights = weights
        self.events = events
        self.ranks = RankCache()
        self.waiting = create_waiting()
        self.moving = create_moving()
        self.warm_keys = WarmKeys()
        self.cold = ColdStartLimiter(host, started_at)
        self.serving_hosts: list[str] = [host]
        self.round_trip_seconds = 0.0

    def place(self, call: Call, tried: frozenset[str], now: float) -> Server | NoPlace:
        """Choose a server for a request that has not been sent to ``tried``."""
        wanted = Wanted(
            call.service,
            self._regions(call),
            call.key,
            call.route.goal_seconds,
            call.ends_at - now,
            tried,
            self.warm_keys.instances(call.key, now) if call.key else (),
        )

        def may_send(server: Server) -> bool:
            rate = self._cold_rate(call.service)
            return self.cold.may_send(server.instance, rate, self.serving_hosts, now)

        permissions = Permissions(may_send, self.waiting.withdraw, self.moving.withdraw)
        place = choose(self.view.servers, self.ranks, wanted, permissions, now)
        if call.key and isinstance(place, Server):
            # The server takes the key in as the run begins, so the next caller of the
            # key finds it warm before the first one is answered.
            self.warm_keys.note(call.key, place.instance, now)
        return place

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
            self.warm_keys.forget(call.key, server.instance)
        load = read_load(exchange.load)
        if load is not None:
            server.take_report(load.running, load.waiting, now)
        elif exchange.verdict is Verdict.SHED:
            server.take_shedding(now)
        if exchange.verdict is Verdict.ANSWERED:
            suspicion.note_answer(server, now)
            # A run that waited for its slot would make the server look slow, and its
            # queue twice as long as it is.
            if waited == 0 and (load is None or load.waiting == 0):
                server.take_service_time(seconds)
        elif exchange.verdict in (Verdict.UNREACHABLE, Verdict.BROKEN):
            self.suspect(server, exchange.verdict, now)

    def suspect(self, server: Server, verdict: Verdict, now: float) -> None:
        """Spare a server for a while."""
        suspicion.note_failure(server, now)
        self.events.record(
            Event.BACKEND_SERVER_SUSPECTED,
            instance=server.instance,
            failures=server.failures,
            outcome=verdict,
            seconds=round(server.suspect_until - now, 3),
        )

    def forget_gone(self) -> None:
        """Drop what is kept of servers that are gone."""
        self.cold.keep(set(self.view.servers.servers))

    def _regions(self, call: Call) -> list[str]:
        """Return the region of a request's key, if any may run it."""
        near = runs_near(call.route, self.round_trip_seconds)
        key = WeightKey(call.service, call.route.home_regions, near)
        weights = self.weights.current(key)
        region = region_for_key(call.key or call.request_id, weights)
        return [region] if region is not None else []

    def _cold_rate(self, service: str) -> float:
        """Return what a cold server of a service bears, in requests a second."""
        routes = self.view.routes
        policy = routes.services.get(service) if routes is not None else None
        return policy.cold_requests_per_second if policy else 0.0


def read_load(text: str | None) -> Load | None:
    """Return what a server says of its load, or None where it says nothing."""
    if text is None:
        return None
    parts = text.split(",")
    if len(parts) < 2 or not (parts[0].isdigit() and parts[1].isdigit()):
        return None
    return Load(int(parts[0]), int(parts[1]))
