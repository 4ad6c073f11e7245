"""Bytes of answers that a host holds, for any order of what arrives and is written."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from greengagepoint.overload.held_bytes import (
    ANSWER_FLOOR_BYTES,
    BUDGET_BYTES_MIN,
    MEBIBYTE,
    DropReason,
    HeldBytes,
    HeldLimits,
    Holding,
    create_limits,
)
from greengagepoint.overload.held_uploads import create_upload_limits

SIZES = st.one_of(
    st.sampled_from(
        (0, 1, ANSWER_FLOOR_BYTES, ANSWER_FLOOR_BYTES + 1, 2 * ANSWER_FLOOR_BYTES)
    ),
    st.integers(0, 4 * ANSWER_FLOOR_BYTES),
)


class HeldBytesMachine(RuleBasedStateMachine):
    """Answers arrive, are written and are given up in any order."""

    create = HeldBytes
    answers = Bundle("answers")

    @initialize(
        budget=st.integers(2, 5).map(lambda count: count * ANSWER_FLOOR_BYTES),
        share=st.integers(1, 2),
    )
    def begin(self, budget, share):
        self.limits = HeldLimits(budget, budget // share)
        self.held = self.create(self.limits)
        self.rows = []
        self.sizes = {}
        self.ended = set()
        self.whole = set()

    @rule(target=answers)
    def open(self):
        row = Holding()
        self.rows.append(row)
        self.sizes[row] = 0
        return row

    @rule(target=answers, length=st.one_of(st.none(), SIZES))
    def open_with_length(self, length):
        row = self.open()
        self.held.check_length(row, length)
        is_over = length is not None and length > self.limits.answer_bytes
        assert (row.dropped is DropReason.LENGTH_TOO_LONG) == is_over
        if is_over:
            self.ended.add(row)
        return row

    @rule(row=answers, size=SIZES)
    def receive(self, row, size):
        if row in self.whole:
            return
        was_ended = row in self.ended
        dropped = self.held.grow(row, size)
        if was_ended:
            assert dropped is None, "a dropped answer takes nothing"
            return
        self.sizes[row] += size
        self.check_dropped(row, dropped)

    def check_dropped(self, row, dropped):
        """Check that just the answer that had to give way did so."""
        if self.sizes[row] > self.limits.answer_bytes:
            assert dropped is row
            assert row.dropped is DropReason.TOO_LONG
            self.ended.add(row)
            return
        arriving = self.arriving()
        if self.live_total() <= self.limits.budget_bytes or not arriving:
            assert dropped is None
            return
        assert dropped in arriving, "an arriving answer over the floor gives way"
        assert self.sizes[dropped] == max(self.sizes[each] for each in arriving)
        assert dropped.dropped is DropReason.NO_ROOM
        self.ended.add(dropped)
        assert self.live_total() <= self.limits.budget_bytes or not self.arriving()

    def arriving(self):
        """Return the unfinished answers that are larger than the floor."""
        return [
            row
            for row in self.rows
            if row not in self.ended
            and row not in self.whole
            and self.sizes[row] > ANSWER_FLOOR_BYTES
        ]

    def live_total(self):
        return sum(self.sizes[row] for row in self.rows if row not in self.ended)

    @rule(row=answers)
    def finish(self, row):
        if row in self.ended:
            return
        self.held.finish(row)
        self.whole.add(row)

    @rule(row=answers)
    def release(self, row):
        self.held.release(row)
        self.ended.add(row)

    @invariant()
    def counts_what_is_held(self):
        if not hasattr(self, "held"):
            return
        assert self.held.total == self.live_total()
        small = ANSWER_FLOOR_BYTES * sum(row not in self.ended for row in self.rows)
        assert self.held.total <= self.limits.budget_bytes + small
        assert self.held.arriving == set(self.arriving()), "no row is kept for good"


class GivesBackTwice(HeldBytes):
    """Give back the bytes of an answer at each release."""

    def release(self, holding):
        holding.is_released = False
        super().release(holding)


class NeverGivesBack(HeldBytes):
    """Keep the bytes of an answer that was written."""

    def release(self, holding):
        holding.is_released = True
        self.arriving.discard(holding)


class GivesBackWhenWhole(HeldBytes):
    """Give back the bytes of an answer before it is written."""

    def finish(self, holding):
        super().finish(holding)
        self.release(holding)


class KeepsDropped(HeldBytes):
    """Keep the bytes of an answer that gave way."""

    def _drop(self, holding, reason):
        super()._drop(holding, reason)
        self.total += holding.size


class CountsAfterDrop(HeldBytes):
    """Hold what still arrives of an answer that gave way."""

    def grow(self, holding, size):
        holding.is_released = False
        return super().grow(holding, size)


class DropsWholeAnswers(HeldBytes):
    """Drop answers that are whole as well."""

    def finish(self, holding):
        holding.is_whole = True


class DropsSmallest(HeldBytes):
    """Let the smallest answer give way."""

    def _make_room(self):
        if not self.arriving:
            return None
        smallest = min(self.arriving, key=lambda row: row.size)
        self._drop(smallest, DropReason.NO_ROOM)
        return smallest


class DropsTheNewest(HeldBytes):
    """Let the answer that grows give way, however small it is."""

    def grow(self, holding, size):
        self.newest = holding
        return super().grow(holding, size)

    def _make_room(self):
        if self.newest not in self.arriving:
            return None
        self._drop(self.newest, DropReason.NO_ROOM)
        return self.newest


class IgnoresFloor(HeldBytes):
    """Drop small answers as well."""

    def grow(self, holding, size):
        if not holding.is_released:
            self.arriving.add(holding)
        return super().grow(holding, size)


class ComparesPiece(HeldBytes):
    """Compare each piece with the bound, and not the answer."""

    def grow(self, holding, size):
        limits = self.limits
        if size <= limits.answer_bytes:
            self.limits = limits._replace(answer_bytes=1 << 60)
        try:
            return super().grow(holding, size)
        finally:
            self.limits = limits


class RejectsBound(HeldBytes):
    """Reject a length that is just within the bound."""

    def check_length(self, holding, length):
        super().check_length(holding, length if length is None else length + 1)


class IgnoresLength(HeldBytes):
    """Read answers whose length is beyond the bound."""

    def check_length(self, holding, length):
        """Do nothing."""


MUTANTS = [
    GivesBackTwice,
    NeverGivesBack,
    GivesBackWhenWhole,
    KeepsDropped,
    CountsAfterDrop,
    DropsWholeAnswers,
    DropsSmallest,
    DropsTheNewest,
    IgnoresFloor,
    ComparesPiece,
    RejectsBound,
    IgnoresLength,
]
SETTINGS = settings(
    max_examples=1_000,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


def test_any_order_of_answers():
    run_state_machine_as_test(HeldBytesMachine, settings=SETTINGS)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutants_are_found(mutant):
    machine = type(mutant.__name__, (HeldBytesMachine,), {"create": mutant})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SETTINGS)


@pytest.mark.parametrize(
    ("memory_mb", "budget"),
    [
        (300, 68 * MEBIBYTE),
        (200, 104 * MEBIBYTE // 3),
        (0, 104 * MEBIBYTE // 3),
        (50, BUDGET_BYTES_MIN),
    ],
)
def test_limits_follow_from_the_memory_of_the_host(memory_mb, budget):
    assert create_limits(memory_mb) == (budget // 2, budget // 2)
    # Uploads have as much memory as answers, and are copied twice, not three times.
    uploads = 3 * budget // 4
    assert create_upload_limits(memory_mb) == (uploads, uploads // 2)
