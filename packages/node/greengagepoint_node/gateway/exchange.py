"""Make one attempt: send a request to a server, then read and check its answer."""

import asyncio
from collections.abc import Awaitable, Callable, Hashable
from enum import StrEnum
from functools import partial
from typing import Final, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from greengagepoint.delivery.answer_heads import HeadFault, find_head_fault
from greengagepoint.delivery.answer_proofs import (
    AnswerHead,
    Echo,
    Proof,
    assess_answer,
    compare_ids,
)
from greengagepoint.overload.held_bytes import DropReason
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.send_times import SendTimes
from greengagepoint_node.proxy.answer_bodies import AnswerDroppedError, HeldBody
from greengagepoint_node.proxy.bounded_connections import AnswerOverheadError
from greengagepoint_node.proxy.piecewise_body import create_payload
from greengagepoint_node.proxy.relay import is_framed
from greengagepoint_node.proxy.sessions import (
    BackendRequest,
    BackendSessions,
    LapsedError,
    SendOnce,
    SpoiltConnectionError,
    close_connection,
)

# Longest body that is buffered whole before the caller gets any of it. Longer bodies
# that break off are truncated in a way that the caller can see.
WHOLE_BODY_BYTES: Final = 2 * 1024 * 1024
# A backend server can't finish any request in less time.
SECONDS_LEFT_MIN: Final = 0.02


class Verdict(StrEnum):
    """Outcome of an attempt, as far as it matters for the request."""

    ANSWERED = "answered"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    OTHER_SERVER = "other_server"
    BROKEN = "broken"
    NOT_HELD = "not_held"
    FOREIGN = "foreign"
    TIMED_OUT = "timed_out"
    LAPSED = "lapsed"
    LEFT = "left"
    RESTING = "resting"
    OLD_NEWS = "old_news"
    HOST_LEAVING = "host_leaving"


NOT_RUN: Final = frozenset(
    {
        Verdict.SHED,
        Verdict.UNREACHABLE,
        Verdict.OTHER_SERVER,
        Verdict.LAPSED,
        Verdict.LEFT,
        Verdict.RESTING,
        Verdict.OLD_NEWS,
        Verdict.HOST_LEAVING,
    }
)


class Exchange(NamedTuple):
    """Result of one attempt; the answer's fields are set if it can be relayed.

    ``fault`` is what keeps an answer's head from being passed on.
    ``unproved`` is the head of an answer that said "not run" without proof.
    ``held`` are the bytes of the body, to be given back once they are written.
    """

    verdict: Verdict
    detail: str = ""
    status: int = 0
    reason: str | None = None
    headers: CIMultiDict[str] | None = None
    body: bytes = b""
    load: str | None = None
    fault: HeadFault | None = None
    unproved: AnswerHead | None = None
    held: HeldBody | None = None


class TimeLeft(NamedTuple):
    """Deadline of a request in monotonic seconds of ``clock``.

    ``header`` is the header that passes the remaining milliseconds to a server.
    """

    header: str
    clock: Clock
    ends_at: float

    def seconds(self) -> float:
        """Return the remaining seconds."""
        return self.ends_at - self.clock.monotonic()


