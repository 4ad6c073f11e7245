"""Look-ups in regions with more hosts than one answer may list."""

from collections import Counter

import pytest
from gateway_world import ZONES, EventLog

from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.directory import ADDRESSES_MAX, HostDirectory
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.store_types import HostEntry
from greengagepoint_node.gateway.view import FleetView

CALLERS = 300
NOW = 10.0


class Clock(SystemClock):
    """A clock that stands still."""

    def monotonic(self):
        return NOW


class Fleet:
    """The hosts of one region, all alive."""

    def __init__(self, hosts):
        own, *others = (entry(number) for number in range(hosts))
        self.table = HostTable(HostState(own, 1, 0, leaving=False), EventLog())
        for other in others:
            self.table.apply_state(HostState(other, 1, 0, leaving=False), NOW)

    def remove(self, number):
        del self.table.peers_by_name[entry(number).name]


def entry(number):
    return HostEntry(f"h{number}", "north", "zone-a", f"10.0.0.{number}:1", "")


def directory(fleet):
    view = FleetView(ZONES, lambda item: None, EventLog())
    return HostDirectory(view, fleet, Clock())


def callers():
    return [f"10.9.{number // 200}.{number % 200}" for number in range(CALLERS)]


@pytest.mark.parametrize("hosts", [65, 100, 327])
def test_all_hosts_of_a_region_get_callers(hosts):
    # A region has more hosts than one answer may list. If all callers got the same
    # ones, these would reject callers whom the idle other hosts could serve.
    lookups = directory(Fleet(hosts))
    answers = [lookups.addresses("north", caller) for caller in callers()]
    assert {len(answer) for answer in answers} == {ADDRESSES_MAX}
    named = Counter(address for answer in answers for address in answer)
    assert len(named) == hosts
    # Within five standard deviations of an even spread, so no host is much busier.
    part = ADDRESSES_MAX / hosts
    spread = 5 * (CALLERS * part * (1 - part)) ** 0.5
    assert min(named.values()) > CALLERS * part - spread
    assert max(named.values()) < CALLERS * part + spread


def test_a_caller_gets_the_same_hosts_while_they_are_alive():
    # Callers close their connections to hosts that a new answer leaves out, so the loss
    # of a host must not change which other hosts are listed.
    fleet = Fleet(100)
    lookups = directory(fleet)
    before = {caller: set(lookups.addresses("north", caller)) for caller in callers()}
    fleet.remove(7)
    lost = entry(7).front_address
    for caller, named in before.items():
        after = set(lookups.addresses("north", caller))
        assert named - after <= {lost}
        assert len(after - named) == (lost in named)


def test_all_callers_get_all_hosts_of_a_small_region():
    lookups = directory(Fleet(ADDRESSES_MAX))
    answers = {tuple(lookups.addresses("north", caller)) for caller in callers()}
    assert len(answers) == 1
    assert len(answers.pop()) == ADDRESSES_MAX
