"""Names of headers: those of the platform, and those between hosts."""

from typing import Final, NamedTuple

# On a request that a host passes on: its name, the address of the caller, the version
# of the host's configuration, and to how many servers it may still be sent.
RELAYED_BY: Final = "Greengagepoint-Relayed-By"
CALLER_ADDRESS: Final = "Greengagepoint-Caller-Address"
CONFIGURATION_VERSION: Final = "Greengagepoint-Configuration-Version"
ATTEMPTS_LEFT: Final = "Greengagepoint-Attempts-Left"
# On the response to it: ``done`` or ``unable``.
RELAY_RESULT: Final = "Greengagepoint-Relay-Result"
# On a response that is ``done``: a ``RelayOrigin``. ``ATTEMPTS_LEFT`` is on those that
# failed. A host that reads both says so in its request.
RELAY_ORIGIN: Final = "Greengagepoint-Relay-Origin"
READS_RELAY_ORIGIN: Final = "Greengagepoint-Reads-Relay-Origin"


class HeaderNames(NamedTuple):
    """Header names; ``affinity_cookie`` is the name of a cookie.

    ``account`` passes the caller's account to backend servers. ``signature`` is only
    on complete answers, ``not_executed`` on answers to requests that were not run.
    ``load`` holds the numbers of running and waiting requests and of slots,
    ``request_limit`` the requests per second that a server takes from all hosts.
    ``leaving`` is "1" on all answers of a server that leaves.
    """

    request_id: str
    deadline_ms: str
    affinity_cookie: str
    signature: str
    target_instance: str
    instance: str
    load: str
    not_executed: str
    account: str
    request_limit: str
    leaving: str
