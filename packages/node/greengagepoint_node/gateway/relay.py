"""Pass requests on to hosts that reach backend servers, and take such requests on."""

from collections import Counter
from collections.abc import Mapping
from functools import partial
from typing import Final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from greengagepoint.delivery.answer_proofs import (
    Echo,
    compare_ids,
    is_unproved_promise,
)
from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint.reachability.probing import PROBE_INTERVAL_SECONDS
from greengagepoint.reachability.relays import (
    RelayCandidate,
    RelayOrigin,
    RelayRequest,
    choose_relay,
    is_usable,
)
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.distances import RegionDistances
from greengagepoint_node.gateway.exchange import (
    NOT_RUN,
    SECONDS_LEFT_MIN,
    Exchange,
    OutgoingRequest,
    TimeLeft,
    Verdict,
    async_send_once,
    reject_head,
)
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.late_requests import LateRequests
from greengagepoint_node.gateway.names import (
    ATTEMPTS_LEFT,
    CALLER_ADDRESS,
    CONFIGURATION_VERSION,
    READS_RELAY_ORIGIN,
    RELAY_ORIGIN,
    RELAY_RESULT,
    RELAYED_BY,
    HeaderNames,
)
from greengagepoint_node.gateway.news_ages import ViewFreshness
from greengagepoint_node.gateway.outcomes import is_sampled, log_head_fault
from greengagepoint_node.gateway.passing import RequestHeaders
from greengagepoint_node.gateway.reach_monitor import ReachMonitor
from greengagepoint_node.gateway.refusals import (
    NOT_RUN_STATUSES,
    Refusal,
    no_answer_refusal,
    unproved_promise_refusal,
)
from greengagepoint_node.gateway.send_times import SendTimes
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.proxy.sessions import BackendSessions, close_connection

# A host that did not answer gets no relayed requests for this long.
FAILED_HOST_SKIP_SECONDS: Final = 2.0
DONE: Final = "done"
UNABLE: Final = "unable"
NOT_FOUND: Final = 404
DIGITS_MAX: Final = 18
# Own refusals that follow from a view of routes and accounts. The host that passed the
# request on has matched both, and callers don't send again after these.
VIEW_STATUSES: Final = frozenset({401, 404})


