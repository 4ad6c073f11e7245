"""Keep a host on a saturated link from sending requests based on a stale view."""

from typing import Final

from greengagepoint.errors import ErrorKind
from greengagepoint.overload.full_link import LinkDelay, may_send
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.news_ages import ViewFreshness
from greengagepoint_node.gateway.refusals import OUTDATED_VIEW_RETRY_SECONDS, Refusal

REASON: Final = "this host's link is full and its news too old"


class StaleViewGuard:
    """Check whether this host's view is fresh enough to send requests.

    ``drain_seconds`` is how long a server accepts requests after it announces that it
    is leaving.
    """

    def __init__(
        self,
        clock: Clock,
        freshness: ViewFreshness,
        link: LinkDelay,
        drain_seconds: float,
    ) -> None:
        self.clock = clock
        self.freshness = freshness
        self.link = link
        self.drain_seconds = drain_seconds

    def may_send(self, connect_seconds: float = 0.0) -> bool:
        """Return True if a request arrives before any server stops accepting requests.

        Servers that this host does not know to be leaving are included.
        """
        now = self.clock.monotonic()
        age = now - self.freshness.servers_complete_at()
        link_seconds = self.link.seconds(now)
        return may_send(age, link_seconds, connect_seconds, self.drain_seconds)

    def refusal(self) -> Refusal:
        """Return the rejection for callers while no request may be sent.

        A request would be late on this link in any case; another host may serve it in
        time.
        """
        now = self.clock.monotonic()
        inputs = {
            "news_age": round(now - self.freshness.servers_complete_at(), 3),
            "link_seconds": round(self.link.seconds(now), 3),
        }
        kind, retry_after = ErrorKind.NOT_READY, OUTDATED_VIEW_RETRY_SECONDS
        return Refusal(kind, 503, REASON, retry_after, inputs)
