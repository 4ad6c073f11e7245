"""Estimate queue wait and service time of requests."""

from typing import Final

from greengagepoint.overload import fair_queue
from greengagepoint.overload.tables import CLASS_ORDER, ClassQueue, Pool, Ticket
from greengagepoint.records.schemas import RequestClass

SERVICE_TIME_GAIN: Final = 0.1
SHARE_GAIN: Final = 0.02
# One in this many free slots goes to the waiting lower classes, round robin. With
# strict priority, payments above capacity would starve archives for hours.
LOWER_CLASS_EVERY: Final = 20
LOWER_CLASS_SHARE: Final = 1 / (LOWER_CLASS_EVERY * (len(CLASS_ORDER) - 1))


def record_service_time(
    pool: Pool, request_class: RequestClass, seconds: float
) -> None:
    """Record how long one request occupied its slot."""
    queue = pool.queues[request_class]
    if queue.service_time_mean == 0.0:
        queue.service_time_mean = seconds
    deviation = abs(seconds - queue.service_time_mean)
    queue.service_time_mean += SERVICE_TIME_GAIN * (seconds - queue.service_time_mean)
    queue.service_time_deviation += SERVICE_TIME_GAIN * (
        deviation - queue.service_time_deviation
    )
    gain = SERVICE_TIME_GAIN if pool.service_time_samples else 1.0
    pool.service_time_samples += 1
    pool.service_time_mean += gain * (seconds - pool.service_time_mean)


def record_admission(pool: Pool, request_class: RequestClass) -> None:
    """Update each class's share of admissions after an admission."""
    for name, queue in pool.queues.items():
        target = 1.0 if name is request_class else 0.0
        queue.share += SHARE_GAIN * (target - queue.share)


def expected_service_seconds(queue: ClassQueue) -> float:
    """Return a conservative service time in seconds: mean plus mean deviation."""
    return queue.service_time_mean + queue.service_time_deviation


def drain_rate(pool: Pool) -> float:
    """Return the requests per second that complete while the limit is reached."""
    return pool.limiter.limit / max(pool.service_time_mean, 1e-6)


def class_drain_rate(pool: Pool, request_class: RequestClass) -> float:
    """Return the drain rate that higher classes leave for a class."""
    higher_share = 0.0
    for name in CLASS_ORDER:
        if name is request_class:
            break
        higher_share += pool.queues[name].share
    return drain_rate(pool) * max(LOWER_CLASS_SHARE, 1.0 - higher_share)


def estimate_wait_seconds(pool: Pool, ticket: Ticket) -> float:
    """Return the estimated queue wait of a new request in seconds."""
    higher_count = 0
    for name in CLASS_ORDER:
        if name is ticket.request_class:
            break
        higher_count += pool.queues[name].length
    own_count = fair_queue.count_ahead(pool.queues[ticket.request_class], ticket)
    return queue_drain_seconds(pool, ticket.request_class, higher_count, own_count + 1)


def queue_drain_seconds(
    pool: Pool, request_class: RequestClass, higher_count: int, own_count: int
) -> float:
    """Return the seconds to drain counts of requests of higher and the own class."""
    return higher_count / drain_rate(pool) + own_count / class_drain_rate(
        pool, request_class
    )
