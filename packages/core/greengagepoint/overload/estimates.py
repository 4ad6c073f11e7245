"""Estimate how long a request would wait and how long it would take."""

from typing import Final

from greengagepoint.overload import fair_queue
from greengagepoint.overload.tables import CLASS_ORDER, ClassQueue, Pool, Ticket
from greengagepoint.records.schemas import RequestClass

HOLD_GAIN: Final = 0.1
SHARE_GAIN: Final = 0.02
# One place in so many goes to the lower classes that wait, in turn. Strict order
# would let payments above capacity starve archives for hours.
LOWER_CLASS_EVERY: Final = 20
LOWER_CLASS_SHARE: Final = 1 / (LOWER_CLASS_EVERY * (len(CLASS_ORDER) - 1))


def note_hold(pool: Pool, request_class: RequestClass, seconds: float) -> None:
    """Take in how long one request held its place."""
    queue = pool.queues[request_class]
    if queue.hold_mean == 0.0:
        queue.hold_mean = seconds
    deviation = abs(seconds - queue.hold_mean)
    queue.hold_mean += HOLD_GAIN * (seconds - queue.hold_mean)
    queue.hold_deviation += HOLD_GAIN * (deviation - queue.hold_deviation)
    gain = HOLD_GAIN if pool.held_samples else 1.0
    pool.held_samples += 1
    pool.hold_mean += gain * (seconds - pool.hold_mean)


def note_admitted(pool: Pool, request_class: RequestClass) -> None:
    """Take in which class got a place."""
    for name, queue in pool.queues.items():
        target = 1.0 if name is request_class else 0.0
        queue.share += SHARE_GAIN * (target - queue.share)


def needed_seconds(queue: ClassQueue) -> float:
    """Return how long a request of the class takes once it is sent."""
    return queue.hold_mean + queue.hold_deviation


def drain_rate(pool: Pool) -> float:
    """Return how many requests a second leave when the limit is full."""
    return pool.limiter.limit / max(pool.hold_mean, 1e-6)


def class_drain_rate(pool: Pool, request_class: RequestClass) -> float:
    """Return the rate that is left over by the classes that go before."""
    taken = 0.0
    for name in CLASS_ORDER:
        if name is request_class:
            break
        taken += pool.queues[name].share
    return drain_rate(pool) * max(LOWER_CLASS_SHARE, 1.0 - taken)


def wait_seconds(pool: Pool, ticket: Ticket) -> float:
    """Return how long a new request would wait in the queue."""
    higher = 0
    for name in CLASS_ORDER:
        if name is ticket.request_class:
            break
        higher += pool.queues[name].length
    own = fair_queue.ahead(pool.queues[ticket.request_class], ticket)
    return wait_behind(pool, ticket.request_class, higher, own + 1)


def wait_behind(
    pool: Pool, request_class: RequestClass, higher: int, own: int
) -> float:
    """Return how long it takes until requests of higher and the own class left."""
    return higher / drain_rate(pool) + own / class_drain_rate(pool, request_class)
