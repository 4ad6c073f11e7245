"""Test that hosts keep to what they were told over restores of the store."""

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

from greengagepoint.config import eras
from greengagepoint.config.store_memory import (
    ENDED_ENTRY_SECONDS,
    WRITTEN_AGAIN_SECONDS,
    StoreMemory,
)
from greengagepoint.config.version_order import ActiveVersion, VersionOrder
from greengagepoint.routing.tables import CallerLimits, RouteTableBuilder, ServicePolicy
from greengagepoint_node.gateway.store_types import (
    Changes,
    Configuration,
    Evacuation,
    RemovedKey,
    ServerEntry,
    Snapshot,
    StoredItem,
)
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.gateway.writes import Write

CONFIG = "config"
STEP_SECONDS = 0.25
REWRITE_SECONDS = 1.0
COPIES_MAX = 4


class Fact(NamedTuple):
    """The newest write of a key: its number, and its value, None if removed."""

    number: int
    value: str | None


def decode(item: StoredItem) -> Any:
    value = item.value.decode()
    if item.key == CONFIG:
        builder = RouteTableBuilder(int(value), CallerLimits())
        builder.add_service(ServicePolicy(name="booking"))
        return Configuration(builder.table())
    if item.key in ZONES:
        return Evacuation(item.key)
    zone = sorted(ZONES)[int(item.key) % 2]
    leaving = value == "draining"
    return ServerEntry(item.key, "booking", f"10.0.0.{item.key}:1", zone, 4, leaving, 0)


class Store:
    """A store that can go back to a copy, and what was written to it."""

    def __init__(self) -> None:
        self.era = self.revision = 0
        self.facts: dict[str, Fact] = {}
        self.revisions: dict[str, int] = {}
        self.began_at = 0

    def write(self, key: str, fact: Fact) -> None:
        self.revision += 1
        self.facts[key] = fact
        self.revisions[key] = self.revision

    def copy(self) -> tuple[Any, ...]:
        return self.revision, dict(self.facts), dict(self.revisions)

    def restore(self, copy: tuple[Any, ...]) -> None:
        self.era += 1
        self.revision, facts, revisions = copy
        self.facts, self.revisions = dict(facts), dict(revisions)
        self.began_at = self.revision


class Host:
    """One host; ``told`` holds the newest fact of each key, and since when."""

    def __init__(self) -> None:
        self.view = FleetView(ZONES, decode, EventLog())
        self.told: dict[str, tuple[Fact, float]] = {}

    def state(self, key: str) -> str | None:
        """Return what the host makes of a key."""
        if key == CONFIG:
            return str(self.view.routes.version) if self.view.routes else None
        if key in ZONES:
            return "" if key in self.view.evacuated_at else None
        server = self.view.servers.servers.get(key)
        is_used = server is not None and server.incarnation not in (
            self.view.servers.leaving
        )
        return "ready" if is_used else None

    def note(self, key: str, fact: Fact, since: float) -> None:
        known = self.told.get(key)
        if known is None or fact.number > known[0].number:
            self.told[key] = (fact, since)


def grace(before: int, after: int) -> float:
    """Return how long a host that gets to a position may keep what it knew."""
    is_new_era = before and eras.era_of(before) < eras.era_of(after)
    return WRITTEN_AGAIN_SECONDS + STEP_SECONDS if is_new_era else 0.0


