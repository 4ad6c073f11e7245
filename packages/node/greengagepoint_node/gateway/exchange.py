"""One try at a backend server: send the request, read and check the whole answer."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Final, NamedTuple

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from greengagepoint.placing.tables import Incarnation, Server
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.send_times import SendTimes
from greengagepoint_node.proxy.relay import is_framed
from greengagepoint_node.proxy.sessions import (
    BackendRequest,
    BackendSessions,
    LapsedError,
    SendOnce,
    SpoiltConnectionError,
)

# The longest body that is read whole before the caller sees any of it. Longer ones are
# cut off visibly when they break.
WHOLE_BODY_BYTES: Final = 2 * 1024 * 1024
MISDIRECTED: Final = 421
# Below this a backend server could not run anything.
SECONDS_LEFT_MIN: Final = 0.02


class Verdict(StrEnum):
    """What a try says of the request."""

    ANSWERED = "answered"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    OTHER_SERVER = "other_server"
    BROKEN = "broken"
    FOREIGN = "foreign"
    TIMED_OUT = "timed_out"
    LAPSED = "lapsed"
    LEFT = "left"
    OLD_NEWS = "old_news"


NOT_RUN: Final = frozenset(
    {
        Verdict.SHED,
        Verdict.UNREACHABLE,
        Verdict.OTHER_SERVER,
        Verdict.LAPSED,
        Verdict.LEFT,
        Verdict.OLD_NEWS,
    }
)


class Exchange(NamedTuple):
    """The end of one try; the answer's parts are set when it may be passed on."""

    verdict: Verdict
    detail: str = ""
    status: int = 0
    reason: str | None = None
    headers: CIMultiDict[str] | None = None
    body: bytes = b""
    load: str | None = None
    retry_after: float | None = None


class TimeLeft(NamedTuple):
    """When a request's time ends, in monotonic seconds, and by which clock.

    ``header`` names the one that tells a backend server its milliseconds.
    """

    header: str
    clock: Clock
    ends_at: float

    def seconds(self) -> float:
        """Return the seconds that are left now."""
        return self.ends_at - self.clock.monotonic()


class Sending:
    """What is sent, and the time for it in seconds.

    ``withhold`` returns why the server may not get it any more, ``withheld`` is why it
    got nothing; None otherwise.
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
        withhold: Callable[[], Exchange | None],
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.seconds = seconds
        self.time_left = time_left
        self.times = times
        self.withhold = withhold
        self.withheld: Exchange | None = None
        self.limit: asyncio.Timeout | None = None
        self.successor: Server | None = None

    def may_start(self) -> bool:
        """Write what is left into the headers; tell whether to send at all.

        On a full link a connection takes up to its limit of 0.6 s. The host may hear
        meanwhile that the server leaves or that its zone is emptied; sent all the same,
        the request would come too late and be cut off with the server's exit.
        """
        left = self.time_left.seconds()
        if left < SECONDS_LEFT_MIN:
            self.withheld = Exchange(Verdict.LAPSED, "no time was left to send")
        else:
            self.withheld = self.withhold()
        if self.withheld is not None:
            return False
        self.headers[self.time_left.header] = str(int(left * 1000))
        self.times.note_sent()
        return True

    @property
    def is_sent(self) -> bool:
        """Tell whether a server may have got any of it."""
        return self.times.sent_at is not None

    def give_up_for(self, successor: Server) -> None:
        """End the exchange now, as if its time were over, for another server."""
        if self.limit is not None and not self.limit.expired():
            self.successor = successor
            self.limit.reschedule(asyncio.get_running_loop().time())


class SendInTime(SendOnce):
    """Send while time is left, and tell the server how much.

    A connection may first have to be opened. Told what was left before, the server
    would work on for a caller who has given up.
    """

    def __init__(self, sending: Sending, server: Incarnation) -> None:
        super().__init__(sending.may_start, server)
        self.sending = sending

    async def __call__(
        self, request: BackendRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request through the rest of the client."""
        self.sending.headers = request.headers
        return await super().__call__(request, handler)


