"""The hybrid logical clock, the ring and the merge over hosts."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.events import CATALOGUE, Event, Occurrence
from greengagepoint.timeline import (
    EventFilter,
    EventRecorder,
    EventRing,
    HybridClock,
    Stamp,
    catalogue,
    merge_events,
)
from greengagepoint.timeline.ring import order_key

WALL = st.integers(1_000_000, 1_200_000)
STEPS = st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), WALL), max_size=60)


@given(STEPS)
def test_effects_sort_after_their_causes(steps):
    """Three hosts whose wall clocks jump at will send each other messages.

    An operator reads the merged time line: what a host does after a message came
    must stand below what the sender did before it, as long as the stamp is accepted.
    """
    clocks = [HybridClock() for _ in range(3)]
    for sender, receiver, wall in steps:
        before = clocks[sender].last
        sent = clocks[sender].issue(wall)
        assert sent > before
        own = clocks[receiver].last
        accepted = clocks[receiver].observe(sent, wall)
        done = clocks[receiver].issue(wall)
        assert done > own
        assert not accepted or done > sent


@pytest.mark.parametrize(
    ("ahead", "accepted"), [(0, True), (60_000, True), (60_001, False)]
)
def test_stamp_too_far_ahead_is_refused(ahead, accepted):
    clock = HybridClock()
    clock.issue(1000)
    assert clock.observe(Stamp(1000 + ahead, 5), 1000) is accepted
    assert clock.issue(1000).milliseconds == 1000 + (ahead if accepted else 0)


@given(st.lists(WALL, max_size=40), st.integers(1, 10))
def test_ring_keeps_the_latest_and_counts_the_rest(walls, capacity):
    time = iter(walls)
    recorder = EventRecorder("a", lambda: next(time), capacity)
    made = [recorder.record(Event.HOST_ALIVE) for _ in walls]
    assert list(recorder.ring.select()) == made[-capacity:]
    assert recorder.ring.overwritten == max(0, len(walls) - capacity)


@given(st.lists(st.tuples(st.sampled_from("abc"), WALL), max_size=40), st.randoms())
def test_merge_is_the_same_for_all_orders_and_repeats(steps, random):
    walls = {}
    recorders = {
        host: EventRecorder(host, lambda host=host: walls[host]) for host in "abc"
    }
    for host, wall in steps:
        walls[host] = wall
        recorders[host].record(Event.REQUEST_SENT)
    rings = [list(recorder.ring.select()) for recorder in recorders.values()]
    merged = merge_events(rings)
    random.shuffle(rings)
    assert merge_events([*rings, *rings]) == merged
    assert len(merged) == len(steps)
    assert merged == sorted(merged, key=order_key)


EVENTS = [
    Occurrence((1, 0), "a", Event.REQUEST_SENT, {"request_id": "r", "team": "t"}),
    Occurrence((2, 0), "a", Event.REQUEST_ANSWERED, {"request_id": "r", "site": "s"}),
    Occurrence((2, 1), "a", Event.HOST_GONE, {}),
]


@pytest.mark.parametrize(
    ("wanted", "indexes"),
    [
        (EventFilter(), [0, 1, 2]),
        (EventFilter(request_id="r"), [0, 1]),
        (EventFilter(request_id="r", site="s"), [1]),
        (EventFilter(team="t"), [0]),
        (EventFilter(team="x"), []),
        (EventFilter(kind=Event.HOST_GONE), [2]),
        (EventFilter(since=(1, 0)), [1, 2]),
        (EventFilter(since=(2, 0)), [2]),
    ],
)
def test_filter(wanted, indexes):
    ring = EventRing()
    for event in EVENTS:
        ring.append(event)
    assert list(ring.select(wanted)) == [EVENTS[index] for index in indexes]


def test_catalogue_page_matches_the_code():
    page = Path(__file__).parents[3] / "docs" / "EVENTS.md"
    command = "python -m greengagepoint.timeline.catalogue > docs/EVENTS.md"
    assert page.read_text() == catalogue.render(), f"stale; run: {command}"


def test_every_event_has_a_row():
    assert set(CATALOGUE) == set(Event)
