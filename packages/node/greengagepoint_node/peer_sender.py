"""Send messages to peers, grouped by peer."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import pynng

from greengagepoint.errors import PeerError
from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.peer_codec import PeerCodec
from greengagepoint_node.peer_link import RETRY_SECONDS, Link, Queued

MAX_LINKS: Final = 128
STOP_SECONDS: Final = 0.5


class PeerCounters:
    """Totals since the start."""

    def __init__(self) -> None:
        self.messages_in = 0
        self.messages_out = 0
        self.envelopes_in = 0
        self.envelopes_out = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self.rejected = 0
        self.dropped = 0


class PeerSender:
    """Keep the links to peers; at most ``MAX_LINKS`` are open.

    All messages for one peer queued in one turn of the loop leave in one envelope.
    """

    def __init__(
        self,
        codec: PeerCodec,
        counters: PeerCounters,
        address_of: Callable[[str], str | None],
        events: EventSink,
        clock_now: Callable[[], tuple[int, int]],
    ) -> None:
        self.codec = codec
        self.counters = counters
        self.address_of = address_of
        self.events = events
        self.clock_now = clock_now
        self.links: OrderedDict[str, Link] = OrderedDict()

    def send(self, host: str, message: object) -> bool:
        """Queue a message to a host by name; tell whether there was room for it."""
        link = self._link(host)
        if link is None:
            self._drop(host, 1, "no_address")
            return False
        if link.is_full:
            self._drop(host, 1, "queue_full")
            return False
        loop = asyncio.get_running_loop()
        link.queue.append(Queued(message, loop.time()))
        if link.timer is None:
            link.timer = loop.call_soon(self._flush, link)
        return True

    async def async_flush(self) -> None:
        """Send what is queued, waiting a short time for links that are not ready.

        A link that was just dialled connects within milliseconds; what a stopping
        daemon hands over would be lost without the wait.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + STOP_SECONDS
        while True:
            for link in tuple(self.links.values()):
                self._flush(link)
            # pynng hands bytes to its own threads; the pause lets them leave.
            await asyncio.sleep(RETRY_SECONDS)
            waiting = any(link.queue for link in self.links.values())
            if not waiting or loop.time() >= until:
                return

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
        self.links.clear()

    def _link(self, host: str) -> Link | None:
        """Return the link to a host, dialling it when there is none."""
        address = self.address_of(host)
        link = self.links.get(host)
        if link is not None and link.address != address:
            self.links.pop(host).close()
            link = None
        if address is None:
            return None
        if link is None:
            link = self._dial(host, address)
        if link is not None:
            self.links.move_to_end(host)
        return link

    def _dial(self, host: str, address: str) -> Link | None:
        """Open a link, closing the one used least recently when there are too many."""
        try:
            link = Link(host, address)
        except (pynng.NNGException, ValueError):
            return None
        self.links[host] = link
        if len(self.links) > MAX_LINKS:
            name, oldest = self.links.popitem(last=False)
            if oldest.queue:
                self._drop(name, len(oldest.queue), "too_many_links")
            oldest.close()
        return link

    def _flush(self, link: Link) -> None:
        """Send all that waits for a peer as one envelope, or try again soon."""
        if link.timer is not None:
            link.timer.cancel()
            link.timer = None
        if self.links.get(link.host) is not link:
            return
        loop = asyncio.get_running_loop()
        if stale := link.remove_stale(loop.time()):
            self._drop(link.host, stale, "waited_too_long")
        if not link.queue:
            return
        messages = [queued.message for queued in link.queue]
        try:
            self._send_envelope(link, messages)
        except pynng.TryAgain:
            link.timer = loop.call_later(link.next_retry(), self._flush, link)
            return
        except (PeerError, pynng.NNGException) as error:
            self._drop(link.host, len(messages), str(error))
        link.sent()

    def _send_envelope(self, link: Link, messages: list[object]) -> None:
        """Hand one envelope to the socket."""
        data = self.codec.encode(link.host, self.clock_now(), messages)
        link.socket.send(data, block=False)
        self.counters.envelopes_out += 1
        self.counters.messages_out += len(messages)
        self.counters.bytes_out += len(data)

    def _drop(self, host: str, count: int, reason: str) -> None:
        """Count and report messages that will not be sent."""
        self.counters.dropped += count
        self.events.record(
            Event.PEER_MESSAGE_DROPPED, peer=host, count=count, reason=reason
        )
