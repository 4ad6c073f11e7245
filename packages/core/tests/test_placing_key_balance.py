"""Keys that are spread over servers by what all hosts see of them."""

from collections import Counter

import pytest

from greengagepoint.placing.key_balance import (
    FORGET_SECONDS,
    KEYS_EACH_MIN,
    KeyBalance,
    KeyPlace,
)
from greengagepoint.placing.ranking import RankCache, digest_of, rank_servers
from greengagepoint.placing.seen_keys import TELL_SECONDS, SeenKeys
from greengagepoint.placing.tables import Server, ServerTable

SERVICE, REGION = "booking", "attiki"


def table_of(*names, region=REGION):
    table = ServerTable()
    for name in names:
        table.servers[name] = Server(name, SERVICE, "", "zone", region, 3)
    table.rebuild()
    return table


def names(count):
    return [f"i-{number}" for number in range(count)]


def first(table, key):
    members = table.find(SERVICE, REGION).servers
    return rank_servers(digest_of(key), members)[0].instance


def ask(balance, table, keys, now=0.0):
    """Let each key run where hosts that know all moves send it."""
    ranks = RankCache()
    for key in keys:
        ranks.take_moves({(r.service, r.digest): r.instance for r in balance.moves})
        server = ranks.rank(table, SERVICE, REGION, key)[0]
        balance.see([KeyPlace(SERVICE, digest_of(key), server.instance)], table, now)


def keys_each(balance, table, keys):
    ranks = RankCache()
    ranks.take_moves({(r.service, r.digest): r.instance for r in balance.moves})
    return Counter(ranks.rank(table, SERVICE, REGION, key)[0].instance for key in keys)


def keys_of(count):
    return [f"k{number}" for number in range(count)]


@pytest.mark.parametrize(("servers", "keys"), [(4, 100), (20, 330), (50, 825)])
def test_no_server_has_more_keys_than_its_part(servers, keys):
    table, balance = table_of(*names(servers)), KeyBalance(REGION)
    ask(balance, table, 2 * keys_of(keys))
    counts = keys_each(balance, table, keys_of(keys))
    assert max(counts.values()) <= -(-keys // servers)


def test_few_keys_stay_where_hashing_puts_them():
    table, balance = table_of(*names(10)), KeyBalance(REGION)
    ask(balance, table, keys_of(KEYS_EACH_MIN))
    assert balance.moves == []


def test_a_key_moves_only_once():
    table, balance = table_of(*names(10)), KeyBalance(REGION)
    for _ in range(5):
        ask(balance, table, keys_of(165))
    assert len(balance.moves) == len(balance.moved)


def test_keys_of_a_server_that_leaves_go_to_the_others():
    """Guards against keys that hosts are sent with to a server that is gone."""
    table, balance = table_of(*names(10)), KeyBalance(REGION)
    ask(balance, table, keys_of(165))
    fewer = table_of(*names(9))
    ask(balance, fewer, 2 * keys_of(165))
    counts = keys_each(balance, fewer, keys_of(165))
    assert "i-9" not in counts
    assert max(counts.values()) <= -(-165 // 9)


def test_a_server_that_joins_gets_keys_that_hashing_gives_it():
    table, balance = table_of(*names(9)), KeyBalance(REGION)
    ask(balance, table, keys_of(165))
    more = table_of(*names(10))
    wanted = {key for key in keys_of(165) if first(more, key) == "i-9"}
    ask(balance, more, keys_of(165))
    assert 0 < balance.counts["i-9"] <= len(wanted)
    assert sum(balance.counts.values()) == 165


@pytest.mark.parametrize(
    "rows",
    [
        [KeyPlace("other", 1, "i-0")],
        [KeyPlace(SERVICE, 1, "i-unknown")],
    ],
)
def test_what_is_not_known_does_not_matter(rows):
    table, balance = table_of(*names(3)), KeyBalance(REGION)
    balance.see(rows, table, 0.0)
    ask(balance, table, keys_of(30))
    assert sum(balance.counts[name] for name in names(3)) >= 30


def test_keys_that_nobody_asks_for_take_no_place():
    table, balance = table_of(*names(3)), KeyBalance(REGION)
    ask(balance, table, keys_of(60))
    ask(balance, table, keys_of(10), now=FORGET_SECONDS)
    balance.tick(FORGET_SECONDS + 1.0)
    assert sum(balance.counts.values()) == len(balance.places) == 10


def test_seen_keys_are_told_once_until_they_move_or_time_has_passed():
    seen = SeenKeys()
    seen.note(SERVICE, 1, "i-0", 0.0)
    rows = seen.take(0.0)
    assert rows == [KeyPlace(SERVICE, 1, "i-0")]
    seen.note(SERVICE, 1, "i-0", 1.0)
    assert seen.take(1.0) == []
    seen.note(SERVICE, 1, "i-1", 2.0)
    assert seen.take(2.0) == [KeyPlace(SERVICE, 1, "i-1")]
    seen.note(SERVICE, 1, "i-1", 2.0 + TELL_SECONDS)
    unanswered = seen.take(2.0 + TELL_SECONDS)
    seen.take_back(unanswered)
    assert seen.take(3.0 + TELL_SECONDS) == unanswered
