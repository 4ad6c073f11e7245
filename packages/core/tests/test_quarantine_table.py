"""Check which requests are quarantined for crashing servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.quarantine.fingerprint import Fingerprint
from greengagepoint.quarantine.messages import SharedEnd, SharedSuspect
from greengagepoint.quarantine.quarantine import (
    CRASH_RETENTION_SECONDS,
    SUSPECTS_MAX,
    TRIAL_SECONDS,
    Quarantine,
)
from greengagepoint.quarantine.rules import (
    QUARANTINE_AFTER_CRASHES,
    QUARANTINE_SECONDS,
    CrashMoment,
    counted_crashes,
    quarantined_until,
)
from greengagepoint.quarantine.tables import CRASHES_KEPT, ServerIncarnation, Verdict

NOW = 100.0
CRASHING = Fingerprint("f" * 32, "caller-1")
OTHER_CALLER = CRASHING._replace(caller="caller-2")
HARMLESS = Fingerprint("e" * 32, "caller-1")


def incarnation(number):
    return ServerIncarnation(f"i-{number}", 1_000 + number)


def crash(table, request, *numbers, at=NOW, gap=2.0):
    """Record server crashes with a request in flight; return the time of the last."""
    for index, number in enumerate(numbers):
        table.note_end(request, incarnation(number), at + index * gap)
    return at + (len(numbers) - 1) * gap


def verdict(table, request, now):
    return table.standing(request, now).verdict


def exchange(left, right, now):
    """Merge the full tables of two hosts into each other."""
    rows = left.shared(left.suspects, now)
    left.merge(right.shared(right.suspects, now), now)
    right.merge(rows, now)


@pytest.mark.parametrize(
    ("ends", "expected"),
    [
        (0, Verdict.FREE),
        (1, Verdict.FREE),
        (2, Verdict.ALONE),
        (3, Verdict.QUARANTINED),
        (9, Verdict.QUARANTINED),
    ],
)
def test_the_third_crash_quarantines_a_request(ends, expected):
    table = Quarantine()
    last = crash(table, CRASHING, *range(ends)) if ends else NOW
    assert verdict(table, CRASHING, last) is expected
    assert verdict(table, HARMLESS, last) is Verdict.FREE


@pytest.mark.parametrize(
    ("gap", "expected"), [(0.2, Verdict.FREE), (2.0, Verdict.QUARANTINED)]
)
def test_reports_of_one_crash_count_once(gap, expected):
    table = Quarantine()
    last = crash(table, CRASHING, 1, 1, 1, 1, gap=gap)
    assert verdict(table, CRASHING, last) is expected


@pytest.mark.parametrize("answered_after", [1, 2])
def test_an_answer_between_crashes_clears_a_request(answered_after):
    table = Quarantine()
    last = crash(table, CRASHING, *range(answered_after))
    assert table.note_answer(CRASHING, last)
    last = crash(table, CRASHING, *range(answered_after, 3), at=last + 1)
    assert verdict(table, CRASHING, last) is not Verdict.QUARANTINED


def test_crashes_with_one_caller_quarantine_only_that_caller():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2, 3)
    assert verdict(table, CRASHING, last) is Verdict.QUARANTINED
    assert verdict(table, OTHER_CALLER, last) is Verdict.FREE


def test_crashes_with_several_callers_quarantine_the_content():
    table = Quarantine()
    crash(table, CRASHING, 1, 2)
    last = crash(table, OTHER_CALLER, 3, at=NOW + 5)
    third = CRASHING._replace(caller="caller-3")
    for request in (CRASHING, OTHER_CALLER, third):
        assert verdict(table, request, last) is Verdict.QUARANTINED


def test_another_callers_answer_does_not_clear_a_callers_own_crashes():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2, 3)
    table.note_answer(OTHER_CALLER, last)
    assert verdict(table, CRASHING, last) is Verdict.QUARANTINED


def test_a_zone_failure_counts_once_for_a_request_with_copies_there():
    table = Quarantine()
    for number in range(10):
        bystander = Fingerprint(f"{number:032}", "caller-1")
        table.note_end(bystander, incarnation(number), NOW + number / 100)
    for number in range(4):
        table.note_end(CRASHING, incarnation(number), NOW + number / 100)
    assert verdict(table, CRASHING, NOW + 0.2) is Verdict.FREE


def test_simultaneous_crashes_with_only_that_request_count_separately():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2, 3, gap=0.1)
    assert verdict(table, CRASHING, last) is Verdict.QUARANTINED


@pytest.mark.parametrize("count", [2, 5])
def test_simultaneous_crashing_requests_do_not_hide_each_other(count):
    table = Quarantine()
    crashing = [Fingerprint(f"{number:032}", "caller") for number in range(count)]
    for step in range(3):
        for number, request in enumerate(crashing):
            at = NOW + 0.3 * step + 0.01 * number
            table.note_end(request, incarnation(step * count + number), at)
    assert {verdict(table, request, NOW + 1) for request in crashing} == {
        Verdict.QUARANTINED
    }


def test_a_bystander_of_a_quarantined_request_is_cleared():
    table = Quarantine()
    crash(table, HARMLESS, 1, 2)
    last = crash(table, CRASHING, 1, 2, 3)
    assert verdict(table, CRASHING, last) is Verdict.QUARANTINED
    assert verdict(table, HARMLESS, last) is Verdict.FREE


@pytest.mark.parametrize(
    ("ends", "expected"),
    [((1, 2, 3), Verdict.FREE), ((1, 2, 3, 4, 5, 6), Verdict.QUARANTINED)],
)
def test_explained_crashes_do_not_count_when_received_later(ends, expected):
    here, there = Quarantine(), Quarantine()
    crash(here, CRASHING, 1, 2, 3)
    last = crash(there, HARMLESS, *ends)
    here.merge(there.shared(there.suspects, last), last)
    assert verdict(here, HARMLESS, last) is expected
    assert verdict(here, CRASHING, last) is Verdict.QUARANTINED


def test_a_suspected_request_is_tried_one_at_a_time():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2)
    assert verdict(table, CRASHING, last) is Verdict.ALONE
    table.begin_trial(CRASHING.content, last)
    assert verdict(table, CRASHING, last + 10) is Verdict.WAITS
    table.end_trial(CRASHING.content, last + 10)
    assert verdict(table, CRASHING, last + 10) is Verdict.ALONE


def test_peers_wait_for_the_outcome_of_a_trial():
    here, there = Quarantine(), Quarantine()
    last = crash(here, CRASHING, 1, 2)
    exchange(here, there, last)
    here.begin_trial(CRASHING.content, last)
    exchange(here, there, last)
    assert verdict(there, CRASHING, last) is Verdict.WAITS
    assert verdict(there, CRASHING, last + TRIAL_SECONDS) is Verdict.ALONE


def test_a_quarantine_expires_and_another_crash_makes_it_longer():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2, 3)
    number = 4
    for seconds in QUARANTINE_SECONDS:
        standing = table.standing(CRASHING, last)
        assert standing.retry_seconds == pytest.approx(seconds)
        last += seconds
        assert verdict(table, CRASHING, last) is Verdict.ALONE
        crash(table, CRASHING, number, at=last)
        number += 1


def test_crashes_from_copies_in_flight_do_not_extend_a_quarantine():
    times = [NOW, NOW + 0.1, NOW + 0.2, NOW + 0.3, NOW + 0.4]
    assert quarantined_until(times) == pytest.approx(times[-1] + QUARANTINE_SECONDS[0])


@pytest.mark.parametrize(
    ("moments", "count"),
    [
        ([(0.0, True), (0.1, True), (0.2, True)], 1),
        ([(0.0, True), (0.1, True), (1.1, True)], 2),
        ([(0.0, False), (0.1, False), (0.2, False)], 3),
        ([(0.0, False), (0.1, True), (0.2, False)], 2),
        ([], 0),
    ],
)
def test_crashes_with_a_shared_cause_count_once(moments, count):
    assert len(counted_crashes(CrashMoment(*row) for row in moments)) == count


def test_an_operator_lifts_a_quarantine():
    here, there = Quarantine(), Quarantine()
    last = crash(here, CRASHING, 1, 2, 3)
    exchange(here, there, last)
    assert here.lift(CRASHING.content, last)
    exchange(here, there, last)
    for table in (here, there):
        assert verdict(table, CRASHING, last) is Verdict.FREE
        assert not table.lift(CRASHING.content, last)


def test_a_peers_outdated_state_does_not_undo_an_answer():
    here, there = Quarantine(), Quarantine()
    last = crash(here, CRASHING, 1, 2, 3)
    old = here.shared(here.suspects, last)
    there.merge(old, last)
    there.note_answer(CRASHING, last)
    there.merge(old, last + 1)
    assert verdict(there, CRASHING, last + 1) is Verdict.FREE


def test_crashes_seen_by_three_hosts_add_up():
    hosts = [Quarantine() for _ in range(3)]
    for number, table in enumerate(hosts):
        crash(table, CRASHING, number, at=NOW + number)
    for table in hosts[1:]:
        exchange(hosts[0], table, NOW + 3)
    exchange(hosts[0], hosts[1], NOW + 3)
    for table in hosts:
        assert verdict(table, CRASHING, NOW + 3) is Verdict.QUARANTINED


def test_a_full_table_keeps_requests_with_the_most_crashes():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2, 3)
    for number in range(SUSPECTS_MAX + 100):
        table.note_end(
            Fingerprint(f"{number:032}", "c"), incarnation(number), last + number
        )
    assert len(table.suspects) == SUSPECTS_MAX
    assert CRASHING.content in table.suspects
    assert sum(table.heads.values()) == SUSPECTS_MAX


def test_merge_does_not_return_contents_evicted_at_once():
    table, peer = Quarantine(), Quarantine()
    for number in range(SUSPECTS_MAX):
        crash(table, Fingerprint(f"{number:032}", "c"), 2 * number, 2 * number + 1)
    for number in range(3):
        crash(peer, Fingerprint(f"{number:031}x", "c"), number)
    changed = table.merge(peer.shared(peer.suspects, NOW), NOW)
    assert set(changed) <= set(table.suspects)
    assert len(table.suspects) == SUSPECTS_MAX


def test_crashes_expire():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2)
    table.tick(last + CRASH_RETENTION_SECONDS - 1)
    assert table.has_suspect_head(CRASHING.content[:16])
    table.tick(last + CRASH_RETENTION_SECONDS + 1)
    assert not table.has_suspect_head(CRASHING.content[:16])
    assert not table.suspects and not table.lost.ends and not table.lost.ordered


def test_explained_crashes_expire():
    table = Quarantine()
    last = crash(table, CRASHING, 1, 2, 3)
    assert table.explained_by and table.repeated_crashes
    table.tick(last + CRASH_RETENTION_SECONDS + 1)
    assert not table.explained_by and not table.repeated_crashes


rows = st.builds(
    SharedSuspect,
    st.sampled_from([CRASHING.content, HARMLESS.content]),
    st.lists(
        st.builds(
            SharedEnd,
            st.sampled_from([f"i-{number}" for number in range(6)]),
            st.just(1),
            st.sampled_from(["caller-1", "caller-2"]),
            st.integers(0, 20_000),
            st.booleans(),
        ),
        min_size=1,
        max_size=CRASHES_KEPT // 2,
        unique_by=lambda row: (row.instance, row.caller),
    ).map(tuple),
)


def state(table):
    return {
        content: {
            key: (round(row.at, 3), row.settled) for key, row in suspect.ends.items()
        }
        for content, suspect in table.suspects.items()
    }


@given(st.lists(rows, max_size=6), st.randoms(use_true_random=False))
def test_hosts_converge_whatever_the_order_of_updates(messages, random):
    # Which bystanders a host clears depends on what it received before, so the tables
    # are compared only after further exchanges.
    tables = [Quarantine(), Quarantine()]
    shuffled = [*messages, *messages]
    random.shuffle(shuffled)
    for table, order in zip(tables, (messages, shuffled), strict=True):
        for row in order:
            table.merge([row], NOW)
    exchange(*tables, NOW)
    exchange(*tables, NOW)
    assert state(tables[0]) == state(tables[1])


@given(st.lists(rows, max_size=6))
def test_merging_known_state_changes_nothing(messages):
    table = Quarantine()
    table.merge(messages, NOW)
    known = table.shared(table.suspects, NOW)
    assert table.merge(known, NOW) == []


@pytest.mark.parametrize(
    "ends", [QUARANTINE_AFTER_CRASHES, CRASHES_KEPT, 3 * CRASHES_KEPT]
)
def test_the_newest_crashes_are_kept(ends):
    table = Quarantine()
    last = crash(table, CRASHING, *range(ends), gap=0.1)
    kept = table.suspects[CRASHING.content].ends
    assert len(kept) == min(ends, CRASHES_KEPT)
    assert max(row.at for row in kept.values()) == pytest.approx(last)
    assert verdict(table, CRASHING, last) is Verdict.QUARANTINED
