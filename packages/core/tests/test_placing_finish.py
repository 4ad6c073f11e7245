"""The choice of a server by the expected finish."""

import pytest

from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
)
from greengagepoint.placing.finish import Reason, choose_by_finish
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.run_times import RunEstimate
from greengagepoint.placing.spilling import RemoteRegion
from greengagepoint.placing.tables import Server, ServerTable

NOW = 100.0
KEY = "k"
RUNS = RunEstimate(warm=0.2, cold=0.7, mean=0.3)
FITTING = RunEstimate(warm=0.2, cold=0.5, mean=0.3)


class World:
    """Hold six servers in each of two regions, and the last explanation."""

    def __init__(self) -> None:
        self.table = ServerTable()
        for region in ("north", "south"):
            for number in range(6):
                name = f"{region}-{number}"
                self.table.servers[name] = Server(name, "look", "", "z", region, 3)
        self.table.rebuild()
        self.ranks = RankCache()
        self.home, self.second = self.ranks.rank(self.table, "look", "north", KEY)
        self.remote = self.ranks.rank(self.table, "look", "south", KEY)[0]
        self.explained = []
        self.tokens = 0
        self.spills = True

    def load(self, server, held, now=NOW):
        server.apply_report(min(3, held), max(0, held - 3), now)

    def choose(
        self,
        goal=0.6,
        runs=RUNS,
        *,
        warm=(),
        tried=(),
        left=5.0,
        remote=True,
        draw=0.0,
        has_quota=False,
    ):
        def may_wait():
            self.tokens -= 1
            return self.tokens >= 0

        permissions = Permissions(
            lambda row: False, may_wait, lambda: False, lambda row: has_quota
        )
        return choose_by_finish(
            self.table,
            self.ranks,
            ServerCriteria(
                "look",
                ["north"],
                KEY,
                goal,
                left,
                frozenset(row.incarnation for row in tried),
                [row.incarnation for row in warm],
                0.01,
                draw,
            ),
            [RemoteRegion("south", 0.04)] if remote else [],
            permissions,
            lambda server: self.spills,
            runs,
            NOW,
            lambda reason, finish: self.explained.append((reason, finish)),
        )

    @property
    def reason(self):
        return self.explained[-1][0]


def test_a_request_waits_at_home_while_in_time_though_others_are_idle():
    # A move of the key would run it cold, and evict another key from that server.
    world = World()
    world.load(world.home, 5)
    assert world.choose() is world.home
    assert world.reason is Reason.HOME


def test_another_warm_server_is_used_if_the_home_is_late():
    world = World()
    world.load(world.home, 9)
    assert world.choose(warm=[world.home, world.second]) is world.second
    assert world.reason is Reason.OTHER_WARM


def test_a_stalled_home_is_left_and_used_again_when_its_report_is_old():
    # A machine that takes 2.5 times as long makes a warm run late; the stall is over
    # after a second, whether or not this host heard of it.
    world = World()
    world.load(world.home, 2)
    world.home.apply_pace(2.5, NOW - 0.1)
    warm = [world.home, world.second]
    assert world.choose(goal=0.4, warm=warm) is world.second
    world.home.apply_pace(2.5, NOW - 1.1)
    assert world.choose(goal=0.4, warm=warm) is world.home


def test_a_cold_run_is_used_only_if_it_ends_in_time():
    world = World()
    world.load(world.home, 9)
    world.load(world.second, 0)
    assert world.choose(runs=FITTING) is world.second
    assert world.reason is Reason.COLD_IN_TIME
    world.tokens = 1
    assert world.choose() is world.home
    assert world.reason is Reason.LATE_AT_HOME


def test_a_cold_run_in_another_region_needs_permission():
    world = World()
    world.load(world.home, 9)
    world.load(world.second, 9)
    assert world.choose(runs=FITTING) is world.remote
    world.spills = False
    assert isinstance(world.choose(runs=FITTING), NoServerAvailable)


def test_a_late_request_runs_cold_if_that_ends_much_earlier():
    world = World()
    world.load(world.home, 17)
    world.tokens = 1
    assert world.choose() is world.second
    assert world.reason is Reason.COLD_LATE


def test_an_idle_server_runs_a_late_request_without_allowance():
    # A late answer has value to its caller, and takes nothing from others here.
    world = World()
    world.load(world.home, 9)
    assert world.choose() is world.second
    assert world.reason is Reason.COLD_LATE


def test_a_request_without_allowance_is_refused_with_the_inputs():
    world = World()
    for server in (world.home, world.second, world.remote):
        world.load(server, 9)
    place = world.choose()
    assert isinstance(place, NoServerAvailable)
    assert world.reason is Reason.NONE
    assert place.finish == world.explained[-1][1]
    assert place.shortest_wait == pytest.approx(0.7)
    assert place.retry_seconds == pytest.approx(0.31)


@pytest.mark.parametrize("state", ["suspected", "resting", "limited", "tried", "left"])
def test_a_home_that_may_not_be_used_is_replaced_by_the_next_in_rank(state):
    world = World()
    home, tried = world.home, []
    if state == "suspected":
        home.suspect_until = NOW + 1
    elif state == "resting":
        home.rest_until = NOW + 1
    elif state == "limited":
        world.table.set_request_limit(home, 5.0)
    elif state == "tried":
        tried = [home]
    else:
        world.table.leaving.add(home.incarnation)
        world.table.rebuild()
    assert world.choose(tried=tried) is world.second


def test_a_home_that_has_just_started_takes_no_requests_beyond_its_rate():
    world = World()
    world.home.cold_until = NOW + 3
    assert world.choose() is not world.home


def test_a_new_home_does_not_take_a_key_that_is_warm_elsewhere():
    # All keys of a server that joins would run cold at the same time.
    world = World()
    world.home.cold_until = NOW - 1
    assert world.choose(warm=[world.second]) is world.second
    world.home.cold_until = NOW - 30
    assert world.choose(warm=[world.second]) is world.home


def test_a_request_goes_on_as_before_if_no_ranked_server_is_usable():
    world = World()
    world.home.suspect_until = world.second.suspect_until = NOW + 1
    chosen = world.choose(remote=False)
    assert isinstance(chosen, Server)
    assert chosen not in (world.home, world.second)
    assert not world.explained


@pytest.mark.parametrize("state", ["left", "resting", "suspected", "other service"])
def test_another_warm_server_is_not_used_in_a_state_that_forbids_it(state):
    # The host ran the key there a few seconds ago; since then the server changed.
    world = World()
    world.load(world.home, 9)
    other = world.table.servers["north-0"]
    if other in (world.home, world.second):
        other = world.table.servers["north-1"]
    assert world.choose(warm=[world.home, other]) is other
    if state == "left":
        world.table.leaving.add(other.incarnation)
        world.table.rebuild()
    elif state == "resting":
        other.rest_until = NOW + 1
    elif state == "suspected":
        other.suspect_until = NOW + 1
    else:
        other.service = "other"
    assert world.choose(warm=[world.home, other]) is not other
