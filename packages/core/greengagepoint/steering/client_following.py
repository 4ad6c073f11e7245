"""Keep the table of client blocks in step with the records of callers."""

from collections.abc import Generator, Iterator
from itertools import islice
from typing import Final

from greengagepoint.configuration import Configuration
from greengagepoint.records.schemas import Callers
from greengagepoint.steering.client_blocks import Change, ClientBlocks, Order
from greengagepoint.steering.client_records import build_in_steps, differences

CHANGES_A_STEP: Final = 1_000
BUILD_STEPS_A_RUN: Final = 4


class FollowedBlocks:
    """A table of client blocks that follows the configuration step by step.

    ``records`` are those in the table once the work under way is done, ``newest``
    those last seen. A change of a few blocks is in force at once; until the first
    table is built no address has an order.
    """

    def __init__(self) -> None:
        self.table: ClientBlocks | None = None
        self.records: dict[str, Callers] = {}
        self.newest: dict[str, Callers] = {}
        self.building: Generator[None, None, ClientBlocks] | None = None
        self.changes: Iterator[Change] | None = None

    def follow(self, configuration: Configuration) -> None:
        """Take over the records of a new configuration and begin to work on them."""
        self.newest = configuration.callers
        if self.changes is None:
            self.run()

    def run(self) -> bool:
        """Do one short step of what is left to do; tell whether more is left."""
        if self.table is None:
            self._build()
        elif self.changes is not None or self.newest is not self.records:
            self._change(self.table)
        else:
            return self.table.run()
        return True

    def find(self, address: str) -> Order | None:
        """Return the order of regions for a caller's address, or None."""
        return None if self.table is None else self.table.find(address)

    def _build(self) -> None:
        """Go on building the first table."""
        if self.building is None:
            self.records = self.newest
            self.building = build_in_steps(self.records.values())
        try:
            for _step in range(BUILD_STEPS_A_RUN):
                next(self.building)
        except StopIteration as stop:
            self.table = stop.value
            self.building = None

    def _change(self, table: ClientBlocks) -> None:
        """Go on applying the difference to the newest records."""
        if self.changes is None:
            self.changes = differences(self.records, self.newest)
            self.records = self.newest
        step = list(islice(self.changes, CHANGES_A_STEP))
        table.apply(step)
        if len(step) < CHANGES_A_STEP:
            self.changes = None
