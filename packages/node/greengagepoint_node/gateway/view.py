"""Keep this host's view of the fleet, fed by the store and by peers."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from greengagepoint.accounts.certainty import NEVER, ConfigFreshness
from greengagepoint.config.eras import era_of, revision_of
from greengagepoint.config.store_memory import WRITTEN_AGAIN_SECONDS, StoreMemory
from greengagepoint.config.version_order import VersionOrder
from greengagepoint.errors import RecordError
from greengagepoint.events import Event
from greengagepoint.placing.tables import Incarnation
from greengagepoint.routing.tables import RouteTable
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.known_servers import KnownServers
from greengagepoint_node.gateway.quarantine_entries import (
    NoQuarantine,
    QuarantineEntries,
)
from greengagepoint_node.gateway.rejected_items import RejectedItems
from greengagepoint_node.gateway.store_types import (
    Changes,
    Configuration,
    DecodeItem,
    Evacuation,
    HostEntry,
    ItemRefusedError,
    Loader,
    QuarantineEntry,
    RefusedFor,
    RemovedKey,
    ServerEntry,
    Snapshot,
    StoredItem,
    StoreEntry,
    is_large,
)
from greengagepoint_node.gateway.writes import KeyWrites, Write

# A peer that lags behind more removals than this gets a full snapshot.
REMOVED_KEPT: Final = 2_000
# An entry that lapsed during a store outage and is still missing then is removed.
LAPSED_SECONDS: Final = WRITTEN_AGAIN_SECONDS
# A removal read within this time of the store's return may be a lapse.
RETURN_SECONDS: Final = 0.6


class FleetView:
    """Keep the newest items of the store and the entries decoded from them.

    Updates from a watch, a snapshot or a peer are ordered by the store's revision, so
    no active entry is ever replaced by an older one. If two incarnations of a server
    state their start times, the later start wins. An item that is rejected deactivates
    the earlier entry of its key, except that the last valid configuration stays active.
    """

    def __init__(
        self,
        zones: dict[str, str],
        decode: DecodeItem,
        events: EventSink,
        rejection_counts: Counter[tuple[str]] | None = None,
        loader: Loader | None = None,
    ) -> None:
        self.zones = zones
        self.decode = decode
        self.events = events
        self.loader = loader
        self.revision = 0
        self.writes: dict[str, KeyWrites] = {}
        self.entries: dict[str, StoreEntry] = {}
        self.removed: dict[str, int] = {}
        self.removed_complete_after = 0
        self.lapsed: dict[str, float] = {}
        self.routes: RouteTable | None = None
        self.configured_at: float | None = None
        self.known = KnownServers(zones, events)
        self.servers = self.known.table
        self.rejected = RejectedItems(
            events, Counter() if rejection_counts is None else rejection_counts
        )
        self.unknown_services: dict[str, ServerEntry] = {}
        self.unchecked_keys: set[str] = set()
        self.hosts: dict[str, HostEntry] = {}
        self.evacuated_at: dict[str, float] = {}
        self.lapses_until = float("-inf")
        self.quarantine: QuarantineEntries = NoQuarantine()
        self.certainty = ConfigFreshness()
        self.versions = VersionOrder(0) if loader is None else loader.versions
        self.configuration_key = ""
        self.memory = StoreMemory()

    def expect_lapses(self, now: float) -> None:
        """Treat removals read shortly after this as lapses, not as departures."""
        self.lapses_until = now + RETURN_SECONDS

    def replace(
        self,
        snapshot: Snapshot,
        now: float,
        lapsed: Mapping[str, float] | None = None,
    ) -> None:
        """Apply a snapshot unless it is older; keys that it lacks have been removed.

        ``lapsed`` is as in ``apply``.
        """
        if snapshot.revision < self.revision:
            return
        present = {item.key for item in snapshot.items}
        missing = [
            RemovedKey(key, snapshot.revision)
            for key, writes in self.writes.items()
            if key not in present and writes.newest.item.revision <= snapshot.revision
        ]
        if self.revision and era_of(snapshot.revision) > era_of(self.revision):
            forgotten = [row.key for row in missing]
            lapsed = self._begin_era(present, forgotten, snapshot, lapsed or {}, now)
        changes = Changes((*snapshot.items, *missing), snapshot.revision)
        self.apply(changes, now, lapsed)
        # This host never saw keys that were both written and removed since its last
        # update, so its list of removals has a gap up to here.
        self.removed_complete_after = snapshot.revision

    def _begin_era(
        self,
        present: set[str],
        forgotten: list[str],
        snapshot: Snapshot,
        lapsed: Mapping[str, float],
        now: float,
    ) -> dict[str, float]:
        """Keep what a store that was restored from a copy contradicts.

        ``forgotten`` are the known keys that it lacks. Return for how many seconds the
        entries of servers among them may be written again.
        """
        for server in self.servers.leaving:
            self.known.announced.record(server, now)
        zones = [
            key for key in forgotten if isinstance(self.entries.get(key), Evacuation)
        ]
        unconfirmed = {
            key: lapsed.get(key, LAPSED_SECONDS)
            for key in forgotten
            if isinstance(self.entries.get(key), ServerEntry)
        }
        self.quarantine.begin_era()
        held = self.memory.begin_era(present, zones, snapshot.revision, now)
        self.events.record(
            Event.STORE_RESTORED,
            era=era_of(snapshot.revision),
            former_era=era_of(self.revision),
            store_revision=revision_of(snapshot.revision),
            former_revision=revision_of(self.revision),
            keys_held=held,
            removals_unconfirmed=len(unconfirmed),
            servers_leaving=len(self.servers.leaving),
            configuration=self.routes.version if self.routes else None,
        )
        return {**lapsed, **unconfirmed}

    def apply(
        self, changes: Changes, now: float, lapsed: Mapping[str, float] | None = None
    ) -> None:
        """Apply changes from the store or from a peer.

        ``lapsed`` maps the removals that the sending peer has not confirmed yet to the
        seconds for which they may still be lapses. None means that the changes come
        from the store itself.
        """
        if lapsed is None:
            unconfirmed = now < self.lapses_until
            keys = [change.key for change in changes.changes] if unconfirmed else []
            lapsed = dict.fromkeys(keys, LAPSED_SECONDS)
        rebuild = False
        for change in changes.changes:
            if isinstance(change, StoredItem):
                rebuild |= self._apply_item(change, now)
            else:
                rebuild |= self._apply_removal(change, lapsed.get(change.key, 0.0), now)
        self.revision = max(self.revision, changes.revision)
        if rebuild:
            self._rebuild(now)

    def changes_after(self, revision: int) -> Changes | Snapshot:
        """Return what a peer at a revision lacks.

        This is a full snapshot if this host may not know all removals since then, for
        example after a partition of some hosts and a restart of others. Sending only
        the items would leave the peer with servers that have left meanwhile.
        """
        if revision < self.removed_complete_after:
            return Snapshot(tuple(self._stored_items()), self.revision)
        large = [
            item
            for item in self._stored_items()
            if item.revision > revision and is_large(item)
        ]
        return Changes((*large, *self.small_changes_after(revision)), self.revision)

    def has_large_after(self, revision: int) -> bool:
        """Return True if a large value was written after a revision."""
        return any(
            item.revision > revision and is_large(item) for item in self._stored_items()
        )

    def small_changes_after(self, revision: int) -> list[StoredItem | RemovedKey]:
        """Return the changes after a revision, without large values."""
        items = [
            item
            for item in self._stored_items()
            if item.revision > revision and not is_large(item)
        ]
        removed = [
            RemovedKey(key, removed_at)
            for key, removed_at in self.removed.items()
            if removed_at > revision
        ]
        return [*items, *removed]

    def _stored_items(self) -> Iterable[StoredItem]:
        """Yield all effective writes, so that a peer reaches the same state."""
        for writes in self.writes.values():
            for write in writes.writes:
                yield write.item

    def note_complete(self, asked_at: float) -> None:
        """Record that the store, asked at a time, has sent every change.

        A store that was restored from a copy may hold an older configuration than the
        one in force. Its answer proves nothing then, as the one in force may lack the
        latest revocations.
        """
        self.certainty.note_complete(asked_at)

    def record_replacement(self, incarnation: Incarnation) -> None:
        """Record that another server answers at the address of this incarnation.

        A server keeps its address until it stops, so this incarnation has ended. Its
        entry lapses seconds later; until then every request to it would be rejected
        and retried at the expense of the retry budget.
        """
        if self.known.record_replacement(incarnation, self.revision):
            self._rebuild_members()

    def record_announced(self, servers: Iterable[Incarnation]) -> None:
        """Stop using servers that said in an answer that they leave."""
        rows = [self.servers.servers.get(server.instance) for server in servers]
        marked = [
            self.known.record_announced(row, self.revision)
            for row in rows
            if row is not None and row.incarnation in self.known.announced
        ]
        if any(marked):
            self._rebuild_members()

    def unconfirmed_removals(self, now: float) -> dict[str, float]:
        """Return for how many seconds each removal may still be a lapse."""
        return {key: max(0.0, until - now) for key, until in self.lapsed.items()}

    def tick(self, now: float) -> None:
        """Apply the state of keys that were not written again in time."""
        expired = [key for key, until in self.lapsed.items() if until <= now]
        for key in expired:
            del self.lapsed[key]
        expired += self.memory.expire(now)
        for key in expired:
            self._update_entry(key, now)
        if self._queue_again(now) or expired:
            self._rebuild(now)

    def _queue_again(self, now: float) -> bool:
        """Decode the newest configuration if it is neither decoded nor queued.

        Return True if it became active.
        """
        writes = self.writes.get(self.configuration_key)
        return writes is not None and self._apply_item(writes.newest.item, now)

    def _apply_item(self, item: StoredItem, now: float) -> bool:
        """Apply an item; return True if the server membership may have changed."""
        key = item.key
        self.memory.note_write(key, item.revision)
        writes = self.writes.get(key) or KeyWrites(self.removed.get(key, 0))
        is_new = writes.is_new(item.revision)
        if not is_new and not self._is_undecided(item):
            return False
        write = self._decode_item(item)
        changed = self._record_version(write, now)
        has_effect = is_new and writes.add_write(write)
        if writes.floor > self.removed.get(key, 0):
            # Peers that hold earlier writes can't detect by themselves that those have
            # been superseded.
            self._record_removal(RemovedKey(key, writes.floor))
        if not has_effect:
            return changed
        self.writes[key] = writes
        if write.error is not None:
            self.rejected.record_rejection(key, write.error, now)
        return self._update_entry(key, now) or changed

    def _is_undecided(self, item: StoredItem) -> bool:
        """Return True for a configuration that may be the newest valid one.

        Later writes replace it, but if they are all invalid, it becomes active.
        """
        is_configuration = item.key == self.configuration_key
        return is_configuration and self.versions.is_undecided(item.revision)

    def _decode_item(self, item: StoredItem) -> Write:
        """Return an item with its decoded entry or the error that rejects it.

        The loader decodes a large configuration later.
        """
        dropped = self.loader.enqueue(item) if self.loader is not None else None
        if dropped is not None:
            self.configuration_key = item.key
            self.certainty.note(item.revision, NEVER)
            self._log_dropped(dropped)
            return Write(item)
        try:
            entry = self.decode(item)
            self._check_zone(item.key, entry)
        except RecordError as error:
            return Write(item, error=error)
        return Write(item, entry)

    def _record_version(self, write: Write, now: float) -> bool:
        """Apply a write of the configuration; return True if it became active."""
        if isinstance(write.entry, Configuration):
            self.configuration_key = write.item.key
            return self._apply_configuration(write.item, write.entry.table, now)
        if write.error is not None and write.item.key == self.configuration_key:
            self._reject_configuration(write.item)
        return False

    def apply_loaded(self, item: StoredItem, entry: Configuration, now: float) -> None:
        """Apply a configuration that the loader has decoded."""
        if self._apply_configuration(item, entry.table, now):
            self._rebuild(now)

    def reject_version(self, item: StoredItem, error: RecordError, now: float) -> None:
        """Record that the loader can't decode a version; the last valid one stays."""
        self._reject_configuration(item)
        self.rejected.record_rejection(item.key, error, now)

    def _apply_configuration(
        self, item: StoredItem, table: RouteTable, now: float
    ) -> bool:
        """Activate a configuration if it is the newest; return True if it was."""
        decoded = self.versions.record_valid(item.revision, table.version)
        self.certainty.note(item.revision, NEVER)
        if decoded.is_activated:
            self.routes = table
            self.configured_at = now
            self.events.record(
                Event.CONFIGURATION_IN_FORCE,
                generation=table.version,
                revision=self.revision,
            )
        self.certainty.note_in_force(self.versions.confirmed_position())
        self._log_dropped(decoded.superseded)
        return decoded.is_activated

    def _reject_configuration(self, item: StoredItem) -> None:
        """Record that a version of the configuration is invalid."""
        self.versions.record_rejected(item.revision)
        self.certainty.note(item.revision, NEVER)
        if self.routes is not None:
            self.certainty.note_in_force(self.versions.confirmed_position())

    def _log_dropped(self, positions: Iterable[int]) -> None:
        """Log versions of the configuration that will not become active."""
        active = self.versions.active
        for position in positions:
            is_superseded = self.versions.is_superseded(position)
            self.events.record(
                Event.CONFIGURATION_DROPPED,
                era=era_of(position),
                revision=revision_of(position),
                reason="superseded" if is_superseded else "too many are waiting",
                generation_in_force=active.version if self.routes else None,
                era_in_force=era_of(active.position),
                revision_in_force=revision_of(active.position),
            )

    def _check_zone(self, key: str, entry: StoreEntry | None) -> None:
        """Raise ItemRefusedError if the zone of an entry is not in the settings."""
        has_zone = isinstance(entry, ServerEntry | HostEntry | Evacuation)
        if has_zone and entry.zone not in self.zones:
            detail = f"zone is not in the settings: {entry.zone!r}"
            raise ItemRefusedError(detail, RefusedFor.ZONE, key)

    def _update_entry(self, key: str, now: float) -> bool:
        """Activate the newest entry of a key.

        Return True if the server membership may have changed. A server whose entry
        lapsed stays until the lapse ends or a new entry replaces it. An entry of an
        incarnation that started earlier can't replace it.
        """
        writes = self.writes.get(key)
        latest = writes.active.entry if writes is not None else None
        known = self.entries.get(key)
        if key in self.lapsed:
            if writes is None or _is_older_incarnation(latest, known):
                return False
            del self.lapsed[key]
        if latest is known or self.memory.is_held(key, _server_of(latest or known)):
            return False
        if isinstance(latest or known, ServerEntry):
            self.unchecked_keys.add(key)
        if latest is None:
            reason = "entry removed" if writes is None else "entry refused"
            return self._deactivate(key, reason, now)
        self.entries[key] = latest
        self.memory.record_presence(key)
        return self._activate(latest, now)

    def _activate(self, entry: StoreEntry, now: float) -> bool:
        """Activate an entry; return True if the server membership may have changed."""
        if isinstance(entry, Configuration):
            return False
        if isinstance(entry, HostEntry):
            self.hosts[entry.name] = entry
            return False
        if isinstance(entry, QuarantineEntry):
            self.quarantine.take(entry)
            return False
        if isinstance(entry, Evacuation):
            self.evacuated_at.setdefault(entry.zone, now)
            self.events.record(
                Event.ZONE_EVACUATED, zone=entry.zone, revision=self.revision
            )
            return True
        self.known.apply_entry(entry, self.revision, now)
        return True

    def _apply_removal(
        self, change: RemovedKey, unconfirmed: float, now: float
    ) -> bool:
        """Apply a removal; return True if the server membership may have changed.

        ``unconfirmed`` is the time in seconds for which the removal may still be a
        lapse. Each host passes on what remains of it. If each host started the time
        anew, a removed server would be used longer by the time the update needed to
        spread.
        """
        key = change.key
        self.memory.note_write(key, change.revision)
        self._record_removal(change)
        writes = self.writes.get(key)
        if writes is None:
            # This host never saw the entry, or kept its state after a restore.
            if key not in self.lapsed:
                self.memory.record_removal(key, None, now)
            return self._update_entry(key, now)
        writes.remove(change.revision)
        if writes.writes:
            return self._update_entry(key, now)
        del self.writes[key]
        if unconfirmed > 0 and isinstance(self.entries.get(key), ServerEntry):
            self.lapsed[key] = now + min(unconfirmed, LAPSED_SECONDS)
            return False
        return self._update_entry(key, now)

    def _record_removal(self, change: RemovedKey) -> None:
        """Record a removal for peers that have not received it yet."""
        known = self.removed.pop(change.key, 0)
        self.removed[change.key] = max(known, change.revision)
        if len(self.removed) > REMOVED_KEPT:
            oldest = self.removed.pop(next(iter(self.removed)))
            self.removed_complete_after = max(self.removed_complete_after, oldest)

    def _deactivate(self, key: str, reason: str, now: float) -> bool:
        """Drop the entry of a key; return True if the membership has changed."""
        entry = self.entries.pop(key, None)
        if isinstance(entry, ServerEntry | Evacuation):
            self.memory.record_removal(key, _server_of(entry), now)
        if isinstance(entry, ServerEntry):
            self.known.remove_server(entry, reason, self.revision)
            return True
        if isinstance(entry, Evacuation):
            self._end_evacuation(entry.zone, now)
            return True
        if isinstance(entry, HostEntry):
            self.hosts.pop(entry.name, None)
        if isinstance(entry, QuarantineEntry):
            self.quarantine.drop(entry)
        return False

    def _end_evacuation(self, zone: str, now: float) -> None:
        """End a zone's evacuation; treat its servers as cold."""
        self.evacuated_at.pop(zone, None)
        self.events.record(Event.ZONE_TAKEN_BACK, zone=zone, revision=self.revision)
        # These servers got no requests for seconds, so nothing shows whether they have
        # become cold meanwhile. A burst of requests would crash cold servers.
        for server in self.servers.servers.values():
            if server.zone == zone:
                seconds = self._cold_seconds(server.service)
                server.cold_until = max(server.cold_until, now + seconds)

    def _cold_seconds(self, service: str) -> float:
        """Return for how many seconds a service's servers stay cold."""
        policy = self.routes.services.get(service) if self.routes else None
        return policy.cold_seconds if policy else 0.0

    def _rebuild(self, now: float) -> None:
        """Rebuild the server membership and report entries of unknown services.

        An entry may arrive before the configuration that defines its service. It is
        kept, and its server becomes a member once a configuration defines the service.
        """
        if self.routes is not None:
            services = frozenset(self.routes.services)
            if services != self.servers.services:
                self.unchecked_keys.update(self.entries)
            self.servers.services = services
            for key in sorted(self.unchecked_keys):
                self._check_service(key, services, now)
            self.unchecked_keys.clear()
        self._rebuild_members()

    def _check_service(self, key: str, services: frozenset[str], now: float) -> None:
        """Report once an entry whose service is not in the configuration."""
        entry = self.entries.get(key)
        if not isinstance(entry, ServerEntry) or entry.service in services:
            self.unknown_services.pop(key, None)
        elif self.unknown_services.get(key) is not entry:
            self.unknown_services[key] = entry
            detail = f"service is not in the configuration: {entry.service!r}"
            error = ItemRefusedError(detail, RefusedFor.SERVICE, key)
            self.rejected.record_rejection(key, error, now)

    def _rebuild_members(self) -> None:
        """Rebuild the server membership."""
        self.servers.evacuated_zones = frozenset(self.evacuated_at)
        self.servers.rebuild()


def _server_of(entry: StoreEntry | None) -> Incarnation | None:
    """Return the run of the server that an entry is about, None for other entries."""
    return entry.incarnation if isinstance(entry, ServerEntry) else None


def _is_older_incarnation(latest: StoreEntry | None, known: StoreEntry | None) -> bool:
    """Return True if an entry's incarnation started before the known one."""
    if not isinstance(latest, ServerEntry) or not isinstance(known, ServerEntry):
        return False
    return bool(latest.born) and latest.born < known.born
