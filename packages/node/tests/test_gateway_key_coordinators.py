"""The placement of keys while hosts, links and coordinators fail."""

import asyncio
import math
from collections import Counter

import msgspec
import pytest
from aiohttp import web
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from key_fleet import REGION, SERVICE, KeyFleet

from greengagepoint.events import Event
from greengagepoint.key_placement.balancing import WEIGHT_MAX, WEIGHT_MIN
from greengagepoint.key_placement.coordinator import (
    EARLY_SECONDS,
    MOVED_SHARE_PER_SECOND,
)
from greengagepoint.key_placement.following import RegionPlacement
from greengagepoint.key_placement.messages import (
    KeyUsageReport,
    KeyUsageRow,
    KeyWeights,
    KeyWeightsAnswer,
)
from greengagepoint_node.gateway import key_placement
from greengagepoint_node.gateway.host_table import ALIVE_SECONDS, HeardHost

# Heartbeats expire, and a host without answers asks the next one.
FAILOVER_SECONDS = math.ceil(ALIVE_SECONDS) + 2


def spread(host):
    """Return the difference between the most and the fewest keys of a server."""
    homes = host.homes()
    counts = [homes.count(name) for name in host.fleet.servers]
    return max(counts) - min(counts)


def versions(fleet):
    """Return the versions of weights that hosts apply."""
    return {host.version for host in fleet.hosts.values()}


async def async_placed_fleet(hosts=4):
    """Return a fleet whose coordinator has placed the keys, and its name."""
    fleet = KeyFleet(hosts)
    before = spread(fleet.hosts["h0"])
    await fleet.async_run(12)
    (coordinator,) = fleet.coordinators()
    assert spread(fleet.hosts["h0"]) < before
    assert {name for name, _, _ in versions(fleet)} == {coordinator}
    return fleet, coordinator


async def test_the_next_host_takes_over_from_a_killed_coordinator():
    # The successor starts from the weights that it applies, so no key moves there.
    fleet, coordinator = await async_placed_fleet()
    fleet.kill(coordinator)
    homes = {name: host.homes() for name, host in fleet.hosts.items()}
    await fleet.async_run(FAILOVER_SECONDS)
    (successor,) = fleet.coordinators()
    assert all(host.homes() == homes[successor] for host in fleet.hosts.values())
    assert {name for name, _, _ in versions(fleet)} == {successor}
    lines = fleet.hosts[successor].events.of(Event.KEY_COORDINATOR_CHANGED)
    assert lines[-1]["weights"] > 0


async def test_the_last_host_starts_from_the_weights_that_it_applies():
    # There is no other host to ask for them, and starting anew would move most keys.
    fleet, coordinator = await async_placed_fleet(2)
    fleet.kill(coordinator)
    (survivor,) = fleet.hosts.values()
    homes = survivor.homes()
    await fleet.async_run(FAILOVER_SECONDS)
    assert fleet.coordinators() == [survivor.own.entry.name]
    assert survivor.homes() == homes


async def test_runs_are_reported_once_the_coordinator_can_be_reached():
    # The next host in rank answers meanwhile, but does not count runs.
    fleet = KeyFleet(3)
    await fleet.async_run(1, keys_per_host=0)
    (coordinator,) = fleet.coordinators()
    fleet.sides = {coordinator: 1}
    await fleet.async_run(2)
    fleet.sides = {}
    placement = fleet.hosts[coordinator].placement
    before = len(placement.coordinator.keys.rows)
    await fleet.async_run(3, keys_per_host=0)
    assert fleet.coordinators() == [coordinator]
    assert len(placement.coordinator.keys.rows) > before + 50


async def test_an_older_version_that_another_host_passes_on_is_ignored():
    # Keys would move back and forth while two hosts answer in turn.
    fleet, _ = await async_placed_fleet()
    host = fleet.hosts["h0"]
    message = host.applied.create_message()
    message.version -= 1
    message.weights = {}
    host.placement._apply(REGION, message)
    assert host.applied.weights


async def test_weights_of_another_incarnation_that_a_host_passes_on_are_ignored():
    # The coordinator is slow, and the next host has missed its weights. Hosts that take
    # those that it still applies change back with the coordinator's next answer.
    fleet, coordinator = await async_placed_fleet()
    placement = fleet.hosts[coordinator].placement
    following = placement._ranked_hosts(REGION)[1].name
    stale = RegionPlacement("former", 9, 50, {"i-0": 4.0}, {}, fleet.clock.now)
    fleet.hosts[following].placement.applied.regions[REGION] = stale
    fleet.mute.add(coordinator)
    await fleet.async_run(2)
    names = {name: host.version[0] for name, host in fleet.hosts.items()}
    assert names.pop(following) == "former"
    assert set(names.values()) == {coordinator}
    fleet.mute.clear()
    await fleet.async_run(4)
    assert {name for name, _, _ in versions(fleet)} == {coordinator}


