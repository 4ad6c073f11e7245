"""Admit, queue or refuse requests to one service."""

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
    Refused,
    RefusedTicket,
    Released,
    Ticket,
)
from greengagepoint.protocols import Random
from greengagepoint.records.schemas import RequestClass

QUEUE_LENGTH_MAX: Final = 1024
# The part of its deadline, and the seconds, that a request may wait for a place.
QUEUE_WAIT_MAX: Final = {
    RequestClass.PAYMENT: (0.25, 2.0),
    RequestClass.LOOKUP: (0.15, 1.0),
    RequestClass.ARCHIVE: (0.4, 10.0),
}

NOTHING: Final = Released((), ())


def offer(
    pool: Pool, ticket: Ticket, now: float, random: Random
) -> Admitted | Queued | Refused:
    """Decide at once what becomes of a new request."""
    queue = pool.queues[ticket.request_class]
    if not _can_finish(queue, ticket, now, 0.0):
        return _refuse(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
    if not pool.length and _has_room(pool, now):
        _admit(pool, ticket, now)
        return Admitted()
    limiter.note_full(pool.limiter)
    wait = estimates.wait_seconds(pool, ticket)
    if not _can_finish(queue, ticket, now, wait):
        return _refuse(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
    if wait > _longest_wait(ticket) or pool.length >= QUEUE_LENGTH_MAX:
        return _refuse(pool, ErrorKind.OVERLOADED, now, random)
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
    """Free the place of a request that has ended and fill it from the queue.

    ``latency`` is seconds until the head of the answer, or None where there was
    none to measure, as when the caller went away; ``ok`` is False when the
    backend server shed the request or gave no answer.
    """
    admitted_at = pool.in_flight.pop(ticket.id, None)
    if admitted_at is None:
        return NOTHING
    pool.queues[ticket.request_class].in_flight -= 1
    held = now - admitted_at
    if not ok:
        limiter.failed(pool.limiter, now)
    elif latency is not None:
        limiter.sample(pool.limiter, ticket.request_class, latency, now)
        estimates.note_hold(pool, ticket.request_class, held)
    return pull(pool, now, random)


def withdraw(pool: Pool, ticket: Ticket, now: float, random: Random) -> Released:
    """Forget a request whose caller went away, waiting or in flight."""
    if fair_queue.remove(pool.queues[ticket.request_class], ticket):
        return NOTHING
    return finish(pool, ticket, None, now, random)


def expire(pool: Pool, now: float, random: Random) -> Released:
    """Give up waiting requests that can no longer finish in time.

    Their callers hear it now and not at the deadline, so that they still have
    the time to ask elsewhere.
    """
    refused: list[RefusedTicket] = []
    higher = 0
    for name in CLASS_ORDER:
        queue = pool.queues[name]
        own = 0
        for ticket in fair_queue.in_order(queue):
            wait = estimates.wait_behind(pool, name, higher, own)
            if _can_finish(queue, ticket, now, wait):
                own += 1
                continue
            fair_queue.remove(queue, ticket)
            refusal = _refuse(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
            refused.append(RefusedTicket(ticket, refusal))
        higher += own
    released = pull(pool, now, random)
    return Released(released.admitted, (*refused, *released.refused))


def pull(pool: Pool, now: float, random: Random) -> Released:
    """Fill free places from the queue, most important class first."""
    admitted: list[Ticket] = []
    refused: list[RefusedTicket] = []
    while _has_room(pool, now):
        queue = _next_queue(pool)
        ticket = fair_queue.pop(queue) if queue else None
        if ticket is None:
            break
        if _can_finish(queue, ticket, now, 0.0):
            _admit(pool, ticket, now)
            admitted.append(ticket)
            continue
        refusal = _refuse(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
        refused.append(RefusedTicket(ticket, refusal))
    return Released(tuple(admitted), tuple(refused))


def _has_room(pool: Pool, now: float) -> bool:
    """Tell whether one more request may be in flight."""
    return len(pool.in_flight) < limiter.allowed(pool.limiter, now)


def _admit(pool: Pool, ticket: Ticket, now: float) -> None:
    """Give a request its place."""
    pool.in_flight[ticket.id] = now
    pool.queues[ticket.request_class].in_flight += 1
    estimates.note_admitted(pool, ticket.request_class)


def _can_finish(queue: ClassQueue, ticket: Ticket, now: float, wait: float) -> bool:
    """Tell whether a request ends before its deadline, by the estimates.

    With none of its class in flight nothing would correct an estimate that has
    grown beyond every deadline, so then one goes through to measure again.
    """
    left = ticket.ends_at - now - wait
    if left <= 0:
        return False
    return queue.in_flight == 0 or left >= estimates.needed_seconds(queue)


def _longest_wait(ticket: Ticket) -> float:
    """Return how long a request may wait at most."""
    share, seconds = QUEUE_WAIT_MAX[ticket.request_class]
    return min(seconds, share * (ticket.ends_at - ticket.arrived_at))


def _next_queue(pool: Pool) -> ClassQueue | None:
    """Return the queue whose turn it is."""
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


def _refuse(pool: Pool, kind: ErrorKind, now: float, random: Random) -> Refused:
    """Build a refusal that tells when to come back."""
    seconds = retry_after_seconds(pool, now, random)
    waiting = pool.length
    detail = f"{len(pool.in_flight)} in flight, {waiting} waiting"
    return Refused(kind, seconds, detail)
