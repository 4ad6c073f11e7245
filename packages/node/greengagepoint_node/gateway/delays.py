"""Estimate how long messages of peers were under way, without equal clocks."""

from collections.abc import Container
from typing import Final, NamedTuple

# A peer that was suspended is behind by that time for good, and all it sends looks
# late. This lets it catch up slowly.
FLOOR_RISE_PER_SECOND: Final = 0.05


class QuickestMessage(NamedTuple):
    """The least difference of two clocks, and when it was seen in a lifetime."""

    started: int
    difference: float
    seen_at: float


class MessageDelays:
    """Compare each message of a peer with the quickest one of its lifetime.

    A message may lie in a full link for seconds after its sender has given it up. Taken
    for fresh, its receiver would believe to know the newest configuration, and answer
    404 on routes that were added meanwhile.
    """

    def __init__(self) -> None:
        self.quickest: dict[str, QuickestMessage] = {}

    def note(self, name: str, started: int, sent_at: float, now: float) -> float | None:
        """Return how much longer a message took than the quickest, None for a first.

        ``sent_at`` is by the peer's steady clock, ``now`` by this host's; seconds.
        """
        difference = now - sent_at
        known = self.quickest.get(name)
        if known is None or known.started != started:
            self.quickest[name] = QuickestMessage(started, difference, now)
            return None
        least = known.difference + FLOOR_RISE_PER_SECOND * (now - known.seen_at)
        if difference <= least:
            self.quickest[name] = QuickestMessage(started, difference, now)
            return 0.0
        return difference - least

    def keep(self, names: Container[str]) -> None:
        """Forget peers that are gone."""
        for name in [name for name in self.quickest if name not in names]:
            del self.quickest[name]
