"""Bring a host that is far behind a snapshot, part by part, as it asks for them."""

from typing import Final

from greengagepoint.config.log import ConfigLog
from greengagepoint.config.messages import ConfigPartRequest, ConfigSnapshotPart
from greengagepoint.config.snapshot import Snapshot, load_snapshot, take_snapshot
from greengagepoint.config.state import Assembly, Exchange, Fork, Send
from greengagepoint.errors import StoreError

PARTS_MAX: Final = 4096


def first_part(exchange: Exchange, peer: str) -> list[Send]:
    """Begin to send a peer a snapshot of the log as it is now."""
    exchange.snapshot = current_snapshot(exchange)
    return part_of(exchange.snapshot, peer, 0)


def on_part_request(
    exchange: Exchange, sender: str, message: ConfigPartRequest
) -> list[Send]:
    """Send one part of the snapshot that the peer has begun to fetch."""
    snapshot = exchange.snapshot
    wanted = (message.generation, message.digest)
    if snapshot is None or wanted != _identity(snapshot):
        return first_part(exchange, sender)
    return part_of(snapshot, sender, message.index)


def on_snapshot_part(
    exchange: Exchange, sender: str, message: ConfigSnapshotPart
) -> list[Send]:
    """Collect a snapshot; put it in force when whole and ahead of this log."""
    exchange.answered = True
    manifest = message.manifest
    if manifest.generation <= exchange.log.generation:
        exchange.assembly = None
        return []
    count = len(manifest.checksums)
    if count > PARTS_MAX:
        return []
    if message.index == 0:
        exchange.assembly = Assembly(sender, manifest.generation, manifest.digest, [])
    assembly = exchange.assembly
    if assembly is None or assembly[:3] != (
        sender,
        manifest.generation,
        manifest.digest,
    ):
        return []
    if count and message.index != len(assembly.parts):
        return []
    if count:
        assembly.parts.append(message.part)
    if len(assembly.parts) < count:
        request = ConfigPartRequest(
            manifest.generation, manifest.digest, len(assembly.parts)
        )
        return [Send(sender, request)]
    exchange.assembly = None
    try:
        loaded = load_snapshot(manifest, assembly.parts, exchange.log.newest)
    except StoreError:
        return []
    adopt(exchange, loaded, sender)
    return []


def adopt(exchange: Exchange, loaded: ConfigLog, source: str) -> bool:
    """Replace the log by a snapshot's that is ahead and doesn't contradict it."""
    log = exchange.log
    if loaded.generation <= log.generation:
        return False
    met = loaded.digest_at(log.generation)
    if met is not None and met != log.digest:
        exchange.fork = Fork(log.generation, source)
        return False
    exchange.log = loaded
    return True


def current_snapshot(exchange: Exchange) -> Snapshot:
    """Return a snapshot of the log, made once for each generation asked for."""
    snapshot = exchange.snapshot
    head = (exchange.log.generation, exchange.log.digest)
    if snapshot is None or _identity(snapshot) != head:
        snapshot = take_snapshot(exchange.log)
    return snapshot


def part_of(snapshot: Snapshot, peer: str, index: int) -> list[Send]:
    """Return one part of a snapshot for a peer."""
    parts = snapshot.parts or (b"",)
    if not 0 <= index < len(parts):
        return []
    return [Send(peer, ConfigSnapshotPart(snapshot.manifest, index, parts[index]))]


def _identity(snapshot: Snapshot) -> tuple[int, str]:
    """Return the generation and digest of a snapshot."""
    return snapshot.manifest.generation, snapshot.manifest.digest
