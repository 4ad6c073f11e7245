"""Read the settings again while the daemon runs."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final

from greengagepoint.errors import SettingError
from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.settings import GatewaySettings

# The file may be written without a signal.
LOOK_SECONDS: Final = 1.0


class SettingsReload:
    """Read the settings again on a signal, or when their file has changed.

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
        self.changed_at = self._changed_at()

    async def async_watch(self) -> None:
        """Look after the file until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self._changed_at() != self.changed_at:
                self.run()

    def run(self) -> None:
        """Apply the settings that can be; a bad file leaves all as it was."""
        self.changed_at = self._changed_at()
        try:
            settings = self.read()
        except SettingError as error:
            self.events.record(
                Event.SETTINGS_RELOADED, accepted=False, detail=error.detail
            )
            return
        kept = self.apply(settings)
        self.events.record(Event.SETTINGS_RELOADED, accepted=True, need_restart=kept)

    def _changed_at(self) -> int:
        """Return when the file was written last, or 0 where it is missing."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError:
            # Reading it again will say what is wrong.
            return 0


def handle_signals(*, stop: Callable[[], None], reload: Callable[[], None]) -> None:
    """Let the running loop stop on SIGTERM and SIGINT, and reload on SIGHUP."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
