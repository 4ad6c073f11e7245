"""Decode large configurations in short steps of the event loop, newest first."""

import asyncio
from collections import deque
from itertools import islice
from typing import Final, NamedTuple, Protocol

from greengagepoint.errors import RecordError
from greengagepoint.protocols import Clock
from greengagepoint_node.gateway.store_types import (
    Configuration,
    ConfigurationParts,
    ReadParts,
    StoredItem,
)

# About 200 routes of 200 bytes; a smaller value is decoded in one step.
LARGE_BYTES: Final = 40_000
PARTS_PER_STEP: Final = 200
# Older versions are kept in case all newer ones are invalid; each has at most 1 MB.
WAITING_VERSIONS_MAX: Final = 4


class LoadedConfigurations(Protocol):
    """Receive decoded configurations."""

    def apply_loaded(self, entry: Configuration, now: float) -> None:
        """Activate a version that was decoded completely."""

    def record_all_loaded(self) -> None:
        """Record that no version is waiting to be decoded."""

    def reject_version(self, item: StoredItem, error: RecordError, now: float) -> None:
        """Record that a version can't be decoded."""


class WaitingVersion(NamedTuple):
    """A version with those of its parts that are still to be decoded."""

    item: StoredItem
    parts: ConfigurationParts


class ConfigurationLoader:
    """Decode one version at a time, a few parts in each step of the event loop.

    Decoding 5,000 routes in one step blocked all callers of a host for the entire
    processor time that it took. A version that arrives meanwhile is decoded first. Once
    it is decoded completely, older ones are dropped. If it is invalid, decoding of the
    older one continues, so that the last valid version becomes active.
    """

    def __init__(self, read: ReadParts, clock: Clock) -> None:
        self.read = read
        self.clock = clock
        self.waiting: deque[WaitingVersion] = deque(maxlen=WAITING_VERSIONS_MAX)
        self.arrived = asyncio.Event()

    def enqueue(self, item: StoredItem) -> bool:
        """Queue an item if it is to be decoded in steps; return True if it was.

        A small configuration is queued as well while others are waiting.
        """
        if len(item.value) < LARGE_BYTES and not self.waiting:
            return False
        parts = self.read(item)
        if parts is None:
            return False
        self.waiting.append(WaitingVersion(item, parts))
        self.arrived.set()
        return True

    async def async_run(self, view: LoadedConfigurations) -> None:
        """Decode versions as they arrive until cancelled."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            while self.waiting:
                self._step(view)
                if not self.waiting:
                    view.record_all_loaded()
                await asyncio.sleep(0)

    def _step(self, view: LoadedConfigurations) -> None:
        """Decode some parts of the newest version; activate it after the last."""
        item, parts = self.waiting[-1]
        try:
            for configuration in islice(parts, PARTS_PER_STEP):
                if configuration is not None:
                    self.waiting.clear()
                    view.apply_loaded(configuration, self.clock.monotonic())
        except RecordError as error:
            self.waiting.pop()
            view.reject_version(item, error, self.clock.monotonic())
