"""What servers said in their answers, against what their entries say."""

import pytest
from gateway_runs import NOW, apply_changes, members, server_incarnation, stored_item
from gateway_runs import view as create_view
from gateway_world import NAMES, EventLog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from multidict import CIMultiDict, CIMultiDictProxy

from greengagepoint.backpressure.messages import LeavingNotice
from greengagepoint.events import Event
from greengagepoint_node.gateway.counters import GatewayCounters
from greengagepoint_node.gateway.server_signals import ServerSignals
from greengagepoint_node.gateway.store_types import RemovedKey, StoredItem

LEAVING = CIMultiDictProxy(CIMultiDict({NAMES.leaving: "1"}))
NOT_LEAVING = CIMultiDictProxy(CIMultiDict())


class FixedClock:
    def __init__(self, now=NOW):
        self.now = now

    def monotonic(self):
        return self.now


def create_signals(view):
    clock = FixedClock()
    return ServerSignals(NAMES, view, GatewayCounters(), clock, view.events)


class AnnouncedLeavingMachine(RuleBasedStateMachine):
    """Mix the answers of two servers with any entries, lapses and peers' notices."""

    first_born = 100

    @initialize()
    def create(self):
        self.view = create_view()
        self.view.events = self.view.known.events = EventLog()
        self.revision = 1
        self.signals = create_signals(self.view)
        apply_changes(self.view, StoredItem("op", b"", 1))
        self.said = set()
        self.born = {"i-1": self.first_born, "i-2": self.first_born}

    def apply(self, change):
        self.revision += 1
        self.signals.clock.now += 0.1
        apply_changes(self.view, change(self.revision), now=self.signals.clock.now)

    @rule(key=st.sampled_from(["i-1", "i-2"]))
    def write_ready_entry(self, key):
        born = self.born[key]
        self.apply(lambda revision: stored_item(revision, born, key=key))

    @rule(key=st.sampled_from(["i-1", "i-2"]))
    def lapse_and_come_back(self, key):
        self.apply(lambda revision: RemovedKey(key, revision))
        self.write_ready_entry(key)

    @precondition(lambda self: self.first_born)
    @rule(key=st.sampled_from(["i-1", "i-2"]))
    def restart(self, key):
        self.born[key] += 1
        self.write_ready_entry(key)

    @rule(key=st.sampled_from(["i-1", "i-2"]), leaving=st.booleans())
    def answer(self, key, leaving):
        row = self.view.servers.servers.get(key)
        if row is None:
            return
        self.signals.read(row, 200, LEAVING if leaving else NOT_LEAVING)
        if leaving:
            self.said.add(row.incarnation)

    @rule(key=st.sampled_from(["i-1", "i-2"]))
    def hear_from_a_peer(self, key):
        server = server_incarnation(self.born[key], key=key)
        self.signals.take_leaving([LeavingNotice(*server, 100)])
        self.said.add(server)

    @rule(seconds=st.floats(0.1, 1.0))
    def tick(self, seconds):
        self.signals.clock.now += seconds
        self.signals.tick()

    @invariant()
    def servers_that_said_so_are_not_used(self):
        if hasattr(self, "view"):
            assert not members(self.view) & self.said

    @invariant()
    def other_servers_are_used(self):
        if hasattr(self, "view"):
            rows = self.view.servers.servers.values()
            used = {row.incarnation for row in rows} - self.said
            assert members(self.view) == used


AnnouncedLeavingMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestAnnouncedLeaving = AnnouncedLeavingMachine.TestCase


class UndatedServersMachine(AnnouncedLeavingMachine):
    """The same for servers that report no start time, and have a new id each time."""

    first_born = 0


UndatedServersMachine.TestCase.settings = AnnouncedLeavingMachine.TestCase.settings
TestUndatedServers = UndatedServersMachine.TestCase


@pytest.mark.parametrize("text", ["0", "", "no", "true"])
def test_only_the_documented_value_says_that_a_server_leaves(text):
    view = create_view()
    apply_changes(view, StoredItem("op", b"", 1), stored_item(2, 100))
    signals = create_signals(view)
    headers = CIMultiDictProxy(CIMultiDict({NAMES.leaving: text}))
    signals.read(view.servers.servers["i-1"], 200, headers)
    assert members(view) == {server_incarnation(100)}


def test_a_limit_holds_when_the_entry_lapses_and_comes_back():
    view = create_view()
    apply_changes(view, StoredItem("op", b"", 1), stored_item(2, 100))
    signals = create_signals(view)
    headers = CIMultiDictProxy(CIMultiDict({NAMES.request_limit: "2"}))
    signals.read(view.servers.servers["i-1"], 200, headers)
    apply_changes(view, RemovedKey("i-1", 3))
    signals.tick()
    apply_changes(view, stored_item(4, 100))
    assert view.servers.servers["i-1"].request_limit == 2.0
    assert view.servers.limited == {server_incarnation(100)}


def test_a_rest_holds_when_the_entry_lapses_and_comes_back():
    view = create_view()
    apply_changes(view, StoredItem("op", b"", 1), stored_item(2, 100))
    signals = create_signals(view)
    headers = CIMultiDictProxy(CIMultiDict({"Retry-After": "3"}))
    signals.read(view.servers.servers["i-1"], 503, headers)
    apply_changes(view, RemovedKey("i-1", 3), stored_item(4, 100))
    signals.tick()
    assert view.servers.servers["i-1"].rest_until == NOW + 3


@pytest.mark.parametrize("born", [100, 0])
def test_a_notice_that_arrives_before_the_entry_holds(born):
    view = create_view()
    apply_changes(view, StoredItem("op", b"", 1))
    signals = create_signals(view)
    signals.take_leaving([LeavingNotice(*server_incarnation(born), 50)])
    signals.tick()
    apply_changes(view, stored_item(2, born))
    assert not members(view)


def test_a_server_is_logged_once_however_often_peers_repeat_it():
    view = create_view()
    view.events = view.known.events = EventLog()
    apply_changes(view, StoredItem("op", b"", 1), stored_item(2, 100))
    signals = create_signals(view)
    for _ in range(3):
        signals.take_leaving([LeavingNotice(*server_incarnation(100), 50)])
        signals.tick()
    (row,) = view.events.of(Event.BACKEND_SERVER_ANNOUNCED_LEAVING)
    assert row["source"] == "peer"
    assert len(view.events.of(Event.BACKEND_SERVER_LEAVING)) == 1
