"""Look-up answers, prepared again when the configuration or the hosts change."""

from collections.abc import Callable
from typing import Protocol

from greengagepoint.configuration import Configuration
from greengagepoint.hosts import HostIdentity
from greengagepoint.steering import lookup
from greengagepoint.steering.hosts import drained_hosts
from greengagepoint.steering.lookup import EntryHost, LookupTable

RegionsOfCaller = Callable[[str], tuple[str, ...] | None]


class Membership(Protocol):
    """Tell which hosts serve; ``version`` grows when that may have changed."""

    version: int

    def serving_hosts(self) -> tuple[HostIdentity, ...]:
        """Return the hosts that look-ups may name."""


class LookupAnswers:
    """Answer look-ups from prepared bytes.

    ``longest_ttl_seconds`` is the longest time that any answer handed out so far may
    be cached; a leaving host serves until it has run out.
    """

    def __init__(self, home: HostIdentity, regions_of: RegionsOfCaller) -> None:
        self.home = home
        self.regions_of = regions_of
        self.table: LookupTable | None = None
        self.sequence = 0
        self.longest_ttl_seconds = 0
        self.prepared_for: tuple[Configuration, int, bool, frozenset[str]] | None = None

    def prepare(
        self,
        configuration: Configuration,
        hosts: tuple[EntryHost, ...],
        *,
        changing: bool,
    ) -> None:
        """Build the answers for a configuration and a view of the hosts."""
        self.table = lookup.prepare(
            configuration, hosts, self.home, changing=changing, earlier=self.table
        )
        self.longest_ttl_seconds = max(
            self.longest_ttl_seconds, lookup.longest_ttl_seconds(configuration)
        )

    def refresh(
        self,
        configuration: Configuration,
        membership: Membership,
        now_wall_ms: int,
        *,
        changing: bool,
    ) -> None:
        """Build the answers again if anything that they depend on has changed."""
        drained = drained_hosts(configuration, now_wall_ms)
        current = (configuration, membership.version, changing, drained)
        if self.prepared_for == current:
            return
        hosts = tuple(
            EntryHost(host, leaving=host.name in drained)
            for host in membership.serving_hosts()
        )
        self.prepare(configuration, hosts, changing=changing)
        self.prepared_for = current

    def answer(self, service: str, address: str) -> bytes | None:
        """Return the JSON answer, or None for a service that no record names."""
        if self.table is None:
            return None
        self.sequence += 1
        regions = self.regions_of(address)
        return lookup.answer(self.table, service, regions, self.sequence)
