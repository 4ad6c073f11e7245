"""The choice between the two homes of a key."""

from collections import Counter

import pytest
from test_placing_finish import NOW, RUNS, World

from greengagepoint.placing.finish import Reason
from greengagepoint.placing.tables import Server

DRAWS = [number / 100 for number in range(100)]
# The tolerance is half of a warm run, 0.1 s. One request ahead takes a third of the
# mean run at three slots.
WITHIN_TOLERANCE = RUNS._replace(mean=0.24)
BEYOND_TOLERANCE = RUNS._replace(mean=0.36)


def create_world():
    world = World()
    world.table.set_key_placement({}, {("north", "look"): 2})
    return world


def count_choices(world, draws=DRAWS, **options):
    """Return how many of the draws choose each server."""
    return Counter(world.choose(draw=draw, **options).instance for draw in draws)


def both_orders(world):
    """Return the homes as one and other, in both orders."""
    return ((world.home, world.second), (world.second, world.home))


def half_each(world):
    return {world.home.instance: 50, world.second.instance: 50}


@pytest.mark.parametrize("is_warm", [True, False])
def test_homes_with_the_same_finish_each_get_half_of_the_requests(is_warm):
    # With all requests at the first home, it has a queue while the other one is idle,
    # and the other one evicts the key.
    world = create_world()
    warm = [world.home, world.second] if is_warm else []
    assert count_choices(world, warm=warm) == half_each(world)
    assert {reason for reason, _ in world.explained} == {Reason.HOME}


def test_a_key_with_one_home_stays_there_whatever_the_draw():
    # The second in rank is no home: the key would run cold there.
    world = World()
    assert count_choices(world) == {world.home.instance: 100}


@pytest.mark.parametrize("order", [0, 1])
def test_a_home_with_a_recent_report_of_a_queue_is_left_for_the_other_one(order):
    # Half of its requests would go on waiting there though the other home has free
    # slots. All of them are in time at both homes.
    world = create_world()
    full, free = both_orders(world)[order]
    world.load(full, 6)
    assert count_choices(world, goal=2.0) == {free.instance: 100}


def test_an_old_report_of_a_queue_does_not_change_the_choice():
    # A queue lasts a second, and a host hears of each server only once in many. All
    # hosts that heard of it would stay away, and fill the other home.
    world = create_world()
    world.load(world.home, 6, NOW - 30)
    assert count_choices(world, goal=2.0) == half_each(world)


def test_homes_are_equal_up_to_the_tolerance():
    # Estimates differ by a request that nobody has reported yet.
    world = create_world()
    world.load(world.home, 3)
    assert count_choices(world, runs=WITHIN_TOLERANCE) == half_each(world)
    assert count_choices(world, runs=BEYOND_TOLERANCE) == {world.second.instance: 100}


def test_of_equal_homes_the_one_in_time_is_used():
    # The draw would make half of the requests late by less than the tolerance.
    world = create_world()
    world.load(world.home, 3)
    choices = count_choices(world, goal=0.25, runs=WITHIN_TOLERANCE)
    assert choices == {world.second.instance: 100}


@pytest.mark.parametrize("order", [0, 1])
@pytest.mark.parametrize("state", ["resting", "suspected", "tried", "limited", "sent"])
def test_a_home_that_may_not_be_used_is_replaced_by_the_other_one(state, order):
    # The draw would send half of the requests to a server that is dead, that asked for
    # a rest, that this request has just tried, or above its limit.
    world = create_world()
    unusable, other = both_orders(world)[order]
    options = {}
    if state == "resting":
        unusable.rest_until = NOW + 1
    elif state == "suspected":
        unusable.suspect_until = NOW + 1
    elif state == "tried":
        options["tried"] = [unusable]
    else:
        # With "sent", another request spent the last of the quota meanwhile.
        world.table.set_request_limit(unusable, 5.0)
        options["has_quota"] = state == "sent"
    assert count_choices(world, **options) == {other.instance: 100}


@pytest.mark.parametrize("order", [0, 1])
def test_a_home_that_left_is_replaced_by_the_next_in_rank(order):
    world = create_world()
    left, other = both_orders(world)[order]
    world.table.leaving.add(left.incarnation)
    world.table.rebuild()
    choices = count_choices(world)
    assert choices[other.instance] == 50
    assert len(choices) == 2
    assert left.instance not in choices


@pytest.mark.parametrize("order", [0, 1])
def test_a_new_home_gets_no_requests_while_the_key_is_cold_there(order):
    # All keys of a server that joins as a home would run cold at the same time.
    world = create_world()
    new, other = both_orders(world)[order]
    new.cold_until = NOW - 1
    assert count_choices(world, warm=[other]) == {other.instance: 100}
    new.cold_until = NOW - 30
    assert count_choices(world, warm=[other]) == half_each(world)


def test_a_request_goes_on_as_before_if_neither_home_is_usable():
    world = create_world()
    world.home.suspect_until = world.second.suspect_until = NOW + 1
    chosen = world.choose(remote=False)
    assert isinstance(chosen, Server)
    assert chosen not in (world.home, world.second)
    assert not world.explained
