"""Remember which keys a host has seen, to tell the host that balances them."""

from dataclasses import dataclass, field
from typing import Final

from greengagepoint.placing.key_balance import KeyPlace

# Told again this often, a key that is asked for is not forgotten.
TELL_SECONDS: Final = 10.0
KEYS_MAX: Final = 10_000
TOLD_MAX: Final = 500


@dataclass(slots=True)
class SeenKeys:
    """Keys with the servers on which they ran here; monotonic seconds."""

    told: dict[tuple[str, int], tuple[str, float]] = field(default_factory=dict)
    pending: dict[tuple[str, int], str] = field(default_factory=dict)

    def note(self, service: str, digest: int, instance: str, now: float) -> None:
        """Take in that a key runs on a server."""
        key = service, digest
        where, at = self.told.get(key, ("", float("-inf")))
        if where != instance or now - at >= TELL_SECONDS:
            self.pending[key] = instance

    def take(self, now: float) -> list[KeyPlace]:
        """Return what is to be told now."""
        keys = list(self.pending)[:TOLD_MAX]
        rows = [KeyPlace(*key, self.pending.pop(key)) for key in keys]
        for row in rows:
            self.told[row.service, row.digest] = row.instance, now
        while len(self.told) > KEYS_MAX:
            del self.told[next(iter(self.told))]
        return rows

    def take_back(self, rows: list[KeyPlace]) -> None:
        """Keep rows to be told again that were not answered."""
        for row in rows:
            self.pending.setdefault((row.service, row.digest), row.instance)