async def async_exchange(
    sessions: BackendSessions, names: HeaderNames, server: Server, sending: Sending
) -> Exchange:
    """Send a request once and return how it ended."""
    try:
        async with asyncio.timeout(sending.seconds) as sending.limit:
            answer = await sessions.session.request(
                sending.method,
                _url(server.address, sending.target),
                headers=sending.headers,
                data=sending.body,
                allow_redirects=False,
                middlewares=(SendInTime(sending, server.incarnation),),
            )
            try:
                return await _async_read(names, answer, sending)
            except BaseException:
                answer.close()
                raise
    except aiohttp.ConnectionTimeoutError as error:
        return Exchange(Verdict.UNREACHABLE, type(error).__name__)
    except LapsedError:
        assert sending.withheld is not None
        return sending.withheld
    except TimeoutError:
        if not sending.is_sent:
            return Exchange(Verdict.LAPSED, "the time ended while connecting")
        return Exchange(Verdict.TIMED_OUT, "no whole answer in time")
    except (aiohttp.ClientConnectorError, SpoiltConnectionError) as error:
        return Exchange(Verdict.UNREACHABLE, type(error).__name__)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Exchange(Verdict.BROKEN, type(error).__name__)


async def _async_read(
    names: HeaderNames, answer: aiohttp.ClientResponse, sending: Sending
) -> Exchange:
    """Read an answer whole and judge it."""
    headers = answer.headers
    load = headers.get(names.load)
    echoed = headers.get(names.request_id)
    if echoed is not None and echoed != sending.request_id:
        # A server that answers a request twice leaves the second answer on the
        # connection; the next caller would get it in place of its own.
        answer.close()
        return Exchange(Verdict.FOREIGN, "the answer names another request")
    if names.not_executed in headers or answer.status == MISDIRECTED:
        verdict = Verdict.SHED if answer.status != MISDIRECTED else Verdict.OTHER_SERVER
        retry_after = _seconds(headers.get("Retry-After"))
        await answer.read()
        return Exchange(
            verdict, f"status {answer.status}", load=load, retry_after=retry_after
        )
    if echoed is None or (
        200 <= answer.status < 300 and names.signature not in headers
    ):
        answer.close()
        return Exchange(
            Verdict.FOREIGN, f"status {answer.status} without proof of origin"
        )
    if "Content-Encoding" in headers or answer.status < 200:
        answer.close()
        return Exchange(Verdict.BROKEN, "the answer is encoded or not final")
    # Asked for where it is needed only: a future that nobody reads makes the loop write
    # a trace of twelve lines for each connection that ends with an error.
    framed = is_framed(answer, sending.method)
    closed = None if framed else _closed_future(answer)
    body = await answer.read()
    if not framed and _was_reset(closed):
        # Such a body ends with its connection, and the library takes any end for the
        # right one; the caller would get a part of it as the whole.
        return Exchange(Verdict.BROKEN, "the connection was reset within the answer")
    return Exchange(
        Verdict.ANSWERED,
        status=answer.status,
        reason=answer.reason,
        headers=CIMultiDict(headers),
        body=body,
        load=load,
    )


def _closed_future(answer: aiohttp.ClientResponse) -> asyncio.Future[None] | None:
    """Return the future that tells how the answer's connection closed."""
    connection = answer.connection
    protocol = connection.protocol if connection is not None else None
    return protocol.closed if protocol is not None else None


def _was_reset(closed: asyncio.Future[None] | None) -> bool:
    """Tell whether a connection closed with an error, or nothing is known of it."""
    if closed is None or not closed.done() or closed.cancelled():
        return True
    return closed.exception() is not None


def _seconds(text: str | None) -> float | None:
    """Return the seconds of a header, or None where it holds none."""
    try:
        return max(0.0, float(text)) if text is not None else None
    except ValueError:
        return None


def _url(address: str, target: str) -> URL:
    """Return the URL of a target, as it was written by the caller."""
    path, _, query = target.partition("?")
    return URL.build(
        scheme="http", authority=address, path=path, query_string=query, encoded=True
    )
