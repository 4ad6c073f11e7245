import pytest

from greengagepoint.placing.tables import Incarnation
from greengagepoint.placing.warm_keys import KEYS_MAX, WARM_SECONDS, WarmKeys

FIRST = Incarnation("i-1", 7, "10.0.0.1:1")
SECOND = Incarnation("i-2", 7, "10.0.0.2:1")


def test_a_key_is_warm_where_it_ran_in_the_order_of_its_first_runs():
    warm = WarmKeys()
    for at, server in enumerate((FIRST, SECOND, FIRST)):
        warm.note("k", server, float(at))
    assert warm.servers("k", 2.0) == (FIRST, SECOND)
    assert warm.servers("other", 2.0) == ()


@pytest.mark.parametrize(
    ("age", "expected"), [(WARM_SECONDS - 1, (FIRST,)), (WARM_SECONDS + 1, ())]
)
def test_a_run_long_ago_keeps_nothing_warm(age, expected):
    warm = WarmKeys()
    warm.note("k", FIRST, 0.0)
    assert warm.servers("k", age) == expected


def test_a_server_that_did_not_run_a_key_is_not_warm():
    # The server shed the request. If it counted as warm, it would receive the key's
    # next callers, and each of them would wait for a cold run.
    warm = WarmKeys()
    warm.note("k", FIRST, 0.0)
    warm.forget("k", FIRST)
    warm.forget("never seen", FIRST)
    assert warm.servers("k", 0.0) == ()


def test_the_least_recently_used_keys_are_dropped_beyond_the_limit():
    warm = WarmKeys()
    for number in range(KEYS_MAX):
        warm.note(f"k{number}", FIRST, 0.0)
    warm.note("k0", FIRST, 1.0)
    warm.note("one more", FIRST, 1.0)
    assert len(warm.runs) == KEYS_MAX
    assert warm.servers("k0", 1.0) == (FIRST,)
    assert warm.servers("k1", 1.0) == ()