class Relay:
    """Pass requests on to peers while this host is cut off from backend servers."""

    def __init__(
        self,
        table: HostTable,
        view: FleetView,
        monitor: ReachMonitor,
        distances: RegionDistances,
        sessions: BackendSessions,
        headers: RequestHeaders,
        clock: Clock,
        news: ViewFreshness,
        events: EventSink,
        outcomes: Counter[tuple[str, str]],
        late: LateRequests,
    ) -> None:
        self.table = table
        self.view = view
        self.monitor = monitor
        self.distances = distances
        self.sessions = sessions
        self.headers = headers
        self.clock = clock
        self.news = news
        self.events = events
        self.outcomes = outcomes
        self.late = late
        self.skipped_until: dict[str, float] = {}

    def has_reaching_peers(self) -> bool:
        """Return True if another host that receives callers reaches servers."""
        return any(not peer.cut_off for peer in self._candidates())

    def should_pass_on(self) -> bool:
        """Return True if requests should go to other hosts instead of servers.

        A host without peers keeps trying: its probes may be wrong. So does one whose
        probes are answered again while no other host reaches servers.
        """
        if not self.monitor.is_cut_off:
            return False
        if self.monitor.is_recovering:
            return self.has_reaching_peers()
        return self._has_peers()

    async def async_pass_on(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | None,
        attempts_left: int,
        *,
        may_have_run: bool,
    ) -> Exchange:
        """Return the response of a peer, or raise Refusal if none takes the request.

        ``attempts_left`` is the number of servers to which it may still be sent.
        """
        wanted = RelayRequest(
            call.request_id, self.table.own.entry.region, call.home_regions
        )
        last: Exchange | None = None
        tried: list[str] = []
        silent = 0
        while call.ends_at - self.clock.monotonic() >= SECONDS_LEFT_MIN:
            # Hosts that were cut off meanwhile have said so in their heartbeats.
            peer = choose_relay(wanted, self._candidates(), tried, silent)
            if peer is None:
                break
            tried.append(peer.name)
            outgoing = self._create_outgoing(request, call, body, peer)
            outgoing.headers[ATTEMPTS_LEFT] = str(attempts_left)
            last = await self._async_send(call, outgoing, peer, len(tried))
            if last.verdict is Verdict.ANSWERED:
                if self._is_refusal(last):
                    if may_have_run:
                        # The peer's promise is about its own attempts only.
                        break
                elif is_unproved_promise(last.status, repeatable=call.route.repeatable):
                    # A host of an earlier version passes on what a server promises.
                    raise unproved_promise_refusal(last.status)
                return last
            if last.verdict is Verdict.HOST_LEAVING:
                break
            silent += last.verdict is Verdict.UNREACHABLE
            if last.verdict in NOT_RUN:
                continue
            # The peer may have sent it to a server.
            may_have_run = True
            attempts_left = _attempts_left_after(last, attempts_left)
            if attempts_left < 1 or not call.route.repeatable:
                break
        if last is not None and last.verdict is Verdict.ANSWERED:
            reason = f"may have run, and {last.status} of another host"
            raise Refusal(ErrorKind.BACKEND_RESET, 502, reason)
        if tried:
            raise no_answer_refusal(last, may_have_run=may_have_run)
        reason = "neither this host nor another one reaches a backend server"
        status = 502 if may_have_run else 503
        retry_after = None if may_have_run else PROBE_INTERVAL_SECONDS
        raise Refusal(ErrorKind.NO_BACKEND_SERVER, status, reason, retry_after)

    def _is_refusal(self, exchange: Exchange) -> bool:
        """Return True if a peer's response says that the request has not run."""
        assert exchange.headers is not None
        origin = exchange.headers.get(RELAY_ORIGIN)
        if origin is not None:
            return origin == RelayOrigin.REJECTED
        # A host of an earlier version doesn't tell; a signature is a server's.
        is_signed = self.headers.names.signature in exchange.headers
        return not is_signed and exchange.status in NOT_RUN_STATUSES

    def _has_peers(self) -> bool:
        """Return True if any other host receives callers."""
        alive = self.table.alive(self.clock.monotonic())
        return any(state is not self.table.own for state in alive)

    def _candidates(self) -> list[RelayCandidate]:
        """Return the peers that receive callers, without those that failed lately.

        If all others failed lately or are cut off, one that failed may have been
        unlucky, and is better than none.
        """
        now = self.clock.monotonic()
        peers = [
            RelayCandidate(
                state.entry.name,
                state.entry.region,
                state.entry.peer_address,
                state.cut_off,
                state.recovering,
            )
            for state in self.table.alive(now)
            if state is not self.table.own
        ]
        usable = [
            peer for peer in peers if self.skipped_until.get(peer.name, now) <= now
        ]
        return usable if any(is_usable(peer) for peer in usable) else peers

    async def _async_send(
        self,
        call: Call,
        outgoing: OutgoingRequest,
        peer: RelayCandidate,
        number: int,
    ) -> Exchange:
        """Send a request to one peer; log and count how it ended."""
        began = self.clock.monotonic()
        exchange = await async_send_once(
            self.sessions,
            peer.address,
            peer.address,
            outgoing,
            partial(_async_read, self.headers.names),
        )
        now = self.clock.monotonic()
        has_answered = bool(exchange.status)
        is_lost = exchange.verdict in (Verdict.UNREACHABLE, Verdict.BROKEN)
        if is_lost and not has_answered:
            self.skipped_until[peer.name] = now + FAILED_HOST_SKIP_SECONDS
        self.outcomes["sent", exchange.verdict] += 1
        is_usual = exchange.verdict is Verdict.ANSWERED and exchange.status < 300
        log_head_fault(self.events, call, peer.name, exchange)
        if not is_usual or is_sampled(call.request_id):
            self.events.record(
                Event.REQUEST_RELAYED,
                request_id=call.request_id,
                route=call.route.name,
                service=call.service,
                peer=peer.name,
                region=peer.region,
                attempt=number,
                outcome=exchange.verdict,
                status=exchange.status,
                detail=exchange.detail,
                cut_off=self.monitor.is_cut_off,
                cut_off_age=round(now - self.monitor.reach.changed_at, 3),
                seconds=round(now - began, 3),
            )
        return exchange

    def _create_outgoing(
        self,
        request: web.BaseRequest,
        call: Call,
        body: bytes | None,
        peer: RelayCandidate,
    ) -> OutgoingRequest:
        """Return the request to send to a peer."""
        assert self.view.routes is not None
        headers = self.headers.relay_headers(request)
        headers[RELAYED_BY] = self.table.own.entry.name
        headers[CALLER_ADDRESS] = request.remote or ""
        headers[CONFIGURATION_VERSION] = str(self.view.routes.version)
        headers[READS_RELAY_ORIGIN] = "1"
        # The peer's answer takes half a round trip to arrive.
        ends_at = call.ends_at - self.distances.round_trip_to(peer.region) / 2
        return OutgoingRequest(
            request.method,
            call.target,
            headers,
            body,
            call.request_id,
            call.ends_at - self.clock.monotonic(),
            TimeLeft(self.headers.names.deadline_ms, self.clock, ends_at),
            SendTimes(self.clock, self.news),
            lambda: self.late.check_before_send(call),
            lambda status, headers: None,
        )


