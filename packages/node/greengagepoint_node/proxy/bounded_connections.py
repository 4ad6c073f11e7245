"""Client connections that bound what a server sends beside the bodies of answers."""

import asyncio
from functools import partial
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from greengagepoint.overload.framing import excess_overhead

# Heads with all interim answers, empty lines, trailers and the framing of chunks.
OVERHEAD_BYTES_MAX: Final = 128 * 1024
# A page of the store or a message of a peer has some megabytes at most.
TRANSFER_BYTES_MAX: Final = 16 * 1024 * 1024


class AnswerOverheadError(aiohttp.ClientError):
    """Tell that a server sent too much beside the body of its answer."""


class AnswerTooLongError(aiohttp.ClientError):
    """Tell that the body of an answer is longer than its connection allows."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that fails once a server sends too much beside a body.

    The parser bounds lines and the headers of one answer, but reads interim answers,
    empty lines and extensions of chunks without end. ``body_bytes_max`` bounds each
    body as well, if it is set.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, body_bytes_max: int | None = None
    ) -> None:
        super().__init__(loop)
        self.received = 0
        self.body_bytes_max = body_bytes_max

    def set_response_params(self, **params: Any) -> None:
        """Begin an exchange."""
        self.received = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse bytes, and fail the exchange if too few of them belong to a body."""
        self.received += len(data)
        super().data_received(data)
        if self.received <= OVERHEAD_BYTES_MAX:
            return
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        if self.body_bytes_max is not None and body_bytes > self.body_bytes_max:
            self.fail(AnswerTooLongError(f"a body of {body_bytes} bytes and more"))
            return
        # A paused connection has received bytes of the body that are not parsed yet.
        if self._reading_paused:
            return
        overhead = excess_overhead(self.received, body_bytes, OVERHEAD_BYTES_MAX)
        if overhead is not None:
            self.fail(AnswerOverheadError(f"{overhead} bytes beside the body"))

    def fail(self, error: aiohttp.ClientError) -> None:
        """Close the connection and raise the error at the reader of the answer."""
        if self.transport is not None:
            self.transport.close()
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)


class BoundedConnector(aiohttp.TCPConnector):
    """Open connections that bound what a server sends beside bodies, and bodies."""

    def __init__(self, *, body_bytes_max: int | None = None, **options: Any) -> None:
        super().__init__(**options)
        self._factory = partial(
            BoundedResponseHandler, self._loop, body_bytes_max=body_bytes_max
        )
