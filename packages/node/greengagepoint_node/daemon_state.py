"""The states of the daemon's process."""

from enum import StrEnum


class DaemonState(StrEnum):
    """What a host does, as callers' probes and operators see it."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"
    STOPPED = "stopped"
