"""Stand in for the store's ledgers, with late writes, lost replies and old reads."""

from dataclasses import dataclass, field
from enum import StrEnum

from greengagepoint.caps.ledger import EMPTY_LEDGER, Ledger
from greengagepoint.caps.planning import Plan


class LedgerFault(StrEnum):
    """What happens to calls."""

    NONE = "none"
    DOWN = "down"
    LOST_REPLY = "lost_reply"
    LATE_WRITE = "late_write"
    OLD_READ = "old_read"


@dataclass
class LedgerStore:
    """Ledgers by region, replaced by revision only."""

    values: dict[str, tuple[Ledger, int]] = field(default_factory=dict)
    older: dict[str, tuple[Ledger, int]] = field(default_factory=dict)
    late: list[tuple[str, Plan]] = field(default_factory=list)
    fault: LedgerFault = LedgerFault.NONE
    calls: int = 0

    def read(self, region: str) -> tuple[Ledger, int]:
        """Return a region's ledger and revision, perhaps as it was before."""
        self.calls += 1
        values = self.older if self.fault is LedgerFault.OLD_READ else self.values
        return values.get(region, (EMPTY_LEDGER, 0))

    def replace(self, region: str, planned: Plan) -> bool | None:
        """Write a ledger over the revision it was planned on; None if unknown."""
        self.calls += 1
        if self.fault is LedgerFault.LATE_WRITE:
            self.late.append((region, planned))
            return None
        accepted = self._apply(region, planned)
        return None if self.fault is LedgerFault.LOST_REPLY else accepted

    def land_late_writes(self) -> None:
        """Let writes take effect whose callers have given up on them."""
        late, self.late = self.late, []
        for region, planned in late:
            self._apply(region, planned)

    def _apply(self, region: str, planned: Plan) -> bool:
        """Compare and swap."""
        current = self.values.get(region, (EMPTY_LEDGER, 0))
        if current[1] != planned.revision:
            return False
        self.older[region] = current
        self.values[region] = (planned.ledger, current[1] + 1)
        return True