async def test_a_host_without_weights_takes_those_that_another_passes_on():
    # It would rank all keys by hash until the coordinator answers.
    fleet, coordinator = await async_placed_fleet()
    fleet.start("new")
    fleet.mute.add(coordinator)
    await fleet.async_run(2)
    assert fleet.hosts["new"].version[0] in fleet.hosts
    assert fleet.hosts["new"].view.servers.key_weights


async def test_a_restarted_coordinator_takes_over_the_weights_in_use():
    # It has lost its weights. If it started anew, most keys would move at once.
    fleet, coordinator = await async_placed_fleet()
    fleet.kill(coordinator)
    await fleet.async_run(FAILOVER_SECONDS)
    fleet.start(coordinator)
    other = next(host for name, host in fleet.hosts.items() if name != coordinator)
    homes = other.homes()
    await fleet.async_run(4)
    assert fleet.coordinators() == [coordinator]
    assert {name for name, _, _ in versions(fleet)} == {coordinator}
    assert other.homes() == homes == fleet.hosts[coordinator].homes()


async def test_a_first_coordinator_balances_through_its_first_seconds():
    # Hosts report the version of its own first weights. If it took these over as those
    # of a former coordinator, it would not balance for 10 s.
    found = []
    for seconds in range(2, int(EARLY_SECONDS) + 1):
        # With each second, keys are used that were not known before.
        fleet = KeyFleet(4, keys=1_000)
        await fleet.async_run(seconds)
        (coordinator,) = fleet.coordinators()
        placed = fleet.hosts[coordinator].placement.coordinator
        assert not placed.seeded
        found.append(placed.version)
    assert found == sorted(set(found))


async def test_rounds_go_on_after_one_that_failed(monkeypatch):
    # Without its task, a coordinator stays elected, and its region is not balanced.
    monkeypatch.setattr(key_placement, "PERIOD_SECONDS", 0.0)
    fleet = KeyFleet(1)
    host = fleet.hosts["h0"]
    rounds = Counter()
    went_on = asyncio.Event()

    def fail_first(name):
        rounds[name] += 1
        if rounds[name] == 1:
            raise ValueError(name)
        if rounds["balance"] > 1 and rounds["report"] > 1:
            went_on.set()

    async def async_balance():
        fail_first("balance")

    monkeypatch.setattr(host.placement, "async_balance", async_balance)
    monkeypatch.setattr(host.placement, "start_reports", lambda: fail_first("report"))
    task = asyncio.create_task(host.placement.async_run())
    waiting = asyncio.create_task(went_on.wait())
    await asyncio.wait({task, waiting}, return_when=asyncio.FIRST_COMPLETED)
    assert not task.done()
    task.cancel()
    lines = host.events.of(Event.INTERNAL_ERROR)
    assert [line["detail"] for line in lines] == [
        "ValueError('balance')",
        "ValueError('report')",
    ]


async def test_a_coordinator_that_is_slow_once_is_not_replaced():
    # Its answers are lost; hosts ask the next one, which passes on the same weights.
    fleet, coordinator = await async_placed_fleet()
    fleet.mute.add(coordinator)
    await fleet.async_run(2)
    fleet.mute.clear()
    await fleet.async_run(4)
    assert fleet.coordinators() == [coordinator]
    assert {name for name, _, _ in versions(fleet)} == {coordinator}


async def test_a_frozen_host_gets_the_new_weights_with_its_next_report():
    fleet, coordinator = await async_placed_fleet()
    frozen = next(name for name in fleet.hosts if name != coordinator)
    fleet.frozen.add(frozen)
    fleet.servers -= {"i-0", "i-1"}
    await fleet.async_run(4)
    fleet.frozen.clear()
    await fleet.async_run(3)
    assert fleet.hosts[frozen].version == fleet.hosts[coordinator].version


async def test_hosts_on_both_sides_of_a_partition_agree_and_follow_one_afterwards():
    fleet, coordinator = await async_placed_fleet(6)
    others = [name for name in fleet.hosts if name != coordinator]
    fleet.sides = dict.fromkeys(others[:3], 1)
    await fleet.async_run(FAILOVER_SECONDS + 2)
    assert len(fleet.coordinators()) == 2
    assert len({fleet.hosts[name].version[0] for name in others[:3]}) == 1
    fleet.sides = {}
    await fleet.async_run(4)
    assert fleet.coordinators() == [coordinator]
    assert {name for name, _, _ in versions(fleet)} == {coordinator}


