"""Claim idempotency keys in the store before a request is sent."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple, NoReturn

from greengagepoint.delivery import answers
from greengagepoint.delivery.answers import ClaimRow, ClaimTable, StoredAnswer
from greengagepoint.delivery.claims import (
    ClaimValue,
    Verdict,
    claim_key,
    decode,
    encode,
    judge,
)
from greengagepoint.delivery.messages import ClaimItem
from greengagepoint.errors import ErrorKind, Ran, RequestError, StoreError
from greengagepoint.events import Event
from greengagepoint.records.schemas import StoreOutage
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.claims_cleanup import AbandonedClaims
from greengagepoint_node.coordinators.claims_memory import MemoryOnlyClaims
from greengagepoint_node.coordinators.claims_writer import ClaimWriter, LiveHost

CLAIM_SECONDS_MAX: Final = 2.0
SETTLE_TRIES_MAX: Final = 4
HOUSEKEEPING_SECONDS: Final = 1.0
# A claim that has waited so long in vain tells that the store is down.
OUTAGE_SECONDS: Final = 1.0


class Claim(NamedTuple):
    """A key that this host holds for one request.

    ``memory_only`` says that the store was down and only this host knows of it.
    """

    key: str
    value: ClaimValue
    memory_only: bool


class ClaimsCoordinator:
    """Let a request with an idempotency key run at most once.

    Safety rests on the store's create-if-absent alone; memory only saves calls
    and lets an answer be given again.
    """

    def __init__(
        self, context: Context, live_hosts: Callable[[], Iterable[LiveHost]]
    ) -> None:
        self.context = context
        self.writer = ClaimWriter(context, live_hosts)
        self.table = ClaimTable()
        self.last_write_number = 0
        self.abandoned = AbandonedClaims(context)
        self.memory_only = MemoryOnlyClaims(self.writer.committer)
        self.store_down = False
        self.probing = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.housekeeping_at = 0.0

    async def async_start(self) -> None:
        """Start background work."""

    async def async_stop(self) -> None:
        """Release what was abandoned, store what only memory holds, and stop."""
        await self.abandoned.async_clean_up(all_rows=True)
        while self.memory_only and await self.memory_only.async_store():
            pass
        for task in self.tasks:
            task.cancel()
        self.writer.close()

    def tick(self, now: float) -> None:
        """Clean up abandoned claims and store those made during an outage."""
        if now < self.housekeeping_at or not (self.abandoned or self.memory_only):
            return
        self.housekeeping_at = float("inf")
        self._start(self._async_housekeeping())

    def replay(
        self, service: str, team: str, key: str, digest: str
    ) -> StoredAnswer | None:
        """Return the answer already given for a key, if this host kept it."""
        row = self.table.rows.get(claim_key(service, team, key))
        if row is None or row.value.digest != digest:
            return None
        return row.answer

    def remember(self, claim: Claim, answer: StoredAnswer | None) -> None:
        """Keep the answer of a claimed request; None where it is not known whole."""
        row = self.table.rows.get(claim.key)
        if row is not None and row.value.write_id == claim.value.write_id:
            answers.store_answer(self.table, claim.key, answer)

    async def async_claim(
        self,
        service: str,
        team: str,
        key: str,
        digest: str,
        store_outage: StoreOutage,
        wait_seconds: float = CLAIM_SECONDS_MAX,
    ) -> Claim:
        """Claim a key; raise RequestError unless this request may be sent."""
        store_key = claim_key(service, team, key)
        self._check_memory(store_key, digest)
        value = self._new_value(digest)
        # The row stands before the first await, so that a second request with the
        # key on this host cannot get past the check above while this one waits.
        answers.put(self.table, store_key, ClaimRow(value))
        try:
            claim = await self._async_decide(
                store_key, value, store_outage, wait_seconds
            )
        except BaseException:
            answers.drop(self.table, store_key)
            raise
        self.context.events.record(
            Event.KEY_CLAIMED, key=store_key, memory_only=claim.memory_only
        )
        return claim

    async def async_release(self, claim: Claim) -> None:
        """Give a key back because its request surely has not run."""
        answers.drop(self.table, claim.key)
        self.memory_only.discard(claim.key)
        self.abandoned.add(claim.key, claim.value)
        self.context.events.record(Event.KEY_RELEASED, key=claim.key)
        await self.abandoned.async_delete(claim.value.write_id)

    async def _async_decide(
        self,
        key: str,
        value: ClaimValue,
        store_outage: StoreOutage,
        wait_seconds: float,
    ) -> Claim:
        """Claim in the store, or in memory where the service allows that."""
        try:
            verdict = await self._async_claim_in_store(key, value, wait_seconds)
        except StoreError as error:
            self.abandoned.add(key, value)
            if error.kind is ErrorKind.STORE_ANSWER_INVALID:
                raise
            # A caller in a hurry finds the store slow where it is not down: that
            # alone must not weaken the promise.
            if store_outage is StoreOutage.REFUSE or not self.store_down:
                raise _unavailable(error) from error
            return self._claim_in_memory(key, value)
        except BaseException:
            self.abandoned.add(key, value)
            raise
        if verdict is not Verdict.WON:
            # A doubled message may still create this attempt's claim after the
            # holder has released the key, and nobody would ever release that one.
            self.abandoned.add(key, value)
            self._refuse(key, verdict, Ran.UNKNOWN)
        return Claim(key, value, memory_only=False)

    async def _async_claim_in_store(
        self, key: str, value: ClaimValue, wait_seconds: float
    ) -> Verdict:
        """Return who holds the key; raise StoreError when that can't be told."""
        # While the store is down one request at a time tries it. The others would
        # only wait for the same timeout and be refused late instead of at once.
        if self.store_down and self.probing:
            raise StoreError("The store did not answer a moment ago")
        self.probing = True
        try:
            async with asyncio.timeout(wait_seconds):
                verdict = await self._async_create_and_settle(key, value)
        except TimeoutError as error:
            self.store_down = self.store_down or wait_seconds >= OUTAGE_SECONDS
            raise StoreError(f"No answer within {wait_seconds} seconds") from error
        except StoreError as error:
            if error.kind is not ErrorKind.STORE_ANSWER_INVALID:
                self.store_down = True
            raise
        finally:
            self.probing = False
        self.store_down = False
        return verdict

    async def _async_create_and_settle(self, key: str, value: ClaimValue) -> Verdict:
        """Create the claim; read back whenever that leaves a doubt."""
        raw = encode(value)
        created = await self.writer.async_create(key, raw)
        for _ in range(SETTLE_TRIES_MAX):
            if created:
                return Verdict.WON
            verdict = await self._async_look(key, value)
            if verdict is not None:
                return verdict
            # Absent: a reply was lost before the write took effect, or the holder
            # has released the key. Writing again is safe with the same write id.
            created = await self.writer.committer.async_create(ClaimItem(key, raw))
        raise StoreError("The claim could not be settled")

    async def _async_look(self, key: str, value: ClaimValue) -> Verdict | None:
        """Judge the claim in the store, or return None when there is none."""
        found = await self.context.store.read(key)
        if found is None:
            return None
        holder = decode(found.value)
        if holder.write_id in self.abandoned:
            # This host gave that attempt up before anything was sent, and the
            # write took effect late: nobody else may ever send under it.
            await self.context.store.delete([(key, found.revision)])
            return None
        return judge(holder, value)

    def _claim_in_memory(self, key: str, value: ClaimValue) -> Claim:
        """Hold a key in memory only, as the service's record allows."""
        self.memory_only.add(key, self.table.rows[key])
        self.abandoned.discard(value.write_id)
        return Claim(key, value, memory_only=True)

    def _check_memory(self, key: str, digest: str) -> None:
        """Refuse a key that this host already knows, without asking the store."""
        row = self.table.rows.get(key)
        if row is None:
            return
        if row.value.digest != digest:
            self._refuse(key, Verdict.MISMATCH, Ran.NOT_RUN)
        self._refuse(key, Verdict.IN_USE, row.ran)

    def _refuse(self, key: str, verdict: Verdict, ran: Ran) -> NoReturn:
        """Raise the error for a key that another request holds."""
        self.context.events.record(Event.KEY_REFUSED, key=key, verdict=verdict.value)
        if verdict is Verdict.MISMATCH:
            raise RequestError(
                "The idempotency key was used for a different request",
                ErrorKind.KEY_MISMATCH,
            )
        raise RequestError(
            "Another request holds this idempotency key", ErrorKind.KEY_IN_USE, ran=ran
        )

    def _new_value(self, digest: str) -> ClaimValue:
        """Return a claim with a write id that no other attempt has."""
        self.last_write_number += 1
        host = self.context.host
        return ClaimValue(
            host.name,
            host.incarnation,
            f"{host.name}:{host.incarnation}:{self.last_write_number}",
            digest,
            self.context.clock.wall_milliseconds(),
        )

    async def _async_housekeeping(self) -> None:
        """Delete abandoned claims and store memory-only ones."""
        try:
            await self.abandoned.async_clean_up()
            await self.memory_only.async_store()
        finally:
            now = self.context.clock.monotonic()
            self.housekeeping_at = now + HOUSEKEEPING_SECONDS

    def _start(self, coroutine) -> None:
        """Run a coroutine until it ends or the coordinator stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _unavailable(error: StoreError) -> RequestError:
    """Return the refusal of a keyed request while the store is down."""
    return RequestError(
        f"The key could not be claimed: {error.detail}", ErrorKind.STORE_UNAVAILABLE
    )
