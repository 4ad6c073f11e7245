"""Send the watcher's updates from the store to the other hosts of its region."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple

import aiohttp

from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.gossip_messages import Message, encode
from greengagepoint_node.gateway.transfer import send_seconds

NEWS_PATH: Final = "/v1/news"
# A peer that takes longer, not counting the transfer time, is overloaded or down.
NOTIFY_SECONDS: Final = 0.6
# A peer that is down holds one of the slots for large sends no longer than this.
LARGE_CONNECT_TIMEOUT: Final = aiohttp.ClientTimeout(sock_connect=0.3)
CONNECT_TIMEOUT: Final = aiohttp.ClientTimeout(sock_connect=NOTIFY_SECONDS)
# Messages of this size or more go to a few peers at a time. Over a link of 5 Mbit/s,
# 100 KB sent to twenty peers at once would reach none of them before the timeout.
LARGE_BYTES: Final = 16 * 1024
LARGE_SENDS_MAX: Final = 8
# Peers that need the same changes within this time share one encoded message.
ENCODED_REUSE_SECONDS: Final = 0.05


class EncodedUpdate(NamedTuple):
    """An encoded message for all peers that lack what follows ``base_revision``."""

    base_revision: int
    encoded_at: float
    body: bytes


class PeerNotifier:
    """Send updates to peers, one at a time for each, always with the newest state.

    ``create_message`` builds the message for peers that have everything up to a
    revision; ``on_failure`` is called for each failed send. ``large_addresses`` are the
    peers for which a large message is waiting or being sent.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        clock: Clock,
        create_message: Callable[[int], Message],
        on_failure: Callable[[str, BaseException], None],
        sent_bytes: Counter[tuple[str, str]],
    ) -> None:
        self.session = session
        self.clock = clock
        self.create_message = create_message
        self.on_failure = on_failure
        self.sent_bytes = sent_bytes
        self.large_send_slots = asyncio.Semaphore(LARGE_SENDS_MAX)
        self.pending: dict[str, int] = {}
        self.relays: dict[str, tuple[str, ...]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.large_addresses: set[str] = set()
        self.last_encoded: EncodedUpdate | None = None

    def notify(
        self, address: str, base_revision: int, relay: tuple[str, ...] = ()
    ) -> None:
        """Send a peer the changes after a revision, to relay to the given peers.

        Changes that arrive while a send to the peer is in progress go with its next
        message. If they were dropped, the peer would keep an old version without
        learning that there is a newer one.
        """
        self.pending[address] = min(
            base_revision, self.pending.get(address, base_revision)
        )
        self.relays[address] = relay
        # The encoded message lacks the newest changes.
        self.last_encoded = None
        if address in self.tasks:
            return
        task = asyncio.get_running_loop().create_task(self._async_notify(address))
        self.tasks[address] = task

    async def _async_notify(self, address: str) -> None:
        """Send until no changes are pending for the peer."""
        try:
            while address in self.pending:
                if len(self._cached_body(self.pending[address])) < LARGE_BYTES:
                    await self.async_send(address)
                    continue
                self.large_addresses.add(address)
                async with self.large_send_slots:
                    await self.async_send(address)
                self.large_addresses.discard(address)
        finally:
            self.large_addresses.discard(address)
            # Not in a done callback: changes that arrive before it runs would find a
            # task that no longer checks for them, and would wait for the next change.
            self.tasks.pop(address, None)

    async def async_send(self, address: str) -> None:
        """Send a peer its pending changes; one that misses them notices its stale view.

        The message is encoded just before it is sent. Encoded before the wait for a
        slot, it would seem fresher to the peer than it is.
        """
        base_revision = self.pending.pop(address)
        relay = self.relays.pop(address, ())
        body = (
            self._relayed_body(base_revision, relay)
            if relay
            else self._cached_body(base_revision)
        )
        self.sent_bytes["news", "sent"] += len(body)
        url = f"http://{address}{NEWS_PATH}"
        connect = LARGE_CONNECT_TIMEOUT if len(body) >= LARGE_BYTES else CONNECT_TIMEOUT
        try:
            async with asyncio.timeout(NOTIFY_SECONDS + send_seconds(len(body))):
                async with self.session.post(url, data=body, timeout=connect) as answer:
                    await answer.read()
                    if relay:
                        answer.raise_for_status()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.on_failure(address, error)
            for member in relay:
                self.notify(member, base_revision)

    def _relayed_body(self, base_revision: int, relay: tuple[str, ...]) -> bytes:
        """Return the encoded message for a peer that relays it."""
        message = self.create_message(base_revision)
        message.relay = list(relay)
        return encode(message)

    def _cached_body(self, base_revision: int) -> bytes:
        """Return the encoded message for peers that are at a revision."""
        now = self.clock.monotonic()
        cached = self.last_encoded
        if (
            cached is None
            or cached.base_revision != base_revision
            or now - cached.encoded_at > ENCODED_REUSE_SECONDS
        ):
            cached = EncodedUpdate(
                base_revision, now, encode(self.create_message(base_revision))
            )
            self.last_encoded = cached
        return cached.body
