"""Bytes of uploads that a host holds, for any order of what arrives and ends."""

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

from greengagepoint.overload.held_bytes import FLOOR_BYTES
from greengagepoint.overload.held_uploads import (
    HeldUploads,
    Upload,
    UploadLimits,
    UploadReason,
)

SIZES = st.one_of(
    st.sampled_from((0, 1, FLOOR_BYTES, FLOOR_BYTES + 1, 2 * FLOOR_BYTES)),
    st.integers(0, 4 * FLOOR_BYTES),
)


class HeldUploadsMachine(RuleBasedStateMachine):
    """Uploads are admitted, arrive and end in any order."""

    create = HeldUploads
    uploads = Bundle("uploads")

    @initialize(
        budget=st.integers(2, 5).map(lambda count: count * FLOOR_BYTES),
        share=st.integers(1, 2),
    )
    def begin(self, budget, share):
        self.limits = UploadLimits(budget, budget // share)
        self.held = self.create(self.limits)
        self.sizes = {}
        self.received = {}
        self.ended = set()

    @rule(target=uploads)
    def open(self):
        row = Upload()
        self.sizes[row] = self.received[row] = 0
        return row

    @rule(target=uploads, length=SIZES)
    def open_with_length(self, length):
        row = self.open()
        self.check(row, length, lambda: self.held.reserve(row, length))
        return row

    @rule(row=uploads, size=SIZES)
    def receive(self, row, size):
        if row in self.ended:
            return
        self.received[row] += size
        self.check(row, self.received[row], lambda: self.held.grow(row, size))

    def check(self, row, size, extend):
        """Check that an upload of this size is admitted just if it fits."""
        rest = self.live_total() - self.sizes[row]
        size = max(size, self.sizes[row])
        expected = None
        if size > max(FLOOR_BYTES, self.sizes[row]):
            if size > self.limits.upload_bytes:
                expected = UploadReason.TOO_LONG
            elif rest + size > self.limits.budget_bytes:
                expected = UploadReason.NO_ROOM
        assert extend() == expected
        if expected is None:
            self.sizes[row] = size
        else:
            self.ended.add(row)

    def live_total(self):
        return sum(size for row, size in self.sizes.items() if row not in self.ended)

    @rule(row=uploads)
    def release(self, row):
        self.held.release(row)
        self.ended.add(row)

    @invariant()
    def counts_what_is_held(self):
        if not hasattr(self, "held"):
            return
        assert self.held.total == self.live_total()
        small = FLOOR_BYTES * sum(row not in self.ended for row in self.sizes)
        assert self.held.total <= self.limits.budget_bytes + small


class GivesBackTwice(HeldUploads):
    """Give back the bytes of an upload at each release."""

    def release(self, upload):
        upload.is_released = False
        super().release(upload)


class NeverGivesBack(HeldUploads):
    """Keep the bytes of an upload after its last attempt."""

    def release(self, upload):
        upload.is_released = True


class GivesBackOnceReceived(HeldUploads):
    """Give back the bytes of an upload before it is sent to a server."""

    def grow(self, upload, size):
        reason = super().grow(upload, size)
        if upload.received >= upload.size:
            self.release(upload)
        return reason


class GivesBackReceived(HeldUploads):
    """Give back the bytes that arrived, and not those that were reserved."""

    def release(self, upload):
        if not upload.is_released:
            upload.size = upload.received
        super().release(upload)


class KeepsRejected(HeldUploads):
    """Keep the bytes of an upload that was rejected while it grew."""

    def grow(self, upload, size):
        held = upload.size
        reason = super().grow(upload, size)
        if reason is not None:
            self.total += held
        return reason


class AdmitsBeyondBudget(HeldUploads):
    """Compare each upload with the budget, and not all of them."""

    def _find_obstacle(self, size, more):
        if size <= min(self.limits):
            return None
        return super()._find_obstacle(size, more)


class GrowsBeyondBudget(HeldUploads):
    """Admit whatever arrives of an upload without a length."""

    def grow(self, upload, size):
        limits, self.limits = self.limits, UploadLimits(1 << 60, 1 << 60)
        try:
            return super().grow(upload, size)
        finally:
            self.limits = limits


class CountsTwice(HeldUploads):
    """Count received bytes beside the reserved ones."""

    def grow(self, upload, size):
        upload.received += upload.size
        try:
            return super().grow(upload, size)
        finally:
            upload.received -= upload.size


class IgnoresLength(HeldUploads):
    """Count an upload only as it arrives."""

    def reserve(self, upload, length):
        return None


class IgnoresFloor(HeldUploads):
    """Reject small uploads as well."""

    def _extend(self, upload, size):
        reason = self._find_obstacle(size, size - upload.size)
        if reason is not None and size > upload.size and not upload.is_released:
            self.release(upload)
            return reason
        return super()._extend(upload, size)


class RejectsBound(HeldUploads):
    """Reject an upload that is just within the bound."""

    def _find_obstacle(self, size, more):
        return super()._find_obstacle(size + 1, more)


MUTANTS = [
    GivesBackTwice,
    NeverGivesBack,
    GivesBackOnceReceived,
    GivesBackReceived,
    KeepsRejected,
    AdmitsBeyondBudget,
    GrowsBeyondBudget,
    CountsTwice,
    IgnoresLength,
    IgnoresFloor,
    RejectsBound,
]
SETTINGS = settings(
    max_examples=1_000,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
)


def test_any_order_of_uploads():
    run_state_machine_as_test(HeldUploadsMachine, settings=SETTINGS)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutants_are_found(mutant):
    machine = type(mutant.__name__, (HeldUploadsMachine,), {"create": mutant})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=SETTINGS)
