"""Read the store's answers and turn failures into typed errors."""

from typing import Final

import aiohttp
import msgspec
from aiohttp.http_exceptions import LineTooLong

from greengagepoint.errors import ErrorKind, Ran, StoreError, StoreOutcomeUnknownError
from greengagepoint_node import store_messages as messages

MAX_REFUSAL_BYTES: Final = 64 * 1024
MAX_DETAIL_BYTES: Final = 200
# gRPC codes with which the service tells that it refused a call before it acted:
# invalid argument, not found, permission denied, resource exhausted, failed
# precondition, out of range, unimplemented, unauthenticated. With any other code
# (unavailable, deadline exceeded, internal) a write may still take effect.
REFUSED_CODES: Final = frozenset({3, 5, 7, 8, 9, 11, 12, 16})
DECODE_ERRORS: Final = (msgspec.DecodeError, UnicodeDecodeError)
# What aiohttp raises for a line over the limit is no ClientError; which of the two
# it is depends on its version.
LINE_ERRORS: Final = (LineTooLong, ValueError)


async def read_created(
    response: aiohttp.ClientResponse, revision: int
) -> messages.WatchResponse:
    """Read a watch's first message; refuse a store that lacks what was seen."""
    if response.status != 200:
        body = await response.content.read(MAX_REFUSAL_BYTES)
        raise refused(response.status, body, write=False)
    created = await read_message(response)
    # A store restored from a backup waits silently for a revision that it had
    # before, and meanwhile gives other changes its numbers. Its own revision in
    # the first message shows it before any of them is taken in.
    if created.header.revision < revision - 1:
        raise StoreError(
            f"the store is at revision {created.header.revision}, before {revision}",
            ErrorKind.STORE_REVERTED,
        )
    return created


async def read_message(response: aiohttp.ClientResponse) -> messages.WatchResponse:
    """Read one message of a watch."""
    try:
        line = await response.content.readline()
    except LINE_ERRORS as error:
        raise invalid_answer(str(error), write=False) from error
    if not line.endswith(b"\n"):
        raise StoreError("the store ended the watch")
    try:
        message = msgspec.json.decode(line, type=messages.WatchStreamed, strict=False)
    except DECODE_ERRORS as error:
        raise invalid_answer(str(error), write=False) from error
    if message.result is None or message.result.canceled:
        raise StoreError(f"the store ended the watch: {line[:MAX_DETAIL_BYTES]!r}")
    return message.result


def call_failed(detail: str, write: bool) -> StoreError:
    """Build the error for a call that was sent and not answered."""
    return StoreOutcomeUnknownError(detail) if write else StoreError(detail)


def invalid_answer(detail: str, write: bool) -> StoreError:
    """Build the error for an answer that does not decode."""
    if write:
        return StoreOutcomeUnknownError(
            detail, ErrorKind.STORE_ANSWER_INVALID, ran=Ran.UNKNOWN
        )
    return StoreError(detail, ErrorKind.STORE_ANSWER_INVALID)


def refused(status: int, body: bytes, write: bool) -> StoreError:
    """Build the error for an answer other than 200.

    A write has not happened only if the service gives one of the codes with which
    it refuses before acting; a bare status may come from anything on the way.
    """
    try:
        refusal = msgspec.json.decode(body, type=messages.Refusal)
    except DECODE_ERRORS:
        return invalid_answer(f"status {status} without a gRPC code", write)
    detail = f"status {status}, code {refusal.code}: {refusal.error}"
    if refusal.code in REFUSED_CODES:
        return StoreError(detail)
    return call_failed(detail, write)
