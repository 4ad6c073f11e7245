"""One caller's request, as far as its headers tell."""

from collections.abc import Callable
from typing import Final, NamedTuple

from aiohttp import web

from greengagepoint.accounts.tables import Account
from greengagepoint.errors import ErrorKind
from greengagepoint.routing.tables import Route, RouteTable, find_route
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.refusals import OLD_NEWS_RETRY_SECONDS, Refusal

# A caller's clock started 3 ms before the request came, and the answer needs as long.
ANSWER_MARGIN_SECONDS: Final = 0.01
DEADLINE_DEFAULT_SECONDS: Final = 10.0
# Of a name or path that no route knows; callers choose how long they are.
LOGGED_CHARACTERS_MAX: Final = 100
# Only another configuration can give such a request a place.
NO_REGION_SECONDS: Final = 5.0


class Call(NamedTuple):
    """One caller's request; times are monotonic seconds.

    ``key`` names the object that the request concerns, for routes with affinity.
    ``account`` is None for a caller that needs none, and has not shown one.
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

    @property
    def rank(self) -> int:
        """Return the order under overload, 0 first; an account's goes first."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank


def match_route(
    table: RouteTable, request: web.BaseRequest, is_current: Callable[[], bool]
) -> Route:
    """Return the route of a request, or raise Refusal.

    A host whose news is old can't tell a wrong request from a route that it has yet to
    hear of. Callers do not send a 404 again; after a 503 they try another host.
    """
    route = find_route(table, request.host, request.rel_url.raw_path)
    if route is not None:
        return route
    reason = f"no route, configuration {table.version}"
    inputs = {
        "authority": request.host[:LOGGED_CHARACTERS_MAX],
        "path": request.rel_url.raw_path[:LOGGED_CHARACTERS_MAX],
    }
    if not is_current():
        reason += ", which may be old"
        retry_after = OLD_NEWS_RETRY_SECONDS
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
    """Return where a request has to stay; raise Refusal where no region is left."""
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
    """Return a cookie's value, read without building all cookies."""
    for header in request.headers.getall("Cookie", ()):
        for part in header.split(";"):
            key, _, value = part.strip().partition("=")
            if key == name:
                return value
    return None


def _deadline_seconds(text: str | None) -> float:
    """Return how long the caller waits."""
    if text is None or not text.isdigit():
        return DEADLINE_DEFAULT_SECONDS
    return int(text) / 1000
