"""Updates that some hosts of a large region relay to the others."""

import pytest
from deployment import async_until
from test_gateway_gossip import NOW, Request, host

from greengagepoint.config.watchers import TOLD_DIRECTLY_MAX
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HeardHost
from greengagepoint_node.gateway.peer_notifier import NEWS_PATH
from greengagepoint_node.gateway.store_types import Changes, StoredItem

HOSTS = 2 * TOLD_DIRECTLY_MAX


class Answer:
    """The answer of a host that handles an update."""

    def __init__(self, region, url, data):
        self.region = region
        self.name = url.removeprefix("http://").split(":")[0]
        self.data = data

    async def __aenter__(self):
        self.region.messages.append(self.name)
        if self.name in self.region.dead:
            raise ConnectionRefusedError
        receiver = self.region.hosts[self.name]
        self.answer = await receiver.async_handle_update(Request(self.data))
        return self

    async def __aexit__(self, *error):
        return None

    async def read(self):
        return b""

    def raise_for_status(self):
        if self.answer.status >= 400:
            raise ConnectionAbortedError


class Region:
    """Hosts that have each other in their tables, connected without a network."""

    def __init__(self, dead=()):
        self.dead = set(dead)
        self.messages = []
        self.hosts = {f"h{number}": None for number in range(HOSTS)}
        for name in self.hosts:
            self.hosts[name] = host(name, session=self)
        for one in self.hosts.values():
            for other in self.hosts.values():
                if other is not one:
                    state = HostState(other.own.entry, 1, 0, leaving=False)
                    one.table.peers_by_name[other.own.entry.name] = HeardHost(
                        state, NOW, NOW
                    )

    def post(self, url, data, **_):
        assert url.endswith(NEWS_PATH)
        return Answer(self, url, data)

    def apply_change(self, name, before, revision):
        watcher = self.hosts[name]
        item = StoredItem("zone-a", b"", revision)
        watcher.view.apply(Changes((item,), revision), NOW)
        watcher.confirm(before, 0.0)

    def informed(self):
        return [name for name, row in self.hosts.items() if row.view.revision == 5]


@pytest.mark.parametrize("lost", [0, 1, 3])
async def test_all_hosts_get_a_change_though_some_relays_are_dead(lost):
    """Guards against dead relays that leave part of a region with an old view."""
    region = Region()
    region.apply_change("h0", 0, 5)
    await async_until(lambda: len(region.informed()) == HOSTS)
    relays = region.messages[:lost]
    region = Region(dead=relays)
    region.apply_change("h0", 0, 5)
    await async_until(lambda: len(region.informed()) == HOSTS - len(relays))
    assert not set(relays) & set(region.informed())


async def test_a_relay_that_lacks_older_changes_leaves_notifying_to_the_watcher():
    """Guards against a relay that has just started and notifies no other host."""
    region = Region()
    for one in region.hosts.values():
        one.view.apply(Changes((StoredItem("zone-b", b"", 2),), 2), NOW)
    region.apply_change("h0", 2, 5)
    await async_until(lambda: len(region.informed()) == HOSTS)
    relay = region.messages[0]
    region = Region()
    for name, one in region.hosts.items():
        if name != relay:
            one.view.apply(Changes((StoredItem("zone-b", b"", 2),), 2), NOW)
    region.apply_change("h0", 2, 5)
    await async_until(lambda: len(region.informed()) >= HOSTS - 1)


async def test_the_watcher_sends_a_change_to_a_few_hosts():
    region = Region()
    sent = []
    notify = region.hosts["h0"].notifier.notify
    region.hosts["h0"].notifier.notify = lambda *words: (
        sent.append(words) or notify(*words)
    )
    region.apply_change("h0", 0, 5)
    await async_until(lambda: len(region.informed()) == HOSTS)
    assert len(sent) <= 1.2 * HOSTS**0.5
    assert len(region.messages) == HOSTS - 1
