"""Order what was written to one key of the store, however late news of it comes."""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.errors import RecordError
from greengagepoint_node.gateway.facts import Fact, ServerEntry, StoredItem

# A key has more than one write that counts only where a server wrote later than one
# that was born after it: a run that has ended writes once at most. Another writer could
# go on for ever.
WRITES_MAX: Final = 16


class Write(NamedTuple):
    """One write of a key; ``fact`` is None where it says nothing or was refused."""

    item: StoredItem
    fact: Fact | None = None
    error: RecordError | None = None

    @property
    def born(self) -> int:
        """Return when the server was born that wrote it, 0 where that is not known."""
        return self.fact.born if isinstance(self.fact, ServerEntry) else 0


@dataclass(slots=True)
class KeyWrites:
    """The writes of one key that count, in the store's order; the first is in force.

    A later write replaces an earlier one unless both say when they were born and the
    later one is the older. So each of ``writes`` was born before the one ahead of it,
    and waits for news that the store had dropped that one in between. What was written
    before ``floor`` does not count.
    """

    floor: int = 0
    writes: list[Write] = field(default_factory=list)

    @property
    def in_force(self) -> Write:
        """Return the write that says what holds."""
        return self.writes[0]

    @property
    def newest(self) -> Write:
        """Return the last write."""
        return self.writes[-1]

    def lacks(self, revision: int) -> bool:
        """Tell whether a write at a revision is news that may count."""
        return revision >= self.floor and all(
            row.item.revision != revision for row in self.writes
        )

    def take(self, write: Write) -> bool:
        """Take in a write that is lacking; tell whether it changes what counts."""
        at = write.item.revision
        earlier = [row for row in self.writes if row.item.revision < at]
        later = [row for row in self.writes if row.item.revision > at]
        if not write.born:
            return self._take_absolute(write, earlier, later)
        if later and (not later[0].born or later[0].born >= write.born):
            return False
        if earlier and not earlier[-1].born:
            self.floor = earlier[-1].item.revision
            earlier = []
        earlier = [row for row in earlier if row.born > write.born]
        self.writes = [*earlier, write, *later]
        if len(self.writes) > WRITES_MAX:
            del self.writes[1]
        return True

    def remove(self, revision: int) -> None:
        """Take in that the store dropped the key at a revision."""
        self.floor = max(self.floor, revision)
        self.writes = [row for row in self.writes if row.item.revision >= revision]

    def _take_absolute(
        self, write: Write, earlier: list[Write], later: list[Write]
    ) -> bool:
        """Take in a write that replaces all before it, and yields to any after it."""
        if not later:
            self.writes = [write]
            return True
        self.floor = max(self.floor, write.item.revision)
        self.writes = later
        return bool(earlier)
