"""Report the keys that this host ran, apply weights, and act as coordinator.

The coordinator of a region is the first of its live, well-linked hosts by rendezvous
rank. It calculates weights of the region's servers from the reports of all hosts.
"""

import asyncio
from collections import Counter
from typing import Final

import msgspec
from aiohttp import web

from greengagepoint.events import Event
from greengagepoint.key_placement.coordinator import KeyCoordinator, Outcome
from greengagepoint.key_placement.following import AppliedWeights
from greengagepoint.key_placement.messages import (
    KeyUsageReport,
    KeyUsageRow,
    KeyWeights,
    KeyWeightsAnswer,
)
from greengagepoint.key_placement.usage import KeyUsage
from greengagepoint.protocols import Clock
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.region_hosts import ReportSender, rank_hosts
from greengagepoint_node.gateway.store_types import HostEntry
from greengagepoint_node.gateway.view import FleetView

KEY_USAGE_PATH: Final = "/v1/key-usage"
PERIOD_SECONDS: Final = 1.0
# With more hosts, each reports less often to keep the coordinators' load constant.
HOSTS_AT_PERIOD: Final = 60
# New weights reach a host without runs within this time.
IDLE_SECONDS: Final = 2.0
# The round trip between two regions is 40 ms.
REPORT_SECONDS: Final = 0.4
FULL_LINK_REPORT_SECONDS: Final = 2.0
ATTEMPTS_MAX: Final = 2
# Weights change each second at first; operators need the course, not each step.
LOG_SECONDS: Final = 10.0
# Senders of invalid messages that are remembered, so that each is logged once.
LOGGED_SENDERS_MAX: Final = 1_000

encode = msgspec.msgpack.Encoder().encode
decode_report = msgspec.msgpack.Decoder(KeyUsageReport).decode
decode_answer = msgspec.msgpack.Decoder(KeyWeightsAnswer).decode


