"""Keep a host on a full link from sending on news that is too old."""

from typing import Final

from greengagepoint.errors import ErrorKind
from greengagepoint.overload.full_link import LinkDelay, may_send
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.news_ages import News
from greengagepoint_node.gateway.refusals import OUTDATED_VIEW_RETRY_SECONDS, Refusal

REASON: Final = "this host's link is full and its news too old"


class NewsGuard:
    """Know whether a request may be sent on what this host has heard.

    ``drain_seconds`` is how long a server may get requests after its word.
    """

    def __init__(
        self, clock: Clock, news: News, link: LinkDelay, drain_seconds: float
    ) -> None:
        self.clock = clock
        self.news = news
        self.link = link
        self.drain_seconds = drain_seconds

    def may_send(self, connect_seconds: float = 0.0) -> bool:
        """Tell whether what is sent now arrives before any server must get nothing."""
        now = self.clock.monotonic()
        age = now - self.news.informed_at()
        link_seconds = self.link.seconds(now)
        return may_send(age, link_seconds, connect_seconds, self.drain_seconds)

    def refusal(self) -> Refusal:
        """Return what a caller is told while nothing may be sent.

        Its request would come late on this link in any case; another host may serve it
        in time.
        """
        now = self.clock.monotonic()
        inputs = {
            "news_age": round(now - self.news.informed_at(), 3),
            "link_seconds": round(self.link.seconds(now), 3),
        }
        kind, retry_after = ErrorKind.NOT_READY, OUTDATED_VIEW_RETRY_SECONDS
        return Refusal(kind, 503, REASON, retry_after, inputs)
