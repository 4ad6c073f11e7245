import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.configuration import EMPTY
from greengagepoint.events import Event
from greengagepoint.records.schemas import Drain, DrainTarget, Shift, Site
from greengagepoint.steering.hold import CREEP_PACE, SETTLED_SECONDS
from greengagepoint.steering.messages import ShiftProgress, ShiftStep
from greengagepoint.steering.shifts import (
    AHEAD_MAX,
    CLOCK_BOUND_SECONDS,
    RESUME_WAIT_SECONDS,
    is_moving,
    merge_progress,
    progress,
    run,
)
from greengagepoint.steering.tables import SteeringTable

NAME = "shift/s"
SITES = {
    name: Site(name=name, region=region, zone="a", capacity=10)
    for name, region in [("old", "attiki"), ("new", "dytiki"), ("near", "attiki")]
}
IDLE = EMPTY._replace(generation=1, sites=SITES)


def shift(fraction=0.5, start="1970-01-01T00:00:10Z", ramp=100):
    record = Shift(
        name="s",
        service="booking",
        from_site="old",
        to_site="new",
        fraction=fraction,
        start_at=start,
        ramp_seconds=ramp,
    )
    return IDLE._replace(shifts={"s": record})


def drain(leave_at=None):
    record = Drain(
        name="d",
        target_kind=DrainTarget.SITE,
        target="old",
        start_at="1970-01-01T00:00:10Z",
        leave_at=leave_at,
    )
    return IDLE._replace(drains={"d": record})


class Host:
    """One host: its table, its clock's error and what it sees of service times."""

    def __init__(self, clock_error=0.0):
        self.table = SteeringTable()
        self.clock_error = clock_error
        self.times = {"old": 0.010, "new": 0.010}
        self.failed = frozenset()
        self.events = []

    def run(self, configuration, now):
        found = run(
            self.table,
            configuration,
            self.failed,
            lambda service, site: self.times.get(site),
            now,
            round((now + self.clock_error) * 1000),
        )
        self.events += [event.event for event in found]
        return self.fraction

    def run_to(self, configuration, start, stop):
        for now in range(start, stop + 1):
            self.run(configuration, float(now))
        return self.fraction

    @property
    def fraction(self):
        rows = self.table.shifts.values()
        return max((row.fraction for row in rows), default=0.0)


def talk(hosts, now):
    """Let each host hear of all others."""
    for number, sender in enumerate(hosts):
        message = progress(sender.table)
        for receiver in hosts:
            if message is not None and receiver is not sender:
                merge_progress(receiver.table, f"h{number}", message, now)


@pytest.fixture
def host():
    host = Host()
    host.run(IDLE, 0.0)
    return host


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(9, 0.0), (10, 0.0), (60, 0.25), (110, 0.5), (300, 0.5)],
)
def test_shift_follows_its_schedule(host, seconds, expected):
    assert host.run_to(shift(), 1, seconds) == pytest.approx(expected, abs=0.01)
    assert is_moving(host.table) is (0 < expected < 0.5)


def test_shift_tells_its_start_and_end_once(host):
    host.run_to(shift(), 1, 200)
    assert host.events == [Event.SHIFT_STARTED, Event.SHIFT_FINISHED]


def test_late_record_does_not_jump(host):
    """A record is written whose start passed a minute ago.

    Callers see the ramp begin when the record arrives: the destination's caches
    are as cold as at any start.
    """
    host.run(IDLE, 60.0)
    assert host.run_to(shift(), 61, 70) == pytest.approx(9 * 0.005)


def test_slow_destination_holds_the_shift_back(host):
    """The destination's service time triples in mid-ramp as its caches are cold.

    The fraction creeps at a quarter of its rate, whatever the clock says, stands
    still while requests queue there, and goes on at its old rate once the caches
    are warm, so callers never meet a jump.
    """
    before = host.run_to(shift(), 1, 40)
    host.times["new"] = 0.030
    crept = host.run_to(shift(), 41, 60)
    assert crept == pytest.approx(before + 20 * 0.005 * CREEP_PACE)
    host.times["new"] = 0.040
    assert host.run_to(shift(), 61, 70) == crept
    host.times["new"] = 0.011
    assert host.run(shift(), 71.0) == pytest.approx(crept + 0.005)
    assert host.events == [Event.SHIFT_STARTED, Event.SHIFT_HELD_BACK]


@pytest.mark.parametrize(("slow", "accepted"), [(0.030, True), (0.050, False)])
def test_settled_destination_is_accepted_unless_far_slower(host, slow, accepted):
    host.run_to(shift(), 1, 40)
    host.times["new"] = slow
    before = host.run_to(shift(), 41, 45 + int(SETTLED_SECONDS))
    pace = 1.0 if accepted else CREEP_PACE
    after = host.run_to(shift(), 76, 80)
    assert after - before == pytest.approx(5 * 0.005 * pace)


def test_destination_that_served_nothing_is_held_to_the_source(host):
    del host.times["new"]
    before = host.run_to(shift(), 1, 20)
    host.times["new"] = 0.030
    after = host.run_to(shift(), 21, 30)
    assert after - before == pytest.approx(10 * 0.005 * CREEP_PACE)


