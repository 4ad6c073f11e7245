import pytest

from greengagepoint.placing.warm_keys import KEYS_MAX, WARM_SECONDS, WarmKeys


def test_a_key_is_warm_where_it_ran_in_the_order_of_its_first_runs():
    warm = WarmKeys()
    for at, instance in enumerate(("i-1", "i-2", "i-1")):
        warm.note("k", instance, float(at))
    assert warm.instances("k", 2.0) == ("i-1", "i-2")
    assert warm.instances("other", 2.0) == ()


@pytest.mark.parametrize(
    ("age", "expected"), [(WARM_SECONDS - 1, ("i-1",)), (WARM_SECONDS + 1, ())]
)
def test_a_run_long_ago_keeps_nothing_warm(age, expected):
    warm = WarmKeys()
    warm.note("k", "i-1", 0.0)
    assert warm.instances("k", age) == expected


def test_what_did_not_run_is_not_warm():
    # The server shed the request. Taken for warm, it would get the key's next callers,
    # each of whom would wait for a cold run there.
    warm = WarmKeys()
    warm.note("k", "i-1", 0.0)
    warm.forget("k", "i-1")
    warm.forget("never seen", "i-1")
    assert warm.instances("k", 0.0) == ()


def test_the_keys_unused_for_longest_are_forgotten_beyond_the_bound():
    warm = WarmKeys()
    for number in range(KEYS_MAX):
        warm.note(f"k{number}", "i-1", 0.0)
    warm.note("k0", "i-1", 1.0)
    warm.note("one more", "i-1", 1.0)
    assert len(warm.runs) == KEYS_MAX
    assert warm.instances("k0", 1.0) == ("i-1",)
    assert warm.instances("k1", 1.0) == ()
