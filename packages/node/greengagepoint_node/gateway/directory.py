"""Tell callers which entry hosts to use."""

from collections.abc import Callable
from typing import Final, Protocol

from greengagepoint.protocols import Clock
from greengagepoint.rendezvous import rank
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.view import FleetView

# What callers take of one answer.
ADDRESSES_MAX: Final = 64
# Callers leave a host that stops within three times this at worst.
TTL_SECONDS: Final = 1.0


class KnownHosts(Protocol):
    """Know which hosts are alive."""

    table: HostTable


class HostDirectory:
    """Name the hosts of a caller's region, or others when it has none."""

    def __init__(
        self,
        view: FleetView,
        hosts: KnownHosts,
        clock: Clock,
        can_serve_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        self.view = view
        self.hosts = hosts
        self.clock = clock
        self.can_serve_keys = can_serve_keys

    def addresses(self, region: str, caller: str = "") -> list[str]:
        """Return host:port of the hosts that a caller of a region should use.

        Where there are more than one answer may name, ``caller``, its address, decides
        which. All callers were told the same ones otherwise, and of 100 hosts of a
        region 36 would get no request. Ranked by the caller's address, a host's share
        of the callers is even, and a caller keeps the hosts that it has connections to
        when another host comes or goes.
        """
        now = self.clock.monotonic()
        alive = [state.entry for state in self.hosts.table.alive(now)]
        if not self.can_serve_keys():
            # Callers that need a key would be refused here.
            own = self.hosts.table.own.entry.name
            alive = [entry for entry in alive if entry.name != own]
        near = [entry for entry in alive if entry.region == region]
        named = near or alive
        if len(named) > ADDRESSES_MAX:
            named = rank(caller, named, lambda entry: entry.name)[:ADDRESSES_MAX]
        return sorted(entry.front_address for entry in named)
