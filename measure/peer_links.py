"""Measure what a message to a peer costs, alone and in a batch."""

import asyncio
import time
from typing import Any, Final, NamedTuple

import pynng

from greengagepoint.caps.messages import LoanRequest, Want
from greengagepoint.events import Event
from greengagepoint_node.peer_codec import MESSAGE_TYPES, PeerCodec
from greengagepoint_node.peers import PeerLinks
from measure.figure import Figure

KEY: Final = b"a key for the measurement"
MESSAGES: Final = 1_500
BATCH: Final = 10
PAUSE_SECONDS: Final = 0.001
CODEC_ROUNDS: Final = 2_000
MICROSECONDS: Final = 1e6
CLOCK: Final = (1_764_698_400_000, 0)
WAIT_SECONDS: Final = 10.0


class Ignored:
    """Take events and keep none."""

    def record(self, event: Event, **fields: Any) -> None:
        """Take one event."""


class Inbox:
    """Count messages; ``reached`` is set at the wanted number."""

    def __init__(self) -> None:
        self.count = 0
        self.wanted = 0
        self.reached = asyncio.Event()

    def take(self, sender: str, message: object) -> None:
        """Count one message."""
        self.count += 1
        if self.count >= self.wanted:
            self.reached.set()

    async def async_wait(self, wanted: int) -> None:
        """Wait until a number of messages has come."""
        self.wanted = wanted
        self.reached.clear()
        if self.count < wanted:
            async with asyncio.timeout(WAIT_SECONDS):
                await self.reached.wait()


class Pair(NamedTuple):
    """Two daemons' links, and the messages that the second has taken."""

    sender: PeerLinks
    receiver: PeerLinks
    inbox: Inbox


def sample_message() -> LoanRequest:
    """Return a message as hosts send it many times a second."""
    wants = tuple(Want(f"site-{number}", 3, 5) for number in range(4))
    return LoanRequest(1_764_698_400_000, 1_764_698_400_001, 12, wants)


def run() -> list[Figure]:
    """Return processor time a message, for both ends together."""
    alone = asyncio.run(_async_links(1))
    batched = asyncio.run(_async_links(BATCH))
    plain = asyncio.run(_async_plain())
    idle = asyncio.run(_async_idle())
    encode, decode, size = _codec(1)
    encode_batch, decode_batch, size_batch = _codec(BATCH)
    return [
        Figure(
            "message alone, by ready descriptor",
            alone - idle,
            "µs",
            plain - idle,
            "pynng asend and arecv, no MAC",
        ),
        Figure(
            f"message in a batch of {BATCH}",
            batched - idle / BATCH,
            "µs",
            alone - idle,
            "message alone",
        ),
        Figure(
            f"envelope bytes a message, {BATCH} together",
            size_batch / BATCH,
            "B",
            size,
            "message alone",
        ),
        Figure(
            f"encode and decode a message, {BATCH} together",
            (encode_batch + decode_batch) / BATCH,
            "µs",
            encode + decode,
            "message alone",
        ),
    ]


async def _async_pair() -> Pair:
    """Start two daemons' links that know each other."""
    addresses: dict[str, str] = {}
    links = []
    for name in ("one", "two"):
        made = PeerLinks(
            host=name,
            incarnation=1,
            listen_address="127.0.0.1:0",
            key=KEY,
            address_of=addresses.get,
            events=Ignored(),
            clock_now=lambda: CLOCK,
        )
        await made.async_start()
        addresses[name] = made.bound_address
        links.append(made)
    inbox = Inbox()
    links[1].subscribe(LoanRequest, inbox.take)
    return Pair(links[0], links[1], inbox)


async def _async_links(batch: int) -> float:
    """Return microseconds a message, sent ``batch`` at a time."""
    pair = await _async_pair()
    message = sample_message()
    pair.sender.send("two", message)
    await pair.inbox.async_wait(1)
    start = time.process_time()
    for _ in range(MESSAGES // batch):
        for _ in range(batch):
            pair.sender.send("two", message)
        await asyncio.sleep(PAUSE_SECONDS)
    await pair.inbox.async_wait(1 + MESSAGES)
    spent = time.process_time() - start
    await pair.sender.async_stop()
    await pair.receiver.async_stop()
    return spent / MESSAGES * MICROSECONDS


async def _async_plain() -> float:
    """Return microseconds a message by pynng's own coroutines, not authenticated."""
    codec = PeerCodec("one", 1, KEY, MESSAGE_TYPES)
    data = codec.encode("two", CLOCK, [sample_message()])
    with pynng.Pull0() as pull, pynng.Push0() as push:
        listener = pull.listen("tcp://127.0.0.1:0")
        push.dial(f"tcp://{listener.local_address}", block=True)

        async def async_receive() -> None:
            for _ in range(MESSAGES):
                await pull.arecv()

        receiving = asyncio.create_task(async_receive())
        start = time.process_time()
        for _ in range(MESSAGES):
            await push.asend(data)
            await asyncio.sleep(PAUSE_SECONDS)
        async with asyncio.timeout(WAIT_SECONDS):
            await receiving
        return (time.process_time() - start) / MESSAGES * MICROSECONDS


async def _async_idle() -> float:
    """Return microseconds that the pause between two messages costs by itself."""
    start = time.process_time()
    for _ in range(MESSAGES):
        await asyncio.sleep(PAUSE_SECONDS)
    return (time.process_time() - start) / MESSAGES * MICROSECONDS


def _codec(batch: int) -> tuple[float, float, int]:
    """Return microseconds to encode and to decode an envelope, and its bytes."""
    sender = PeerCodec("one", 1, KEY, MESSAGE_TYPES)
    receiver = PeerCodec("two", 1, KEY, MESSAGE_TYPES)
    messages = [sample_message()] * batch
    start = time.process_time()
    envelopes = [sender.encode("two", CLOCK, messages) for _ in range(CODEC_ROUNDS)]
    encoded = time.process_time()
    for envelope in envelopes:
        receiver.decode(envelope)
    decoded = time.process_time()
    scale = MICROSECONDS / CODEC_ROUNDS
    return (encoded - start) * scale, (decoded - encoded) * scale, len(envelopes[0])


if __name__ == "__main__":
    for figure in run():
        print(figure, figure.ratio)
