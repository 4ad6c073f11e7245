"""Which requests are refused for the servers that ended beneath them."""

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
    REFUSED_SECONDS,
    CrashMoment,
    counted_crashes,
    refused_until,
)
from greengagepoint.quarantine.tables import ENDS_KEPT, ServerRun, Verdict

NOW = 100.0
FATAL = Fingerprint("f" * 32, "caller-1")
OTHER_CALLER = FATAL._replace(caller="caller-2")
INNOCENT = Fingerprint("e" * 32, "caller-1")


def run(number):
    return ServerRun(f"i-{number}", 1_000 + number)


def end(table, request, *numbers, at=NOW, gap=2.0):
    """Let servers end beneath a request, one after the other; return the last time."""
    for index, number in enumerate(numbers):
        table.note_end(request, run(number), at + index * gap)
    return at + (len(numbers) - 1) * gap


def verdict(table, request, now):
    return table.standing(request, now).verdict


def exchange(left, right, now):
    """Let two hosts tell each other all that they know."""
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
def test_the_third_end_refuses_a_request(ends, expected):
    table = Quarantine()
    last = end(table, FATAL, *range(ends)) if ends else NOW
    assert verdict(table, FATAL, last) is expected
    assert verdict(table, INNOCENT, last) is Verdict.FREE


@pytest.mark.parametrize(
    ("gap", "expected"), [(0.2, Verdict.FREE), (2.0, Verdict.QUARANTINED)]
)
def test_a_server_counts_once_for_each_time_that_it_ends(gap, expected):
    table = Quarantine()
    last = end(table, FATAL, 1, 1, 1, 1, gap=gap)
    assert verdict(table, FATAL, last) is expected


@pytest.mark.parametrize("answered_after", [1, 2])
def test_an_answer_between_the_ends_clears_a_request(answered_after):
    table = Quarantine()
    last = end(table, FATAL, *range(answered_after))
    assert table.note_answer(FATAL, last)
    last = end(table, FATAL, *range(answered_after, 3), at=last + 1)
    assert verdict(table, FATAL, last) is not Verdict.QUARANTINED


def test_three_ends_beneath_one_caller_refuse_that_caller_alone():
    table = Quarantine()
    last = end(table, FATAL, 1, 2, 3)
    assert verdict(table, FATAL, last) is Verdict.QUARANTINED
    assert verdict(table, OTHER_CALLER, last) is Verdict.FREE


def test_ends_beneath_several_callers_refuse_the_content():
    table = Quarantine()
    end(table, FATAL, 1, 2)
    last = end(table, OTHER_CALLER, 3, at=NOW + 5)
    third = FATAL._replace(caller="caller-3")
    for request in (FATAL, OTHER_CALLER, third):
        assert verdict(table, request, last) is Verdict.QUARANTINED


def test_another_callers_answer_does_not_free_a_caller_with_ends_of_its_own():
    table = Quarantine()
    last = end(table, FATAL, 1, 2, 3)
    table.note_answer(OTHER_CALLER, last)
    assert verdict(table, FATAL, last) is Verdict.QUARANTINED


def test_a_lost_zone_counts_once_for_a_request_with_copies_on_its_servers():
    table = Quarantine()
    for number in range(10):
        bystander = Fingerprint(f"{number:032}", "caller-1")
        table.note_end(bystander, run(number), NOW + number / 100)
    for number in range(4):
        table.note_end(FATAL, run(number), NOW + number / 100)
    assert verdict(table, FATAL, NOW + 0.2) is Verdict.FREE


def test_ends_at_one_moment_count_each_where_only_the_request_was_there():
    table = Quarantine()
    last = end(table, FATAL, 1, 2, 3, gap=0.1)
    assert verdict(table, FATAL, last) is Verdict.QUARANTINED


@pytest.mark.parametrize("count", [2, 5])
def test_fatal_requests_that_come_together_do_not_hide_each_other(count):
    table = Quarantine()
    fatal = [Fingerprint(f"{number:032}", "caller") for number in range(count)]
    for step in range(3):
        for number, request in enumerate(fatal):
            at = NOW + 0.3 * step + 0.01 * number
            table.note_end(request, run(step * count + number), at)
    assert {verdict(table, request, NOW + 1) for request in fatal} == {
        Verdict.QUARANTINED
    }


def test_a_bystander_of_a_refused_request_is_cleared():
    table = Quarantine()
    end(table, INNOCENT, 1, 2)
    last = end(table, FATAL, 1, 2, 3)
    assert verdict(table, FATAL, last) is Verdict.QUARANTINED
    assert verdict(table, INNOCENT, last) is Verdict.FREE


@pytest.mark.parametrize(
    ("ends", "expected"),
    [((1, 2, 3), Verdict.FREE), ((1, 2, 3, 4, 5, 6), Verdict.QUARANTINED)],
)
def test_ends_that_a_refused_request_explains_do_not_count_when_told_later(
    ends, expected
):
    here, there = Quarantine(), Quarantine()
    end(here, FATAL, 1, 2, 3)
    last = end(there, INNOCENT, *ends)
    here.merge(there.shared(there.suspects, last), last)
    assert verdict(here, INNOCENT, last) is expected
    assert verdict(here, FATAL, last) is Verdict.QUARANTINED


def test_a_suspected_request_is_tried_one_at_a_time():
    table = Quarantine()
    last = end(table, FATAL, 1, 2)
    assert verdict(table, FATAL, last) is Verdict.ALONE
    table.begin_trial(FATAL.content, last)
    assert verdict(table, FATAL, last + 10) is Verdict.WAITS
    table.end_trial(FATAL.content, last + 10)
    assert verdict(table, FATAL, last + 10) is Verdict.ALONE


