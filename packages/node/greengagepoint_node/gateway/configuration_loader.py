"""Decode large configurations in short steps of the event loop, newest first."""

import asyncio
from itertools import islice
from typing import Final, NamedTuple, Protocol

from greengagepoint.config.version_order import VersionOrder
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

    def apply_loaded(self, item: StoredItem, entry: Configuration, now: float) -> None:
        """Apply a version that was decoded completely."""

    def reject_version(self, item: StoredItem, error: RecordError, now: float) -> None:
        """Record that a version can't be decoded."""


class WaitingVersion(NamedTuple):
    """A version with those of its parts that are still to be decoded."""

    item: StoredItem
    parts: ConfigurationParts


class ConfigurationLoader:
    """Decode one version at a time, a few parts in each step of the event loop.

    Decoding 5,000 routes in one step blocked all callers of a host for the entire
    processor time that it took. The newest version is decoded first, in whatever order
    they arrive. Once it is decoded completely, older ones are dropped. If it is
    invalid, decoding of the older one continues, so that the last valid version becomes
    active.
    """

    def __init__(self, read: ReadParts, clock: Clock) -> None:
        self.read = read
        self.clock = clock
        self.versions: VersionOrder[WaitingVersion] = VersionOrder(WAITING_VERSIONS_MAX)
        self.arrived = asyncio.Event()

    @property
    def waiting(self) -> dict[int, WaitingVersion]:
        """Return the versions to decode by position, the oldest first."""
        return self.versions.waiting

    def enqueue(self, item: StoredItem) -> tuple[int, ...] | None:
        """Queue an item if it is to be decoded in steps, else return None.

        A small configuration is queued as well while others are waiting. Return the
        revisions that are dropped, which may be that of the item.
        """
        if len(item.value) < LARGE_BYTES and not self.waiting:
            return None
        parts = self.read(item)
        if parts is None:
            return None
        dropped = self.versions.add(item.revision, WaitingVersion(item, parts))
        self.arrived.set()
        return dropped

    async def async_run(self, view: LoadedConfigurations) -> None:
        """Decode versions as they arrive until cancelled."""
        while True:
            await self.arrived.wait()
            self.arrived.clear()
            while self.waiting:
                self._step(view)
                await asyncio.sleep(0)

    def _step(self, view: LoadedConfigurations) -> None:
        """Decode some parts of the newest version; apply it after the last."""
        item, parts = self.versions.next_waiting()
        try:
            for configuration in islice(parts, PARTS_PER_STEP):
                if configuration is not None:
                    view.apply_loaded(item, configuration, self.clock.monotonic())
                    return
        except RecordError as error:
            view.reject_version(item, error, self.clock.monotonic())
