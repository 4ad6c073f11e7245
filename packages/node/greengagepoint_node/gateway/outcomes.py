"""Log and count how requests and their tries end."""

import math
from typing import Final

import xxhash

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.quarantine.fingerprint import Fingerprint
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.call import Call
from greengagepoint_node.gateway.counters import GatewayCounters
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.refusals import Refusal
from greengagepoint_node.gateway.send_times import SendTimes
from greengagepoint_node.gateway.view import FleetView

# One request in so many is logged when all went well; which ones depends on the id
# alone, so all hosts keep the same requests.
SAMPLED_ONE_IN: Final = 64
# A first byte that waits longer takes a good part of the time in which a leaving server
# still serves.
SLOW_SEND_SECONDS: Final = 0.5


class Outcomes:
    """Tell of each request and try what an operator needs.

    ``arrived_at`` are the monotonic seconds at which a request's first byte came.
    """

    def __init__(
        self,
        view: FleetView,
        counters: GatewayCounters,
        clock: Clock,
        events: EventSink,
    ) -> None:
        self.view = view
        self.counters = counters
        self.clock = clock
        self.events = events

    def note_refused(
        self, request_id: str, call: Call | None, refusal: Refusal, arrived_at: float
    ) -> None:
        """Log what decided that a request was refused or failed."""
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

    def note_cancelled(
        self, request_id: str, call: Call | None, arrived_at: float
    ) -> None:
        """Log that a caller has gone."""
        self.events.record(
            Event.REQUEST_CANCELLED,
            request_id=request_id,
            **_call_fields(call),
            seconds=self._seconds_since(arrived_at),
        )

    def note_end(
        self, call: Call | None, outcome: ErrorKind | str, arrived_at: float
    ) -> None:
        """Count the end of a request, whatever it was."""
        self.counters.add_request(
            call.service if call is not None else "",
            call.route.name if call is not None else "",
            outcome,
            self.clock.monotonic() - arrived_at,
        )

    def note_sent(self, call: Call, server: Server, times: SendTimes) -> None:
        """Count how late a try's first byte went out, and on how old news.

        Logged are those that waited long and the sampled ones.
        """
        seconds = times.seconds_until_sent
        if seconds is None:
            return
        self.counters.send_delay.add(seconds)
        self.counters.news_age.add(times.news_age_at_send)
        if seconds <= SLOW_SEND_SECONDS and not _is_sampled(call.request_id):
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

    def note_try(
        self,
        call: Call,
        server: Server,
        exchange: Exchange,
        number: int,
        seconds: float,
    ) -> None:
        """Count a try, the first being 1, and log it where it gave no answer."""
        self.counters.tries[call.service, exchange.verdict] += 1
        if exchange.verdict is Verdict.ANSWERED:
            return
        self.events.record(
            Event.REQUEST_RETRIED,
            request_id=call.request_id,
            instance=server.instance,
            attempt=number,
            outcome=exchange.verdict,
            detail=exchange.detail,
            seconds=round(seconds, 3),
        )

    def note_ended(self, call: Call, server: Server, fingerprint: Fingerprint) -> None:
        """Log that a server ended with a request in flight.

        The same fingerprint under other request ids is the same request.
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

    def note_answered(
        self, call: Call, exchange: Exchange, server: Server, tries: int
    ) -> None:
        """Count where a request ran, and log some of those that were answered.

        All that took more than one of ``tries`` are logged.
        """
        self.counters.regions[call.service, server.region] += 1
        if tries == 1 and not _is_sampled(call.request_id):
            return
        self.events.record(
            Event.REQUEST_ANSWERED,
            request_id=call.request_id,
            route=call.route.name,
            service=call.service,
            instance=server.instance,
            region=server.region,
            attempts=tries,
            load=exchange.load,
            in_flight=server.in_flight,
            run_seconds=round(server.run_seconds, 3),
            status=exchange.status,
            seconds=self._seconds_since(call.arrived_at),
        )

    def _seconds_since(self, arrived_at: float) -> float:
        """Return how long a request has taken until now."""
        return round(self.clock.monotonic() - arrived_at, 3)


def _call_fields(call: Call | None) -> dict[str, str]:
    """Return what a log line says of a request that was matched to a route."""
    if call is None:
        return {}
    return {"route": call.route.name, "service": call.service}


def _rounded(seconds: float) -> float | None:
    """Return seconds for a log line, None where they are not finite."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def _is_sampled(request_id: str) -> bool:
    """Tell whether an ordinary success is logged."""
    return xxhash.xxh3_64_intdigest(request_id.encode()) % SAMPLED_ONE_IN == 0
