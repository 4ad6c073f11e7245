"""Speak to the operators' API of entry hosts."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import Any, Generic, NamedTuple, TypeVar

import aiohttp
import msgspec

from greengagepoint.errors import ErrorKind
from greengagepoint.operator_api import ApplyAnswer, PruneAnswer, WantedChanges
from greengagepoint_cli.const import (
    ANSWER_TIMEOUT_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    MAX_ANSWER_BYTES,
    ExitCode,
)
from greengagepoint_cli.errors import ClientError, ProblemError, UnreachableError
from greengagepoint_cli.options import operator_key, server_list

T = TypeVar("T")

NOT_READY_PAUSES_SECONDS = (0.25, 0.5, 1.0, 2.0)

# Another host may well do what this one cannot do now.
KINDS_TO_TRY_ELSEWHERE = frozenset(
    {
        ErrorKind.NOT_READY,
        ErrorKind.HOST_LEAVING,
        ErrorKind.STORE_UNAVAILABLE,
        ErrorKind.STORE_OUTCOME_UNKNOWN,
    }
)


class Call(NamedTuple, Generic[T]):
    """One call; ``answer`` is the type that its answer must have."""

    method: str
    path: str
    answer: type[T]
    params: Mapping[str, str] | None = None
    body: Mapping[str, Any] | None = None


class Api:
    """Call the first server that answers."""

    def __init__(
        self, session: aiohttp.ClientSession, servers: Iterable[str], key: str | None
    ) -> None:
        self.session = session
        self.servers = tuple(server.rstrip("/") for server in servers)
        self.headers = {"Authorization": f"Bearer {key}"} if key else {}

    async def async_get(
        self, path: str, answer: type[T], params: Mapping[str, str] | None = None
    ) -> T:
        """Read from the first server that answers."""
        return await self._async_try_each(Call("GET", path, answer, params))

    async def async_prune_usage(self, before: str) -> PruneAnswer:
        """Delete usage of days before a day; doing so twice does no harm."""
        call = Call("POST", "/v1/usage/prune", PruneAnswer, {"before": before})
        return await self._async_try_each(call)

    async def async_apply(self, wanted: WantedChanges) -> ApplyAnswer:
        """Write changes; a write whose answer was lost is repeated at the next server.

        The body carries a write id, and a host that meets it again answers with the
        generation that it made, so the repetition cannot apply the changes twice.
        """
        assert wanted.write_id
        body = msgspec.to_builtins(wanted)
        call = Call("POST", "/v1/records/apply", ApplyAnswer, body=body)
        # A host that has just started refuses to write until a peer has told it its
        # configuration, which takes a moment; the operator need not ask again.
        for seconds in NOT_READY_PAUSES_SECONDS:
            try:
                return await self._async_try_each(call)
            except ProblemError as error:
                if error.kind is not ErrorKind.NOT_READY:
                    raise
            await asyncio.sleep(seconds)
        return await self._async_try_each(call)

    async def async_call(self, server: str, call: Call[T]) -> T:
        """Call one server; raise ProblemError for a problem answer."""
        async with self.session.request(
            call.method,
            server + call.path,
            params=call.params,
            json=call.body,
            headers=self.headers,
        ) as response:
            # One read call returns what has arrived, so read to the end or the bound.
            data = bytearray()
            async for part in response.content.iter_chunked(65_536):
                data += part
                if len(data) > MAX_ANSWER_BYTES:
                    raise aiohttp.ClientPayloadError("the answer is too large")
            document = _decode(bytes(data))
            if response.status != 200:
                raise ProblemError(document or {}, response.status)
            return _checked(document, call.answer)

    async def _async_try_each(self, call: Call[T]) -> T:
        """Call servers in order until one answers with more than an outage."""
        attempts: list[str] = []
        problem: ProblemError | None = None
        maybe_written = False
        # A write that may have been made is worth a second round: it settles what
        # the operator would otherwise have to find out by hand.
        for server in (*self.servers, *(self.servers if call.body else ())):
            if len(attempts) >= len(self.servers) and not maybe_written:
                break
            try:
                return await self.async_call(server, call)
            except ProblemError as error:
                if error.kind not in KINDS_TO_TRY_ELSEWHERE:
                    raise
                problem = problem or error
                maybe_written |= error.kind is ErrorKind.STORE_OUTCOME_UNKNOWN
                attempts.append(f"  {server}: {error.lines[0]}")
            except (aiohttp.ClientError, TimeoutError) as error:
                maybe_written |= not isinstance(error, aiohttp.ClientConnectorError)
                attempts.append(f"  {server}: {describe_failure(error)}")
        if call.body and maybe_written:
            raise ClientError(
                ExitCode.OUTCOME_UNKNOWN,
                "the change may have taken effect; to find out, repeat it with "
                f"--write-id {call.body['write_id']}: it is applied once at most",
                *attempts,
            )
        raise problem or UnreachableError(attempts)


@asynccontextmanager
async def open_api(servers: Iterable[str], key: str | None) -> AsyncIterator[Api]:
    """Open a session with the servers."""
    timeout = aiohttp.ClientTimeout(
        total=ANSWER_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
    )
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield Api(session, servers, key)


def run_call(servers: list[str] | None, call: Callable[[Api], Awaitable[T]]) -> T:
    """Run one command's calls to the servers that its options name."""

    async def async_run() -> T:
        async with open_api(server_list(servers), operator_key()) as api:
            return await call(api)

    return asyncio.run(async_run())


def _decode(data: bytes) -> dict[str, Any] | None:
    """Return a JSON object, or None for anything else."""
    try:
        document = json.loads(data)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def _checked(document: dict[str, Any] | None, answer: type[T]) -> T:
    """Return a document that has the members of its type, and any others."""
    if document is None:
        raise aiohttp.ClientPayloadError("the answer is not a JSON object")
    try:
        msgspec.convert(document, answer)
    except msgspec.ValidationError as error:
        raise aiohttp.ClientPayloadError(
            f"the answer is not understood: {error}"
        ) from error
    return document


def describe_failure(error: Exception) -> str:
    """Return one line on a failed call."""
    if isinstance(error, TimeoutError):
        return "no answer in time"
    return " ".join(str(error).split()) or type(error).__name__
