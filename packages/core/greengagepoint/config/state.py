"""What one host knows of the exchange of configuration with its peers."""

from collections import OrderedDict
from typing import NamedTuple

from greengagepoint.config.log import ConfigLog
from greengagepoint.config.snapshot import Snapshot
from greengagepoint.config.view import FleetView
from greengagepoint.hosts import HostIdentity


class Send(NamedTuple):
    """A message for another host."""

    host: str
    message: object


class Fork(NamedTuple):
    """A generation at which another history was met, and who holds it."""

    generation: int
    source: str


class Assembly(NamedTuple):
    """A snapshot that is being fetched from a peer."""

    sender: str
    generation: int
    digest: str
    parts: list[bytes]


class Exchange:
    """Hold one host's log and what it knows of the exchange with its peers.

    ``view`` is that of the live hosts; ``answered`` tells whether a peer has told
    its head since the start; ``fork`` is the last other history that was met.
    """

    def __init__(self, host: HostIdentity, log: ConfigLog) -> None:
        self.host = host
        self.log = log
        self.view = FleetView(host)
        self.answered = False
        self.fork: Fork | None = None
        self.next_gossip_at = 0.0
        self.forwarded: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.assembly: Assembly | None = None
        self.snapshot: Snapshot | None = None
