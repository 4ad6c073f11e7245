"""Messages in which hosts tell each other the configuration."""

from typing import Final

import msgspec

from greengagepoint.config.snapshot import SnapshotManifest


class ConfigDigest(msgspec.Struct, frozen=True, array_like=True, tag="config.digest"):
    """Tell the head of the sender's log; ``ask`` wants the receiver's in return."""

    generation: int
    digest: str
    ask: bool = False


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag="config.request"):
    """Ask for the entries after a generation."""

    after: int


class ConfigEntries(msgspec.Struct, frozen=True, array_like=True, tag="config.entries"):
    """Bring consecutive entries as stored.

    ``root`` is the host at the root of the tree that passes them on; empty where
    the receiver is not in such a tree.
    """

    entries: tuple[bytes, ...]
    root: str = ""


class ConfigSnapshotPart(
    msgspec.Struct, frozen=True, array_like=True, tag="config.snapshot_part"
):
    """Bring one part of a snapshot, or only its manifest where it has no parts."""

    manifest: SnapshotManifest
    index: int
    part: bytes


class ConfigPartRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="config.part_request"
):
    """Ask for a part of the snapshot that the receiver is sending."""

    generation: int
    digest: str
    index: int


MESSAGES: Final = (
    ConfigDigest,
    ConfigRequest,
    ConfigEntries,
    ConfigSnapshotPart,
    ConfigPartRequest,
)
