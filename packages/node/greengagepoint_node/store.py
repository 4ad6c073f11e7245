"""Reach the platform's key-value service over etcd v3's JSON gateway."""

import asyncio
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator, Sequence
from contextlib import AsyncExitStack, aclosing
from typing import Final, TypeVar

import aiohttp
import msgspec

from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint.protocols import StoreSnapshot, StoreValue
from greengagepoint_node import store_messages as messages
from greengagepoint_node.bodies import BodyTooLargeError, read_bounded
from greengagepoint_node.store_answers import (
    DECODE_ERRORS,
    call_failed,
    invalid_answer,
    read_created,
    read_message,
    refused,
)
from greengagepoint_node.store_calls import StoreCalls, counting
from greengagepoint_node.store_keys import KeySpace

MAX_ANSWER_BYTES: Final = 32 * 1024 * 1024
MAX_LINE_BYTES: Final = 4 * 1024 * 1024
WATCH_IDLE_SECONDS: Final = 60.0
WATCH_PATH: Final = "/v3/watch"
CONNECT_ERRORS: Final = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CALL_ERRORS: Final = (aiohttp.ClientError, TimeoutError, OSError)

AnswerT = TypeVar("AnswerT")


class EtcdStore:
    """Implement ``ConfigStore`` over the published JSON gateway.

    A call is sent to another address only if it reached none before: only the
    caller knows whether a write that may have happened can be repeated.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        session: aiohttp.ClientSession,
        keys: KeySpace,
        timeout_seconds: float,
        watch_idle_seconds: float,
    ) -> None:
        self.addresses = [
            address if "://" in address else f"http://{address}"
            for address in addresses
        ]
        self.session = session
        self.keys = keys
        self.timeout_seconds = timeout_seconds
        self.watch_idle_seconds = watch_idle_seconds
        self.timeout = aiohttp.ClientTimeout(
            total=timeout_seconds, connect=timeout_seconds / 2
        )
        self.calls: StoreCalls = Counter()

    async def read(self, key: str) -> StoreValue | None:
        """Return one key, or None when it is absent."""
        request = messages.RangeRequest(key=self.keys.encode(key))
        answer = await self.call(
            "/v3/kv/range", request, messages.RangeResponse, write=False
        )
        return self.keys.decode(answer.kvs[0]) if answer.kvs else None

    async def read_prefix(
        self, prefix: str, *, from_key: str | None = None, limit: int = 0
    ) -> StoreSnapshot:
        """Return keys under a prefix in order, from ``from_key`` on."""
        first, end = self.keys.range(prefix, from_key)
        request = messages.RangeRequest(key=first, range_end=end, limit=limit)
        answer = await self.call(
            "/v3/kv/range", request, messages.RangeResponse, write=False
        )
        values = tuple(self.keys.decode(found) for found in answer.kvs)
        return StoreSnapshot(values, answer.header.revision)

    async def create(
        self, items: Sequence[tuple[str, bytes]], *, lease: int = 0
    ) -> tuple[bool, ...]:
        """Create each key that is absent; tell for each if it was made.

        A key that stands twice in ``items`` is created by the first of them. Items
        over the service's limits for one call take several.
        """
        wanted: dict[str, bytes] = {}
        for key, value in items:
            wanted.setdefault(key, value)
        keys = tuple(wanted)
        operations = [
            messages.nested(
                messages.absent(self.keys.encode(key)),
                messages.put(self.keys.encode(key), wanted[key], lease),
            )
            for key in keys
        ]
        made = dict(zip(keys, await self.run_each(operations), strict=True))
        return tuple(made.pop(key, False) for key, _ in items)

    async def create_next(self, key: str, value: bytes, *, after: str | None) -> bool:
        """Create a key only if it is absent and the key ``after`` is present."""
        name = self.keys.encode(key)
        compares = [messages.absent(name)]
        if after is not None:
            compares.append(messages.present(self.keys.encode(after)))
        txn = messages.TxnRequest(compare=compares, success=[messages.put(name, value)])
        return (await self.run_txn(txn)).succeeded

    async def replace(self, key: str, value: bytes, *, revision: int) -> bool:
        """Write a key only if its revision is unchanged (0: absent)."""
        name = self.keys.encode(key)
        txn = messages.TxnRequest(
            compare=[messages.unchanged(name, revision)],
            success=[messages.put(name, value)],
        )
        return (await self.run_txn(txn)).succeeded

    async def delete(self, items: Sequence[tuple[str, int]]) -> tuple[bool, ...]:
        """Delete each key whose revision is unchanged; tell for each if it was."""
        operations = [
            messages.nested(messages.unchanged(name, revision), messages.delete(name))
            for name, revision in (
                (self.keys.encode(key), revision) for key, revision in items
            )
        ]
        return await self.run_each(operations)

    async def run_each(
        self, operations: Sequence[messages.RequestOperation]
    ) -> tuple[bool, ...]:
        """Run nested transactions; tell for each whether it succeeded."""
        done: list[bool] = []
        for part in messages.batches(operations):
            try:
                answer = await self.run_txn(messages.TxnRequest(success=part))
            except StoreError as error:
                # Earlier parts are written: "did not happen" would be untrue of
                # the whole, and the caller would release what it holds.
                if any(done):
                    raise StoreOutcomeUnknownError(error.detail) from error
                raise
            nested = [found.response_txn for found in answer.responses]
            if len(nested) != len(part) or None in nested:
                raise invalid_answer("a transaction's answer lacks parts", write=True)
            done += [found.succeeded for found in nested]
        return tuple(done)

    async def run_txn(self, txn: messages.TxnRequest) -> messages.TxnResponse:
        """Run one transaction."""
        return await self.call("/v3/kv/txn", txn, messages.TxnResponse, write=True)

    async def grant_lease(self, seconds: int) -> int:
        """Return the id of a new lease."""
        request = messages.LeaseGrantRequest(ttl=seconds)
        answer = await self.call(
            "/v3/lease/grant", request, messages.LeaseResponse, write=True
        )
        return answer.id

    async def keep_lease(self, lease: int) -> bool:
        """Extend a lease; tell whether it still existed."""
        request = messages.LeaseRequest(id=lease)
        answer = await self.call(
            "/v3/lease/keepalive", request, messages.LeaseStreamed, write=False
        )
        return answer.result.ttl > 0

    async def call(
        self,
        path: str,
        request: msgspec.Struct,
        answer_type: type[AnswerT],
        *,
        write: bool,
    ) -> AnswerT:
        """Send one call, count it and decode its whole answer."""
        with counting(self.calls, path):
            return await self.call_uncounted(path, request, answer_type, write=write)

    async def call_uncounted(
        self,
        path: str,
        request: msgspec.Struct,
        answer_type: type[AnswerT],
        *,
        write: bool,
    ) -> AnswerT:
        """Send one call and decode its whole answer."""
        status, body = await self.exchange(path, msgspec.json.encode(request), write)
        if status != 200:
            raise refused(status, body, write)
        try:
            return msgspec.json.decode(body, type=answer_type, strict=False)
        except DECODE_ERRORS as error:
            raise invalid_answer(str(error), write) from error

    async def exchange(self, path: str, data: bytes, write: bool) -> tuple[int, bytes]:
        """Return status and body from the first address that can be reached."""
        unreached = ""
        for _ in self.addresses:
            try:
                async with self.session.post(
                    self.addresses[0] + path,
                    data=data,
                    headers=messages.HEADERS,
                    timeout=self.timeout,
                    allow_redirects=False,
                ) as response:
                    body = await read_bounded(response, MAX_ANSWER_BYTES)
                    return response.status, body
            except CONNECT_ERRORS as error:
                self.prefer_another_address()
                unreached = str(error)
            except BodyTooLargeError as error:
                raise invalid_answer(str(error), write) from error
            except CALL_ERRORS as error:
                self.prefer_another_address()
                detail = f"no answer from the store: {error!r}"
                raise call_failed(detail, write) from error
        raise StoreError(f"no connection to the store: {unreached}")

    def prefer_another_address(self) -> None:
        """Let the next call go to the address that failed longest ago."""
        self.addresses.append(self.addresses.pop(0))

    async def watch(self, prefix: str, *, revision: int) -> AsyncIterator[StoreValue]:
        """Yield keys written under a prefix from a revision on, until it fails.

        Deletions are not told. Raises ``StoreError`` with kind ``STORE_REVERTED``
        when the store's revision is lower than the one asked for.
        """
        following = revision
        while True:
            # A connection whose other end is gone without a word stays silent for
            # ever, as does a store without changes. Asking again after a quiet
            # while tells the two apart: a dead store fails the new call.
            async with aclosing(self.watch_until_idle(prefix, following)) as stream:
                async for message in stream:
                    if message.created and following == 0:
                        following = message.header.revision + 1
                    for event in message.events:
                        if event.type == "PUT":
                            yield self.keys.decode(event.kv)
                        following = max(following, event.kv.mod_revision + 1)

    async def watch_until_idle(
        self, prefix: str, revision: int
    ) -> AsyncGenerator[messages.WatchResponse, None]:
        """Yield the messages of one watch call until it has been quiet for long."""
        try:
            async with AsyncExitStack() as stack:
                with counting(self.calls, WATCH_PATH):
                    response = await self.open_watch(prefix, revision)
                    await stack.enter_async_context(response)
                    async with asyncio.timeout(self.timeout_seconds):
                        created = await read_created(response, revision)
                yield created
                while True:
                    try:
                        async with asyncio.timeout(self.watch_idle_seconds):
                            message = await read_message(response)
                    except TimeoutError:
                        return
                    yield message
        except CALL_ERRORS as error:
            self.prefer_another_address()
            raise StoreError(f"the watch broke: {error!r}") from error

    async def open_watch(self, prefix: str, revision: int) -> aiohttp.ClientResponse:
        """Send a watch call and return its answer's head."""
        first, end = self.keys.range(prefix)
        create = messages.WatchCreateRequest(
            key=first, range_end=end, start_revision=revision
        )
        # The stream itself has no end, so the session's timeouts can't bound it.
        async with asyncio.timeout(self.timeout_seconds):
            return await self.session.post(
                self.addresses[0] + WATCH_PATH,
                data=msgspec.json.encode(messages.WatchRequest(create_request=create)),
                headers=messages.HEADERS,
                timeout=aiohttp.ClientTimeout(total=None),
                allow_redirects=False,
                read_bufsize=MAX_LINE_BYTES,
            )


def create_store(
    address: str | Sequence[str],
    session: aiohttp.ClientSession,
    *,
    timeout_seconds: float,
    prefix: str = "",
    watch_idle_seconds: float = WATCH_IDLE_SECONDS,
) -> EtcdStore:
    """Return a store at one or several of host:port or URLs.

    All keys are kept under ``prefix``. The session is the caller's to close; each
    watch holds one of its connections.
    """
    addresses = [address] if isinstance(address, str) else address
    keys = KeySpace(prefix)
    return EtcdStore(addresses, session, keys, timeout_seconds, watch_idle_seconds)
