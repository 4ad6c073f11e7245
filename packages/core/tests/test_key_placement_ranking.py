"""The ranking of servers for keys with and without weights."""

from hypothesis import given
from hypothesis import strategies as st
from key_placement_model import REGION, SERVICE, create_table

from greengagepoint.placing.ranking import (
    CANDIDATES_MAX,
    RANK_LENGTH,
    RankCache,
    score,
    unit_hash,
)

KEYS = st.text(min_size=1, max_size=20)


def rank_before_weights(table, key):
    """Return the order of the ranking before it knew weights."""
    members = table.find(SERVICE, REGION).servers
    hashes = {
        server.instance: unit_hash(f"{key}\0{server.instance}") for server in members
    }
    ordered = sorted(members, key=lambda row: -hashes[row.instance])
    return tuple(ordered[:RANK_LENGTH])


@given(KEYS, st.integers(0, 30), st.booleans())
def test_the_order_without_weights_is_that_of_the_hashes(key, servers, named):
    # Hosts with the mode off would move all keys if the order depended on more.
    table = create_table(servers)
    if named:
        table.set_key_placement({"gone": 3.0}, {})
    found = RankCache().rank(table, SERVICE, REGION, key)
    assert found == rank_before_weights(table, key)


@given(KEYS, st.integers(0, 29), st.floats(1.0, 4.0))
def test_a_greater_weight_takes_keys_and_moves_none_between_others(key, heavy, weight):
    table, ranks = create_table(30), RankCache()
    before = ranks.rank(table, SERVICE, REGION, key)[0].instance
    name = f"i-{heavy:04}"
    table.set_key_placement({name: weight}, {})
    assert ranks.rank(table, SERVICE, REGION, key)[0].instance in (before, name)


@given(KEYS, st.floats(0.25, 4.0))
def test_only_servers_with_the_highest_hashes_get_a_key(key, weight):
    # The coordinator calculates with these candidates only.
    table = create_table(40)
    by_hash = sorted(
        table.find(SERVICE, REGION).servers,
        key=lambda row: -unit_hash(f"{key}\0{row.instance}"),
    )
    heavy = {row.instance: weight for row in by_hash[CANDIDATES_MAX:]}
    table.set_key_placement(heavy, {})
    ranked = RankCache().rank(table, SERVICE, REGION, key)
    assert all(row in by_hash[:CANDIDATES_MAX] for row in ranked)


def test_new_weights_and_new_members_replace_cached_ranks():
    table, ranks = create_table(2), RankCache()
    first, second = ranks.rank(table, SERVICE, REGION, "/p\0k")
    weights = {first.instance: 0.25, second.instance: 4.0}
    for _ in range(2):
        table.set_key_placement(weights, {})
    keys = [f"/p\0{number}" for number in range(100)]
    homes = [ranks.rank(table, SERVICE, REGION, key)[0] for key in keys]
    assert homes.count(second) > 80
    assert table.key_weights_version == 1
    del table.servers[second.instance]
    table.rebuild()
    assert ranks.rank(table, SERVICE, REGION, "/p\0k") == (first,)


def test_a_key_has_one_home_until_a_coordinator_says_otherwise():
    table, ranks = create_table(9), RankCache()
    ranked = ranks.rank(table, SERVICE, REGION, "/p\0k")
    assert ranks.homes(table, SERVICE, REGION, "/p\0k") == ranked[:1]
    table.set_key_placement({}, {(REGION, SERVICE): 2})
    assert ranks.homes(table, SERVICE, REGION, "/p\0k") == ranked


def test_hashes_at_the_ends_of_the_range_have_a_score():
    assert score(0.0) == 0.0
    assert score(1.0) == float("inf")
