"""Parse a request into a call: route, affinity key, deadline and regions."""

from collections.abc import Callable
from typing import Final, NamedTuple

from aiohttp import web

from greengagepoint.accounts.tables import Account
from greengagepoint.errors import ErrorKind
from greengagepoint.routing.tables import Route, RouteTable, find_route
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.refusals import OUTDATED_VIEW_RETRY_SECONDS, Refusal

# The caller's deadline starts about 3 ms before the request arrives, and the answer
# takes as long to reach the caller.
ANSWER_MARGIN_SECONDS: Final = 0.01
DEADLINE_DEFAULT_SECONDS: Final = 10.0
# 30 years. int() refuses over 4,300 digits, and a float holds no more than 308.
DEADLINE_DIGITS_MAX: Final = 12
# Host names and paths without a route are cut to this, as callers choose their length.
LOGGED_CHARACTERS_MAX: Final = 100
# Only a new configuration can make such a request routable.
NO_REGION_SECONDS: Final = 5.0


class Call(NamedTuple):
    """A parsed request; times are monotonic seconds.

    ``key`` is the affinity key, for routes with affinity. ``account`` is None for a
    caller that needs no account and has sent no valid key. ``relayed`` tells whether
    another host passed the request on.
    """

    request_id: str
    route: Route
    service: str
    key: str | None
    target: str
    arrived_at: float
    ends_at: float
    account: Account | None = None
    home_regions: frozenset[str] = frozenset()
    relayed: bool = False

    @property
    def rank(self) -> int:
        """Return the priority under overload, 0 first; the account's rank wins."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank


def match_route(
    table: RouteTable, request: web.BaseRequest, is_current: Callable[[], bool]
) -> Route:
    """Return the route of a request, or raise Refusal.

    A host whose configuration may be outdated answers 503 instead of 404: the route
    may be new, and callers try another host after a 503 but don't retry a 404.
    """
    route = find_route(table, request.host, request.rel_url.raw_path)
    if route is not None:
        return route
    reason = f"no route matches in configuration {table.version}"
    inputs = {
        "authority": request.host[:LOGGED_CHARACTERS_MAX],
        "path": request.rel_url.raw_path[:LOGGED_CHARACTERS_MAX],
    }
    if not is_current():
        reason += ", which may be outdated"
        retry_after = OUTDATED_VIEW_RETRY_SECONDS
        raise Refusal(ErrorKind.NOT_READY, 503, reason, retry_after, inputs)
    raise Refusal(ErrorKind.UNKNOWN_SERVICE, 404, reason, inputs=inputs)


def create_call(
    request: web.BaseRequest,
    names: HeaderNames,
    route: Route,
    service: str,
    arrived_at: float,
    account: Account | None = None,
) -> Call:
    """Return the call that a request makes on a route."""
    key = read_cookie(request, names.affinity_cookie) if route.affinity else None
    if key is not None:
        key = f"{route.prefix}\0{key}"
    seconds = _deadline_seconds(request.headers.get(names.deadline_ms))
    ends_at = arrived_at + seconds - ANSWER_MARGIN_SECONDS
    if route.timeout_seconds is not None:
        ends_at = min(ends_at, arrived_at + route.timeout_seconds)
    return Call(
        request_id=request.headers[names.request_id],
        route=route,
        service=service,
        key=key,
        target=request.rel_url.raw_path_qs,
        arrived_at=arrived_at,
        ends_at=ends_at,
        account=account,
        home_regions=home_regions(route, account),
    )


def home_regions(route: Route, account: Account | None) -> frozenset[str]:
    """Return the regions a request must stay in; empty if unrestricted.

    Raise Refusal if the route and the account allow no common region.
    """
    if account is None or not account.home_regions:
        return route.home_regions
    if not route.home_regions:
        return account.home_regions
    both = route.home_regions & account.home_regions
    if not both:
        reason = "the route and the account have no region in common"
        raise Refusal(ErrorKind.NO_BACKEND_SERVER, 503, reason, NO_REGION_SECONDS)
    return both


def read_cookie(request: web.BaseRequest, name: str) -> str | None:
    """Return a cookie's value without parsing all cookies, or None."""
    for header in request.headers.getall("Cookie", ()):
        for part in header.split(";"):
            key, _, value = part.strip().partition("=")
            if key == name:
                return value
    return None


def _deadline_seconds(text: str | None) -> float:
    """Return the caller's deadline in seconds, or the default if it is invalid."""
    if text is None or len(text) > DEADLINE_DIGITS_MAX:
        return DEADLINE_DEFAULT_SECONDS
    # Without isascii(), isdigit() is true for superscripts, which int() refuses.
    if not text.isascii() or not text.isdigit():
        return DEADLINE_DEFAULT_SECONDS
    return int(text) / 1000
