"""The daemon's entry point."""

import asyncio
import signal

from greengagepoint_node.command import command
from greengagepoint_node.daemon import Daemon
from greengagepoint_node.logs import configure_logs
from greengagepoint_node.settings import Settings


def run(settings: Settings) -> int:
    """Run the daemon until it is told to stop; return the exit code."""
    configure_logs(
        settings.host, level=settings.log_level, log_format=settings.log_format
    )
    asyncio.run(async_run(settings))
    return 0


async def async_run(settings: Settings) -> None:
    """Run the daemon; SIGTERM and SIGINT stop it gracefully."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop_wanted.set)
    await daemon.async_run()


def main() -> None:
    """Run the command line."""
    command(run)()


if __name__ == "__main__":
    main()
