"""Look-ups: which entry hosts a caller should use."""

from collections.abc import Callable

from aiohttp import web

from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint_node.http.server import Handler

LookupAnswer = Callable[[str, str], bytes | None]


def create_lookup_handler(answer: LookupAnswer) -> Handler:
    """Return the handler of ``GET /v1/hosts``.

    ``answer`` maps (service, caller address) to the JSON bytes of the answer, or None
    for a service that no record names.
    """

    async def async_lookup(request: web.BaseRequest) -> web.StreamResponse:
        """Answer with an ordered, weighted list of entry hosts."""
        query = request.rel_url.query
        service = query.get("service")
        if not service:
            raise RequestError("The query must name a service")
        body = answer(service, query.get("address") or request.remote or "")
        if body is None:
            raise RequestError(
                f"No record names the service {service[:100]}",
                ErrorKind.UNKNOWN_SERVICE,
            )
        return web.Response(body=body, content_type="application/json")

    return async_lookup
