"""Order the writes of one store key, in whatever order updates of them arrive."""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.errors import RecordError
from greengagepoint_node.gateway.store_types import (
    Configuration,
    ServerEntry,
    StoredItem,
    StoreEntry,
)

# A key has more than one effective write only if a server wrote after another one that
# started later. An incarnation that has ended writes once at most, so few are expected;
# a faulty writer could add them without end.
WRITES_MAX: Final = 16


class Write(NamedTuple):
    """One write of a key; ``entry`` is None if it holds no entry or was rejected."""

    item: StoredItem
    entry: StoreEntry | None = None
    error: RecordError | None = None

    @property
    def order(self) -> int:
        """Return the start time of its server or the configuration's version.

        0 if it has none. A write with a lower one is no newer, though it came later.
        """
        if isinstance(self.entry, ServerEntry):
            return self.entry.born
        if isinstance(self.entry, Configuration):
            return self.entry.table.version
        return 0


@dataclass(slots=True)
class KeyWrites:
    """The effective writes of one key in the store's order; the first is active.

    A later write replaces an earlier one unless both state an order, a start time or a
    version, and that of the later write is lower. So each of ``writes`` has a lower
    order than the one before it. It becomes active if an update shows that the store
    had removed the key between the two. Writes before ``floor`` have no effect.
    """

    floor: int = 0
    writes: list[Write] = field(default_factory=list)

    @property
    def active(self) -> Write:
        """Return the active write."""
        return self.writes[0]

    @property
    def newest(self) -> Write:
        """Return the write with the highest revision."""
        return self.writes[-1]

    def is_new(self, revision: int) -> bool:
        """Return True if a write at a revision is unknown and may have an effect."""
        return revision >= self.floor and all(
            row.item.revision != revision for row in self.writes
        )

    def add_write(self, write: Write) -> bool:
        """Add an unknown write; return True if the effective writes change."""
        at = write.item.revision
        earlier = [row for row in self.writes if row.item.revision < at]
        later = [row for row in self.writes if row.item.revision > at]
        if not write.order:
            return self._add_without_order(write, earlier, later)
        if later and (not later[0].order or later[0].order >= write.order):
            return False
        if earlier and not earlier[-1].order:
            self.floor = earlier[-1].item.revision
            earlier = []
        earlier = [row for row in earlier if row.order > write.order]
        self.writes = [*earlier, write, *later]
        if len(self.writes) > WRITES_MAX:
            del self.writes[1]
        return True

    def remove(self, revision: int) -> None:
        """Record that the store removed the key at a revision."""
        self.floor = max(self.floor, revision)
        self.writes = [row for row in self.writes if row.item.revision >= revision]

    def _add_without_order(
        self, write: Write, earlier: list[Write], later: list[Write]
    ) -> bool:
        """Add a write without an order.

        It replaces all earlier writes and is replaced by any later one.
        """
        if not later:
            self.writes = [write]
            return True
        self.floor = max(self.floor, write.item.revision)
        self.writes = later
        return bool(earlier)
