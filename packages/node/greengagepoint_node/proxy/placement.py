"""Find a place for one try: a unit of a site's cap and a backend server there."""

import asyncio
from typing import Final

import msgspec

from greengagepoint.balancing import choice
from greengagepoint.balancing.shedding import is_shedding
from greengagepoint.balancing.tables import BackendRow, Outcome
from greengagepoint.caps.const import RUN_END_SECONDS
from greengagepoint.caps.tables import Permit
from greengagepoint.draining import flights
from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint.steering.site_choice import candidate_sites
from greengagepoint_node.proxy.call import Call
from greengagepoint_node.proxy.parts import Parts

# How long a request may wait for a loan of units before it is refused.
LOAN_WAIT_SECONDS: Final = 0.25
LOAN_WAIT_SHARE: Final = 0.25

# A backend server ends a cancelled run within this time, the way over the network
# included; one whose deadline has passed ends within RUN_END_SECONDS.
CANCELLED_RUN_SECONDS: Final = 1.0
RUN_OVER_OUTCOMES: Final = frozenset({Outcome.ANSWERED, Outcome.SHED, Outcome.REFUSED})


class Placement(msgspec.Struct):
    """What one try holds until it has ended.

    ``ends_at`` is the deadline that the backend server was told, in monotonic
    seconds; None as long as nothing has been sent. ``flight`` is the row by which
    the remaining time of a drain is estimated.
    """

    permit: Permit
    row: BackendRow
    started_at: float
    flight: int
    open: bool = True
    ends_at: float | None = None


async def async_place(parts: Parts, call: Call, tried: frozenset[str]) -> Placement:
    """Return a place, or raise because no permitted site can take the request."""
    sites = _candidates(parts, call)
    if not sites:
        raise RequestError(
            f"No site may serve {call.service.name} now", ErrorKind.NO_BACKEND_SERVER
        )
    # Sites without a unit at hand are kept apart: when the servers of the nearest
    # site all fail, another site may still serve once it has lent a unit.
    short: list[str] = []
    for site in sites:
        permit = parts.caps.acquire(site, _remaining(parts, call))
        if permit is None:
            short.append(site)
            continue
        placement = _occupy(parts, call, permit, tried)
        if placement is not None:
            return placement
    if not short:
        raise RequestError(
            f"No backend server of {call.service.name} is available",
            ErrorKind.NO_BACKEND_SERVER,
        )
    return await _async_place_on_loan(parts, call, short[0], tried)


def give_back(
    parts: Parts,
    placement: Placement,
    outcome: Outcome,
    latency_seconds: float,
    *,
    run_over: bool | None = None,
) -> None:
    """End a try: free the unit and tell the tables how it went; once only.

    ``run_over`` tells whether the run has surely ended; None goes by the outcome.
    """
    if not placement.open:
        return
    placement.open = False
    now = parts.context.clock.monotonic()
    choice.record_request_end(placement.row, outcome, latency_seconds, now)
    answered = outcome is Outcome.ANSWERED
    flights.end(parts.flights, placement.flight, now, answered=answered)
    if run_over is None:
        run_over = outcome in RUN_OVER_OUTCOMES
    if run_over or placement.ends_at is None:
        parts.caps.release(placement.permit)
        return
    _release_later(parts, placement, now)


def _release_later(parts: Parts, placement: Placement, now: float) -> None:
    """Free the unit once the backend server has given the run up too.

    The server hears of a cancelled request, or of its deadline, later than this host:
    by the network's delay and its own. A unit freed at once would let another request
    start there meanwhile, and the site would run one more than its cap. The server
    ends a run by the deadline it was told, and a cancelled one within
    ``CANCELLED_RUN_SECONDS``, so the sooner of the two is enough.
    """
    deadline = placement.ends_at - now + RUN_END_SECONDS
    seconds = max(0.0, min(CANCELLED_RUN_SECONDS, deadline))
    loop = asyncio.get_running_loop()
    loop.call_later(seconds, parts.caps.release, placement.permit)


async def _async_place_on_loan(
    parts: Parts, call: Call, site: str, tried: frozenset[str]
) -> Placement:
    """Wait a moment for units on loan, or raise."""
    remaining = _remaining(parts, call)
    wait_seconds = min(LOAN_WAIT_SECONDS, remaining * LOAN_WAIT_SHARE)
    permit = await parts.caps.async_acquire(site, remaining, wait_seconds)
    placement = None
    if permit is not None:
        placement = _occupy(parts, call, permit, tried)
    if placement is None:
        raise RequestError(
            f"No permitted site of {call.service.name} has headroom",
            ErrorKind.NO_HEADROOM,
        )
    return placement


def _candidates(parts: Parts, call: Call) -> tuple[str, ...]:
    """Return the permitted sites, best first; those that shed come last."""
    context = parts.context
    now = context.clock.monotonic()

    def headroom(site: str) -> int:
        if is_shedding(parts.backends, call.service.name, site, now):
            return 0
        return parts.caps.headroom(site)

    return candidate_sites(
        parts.configuration(),
        call.service.name,
        context.host.region,
        context.host.zone,
        context.clock.wall_milliseconds(),
        parts.steering,
        headroom,
        context.random,
    )


def _occupy(
    parts: Parts, call: Call, permit: Permit, tried: frozenset[str]
) -> Placement | None:
    """Take a backend server for the permit, or give the permit back."""
    now = parts.context.clock.monotonic()
    row = choice.choose(
        parts.backends,
        call.service.name,
        permit.site,
        now,
        parts.context.random,
        tried,
    )
    if row is None:
        parts.caps.release(permit)
        return None
    choice.record_request_start(row, now)
    flight = flights.begin(parts.flights, row.site, row.name, call.service.name, now)
    return Placement(permit, row, now, flight)


def _remaining(parts: Parts, call: Call) -> float:
    """Return the seconds left until the deadline."""
    return call.remaining(parts.context.clock.monotonic())
