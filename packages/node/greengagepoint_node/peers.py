"""Links to the other daemons over pynng."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Final

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
from greengagepoint_node.peer_events import LimitedEvents
from greengagepoint_node.peer_sender import PeerCounters, PeerSender
from greengagepoint_node.peer_statistics import count_refused

REFUSED_POLL_SECONDS: Final = 5.0
RECEIVE_BUFFER_MESSAGES: Final = 128
# Envelopes read in one turn, so that a flood from one peer cannot hold the loop.
RECEIVE_BATCH: Final = 64
# A host announces itself with these; from a host that is not known yet, nothing else
# is taken.
ANNOUNCING_TAG_PREFIX: Final = "membership."


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
        self.known = known or (lambda name: address_of(name) is not None)
        self.events = LimitedEvents(events)
        self.clock_seen = clock_seen
        self.codec = PeerCodec(host, incarnation, key, types)
        self.counters = PeerCounters()
        self.sender = PeerSender(
            self.codec, self.counters, address_of, self.events, clock_now
        )
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
                f"--peer-listen-address: cannot listen on {self.listen_address}: "
                f"{error}"
            ) from error
        self.listener = listener
        self.bound_address = str(opened.local_address)
        # A ready descriptor with non-blocking reads costs half the processor time of
        # pynng's arecv; measure/peer_links.py compares them.
        asyncio.get_running_loop().add_reader(listener.recv_fd, self._read)
        self._watch_refused()

    async def async_stop(self) -> None:
        """Send what is queued, waiting a short time, then close all sockets."""
        await self.sender.async_flush()
        self.sender.close()
        if self.refused_timer is not None:
            self.refused_timer.cancel()
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.recv_fd)
            self.listener.close()
            self.listener = None

    def send(self, host: str, message: object) -> bool:
        """Queue a message to a host by name; tell whether there was room for it."""
        return self.sender.send(host, message)

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
        """Hand messages to subscribers; an unknown host may only announce itself."""
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