class OutgoingRequest:
    """A request for one server, with the attempt's timeout in ``seconds``.

    ``check_before_send`` returns the result of an attempt that must not be sent any
    more, or None. ``unsent_result`` holds that result. ``read_signals`` is called with
    the status and headers of the server's answer before its body is read.
    ``connected_at`` is when a connection was begun for it, None on a kept one, and
    ``used`` the connection of its answer. ``held`` are the bytes of its answer.
    """

    def __init__(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes | None,
        request_id: str,
        seconds: float,
        time_left: TimeLeft,
        times: SendTimes,
        check_before_send: Callable[[], Exchange | None],
        read_signals: Callable[[int, CIMultiDictProxy[str]], None],
        *,
        repeatable: bool = False,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.seconds = seconds
        self.time_left = time_left
        self.times = times
        self.check_before_send = check_before_send
        self.read_signals = read_signals
        self.repeatable = repeatable
        self.unsent_result: Exchange | None = None
        self.limit: asyncio.Timeout | None = None
        self.connected_at: float | None = None
        self.used: ResponseHandler | None = None
        self.successor: Server | None = None
        self.held: HeldBody | None = None
        self.is_given_up = False

    def prepare_to_send(self) -> bool:
        """Write the remaining time into the headers; return False if not to be sent.

        On a saturated link, connecting takes up to its timeout of 0.6 s. If the server
        starts to leave or its zone is evacuated in the meantime, the request would
        arrive too late and be lost when the server exits.
        """
        left = self.time_left.seconds()
        if left < SECONDS_LEFT_MIN:
            self.unsent_result = Exchange(Verdict.LAPSED, "no time was left to send")
        else:
            self.unsent_result = self.check_before_send()
        if self.unsent_result is not None:
            return False
        self.headers[self.time_left.header] = str(int(left * 1000))
        self.times.mark_sent()
        return True

    @property
    def is_sent(self) -> bool:
        """Return True if a server may have received any part of it."""
        return self.times.sent_at is not None

    async def async_read_body(self, answer: aiohttp.ClientResponse) -> bytes:
        """Return the whole body of an answer within the bytes that a host may hold."""
        assert self.held is not None
        return await self.held.bodies.async_read(answer, self.method, self.held)

    def abandon_for(self, successor: Server | None) -> None:
        """Time out this attempt now, so that the request goes to ``successor``.

        None means that another host takes the request.
        """
        if self.limit is not None and not self.limit.expired():
            self.successor = successor
            self.is_given_up = True
            self.limit.reschedule(asyncio.get_running_loop().time())


class SendInTime(SendOnce):
    """Send before the deadline and pass the remaining time to the server.

    It is computed after connecting: a value from before would make the server work on
    after the caller has timed out.
    """

    def __init__(self, outgoing: OutgoingRequest, server: Hashable) -> None:
        super().__init__(outgoing.prepare_to_send, server)
        self.outgoing = outgoing

    async def __call__(
        self, request: BackendRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request through the remaining client middlewares."""
        self.outgoing.headers = request.headers
        answer = await super().__call__(request, handler)
        self.outgoing.used = self.used
        return answer


ReadAnswer = Callable[[aiohttp.ClientResponse, OutgoingRequest], Awaitable[Exchange]]


async def async_exchange(
    sessions: BackendSessions,
    names: HeaderNames,
    server: Server,
    outgoing: OutgoingRequest,
) -> Exchange:
    """Send a request to a server once and return the result."""
    return await async_send_once(
        sessions,
        server.address,
        server.incarnation,
        outgoing,
        partial(_async_read, names),
    )


async def async_send_once(
    sessions: BackendSessions,
    address: str,
    receiver: Hashable,
    outgoing: OutgoingRequest,
    async_read: ReadAnswer,
) -> Exchange:
    """Send a request to an address once, and return what ``async_read`` makes of it.

    Only connections to the same ``receiver`` are used again.
    """
    try:
        async with asyncio.timeout(outgoing.seconds) as outgoing.limit:
            answer = await sessions.session.request(
                outgoing.method,
                _url(address, outgoing.target),
                headers=outgoing.headers,
                data=create_payload(outgoing.body),
                allow_redirects=False,
                middlewares=(SendInTime(outgoing, receiver),),
                trace_request_ctx=outgoing,
            )
            held = HeldBody(sessions.bodies, answer, outgoing.request_id, address)
            outgoing.held = held
            try:
                exchange = await async_read(answer, outgoing)
            except BaseException:
                answer.close()
                held.release()
                raise
            if exchange.verdict is Verdict.ANSWERED:
                return exchange._replace(held=held)
            held.release()
            return exchange
    except aiohttp.ConnectionTimeoutError as error:
        return Exchange(Verdict.UNREACHABLE, type(error).__name__)
    except LapsedError:
        assert outgoing.unsent_result is not None
        return outgoing.unsent_result
    except TimeoutError:
        if not outgoing.is_sent:
            if outgoing.is_given_up:
                return Exchange(Verdict.UNREACHABLE, "given up while connecting")
            return Exchange(Verdict.LAPSED, "the time ended while connecting")
        return Exchange(Verdict.TIMED_OUT, "no whole answer in time")
    except (aiohttp.ClientConnectorError, SpoiltConnectionError) as error:
        return Exchange(Verdict.UNREACHABLE, type(error).__name__)
    except AnswerDroppedError as error:
        # A server that declares a long body, or whose answer gave way, is sound.
        is_endless = error.reason is DropReason.TOO_LONG
        verdict = Verdict.BROKEN if is_endless else Verdict.NOT_HELD
        return Exchange(verdict, f"AnswerDroppedError: {error.reason}")
    except AnswerOverheadError as error:
        return Exchange(Verdict.BROKEN, f"AnswerOverheadError: {error}")
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Exchange(Verdict.BROKEN, type(error).__name__)


async def _async_read(
    names: HeaderNames, answer: aiohttp.ClientResponse, outgoing: OutgoingRequest
) -> Exchange:
    """Read a whole answer and return the result with its verdict."""
    headers = answer.headers
    load = headers.get(names.load)
    head = _head(names, answer, outgoing)
    proof, reason = assess_answer(head)
    if head.echo is Echo.EQUAL and proof is not Proof.MISDIRECTED:
        outgoing.read_signals(answer.status, headers)
    if proof is Proof.FOREIGN:
        # The answer to the request itself may still come on this connection, where it
        # would be read as the answer to the next one.
        close_connection(answer, outgoing.used)
        unproved = head if head.says_not_run else None
        return Exchange(
            Verdict.FOREIGN, f"status {answer.status}: {reason}", unproved=unproved
        )
    if proof is not Proof.ANSWERED:
        verdict = Verdict.SHED if proof is Proof.NOT_RUN else Verdict.OTHER_SERVER
        try:
            await outgoing.async_read_body(answer)
        except AnswerDroppedError:
            # The head is enough to know that the request has not run.
            close_connection(answer, outgoing.used)
        return Exchange(verdict, f"status {answer.status}", load=load)
    if (unsendable := reject_head(answer, outgoing)) is not None:
        return unsendable
    if "Content-Encoding" in headers:
        close_connection(answer, outgoing.used)
        return Exchange(Verdict.BROKEN, "the answer is encoded")
    # Read only if needed: aiohttp creates the future on first access, and one that is
    # never awaited makes the event loop log a twelve-line traceback for each connection
    # that ends with an error.
    framed = is_framed(answer, outgoing.method)
    closed = None if framed else _closed_future(answer)
    body = await outgoing.async_read_body(answer)
    if not framed and _was_reset(closed):
        # An unframed body ends with its connection. The library accepts any close as
        # its end, so the caller would get a truncated body as a complete one.
        return Exchange(Verdict.BROKEN, "the connection was reset within the answer")
    return Exchange(
        Verdict.ANSWERED,
        status=answer.status,
        reason=answer.reason,
        headers=CIMultiDict(headers),
        body=body,
        load=load,
    )


def reject_head(
    answer: aiohttp.ClientResponse, outgoing: OutgoingRequest
) -> Exchange | None:
    """Close the connection of an answer that can't be written to a caller.

    Return the result of its attempt, or None if the head can be passed on.
    """
    fault = find_head_fault(answer.status, answer.reason, answer.headers.items())
    if fault is None:
        return None
    close_connection(answer, outgoing.used)
    detail = f"the head can't be passed on: {fault}"
    return Exchange(Verdict.BROKEN, detail, answer.status, fault=fault)


def _head(
    names: HeaderNames, answer: aiohttp.ClientResponse, outgoing: OutgoingRequest
) -> AnswerHead:
    """Return what decides about an answer."""
    headers = answer.headers
    return AnswerHead(
        answer.status,
        compare_ids(headers.getall(names.request_id, ()), outgoing.request_id),
        names.not_executed in headers,
        names.signature in headers,
        outgoing.connected_at is None,
    )


def _closed_future(answer: aiohttp.ClientResponse) -> asyncio.Future[None] | None:
    """Return the future that is done when the answer's connection closes."""
    connection = answer.connection
    protocol = connection.protocol if connection is not None else None
    return protocol.closed if protocol is not None else None


def _was_reset(closed: asyncio.Future[None] | None) -> bool:
    """Return True if the connection closed with an error, or has no known end."""
    if closed is None or not closed.done() or closed.cancelled():
        return True
    return closed.exception() is not None


def _url(address: str, target: str) -> URL:
    """Return the URL of a target without changing its encoding."""
    path, _, query = target.partition("?")
    return URL.build(
        scheme="http", authority=address, path=path, query_string=query, encoded=True
    )
