"""Usage counters under loss, repetition, reordering and restarts."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.hosts import HostIdentity
from greengagepoint.usage import UsageOutcome, sharing
from greengagepoint.usage.counters import add_up, larger, merge, render_csv, row_key
from greengagepoint.usage.messages import ShareAck, UsageRow
from greengagepoint.usage.store_values import (
    UsageKey,
    decode_key,
    decode_record,
    encode_key,
    encode_record,
    merge_record,
    write_seconds,
)
from greengagepoint.usage.tables import UsageTables

NUMBERS = st.integers(0, 9)
ROWS = st.builds(
    UsageRow, st.just("2026-12-02"), st.sampled_from("ab"), st.just("s"), *[NUMBERS] * 5
)
READINGS = st.lists(ROWS, max_size=6)
DAY_MILLISECONDS = 86_400_000
START = 1_790_000_000_000


def merged(*readings):
    rows = {}
    for reading in readings:
        rows = merge(rows, reading)
    return rows


@given(READINGS, READINGS, READINGS)
def test_merge_is_idempotent_commutative_and_associative(one, two, three):
    assert merged(one, one) == merged(one)
    assert merged(one, two) == merged(two, one)
    assert merged(one, [*merged(two, three).values()]) == merged(one, two, three)
    assert all(larger(row, row) == row for row in one)


HOSTS = [
    HostIdentity(name, 1, region, zone, "", "")
    for name, region, zone in [
        ("me", "r1", "z1"),
        ("mate", "r1", "z1"),
        ("near", "r1", "z2"),
        ("far1", "r2", "z3"),
        ("far2", "r2", "z3"),
    ]
]
ACTION = st.sampled_from(
    ["count", "count", "share", "deliver", "drop", "double", "restart", "write", "lost"]
)


class Run:
    """One host that counts, one holder, a lossy link and a store that loses replies."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.mine = UsageTables("me", 7)
        self.mine.day = "2026-12-02"
        self.holder = UsageTables("h", 1)
        self.link, self.value, self.now = [], None, 0.0
        self.true, self.held, self.holder_restarted = 0, 0, False

    def count(self):
        self.mine.count("t", "s", UsageOutcome.ANSWERED, 1, 2)
        self.true += 1

    def share(self):
        self.now += 5
        for send in sharing.share_now(self.mine, ["h"], self.now):
            self.link.append((True, send.message))

    def deliver(self, keep=False):
        if not self.link:
            return
        index = self.random.randrange(len(self.link))
        to_holder, message = self.link[index] if keep else self.link.pop(index)
        if to_holder:
            ack = sharing.receive_share(self.holder, "me", message, self.now)
            self.link.append((False, ack.message))
        else:
            sharing.receive_ack(self.mine, "h", message)

    def double(self):
        self.deliver(keep=True)

    def drop(self):
        if self.link:
            self.link.pop(self.random.randrange(len(self.link)))

    def restart(self):
        self.holder = UsageTables("h", self.holder.incarnation + 1)

    def write(self, sequence=None, rows=None):
        key = UsageKey("2026-12-02", "me", 7)
        held = decode_record(self.value) if self.value else None
        rows = self.mine.rows_after(0) if rows is None else rows
        record = merge_record(held, key, self.mine.seal(), rows)
        if record is not None:
            self.value = encode_record(record)

    lost = write

    def write_by_holder(self):
        for run in self.holder.held.values():
            self.write(rows=run.rows.values())

    def stored(self):
        return sum(row.answered for row in decode_record(self.value).rows)


@given(st.lists(ACTION, max_size=80), st.integers(0, 99))
def test_nothing_is_billed_twice_and_only_the_unshared_is_lost(actions, seed):
    """A host counts while its shares are lost, doubled and come late, its holder
    restarts and some writes are done again because their replies were lost.

    Then the host dies. The holder writes what it holds, twice. The bill never exceeds
    what was sent, and what an acknowledged share carried is on it.
    """
    run = Run(seed)
    for action in actions:
        getattr(run, action)()
        stored = run.stored() if run.value else 0
        assert stored <= run.true
    # One undisturbed exchange after a pause of the link, as far as it is needed.
    run.link.clear()
    before_death = run.true
    for _ in range(3):
        run.share()
        while run.link:
            run.deliver()
    run.count()
    run.write_by_holder()
    run.write_by_holder()
    if run.true > 1:
        assert run.stored() in (before_death, run.true)


