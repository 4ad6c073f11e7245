"""Report this host's requests to the region's ledger and receive the shared limits.

The ledger is the host that watches the store for its region. It also sums the requests
that the region's hosts admit for each account and sends the sums to the ledgers of
other regions. It answers each report with the accounts that are over their limits and
a proof of the newest configuration.
"""

import asyncio
from collections import Counter
from typing import Final

import aiohttp
import msgspec
from aiohttp import web

from greengagepoint.accounts.gate import REPORT_IDLE_SECONDS, AccountGate
from greengagepoint.accounts.ledger import UsageLedger
from greengagepoint.accounts.messages import UsageAnswer, UsageReport, UsageRow
from greengagepoint.accounts.tables import Account
from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.region_hosts import ReportSender, rank_hosts
from greengagepoint_node.gateway.store_types import HostEntry
from greengagepoint_node.gateway.view import FleetView

REPORTS_PATH: Final = "/v1/region-reports"
# An account that floods continues for about two periods before all hosts limit it.
PERIOD_SECONDS: Final = 0.2
# In regions with more hosts, each host reports less often to keep the ledger's load
# constant.
HOSTS_AT_PERIOD: Final = 60
# The round trip between two regions is 40 ms.
REPORT_SECONDS: Final = 0.4
FULL_LINK_REPORT_SECONDS: Final = 2.0
ATTEMPTS_MAX: Final = 2
# A host that received a report this recently is reachable by other hosts.
REPORT_VALID_SECONDS: Final = 1.0
# For this long after the start, hosts that are in the store but have sent no heartbeat
# count as live: they may be starting at the same time.
STARTUP_SECONDS: Final = 5.0

encode = msgspec.msgpack.Encoder().encode
decode_report = msgspec.msgpack.Decoder(UsageReport).decode
decode_answer = msgspec.msgpack.Decoder(UsageAnswer).decode


