"""Names of the headers that callers and backend servers use on a platform."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Header names; ``affinity_cookie`` is the name of a cookie.

    ``account`` tells backend servers whose request it is. ``signature`` is on whole
    answers only; ``not_executed`` on those that tell that
    nothing ran; ``load`` holds running, waiting, slots.
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