def read_version(headers: Mapping[str, str]) -> int:
    """Return the version of the configuration that a relayed request was matched by."""
    return _read_number(headers, CONFIGURATION_VERSION)


def read_attempts_left(headers: Mapping[str, str]) -> int:
    """Return to how many servers a relayed request may still be sent."""
    return _read_number(headers, ATTEMPTS_LEFT)


def _read_number(headers: Mapping[str, str], name: str) -> int:
    """Return the number in a header, 0 if there is none that can be read."""
    text = headers.get(name, "")
    if not text.isascii() or not text.isdigit() or len(text) > DIGITS_MAX:
        return 0
    return int(text)


def _attempts_left_after(exchange: Exchange, attempts_left: int) -> int:
    """Return to how many servers a request may be sent after a peer has failed."""
    if exchange.headers is not None and ATTEMPTS_LEFT in exchange.headers:
        return min(attempts_left, read_attempts_left(exchange.headers))
    return attempts_left - 1


def refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers that tell another host what this host's refusal means."""
    if refusal.can_run_elsewhere or refusal.status in VIEW_STATUSES:
        return {RELAY_RESULT: UNABLE}
    if refusal.status in NOT_RUN_STATUSES:
        return {RELAY_RESULT: DONE, RELAY_ORIGIN: RelayOrigin.REJECTED}
    return {
        RELAY_RESULT: DONE,
        RELAY_ORIGIN: RelayOrigin.FAILED,
        ATTEMPTS_LEFT: str(refusal.attempts_left),
    }


def mark_server_answer(
    response: web.Response, request: web.BaseRequest, names: HeaderNames
) -> web.Response:
    """Return a server's answer, marked as such for the host that passed it on.

    A host of an earlier version takes 401 and 404 without a signature for this host's
    own word that the request has not run, and sends it on. It gets 502 in their place.
    """
    is_taken_for_own = (
        response.status in VIEW_STATUSES
        and names.signature not in response.headers
        and READS_RELAY_ORIGIN not in request.headers
    )
    if is_taken_for_own:
        response = web.Response(
            status=502, text=f"a server answered {response.status}, without proof\n"
        )
        response.headers[names.request_id] = request.headers.get(names.request_id, "")
    response.headers[RELAY_RESULT] = DONE
    response.headers[RELAY_ORIGIN] = RelayOrigin.SERVER
    return response


def _is_of_another(
    names: HeaderNames,
    answer: aiohttp.ClientResponse,
    outgoing: OutgoingRequest,
    result: str | None,
) -> bool:
    """Return True if a peer's response is not proved to be that to a request.

    A host of an earlier version names no request where it was unable.
    """
    echo = compare_ids(answer.headers.getall(names.request_id, ()), outgoing.request_id)
    return echo is Echo.OTHER or (echo is Echo.NONE and result == DONE)


async def _async_read(
    names: HeaderNames, answer: aiohttp.ClientResponse, outgoing: OutgoingRequest
) -> Exchange:
    """Read a peer's whole response to a relayed request."""
    if (unsendable := reject_head(answer, outgoing)) is not None:
        return unsendable
    result = answer.headers.get(RELAY_RESULT)
    if _is_of_another(names, answer, outgoing, result):
        close_connection(answer, outgoing.used)
        return Exchange(Verdict.FOREIGN, "the answer names another request")
    body = await outgoing.async_read_body(answer)
    if result == UNABLE:
        reason = body.decode(errors="replace").strip()
        return Exchange(Verdict.SHED, f"unable: {reason}", answer.status)
    if result != DONE:
        # A host of a version that takes no relayed requests knows no such path. Its
        # answer names no request, as that of a server would.
        is_unknown_path = (
            answer.status == NOT_FOUND and names.request_id not in answer.headers
        )
        verdict = Verdict.SHED if is_unknown_path else Verdict.FOREIGN
        return Exchange(verdict, "no relay result", answer.status)
    origin = answer.headers.get(RELAY_ORIGIN)
    if origin == RelayOrigin.FAILED:
        verdict = Verdict.TIMED_OUT if answer.status == 504 else Verdict.BROKEN
        reason = body.decode(errors="replace").strip()
        return Exchange(
            verdict,
            f"failed: {reason}",
            answer.status,
            headers=CIMultiDict(answer.headers),
        )
    is_signed = names.signature in answer.headers
    if origin is None and answer.status in VIEW_STATUSES and not is_signed:
        # From a host of an earlier version, which does not tell whether a server has
        # answered so, or whether it lacks the route or the account itself.
        return Exchange(Verdict.FOREIGN, "origin not told", answer.status)
    headers = CIMultiDict(answer.headers)
    del headers[RELAY_RESULT]
    return Exchange(
        Verdict.ANSWERED,
        status=answer.status,
        reason=answer.reason,
        headers=headers,
        body=body,
    )
