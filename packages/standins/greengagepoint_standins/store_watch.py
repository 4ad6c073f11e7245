"""Stream changes of the stand-in store to those who watch."""

import asyncio

import msgspec
from aiohttp import web

from greengagepoint_standins import store_messages as messages
from greengagepoint_standins import store_operations as operations
from greengagepoint_standins.server import GARBAGE, async_hang
from greengagepoint_standins.store_control import StoreControl
from greengagepoint_standins.store_state import FROM_KEY_ON, Entry, StoreState


class Watches:
    """Hold all open watches."""

    def __init__(self, state: StoreState, control: StoreControl) -> None:
        self.state = state
        self.control = control
        self.transports: set[asyncio.Transport] = set()

    def cut(self) -> None:
        """Reset all connections that carry a watch."""
        for transport in list(self.transports):
            transport.abort()

    async def async_stream(
        self, request: web.Request, wanted: messages.WatchCreateRequest, garbage: bool
    ) -> web.StreamResponse:
        """Answer one watch until its connection closes."""
        response = web.StreamResponse()
        response.content_type = "application/json"
        response.enable_chunked_encoding()
        await response.prepare(request)
        if garbage:
            await response.write(GARBAGE + b"\n")
            return response
        transport = request.transport
        self.transports.add(transport)
        queue: asyncio.Queue[list[Entry]] = asyncio.Queue()
        unsubscribe = self.state.listen(queue.put_nowait)
        try:
            await self.async_send_changes(response, wanted, queue)
        finally:
            unsubscribe()
            self.transports.discard(transport)
        return response

    async def async_send_changes(
        self,
        response: web.StreamResponse,
        wanted: messages.WatchCreateRequest,
        queue: asyncio.Queue[list[Entry]],
    ) -> None:
        """Send what has happened since the wanted revision, then what happens."""
        start = wanted.start_revision
        message = messages.WatchResponse(header=operations.header(self.state))
        if start and start < self.state.compacted:
            message.canceled = True
            message.compact_revision = messages.number(self.state.compacted)
            await async_send(response, message)
            return
        # Taken before the first wait: later changes come through the queue.
        past = list(self.state.changes_from(start)) if start else []
        message.created = True
        await async_send(response, message)
        await self.async_send_events(response, wanted, past)
        while True:
            await self.async_send_events(response, wanted, await queue.get())

    async def async_send_events(
        self,
        response: web.StreamResponse,
        wanted: messages.WatchCreateRequest,
        changes: list[Entry],
    ) -> None:
        """Send those of the changes that are watched."""
        events = [to_event(change) for change in changes if is_watched(wanted, change)]
        if not events:
            return
        if self.control.slow_ms > 0:
            await asyncio.sleep(self.control.slow_ms / 1000)
        await async_hang(self.control)
        head = messages.Header(revision=messages.number(changes[-1].mod_revision))
        await async_send(response, messages.WatchResponse(header=head, events=events))


def to_event(change: Entry) -> messages.WatchEvent:
    """Build the message for one change."""
    kind = "PUT" if change.version else "DELETE"
    return messages.WatchEvent(type=kind, kv=operations.to_key_value(change))


def is_watched(wanted: messages.WatchCreateRequest, change: Entry) -> bool:
    """Tell whether a watch covers a change."""
    if change.mod_revision < wanted.start_revision:
        return False
    if not wanted.range_end:
        return change.key == wanted.key
    if wanted.range_end == FROM_KEY_ON:
        return wanted.key <= change.key
    return wanted.key <= change.key < wanted.range_end


async def async_send(
    response: web.StreamResponse, message: messages.WatchResponse
) -> None:
    """Send one line of a stream."""
    line = msgspec.json.encode(messages.Streamed(result=message))
    await response.write(line + b"\n")
