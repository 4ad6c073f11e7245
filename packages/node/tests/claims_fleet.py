"""Claims of three hosts over one store and a timed network, in this process."""

import random

from greengagepoint.delivery.answers import StoredAnswer
from greengagepoint.errors import GreengagepointError
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import StoreOutage
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.claims import ClaimsCoordinator
from greengagepoint_standins.timed_network import EventList, TimedBus, TimedNetwork
from greengagepoint_standins.virtual_time import VirtualClock

HOSTS = ("entry-1", "entry-2", "entry-3")
ANSWER = StoredAnswer(201, (("Content-Type", "text/plain"),), b"reserved")


DELAYS = {"deliver": [0.001], "drop": [], "double": [0.001, 0.4], "late": [1.0]}


def network(next_fate=lambda: "deliver"):
    """Return a network that draws the fate of each message."""
    return TimedNetwork(lambda: DELAYS[next_fate()])


class Fleet:
    """Three hosts of one region over one store."""

    def __init__(self, store, links=None):
        self.store = store
        self.network = links or network()
        self.events = EventList()
        self.identities = {
            name: HostIdentity(name, 1, "attiki", "attiki-1", "", "") for name in HOSTS
        }
        self.hosts = {name: self.start(name) for name in HOSTS}

    def start(self, name):
        context = Context(
            host=self.identities[name],
            clock=VirtualClock(),
            random=random.Random(1),
            store=self.store,
            peers=TimedBus(self.network, name),
            events=self.events,
        )
        return ClaimsCoordinator(context, lambda: self.identities.values())

    def restart(self, name):
        """Lose a host with all it knows, and start it again."""
        old = self.hosts[name]
        old.writer.committer.close()
        for task in old.tasks | old.writer.tasks:
            task.cancel()
        identity = self.identities[name]
        self.identities[name] = identity._replace(incarnation=identity.incarnation + 1)
        self.hosts[name] = self.start(name)

    async def claim(self, name, digest="digest", outage=StoreOutage.REFUSE, key="k"):
        host = self.hosts[name]
        return await host.async_claim("booking", "ermis", key, digest, outage)


async def outcome(awaitable):
    """Return a claim, or the kind and the word on whether it ran."""
    try:
        return await awaitable
    except GreengagepointError as error:
        return error.kind, error.ran
