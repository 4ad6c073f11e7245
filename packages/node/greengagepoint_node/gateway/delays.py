"""Estimate the transit times of peers' messages without synchronized clocks."""

from collections.abc import Container
from typing import Final, NamedTuple

# The steady clock of a peer that was suspended stays behind by that time, so all its
# messages seem late. Raising the least offset slowly corrects for that.
OFFSET_RISE_PER_SECOND: Final = 0.05


class QuickestMessage(NamedTuple):
    """The least offset between the clocks in a peer's incarnation, and its time."""

    started: int
    clock_offset: float
    seen_at: float


class MessageDelays:
    """Compare each message of a peer with the quickest one of its incarnation.

    A message may queue in a saturated link for seconds after its sender abandoned it.
    If it counted as fresh, the receiver would assume that it has the newest
    configuration, and answer 404 on routes that were added meanwhile.
    """

    def __init__(self) -> None:
        self.quickest: dict[str, QuickestMessage] = {}

    def record_message(
        self, name: str, started: int, sent_at: float, now: float
    ) -> float | None:
        """Return the delay of a message over the quickest one, None for the first.

        ``sent_at`` is by the peer's steady clock, ``now`` by this host's; seconds.
        """
        clock_offset = now - sent_at
        least_delayed = self.quickest.get(name)
        if least_delayed is None or least_delayed.started != started:
            self.quickest[name] = QuickestMessage(started, clock_offset, now)
            return None
        least_offset = least_delayed.clock_offset + OFFSET_RISE_PER_SECOND * (
            now - least_delayed.seen_at
        )
        if clock_offset <= least_offset:
            self.quickest[name] = QuickestMessage(started, clock_offset, now)
            return 0.0
        return clock_offset - least_offset

    def retain(self, names: Container[str]) -> None:
        """Drop all peers but those with the given names."""
        for name in [name for name in self.quickest if name not in names]:
            del self.quickest[name]
