"""Messages between hosts about requests that crash backend servers."""

from typing import Annotated

import msgspec
from msgspec import Meta

# With a negative age, a request would be quarantined until long after its last crash.
Milliseconds = Annotated[int, Meta(ge=0)]


class SharedEnd(msgspec.Struct, array_like=True, frozen=True):
    """A server crash with a caller's request in flight.

    ``born`` is the start time of the server's incarnation. ``settled`` is true if the
    crash no longer counts against the request.
    """

    instance: str
    born: int
    caller: str
    age_ms: Milliseconds
    settled: bool = False


class SharedSuspect(msgspec.Struct, array_like=True, frozen=True):
    """The server crashes of one request.

    The sender tries the request for another ``trial_ms``; other hosts should wait.
    """

    content: str
    ends: tuple[SharedEnd, ...]
    trial_ms: Milliseconds = 0
