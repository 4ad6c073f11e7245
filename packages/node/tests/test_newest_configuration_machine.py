"""Test that the newest valid configuration wins, in whatever order versions arrive."""

from typing import Any, NamedTuple

import pytest
from gateway_world import ZONES, EventLog
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from greengagepoint.accounts.certainty import NEVER, Proof
from greengagepoint.config.eras import era_of, position_of
from greengagepoint.config.version_order import VersionOrder
from greengagepoint.errors import RecordError
from greengagepoint.routing.tables import CallerLimits, create_route_table
from greengagepoint_node.gateway.configuration_loader import (
    LARGE_BYTES,
    PARTS_PER_STEP,
    ConfigurationLoader,
)
from greengagepoint_node.gateway.store_types import (
    Changes,
    Configuration,
    RemovedKey,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.view import FleetView

KEY = "op"
STEPS = 3
PARTS = STEPS * PARTS_PER_STEP
WAYS = ("store", "peer", "partial", "snapshot")

ways = st.sampled_from(WAYS)
draws = st.integers(0, 50)


class Version(NamedTuple):
    """A version at a position of the store."""

    number: int
    is_valid: bool
    position: int
    size: int

    @property
    def item(self) -> StoredItem:
        value = f"{self.number} {self.is_valid:d}".encode()
        return StoredItem(KEY, value.ljust(self.size), self.position)


def decode_parts(item: StoredItem) -> Any:
    number, is_valid = item.value.split()
    for _ in range(PARTS):
        yield None
    if is_valid == b"0":
        raise RecordError("no service", field=KEY)
    yield Configuration(create_route_table(int(number), {}, [], CallerLimits()))


def decode(item: StoredItem) -> Configuration:
    return next(row for row in decode_parts(item) if row is not None)


class NewestMachine(RuleBasedStateMachine):
    """Write, restore, remove, deliver and decode in any order.

    A pause of the host is a sequence of deliveries without decoding steps.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100
        self.era = self.revision = self.number = 0
        self.written: list[Version] = []
        self.known: list[Version] = []
        self.newest: Version | None = None
        # The store's version from each time on, None while it holds no valid one.
        self.held: list[tuple[int, int | None]] = [(0, None)]
        self.active = 0
        self.loader = ConfigurationLoader(decode_parts, self)
        self.view = FleetView(ZONES, decode, EventLog(), loader=self.loader)
        self.write(is_valid=True, is_large=False)
        self.receive(self.written[0], "snapshot")

    def monotonic(self) -> float:
        return self.now

    def put(self, number: int, is_valid: bool, size: int) -> None:
        """Write a version to the store."""
        self.now += 1
        self.revision += 1
        position = position_of(self.era, self.revision)
        self.newest = Version(number, is_valid, position, size)
        self.written.append(self.newest)
        self.held.append((self.now, number if is_valid else None))

    def receive(self, version: Version, way: str) -> None:
        """Let the host receive a version."""
        self.now += 1
        if version not in self.known:
            self.known.append(version)
        changes = Changes((version.item,), version.position)
        if way == "snapshot" and version.position >= self.view.revision:
            self.view.replace(Snapshot((version.item,), version.position), self.now)
        elif way == "partial":
            self.view.apply(Changes((version.item,), self.view.revision), self.now, {})
        else:
            self.view.apply(changes, self.now, {} if way == "peer" else None)

    @rule(is_valid=st.sampled_from([True, True, False]), is_large=st.booleans())
    def write(self, is_valid: bool, is_large: bool) -> None:
        self.number += 1
        self.put(self.number, is_valid, LARGE_BYTES if is_large else 10)

    @rule(draw=draws, way=ways)
    def receive_any(self, draw: int, way: str) -> None:
        """Receive any version, however old."""
        self.receive(self.written[-1 - draw % len(self.written)], way)

    @rule(way=ways, other_way=ways, is_written=st.booleans())
    def receive_in_reverse(self, way: str, other_way: str, is_written: bool) -> None:
        """Receive the newest two versions, the newer one first."""
        if is_written:
            self.write(is_valid=True, is_large=True)
            self.write(is_valid=True, is_large=True)
        newer, older = self.written[-1], self.written[-2:][0]
        self.receive(newer, way)
        self.receive(older, other_way)

    @rule(way=ways, other_way=ways)
    def receive_invalid_newest(self, way: str, other_way: str) -> None:
        """Receive an invalid version while an older one is being decoded."""
        self.write(is_valid=True, is_large=True)
        self.receive(self.written[-1], way)
        self.decode_some(1)
        self.write(is_valid=False, is_large=True)
        self.receive(self.written[-1], other_way)
        self.decode_all()
        self.newest_valid_version_is_active_once_all_are_decoded()

    @rule(count=st.integers(1, 2 * STEPS))
    def decode_some(self, count: int) -> None:
        for _ in range(count):
            if self.loader.waiting:
                self.now += 1
                self.loader._step(self.view)
                self.no_older_version_becomes_active()

    @rule()
    def decode_all(self) -> None:
        while self.loader.waiting:
            self.decode_some(1)

    @rule(is_written=st.booleans(), is_decoded=st.booleans())
    def read_store(self, is_written: bool, is_decoded: bool) -> None:
        """Receive all that the store holds, while it may be written."""
        if self.newest is None:
            return
        self.now += 1
        asked_at, answer = self.now, self.newest
        if is_written:
            self.write(is_valid=True, is_large=True)
        self.receive(answer, "store")
        self.view.note_complete(asked_at)
        if is_decoded:
            self.decode_all()

    @rule()
    def receive_proof(self) -> None:
        """Receive a peer's proof of a version that may not have arrived."""
        if self.newest is not None and self.newest.is_valid:
            self.now += 1
            self.view.certainty.take(Proof(self.newest.position, 0.0), self.now)

    @rule()
    def remove(self) -> None:
        """Remove the key; the version in force stays."""
        self.now += 1
        self.revision += 1
        self.newest = None
        self.held.append((self.now, None))
        position = position_of(self.era, self.revision)
        self.view.apply(Changes((RemovedKey(KEY, position),), position), self.now)

    @rule(draw=draws, is_read=st.booleans(), is_rewritten=st.booleans())
    def restore(self, draw: int, is_read: bool, is_rewritten: bool) -> None:
        """Restore the store from a copy; the operator may write again what it lost."""
        valid = [row for row in self.written if row.is_valid]
        copy = valid[-1 - draw % min(4, len(valid))]
        newest = max(valid, key=lambda row: row.number)
        self.era += 1
        self.put(copy.number, copy.is_valid, copy.size)
        if is_read:
            self.receive(self.written[-1], "snapshot")
            self.view.note_complete(self.now)
        if is_rewritten:
            self.put(newest.number, newest.is_valid, newest.size)

    @rule()
    def lose_and_tick(self) -> None:
        """Lose the newest waiting version, which the view still keeps."""
        writes = self.view.writes.get(KEY)
        if writes is not None:
            self.loader.waiting.pop(writes.newest.item.revision, None)
        self.view.tick(self.now)

    @property
    def valid(self) -> list[Version]:
        """Return the valid versions that the host knows of."""
        evicted = self.loader.versions.evicted
        return [
            row for row in self.known if row.is_valid and row.position not in evicted
        ]

    @property
    def version(self) -> int:
        return self.view.routes.version if self.view.routes else 0

    @invariant()
    def newest_valid_version_is_active_once_all_are_decoded(self) -> None:
        if self.loader.waiting:
            return
        assert self.version == max(row.number for row in self.valid)

    @invariant()
    def newest_version_is_never_evicted(self) -> None:
        newest = max(row.position for row in self.known)
        assert newest not in self.loader.versions.evicted

    @invariant()
    def no_older_version_becomes_active(self) -> None:
        assert self.version >= self.active
        if self.version > self.active:
            # Across eras, only decoding shows which version is the newer one.
            position = self.loader.versions.active.position
            era = [
                row for row in self.valid if era_of(row.position) == era_of(position)
            ]
            assert self.version == max(row.number for row in era)
        self.active = self.version

    @invariant()
    def only_the_active_version_is_confirmed(self) -> None:
        at = self.view.certainty.verified_at
        if at == NEVER:
            return
        assert self.version
        held = [number for since, number in self.held if since <= at][-1]
        if held is None:
            return
        assert self.version >= held
        if self.view.configured_at <= at:
            assert self.version == held


SETTINGS = settings(
    max_examples=300,
    stateful_step_count=30,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_the_newest_valid_version_wins_in_any_order():
    run_state_machine_as_test(NewestMachine, settings=SETTINGS)


def decode_the_last_arrived(monkeypatch):
    def add(versions, position, row):
        versions.waiting.pop(position, None)
        versions.waiting[position] = row
        return ()

    monkeypatch.setattr(VersionOrder, "add", add)


def decode_the_last_arrived_and_drop_all(monkeypatch):
    decode_the_last_arrived(monkeypatch)
    drop_all_others(monkeypatch)


def drop_all_others(monkeypatch):
    record = VersionOrder.record_valid

    def record_and_clear(versions, *row):
        result = record(versions, *row)
        versions.waiting.clear()
        return result

    monkeypatch.setattr(VersionOrder, "record_valid", record_and_clear)


def confirm_when_queued(monkeypatch):
    decode_item = FleetView._decode_item

    def decode_and_confirm(view, item):
        write = decode_item(view, item)
        if write.entry is None and write.error is None:
            view.certainty.note_in_force(item.revision)
        return write

    monkeypatch.setattr(FleetView, "_decode_item", decode_and_confirm)


def confirm_what_peers_have(monkeypatch):
    apply = FleetView._apply_configuration

    def apply_and_confirm(view, *row):
        result = apply(view, *row)
        view.certainty.note_in_force(view.certainty.newest)
        return result

    monkeypatch.setattr(FleetView, "_apply_configuration", apply_and_confirm)


def confirm_restored_versions(monkeypatch):
    monkeypatch.setattr(
        VersionOrder,
        "confirmed_position",
        lambda versions: max(versions.valid.values()),
    )


def block_older_versions(monkeypatch):
    reject = VersionOrder.record_rejected

    def reject_and_clear(versions, position):
        reject(versions, position)
        versions.waiting.clear()

    monkeypatch.setattr(VersionOrder, "record_rejected", reject_and_clear)


def ignore_late_versions(monkeypatch):
    monkeypatch.setattr(VersionOrder, "is_undecided", lambda *row: False)


def ignore_eras(monkeypatch):
    monkeypatch.setattr(
        VersionOrder,
        "is_superseded",
        lambda versions, position: position < max(versions.valid.values(), default=0),
    )


def activate_the_last_decoded(monkeypatch):
    record = VersionOrder.record_valid
    monkeypatch.setattr(
        VersionOrder,
        "record_valid",
        lambda *row: record(*row)._replace(is_activated=True),
    )


def evict_the_newest(monkeypatch):
    add = VersionOrder.add

    def add_and_evict(versions, position, row):
        if len(versions.waiting) < versions.waiting_max:
            return add(versions, position, row)
        newest = max((*versions.waiting, position))
        versions.waiting.pop(newest, None)
        versions.evicted.add(newest)
        return (newest,) if newest == position else add(versions, position, row)

    monkeypatch.setattr(VersionOrder, "add", add_and_evict)


@pytest.mark.parametrize(
    "mutate",
    [
        decode_the_last_arrived,
        decode_the_last_arrived_and_drop_all,
        drop_all_others,
        confirm_when_queued,
        confirm_what_peers_have,
        confirm_restored_versions,
        block_older_versions,
        ignore_late_versions,
        ignore_eras,
        activate_the_last_decoded,
        evict_the_newest,
    ],
    ids=lambda row: row.__name__,
)
def test_the_state_machine_detects_a_broken_rule(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NewestMachine, settings=SETTINGS)
