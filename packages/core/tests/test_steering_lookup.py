import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.configuration import EMPTY
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import Service
from greengagepoint.steering.lookup import (
    ORDERS_KEPT_MAX,
    EntryHost,
    answer,
    prepare,
)

CONFIGURATION = EMPTY._replace(
    generation=7, services={"booking": Service(name="booking", sites=())}
)


def entry(name, region, zone, leaving=False, weight=1):
    identity = HostIdentity(name, 1, region, zone, f"{name}:80", f"{name}:81")
    return EntryHost(identity, leaving, weight)


HOSTS = [
    entry(f"{region}-{zone}{number}", region, zone)
    for region in ("attiki", "dytiki", "kentriki")
    for zone in "ab"
    for number in (1, 2)
]
HOME = HOSTS[0].identity


def ask(hosts, regions=None, sequence=0, service="booking", **kwargs):
    table = prepare(CONFIGURATION, hosts, HOME, **kwargs)
    return json.loads(answer(table, service, regions, sequence))


def names(found):
    return [host["name"] for host in found["hosts"]]


def test_answer(snapshot):
    assert ask(HOSTS, sequence=1) == snapshot


@pytest.mark.parametrize(
    ("regions", "first"),
    [
        (None, "attiki"),
        (("dytiki", "attiki"), "dytiki"),
        (("nowhere", "kentriki"), "kentriki"),
        (("nowhere",), "attiki"),
    ],
)
def test_regions_come_in_the_callers_order(regions, first):
    found = ask(HOSTS, regions)["hosts"]
    assert [host["region"] for host in found][0] == first
    priorities = [host["priority"] for host in found]
    assert priorities == sorted(priorities)


def test_leaving_host_vanishes_and_time_to_live_is_short():
    """A host says that it leaves while callers keep looking up.

    The next answer doesn't name it, and answers are cached for a second only, so
    that callers who have it in hand come back soon.
    """
    hosts = [HOSTS[0]._replace(leaving=True), *HOSTS[1:]]
    for sequence in range(20):
        found = ask(hosts, sequence=sequence)
        assert HOSTS[0].identity.name not in names(found)
        assert found["ttl_seconds"] == 1
    assert ask(HOSTS)["ttl_seconds"] == 5
    assert ask(HOSTS, changing=True)["ttl_seconds"] == 1


def test_unknown_service_has_no_answer():
    assert answer(prepare(CONFIGURATION, HOSTS, HOME), "none", None, 0) is None


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ((1, 1), ["h0", "h1", "h0", "h1"]),
        ((2, 2), ["h0", "h1", "h0", "h1"]),
        ((3, 1), ["h0", "h0", "h1", "h0"]),
    ],
)
def test_rotation_follows_weights(weights, expected):
    hosts = [
        entry(f"h{number}", "attiki", "a", weight=weight)
        for number, weight in enumerate(weights)
    ]
    first = [names(ask(hosts, sequence=turn))[0] for turn in range(4)]
    assert first == expected


@pytest.mark.parametrize("count", [1, 3, 64, 65, 120, 200])
def test_all_hosts_of_a_large_zone_are_named_equally_often(count):
    """A zone has more hosts than its answers have rotations.

    All asked hosts turn them in the same order, so a host that is in no rotation gets
    no callers at all, however many the others refuse.
    """
    others = [entry("other-1", "attiki", "b"), entry("other-2", "attiki", "c")]
    hosts = [entry(f"h{number:03}", "attiki", "a") for number in range(count)]
    table = prepare(CONFIGURATION, [*hosts, *others], hosts[0].identity)
    first = [
        names(json.loads(answer(table, "booking", None, turn)))[0]
        for turn in range(count * 6)
    ]
    times = [first.count(host.identity.name) for host in hosts]
    assert max(times) - min(times) <= 1


def test_far_regions_zones_take_turns():
    first = [
        ask(HOSTS, ("dytiki",), sequence)["hosts"][0]["name"] for sequence in range(4)
    ]
    assert len(set(first)) == 4


VIEW = st.tuples(
    st.lists(st.sampled_from(HOSTS), min_size=1, unique=True), st.integers(0, 12)
)


@given(st.lists(VIEW, min_size=1, max_size=4), st.integers(0, 30))
def test_what_is_kept_of_earlier_answers_changes_none(views, sequence):
    """Records change while hosts mostly stay, and hosts come and go in between.

    Answers that are put together with kept parts are the ones that a host gives that
    has just started. Else callers would be sent to hosts that have gone.
    """
    kept = None
    for number, (hosts, leaving) in enumerate(views):
        configuration = CONFIGURATION._replace(generation=number)
        seen = [
            host._replace(leaving=place < leaving) for place, host in enumerate(hosts)
        ]
        kept = prepare(configuration, seen, HOME, earlier=kept)
        fresh = prepare(configuration, seen, HOME)
        for regions in (None, ("dytiki",), ("kentriki", "attiki")):
            assert answer(kept, "booking", regions, sequence) == answer(
                fresh, "booking", regions, sequence
            )


def test_a_change_of_records_keeps_what_depends_on_hosts_only():
    first = prepare(CONFIGURATION, HOSTS, HOME)
    answer(first, "booking", None, 0)
    second = prepare(CONFIGURATION._replace(generation=8), HOSTS, HOME, earlier=first)
    assert second.nearest is first.nearest
    second.orders.update({(str(number),): () for number in range(ORDERS_KEPT_MAX)})
    assert not prepare(CONFIGURATION, HOSTS, HOME, earlier=second).orders
    assert json.loads(answer(second, "booking", None, 0))["generation"] == 8


@given(
    st.lists(st.sampled_from(HOSTS), min_size=1, unique=True),
    st.sets(st.integers(0, 11)),
    st.integers(0, 200),
)
def test_never_empty_and_never_twice(hosts, leaving, sequence):
    hosts = [
        host._replace(leaving=number in leaving, weight=1 + number % 3)
        for number, host in enumerate(hosts)
    ]
    found = names(ask(hosts, sequence=sequence))
    assert found
    assert len(set(found)) == len(found)
    staying = {host.identity.name for host in hosts if not host.leaving}
    if staying:
        assert set(found) <= staying
