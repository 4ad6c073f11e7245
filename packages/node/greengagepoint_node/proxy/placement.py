"""Find a place for one try: a unit of a site's cap and a backend server there."""

from typing import Final

import msgspec

from greengagepoint.balancing import choice
from greengagepoint.balancing.tables import BackendRow, Outcome
from greengagepoint.caps.tables import Permit
from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint.steering.site_choice import candidate_sites
from greengagepoint_node.proxy.call import Call
from greengagepoint_node.proxy.parts import Parts

# How long a request may wait for a loan of units before it is refused.
LOAN_WAIT_SECONDS: Final = 0.25
LOAN_WAIT_SHARE: Final = 0.25


class Placement(msgspec.Struct):
    """What one try holds until it has ended."""

    permit: Permit
    row: BackendRow
    started_at: float
    open: bool = True


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
    parts: Parts, placement: Placement, outcome: Outcome, latency_seconds: float
) -> None:
    """End a try: free the unit and tell the tables how it went; once only."""
    if not placement.open:
        return
    placement.open = False
    now = parts.context.clock.monotonic()
    choice.finished(placement.row, outcome, latency_seconds, now)
    parts.caps.release(placement.permit)


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
    """Return the permitted sites, best first."""
    context = parts.context
    return candidate_sites(
        parts.configuration(),
        call.service.name,
        context.host.region,
        context.host.zone,
        context.clock.wall_milliseconds(),
        parts.steering,
        parts.caps.headroom,
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
    choice.started(row, now)
    return Placement(permit, row, now)


def _remaining(parts: Parts, call: Call) -> float:
    """Return the seconds left until the deadline."""
    return call.remaining(parts.context.clock.monotonic())
