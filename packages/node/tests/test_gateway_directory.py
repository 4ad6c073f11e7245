"""Look-ups in regions with more hosts than one answer may name."""

from collections import Counter

import pytest
from gateway_world import ZONES, EventLog

from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.directory import ADDRESSES_MAX, HostDirectory
from greengagepoint_node.gateway.facts import HostEntry
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.view import FleetView

CALLERS = 300
NOW = 10.0


class Clock(SystemClock):
    """Stand still."""

    def monotonic(self):
        return NOW


class Fleet:
    """Hosts of one region that have all been heard of."""

    def __init__(self, hosts):
        own, *others = (entry(number) for number in range(hosts))
        self.table = HostTable(HostState(own, 1, 0, leaving=False), EventLog())
        for other in others:
            self.table.take_host(HostState(other, 1, 0, leaving=False), NOW)

    def lose(self, number):
        del self.table.heard[entry(number).name]


def entry(number):
    return HostEntry(f"h{number}", "north", "zone-a", f"10.0.0.{number}:1", "")


def directory(fleet):
    view = FleetView(ZONES, lambda item: None, EventLog())
    return HostDirectory(view, fleet, Clock())


def callers():
    return [f"10.9.{number // 200}.{number % 200}" for number in range(CALLERS)]


@pytest.mark.parametrize("hosts", [65, 100, 327])
def test_all_hosts_of_a_region_get_callers(hosts):
    # A region has more hosts than one answer may name. Were all callers told the same
    # ones, the others would idle beside them, and the busy ones would refuse callers
    # whom these could serve.
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


def test_a_caller_is_told_the_same_hosts_while_they_live():
    # Callers close their connections to hosts that a new answer leaves out, so a host
    # that is lost must not change who else is named.
    fleet = Fleet(100)
    lookups = directory(fleet)
    before = {caller: set(lookups.addresses("north", caller)) for caller in callers()}
    fleet.lose(7)
    lost = entry(7).front_address
    for caller, named in before.items():
        after = set(lookups.addresses("north", caller))
        assert named - after <= {lost}
        assert len(after - named) == (lost in named)


def test_a_small_region_is_named_whole_to_everybody():
    lookups = directory(Fleet(ADDRESSES_MAX))
    answers = {tuple(lookups.addresses("north", caller)) for caller in callers()}
    assert len(answers) == 1
    assert len(answers.pop()) == ADDRESSES_MAX
