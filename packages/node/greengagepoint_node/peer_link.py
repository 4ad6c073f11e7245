"""The socket to one peer and the messages that wait for it."""

import asyncio
from collections import deque
from typing import Final, NamedTuple

import pynng
from pynng import lib

MAX_QUEUED_MESSAGES: Final = 256
MAX_QUEUED_SECONDS: Final = 3.0
RETRY_SECONDS: Final = 0.02
MAX_RETRY_SECONDS: Final = 0.5
RECONNECT_MIN_MILLISECONDS: Final = 50
RECONNECT_MAX_MILLISECONDS: Final = 2_000
TASK_THREADS: Final = 2


class Queued(NamedTuple):
    """A message that waits for its link, with the loop's time when it was queued."""

    message: object
    at: float


class Link:
    """The socket to one peer and its queue."""

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

    @property
    def is_full(self) -> bool:
        """Tell whether another message has no room."""
        return len(self.queue) >= MAX_QUEUED_MESSAGES

    def remove_stale(self, now: float) -> int:
        """Forget messages that waited too long to be of use; return how many."""
        count = 0
        while self.queue and self.queue[0].at < now - MAX_QUEUED_SECONDS:
            self.queue.popleft()
            count += 1
        return count

    def next_retry(self) -> float:
        """Return the seconds until the next try, longer each time."""
        seconds = self.retry_seconds
        self.retry_seconds = min(2 * seconds, MAX_RETRY_SECONDS)
        return seconds

    def sent(self) -> None:
        """Forget what has been handed over."""
        self.queue.clear()
        self.retry_seconds = RETRY_SECONDS

    def close(self) -> None:
        """Close the socket and forget what waits."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.queue.clear()
        self.socket.close()


def limit_threads() -> None:
    """Keep NNG from starting threads by the number of processors.

    It would start 30 on a machine of 12. It takes the numbers when its first socket
    is opened and ignores them later.
    """
    for parameter, threads in (
        (lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS),
        (lib.NNG_INIT_NUM_EXPIRE_THREADS, 1),
        (lib.NNG_INIT_NUM_POLLER_THREADS, 1),
        (lib.NNG_INIT_NUM_RESOLVER_THREADS, 1),
    ):
        lib.nng_init_set_parameter(parameter, threads)


limit_threads()
