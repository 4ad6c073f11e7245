"""Keep the configuration log in the platform's key-value service."""

import asyncio
from collections.abc import Sequence
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.config.entries import Entry, decode_entry
from greengagepoint.config.layout import (
    LOG_PREFIX,
    SNAPSHOT_KEY,
    log_key,
    snapshot_part_key,
    snapshot_part_prefix,
)
from greengagepoint.config.log import ConfigLog
from greengagepoint.config.snapshot import (
    Snapshot,
    SnapshotManifest,
    decode_manifest,
    encode_manifest,
    load_snapshot,
)
from greengagepoint.errors import ErrorKind, StoreError, StoreOutcomeUnknownError
from greengagepoint.protocols import ConfigStore

PAGE_ENTRIES: Final = 32
PAGE_PARTS: Final = 16
WRITTEN_PARTS: Final = 4
SNAPSHOT_READS_MAX: Final = 3
SETTLE_ATTEMPTS: Final = 6
SETTLE_PAUSE_SECONDS: Final = 0.25


class Appended(StrEnum):
    """What became of an entry: made, found to be made, or another stands there."""

    MADE = "made"
    SETTLED = "settled"
    TAKEN = "taken"


class Reading(NamedTuple):
    """What the store holds beyond a known log.

    ``base`` is a snapshot's log where the known one's head is cut off;
    ``reverted`` tells that the store no longer holds the known head; ``fault`` is
    why the entries end before an entry that stands there.
    """

    entries: tuple[Entry, ...]
    revision: int
    fault: StoreError | None = None
    base: ConfigLog | None = None
    reverted: bool = False