def test_deleted_record_turns_the_shift_back(host):
    """An operator deletes the record of a shift in mid-ramp.

    The fraction goes back at the rate it came, waits while the old site's caches
    are cold, and the row is gone when nothing is moved any more.
    """
    before = host.run_to(shift(), 1, 60)
    back = host.run(IDLE, 61.0)
    assert back == pytest.approx(before - 0.005)
    host.times["old"] = 0.030
    crept = host.run_to(IDLE, 62, 71)
    assert back - crept == pytest.approx(10 * 0.005 * CREEP_PACE)
    host.times["old"] = 0.010
    host.run_to(IDLE, 72, 130)
    assert host.table.shifts == {}
    assert host.table.away == {}
    assert Event.SHIFT_REVERSED in host.events


def test_replaced_record_goes_on_from_where_it_is(host):
    before = host.run_to(shift(), 1, 60)
    assert abs(host.run(shift(fraction=0.1), 61.0) - before) <= 0.005
    assert host.run_to(shift(fraction=0.1), 62, 200) == pytest.approx(0.1)
    assert host.run_to(shift(fraction=0.2), 201, 400) == pytest.approx(0.2)


def test_restarted_host_takes_over_what_others_have_moved():
    """All hosts are held back at 0.15 while the schedule says 0.4; one restarts.

    It moves nothing until it has heard of the others and then what they do. What
    the schedule says would be a jump onto a site that is slow as it is.
    """
    restarted = Host()
    assert restarted.run(shift(), 90.0) == 0.0
    reference = Host()
    reference.run(IDLE, 0.0)
    reference.run_to(shift(), 1, 40)
    reference.times["new"] = 0.030
    reference.run_to(shift(), 41, 90)
    message = progress(reference.table)
    merge_progress(restarted.table, "other", message, 90.0)
    assert restarted.run(shift(), 91.0) == reference.fraction
    assert restarted.run(shift(), 92.0) <= reference.fraction + 0.006


def test_restarted_host_that_hears_nobody_goes_by_the_schedule():
    host = Host()
    host.run(shift(), 60.0)
    assert host.run(shift(), 60.0 + RESUME_WAIT_SECONDS) == pytest.approx(0.275)


def test_paused_process_does_not_jump(host):
    before = host.run_to(shift(), 1, 20)
    assert host.run(shift(), 100.0) <= before + 0.0101


def test_other_version_and_impossible_steps_are_left(host):
    host.run_to(shift(), 1, 20)
    row = host.table.shifts[NAME]
    version = progress(host.table).steps[0].version
    for step in [
        ShiftStep(NAME, version + 1, 0.4),
        ShiftStep(NAME, version, 7.0),
        ShiftStep(NAME, version, float("nan")),
        ShiftStep("shift/none", version, 0.4),
    ]:
        merge_progress(host.table, "peer", ShiftProgress((step,)), 20.0)
    assert row.peer_fractions == {}


def test_failed_region_is_left_at_once_and_returned_to_slowly(host):
    """A region fails and comes back two minutes later with cold caches.

    Its sites get nothing from the next tick on; on its return their part of the
    traffic grows over a minute and waits while they are slow.
    """
    host.run(IDLE, 1.0)
    host.failed = frozenset({"attiki"})
    assert host.run(IDLE, 2.0) == 1.0
    assert set(host.table.away) == {"old", "near"}
    host.failed = frozenset()
    assert host.run(IDLE, 120.0) == pytest.approx(1 - 2 / 60)
    host.run_to(IDLE, 121, 200)
    assert host.table.away == {}


@pytest.mark.parametrize(
    ("leave_at", "seconds", "expected"),
    [
        (None, 25, 0.5),
        (None, 41, 1.0),
        ("1970-01-01T00:00:30Z", 15, 0.5),
        ("1970-01-01T00:00:30Z", 21, 1.0),
    ],
)
def test_drained_site_is_emptied_before_it_leaves(host, leave_at, seconds, expected):
    found = host.run_to(drain(leave_at), 1, seconds)
    assert found == pytest.approx(expected, abs=0.01)


@given(
    st.lists(st.floats(-CLOCK_BOUND_SECONDS, CLOCK_BOUND_SECONDS), min_size=2),
    st.integers(5, 100),
)
def test_hosts_move_near_together(errors, ramp):
    """Hosts whose clocks differ within the bound move the same shift.

    Their fractions differ by what the ramp does in twice the bound and a step.
    """
    hosts = [Host(error) for error in errors[:6]]
    for now in range(130):
        fractions = [
            host.run(IDLE if now == 0 else shift(ramp=ramp), float(now))
            for host in hosts
        ]
        talk(hosts, float(now))
        rate = 0.5 / ramp
        bound = rate * (2 * CLOCK_BOUND_SECONDS + 1)
        assert max(fractions) - min(fractions) <= bound + 1e-9
    assert set(fractions) == {0.5}


def test_clock_far_ahead_leads_by_a_bound_only():
    """One host's clock is an hour ahead of the others; a shift is planned.

    It begins by itself; the others hear of it, tell that they stand still, and it
    waits a tenth ahead of them until their own time has come.
    """
    hosts = [Host(3600.0), Host(), Host()]
    configuration = shift(start="1970-01-01T00:01:40Z")
    for now in range(220):
        for host in hosts:
            host.run(IDLE if now == 0 else configuration, float(now))
        talk(hosts, float(now))
        lead = hosts[0].fraction - hosts[1].fraction
        assert lead <= AHEAD_MAX + 0.01
    assert [host.fraction for host in hosts] == [0.5] * 3
    assert [progress(host.table) for host in hosts] == [None] * 3