class RestoreMachine(RuleBasedStateMachine):
    """Write, restore and read in any order; what is forgotten is written again."""

    position_of = staticmethod(eras.position_of)

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.restored_at = 0.0
        self.store = Store()
        self.truth: dict[str, Fact] = {}
        self.copies: list[tuple[Any, ...]] = []
        self.hosts = [Host(), Host()]
        self.next_server = 0
        self.write(CONFIG, "1")
        self.read()

    def write(self, key: str, value: str | None) -> None:
        """Write a new fact, after those of the key that the store forgot."""
        if key in self.truth and self.store.facts.get(key) != self.truth[key]:
            self.store.write(key, self.truth[key])
            self.read()
        number = max((row.number for row in self.truth.values()), default=0) + 1
        self.truth[key] = Fact(number, value)
        self.store.write(key, self.truth[key])

    @rule()
    def add_server(self) -> None:
        self.next_server += 1
        self.write(str(self.next_server), "ready")

    @rule(draw=st.integers(0, 50), value=st.sampled_from(["draining", None]))
    def end_server(self, draw: int, value: str | None) -> None:
        ready = [
            key
            for key, fact in self.truth.items()
            if key.isdigit() and fact.value == "ready"
        ]
        if ready:
            self.write(ready[draw % len(ready)], value)

    @rule(zone=st.sampled_from(sorted(ZONES)))
    def change_evacuation(self, zone: str) -> None:
        fact = self.truth.get(zone)
        self.write(zone, "" if fact is None or fact.value is None else None)

    @rule()
    def configure(self) -> None:
        self.write(CONFIG, str(int(self.truth[CONFIG].value or 0) + 1))

    @rule()
    def copy(self) -> None:
        self.copies = [*self.copies, self.store.copy()][-COPIES_MAX:]

    @rule(draw=st.integers(0, 50))
    def restore(self, draw: int) -> None:
        if not self.copies:
            return
        self.rewrite()
        self.store.restore(self.copies[draw % len(self.copies)])
        for key, fact in self.truth.items():
            known = self.store.facts.get(key)
            if fact.value is None and (known is None or known.value is None):
                self.store.facts[key] = fact
        self.restored_at = self.now
        self.copies = []

    @rule(
        draw=st.integers(0, 50),
        zone=st.sampled_from(sorted(ZONES)),
        write=st.sampled_from(["configure", "end", "remove", "add", "evacuate"]),
        is_changed_again=st.booleans(),
    )
    def forget(self, draw: int, zone: str, write: str, is_changed_again: bool) -> None:
        """Forget a write that hosts have read, and change it again once it is back."""
        writes = {
            "configure": self.configure,
            "end": lambda: self.end_server(draw, "draining"),
            "remove": lambda: self.end_server(draw, None),
            "add": self.add_server,
            "evacuate": lambda: self.change_evacuation(zone),
        }
        self.copies = []
        self.copy()
        writes[write]()
        self.read()
        self.restore(0)
        self.read()
        self.hosts_keep_to_what_they_were_told()
        if is_changed_again:
            self.rewrite()
            self.change_evacuation(zone)
            self.read()

    @rule()
    def rewrite(self) -> None:
        """Let operators and servers write again what the store forgot."""
        for key, fact in self.truth.items():
            if self.store.facts.get(key) != fact:
                self.store.write(key, fact)

    @rule()
    def read(self) -> None:
        """Let the first host read the store, and the second get it from the first."""
        first, second = self.hosts
        self.read_store(first)
        before = second.view.revision
        if before < first.view.revision:
            missing = first.view.changes_after(before)
            lapsed = first.view.unconfirmed_removals(self.now)
            if isinstance(missing, Snapshot):
                second.view.replace(missing, self.now, lapsed)
            else:
                second.view.apply(missing, self.now, lapsed)
        since = self.now + grace(before, first.view.revision)
        for key, row in first.told.items():
            second.note(key, row[0], max(row[1], since))

    def read_store(self, host: Host) -> None:
        """Read what a host lacks, or all if it is in another era."""
        store, view = self.store, host.view
        now_at = self.position_of(store.era, store.revision)
        in_era = eras.era_of(view.revision) == eras.era_of(now_at)
        before = view.revision
        after = eras.revision_of(before)
        if view.revision and in_era and after >= store.began_at:
            rows = [
                self.change(key) for key, at in store.revisions.items() if at > after
            ]
            view.apply(Changes(tuple(rows), now_at), self.now)
        else:
            present = [key for key, row in store.facts.items() if row.value is not None]
            items = tuple(self.change(key) for key in present)
            view.replace(Snapshot(items, now_at), self.now)
        since = self.now + grace(before, now_at)
        for key, fact in store.facts.items():
            host.note(key, fact, since)

    def change(self, key: str) -> StoredItem | RemovedKey:
        """Return the newest change of a key as the adapter does."""
        at = self.position_of(self.store.era, self.store.revisions[key])
        value = self.store.facts[key].value
        if value is None:
            return RemovedKey(key, at)
        return StoredItem(key, value.encode(), at)

    @rule(seconds=st.sampled_from([STEP_SECONDS, 1.0, 3.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass; hosts read several times a second."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            if self.now - self.restored_at >= REWRITE_SECONDS:
                self.rewrite()
            self.read()
            for host in self.hosts:
                host.view.tick(self.now)

    @rule()
    def settle(self) -> None:
        """Let all holds end; the hosts must agree with what was written."""
        self.rewrite()
        self.advance(ENDED_ENTRY_SECONDS + 1.0)
        for host in self.hosts:
            for key, fact in self.truth.items():
                assert host.told[key][0] == fact

    @invariant()
    def hosts_keep_to_what_they_were_told(self) -> None:
        for host in self.hosts:
            for key, (fact, since) in host.told.items():
                if fact == self.truth[key] and since <= self.now:
                    expected = None if fact.value == "draining" else fact.value
                    assert host.state(key) == expected, (key, fact)

    @invariant()
    def versions_never_go_back(self) -> None:
        for host in self.hosts:
            version = int(host.state(CONFIG) or 0)
            assert version >= getattr(host, "version", 0)
            host.version = version


SETTINGS = settings(
    max_examples=150,
    stateful_step_count=30,
    phases=[Phase.generate],
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_hosts_keep_to_what_they_were_told_over_restores():
    run_state_machine_as_test(RestoreMachine, settings=SETTINGS)


def hold_nothing(monkeypatch):
    monkeypatch.setattr(StoreMemory, "begin_era", lambda *row: 0)


def hold_against_writes(monkeypatch):
    monkeypatch.setattr(StoreMemory, "note_write", lambda *row: None)


def forget_removals(monkeypatch):
    monkeypatch.setattr(StoreMemory, "record_removal", lambda *row: None)


def ignore_eras(monkeypatch):
    monkeypatch.setattr(
        RestoreMachine, "position_of", staticmethod(lambda era, revision: revision)
    )


def believe_missing_entries(monkeypatch):
    begin = FleetView._begin_era
    monkeypatch.setattr(FleetView, "_begin_era", lambda *row: (begin(*row), {})[1])


def believe_ready_entries(monkeypatch):
    begin = FleetView._begin_era

    def begin_without_marks(view, *row):
        unconfirmed = begin(view, *row)
        view.known.announced.heard_at.clear()
        return unconfirmed

    monkeypatch.setattr(FleetView, "_begin_era", begin_without_marks)


def order_configurations_by_position(monkeypatch):
    order = Write.order.fget
    monkeypatch.setattr(
        Write,
        "order",
        property(
            lambda write: 0 if isinstance(write.entry, Configuration) else order(write)
        ),
    )
    record = VersionOrder.record_valid

    def record_as_newest(versions, position, version):
        versions.active = ActiveVersion()
        return record(versions, position, version)

    monkeypatch.setattr(VersionOrder, "record_valid", record_as_newest)


@pytest.mark.parametrize(
    "mutate",
    [
        hold_nothing,
        hold_against_writes,
        forget_removals,
        ignore_eras,
        believe_missing_entries,
        believe_ready_entries,
        order_configurations_by_position,
    ],
    ids=lambda row: row.__name__,
)
def test_the_state_machine_detects_a_broken_rule(mutate, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(RestoreMachine, settings=SETTINGS)
