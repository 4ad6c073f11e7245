"""Identity of an entry host."""

from typing import NamedTuple


class HostIdentity(NamedTuple):
    """One run of the daemon on one host.

    ``incarnation`` grows with each start; addresses are host:port, ``address`` for
    callers and operators, ``peer_address`` for other daemons.
    """

    name: str
    incarnation: int
    region: str
    zone: str
    address: str
    peer_address: str
