"""Tell a handler that was cancelled from a caller that left."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class HandlerCancelledError(Exception):
    """Tell that a handler was cancelled whose caller still waits."""


def contain_cancellation(handler: Handler) -> Handler:
    """Return a handler that fails if it is cancelled while its caller waits.

    The HTTP library takes any cancellation for a caller that left, and closes the
    connection with all requests on it.
    """

    async def async_handle(request: web.BaseRequest) -> web.StreamResponse:
        """Call the handler."""
        try:
            return await handler(request)
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            raise HandlerCancelledError("The handler was cancelled") from error

    return async_handle
