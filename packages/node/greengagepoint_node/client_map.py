"""Keep the map from callers' addresses to regions in step with the records."""

from collections.abc import Iterator
from typing import Final

from greengagepoint.configuration import EMPTY, Configuration
from greengagepoint.steering import client_records
from greengagepoint.steering.client_blocks import ClientBlocks

# Above this many changed blocks the table is built anew, in steps.
CHANGES_MAX: Final = 5_000
STEPS_A_TICK: Final = 4


class ClientMap:
    """Answer which order of regions an address has; build large tables in steps."""

    def __init__(self) -> None:
        self.blocks = ClientBlocks()
        self.applied: Configuration = EMPTY
        self.wanted: Configuration = EMPTY
        self.steps: Iterator[None] | None = None

    def find(self, address: str) -> tuple[str, ...] | None:
        """Return the order of regions for an address, or None."""
        return self.blocks.find(address)

    def sync(self, configuration: Configuration) -> None:
        """Take over changed records: few blocks at once, many in steps."""
        if configuration.callers == self.wanted.callers:
            self.wanted = configuration
            return
        self.wanted = configuration
        if self.steps is None and self._apply_few(configuration):
            self.applied = configuration
            return
        self.steps = self._rebuild(configuration)

    def tick(self) -> None:
        """Do some short steps of what is under way."""
        for _ in range(STEPS_A_TICK):
            if self.steps is None:
                self.blocks.run()
                return
            if next(self.steps, self) is self:
                self.steps = None

    def _apply_few(self, configuration: Configuration) -> bool:
        """Apply the difference if it is small; tell whether it was."""
        changes = []
        differences = client_records.differences(
            self.applied.callers, configuration.callers
        )
        for change in differences:
            changes.append(change)
            if len(changes) > CHANGES_MAX:
                return False
        self.blocks.apply(changes)
        return True

    def _rebuild(self, configuration: Configuration) -> Iterator[None]:
        """Build a new table in steps and swap it in; the old one serves meanwhile."""
        records = list(configuration.callers.values())
        self.blocks = yield from client_records.build_in_steps(records)
        self.applied = configuration
