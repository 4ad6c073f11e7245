"""Check that hosts pass their limits on when they turn to another ledger."""

import asyncio
import contextlib
from itertools import count, cycle

import aiohttp
import msgspec
from deployment import async_until
from gateway_world import (
    HOST,
    NAMES,
    async_environment,
    create_daemon,
    create_facts,
    free_address,
    routes,
)

from greengagepoint.accounts.messages import (
    LimitRow,
    UsageAnswer,
    UsageReport,
    UsageRow,
)
from greengagepoint.accounts.tables import Account
from greengagepoint.events import Event
from greengagepoint_node.gateway.region_reports import decode_answer, decode_report
from greengagepoint_node.gateway.store_types import HostEntry

SMALL = Account(name="small", requests_per_second=5.0, burst=5.0)
ACCOUNTS = ((SMALL, ["k3yofsmall67890abcde"]),)
LIMIT = LimitRow("small", 0.25, 20.0, 0)


class Ledgers:
    """Answer a host's reports in place of other hosts, and record them."""

    def __init__(self, reports, names):
        self.entries = [
            HostEntry(name, "north", "z", name, f"127.0.0.1:{port}")
            for port, name in enumerate(names, 1)
        ]
        self.lost = set()
        self.received = []
        reports._ledger_candidates = lambda: self.entries
        reports._async_request_answer = self.async_answer

    async def async_answer(self, entry, report):
        limits = [row.account for row in report.last_limits]
        self.received.append((entry.name, limits, report.last_limits_age))
        return (
            None if entry.name in self.lost else UsageAnswer([LIMIT], None, entry.name)
        )


async def test_only_a_ledger_that_may_not_know_the_limits_receives_them():
    """Guards against a new ledger without figures, and against needless bytes."""
    async with async_environment(accounts=ACCOUNTS) as env:
        reports, now = env.daemon.reports, env.clock.monotonic
        ledgers = Ledgers(reports, ["first", "second"])
        reports.gate.admit(SMALL, now())
        reports.gate.told([LIMIT], now(), now())
        reports.limits_known_to = "first"
        ledgers.received.clear()
        await reports._async_report()
        ledgers.lost = {"first"}
        await reports._async_report()
        await reports._async_report()
        ledgers.lost = set()
        await reports._async_report()
        seen = [(name, limits) for name, limits, _ in ledgers.received]
        assert seen == [
            ("first", []),
            ("first", []),
            ("second", ["small"]),
            ("first", ["small"]),
            ("second", []),
            ("first", ["small"]),
        ]
        assert all(0.0 <= age < 60.0 for *_, age in ledgers.received)


async def test_invalid_limits_are_logged_and_the_report_is_answered():
    """Guards against one host's figures that cut it off or limit an account."""
    async with async_environment(accounts=ACCOUNTS) as env:
        reports = env.daemon.reports
        limits = [LimitRow("small", 0.0, float("nan"), 0)]
        report = UsageReport("h", 1, [UsageRow("small", 9, 9)], last_limits=limits)
        answer = reports._answer(report, env.clock.monotonic())
        assert [row.share for row in answer.limits] == [1.0]
        lines = env.events.of(Event.PEER_MESSAGE_REJECTED)
        assert [row["detail"] for row in lines] == [
            "limits passed on by h are out of range"
        ]


def test_messages_of_hosts_of_the_previous_build_are_decoded():
    """Guards against reports that are rejected while a fleet is updated."""
    fields = ["h", 1, [["small", 3, 2]], False, False, {}, "", ""]
    report = decode_report(msgspec.msgpack.encode(fields))
    assert (report.last_limits, report.last_limits_age) == ([], 0.0)
    answer = [[["small", 0.5, 9.0]], None, "h"]
    limits = decode_answer(msgspec.msgpack.encode(answer)).limits
    assert limits == [LimitRow("small", 0.5, 9.0, None)]


@contextlib.asynccontextmanager
async def async_hosts(number):
    """Run gateways of one region that know each other, without servers."""
    facts = create_facts([], routes(), ACCOUNTS)
    addresses = [free_address() for _ in range(number)]
    daemons = [
        create_daemon(facts, host=f"h{index}", peer_address=own, seeds=tuple(addresses))
        for index, own in enumerate(addresses)
    ]
    for daemon in daemons:
        await daemon.async_start()
    try:
        await async_until(
            lambda: all(
                daemon.is_ready() and daemon.gauges().hosts_alive == number
                for daemon in daemons
            )
        )
        yield daemons
    finally:
        for daemon in daemons:
            await async_kill(daemon)


async def async_kill(daemon):
    """End a gateway without a graceful stop."""
    for task in daemon.tasks:
        task.cancel()
    for listener in daemon.listeners:
        await listener.async_close(0.02)
    await daemon.sessions.async_close()
    for part in (daemon.gossip, daemon.reports, daemon.quotas):
        await part.session.close()


@contextlib.asynccontextmanager
async def async_flood(daemons):
    """Send requests of the small account to gateways until the block ends."""
    numbers, key = count(), ACCOUNTS[0][1][0]

    async def async_send(session):
        for daemon in cycle(daemons):
            headers = {
                "Host": HOST,
                NAMES.request_id: f"id-{next(numbers)}",
                "Authorization": f"Bearer {key}",
            }
            url = f"http://{daemon.settings.front_address}/safe/1"
            async with session.get(url, headers=headers):
                await asyncio.sleep(0.005)

    async with aiohttp.ClientSession() as session:
        task = asyncio.create_task(async_send(session))
        try:
            yield
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


def share(daemon):
    """Return the share of requests that a gateway admits of the small account."""
    use = daemon.gate.uses.get(SMALL.name)
    return use.share if use is not None else 1.0


async def test_a_flood_stays_limited_when_its_ledger_is_killed():
    """Guards against a new ledger whose first answers admit a flood in full."""
    async with async_hosts(3) as daemons:
        ledger = daemons[0].reports._ledger_candidates()[0].name
        first = next(row for row in daemons if row.settings.host == ledger)
        others = [daemon for daemon in daemons if daemon is not first]
        async with async_flood(others):
            await async_until(
                lambda: all(
                    share(daemon) < 0.5 and daemon.reports.answered_by == ledger
                    for daemon in others
                )
            )
            shares = []
            for daemon in others:
                record_shares(daemon, shares)
            await async_kill(first)
            await async_until(
                lambda: all(daemon.reports.answered_by != ledger for daemon in others)
            )
            await async_until(lambda: len(shares) >= 6)
        assert max(shares) < 1.0


def record_shares(daemon, shares):
    """Record the shares in all answers that a gateway applies from now on."""
    told = daemon.gate.told

    def record(limits, asked_at, now):
        told(limits, asked_at, now)
        shares.append(share(daemon))

    daemon.gate.told = record
