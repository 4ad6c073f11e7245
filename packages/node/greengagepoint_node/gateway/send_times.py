"""Note how long a request waits between the choice of its server and its first byte."""

from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.news_ages import ViewFreshness


class SendTimes:
    """The times of one try, in monotonic seconds; ages of news in seconds.

    An age is that of the oldest fact that may have changed without this host's knowing.
    """

    def __init__(self, clock: Clock, news: ViewFreshness) -> None:
        self.clock = clock
        self.news = news
        self.chosen_at = clock.monotonic()
        self.news_age_at_choice = self.chosen_at - news.servers_complete_at()
        self.sent_at: float | None = None
        self.news_age_at_send = self.news_age_at_choice

    def note_sent(self) -> None:
        """Take in that the first byte goes out now."""
        self.sent_at = self.clock.monotonic()
        self.news_age_at_send = self.sent_at - self.news.servers_complete_at()

    @property
    def seconds_until_sent(self) -> float | None:
        """Return how long the request waited for its first byte, None if unsent."""
        return None if self.sent_at is None else self.sent_at - self.chosen_at
