"""Keys of the configuration in the platform's key-value service."""

from typing import Final

LOG_PREFIX: Final = "/greengagepoint/config/log/"
SNAPSHOT_KEY: Final = "/greengagepoint/config/snapshot"
SNAPSHOT_PART_PREFIX: Final = "/greengagepoint/config/snapshot-parts/"


def log_key(generation: int) -> str:
    """Return the key of one entry; keys sort as generations do."""
    return f"{LOG_PREFIX}{generation:012d}"


def snapshot_part_prefix(generation: int) -> str:
    """Return the prefix of the parts of one snapshot."""
    return f"{SNAPSHOT_PART_PREFIX}{generation:012d}/"


def snapshot_part_key(generation: int, part: int) -> str:
    """Return the key of one part of a snapshot."""
    return f"{snapshot_part_prefix(generation)}{part:06d}"
