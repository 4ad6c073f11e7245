"""Reload the settings while the daemon runs."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final, Protocol, TypeVar

import msgspec

from greengagepoint.errors import SettingError
from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.settings import GatewaySettings

T = TypeVar("T")

# The file is polled too, because it may be written without a signal.
CHECK_SECONDS: Final = 1.0


class SettingsReload:
    """Reload the settings on a signal, or when their file has changed.

    ``read`` raises SettingError; ``apply`` returns the names of the settings that need
    a restart.
    """

    def __init__(
        self,
        path: Path,
        read: Callable[[], GatewaySettings],
        apply: Callable[[GatewaySettings], list[str]],
        events: EventSink,
    ) -> None:
        self.path = path
        self.read = read
        self.apply = apply
        self.events = events
        self.modified_at = self._read_modified_at()

    async def async_watch(self) -> None:
        """Poll the file for changes until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self._read_modified_at() != self.modified_at:
                self.run()

    def run(self) -> None:
        """Reload and apply the settings; an invalid file changes nothing."""
        self.modified_at = self._read_modified_at()
        try:
            settings = self.read()
        except SettingError as error:
            self.events.record(
                Event.SETTINGS_RELOADED, accepted=False, detail=error.detail
            )
            return
        restart_needed = self.apply(settings)
        self.events.record(
            Event.SETTINGS_RELOADED, accepted=True, need_restart=restart_needed
        )

    def _read_modified_at(self) -> int:
        """Return the file's modification time in nanoseconds, or 0 if it is missing."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            # Reloading the file reports the error.
            return 0


def handle_signals(*, stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call ``stop`` on SIGTERM and SIGINT, and ``reload`` on SIGHUP."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


class StoppableDaemon(Protocol):
    """A daemon that runs until its stop is wanted."""

    stop_wanted: asyncio.Event

    async def async_run(self) -> None:
        """Run until a stop is requested."""


async def async_run(daemon: StoppableDaemon, reload: SettingsReload) -> None:
    """Run a daemon until it receives a stop signal, and reload its settings."""
    handle_signals(stop=daemon.stop_wanted.set, reload=reload.run)
    reload_task = asyncio.create_task(reload.async_watch())
    await daemon.async_run()
    reload_task.cancel()


def read_file(path: Path, kind: type[T]) -> T:
    """Decode a file; raise a SettingError that names the file or the invalid field."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise SettingError(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        # The message of msgspec ends with the field's path, such as "$.listen.front".
        raise SettingError(f"{path}: {error}") from error