async def test_a_server_that_joins_gets_keys_and_one_that_leaves_gets_none():
    fleet, _ = await async_placed_fleet()
    fleet.servers = fleet.servers - {"i-0"} | {"new"}
    await fleet.async_run(20)
    host = fleet.hosts["h0"]
    assert "i-0" not in host.homes()
    assert host.homes().count("new") > 5


async def test_a_host_without_runs_reports_every_2_s():
    fleet, coordinator = await async_placed_fleet()
    before = fleet.hosts[coordinator].counts["reports_received",]
    await fleet.async_run(6, keys_per_host=0)
    received = fleet.hosts[coordinator].counts["reports_received",] - before
    assert received <= len(fleet.hosts) * 4


async def test_a_coordinator_of_the_previous_build_is_skipped():
    # During an upgrade the first host in rank may not know the path of the reports.
    fleet = KeyFleet(3)
    await fleet.async_run(1, keys_per_host=0)
    (coordinator,) = fleet.coordinators()

    async def async_answer_unknown_path(request):
        return web.Response(status=404)

    fleet.hosts[coordinator].placement.async_take = async_answer_unknown_path
    await fleet.async_run(8)
    for name, host in fleet.hosts.items():
        if name != coordinator:
            assert not host.view.servers.key_weights
            assert host.counts["reports_answered",] > 0


@pytest.mark.parametrize(
    ("hosts", "seconds"), [(1, 1.0), (60, 1.0), (90, 1.5), (300, 5.0)]
)
async def test_reports_are_rarer_in_large_fleets(hosts, seconds):
    # A coordinator gets 60 reports per second at most.
    fleet = KeyFleet(1)
    host = fleet.hosts["h0"]
    now = fleet.clock.now
    for number in range(1, hosts):
        host.table.peers_by_name[f"h{number}"] = HeardHost(host.own, now, now)
    assert host.placement.period_seconds() == pytest.approx(seconds)
    await host.placement._async_adjust()
    assert host.placement.coordinator.period_seconds == pytest.approx(seconds)


@pytest.mark.parametrize(
    "weights",
    [
        {"i-0": math.nan, "i-1": -2.0, "i-2": math.inf, "i-3": 1e9},
        {"nowhere": 2.0, "i-0": 0.0, "i-1": 5.0},
        {f"unknown-{number}": 2.0 for number in range(10_000)},
    ],
    ids=["out of range", "partly", "too many"],
)
async def test_invalid_weights_are_ignored_with_one_line(weights):
    # A faulty coordinator must not take all keys from its peers' servers.
    fleet, _ = await async_placed_fleet()
    host = fleet.hosts["h0"]
    for version in (1, 2, 3):
        host.placement._apply(REGION, KeyWeights("faulty", version, weights, {}, 9))
    assert all(
        WEIGHT_MIN <= weight <= WEIGHT_MAX and name in fleet.servers
        for name, weight in host.view.servers.key_weights.items()
    )
    assert "i-0" in host.homes()
    assert len(host.events.of(Event.KEY_PLACEMENT_INVALID)) == 1
    assert host.counts["invalid_rows",] >= 3 * 2


async def test_weights_of_servers_that_a_host_learns_later_are_valid():
    # A host that starts may get weights before it knows the servers. A line at each
    # start would hide those of faulty hosts.
    fleet = KeyFleet(1)
    host = fleet.hosts["h0"]
    host.learn_servers({"i-0"})
    message = KeyWeights("h9", 1, {"i-0": 2.0, "i-1": 3.0}, {}, 9)
    host.placement._apply(REGION, message)
    assert not host.events.of(Event.KEY_PLACEMENT_INVALID)
    assert not host.counts["invalid_rows",]
    host.learn_servers({"i-0", "i-1"})
    host.placement.applied.tick(host.view.servers)
    assert host.view.servers.key_weights == {"i-0": 2.0, "i-1": 3.0}


async def test_the_coordinator_is_elected_once_a_round(monkeypatch):
    # Ranking 300 hosts for each of their reports would take most of a round.
    fleet = KeyFleet(4)
    await fleet.async_run(2)
    (coordinator,) = fleet.coordinators()
    placement = fleet.hosts[coordinator].placement
    calls = Counter()
    elect = placement._elect

    def count_and_elect():
        calls["elect"] += 1
        elect()

    monkeypatch.setattr(placement, "_elect", count_and_elect)
    await fleet.async_run(3)
    assert fleet.hosts[coordinator].counts["reports_received",] > 6
    assert calls["elect"] == 3


