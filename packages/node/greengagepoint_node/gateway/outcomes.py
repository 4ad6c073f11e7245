"""Log and count the outcomes of requests and of their attempts."""

import math
from typing import Final

import xxhash
from aiohttp import web

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.quarantine.fingerprint import Fingerprint
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import LOGGED_CHARACTERS_MAX, Call
from greengagepoint_node.gateway.counters import GatewayCounters
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.finish_fields import LogFields
from greengagepoint_node.gateway.names import RELAYED_BY, HeaderNames
from greengagepoint_node.gateway.refusals import Refusal
from greengagepoint_node.gateway.send_times import SendTimes
from greengagepoint_node.gateway.view import FleetView

# One of this many successful requests is logged. The choice depends only on the request
# id, so all hosts log the same requests.
SAMPLING_INTERVAL: Final = 64
# Longer delays of the first byte use up much of the time in which a leaving server
# still accepts requests.
SLOW_SEND_SECONDS: Final = 0.5
# A host whose view is older may send to a server that is leaving. In an outage of the
# store every view is old, so only some of these sends are logged.
OLD_VIEW_SECONDS: Final = 1.0
OLD_VIEW_LOG_SECONDS: Final = 0.1


class Outcomes:
    """Write the log lines and counters of requests and attempts.

    ``arrived_at`` is the arrival of a request's first byte in monotonic seconds.
    """

    def __init__(
        self,
        view: FleetView,
        counters: GatewayCounters,
        clock: Clock,
        events: EventSink,
        names: HeaderNames,
    ) -> None:
        self.names = names
        self.view = view
        self.counters = counters
        self.clock = clock
        self.events = events
        self.old_view_logged_at = -math.inf

    def log_rejected(
        self, request_id: str, call: Call | None, refusal: Refusal, arrived_at: float
    ) -> None:
        """Log a rejected or failed request with the inputs of that decision."""
        routes = self.view.routes
        self.events.record(
            refusal.event,
            request_id=request_id,
            status=refusal.status,
            kind=refusal.kind,
            reason=refusal.reason,
            **_call_fields(call),
            **refusal.inputs,
            configuration=routes.version if routes else None,
            revision=self.view.revision,
            retry_after=refusal.retry_after,
            seconds=self._seconds_since(arrived_at),
        )

    def log_cancelled(
        self, request_id: str, call: Call | None, arrived_at: float
    ) -> None:
        """Log that a caller has disconnected."""
        self.events.record(
            Event.REQUEST_CANCELLED,
            request_id=request_id,
            **_call_fields(call),
            seconds=self._seconds_since(arrived_at),
        )

    def count_request(
        self, call: Call | None, outcome: ErrorKind | str, arrived_at: float
    ) -> None:
        """Count a finished request by its outcome and duration."""
        self.counters.add_request(
            call.service if call is not None else "",
            call.route.name if call is not None else "",
            outcome,
            self.clock.monotonic() - arrived_at,
        )

    def reject_relayed(self, request: web.BaseRequest, reason: str) -> None:
        """Log and count a request of another host that this one can't take on."""
        self.counters.relayed["received", "unable"] += 1
        self.events.record(
            Event.RELAY_REJECTED,
            request_id=request.headers.get(self.names.request_id, ""),
            peer=request.headers.get(RELAYED_BY, "")[:LOGGED_CHARACTERS_MAX],
            reason=reason,
            revision=self.view.revision,
        )

    def count_relayed(self) -> None:
        """Count a request of another host that this one has answered."""
        self.counters.relayed["received", "done"] += 1

    def record_send(self, call: Call, server: Server, times: SendTimes) -> None:
        """Record the delay of an attempt's first byte and the age of the host's view.

        Slow and sampled sends are logged, and some of those on an old view.
        """
        seconds = times.seconds_until_sent
        if seconds is None:
            return
        self.counters.send_delay.add(seconds)
        self.counters.news_age.add(times.news_age_at_send)
        is_logged = seconds > SLOW_SEND_SECONDS or is_sampled(call.request_id)
        if not is_logged and not self._is_old_view_due(times.news_age_at_send):
            return
        self.events.record(
            Event.REQUEST_SENT,
            request_id=call.request_id,
            instance=server.instance,
            seconds=round(seconds, 3),
            news_age_at_choice=_rounded(times.news_age_at_choice),
            news_age=_rounded(times.news_age_at_send),
            revision=self.view.revision,
        )

    def _is_old_view_due(self, news_age: float | None) -> bool:
        """Return True if a send on a view of this age is to be logged."""
        if news_age is None or news_age < OLD_VIEW_SECONDS:
            return False
        now = self.clock.monotonic()
        if now - self.old_view_logged_at < OLD_VIEW_LOG_SECONDS:
            return False
        self.old_view_logged_at = now
        return True

    def report_attempt(
        self,
        call: Call,
        server: Server,
        exchange: Exchange,
        number: int,
        seconds: float,
    ) -> None:
        """Count an attempt, numbered from 1, and log it if it was not answered."""
        self.counters.tries[call.service, exchange.verdict] += 1
        if exchange.verdict is Verdict.ANSWERED:
            return
        log_head_fault(self.events, call, server.instance, exchange)
        if exchange.unproved is not None:
            self._log_unproved(call, server, exchange, number)
        self.events.record(
            Event.REQUEST_RETRIED,
            request_id=call.request_id,
            instance=server.instance,
            attempt=number,
            outcome=exchange.verdict,
            detail=exchange.detail,
            seconds=round(seconds, 3),
        )

    def _log_unproved(
        self, call: Call, server: Server, exchange: Exchange, number: int
    ) -> None:
        """Log an answer that said "not run" without proof, and what decided that."""
        head = exchange.unproved
        assert head is not None
        self.events.record(
            Event.ANSWER_WITHOUT_PROOF,
            request_id=call.request_id,
            instance=server.instance,
            attempt=number,
            status=head.status,
            echo=head.echo,
            not_executed=head.is_not_executed,
            signed=head.is_signed,
            kept_connection=head.on_kept_connection,
            repeatable=call.route.repeatable,
            reason=exchange.detail,
        )

    def record_server_crash(
        self, call: Call, server: Server, fingerprint: Fingerprint
    ) -> None:
        """Log and count that a server crashed with a request in flight.

        Retries of a request have the same fingerprint under other request ids.
        """
        self.counters.in_flight_at_crash[(call.service,)] += 1
        self.events.record(
            Event.BACKEND_SERVER_ENDED,
            request_id=call.request_id,
            **_call_fields(call),
            instance=server.instance,
            content=fingerprint.content,
            caller=fingerprint.caller,
        )

    def record_answered(
        self,
        call: Call,
        exchange: Exchange,
        server: Server,
        attempt_count: int,
        expected: LogFields,
    ) -> None:
        """Count the region that answered a request; log it if sampled.

        Requests that took more than one attempt are always logged. ``expected`` are
        the fields of the finish expected, empty with the demand mode off.
        """
        self.counters.regions[call.service, server.region] += 1
        if attempt_count == 1 and not is_sampled(call.request_id):
            return
        self.events.record(
            Event.REQUEST_ANSWERED,
            request_id=call.request_id,
            route=call.route.name,
            service=call.service,
            instance=server.instance,
            region=server.region,
            attempts=attempt_count,
            load=exchange.load,
            in_flight=server.in_flight,
            run_seconds=round(server.run_seconds, 3),
            status=exchange.status,
            seconds=self._seconds_since(call.arrived_at),
            **expected,
        )

    def _seconds_since(self, arrived_at: float) -> float:
        """Return the seconds since a request arrived, rounded for a log line."""
        return round(self.clock.monotonic() - arrived_at, 3)


def log_head_fault(
    events: EventSink, call: Call, sender: str, exchange: Exchange
) -> None:
    """Log an answer of a server or a peer whose head can't be passed on."""
    if exchange.fault is None:
        return
    events.record(
        Event.ANSWER_REJECTED,
        request_id=call.request_id,
        **_call_fields(call),
        sender=sender,
        status=exchange.status,
        part=exchange.fault.part,
        where=exchange.fault.where,
        character=exchange.fault.character,
    )


def _call_fields(call: Call | None) -> dict[str, str]:
    """Return the log fields of a request that was matched to a route."""
    if call is None:
        return {}
    return {"route": call.route.name, "service": call.service}


def _rounded(seconds: float) -> float | None:
    """Return rounded seconds for a log line, or None if they are not finite."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def is_sampled(request_id: str) -> bool:
    """Return True if this request is logged although nothing went wrong."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLING_INTERVAL == 0
