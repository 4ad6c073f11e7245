"""The look-up route, which returns the entry hosts that a caller should use."""

from collections.abc import Callable

from aiohttp import web

from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint_node.http.server import Handler

LookupAnswer = Callable[[str, str], bytes | None]


def create_lookup_handler(answer: LookupAnswer) -> Handler:
    """Return the handler of ``GET /v1/hosts``.

    ``answer`` maps a service and a caller address to the JSON body of the answer, or
    to None if there is no record of the service.
    """

    async def async_lookup(request: web.BaseRequest) -> web.StreamResponse:
        """Respond with an ordered, weighted list of entry hosts."""
        query = request.rel_url.query
        service = query.get("service")
        if not service:
            raise RequestError("The query parameter 'service' is required")
        body = answer(service, query.get("address") or request.remote or "")
        if body is None:
            raise RequestError(
                f"No record names the service {service[:100]}",
                ErrorKind.UNKNOWN_SERVICE,
            )
        return web.Response(body=body, content_type="application/json")

    return async_lookup
