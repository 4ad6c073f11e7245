"""Properties of the choice by finish for any state of the servers."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from greengagepoint.placing.choice import (
    NoServerAvailable,
    Permissions,
    ServerCriteria,
)
from greengagepoint.placing.finish import EQUAL_FINISH_SHARE, Reason, choose_by_finish
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.run_times import RunEstimate
from greengagepoint.placing.spilling import RemoteRegion
from greengagepoint.placing.tables import Server, ServerTable

NOW, SERVICE = 100.0, "look"
REGIONS = ("north", "south", "west")
EARLIER = st.sampled_from([float("-inf"), NOW - 30, NOW - 2, NOW - 0.2, NOW])
LATER = st.sampled_from([0.0, NOW - 30, NOW - 1, NOW + 2])
SERVER = st.fixed_dictionaries(
    {
        "region": st.sampled_from(REGIONS),
        "service": st.sampled_from([SERVICE, SERVICE, SERVICE, "other"]),
        "slots": st.integers(1, 5),
        "held": st.integers(0, 30),
        "reported_at": EARLIER,
        "suspect_until": LATER,
        "rest_until": LATER,
        "cold_until": LATER,
        "pace": st.sampled_from([0.1, 1.0, 2.5, 100.0]),
        "paced_at": EARLIER,
        "limited": st.booleans(),
        "leaving": st.booleans(),
        "tried": st.booleans(),
        "warm": st.booleans(),
        "permitted": st.booleans(),
    }
)
# Two homes that may both be used are rare among arbitrary servers.
USABLE = SERVER.map(
    lambda row: {
        **row,
        "region": "north",
        "service": SERVICE,
        "reported_at": NOW,
        "suspect_until": 0.0,
        "rest_until": 0.0,
        "cold_until": 0.0,
        "limited": False,
        "leaving": False,
        "tried": False,
    }
)
SECONDS = st.sampled_from([0.001, 0.1, 0.3, 0.7, 2.0])
GOAL = st.sampled_from([-1.0, 0.0, 0.2, 0.5, 1.0, 3.0])


class World:
    """Build the servers of an example and choose one of them."""

    def __init__(self, rows, runs, goal, left, tokens, homes=1, draw=0.0):
        self.rows = {f"i-{number}": row for number, row in enumerate(rows)}
        self.table = ServerTable()
        for name, row in self.rows.items():
            self.table.servers[name] = create_server(name, row)
        for name, server in self.table.servers.items():
            if self.rows[name]["limited"]:
                self.table.set_request_limit(server, 2.0)
            if self.rows[name]["leaving"]:
                self.table.leaving.add(server.incarnation)
        self.table.set_key_placement({}, {("north", SERVICE): homes})
        self.table.rebuild()
        self.draw = draw
        self.ranks = RankCache()
        self.tokens = tokens
        self.sent = []
        self.explained = []
        self.goal, self.left = goal, left
        self.runs = RunEstimate(*sorted(runs[:2]), runs[2])
        self.result = self.choose()

    def named(self, field):
        return [
            server
            for name, server in self.table.servers.items()
            if self.rows[name][field]
        ]

    def choose(self):
        def may_send(server):
            self.sent.append(server)
            return self.rows[server.instance]["permitted"]

        def may_wait():
            self.tokens -= 1
            return self.tokens >= 0

        return choose_by_finish(
            self.table,
            self.ranks,
            ServerCriteria(
                SERVICE,
                ["north"],
                "k",
                self.goal,
                self.left,
                frozenset(row.incarnation for row in self.named("tried")),
                [row.incarnation for row in self.named("warm")],
                0.01,
                self.draw,
            ),
            [RemoteRegion("south", 0.04)],
            Permissions(
                may_send,
                may_wait,
                lambda: self.tokens > 1,
                lambda server: self.rows[server.instance]["permitted"],
            ),
            lambda server: self.tokens != 1,
            self.runs,
            NOW,
            lambda reason, finish: self.explained.append((reason, finish)),
        )


def create_server(name, row):
    server = Server(name, row["service"], "", "z", row["region"], row["slots"])
    server.apply_report(row["held"], 0, row["reported_at"])
    server.apply_pace(row["pace"], row["paced_at"])
    server.suspect_until = row["suspect_until"]
    server.rest_until = row["rest_until"]
    server.cold_until = row["cold_until"]
    return server


INPUTS = (
    st.lists(SERVER, max_size=8),
    st.tuples(SECONDS, SECONDS, SECONDS),
    GOAL,
    st.sampled_from([0.05, 1.0, 6.0]),
    st.integers(0, 3),
)
DRAWS = st.floats(0, 1, exclude_max=True)
WORLDS = st.builds(World, *INPUTS)
WORLDS_OF_HOMES = st.builds(World, *INPUTS, homes=st.just(2), draw=DRAWS)


def warm_finish(world, server):
    """Return the seconds after which a warm run ends at a server of the region."""
    wait = world.runs.mean * server.requests_ahead(NOW) / server.slots
    return 0.01 + server.expected_pace(NOW) * (wait + world.runs.warm)


@settings(max_examples=400)
@given(WORLDS | WORLDS_OF_HOMES)
def test_no_server_is_chosen_that_may_not_be_used(world):
    # Each of these is a request that runs twice, exceeds a limit, or is lost.
    server = world.result
    if isinstance(server, NoServerAvailable):
        return
    row = world.rows[server.instance]
    assert server.service == SERVICE
    assert server.region in ("north", "south")
    assert not row["tried"]
    assert not row["leaving"]
    assert row["rest_until"] <= NOW
    if row["limited"] or row["cold_until"] > NOW:
        assert row["permitted"]
        assert server in world.sent
    if world.explained:
        assert row["suspect_until"] <= NOW


@settings(max_examples=1000)
@given(WORLDS)
def test_a_key_stays_at_its_home_if_it_is_warm_and_in_time_there(world):
    # Each move to another server makes a key cold there, and its caller late.
    home = next(iter(world.ranks.rank(world.table, SERVICE, "north", "k")), None)
    if home is None:
        return
    row = world.rows[home.instance]
    is_usable = max(row["rest_until"], row["suspect_until"]) <= NOW
    if row["tried"] or row["limited"] or not is_usable or row["cold_until"] + 20 > NOW:
        return
    seconds = warm_finish(world, home)
    if seconds + 1e-9 <= min(world.goal, world.left):
        assert world.result is home
        assert [reason for reason, _ in world.explained] == [Reason.HOME]
        assert not world.sent


@settings(max_examples=1000)
@given(
    st.tuples(st.lists(USABLE | SERVER, min_size=2, max_size=6), *INPUTS[1:]),
    st.floats(0, 0.5, exclude_max=True),
    st.floats(0.5, 1, exclude_max=True),
)
def test_the_draw_decides_only_between_homes_of_about_the_same_finish(
    inputs, first_draw, second_draw
):
    # A home with a queue, or on a machine that stalls, would still get half of the
    # requests of its keys.
    first, second = (
        World(*inputs, homes=2, draw=draw) for draw in (first_draw, second_draw)
    )
    homes = first.ranks.homes(first.table, SERVICE, "north", "k")
    if len(homes) == 2:
        difference = abs(warm_finish(first, homes[0]) - warm_finish(first, homes[1]))
        if difference < EQUAL_FINISH_SHARE * first.runs.warm + 1e-9:
            return
    assert second.explained == first.explained
    if isinstance(first.result, Server):
        assert second.result.instance == first.result.instance
    else:
        assert second.result == first.result


@settings(max_examples=400)
@given(WORLDS)
def test_figures_of_a_choice_are_finite_and_explain_it(world):
    # A figure that is not finite or negative would break a Retry-After or a log line.
    for reason, finish in world.explained:
        figures = (finish.seconds, finish.wait, finish.run, finish.pace)
        assert all(math.isfinite(row) and row >= 0 for row in figures)
        in_time = finish.seconds <= world.goal
        assert in_time or reason not in (
            Reason.HOME,
            Reason.OTHER_WARM,
            Reason.COLD_IN_TIME,
        )
    if isinstance(world.result, NoServerAvailable):
        assert math.isfinite(world.result.retry_seconds)
        assert world.result.retry_seconds > 0
