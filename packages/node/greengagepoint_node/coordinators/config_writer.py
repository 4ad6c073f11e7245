"""Append operators' changes to the log in the store."""

from collections.abc import Callable, Sequence
from typing import Final

from greengagepoint.config.entries import Change, Entry
from greengagepoint.config.preparing import pin, prepare
from greengagepoint.config.snapshot import SNAPSHOT_ENTRIES
from greengagepoint.errors import (
    ErrorKind,
    GreengagepointError,
    RecordError,
    StoreError,
)
from greengagepoint.hosts import HostIdentity
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config_in_force import ConfigInForce
from greengagepoint_node.coordinators.config_store import Appended

APPLY_ATTEMPTS: Final = 16


class ConfigWriter:
    """Append changes, building on whatever other writers have appended."""

    def __init__(
        self,
        context: Context,
        in_force: ConfigInForce,
        live_hosts: Callable[[], Sequence[HostIdentity]],
    ) -> None:
        self.context = context
        self.in_force = in_force
        self.live_hosts = live_hosts
        self.write_count = 0

    async def async_apply(
        self, changes: Sequence[Change], author: str, write_id: str | None
    ) -> Entry:
        """Append changes as one entry and put them in force here."""
        self._refuse_unheard()
        write_id = write_id or self._new_write_id()
        pinned = pin(self.in_force.log, changes)
        await self._async_read_for_write()
        for _ in range(APPLY_ATTEMPTS):
            if done := self._entry_of(write_id):
                return done
            entry = self._prepare(pinned, author, write_id)
            appended = await self.in_force.stored.async_append(entry)
            if appended is Appended.SETTLED:
                self.in_force.reports.settled(entry)
            if appended is not Appended.TAKEN:
                self.in_force.take((entry,))
                await self._async_snapshot_after(entry)
                return entry
            # Another writer took this generation: read it and build on it.
            await self._async_read_for_write()
        raise StoreError(
            f"other writers were faster {APPLY_ATTEMPTS} times; apply it again"
        )

    def _prepare(self, changes: Sequence[Change], author: str, write_id: str) -> Entry:
        """Build the next entry; report a refusal."""
        at_ms = self.context.clock.wall_milliseconds()
        try:
            return prepare(self.in_force.log, changes, author, write_id, at_ms)
        except RecordError as error:
            self.in_force.reports.refused(error, author)
            raise

    def _refuse_unheard(self) -> None:
        """Refuse to write before a peer has told its head.

        A fresh host that sees a store restored from an old backup can't know that
        the others are ahead; its write would begin a second history. A peer's
        answer brings what is missing, and with it the check against the store.
        """
        me = self.context.host.name
        others = [host for host in self.live_hosts() if host.name != me]
        if others and not self.in_force.exchange.answered:
            raise GreengagepointError(
                "no other host has told its configuration yet", ErrorKind.NOT_READY
            )

    def _entry_of(self, write_id: str) -> Entry | None:
        """Return the entry that a write id made, where it is still held."""
        tail = self.in_force.log.tail
        return next((entry for entry in tail if entry.write_id == write_id), None)

    def _new_write_id(self) -> str:
        """Return an id that no other write has."""
        self.write_count += 1
        host = self.context.host
        return f"{host.name}/{host.incarnation}/{self.write_count}"

    async def _async_read_for_write(self) -> None:
        """Catch up with the store, refusing to write to one that has gone back."""
        await self.in_force.async_read()
        if self.in_force.reports.store_reverted:
            generation = self.in_force.log.generation
            raise StoreError(
                f"the store no longer holds generation {generation}, which is in force",
                ErrorKind.STORE_REVERTED,
            )

    async def _async_snapshot_after(self, entry: Entry) -> None:
        """Write a snapshot when one is due; a failure leaves it to the watchers."""
        if entry.generation % SNAPSHOT_ENTRIES:
            return
        try:
            await self.in_force.async_write_snapshot()
        except StoreError as error:
            self.in_force.reports.store(error)
