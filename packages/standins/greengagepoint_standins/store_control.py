"""What the stand-in store can be told to do wrong, and how much it carries."""

import msgspec

from greengagepoint_standins.server import Down


class StoreControl(msgspec.Struct, kw_only=True):
    """What the stand-in store does wrong, and how much it carries.

    ``lose_replies``, ``garbage_answers`` and ``stale_reads`` count down;
    ``stale_by`` is in revisions; ``read_at_revision`` 0 reads the newest.
    """

    down: Down = Down.NO
    slow_ms: float = 0.0
    lose_replies: int = 0
    garbage_answers: int = 0
    stale_reads: int = 0
    stale_by: int = 1
    read_at_revision: int = 0
    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0


class RateLimit:
    """Count tokens of one kind of call; one second's worth may come at once."""

    def __init__(self) -> None:
        self.tokens: float | None = None
        self.filled_at = 0.0

    def take(self, per_second: float, now: float) -> bool:
        """Take one token; tell whether there was one."""
        if self.tokens is None:
            self.tokens = per_second
        else:
            self.tokens += (now - self.filled_at) * per_second
        self.tokens = min(self.tokens, per_second)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