def test_gap_at_a_restarted_holder_is_filled():
    """A holder restarts and has lost what it held; the host's next share only carries
    what changed since the holder's last answer.

    The holder answers with less than it once had, so the host sends all again.
    """
    run = Run(1)
    for _ in range(2):
        run.mine.count("t", f"s{run.now}", UsageOutcome.FAILED, 1, 2)
        run.share()
        run.deliver()
        run.deliver()
    run.restart()
    run.now += sharing.REFRESH_SECONDS
    for _ in range(2):
        run.share()
        run.deliver()
        run.deliver()
    (held,) = run.holder.held.values()
    assert len(held.rows) == 2
    assert held.sequence == run.mine.holders["h"].sequence > 0


@pytest.mark.parametrize(
    ("gone", "regions"),
    [((), {"r1", "r2"}), (("near",), {"r1", "r2"}), (("far1", "far2"), {"r1"})],
)
def test_holders_stand_in_other_places(gone, regions):
    hosts = [host for host in HOSTS if host.name not in gone]
    chosen = sharing.choose_holders(UsageTables("me", 1), HOSTS[0], hosts, 0.0)
    found = {host.region for host in hosts if host.name in chosen}
    assert len(chosen) == 2 and "me" not in chosen
    assert found == regions or gone == ("near",)


def test_silent_holder_is_passed_over():
    tables = UsageTables("me", 1)
    now, used = 0.0, []
    for step in range(6):
        now += 10
        tables.day = "2026-12-02"
        tables.count("t", "s", UsageOutcome.ANSWERED, step, 0)
        sends = sharing.run_shares(tables, HOSTS[0], HOSTS, now, START)
        used.append({send.host for send in sends})
        for send in sends:
            if send.host != "near":
                sequence = send.message.sequence
                sharing.receive_ack(
                    tables, send.host, ShareAck(incarnation=1, sequence=sequence)
                )
    assert "near" in used[0] and "near" not in used[-1] and len(used[-1]) == 2


@pytest.mark.parametrize(
    ("live", "silent", "ended"),
    [
        ([("h", 7)], 60, False),
        ([("h", 8)], 1, True),
        ([], 60, False),
        ([], sharing.MISSING_SECONDS, True),
        ([("h", 7)], sharing.KEEP_DAY_SECONDS, True),
    ],
)
def test_runs_that_ended(live, silent, ended):
    tables, other = UsageTables("me", 1), UsageTables("h", 7)
    other.day = "2026-12-02"
    other.count("t", "s", UsageOutcome.NOT_RUN, 0, 0)
    (send,) = sharing.share_now(other, ["me"], 0.0)
    sharing.receive_share(tables, "h", send.message, 0.0)
    hosts = [HostIdentity(*host, "", "", "", "") for host in live]
    assert sharing.orphans(tables, hosts, silent) == ([("h", 7)] if ended else [])


def test_day_that_was_dropped_is_never_counted_again():
    """A day's rows are in the store and leave memory; then the wall clock goes back.

    Counted from nothing, that day would stay below what the store holds and be lost
    in the merge, so requests count on the day that was open.
    """
    tables = UsageTables("me", 1)
    sharing.run_shares(tables, HOSTS[0], [], 0.0, START)
    tables.count("t", "s", UsageOutcome.ANSWERED, 1, 1)
    first = tables.day
    tables.written[first] = tables.seal()
    later = sharing.KEEP_DAY_SECONDS + 1
    sharing.run_shares(tables, HOSTS[0], [], later, START + 3 * DAY_MILLISECONDS)
    assert tables.counters == {}
    last = tables.day
    sharing.run_shares(tables, HOSTS[0], [], later + 9, START)
    tables.count("t", "s", UsageOutcome.ANSWERED, 1, 1)
    assert tables.days() == [last] and last > first


def test_keys_values_and_report():
    key = UsageKey("2026-12-02", "h", 7)
    assert decode_key(encode_key(key)) == key
    assert decode_key("/greengagepoint/usage/x") is None
    assert decode_record(b"\xff nonsense") is None
    row = UsageRow("2026-12-02", "t", "s", 3, 2, 1, 10, 20)
    assert merge_record(merge_record(None, key, 1, [row]), key, 2, [row]) is None
    lines = add_up([[row], [row]])
    assert (lines[0]["requests"], lines[0]["bytes_out"]) == (12, 40)
    head = "day,team,service,requests,answered,failed,not_run,bytes_in,bytes_out\n"
    assert render_csv(lines) == head + "2026-12-02,t,s,12,6,4,2,20,40\n"
    assert row_key(row) == ("2026-12-02", "t", "s")


@pytest.mark.parametrize(("hosts", "seconds"), [(1, 10), (12, 10), (4900, 245)])
def test_write_period_follows_the_fleet(hosts, seconds):
    assert write_seconds(hosts) == seconds
