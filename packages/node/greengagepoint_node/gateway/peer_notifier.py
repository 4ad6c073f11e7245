"""Tell the hosts of a region what the store told the one that watches it."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final, NamedTuple

import aiohttp

from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.gossip_messages import Message, encode
from greengagepoint_node.gateway.transfer import send_seconds

NEWS_PATH: Final = "/v1/news"
# A peer that takes longer, beside the time for the bytes, is busy or gone.
NOTIFY_SECONDS: Final = 0.6
# A peer that is gone takes no place among the large sends for longer.
LARGE_CONNECT: Final = aiohttp.ClientTimeout(sock_connect=0.3)
CONNECT: Final = aiohttp.ClientTimeout(sock_connect=NOTIFY_SECONDS)
# A message of this size is sent to a few peers at a time. Sent to twenty at once over a
# link of 5 Mbit/s, 100 KB come through to none of them before the wait for it ends.
LARGE_BYTES: Final = 16 * 1024
LARGE_SENDS_MAX: Final = 8
# Peers that are told the same within this time get the same message.
SAME_NEWS_SECONDS: Final = 0.05


class EncodedUpdate(NamedTuple):
    """A message for several peers: what it was made of, when, and its bytes."""

    before: int
    at: float
    body: bytes


class PeerNotifier:
    """Send each peer one message at a time, always the newest.

    ``message`` makes the one for peers that were told all up to a revision; ``failed``
    hears of those that could not be sent. ``large`` are the peers that wait for a large
    message, or for its end.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        clock: Clock,
        message: Callable[[int], Message],
        failed: Callable[[str, BaseException], None],
        sent_bytes: Counter[tuple[str, str]],
    ) -> None:
        self.session = session
        self.clock = clock
        self.message = message
        self.failed = failed
        self.sent_bytes = sent_bytes
        self.large_sends = asyncio.Semaphore(LARGE_SENDS_MAX)
        self.pending: dict[str, int] = {}
        self.relays: dict[str, tuple[str, ...]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.large: set[str] = set()
        self.encoded: EncodedUpdate | None = None

    def notify(self, address: str, before: int, relay: tuple[str, ...] = ()) -> None:
        """Tell a peer what is new since a revision, and let it tell some others.

        What comes while a send to it is under way goes with the next one. Dropped, the
        peer would have an old version, and no word that there is a newer one.
        """
        self.pending[address] = min(before, self.pending.get(address, before))
        self.relays[address] = relay
        # What was encoded before is older than what there is to tell now.
        self.encoded = None
        if address in self.tasks:
            return
        task = asyncio.get_running_loop().create_task(self._async_notify(address))
        self.tasks[address] = task

    async def _async_notify(self, address: str) -> None:
        """Send until the peer has been told the newest."""
        try:
            while address in self.pending:
                if len(self._body(self.pending[address])) < LARGE_BYTES:
                    await self.async_send(address)
                    continue
                self.large.add(address)
                async with self.large_sends:
                    await self.async_send(address)
                self.large.discard(address)
        finally:
            self.large.discard(address)
            # At once, not in a callback: what is to be told in between would find a
            # task that no longer looks for it, and wait for the next change.
            self.tasks.pop(address, None)

    async def async_send(self, address: str) -> None:
        """Send a peer what it was not told; one that misses it finds its news stale.

        It is encoded only now: after a wait for its turn it would seem fresher to the
        peer than it is.
        """
        before = self.pending.pop(address)
        relay = self.relays.pop(address, ())
        body = self._relayed_body(before, relay) if relay else self._body(before)
        self.sent_bytes["news", "sent"] += len(body)
        url = f"http://{address}{NEWS_PATH}"
        connect = LARGE_CONNECT if len(body) >= LARGE_BYTES else CONNECT
        try:
            async with asyncio.timeout(NOTIFY_SECONDS + send_seconds(len(body))):
                async with self.session.post(url, data=body, timeout=connect) as answer:
                    await answer.read()
                    if relay:
                        answer.raise_for_status()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self.failed(address, error)
            for member in relay:
                self.notify(member, before)

    def _relayed_body(self, before: int, relay: tuple[str, ...]) -> bytes:
        """Return the message for a peer that passes it on."""
        message = self.message(before)
        message.relay = list(relay)
        return encode(message)

    def _body(self, before: int) -> bytes:
        """Return the message for peers that were told all up to a revision."""
        now = self.clock.monotonic()
        known = self.encoded
        if (
            known is None
            or known.before != before
            or now - known.at > SAME_NEWS_SECONDS
        ):
            known = EncodedUpdate(before, now, encode(self.message(before)))
            self.encoded = known
        return known.body
