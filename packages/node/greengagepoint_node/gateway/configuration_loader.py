"""Read large configurations in short steps of the event loop, the newest first."""

import asyncio
from collections import deque
from itertools import islice
from typing import Final, NamedTuple, Protocol

from greengagepoint.errors import RecordError
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.facts import (
    Configuration,
    ConfigurationParts,
    ReadParts,
    StoredItem,
)

# About 200 routes of 200 bytes; less than that is read at once.
LARGE_BYTES: Final = 40_000
PARTS_A_STEP: Final = 200
# Versions that wait in case all newer ones turn out bad, each of 1 MB at most.
WAITING_MAX: Final = 4


class LoadedConfigurations(Protocol):
    """Take what was read."""

    def take_loaded(self, fact: Configuration, now: float) -> None:
        """Put a version in force that was read to its end."""

    def note_all_loaded(self) -> None:
        """Take in that no version waits to be read any more."""

    def refuse(self, item: StoredItem, error: RecordError, now: float) -> None:
        """Say that a version can't be read."""


class WaitingVersion(NamedTuple):
    """A version with the parts of it that are still to be read."""

    item: StoredItem
    parts: ConfigurationParts


class ConfigurationLoader:
    """Read one version at a time, a few parts in each step of the event loop.

    Read whole in one step, 5,000 routes kept all callers of a host waiting for its
    whole processor time. A version that comes meanwhile goes first; an older one is
    given up once a newer one has been read to its end, and read on if that one is bad,
    so that the last good one comes in force.
    """

    def __init__(self, read: ReadParts, clock: Clock) -> None:
        self.read = read
        self.clock = clock
        self.waiting: deque[WaitingVersion] = deque(maxlen=WAITING_MAX)
        self.arrived = asyncio.Event()

    def takes(self, item: StoredItem) -> bool:
        """Tell whether an item will be read in steps; a small one too behind others."""
        if len(item.value) < LARGE_BYTES and not self.waiting:
            return False
        parts = self.read(item)
        if parts is None:
            return False
        self.waiting.append(WaitingVersion(item, parts))
        self.arrived.set()
        return True

    async def async_run(self, view: LoadedConfigurations) -> None:
        """Read what comes until cancelled."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            while self.waiting:
                self._step(view)
                if not self.waiting:
                    view.note_all_loaded()
                await asyncio.sleep(0)

    def _step(self, view: LoadedConfigurations) -> None:
        """Read some parts of the newest version; put it in force after the last."""
        item, parts = self.waiting[-1]
        try:
            for whole in islice(parts, PARTS_A_STEP):
                if whole is not None:
                    self.waiting.clear()
                    view.take_loaded(whole, self.clock.monotonic())
        except RecordError as error:
            self.waiting.pop()
            view.refuse(item, error, self.clock.monotonic())
