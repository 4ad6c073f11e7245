"""Measure the time from the choice of a server to the request's first byte."""

from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.news_ages import ViewFreshness


class SendTimes:
    """Times of one attempt in monotonic seconds, and ages of the host's view.

    The age, in seconds, is that of the oldest fact that may have changed since.
    """

    def __init__(self, clock: Clock, news: ViewFreshness) -> None:
        self.clock = clock
        self.news = news
        self.chosen_at = clock.monotonic()
        self.news_age_at_choice = self.chosen_at - news.servers_complete_at()
        self.sent_at: float | None = None
        self.news_age_at_send = self.news_age_at_choice

    def mark_sent(self) -> None:
        """Record that the first byte is sent now."""
        self.sent_at = self.clock.monotonic()
        self.news_age_at_send = self.sent_at - self.news.servers_complete_at()

    @property
    def seconds_until_sent(self) -> float | None:
        """Return the seconds from choice to first byte, or None if unsent."""
        return None if self.sent_at is None else self.sent_at - self.chosen_at
