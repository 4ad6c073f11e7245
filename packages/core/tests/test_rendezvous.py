"""Rendezvous hashing, which assigns work to hosts without coordination."""

from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.rendezvous import rank

NAMES = st.lists(st.from_regex(r"[a-z]{1,4}-[0-9]", fullmatch=True), unique=True)


@given(st.text("abc-"), NAMES, st.randoms())
def test_views_that_differ_in_one_host_rank_the_others_alike(key, names, random):
    """Two views differ in one host and in the order of hosts.

    Both assign all keys that don't belong to that host to the same hosts, so a host
    that joins or leaves moves only its own work.
    """
    other_view = random.sample(names, len(names))
    missing = {other_view.pop()} if other_view else set()
    assert rank(key, other_view) == [
        one for one in rank(key, names) if one not in missing
    ]


def test_keys_spread_over_hosts():
    names = [f"host-{number}" for number in range(10)]
    firsts = [rank(f"key-{number}", names)[0] for number in range(1000)]
    assert all(50 < firsts.count(name) < 200 for name in names)


def test_rows_are_ranked_by_their_name():
    rows = [("a", 1), ("b", 2), ("c", 3)]
    ordered = rank("key", rows, lambda row: row[0])
    assert [name for name, _ in ordered] == rank("key", "abc")
