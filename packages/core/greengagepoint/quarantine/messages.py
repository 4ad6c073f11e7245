"""What hosts tell each other of requests that end backend servers."""

from typing import Annotated

import msgspec
from msgspec import Meta

# With a negative age, a request would be refused until long after its last end.
Milliseconds = Annotated[int, Meta(ge=0)]


class SharedEnd(msgspec.Struct, array_like=True, frozen=True):
    """A run of a server that ended with a caller's request in flight.

    ``settled`` tells that the request has been cleared of it.
    """

    instance: str
    born: int
    caller: str
    age_ms: Milliseconds
    settled: bool = False


class SharedSuspect(msgspec.Struct, array_like=True, frozen=True):
    """The ends that are known of one request.

    For ``trial_ms`` more its sender tries the request, and others should wait.
    """

    content: str
    ends: tuple[SharedEnd, ...]
    trial_ms: Milliseconds = 0
