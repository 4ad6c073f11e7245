"""Follow the log in the store, and check that the store still holds it."""

import asyncio
from collections.abc import Callable
from typing import Final

from greengagepoint.config.entries import decode_entry
from greengagepoint.config.layout import LOG_PREFIX
from greengagepoint.config.log import Applied
from greengagepoint.config.snapshot import SNAPSHOT_ENTRIES
from greengagepoint.errors import StoreError
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.config_in_force import ConfigInForce

CHECK_SECONDS: Final = 30.0
RETRY_MIN_SECONDS: Final = 0.5
RETRY_MAX_SECONDS: Final = 10.0
STOP_WATCHING_SECONDS: Final = 10.0


class ConfigFollower:
    """Read and watch the store where it is this host's turn.

    ``is_watcher`` tells whether this host is one of its region's watchers.
    """

    def __init__(
        self,
        context: Context,
        in_force: ConfigInForce,
        is_watcher: Callable[[], bool],
    ) -> None:
        self.context = context
        self.in_force = in_force
        self.is_watcher = is_watcher
        self.follow_task: asyncio.Task[None] | None = None
        self.check_task: asyncio.Task[None] | None = None
        self.follow_at = 0.0
        self.retry_seconds = RETRY_MIN_SECONDS
        self.check_at = CHECK_SECONDS
        self.watcher_until = 0.0

    def start(self) -> None:
        """Begin to read the store."""
        self.check_at = self.context.clock.monotonic() + CHECK_SECONDS
        self._start_following()

    async def async_stop(self) -> None:
        """Stop reading the store."""
        tasks = [task for task in (self.follow_task, self.check_task) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def tick(self, watching: bool, now: float) -> None:
        """Watch or check the store where it is this host's turn."""
        if watching:
            self.watcher_until = now + STOP_WATCHING_SECONDS
        following = self.follow_task is not None and not self.follow_task.done()
        if not following and now >= self.follow_at:
            if watching or not self.in_force.is_loaded:
                self._start_following()
        elif following and self.in_force.is_loaded and now >= self.watcher_until:
            self.follow_task.cancel()
        if watching and now >= self.check_at:
            self.check_at = now + CHECK_SECONDS
            if self.check_task is None or self.check_task.done():
                self.check_task = asyncio.create_task(self._async_check())

    def _start_following(self) -> None:
        """Read and watch the store in the background."""
        self.follow_task = asyncio.create_task(self._async_follow())

    async def _async_follow(self) -> None:
        """Read the store and then watch it until it fails."""
        try:
            reading = await self.in_force.async_read()
            if reading.reverted:
                await self.in_force.async_repair()
            elif self.is_watcher():
                await self._async_watch(reading.revision + 1)
        except StoreError as error:
            self.in_force.reports.store(error)
        except Exception as error:
            self.in_force.reports.internal(error)
        finally:
            self._plan_retry()

    async def _async_watch(self, revision: int) -> None:
        """Take entries as they are created."""
        self.retry_seconds = RETRY_MIN_SECONDS
        async for value in self.context.store.watch(LOG_PREFIX, revision=revision):
            if not value.value:
                continue
            if self.in_force.take((decode_entry(value.value),)) is Applied.GAP:
                await self.in_force.async_read()

    async def _async_check(self) -> None:
        """Look whether the store still holds this log's head; repair and cut it."""
        try:
            reading = await self.in_force.async_read()
            if reading.reverted:
                await self.in_force.async_repair()
                return
            manifest = await self.in_force.stored.async_manifest()
            held = manifest.generation if manifest else 0
            # The writer of the entry due for a snapshot may have died before it.
            if self.in_force.log.generation >= held + 2 * SNAPSHOT_ENTRIES:
                await self.in_force.async_write_snapshot()
        except StoreError as error:
            self.in_force.reports.store(error)
        except Exception as error:
            self.in_force.reports.internal(error)

    def _plan_retry(self) -> None:
        """Let the next try wait, longer each time, with jitter."""
        wait = self.retry_seconds * (0.5 + self.context.random.random())
        self.follow_at = self.context.clock.monotonic() + wait
        self.retry_seconds = min(RETRY_MAX_SECONDS, 2 * self.retry_seconds)
