"""Count what teams send and bring the counters to the store."""

import asyncio
from collections.abc import Callable, Sequence
from itertools import groupby
from typing import Final

from greengagepoint.errors import StoreError
from greengagepoint.events import Event
from greengagepoint.hosts import HostIdentity
from greengagepoint.usage import sharing
from greengagepoint.usage.counters import UsageLine, add_up, merge, row_key
from greengagepoint.usage.messages import Share, ShareAck, UsageRow
from greengagepoint.usage.store_values import (
    USAGE_PREFIX,
    UsageKey,
    decode_key,
    decode_record,
    encode_key,
    encode_record,
    merge_record,
    write_seconds,
)
from greengagepoint.usage.tables import UsageOutcome, UsageTables
from greengagepoint_node.context import Context

READ_PAGE_KEYS: Final = 200
WRITE_ATTEMPTS: Final = 4
STOP_SECONDS: Final = 3.0
# Every so many rounds all days are compared with the store again: a store restored
# from a backup has lost values that were known to be written.
ROUNDS_PER_CHECK: Final = 20
DELETE_BATCH_KEYS: Final = 100


class UsageCoordinator:
    """Count requests, share the counters with holders and write them to the store.

    ``live_hosts`` tells who is alive in this host's view; ``candidates`` who may hold
    counters (by default the same); ``population`` how many hosts there are.
    """

    def __init__(
        self,
        context: Context,
        live_hosts: Callable[[], Sequence[HostIdentity]],
        *,
        candidates: Callable[[], Sequence[HostIdentity]] | None = None,
        population: Callable[[], int] | None = None,
    ) -> None:
        self.context = context
        self.live_hosts = live_hosts
        self.candidates = candidates or live_hosts
        self.population = population or (lambda: len(live_hosts()))
        self.tables = UsageTables(context.host.name, context.host.incarnation)
        self.unsubscribes: list[Callable[[], None]] = []
        self.writer: asyncio.Task[None] | None = None
        self.write_failed = False
        self.tick(context.clock.monotonic())

    async def async_start(self) -> None:
        """Hold other hosts' counters and write the own ones from time to time."""
        subscribe = self.context.peers.subscribe
        self.unsubscribes = [
            subscribe(Share, self.receive_share),
            subscribe(ShareAck, self.receive_ack),
        ]
        self.writer = asyncio.create_task(self._async_write_rounds())

    async def async_stop(self) -> None:
        """Write all counters; what the store does not take is left to holders."""
        if self.writer is not None:
            self.writer.cancel()
            await asyncio.gather(self.writer, return_exceptions=True)
            self.writer = None
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self.async_write()
        except TimeoutError:
            self._report_failure("the store did not answer while stopping")
        now = self.context.clock.monotonic()
        holders = sharing.choose_holders(
            self.tables, self.context.host, self.candidates(), now
        )
        self._send(sharing.share_now(self.tables, holders, now))
        while self.unsubscribes:
            self.unsubscribes.pop()()

    def tick(self, now: float) -> None:
        """Share what has changed."""
        wall = self.context.clock.wall_milliseconds()
        host = self.context.host
        self._send(sharing.run_shares(self.tables, host, self.candidates(), now, wall))

    def count(
        self,
        team: str,
        service: str,
        outcome: UsageOutcome,
        bytes_in: int,
        bytes_out: int,
    ) -> None:
        """Count one request that has ended."""
        self.tables.count(team, service, outcome, bytes_in, bytes_out)

    async def async_report(
        self, since: str | None = None, until: str | None = None
    ) -> list[UsageLine]:
        """Return usage from day to day, both included, as YYYY-MM-DD in UTC.

        What is in the store is merged with what this host counted and holds. Raise
        StoreError when the store cannot be read.
        """
        runs = await self._async_read_runs(since, until)
        for key, rows in self._own_runs():
            if (since is None or key.day >= since) and (
                until is None or key.day <= until
            ):
                held = runs.get(key, {})
                runs[key] = merge(held, rows)
        return add_up(rows.values() for rows in runs.values())

    async def async_write(self) -> bool:
        """Write own counters and those of ended runs; tell whether all were taken."""
        try:
            await self._async_write_own()
            await self._async_write_orphans()
        except StoreError as error:
            self._report_failure(error.detail)
            return False
        self.write_failed = False
        return True

    async def async_prune(self, before: str) -> int:
        """Delete the counters of days before a day from the store; return how many."""
        deleted = 0
        while True:
            page = await self.context.store.read_prefix(
                USAGE_PREFIX, limit=DELETE_BATCH_KEYS
            )
            items = [
                (value.key, value.revision)
                for value in page.values
                if (key := decode_key(value.key)) and key.day < before
            ]
            if not items:
                return deleted
            deleted += sum(await self.context.store.delete(items))

    async def _async_write_rounds(self) -> None:
        """Write again and again, at times that differ between hosts."""
        rounds = 0
        while True:
            period = write_seconds(self.population())
            await asyncio.sleep(period * (0.75 + 0.5 * self.context.random.random()))
            rounds += 1
            if rounds % ROUNDS_PER_CHECK == 0:
                self.tables.written.clear()
            await self.async_write()

    async def _async_write_own(self) -> None:
        """Write the days that changed since they were last known to be written."""
        tables = self.tables
        for day in tables.days():
            written = tables.written.get(day, 0)
            if tables.last_change(day) <= written:
                continue
            sealed = tables.seal()
            key = UsageKey(day, tables.host, tables.incarnation)
            rows = tables.rows_after(0, day)
            await self._async_merge(key, sealed, rows)
            tables.written[day] = sealed

    async def _async_write_orphans(self) -> None:
        """Write the counters of ended runs on their behalf and let go of them."""
        now = self.context.clock.monotonic()
        for host, incarnation in sharing.orphans(self.tables, self.live_hosts(), now):
            run = self.tables.held[(host, incarnation)]
            for day, rows in _by_day(run.rows.values()):
                key = UsageKey(day, host, incarnation)
                await self._async_merge(key, run.sequence, rows)
            if self.tables.held.get((host, incarnation)) is run:
                del self.tables.held[(host, incarnation)]

    async def _async_merge(
        self, key: UsageKey, sequence: int, rows: Sequence[UsageRow]
    ) -> None:
        """Merge rows into one value of the store by compare-and-swap.

        A write whose reply was lost raises; the next round reads the value and finds
        that nothing is left to write, or writes it again: the merge is idempotent.
        """
        store = self.context.store
        text = encode_key(key)
        for _ in range(WRITE_ATTEMPTS):
            value = await store.read(text)
            held = decode_record(value.value) if value else None
            if value is not None and held is None:
                self.context.events.record(Event.STORE_ANSWER_INVALID, key=text)
            record = merge_record(held, key, sequence, rows)
            if record is None:
                return
            revision = value.revision if value else 0
            if await store.replace(text, encode_record(record), revision=revision):
                self.context.events.record(
                    Event.USAGE_WRITTEN,
                    subject=key.host,
                    day=key.day,
                    sequence=record.sequence,
                )
                return
        raise StoreError(f"{text} was changed by others {WRITE_ATTEMPTS} times")

    async def _async_read_runs(
        self, since: str | None, until: str | None
    ) -> dict[UsageKey, dict]:
        """Read the values of some days page by page."""
        runs: dict[UsageKey, dict] = {}
        from_key = USAGE_PREFIX + (since or "")
        while True:
            page = await self.context.store.read_prefix(
                USAGE_PREFIX, from_key=from_key, limit=READ_PAGE_KEYS
            )
            for value in page.values:
                key = decode_key(value.key)
                if key is not None and until is not None and key.day > until:
                    return runs
                record = decode_record(value.value)
                if key is None or record is None:
                    self.context.events.record(
                        Event.STORE_ANSWER_INVALID, key=value.key
                    )
                    continue
                runs[key] = {row_key(row): row for row in record.rows}
            if len(page.values) < READ_PAGE_KEYS:
                return runs
            from_key = page.values[-1].key + "\0"

    def _own_runs(self) -> list[tuple[UsageKey, list[UsageRow]]]:
        """Return what this host counted and holds for others, by run and day."""
        tables = self.tables
        runs = [((tables.host, tables.incarnation), tables.rows_after(0))]
        runs += [(key, tuple(run.rows.values())) for key, run in tables.held.items()]
        return [
            (UsageKey(day, host, incarnation), day_rows)
            for (host, incarnation), rows in runs
            for day, day_rows in _by_day(rows)
        ]

    def receive_share(self, sender: str, share: Share) -> None:
        """Hold another host's counters."""
        now = self.context.clock.monotonic()
        self._send([sharing.receive_share(self.tables, sender, share, now)])

    def receive_ack(self, sender: str, ack: ShareAck) -> None:
        """Note what a holder holds."""
        sharing.receive_ack(self.tables, sender, ack)

    def _send(self, sends: Sequence[sharing.ShareSend]) -> None:
        """Hand messages to the peer links; lost ones are sent again with the next."""
        for host, message in sends:
            self.context.peers.send(host, message)

    def _report_failure(self, detail: str) -> None:
        """Record the first failure of an outage."""
        if not self.write_failed:
            self.context.events.record(Event.USAGE_WRITE_FAILED, detail=detail)
        self.write_failed = True


def _by_day(rows: Sequence[UsageRow]) -> list[tuple[str, list[UsageRow]]]:
    """Group rows by their day."""
    ordered = sorted(rows, key=row_key)
    return [(day, list(group)) for day, group in groupby(ordered, lambda row: row.day)]