class KeyPlacement:
    """Report to the coordinator of each region, and act as one when ranked first."""

    def __init__(
        self,
        own: HostState,
        view: FleetView,
        table: HostTable,
        usage: KeyUsage,
        sender: ReportSender,
        clock: Clock,
        events: EventSink,
        counts: Counter[tuple[str]],
    ) -> None:
        self.own = own
        self.view = view
        self.table = table
        self.usage = usage
        self.sender = sender
        self.clock = clock
        self.events = events
        self.counts = counts
        self.coordinator = KeyCoordinator(own.entry.region)
        self.applied = AppliedWeights()
        self.is_coordinator = False
        self.link_is_full = False
        self.answered_at: dict[str, float] = {}
        self.logged_at: dict[tuple[Event, str], float] = {}
        self.logged_senders: set[tuple[str, int]] = set()
        self.tasks: dict[str, asyncio.Task[None]] = {}

    async def async_run(self) -> None:
        """Report and balance until cancelled; do nothing while the mode is off."""
        await asyncio.gather(self._async_run_balancing(), self._async_run_reports())

    async def _async_run_balancing(self) -> None:
        """Balance each second."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            try:
                await self.async_balance()
            except Exception as error:
                self._record_failure(self.async_balance.__qualname__, error)

    async def _async_run_reports(self) -> None:
        """Report once per period."""
        while True:
            await asyncio.sleep(self.period_seconds())
            try:
                self.start_reports()
            except Exception as error:
                self._record_failure(self.start_reports.__qualname__, error)

    def _record_failure(self, where: str, error: Exception) -> None:
        """Log a round that failed; the next one starts from the state in force.

        If the task ended, this host would stay elected and balance nothing.
        """
        if self._may_log(Event.INTERNAL_ERROR, where, self.clock.monotonic()):
            self.events.record(Event.INTERNAL_ERROR, where=where, detail=repr(error))

    async def async_balance(self) -> None:
        """Adjust the weights of the own region if this host is its coordinator."""
        servers = self.view.servers
        if not servers.demand.is_on:
            self.usage.clear()
            self.applied.clear(servers)
            return
        self.applied.tick(servers)
        self._elect()
        if self.is_coordinator:
            await self._async_adjust()

    def start_reports(self) -> None:
        """Start a report to the coordinator of each region."""
        servers = self.view.servers
        if not servers.demand.is_on:
            return
        for region in sorted({region for _, region in servers.members}):
            if region not in self.tasks:
                self._start_report(region)

    def period_seconds(self) -> float:
        """Return the seconds between reports."""
        hosts = len(self.table.alive(self.clock.monotonic()))
        return PERIOD_SECONDS * max(1.0, hosts / HOSTS_AT_PERIOD)

    async def async_take(self, request: web.BaseRequest) -> web.Response:
        """Handle a report of another host."""
        body = await request.read()
        self.sender.transferred[self.sender.way, "received"] += len(body)
        try:
            report = decode_report(body)
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        answer = encode(self._answer(report))
        self.sender.transferred[self.sender.way, "sent"] += len(answer)
        return web.Response(body=answer)

    def _answer(self, report: KeyUsageReport) -> KeyWeightsAnswer:
        """Apply a report and return the weights that its host does not know yet."""
        now = self.clock.monotonic()
        own = self.own.entry
        self.counts[("reports_received",)] += 1
        if not self.view.servers.demand.is_on or report.region != own.region:
            return KeyWeightsAnswer()
        if self.is_coordinator:
            invalid = self.coordinator.apply(report, self.view.servers, now)
            if invalid:
                sender = (report.host, report.started)
                self._log_invalid(sender, invalid)
            started = self.own.started
            if self.coordinator.lacks_weights(report, own.name, started, now):
                self._start_takeover(report.host)
        message = self._current_message()
        if message is not None and not _is_unknown(report, message):
            message = None
        return KeyWeightsAnswer(message, counted=self.is_coordinator)

    def _current_message(self) -> KeyWeights | None:
        """Return the weights of the own region that this host answers with.

        A host that is not the coordinator passes on those that it applies, so that a
        coordinator that is slow for a moment is not replaced.
        """
        own = self.own
        if self.is_coordinator:
            if not self.coordinator.version:
                return None
            return self.coordinator.create_message(own.entry.name, own.started)
        placement = self.applied.of_region(own.entry.region)
        return placement.create_message() if placement.version else None

    def _ranked_hosts(self, region: str) -> list[HostEntry]:
        """Return the live hosts of a region, the coordinator first."""
        alive = self.table.alive(self.clock.monotonic())
        return rank_hosts(region, [state.entry for state in alive])

    def _elect(self) -> None:
        """Become coordinator, or stop, as the live hosts of the own region change."""
        entry = self.own.entry
        ranked = self._ranked_hosts(entry.region)
        is_first = bool(ranked) and ranked[0].name == entry.name
        if is_first == self.is_coordinator:
            return
        self.is_coordinator = is_first
        placement = self.applied.of_region(entry.region)
        if is_first and placement.version:
            self.coordinator.seed(placement.weights, placement.homes)
        self.events.record(
            Event.KEY_COORDINATOR_CHANGED,
            region=entry.region,
            coordinator=ranked[0].name if ranked else "",
            hosts=len(ranked),
            version=self.coordinator.version,
            weights=len(placement.weights),
            age=self._age(placement.received_at),
        )

    async def _async_adjust(self) -> None:
        """Adjust the weights of the own region and apply them here."""
        coordinator = self.coordinator
        coordinator.period_seconds = self.period_seconds()
        now = self.clock.monotonic()
        for outcome in coordinator.balance(self.view.servers, now):
            if outcome is None:
                await asyncio.sleep(0)
            else:
                self._record_outcome(outcome, now)
        message = self._current_message()
        if message is not None:
            self._apply(coordinator.region, message)

    def _record_outcome(self, outcome: Outcome, now: float) -> None:
        """Count and log what a round of balancing changed."""
        self.counts[("keys_moved",)] += outcome.moved
        if self._may_log(Event.KEYS_BALANCED, outcome.service, now):
            self.events.record(
                Event.KEYS_BALANCED,
                region=self.coordinator.region,
                service=outcome.service,
                version=self.coordinator.version,
                keys=outcome.keys,
                servers=outcome.servers,
                moved=outcome.moved,
                before=round(outcome.before, 1),
                after=round(outcome.after, 1),
                cold_share=round(outcome.cold_share, 2),
                homes=outcome.homes,
            )

    def _start_report(self, region: str) -> None:
        """Start the report to a region's coordinator if there is a reason for one."""
        now = self.clock.monotonic()
        idle = now - self.answered_at.get(region, float("-inf")) < IDLE_SECONDS
        if idle and not self.usage.regions.get(region):
            return
        task = asyncio.create_task(self._async_report(region))
        self.tasks[region] = task
        task.add_done_callback(lambda _: self.tasks.pop(region, None))

    async def _async_report(self, region: str) -> None:
        """Report to the first candidates of a region until one answers."""
        rows = self.usage.take(region)
        known = self.applied.of_region(region)
        report = KeyUsageReport(
            self.own.entry.name,
            self.own.started,
            region,
            known.version,
            rows,
            known.coordinator,
            known.started,
        )
        candidates = self.sender.without_skipped(self._ranked_hosts(region))
        for entry in candidates[:ATTEMPTS_MAX]:
            answer = await self._async_answer_of(entry, report)
            if answer is not None:
                self._apply_answer(entry.name, region, rows, answer)
                return
        self.counts[("reports_unanswered",)] += 1
        self.usage.put_back(region, rows)

    def _apply_answer(
        self,
        sender: str,
        region: str,
        rows: list[KeyUsageRow],
        answer: KeyWeightsAnswer,
    ) -> None:
        """Apply an answer, and keep the rows if no coordinator has counted them."""
        self.counts[("reports_answered",)] += 1
        self.answered_at[region] = self.clock.monotonic()
        if answer.counted:
            self.counts[("runs",)] += sum(row.runs for row in rows)
            self.counts[("cold_runs",)] += sum(row.cold_runs for row in rows)
        else:
            self.usage.put_back(region, rows)
        if answer.weights is not None:
            is_own = answer.counted and answer.weights.coordinator == sender
            self._apply(region, answer.weights, is_passed_on=not is_own)

    async def _async_answer_of(
        self, entry: HostEntry, report: KeyUsageReport
    ) -> KeyWeightsAnswer | None:
        """Return a host's answer to a report, or None without one."""
        if entry.name == self.own.entry.name:
            return self._answer(report)
        seconds = FULL_LINK_REPORT_SECONDS if self.link_is_full else REPORT_SECONDS
        return await self.sender.async_send(
            entry.peer_address, encode(report), decode_answer, seconds
        )

    def _start_takeover(self, host: str) -> None:
        """Ask a host of the fleet for the weights of the former coordinator."""
        heard = self.table.peers_by_name.get(host)
        if heard is None or host in self.tasks:
            return
        task = asyncio.create_task(self._async_take_over(heard.state.entry))
        self.tasks[host] = task
        task.add_done_callback(lambda _: self.tasks.pop(host, None))

    async def _async_take_over(self, entry: HostEntry) -> None:
        """Start from the weights that a host applies for the own region."""
        own = self.own
        region = self.coordinator.region
        ask = KeyUsageReport(own.entry.name, own.started, region, 0, [])
        answer = await self._async_answer_of(entry, ask)
        if answer is None or answer.weights is None or self.coordinator.seeded:
            return
        if (answer.weights.coordinator, answer.weights.started) == (
            own.entry.name,
            own.started,
        ):
            return
        self._apply(region, answer.weights)
        placement = self.applied.of_region(region)
        self.coordinator.seed(placement.weights, placement.homes)

    def _apply(
        self, region: str, message: KeyWeights, *, is_passed_on: bool = False
    ) -> None:
        """Apply weights that are newer than those in force, and log what is new."""
        now = self.clock.monotonic()
        before = self.applied.of_region(region)
        invalid = self.applied.apply(
            region, message, self.view.servers, now, is_passed_on=is_passed_on
        )
        if invalid is None:
            return
        if invalid:
            self._log_invalid((message.coordinator, message.started), invalid)
        placement = self.applied.of_region(region)
        if placement is before:
            return
        self.counts[("weights_applied",)] += 1
        changed = before.coordinator != placement.coordinator
        if self._may_log(Event.KEY_WEIGHTS_APPLIED, region, now) or changed:
            self.events.record(
                Event.KEY_WEIGHTS_APPLIED,
                region=region,
                coordinator=placement.coordinator,
                before=before.coordinator,
                version=placement.version,
                weights=len(placement.weights),
                homes=placement.homes,
                age=self._age(before.received_at),
            )

    def _log_invalid(self, sender: tuple[str, int], invalid: int) -> None:
        """Count invalid rows; log the first message with some of each sender."""
        self.counts[("invalid_rows",)] += invalid
        if sender in self.logged_senders:
            return
        if len(self.logged_senders) < LOGGED_SENDERS_MAX:
            self.logged_senders.add(sender)
            self.events.record(
                Event.KEY_PLACEMENT_INVALID,
                host=sender[0],
                out_of_range=invalid,
            )

    def _may_log(self, event: Event, name: str, now: float) -> bool:
        """Return True if an event was not logged recently for a name."""
        if now - self.logged_at.get((event, name), float("-inf")) < LOG_SECONDS:
            return False
        self.logged_at[event, name] = now
        return True

    def _age(self, since: float) -> float:
        """Return the seconds since a time, -1 if it never was."""
        age = self.clock.monotonic() - since
        return round(age, 3) if age != float("inf") else -1.0


def _is_unknown(report: KeyUsageReport, message: KeyWeights) -> bool:
    """Return True if a host that sent a report does not know some weights yet."""
    known = (report.coordinator, report.coordinator_started)
    if known != (message.coordinator, message.started):
        return True
    return report.known_version < message.version
