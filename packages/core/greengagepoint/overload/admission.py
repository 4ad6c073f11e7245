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
QUEUE_WAIT_SHARE: Final = 0.5
QUEUE_WAIT_MAX_SECONDS: Final = {
    RequestClass.PAYMENT: 2.0,
    RequestClass.LOOKUP: 1.0,
    RequestClass.ARCHIVE: 10.0,
}
# One place in so many goes to a lower class that waits. Strict order would let
# payments above capacity starve archives for hours.
LOWER_CLASS_EVERY: Final = 20

NOTHING: Final = Released((), ())


def offer(
    pool: Pool, ticket: Ticket, now: float, random: Random
) -> Admitted | Queued | Refused:
    """Decide at once what becomes of a new request."""
    queue = pool.queues[ticket.request_class]
    if not _can_finish(queue, ticket, now, 0.0):
        return _refuse(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
    if not pool.length and _has_room(pool):
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
        limiter.failed(pool.limiter, now, held)
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
    before = 0
    for name in CLASS_ORDER:
        queue = pool.queues[name]
        rate = estimates.class_drain_rate(pool, name)
        for ticket in fair_queue.in_order(queue):
            if _can_finish(queue, ticket, now, before / rate):
                before += 1
                continue
            fair_queue.remove(queue, ticket)
            refusal = _refuse(pool, ErrorKind.DEADLINE_TOO_SHORT, now, random)
            refused.append(RefusedTicket(ticket, refusal))
    released = pull(pool, now, random)
    return Released(released.admitted, (*refused, *released.refused))


def pull(pool: Pool, now: float, random: Random) -> Released:
    """Fill free places from the queue, most important class first."""
    admitted: list[Ticket] = []
    refused: list[RefusedTicket] = []
    while _has_room(pool):
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


def _has_room(pool: Pool) -> bool:
    """Tell whether one more request may be in flight."""
    return len(pool.in_flight) < int(pool.limiter.limit)


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
    share = (ticket.ends_at - ticket.arrived_at) * QUEUE_WAIT_SHARE
    return min(share, QUEUE_WAIT_MAX_SECONDS[ticket.request_class])


def _next_queue(pool: Pool) -> ClassQueue | None:
    """Return the queue whose turn it is."""
    waiting = [pool.queues[name] for name in CLASS_ORDER if pool.queues[name].length]
    if not waiting:
        return None
    if len(waiting) == 1:
        return waiting[0]
    pool.passed_over += 1
    if pool.passed_over < LOWER_CLASS_EVERY:
        return waiting[0]
    pool.passed_over = 0
    return waiting[-1]


def _refuse(pool: Pool, kind: ErrorKind, now: float, random: Random) -> Refused:
    """Build a refusal that tells when to come back."""
    seconds = retry_after_seconds(pool, now, random)
    waiting = pool.length
    detail = f"{len(pool.in_flight)} in flight, {waiting} waiting"
    return Refused(kind, seconds, detail)