async def test_invalid_reports_are_ignored_with_one_line():
    fleet, coordinator = await async_placed_fleet()
    host = fleet.hosts[coordinator]
    rows = [KeyUsageRow(SERVICE, f"k{number}", 1, 1, 5) for number in range(10_000)]
    for _ in range(3):
        host.placement._answer(KeyUsageReport("faulty", 1, REGION, 0, rows))
        host.placement._answer(KeyUsageReport("faulty", 1, REGION, 0, rows[:9]))
    assert len(host.placement.coordinator.keys.rows) == len(fleet.keys)
    assert len(host.events.of(Event.KEY_PLACEMENT_INVALID)) == 1


def test_hosts_of_a_newer_build_may_append_fields():
    report = KeyUsageReport("h1", 1, REGION, 0, [])
    longer = [*msgspec.to_builtins(report), "new"]
    assert msgspec.convert(longer, KeyUsageReport) == report
    assert msgspec.convert([None, False, "new"], KeyWeightsAnswer) == KeyWeightsAnswer()


class KeyPlacementMachine(RuleBasedStateMachine):
    """Kill, cut, freeze and start hosts while servers join and leave."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.fleet = KeyFleet(5)
        self.joined = 0

    def teardown(self):
        # Failures end, and all hosts follow one coordinator again.
        self.fleet.sides, self.fleet.mute, self.fleet.frozen = {}, set(), set()
        self.run_seconds(FAILOVER_SECONDS + 4)
        assert len(self.fleet.coordinators()) == 1
        assert len({name for name, _, _ in versions(self.fleet)} - {""}) <= 1
        self.loop.close()

    def run_seconds(self, seconds):
        """Run the fleet; no coordinator moves more keys in use than it may."""
        for _ in range(seconds):
            before = {
                host: (host.view.servers.version, dict(host.homes_in_use()))
                for host in self.fleet.hosts.values()
                if is_past_start(host)
            }
            self.loop.run_until_complete(self.fleet.async_run())
            for host, (version, homes) in before.items():
                if host.view.servers.version == version and is_past_start(host):
                    moved = sum(host.home(key) != home for key, home in homes.items())
                    known = len(host.placement.coordinator.keys.rows)
                    assert moved <= MOVED_SHARE_PER_SECOND * known

    @rule(seconds=st.integers(1, 6))
    def time_passes(self, seconds):
        self.run_seconds(seconds)

    @precondition(lambda self: len(self.fleet.hosts) > 1)
    @rule(data=st.data())
    def kill(self, data):
        self.fleet.kill(data.draw(st.sampled_from(sorted(self.fleet.hosts))))

    @rule(number=st.integers(0, 6))
    def start(self, number):
        self.fleet.kill(f"h{number}") if f"h{number}" in self.fleet.hosts else None
        self.fleet.start(f"h{number}")

    @rule(names=st.sets(st.sampled_from([f"h{number}" for number in range(7)])))
    def cut(self, names):
        self.fleet.sides = dict.fromkeys(names, 1)

    @rule(names=st.sets(st.sampled_from([f"h{number}" for number in range(7)])))
    def freeze(self, names):
        self.fleet.frozen = names & set(self.fleet.hosts)

    @rule(names=st.sets(st.sampled_from([f"h{number}" for number in range(7)])))
    def mute(self, names):
        self.fleet.mute = names

    @rule()
    def join(self):
        self.joined += 1
        self.fleet.servers = self.fleet.servers | {f"n-{self.joined}"}

    @precondition(lambda self: len(self.fleet.servers) > 1)
    @rule(data=st.data())
    def leave(self, data):
        name = data.draw(st.sampled_from(sorted(self.fleet.servers)))
        self.fleet.servers = self.fleet.servers - {name}

    @invariant()
    def weights_are_in_range(self):
        for host in self.fleet.hosts.values():
            weights = host.view.servers.key_weights.values()
            assert all(WEIGHT_MIN <= weight <= WEIGHT_MAX for weight in weights)

    @invariant()
    def hosts_with_the_same_version_agree(self):
        by_version = {}
        for host in self.fleet.hosts.values():
            known = by_version.setdefault(host.version, host)
            assert host.applied.weights == known.applied.weights
            assert host.applied.homes == known.applied.homes
            if set(host.view.servers.servers) == set(known.view.servers.servers):
                assert host.homes() == known.homes()

    @invariant()
    def keys_run_on_members(self):
        for host in self.fleet.hosts.values():
            assert set(host.homes()) <= set(host.view.servers.servers)


def is_past_start(host):
    """Return True if a host is a coordinator whose moves are limited.

    One that has not changed any weights may still take over those of others.
    """
    coordinator = host.placement.coordinator
    began = host.fleet.clock.now - coordinator.began_at
    return (
        host.placement.is_coordinator
        and coordinator.version > 0
        and (coordinator.seeded or coordinator.early_seconds <= began < math.inf)
    )


KeyPlacementMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None
)
TestKeyPlacementMachine = KeyPlacementMachine.TestCase
