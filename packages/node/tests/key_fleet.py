"""Hosts that place keys, joined without a network and with a clock of the test."""

import asyncio
import contextlib
from collections import Counter
from types import SimpleNamespace

import aiohttp
from gateway_world import ZONES, EventLog

from greengagepoint.key_placement.known_keys import KEEP_SECONDS
from greengagepoint.key_placement.usage import KeyUsage
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.tables import Server
from greengagepoint_node.clock import SystemClock
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HeardHost, HostTable
from greengagepoint_node.gateway.key_placement import KEY_USAGE_PATH, KeyPlacement
from greengagepoint_node.gateway.region_hosts import ReportSender
from greengagepoint_node.gateway.store_types import HostEntry
from greengagepoint_node.gateway.view import FleetView

SERVICE, REGION = "booking", "north"


class Clock(SystemClock):
    """A clock that stands still until a test sets it."""

    now = 100.0

    def monotonic(self):
        return self.now


class Session:
    """Deliver the messages of one host to the hosts that it reaches."""

    def __init__(self, fleet, sender):
        self.fleet = fleet
        self.sender = sender

    @contextlib.asynccontextmanager
    async def post(self, url, data):
        receiver = url.split("/")[2].partition(":")[0]
        if not self.fleet.can_reach(self.sender, receiver):
            raise aiohttp.ClientConnectionError

        async def async_read():
            return data

        request = SimpleNamespace(read=async_read)
        answer = await self.fleet.hosts[receiver].placement.async_take(request)
        # The answer is lost if the receiver's messages do not arrive.
        if receiver in self.fleet.mute:
            raise aiohttp.ServerDisconnectedError

        async def async_read_answer():
            return answer.body or b""

        yield SimpleNamespace(read=async_read_answer)


class KeyHost:
    """One incarnation of a host."""

    def __init__(self, fleet, name, started):
        self.fleet = fleet
        self.events = EventLog()
        self.counts = Counter()
        self.view = FleetView(ZONES, lambda item: None, self.events)
        self.view.servers.demand.uneven_servers = True
        entry = HostEntry(name, REGION, "zone-a", f"{name}:1", f"{name}:2")
        self.own = HostState(entry, started, 0, leaving=False)
        self.table = HostTable(self.own, self.events)
        self.ranks = RankCache()
        self.usage = KeyUsage()
        sender = ReportSender(
            Session(fleet, name),
            KEY_USAGE_PATH,
            "key usage",
            fleet.clock,
            self.events,
            Counter(),
        )
        self.placement = KeyPlacement(
            self.own,
            self.view,
            self.table,
            self.usage,
            sender,
            fleet.clock,
            self.events,
            self.counts,
        )

    @property
    def applied(self):
        """Return the weights of the region that this host applies."""
        return self.placement.applied.of_region(REGION)

    @property
    def version(self):
        """Return whose weights this host applies, and their version."""
        return self.applied.coordinator, self.applied.started, self.applied.version

    def learn_servers(self, names):
        """Learn which servers are members now."""
        servers = self.view.servers
        if set(servers.servers) == set(names):
            return
        servers.servers = {
            name: Server(name, SERVICE, name, "zone-a", REGION, 3)
            for name in sorted(names)
        }
        servers.rebuild()

    def home(self, key):
        """Return the first server of a key, None without any."""
        ranked = self.ranks.rank(self.view.servers, SERVICE, REGION, key)
        return ranked[0].instance if ranked else None

    def homes_in_use(self):
        """Yield the keys that this host knows as coordinator, with their servers."""
        for (_, key), row in self.placement.coordinator.keys.rows.items():
            # A key that is about to expire may be dropped before the balancing.
            if self.fleet.clock.now - row.seen_at < KEEP_SECONDS - 5:
                yield key, self.home(key)

    def homes(self):
        """Return the first servers of all keys."""
        return [self.home(key) for key in self.fleet.keys]


class KeyFleet:
    """The hosts of one region; ``sides`` tells which hosts reach each other.

    Hosts in ``mute`` receive messages, but nothing that they send arrives. Those in
    ``frozen`` do nothing.
    """

    def __init__(self, hosts, servers=12, keys=200):
        self.clock = Clock()
        self.keys = [f"/safe/\0key-{number}" for number in range(keys)]
        self.servers = {f"i-{number}" for number in range(servers)}
        self.starts = 0
        self.sides = {}
        self.mute = set()
        self.frozen = set()
        self.hosts = {}
        for number in range(hosts):
            self.start(f"h{number}")

    def start(self, name):
        """Start a new incarnation of a host."""
        self.starts += 1
        self.hosts[name] = KeyHost(self, name, self.starts)
        self.hosts[name].learn_servers(self.servers)

    def kill(self, name):
        """End a host."""
        del self.hosts[name]
        self.frozen.discard(name)

    def can_reach(self, sender, receiver):
        """Return True if a message of a host arrives at another one."""
        if receiver not in self.hosts or {sender, receiver} & self.frozen:
            return False
        return sender not in self.mute and self.sides.get(sender) == self.sides.get(
            receiver
        )

    def coordinators(self):
        """Return the names of the hosts that place keys."""
        return [
            name for name, host in self.hosts.items() if host.placement.is_coordinator
        ]

    async def async_run(self, seconds=1, keys_per_host=40):
        """Run all hosts, which run some keys and exchange heartbeats each second."""
        for second in range(seconds):
            self.clock.now += 1.0
            for number, name in enumerate(sorted(self.hosts)):
                if name not in self.frozen:
                    self._hear(name)
                    start = (self.starts + second * 7 + number) * keys_per_host
                    self._run_keys(self.hosts[name], start, keys_per_host)
            for name in sorted(self.hosts):
                if name not in self.frozen:
                    await self._async_run_host(self.hosts[name])

    def _hear(self, name):
        """Receive the heartbeats of the hosts that reach a host."""
        host = self.hosts[name]
        host.learn_servers(self.servers)
        for other in self.hosts.values():
            sender = other.own.entry.name
            if sender != name and self.can_reach(sender, name):
                now = self.clock.now
                host.table.peers_by_name[sender] = HeardHost(other.own, now, now)

    def _run_keys(self, host, start, count):
        """Run consecutive keys on their first servers."""
        for number in range(start, start + count):
            key = self.keys[number % len(self.keys)]
            if host.home(key) is not None:
                host.usage.note(REGION, SERVICE, key, is_cold=False)

    async def _async_run_host(self, host):
        """Let a host balance and report once."""
        await host.placement.async_balance()
        host.placement.start_reports()
        while host.placement.tasks:
            await asyncio.gather(*host.placement.tasks.values())
            await asyncio.sleep(0)
