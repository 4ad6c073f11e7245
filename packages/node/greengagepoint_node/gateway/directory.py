"""Select the entry hosts that callers should use."""

from collections.abc import Callable
from typing import Final, Protocol

from greengagepoint.protocols import Clock
from greengagepoint.rendezvous import rank
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.view import FleetView

# Callers use at most this many addresses of one answer.
ADDRESSES_MAX: Final = 64
# Callers stop using a stopped host within three times this at worst.
TTL_SECONDS: Final = 1.0


class HostTableOwner(Protocol):
    """Hold the table of live hosts."""

    table: HostTable


class HostDirectory:
    """List the hosts of a caller's region, or all hosts if none there can serve."""

    def __init__(
        self,
        view: FleetView,
        hosts: HostTableOwner,
        clock: Clock,
        can_serve_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        self.view = view
        self.hosts = hosts
        self.clock = clock
        self.can_serve_keys = can_serve_keys

    def addresses(self, region: str, caller: str = "") -> list[str]:
        """Return host:port of the hosts that a caller of a region should use.

        If there are more hosts than one answer may list, ``caller``, the caller's
        address, selects them. Otherwise all callers would get the same hosts, and of a
        region's 100 hosts 36 would get no requests. Rendezvous ranking by the caller's
        address spreads callers evenly, and a caller keeps the hosts that it is
        connected to when other hosts come or go.
        """
        now = self.clock.monotonic()
        states = self.hosts.table.alive(now)
        # A cut off host passes requests on, which costs callers one more hop. If all
        # hosts are cut off, none is better than another.
        reaching = [state for state in states if not state.cut_off]
        alive = [state.entry for state in reaching or states]
        if not self.can_serve_keys():
            # This host would reject callers that need a key.
            own = self.hosts.table.own.entry.name
            alive = [entry for entry in alive if entry.name != own]
        local = [entry for entry in alive if entry.region == region]
        named = local or alive
        if len(named) > ADDRESSES_MAX:
            named = rank(caller, named, lambda entry: entry.name)[:ADDRESSES_MAX]
        return sorted(entry.front_address for entry in named)
