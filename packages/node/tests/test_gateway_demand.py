"""Regional demand on the request path: weights, spill, and exchange with peers."""

import math

import msgspec
import pytest
from deployment import async_until
from gateway_world import ZONES, EventLog, async_environment, routes
from test_gateway_gossip import NOW, Clock, async_exchange, host
from test_gateway_metrics import async_scrape, value

from greengagepoint.demand.messages import HostDemand, RegionDemand
from greengagepoint.demand.regional import RegionalDemand
from greengagepoint.events import Event
from greengagepoint.placing.choice import NoServerAvailable
from greengagepoint.placing.region_loads import RegionLoad
from greengagepoint.placing.tables import Server
from greengagepoint.routing.tables import Destination, RequestKind, Route
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.demand_exchange import RegionalDemandExchange
from greengagepoint_node.gateway.gossip_messages import Message, decode
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.region_weights import RegionWeights, WeightKey
from greengagepoint_node.gateway.view import FleetView

LOCAL = WeightKey("booking", frozenset(), prefers_local=True)
REGIONS = frozenset(ZONES.values())


def route(kind=RequestKind.DOWNLOAD):
    return Route(
        name="r", prefix="/", destinations=(Destination("booking"),), kind=kind
    )


def call(number, kind=RequestKind.DOWNLOAD):
    return Call(f"id-{number}", route(kind), "booking", f"k{number}", "/", NOW, NOW + 5)


def add_servers(view, north=2, south=8):
    for region, zone, count in (("north", "zone-a", north), ("south", "zone-b", south)):
        for number in range(count):
            name = f"{region}-{number}"
            view.servers.servers[name] = Server(name, "booking", "", zone, region, 3)
    view.servers.rebuild()


def create_placer(*, is_on=True, events=None):
    view = FleetView(ZONES, lambda item: None, EventLog())
    add_servers(view)
    view.servers.demand.uneven_servers = is_on
    demand = RegionalDemand("h1", "north", REGIONS, view.servers)
    weights = RegionWeights("north", 2, view.servers, events or EventLog(), demand)
    return Placer("h1", "north", view, weights, 0.0, EventLog())


