"""Report to one host of the region, its ledger, and hear what all hosts did together.

The host that watches the store for its region also adds up what the region's hosts
admit of each account. It tells the ledgers of other regions, and answers each report
with the accounts that are over their limits and a proof of the newest configuration.
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
from greengagepoint.config.watchers import well_linked
from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint.rendezvous import rank
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip_messages import HostState
from greengagepoint_node.gateway.host_table import HostTable
from greengagepoint_node.gateway.store_types import HostEntry
from greengagepoint_node.gateway.view import FleetView

REPORTS_PATH: Final = "/v1/region-reports"
# An account that floods goes on for about two of these before all hosts know.
PERIOD_SECONDS: Final = 0.2
# In a region of more hosts each one reports less often, so that its ledger has no more
# to answer.
HOSTS_AT_PERIOD: Final = 60
# Two regions are 40 ms apart there and back.
REPORT_SECONDS: Final = 0.4
FULL_LINK_REPORT_SECONDS: Final = 2.0
# A host that did not answer is passed over for as long.
FAILED_SECONDS: Final = 2.0
TRIES: Final = 2
# A host that hears of others' use by reports is one that they reach.
HEARD_SECONDS: Final = 1.0
# Hosts that are in the store, but not heard of, may be about to start with this one.
STARTING_SECONDS: Final = 5.0

encode = msgspec.msgpack.Encoder().encode
decode_report = msgspec.msgpack.Decoder(UsageReport).decode
decode_answer = msgspec.msgpack.Decoder(UsageAnswer).decode


class RegionReports:
    """Tell the region's ledger what this host does, and be that ledger if chosen."""

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
        self.answered_by = ""
        self.session = session
        self.clock = clock
        self.events = events
        self.transferred = transferred
        self.started_at = clock.monotonic()
        self.heard_at = float("-inf")
        self.failed_until: dict[str, float] = {}
        self.told_sums: dict[str, dict[str, int]] = {}
        self.link_is_full = False
        self.near_hosts = 1
        self.over: set[str] = set()
        self.sends: dict[str, asyncio.Task[None]] = {}

    async def async_run(self) -> None:
        """Report until cancelled; where there are no accounts there are no reports."""
        reported_at = float("-inf")
        while True:
            await asyncio.sleep(self.period_seconds())
            accounts = self.accounts()
            if not accounts:
                continue
            now = self.clock.monotonic()
            self.ledger.tick(accounts, now)
            if self.gate.changed or now - reported_at >= REPORT_IDLE_SECONDS:
                reported_at = now
                await self._async_report()
            self._tell_others()

    def period_seconds(self) -> float:
        """Return how often to report."""
        return PERIOD_SECONDS * max(1.0, self.near_hosts / HOSTS_AT_PERIOD)

    def accounts(self) -> dict[str, Account]:
        """Return the accounts in force by name."""
        routes = self.view.routes
        return routes.accounts.by_name if routes is not None else {}

    async def async_take(self, request: web.BaseRequest) -> web.Response:
        """Answer a report of another host."""
        body = await request.read()
        self.transferred["reports", "received"] += len(body)
        try:
            report = decode_report(body)
        except msgspec.MsgspecError as error:
            self.events.record(Event.PEER_MESSAGE_REJECTED, detail=str(error))
            return web.Response(status=400)
        now = self.clock.monotonic()
        self.heard_at = now
        answer = encode(self._answer(report, now))
        self.transferred["reports", "sent"] += len(answer)
        return web.Response(body=answer)

    def _answer(self, report: UsageReport, now: float) -> UsageAnswer:
        """Take in a report and return what its host is told."""
        accounts = self.accounts()
        own = self.own.entry.name
        self.ledger.take(report, accounts, now, answered_here=report.answered_by == own)
        if report.summed:
            return UsageAnswer([])
        names = [row.account for row in report.rows]
        limits = self.ledger.limits(accounts, names, now)
        self._note_limits({row.account for row in limits if row.share < 1.0})
        return UsageAnswer(limits, self.view.certainty.proof(now), own)

    def _note_limits(self, over: set[str]) -> None:
        """Log accounts that have come to be over their limits, or to be within."""
        for name in over ^ self.over:
            account = self.accounts().get(name)
            use = self.ledger.uses.get(name)
            if account is None or use is None:
                continue
            self.events.record(
                Event.ACCOUNT_LIMIT_CHANGED,
                account=name,
                over=name in over,
                limit=account.requests_per_second,
                burst=account.burst,
                left=round(use.tokens, 1),
                asked=round(use.asked.read(self.clock.monotonic()), 1),
            )
        self.over = over

    async def _async_report(self) -> None:
        """Report to the first host that answers."""
        rows = self.gate.report()
        report = UsageReport(
            self.own.entry.name,
            self.own.started,
            rows,
            unanswered=self.gate.unanswered,
            answered_by=self.answered_by,
        )
        for entry in self._ledgers()[:TRIES]:
            asked_at = self.clock.monotonic()
            answer = await self._async_ask(entry, report)
            if answer is not None:
                self._take_answer(answer, asked_at)
                return
        self.gate.report_again(rows)

    def _take_answer(self, answer: UsageAnswer, asked_at: float) -> None:
        """Take in what the ledger told."""
        self.answered_by = answer.ledger
        self.gate.told(answer.limits, asked_at, self.clock.monotonic())
        if answer.proof is not None:
            self.view.certainty.take(answer.proof, asked_at)

    async def _async_ask(
        self, entry: HostEntry, report: UsageReport
    ) -> UsageAnswer | None:
        """Return a host's answer to a report, None where it gives none."""
        now = self.clock.monotonic()
        if entry.name != self.own.entry.name:
            return await self._async_send(entry.peer_address, report)
        # Alone, a host can't tell whether the others have been cut off from it, and
        # go on with parts of the same limits.
        if now - self.heard_at > HEARD_SECONDS and len(self._known()) > 1:
            return None
        return self._answer(report, now)

    async def _async_send(
        self, address: str, report: UsageReport
    ) -> UsageAnswer | None:
        """Send a report to another host; None where it does not answer in time."""
        body = encode(report)
        self.transferred["reports", "sent"] += len(body)
        url = f"http://{address}{REPORTS_PATH}"
        seconds = FULL_LINK_REPORT_SECONDS if self.link_is_full else REPORT_SECONDS
        try:
            async with asyncio.timeout(seconds):
                async with self.session.post(url, data=body) as answer:
                    data = await answer.read()
            self.transferred["reports", "received"] += len(data)
            return decode_answer(data)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            self.failed_until[address] = self.clock.monotonic() + FAILED_SECONDS
            detail = type(error).__name__
            self.events.record(
                Event.PEER_MESSAGE_DROPPED, address=address, detail=detail
            )
            return None

    def _known(self) -> list[HostEntry]:
        """Return the hosts that live, and for a while those that may yet start."""
        now = self.clock.monotonic()
        known = {row.entry.name: row.entry for row in self.table.alive(now)}
        if now - self.started_at < STARTING_SECONDS:
            known = {**self.view.hosts, **known}
        return list(known.values())

    def _ledgers(self) -> list[HostEntry]:
        """Return whom to report to, the first choice first.

        Those of the own region, then the first of each other one: a host that is alone
        in its region reports there.
        """
        known = self._known()
        own = self.own.entry.region
        regions = sorted({entry.region for entry in known} - {own})
        chosen = self._ranked(own, known)
        for region in regions:
            chosen += self._ranked(region, known)[:1]
        now = self.clock.monotonic()
        return [
            entry
            for entry in chosen
            if self.failed_until.get(entry.peer_address, 0.0) <= now
        ]

    def _ranked(self, region: str, known: list[HostEntry]) -> list[HostEntry]:
        """Return the hosts of a region in the order in which they are chosen."""
        near = [entry for entry in known if entry.region == region]
        return rank(region, well_linked(near), lambda entry: entry.name)

    def _tell_others(self) -> None:
        """Tell the other ledgers what the hosts that report here do."""
        now = self.clock.monotonic()
        if now - self.ledger.heard_at > HEARD_SECONDS:
            return
        known = self._known()
        for region in sorted({entry.region for entry in known}):
            ranked = [
                entry
                for entry in self._ranked(region, known)
                if self.failed_until.get(entry.peer_address, 0.0) <= now
            ]
            if ranked and ranked[0].name != self.own.entry.name:
                self._start(ranked[0].peer_address)

    def _start(self, address: str) -> None:
        """Tell one ledger, one message at a time."""
        if address in self.sends:
            return
        task = asyncio.create_task(self._async_tell(address))
        self.sends[address] = task
        task.add_done_callback(lambda _: self.sends.pop(address, None))

    async def _async_tell(self, address: str) -> None:
        """Send the sums that a ledger was not told; it keeps what it was told last."""
        told = self.told_sums.setdefault(address, {})
        rows = [
            UsageRow(row.account, row.asked, row.admitted)
            for row in self.ledger.sums.values()
            if told.get(row.account) != row.asked
        ]
        report = UsageReport(
            self.own.entry.name,
            self.own.started,
            rows,
            summed=True,
            silent_parts=dict(self.ledger.silent_parts),
            region=self.own.entry.region,
        )
        if await self._async_send(address, report) is not None:
            told.update({row.account: row.asked for row in rows})