class StoredLog:
    """Read, append, cut and repair the log in the store."""

    def __init__(
        self, store: ConfigStore, settle_pause_seconds: float = SETTLE_PAUSE_SECONDS
    ) -> None:
        self.store = store
        self.settle_pause_seconds = settle_pause_seconds

    async def async_read(self, log: ConfigLog) -> Reading:
        """Return what follows a log, read from its own head on to check it."""
        known, digest = log.generation, log.digest
        reading = await self._async_entries(max(known, 1))
        first = reading.entries[0] if reading.entries else None
        if known == 0:
            if first is not None and first.generation == 1:
                return reading
            return await self._async_read_whole(log)
        if first is not None and first.generation == known:
            if first.digest != digest:
                return reading._replace(entries=(), reverted=True)
            return reading._replace(entries=reading.entries[1:])
        manifest = await self.async_manifest()
        if manifest is not None and manifest.generation > known:
            return await self._async_read_whole(log)
        return reading._replace(entries=(), reverted=True)

    async def async_append(self, entry: Entry) -> Appended:
        """Create the entry's key, or tell which entry stands there.

        Raises StoreOutcomeUnknownError where that cannot be found out.
        """
        try:
            made = await self._async_create(entry)
        except StoreOutcomeUnknownError:
            made = await self._async_settle(entry)
            return Appended.SETTLED if made else Appended.TAKEN
        return Appended.MADE if made else Appended.TAKEN

    async def async_manifest(self) -> SnapshotManifest | None:
        """Return the manifest of the newest snapshot."""
        value = await self.store.read(SNAPSHOT_KEY)
        return decode_manifest(value.value) if value else None

    async def async_write_snapshot(self, snapshot: Snapshot) -> bool:
        """Write a snapshot and cut the log below the one before it.

        The entries between the two snapshots stay for readers that have read the
        older manifest. Nothing is cut unless the newer manifest is in place.
        """
        previous = await self.store.read(SNAPSHOT_KEY)
        older = decode_manifest(previous.value) if previous else None
        manifest = snapshot.manifest
        if older is not None and older.generation >= manifest.generation:
            return False
        await self._async_write_parts(snapshot)
        written = await self.store.replace(
            SNAPSHOT_KEY,
            encode_manifest(manifest),
            revision=previous.revision if previous else 0,
        )
        if written and older is not None:
            await self._async_cut(older.generation)
        return written

    async def async_repair(self, log: ConfigLog, snapshot: Snapshot) -> bool:
        """Append again what a restored store lacks; tell whether it is whole.

        Only creates keys, and only where the store's own head is a generation of
        this log's chain (or the store is empty), so that it can neither undo a
        change nor join two histories; any number of hosts may do it at once.
        """
        first = log.tail[0].generation if log.tail else log.generation
        held = (await self._async_entries(max(first - 1, 1))).entries
        if not held:
            if await self._async_holds_anything():
                return False
            return await self._async_restore_empty(log, snapshot)
        head = held[-1]
        if log.digest_at(head.generation) != head.digest:
            return False
        return await self._async_append_all(log.entries_after(head.generation) or ())

    async def _async_create(self, entry: Entry) -> bool:
        """Create the entry's key after its predecessor's."""
        after = log_key(entry.generation - 1) if entry.generation > 1 else None
        return await self.store.create_next(
            log_key(entry.generation), entry.encoded, after=after
        )

    async def _async_settle(self, entry: Entry) -> bool:
        """Find out whether a write whose reply was lost took effect.

        The key can be created once only. While it is absent the first try may
        still arrive, so the same bytes are offered again: whichever try wins, the
        entry read back has this write id, and no second entry can come of it.
        """
        for _ in range(SETTLE_ATTEMPTS):
            try:
                found = await self.store.read(log_key(entry.generation))
                if found is not None:
                    return decode_entry(found.value).write_id == entry.write_id
                if await self._async_create(entry):
                    return True
            except StoreError as error:
                if error.kind is ErrorKind.STORE_ANSWER_INVALID:
                    raise
                await asyncio.sleep(self.settle_pause_seconds)
        raise StoreOutcomeUnknownError(
            f"write {entry.write_id} of generation {entry.generation} is unconfirmed; "
            "apply it again with this write id"
        )

    async def _async_entries(self, start: int) -> Reading:
        """Return the entries from a generation on, up to one that can't be read."""
        entries: list[Entry] = []
        revision: int | None = None
        from_key = log_key(start)
        while True:
            page = await self.store.read_prefix(
                LOG_PREFIX, from_key=from_key, limit=PAGE_ENTRIES
            )
            # Later pages may hold more than the first one's revision tells; the
            # watch then repeats some entries, which are known and ignored.
            revision = page.revision if revision is None else revision
            for value in page.values:
                try:
                    entries.append(decode_entry(value.value))
                except StoreError as fault:
                    return Reading(tuple(entries), revision, fault)
            if len(page.values) < PAGE_ENTRIES:
                return Reading(tuple(entries), revision)
            from_key = page.values[-1].key + "\0"

    async def _async_read_whole(self, log: ConfigLog) -> Reading:
        """Return the newest snapshot and the entries after it."""
        for _ in range(SNAPSHOT_READS_MAX):
            manifest = await self.async_manifest()
            if manifest is None:
                return await self._async_entries(1)
            try:
                parts = await self._async_parts(manifest)
                base = load_snapshot(manifest, parts, log.newest)
            except StoreError as error:
                # A newer snapshot may have taken its place meanwhile.
                fault = error
                continue
            reading = await self._async_entries(manifest.generation + 1)
            return reading._replace(base=base)
        raise fault

    async def _async_parts(self, manifest: SnapshotManifest) -> list[bytes]:
        """Return the parts of a snapshot in order."""
        prefix = snapshot_part_prefix(manifest.generation)
        parts: list[bytes] = []
        from_key = prefix
        while True:
            page = await self.store.read_prefix(
                prefix, from_key=from_key, limit=PAGE_PARTS
            )
            parts += [value.value for value in page.values]
            if len(page.values) < PAGE_PARTS:
                return parts
            from_key = page.values[-1].key + "\0"

    async def _async_write_parts(self, snapshot: Snapshot) -> None:
        """Create the parts; those of an earlier try of the same log are the same."""
        items = [
            (snapshot_part_key(snapshot.manifest.generation, index), part)
            for index, part in enumerate(snapshot.parts)
        ]
        for first in range(0, len(items), WRITTEN_PARTS):
            await self.store.create(items[first : first + WRITTEN_PARTS])

    async def _async_cut(self, generation: int) -> None:
        """Delete the entries below a generation and the parts of its snapshot."""
        doomed: list[tuple[str, int]] = []
        page = await self.store.read_prefix(LOG_PREFIX, limit=PAGE_ENTRIES)
        while page.values:
            doomed += [
                (value.key, value.revision)
                for value in page.values
                if value.key < log_key(generation)
            ]
            if page.values[-1].key >= log_key(generation):
                break
            page = await self.store.read_prefix(
                LOG_PREFIX, from_key=page.values[-1].key + "\0", limit=PAGE_ENTRIES
            )
        parts = await self.store.read_prefix(snapshot_part_prefix(generation))
        doomed += [(value.key, value.revision) for value in parts.values]
        if doomed:
            await self.store.delete(doomed)

    async def _async_holds_anything(self) -> bool:
        """Tell whether the store holds any configuration at all."""
        page = await self.store.read_prefix(LOG_PREFIX, limit=1)
        return bool(page.values) or await self.async_manifest() is not None

    async def _async_restore_empty(self, log: ConfigLog, snapshot: Snapshot) -> bool:
        """Fill an empty store from entries, or where they are cut, a snapshot."""
        entries = log.entries_after(0)
        if entries is not None:
            return await self._async_append_all(entries)
        await self._async_write_parts(snapshot)
        head = (log_key(log.generation), snapshot.manifest.head)
        await self.store.create([head])
        return await self.store.replace(
            SNAPSHOT_KEY, encode_manifest(snapshot.manifest), revision=0
        )

    async def _async_append_all(self, entries: Sequence[Entry]) -> bool:
        """Append entries in order; tell whether all of them stand there now."""
        for entry in entries:
            if await self._async_create(entry):
                continue
            found = await self.store.read(log_key(entry.generation))
            if found is None or found.value != entry.encoded:
                return False
        return True