def run(placer, start, seconds, per_second, host_count=1):
    """Let callers send at a rate; return the time at the end."""
    for step in range(seconds * 4):
        now = start + step / 4
        for number in range(per_second // 4):
            placer.count_caller(call(number), now)
        placer.weights.demand.tick(host_count, now)
        placer.weights.tick(now)
    return start + seconds


@pytest.mark.parametrize("is_on", [True, False])
def test_nothing_is_counted_with_the_mode_off(is_on):
    placer = create_placer(is_on=is_on)
    run(placer, NOW, 10, 8)
    assert bool(placer.weights.demand.rates.rates) is is_on
    assert bool(placer.weights.demand.table.hosts) is is_on


def test_weights_follow_the_demand_in_steps():
    # The north has a fifth of the slots. Equal demand would give it 0.4 of its callers'
    # keys, but all of them fit there.
    events = EventLog()
    placer = create_placer(events=events)
    weights = placer.weights
    assert weights.current(LOCAL)["north"] == pytest.approx(0.4)
    former = weights.current(LOCAL)["north"]
    for second in range(40):
        run(placer, NOW + second, 1, 4)
        share = weights.current(LOCAL)["north"]
        assert abs(share - former) <= 0.03 + 1e-9
        former = share
    assert former == pytest.approx(1.0)
    last = events.of(Event.REGION_SHARES_CHANGED)[-1]
    assert last["target"] == {"north": 1.0}
    assert last["ages"] == {"north": pytest.approx(0.25, abs=0.3)}
    assert last["demand"]["north"] == last["demand"]["south"] > 0


def test_a_host_that_hears_nobody_assumes_equal_demand():
    # Its own callers are one of four parts of the region's. If it took them for the
    # region's, it would keep all keys at home and overload the servers there.
    placer = create_placer()
    placer.weights.current(LOCAL)
    run(placer, NOW, 20, 8, host_count=4)
    assert placer.weights.current(LOCAL)["north"] == pytest.approx(0.4)


def test_a_host_that_starts_takes_the_shares_of_its_peers_figures():
    # Its peers run all keys at home. If it began with equal demand, the keys of its
    # callers would run cold elsewhere for the first 20 s.
    placer = create_placer()
    demand = placer.weights.demand
    for step in range(2):
        demand.tick(2, NOW + step)
        rows = [HostDemand("h2", "booking", 20.0, 0.0, 0.1)]
        demand.table.take_hosts(rows, NOW + step)
        placer.weights.tick(NOW + step)
    demand.tick(2, NOW + 2)
    placer.weights.tick(NOW + 2)
    assert placer.weights.current(LOCAL) == {"north": 1.0}


def test_uploads_move_in_steps_when_the_mode_is_switched_on():
    # A new configuration adds ranks. If uploads ran near their callers at once, a fifth
    # of the keys would run cold in the same second.
    placer = create_placer(is_on=False)
    upload = call(1, RequestKind.UPLOAD)
    placer.place(upload, frozenset(), NOW)
    placer.weights.tick(NOW)
    placer.view.servers.demand.uneven_servers = True
    placer.place(upload, frozenset(), NOW)
    assert placer.weights.weights[LOCAL]["north"] == pytest.approx(0.2)
    placer.weights.tick(NOW + 1)
    assert placer.weights.weights[LOCAL]["north"] == pytest.approx(0.23)


def learn_runs(placer):
    """Let the host have measured warm runs of 0.2 s and cold ones of 0.6 s.

    Before the first run, a cold one is assumed to take the whole goal of 1 s, so that
    no answer from another region is in time.
    """
    runs = placer.finish.run_times
    for number in range(200):
        is_warm = number % 4 > 0
        seconds = 0.2 if is_warm else 0.6
        runs.record("booking", "/", 1.0, seconds, NOW, believed_warm=is_warm)


def fill_home(placer):
    """Let all servers of the north have a queue and the south be nearly idle."""
    learn_runs(placer)
    for row in placer.view.servers.servers.values():
        if row.region == "north":
            row.apply_report(3, 30, NOW)
    placer.loads.take([RegionLoad("south", "booking", 0.1, 0.0)], NOW)
    placer.spill_regions.clear()
    placer.wait_allowance.tokens = 0.0


@pytest.mark.parametrize("kind", list(RequestKind))
@pytest.mark.parametrize("is_on", [True, False])
def test_a_small_share_of_requests_leaves_a_busy_region(kind, is_on):
    # Callers of a busy region are refused while another one is idle. If all of them ran
    # there, more than 0.15 of a region's requests would change their region in 2 s.
    placer = create_placer(is_on=is_on)
    placer.tick(NOW)
    fill_home(placer)
    key = placer._weight_key(call(0, kind))
    placer.weights.weights[key] = {"north": 1.0}
    placer.weights.weights[LOCAL] = {"north": 1.0}
    spilled = 0
    for number in range(4_000):
        placer.count_caller(call(number, kind), NOW)
        choice = placer.place(call(number, kind), frozenset(), NOW)
        spilled += isinstance(choice, Server) and choice.region == "south"
    assert spilled <= 0.05 * 4_000
    assert (spilled > 0.02 * 4_000) is is_on


def test_no_request_leaves_a_busy_region_for_a_late_answer():
    # A cold run that takes the goal is late in any region, evicts another key there,
    # and its own key is cold at home afterwards.
    placer = create_placer()
    placer.tick(NOW)
    fill_home(placer)
    placer.finish.run_times.routes.clear()
    placer.weights.weights[LOCAL] = {"north": 1.0}
    for number in range(1_000):
        placer.count_caller(call(number), NOW)
        choice = placer.place(call(number), frozenset(), NOW)
        assert isinstance(choice, NoServerAvailable)
    assert not placer.spills


def with_demand(gossip, *, is_on=True):
    gossip.view.servers.demand.uneven_servers = is_on
    add_servers(gossip.view)
    entry = gossip.own.entry
    demand = RegionalDemand(entry.name, entry.region, REGIONS, gossip.view.servers)
    demand.table.services = {"booking"}
    gossip.demand = RegionalDemandExchange(demand, gossip.clock, gossip.events)
    return demand


async def test_figures_reach_peers_and_only_those_of_regions_leave_the_region():
    one, other = host("h1"), host("h2")
    first, second = with_demand(one), with_demand(other)
    first.table.take_hosts([HostDemand("h9", "booking", 3.0, 1.0, 0.25)], NOW)
    first.table.take_regions(
        [RegionDemand("south", "booking", 9.0, 1, 0.2, 12, 9)], NOW
    )
    await async_exchange(other, one)
    for name in ("hosts", "regions"):
        ((key, sent),) = getattr(first.table, name).items()
        received = getattr(second.table, name)[key]
        assert received[:2] == sent[:2]
        assert NOW - 1.25 <= received.at < sent.at
    message = decode(one.encode_exchange(0, region="south"))
    assert message.host_demands == []
    assert len(message.region_demands) == 1


async def test_messages_carry_no_figures_with_the_mode_off():
    gossip = host("h1")
    demand = with_demand(gossip, is_on=False)
    demand.table.take_hosts([HostDemand("h9", "booking", 3.0, 1.0)], NOW)
    message = decode(gossip.encode_exchange(0, region="north"))
    assert message.host_demands == message.region_demands == []


async def test_invalid_figures_are_counted_and_logged_once():
    # A peer of another build or with a fault sends figures that would distort all
    # shares. A line for each message would fill the log.
    clock = Clock()
    one, other = host("h1", clock), host("h2", clock)
    first, second = with_demand(one), with_demand(other)
    for number in range(3):
        row = HostDemand("h9", "booking", math.nan, 0.0)
        message = other.writer.create_message(0, [])
        message.host_demands = [row, HostDemand("h8", "booking", -1.0, 0.0)]
        one.demand.take(message)
        assert first.table.ignored["rate",] == 2 * number + 2
    assert not first.table.hosts
    assert len(one.events.of(Event.DEMAND_FIGURE_INVALID)) == 1
    assert second.table.ignored == {}


async def test_a_scrape_reports_demand_and_shares():
    # On-call engineers need to see which demand led to the share of a region.
    async with async_environment(metrics=True, rows=ranked_routes()) as world:
        demand = world.daemon.demand
        await async_until(lambda: demand.is_on)
        await world.async_call("/upload/1", "POST", data=b"x")
        await async_until(lambda: demand.table.regions)
        _, lines = await async_scrape(world)
        series = {"service": "booking", "region": "north"}
        assert value(lines, "region_requests_per_second", **series) >= 0
        assert value(lines, "region_peak_per_second", **series) >= 0
        assert value(lines, "region_share", **series) == 1
        series["region"] = "south"
        assert value(lines, "region_requests_per_second", **series) == -1


def ranked_routes():
    """Return routes that switch the mode on: uploads beside another rank."""
    rows = routes()
    return [msgspec.structs.replace(row, rank=i) for i, row in enumerate(rows)]


async def test_a_scrape_reports_no_demand_with_the_mode_off():
    async with async_environment(metrics=True) as world:
        await world.async_call("/pack/1")
        _, lines = await async_scrape(world)
        assert not any("region_share" in line for line in lines)


def test_hosts_of_the_previous_build_exchange_messages_with_this_one():
    # During a release half of the hosts are of the previous build. If one could not
    # decode a message of the other, the fleet would fall apart.
    gossip = host("h1")
    demand = with_demand(gossip)
    demand.table.take_regions([RegionDemand("south", "booking", 9.0, 1.0)], NOW)
    message = gossip.writer.create_message(0, [])
    gossip.demand.fill(message, "north")
    fields = msgspec.structs.fields(Message)
    former_fields = [
        (row.name, row.type, row.default)
        if row.default is not msgspec.NODEFAULT
        else (row.name, row.type)
        if row.default_factory is msgspec.NODEFAULT
        else (row.name, row.type, msgspec.field(default_factory=row.default_factory))
        for row in fields
        if not row.name.endswith("_demands")
    ]
    former = msgspec.defstruct("FormerMessage", former_fields, array_like=True)
    body = msgspec.msgpack.encode(message)
    decoded = msgspec.msgpack.decode(body, type=former)
    assert decoded.hosts == message.hosts
    assert decode(msgspec.msgpack.encode(decoded)).region_demands == []


def test_hosts_with_saved_allowances_do_not_spill_together():
    # All servers of a region become busy at once. 27 hosts with a saved token each get
    # 31 requests in 2 s. At most 0.15 of them may change their region, of which the
    # weights take 0.06.
    placers = [create_placer() for _ in range(27)]
    for placer in placers:
        placer.tick(NOW)
        fill_home(placer)
        placer.weights.weights[LOCAL] = {"north": 1.0}
        placer.spill_allowance.tokens = 1.0
    spilled = []
    for window in range(100):
        for number in range(31):
            placer = placers[number % len(placers)]
            choice = placer.place(call(31 * window + number), frozenset(), NOW)
            spilled.append(isinstance(choice, Server) and choice.region == "south")
            placer.spill_allowance.tokens = 1.0
    assert 0 < sum(spilled) / len(spilled) <= 0.09


def test_the_region_for_spills_is_chosen_again_each_tick():
    # If it were kept for longer, all hosts would spill to a region that they have
    # filled meanwhile, or whose servers have left.
    placer = create_placer()
    placer.tick(NOW)
    fill_home(placer)
    assert [row.region for row in placer._spill_candidates(LOCAL, "north", NOW)]
    for name in [row for row in placer.view.servers.servers if "south" in row]:
        del placer.view.servers.servers[name]
    placer.view.servers.rebuild()
    assert isinstance(placer.place(call(1), frozenset(), NOW), NoServerAvailable)
    placer.tick(NOW + 0.25)
    assert placer._spill_candidates(LOCAL, "north", NOW + 0.25) == []