def test_peers_wait_for_what_comes_of_a_trial():
    here, there = Quarantine(), Quarantine()
    last = end(here, FATAL, 1, 2)
    exchange(here, there, last)
    here.begin_trial(FATAL.content, last)
    exchange(here, there, last)
    assert verdict(there, FATAL, last) is Verdict.WAITS
    assert verdict(there, FATAL, last + TRIAL_SECONDS) is Verdict.ALONE


def test_a_refusal_lapses_and_one_more_end_makes_it_longer():
    table = Quarantine()
    last = end(table, FATAL, 1, 2, 3)
    number = 4
    for seconds in REFUSED_SECONDS:
        standing = table.standing(FATAL, last)
        assert standing.retry_seconds == pytest.approx(seconds)
        last += seconds
        assert verdict(table, FATAL, last) is Verdict.ALONE
        end(table, FATAL, number, at=last)
        number += 1


def test_ends_of_copies_on_their_way_do_not_make_a_refusal_longer():
    times = [NOW, NOW + 0.1, NOW + 0.2, NOW + 0.3, NOW + 0.4]
    assert refused_until(times) == pytest.approx(times[-1] + REFUSED_SECONDS[0])


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
def test_shared_moments_count_once(moments, count):
    assert len(counted_crashes(CrashMoment(*row) for row in moments)) == count


def test_an_operator_lifts_a_refusal():
    here, there = Quarantine(), Quarantine()
    last = end(here, FATAL, 1, 2, 3)
    exchange(here, there, last)
    assert here.lift(FATAL.content, last)
    exchange(here, there, last)
    for table in (here, there):
        assert verdict(table, FATAL, last) is Verdict.FREE
        assert not table.lift(FATAL.content, last)


def test_a_peer_that_has_not_heard_of_an_answer_does_not_undo_it():
    here, there = Quarantine(), Quarantine()
    last = end(here, FATAL, 1, 2, 3)
    old = here.shared(here.suspects, last)
    there.merge(old, last)
    there.note_answer(FATAL, last)
    there.merge(old, last + 1)
    assert verdict(there, FATAL, last + 1) is Verdict.FREE


def test_two_hosts_that_see_one_end_each_count_three_with_a_third():
    hosts = [Quarantine() for _ in range(3)]
    for number, table in enumerate(hosts):
        end(table, FATAL, number, at=NOW + number)
    for table in hosts[1:]:
        exchange(hosts[0], table, NOW + 3)
    exchange(hosts[0], hosts[1], NOW + 3)
    for table in hosts:
        assert verdict(table, FATAL, NOW + 3) is Verdict.QUARANTINED


def test_the_table_keeps_what_has_most_against_it():
    table = Quarantine()
    last = end(table, FATAL, 1, 2, 3)
    for number in range(SUSPECTS_MAX + 100):
        table.note_end(Fingerprint(f"{number:032}", "c"), run(number), last + number)
    assert len(table.suspects) == SUSPECTS_MAX
    assert FATAL.content in table.suspects
    assert sum(table.heads.values()) == SUSPECTS_MAX


def test_news_that_a_full_table_drops_at_once_is_no_news():
    table, peer = Quarantine(), Quarantine()
    for number in range(SUSPECTS_MAX):
        end(table, Fingerprint(f"{number:032}", "c"), 2 * number, 2 * number + 1)
    for number in range(3):
        end(peer, Fingerprint(f"{number:031}x", "c"), number)
    changed = table.merge(peer.shared(peer.suspects, NOW), NOW)
    assert set(changed) <= set(table.suspects)
    assert len(table.suspects) == SUSPECTS_MAX


def test_ends_are_forgotten():
    table = Quarantine()
    last = end(table, FATAL, 1, 2)
    table.tick(last + CRASH_RETENTION_SECONDS - 1)
    assert table.may_know(FATAL.content[:16])
    table.tick(last + CRASH_RETENTION_SECONDS + 1)
    assert not table.may_know(FATAL.content[:16])
    assert not table.suspects and not table.lost.ends and not table.lost.ordered


def test_what_a_refused_request_explains_is_forgotten():
    table = Quarantine()
    last = end(table, FATAL, 1, 2, 3)
    assert table.explained_by and table.repeated_crashes
    table.tick(last + CRASH_RETENTION_SECONDS + 1)
    assert not table.explained_by and not table.repeated_crashes


rows = st.builds(
    SharedSuspect,
    st.sampled_from([FATAL.content, INNOCENT.content]),
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
        max_size=ENDS_KEPT // 2,
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
def test_hosts_agree_whatever_the_order_of_news(messages, random):
    # Clearing bystanders depends on what a host knew by then, so it is left out here
    # and settles with the next exchange.
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
def test_what_is_known_already_is_no_news(messages):
    table = Quarantine()
    table.merge(messages, NOW)
    known = table.shared(table.suspects, NOW)
    assert table.merge(known, NOW) == []


@pytest.mark.parametrize("ends", [QUARANTINE_AFTER_CRASHES, ENDS_KEPT, 3 * ENDS_KEPT])
def test_the_newest_ends_are_kept(ends):
    table = Quarantine()
    last = end(table, FATAL, *range(ends), gap=0.1)
    kept = table.suspects[FATAL.content].ends
    assert len(kept) == min(ends, ENDS_KEPT)
    assert max(row.at for row in kept.values()) == pytest.approx(last)
    assert verdict(table, FATAL, last) is Verdict.QUARANTINED
