"""What hosts tell each other of requests that end backend servers."""

import msgspec


class SharedEnd(msgspec.Struct, array_like=True, frozen=True):
    """A run of a server that ended with a caller's request in flight.

    ``settled`` tells that the request has been cleared of it.
    """

    instance: str
    born: int
    caller: str
    age_ms: int
    settled: bool = False


class SharedSuspect(msgspec.Struct, array_like=True, frozen=True):
    """The ends that are known of one request.

    For ``trial_ms`` more its sender tries the request, and others should wait.
    """

    content: str
    ends: tuple[SharedEnd, ...]
    trial_ms: int = 0
