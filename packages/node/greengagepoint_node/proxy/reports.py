"""Count and report how requests have ended."""

from typing import Final

from greengagepoint.errors import ErrorKind, GreengagepointError, Ran
from greengagepoint.events import Event
from greengagepoint.usage.tables import UsageOutcome
from greengagepoint_node.proxy.call import Call
from greengagepoint_node.proxy.parts import Parts

KIND_OK: Final = "ok"


class RequestReports:
    """Tell events, metrics and usage of the end of each request, once."""

    def __init__(self, parts: Parts) -> None:
        self.parts = parts

    def answered(self, call: Call) -> None:
        """Count a whole answer."""
        self._count(call, KIND_OK, UsageOutcome.ANSWERED)
        self.parts.context.events.record(
            Event.REQUEST_ANSWERED, request_id=call.request_id, team=call.team
        )

    def error(
        self, call: Call | None, request_id: str, error: GreengagepointError
    ) -> None:
        """Count a refusal or a failure."""
        if error.ran is not Ran.NOT_RUN:
            self.failed(call, request_id, error.kind, error.detail, error.ran)
            return
        self._count(call, error.kind, UsageOutcome.NOT_RUN)
        self.parts.context.events.record(
            Event.REQUEST_REFUSED,
            request_id=request_id,
            team=call.team if call else None,
            kind=error.kind,
            detail=error.detail,
        )

    def failed(
        self,
        call: Call | None,
        request_id: str,
        kind: ErrorKind,
        detail: str,
        ran: Ran,
    ) -> None:
        """Count a request that failed after it may have run."""
        self._count(call, kind, UsageOutcome.FAILED)
        self.parts.context.events.record(
            Event.REQUEST_FAILED,
            request_id=request_id,
            team=call.team if call else None,
            kind=kind,
            detail=detail,
            ran=ran,
        )

    def cancelled(self, call: Call | None, request_id: str) -> None:
        """Count a request whose caller went away."""
        self._count(call, ErrorKind.CALLER_CANCELLED, UsageOutcome.FAILED)
        self.parts.context.events.record(Event.REQUEST_CANCELLED, request_id=request_id)

    def unexpected(self, call: Call | None, request_id: str, error: Exception) -> None:
        """Count a request on which an error came that nobody foresaw."""
        self._count(call, ErrorKind.INTERNAL, UsageOutcome.FAILED)
        self.parts.context.events.record(
            Event.INTERNAL_ERROR, request_id=request_id, detail=repr(error)
        )

    def _count(self, call: Call | None, kind: str, outcome: UsageOutcome) -> None:
        """Count one ended request for metrics and usage."""
        if call is None:
            self.parts.metrics.refuse_request("", kind)
            return
        now = self.parts.context.clock.monotonic()
        service = call.service.name
        self.parts.metrics.finish_request(service, kind, now - call.received_at)
        self.parts.usage.count(
            call.team, service, outcome, call.sent_bytes, call.received_bytes
        )
