"""Links to the other daemons over pynng."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

import pynng

from greengagepoint.errors import PeerError, SettingError
from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.peer_codec import (
    MAX_ENVELOPE_BYTES,
    MESSAGE_TYPES,
    Batch,
    PeerCodec,
    RejectedError,
    Rejection,
)
from greengagepoint_node.peer_statistics import count_refused

MAX_LINKS: Final = 128
MAX_QUEUED_MESSAGES: Final = 256
MAX_QUEUED_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.02
MAX_RETRY_SECONDS: Final = 0.5
RECONNECT_MIN_MILLISECONDS: Final = 50
RECONNECT_MAX_MILLISECONDS: Final = 2_000
REFUSED_POLL_SECONDS: Final = 5.0
RECEIVE_BUFFER_MESSAGES: Final = 128
# Envelopes read in one turn, so that a flood from one peer cannot hold the loop.
RECEIVE_BATCH: Final = 64
# A host announces itself with these; from a host that is not known yet, nothing else
# is taken.
ANNOUNCING_TAG_PREFIX: Final = "membership."


class Queued(NamedTuple):
    """A message that waits for its link, with the loop's time when it was queued."""

    message: object
    at: float


class Link:
    """The socket to one peer and the messages that wait for it."""

    __slots__ = ("address", "host", "queue", "retry_seconds", "socket", "timer")

    def __init__(self, host: str, address: str) -> None:
        self.host = host
        self.address = address
        self.queue: deque[Queued] = deque()
        self.retry_seconds = RETRY_SECONDS
        self.timer: asyncio.Handle | None = None
        # No send buffer: envelopes would wait there for a peer that is gone and
        # arrive minutes late when its address is used again.
        self.socket = pynng.Push0(
            send_buffer_size=0,
            reconnect_time_min=RECONNECT_MIN_MILLISECONDS,
            reconnect_time_max=RECONNECT_MAX_MILLISECONDS,
        )
        self.socket.dial(f"tcp://{address}", block=False)

    def close(self) -> None:
        """Close the socket and forget what waits."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.queue.clear()
        self.socket.close()


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


class PeerLinks:
    """Exchange authenticated messages with other daemons.

    ``address_of`` gives the peer address (host:port) of a host by name, None when it
    is not known. All messages for one peer queued in one turn of the loop leave in
    one envelope. A message may be lost, late or doubled.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        listen_address: str,
        key: bytes,
        address_of: Callable[[str], str | None],
        events: EventSink,
        clock_now: Callable[[], tuple[int, int]],
        clock_seen: Callable[[tuple[int, int]], None] = lambda clock: None,
        known: Callable[[str], bool] | None = None,
        types: Iterable[type] = MESSAGE_TYPES,
        refused_poll_seconds: float = REFUSED_POLL_SECONDS,
    ) -> None:
        self.refused_poll_seconds = refused_poll_seconds
        self.listen_address = listen_address
        self.bound_address = ""
        self.address_of = address_of
        self.known = known or (lambda name: address_of(name) is not None)
        self.events = events
        self.clock_now = clock_now
        self.clock_seen = clock_seen
        self.codec = PeerCodec(host, incarnation, key, types)
        self.counters = PeerCounters()
        self.links: OrderedDict[str, Link] = OrderedDict()
        self.callbacks: dict[type, list[Callable[[str, Any], None]]] = {}
        self.listener: pynng.Pull0 | None = None
        self.refused = 0
        self.refused_timer: asyncio.TimerHandle | None = None

    async def async_start(self) -> None:
        """Listen; ``bound_address`` then names the port, also when it was 0."""
        listener = pynng.Pull0(
            recv_max_size=MAX_ENVELOPE_BYTES,
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
        )
        try:
            opened = listener.listen(f"tcp://{self.listen_address}")
        except pynng.NNGException as error:
            listener.close()
            raise SettingError(
                f"peers cannot be listened for on {self.listen_address}: {error}"
            ) from error
        self.listener = listener
        self.bound_address = str(opened.local_address)
        # A ready descriptor with non-blocking reads costs half the processor time of
        # pynng's arecv; measure/peer_links.py compares them.
        asyncio.get_running_loop().add_reader(listener.recv_fd, self._read)
        self._watch_refused()

    async def async_stop(self) -> None:
        """Send what is queued where the links are ready, then close all sockets."""
        for link in list(self.links.values()):
            self._flush(link)
        # pynng hands bytes to its own threads; one turn lets them leave.
        await asyncio.sleep(0)
        for link in self.links.values():
            link.close()
        self.links.clear()
        if self.refused_timer is not None:
            self.refused_timer.cancel()
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.recv_fd)
            self.listener.close()
            self.listener = None

    def send(self, host: str, message: object) -> bool:
        """Queue a message to a host by name; tell whether there was room for it."""
        link = self._link(host)
        if link is None:
            self._drop(host, 1, "no_address")
            return False
        if len(link.queue) >= MAX_QUEUED_MESSAGES:
            self._drop(host, 1, "queue_full")
            return False
        loop = asyncio.get_running_loop()
        link.queue.append(Queued(message, loop.time()))
        if link.timer is None:
            link.timer = loop.call_soon(self._flush, link)
        return True

    def subscribe(
        self, message_type: type, callback: Callable[[str, Any], None]
    ) -> Callable[[], None]:
        """Call back with (sender name, message); return the unsubscribe function.

        Raise PeerError for a type that no daemon could send.
        """
        if message_type not in self.codec.types:
            raise PeerError(f"{message_type.__name__} is not a registered peer message")
        callbacks = self.callbacks.setdefault(message_type, [])
        callbacks.append(callback)

        def unsubscribe() -> None:
            if callback in callbacks:
                callbacks.remove(callback)

        return unsubscribe

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
            if link is None:
                return None
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
        link.timer = None
        if self.links.get(link.host) is not link:
            return
        loop = asyncio.get_running_loop()
        self._drop_stale(link, loop.time() - MAX_QUEUED_SECONDS)
        if not link.queue:
            return
        messages = [queued.message for queued in link.queue]
        try:
            self._send_envelope(link, messages)
        except pynng.TryAgain:
            link.timer = loop.call_later(link.retry_seconds, self._flush, link)
            link.retry_seconds = min(2 * link.retry_seconds, MAX_RETRY_SECONDS)
            return
        except (PeerError, pynng.NNGException) as error:
            self._drop(link.host, len(messages), str(error))
        link.queue.clear()
        link.retry_seconds = RETRY_SECONDS

    def _send_envelope(self, link: Link, messages: list[object]) -> None:
        """Hand one envelope to the socket."""
        data = self.codec.encode(link.host, self.clock_now(), messages)
        link.socket.send(data, block=False)
        self.counters.envelopes_out += 1
        self.counters.messages_out += len(messages)
        self.counters.bytes_out += len(data)

    def _drop_stale(self, link: Link, oldest: float) -> None:
        """Forget messages that have waited too long to be of use."""
        count = 0
        while link.queue and link.queue[0].at < oldest:
            link.queue.popleft()
            count += 1
        if count:
            self._drop(link.host, count, "waited_too_long")

    def _drop(self, host: str, count: int, reason: str) -> None:
        """Count and report messages that will not be sent."""
        self.counters.dropped += count
        self.events.record(
            Event.PEER_MESSAGE_DROPPED, peer=host, count=count, reason=reason
        )

    def _watch_refused(self) -> None:
        """Report connections that were no peer's, and look again later."""
        if self.listener is None:
            return
        refused = count_refused(self.listener.listeners[0])
        if refused > self.refused:
            detail = f"{refused - self.refused} connections were refused"
            self._reject("", Rejection.NOT_A_PEER, detail)
            self.refused = refused
        self.refused_timer = asyncio.get_running_loop().call_later(
            self.refused_poll_seconds, self._watch_refused
        )

    def _read(self) -> None:
        """Take the envelopes that have arrived."""
        if self.listener is None:
            return
        for _ in range(RECEIVE_BATCH):
            try:
                data = self.listener.recv(block=False)
            except pynng.TryAgain:
                return
            except RuntimeError:
                # pynng cannot unpack a message without bytes, which anyone who
                # reaches the port may send; read as one, it is refused like others.
                data = b""
            self.receive(data)

    def receive(self, data: bytes) -> None:
        """Authenticate one envelope and hand its messages to the subscribers."""
        self.counters.envelopes_in += 1
        self.counters.bytes_in += len(data)
        try:
            batch = self.codec.decode(data)
        except RejectedError as error:
            self._reject(error.sender, error.reason, error.detail)
            return
        self.counters.messages_in += len(batch.messages)
        self.clock_seen(batch.clock)
        if batch.unknown:
            detail = f"{batch.unknown} messages are of no type known here"
            self._reject(batch.sender, Rejection.UNKNOWN_MESSAGE, detail)
        self._deliver(batch)

    def _deliver(self, batch: Batch) -> None:
        """Hand messages to subscribers; a stranger may only announce itself."""
        refused = 0
        for message in batch.messages:
            if not _announces(message) and not self.known(batch.sender):
                refused += 1
                continue
            for callback in tuple(self.callbacks.get(type(message), ())):
                self._call(callback, batch.sender, message)
        if refused:
            self.counters.rejected += refused
            self.events.record(Event.PEER_UNKNOWN, peer=batch.sender, count=refused)

    def _call(
        self, callback: Callable[[str, Any], None], sender: str, message: object
    ) -> None:
        """Call one subscriber; its failure must not keep others from the message."""
        try:
            callback(sender, message)
        except Exception as error:
            self.events.record(
                Event.INTERNAL_ERROR,
                peer=sender,
                message=type(message).__name__,
                error=repr(error),
            )

    def _reject(self, sender: str, reason: Rejection, detail: str) -> None:
        """Count and report an envelope that was refused."""
        self.counters.rejected += 1
        self.events.record(
            Event.PEER_MESSAGE_REJECTED,
            peer=sender,
            reason=reason.value,
            detail=detail,
        )


def _announces(message: object) -> bool:
    """Tell whether a message is one by which a host announces itself."""
    return str(type(message).__struct_config__.tag).startswith(ANNOUNCING_TAG_PREFIX)
