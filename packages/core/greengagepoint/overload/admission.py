"""Admit, queue or reject requests to one service."""

from typing import Final

from greengagepoint.errors import ErrorKind
from greengagepoint.overload import estimates, fair_queue, limiter
from greengagepoint.overload.retry_after import retry_after_seconds
from greengagepoint.overload.tables import (
    CLASS_ORDER,
    Admitted,
    ClassQueue,
    Pool,
    Queued,
    Rejected,
    RejectedTicket,
    Released,
    Ticket,
)
from greengagepoint.protocols import Random
from greengagepoint.records.schemas import RequestClass

QUEUE_LENGTH_MAX: Final = 1024
# Longest wait in the queue: a fraction of the request's time until its deadline, and
# an upper bound in seconds.
QUEUE_WAIT_MAX: Final = {
    RequestClass.PAYMENT: (0.25, 2.0),
    RequestClass.LOOKUP: (0.15, 1.0),
    RequestClass.ARCHIVE: (0.4, 10.0),
}

NO_CHANGE: Final = Released((), ())


def offer(
    pool: Pool, ticket: Ticket, now: float, random: Random
) -> Admitted | Queued | Rejected:
    """Admit, queue or reject a new request."""
    queue = pool.queues[ticket.request_class]
    if not _can_finish(queue, ticket, now, 0.0):
        return _reject(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
    if not pool.length and _has_free_slot(pool, now):
        _admit(pool, ticket, now)
        return Admitted()
    limiter.record_limit_reached(pool.limiter)
    wait = estimates.estimate_wait_seconds(pool, ticket)
    if not _can_finish(queue, ticket, now, wait):
        return _reject(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
    if wait > _max_wait_seconds(ticket) or pool.length >= QUEUE_LENGTH_MAX:
        return _reject(pool, ErrorKind.OVERLOADED, now, random)
    fair_queue.push(queue, ticket)
    return Queued(wait)


def finish(
    pool: Pool,
    ticket: Ticket,
    latency: float | None,
    now: float,
    random: Random,
    *,
    ok: bool = True,
) -> Released:
    """Free the slot of a completed request and admit waiting requests.

    ``latency`` is the time in seconds until the response headers, or None if there
    was no response to measure, for example because the caller disconnected. ``ok``
    is False if the backend server shed the request or did not answer.
    """
    admitted_at = pool.in_flight.pop(ticket.id, None)
    if admitted_at is None:
        return NO_CHANGE
    pool.queues[ticket.request_class].in_flight -= 1
    service_seconds = now - admitted_at
    if not ok:
        limiter.record_failure(pool.limiter, now)
    elif latency is not None:
        limiter.record_sample(pool.limiter, ticket.request_class, latency, now)
        estimates.record_service_time(pool, ticket.request_class, service_seconds)
    return admit_waiting(pool, now, random)


def withdraw(pool: Pool, ticket: Ticket, now: float, random: Random) -> Released:
    """Remove a request whose caller disconnected, whether waiting or in flight."""
    if fair_queue.remove(pool.queues[ticket.request_class], ticket):
        return NO_CHANGE
    return finish(pool, ticket, None, now, random)


def expire(pool: Pool, now: float, random: Random) -> Released:
    """Reject waiting requests that can no longer finish before their deadline.

    They are rejected early instead of at the deadline, so that their callers still
    have time to try another host.
    """
    refused: list[RejectedTicket] = []
    higher_count = 0
    for name in CLASS_ORDER:
        queue = pool.queues[name]
        own_count = 0
        for ticket in fair_queue.dequeue_order(queue):
            wait = estimates.queue_drain_seconds(pool, name, higher_count, own_count)
            if _can_finish(queue, ticket, now, wait):
                own_count += 1
                continue
            fair_queue.remove(queue, ticket)
            rejection = _reject(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
            refused.append(RejectedTicket(ticket, rejection))
        higher_count += own_count
    released = admit_waiting(pool, now, random)
    return Released(released.admitted, (*refused, *released.refused))


def admit_waiting(pool: Pool, now: float, random: Random) -> Released:
    """Admit waiting requests while slots are free, most important class first."""
    admitted: list[Ticket] = []
    refused: list[RejectedTicket] = []
    while _has_free_slot(pool, now):
        queue = _next_queue(pool)
        ticket = fair_queue.pop(queue) if queue else None
        if ticket is None:
            break
        if _can_finish(queue, ticket, now, 0.0):
            _admit(pool, ticket, now)
            admitted.append(ticket)
            continue
        rejection = _reject(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
        refused.append(RejectedTicket(ticket, rejection))
    return Released(tuple(admitted), tuple(refused))


def _has_free_slot(pool: Pool, now: float) -> bool:
    """Return True if one more request may be in flight."""
    return len(pool.in_flight) < limiter.current_limit(pool.limiter, now)


def _admit(pool: Pool, ticket: Ticket, now: float) -> None:
    """Count a request as in flight."""
    pool.in_flight[ticket.id] = now
    pool.queues[ticket.request_class].in_flight += 1
    estimates.record_admission(pool, ticket.request_class)


def _can_finish(queue: ClassQueue, ticket: Ticket, now: float, wait: float) -> bool:
    """Return True if a request is expected to finish before its deadline.

    If no request of the class is in flight, the service time isn't checked: an
    estimate that exceeds every deadline would otherwise never be measured again.
    """
    remaining = ticket.ends_at - now - wait
    if remaining <= 0:
        return False
    return queue.in_flight == 0 or remaining >= estimates.expected_service_seconds(
        queue
    )


def _max_wait_seconds(ticket: Ticket) -> float:
    """Return the longest time in seconds that a request may wait."""
    share, seconds = QUEUE_WAIT_MAX[ticket.request_class]
    return min(seconds, share * (ticket.ends_at - ticket.arrived_at))


def _next_queue(pool: Pool) -> ClassQueue | None:
    """Return the class queue to serve next, or None if nothing waits."""
    waiting = [pool.queues[name] for name in CLASS_ORDER if pool.queues[name].length]
    if not waiting:
        return None
    if len(waiting) == 1:
        return waiting[0]
    pool.turns += 1
    if pool.turns % estimates.LOWER_CLASS_EVERY:
        return waiting[0]
    lower = waiting[1:]
    return lower[pool.turns // estimates.LOWER_CLASS_EVERY % len(lower)]


def _reject(pool: Pool, kind: ErrorKind, now: float, random: Random) -> Rejected:
    """Build a rejection with the time after which to retry."""
    seconds = retry_after_seconds(pool, now, random)
    waiting = pool.length
    detail = f"{len(pool.in_flight)} in flight, {waiting} waiting"
    return Rejected(kind, seconds, detail)