class RegionReports:
    """Report to the region's ledger, and act as the ledger when ranked first."""

    def __init__(
        self,
        own: HostState,
        view: FleetView,
        table: HostTable,
        gate: AccountGate,
        ledger: UsageLedger,
        session: aiohttp.ClientSession,
        clock: Clock,
        events: EventSink,
        transferred: Counter[tuple[str, str]],
    ) -> None:
        self.own = own
        self.view = view
        self.table = table
        self.gate = gate
        self.ledger = ledger
        self.ledger.region = own.entry.region
        self.answered_by = ""
        self.limits_known_to = ""
        self.session = session
        self.clock = clock
        self.events = events
        self.transferred = transferred
        self.started_at = clock.monotonic()
        self.report_received_at = float("-inf")
        self.sender = ReportSender(
            session, REPORTS_PATH, "reports", clock, events, transferred
        )
        self.acknowledged_sums: dict[str, dict[str, int]] = {}
        self.link_is_full = False
        self.local_host_count = 1
        self.over_limit: set[str] = set()
        self.send_tasks: dict[str, asyncio.Task[None]] = {}

    async def async_run(self) -> None:
        """Report until cancelled; without accounts, send no reports."""
        reported_at = float("-inf")
        while True:
            await asyncio.sleep(self.period_seconds())
            accounts = self.accounts()
            if not accounts:
                continue
            now = self.clock.monotonic()
            self.ledger.report_period_seconds = self.period_seconds()
            self.ledger.tick(accounts, now)
            if self.gate.changed or now - reported_at >= REPORT_IDLE_SECONDS:
                reported_at = now
                await self._async_report()
            self._send_sums_to_ledgers()

    def period_seconds(self) -> float:
        """Return the seconds between reports."""
        return PERIOD_SECONDS * max(1.0, self.local_host_count / HOSTS_AT_PERIOD)

    def accounts(self) -> dict[str, Account]:
        """Return the active accounts by name."""
        routes = self.view.routes
        return routes.accounts.by_name if routes is not None else {}

    async def async_take(self, request: web.BaseRequest) -> web.Response:
        """Handle a report of another host."""
        body = await request.read()
        self.transferred["reports", "received"] += len(body)
        try:
            report = decode_report(body)
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        now = self.clock.monotonic()
        self.report_received_at = now
        answer = encode(self._answer(report, now))
        self.transferred["reports", "sent"] += len(answer)
        return web.Response(body=answer)

    def _answer(self, report: UsageReport, now: float) -> UsageAnswer:
        """Apply a report and return the answer for its host."""
        accounts = self.accounts()
        own = self.own.entry.name
        invalid = self.ledger.invalid_limits
        self.ledger.take(report, accounts, now, answered_here=report.answered_by == own)
        if self.ledger.invalid_limits > invalid:
            detail = f"limits passed on by {report.host} are out of range"
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=detail)
        if report.summed:
            return UsageAnswer([])
        names = [row.account for row in report.rows]
        limits = self.ledger.limits(accounts, names, now)
        self._log_limit_changes({row.account for row in limits if row.share < 1.0})
        return UsageAnswer(limits, self.view.certainty.proof(now), own)

    def _log_limit_changes(self, over_limit: set[str]) -> None:
        """Log accounts that went over their limits or came back within them."""
        for name in over_limit ^ self.over_limit:
            account = self.accounts().get(name)
            use = self.ledger.uses.get(name)
            if account is None or use is None:
                continue
            self.events.record(
                Event.ACCOUNT_LIMIT_CHANGED,
                account=name,
                over=name in over_limit,
                limit=account.requests_per_second,
                burst=account.burst,
                left=round(use.tokens, 1),
                asked=round(use.asked.read(self.clock.monotonic()), 1),
            )
        self.over_limit = over_limit

    async def _async_report(self) -> None:
        """Send this host's report to the first ledger candidate that answers."""
        rows = self.gate.report()
        report = UsageReport(
            self.own.entry.name,
            self.own.started,
            rows,
            unanswered=self.gate.unanswered,
            answered_by=self.answered_by,
        )
        for entry in self._ledger_candidates()[:ATTEMPTS_MAX]:
            requested_at = self.clock.monotonic()
            self._add_last_limits(report, entry, requested_at)
            answer = await self._async_request_answer(entry, report)
            if answer is not None:
                self._apply_answer(answer, requested_at)
                return
            if entry.name == self.limits_known_to:
                self.limits_known_to = ""
        self.gate.report_again(rows)

    def _add_last_limits(
        self, report: UsageReport, entry: HostEntry, now: float
    ) -> None:
        """Add the last limits for a ledger that may not know them.

        Such a ledger is another one than before, or one that has not answered.
        """
        is_known = entry.name == self.limits_known_to or self.gate.unanswered
        report.last_limits = [] if is_known else self.gate.last_limits()
        report.last_limits_age = 0.0 if is_known else self.gate.age_of_limits(now)

    def _apply_answer(self, answer: UsageAnswer, requested_at: float) -> None:
        """Apply the ledger's answer."""
        self.answered_by = self.limits_known_to = answer.ledger
        self.gate.told(answer.limits, requested_at, self.clock.monotonic())
        if answer.proof is not None:
            self.view.certainty.take(answer.proof, requested_at)

    async def _async_request_answer(
        self, entry: HostEntry, report: UsageReport
    ) -> UsageAnswer | None:
        """Return a host's answer to a report, or None without an answer."""
        now = self.clock.monotonic()
        if entry.name != self.own.entry.name:
            return await self._async_post_report(entry.peer_address, report)
        # Without recent reports, this host may be cut off from the others, which go on
        # using shares of the same limits.
        if (
            now - self.report_received_at > REPORT_VALID_SECONDS
            and len(self._candidate_hosts()) > 1
        ):
            return None
        return self._answer(report, now)

    async def _async_post_report(
        self, address: str, report: UsageReport
    ) -> UsageAnswer | None:
        """Send a report to another host; return None if it does not answer in time."""
        seconds = FULL_LINK_REPORT_SECONDS if self.link_is_full else REPORT_SECONDS
        return await self.sender.async_send(
            address, encode(report), decode_answer, seconds
        )

    def _candidate_hosts(self) -> list[HostEntry]:
        """Return the live hosts, and during startup also all hosts in the store."""
        now = self.clock.monotonic()
        candidates = {row.entry.name: row.entry for row in self.table.alive(now)}
        if now - self.started_at < STARTUP_SECONDS:
            candidates = {**self.view.hosts, **candidates}
        return list(candidates.values())

    def _ledger_candidates(self) -> list[HostEntry]:
        """Return the hosts to report to, in order of preference.

        The hosts of the own region come first, then the first-ranked host of each other
        region, to which a host that is alone in its region reports.
        """
        candidates = self._candidate_hosts()
        own = self.own.entry.region
        regions = sorted({entry.region for entry in candidates} - {own})
        chosen = rank_hosts(own, candidates)
        for region in regions:
            chosen += rank_hosts(region, candidates)[:1]
        return self.sender.without_skipped(chosen)

    def _send_sums_to_ledgers(self) -> None:
        """Send the sums of the hosts that report here to the other ledgers."""
        now = self.clock.monotonic()
        if now - self.ledger.heard_at > REPORT_VALID_SECONDS:
            return
        candidates = self._candidate_hosts()
        for region in sorted({entry.region for entry in candidates}):
            ranked = self.sender.without_skipped(rank_hosts(region, candidates))
            if ranked and ranked[0].name != self.own.entry.name:
                self._start_send(ranked[0].peer_address)

    def _start_send(self, address: str) -> None:
        """Start sending sums to a ledger unless a send is in progress."""
        if address in self.send_tasks:
            return
        task = asyncio.create_task(self._async_send_sums(address))
        self.send_tasks[address] = task
        task.add_done_callback(lambda _: self.send_tasks.pop(address, None))

    async def _async_send_sums(self, address: str) -> None:
        """Send the sums that changed since the ledger last acknowledged them."""
        acknowledged = self.acknowledged_sums.setdefault(address, {})
        rows = [
            UsageRow(row.account, row.asked, row.admitted)
            for row in self.ledger.sums.values()
            if acknowledged.get(row.account) != row.asked
        ]
        report = UsageReport(
            self.own.entry.name,
            self.own.started,
            rows,
            summed=True,
            silent_parts=dict(self.ledger.silent_parts),
            region=self.own.entry.region,
            moved=self.ledger.moved_hosts(self.clock.monotonic()),
        )
        if await self._async_post_report(address, report) is not None:
            acknowledged.update({row.account: row.asked for row in rows})
