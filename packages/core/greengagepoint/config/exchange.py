"""Pass configuration between hosts: push by trees, with anti-entropy behind."""

from collections.abc import Callable, Sequence
from typing import Any, Final

from greengagepoint.config.entries import Entry, decode_entry
from greengagepoint.config.log import Applied, ConfigLog, apply_entry
from greengagepoint.config.messages import (
    ConfigDigest,
    ConfigEntries,
    ConfigPartRequest,
    ConfigRequest,
    ConfigSnapshotPart,
)
from greengagepoint.config.state import Exchange, Fork, Send
from greengagepoint.config.transfer import (
    first_part,
    on_part_request,
    on_snapshot_part,
)
from greengagepoint.config.view import FleetView, refresh
from greengagepoint.errors import StoreError
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import Random

GOSSIP_SECONDS: Final = 1.0
MESSAGE_BYTES_MAX: Final = 256 * 1024
FORWARDED_MAX: Final = 256
PUSHED_ENTRIES_MAX: Final = 8


def see(exchange: Exchange, live: Sequence[HostIdentity]) -> FleetView:
    """Take the view of live hosts for what follows."""
    exchange.view = refresh(exchange.view, live)
    return exchange.view


def run(exchange: Exchange, now: float, random: Random) -> list[Send]:
    """Tell one random host of the region, and a watcher one of another, the head."""
    if now < exchange.next_gossip_at:
        return []
    # On the schedule, not from now on: ticks that come a moment early would else
    # make it every second or third tick.
    exchange.next_gossip_at = max(
        exchange.next_gossip_at + GOSSIP_SECONDS, now + GOSSIP_SECONDS / 2
    )
    view = exchange.view
    targets = _one_of(view.near, random)
    # A region with no second host, or whose watchers are cut off from the store,
    # learns from other regions only through this.
    if not view.near or view.is_watcher():
        targets += _one_of(view.far, random)
    asking = not exchange.answered
    return [Send(host.name, _digest(exchange.log, ask=asking)) for host in targets]


def take_entries(
    exchange: Exchange, entries: Sequence[Entry], source: str
) -> tuple[Applied, list[Entry]]:
    """Apply entries in order; return the last outcome and those that were new."""
    outcome, new = Applied.KNOWN, []
    for entry in entries:
        outcome = apply_entry(exchange.log, entry)
        if outcome is Applied.FORKED:
            exchange.fork = Fork(entry.generation, source)
        if outcome in (Applied.FORKED, Applied.GAP):
            break
        if outcome is Applied.APPLIED:
            new.append(entry)
    return outcome, new


def push(exchange: Exchange, entries: Sequence[Entry]) -> list[Send]:
    """Start a tree for new entries in this region; tell the other regions' watchers.

    Every watcher that learns a generation starts a tree, so each host hears of it
    by about two ways.
    """
    if not entries:
        return []
    message = ConfigEntries(tuple(entry.encoded for entry in entries))
    sends = _forward(exchange, entries, exchange.host.name)
    return sends + [Send(name, message) for name in exchange.view.far_watchers()]


def on_entries(exchange: Exchange, sender: str, message: ConfigEntries) -> list[Send]:
    """Apply entries from a peer and pass them on where this host is in the tree."""
    entries = _decoded(message.entries)
    if not entries:
        return []
    exchange.answered = True
    outcome, new = take_entries(exchange, entries, sender)
    sends: list[Send] = []
    if outcome is Applied.GAP:
        sends.append(Send(sender, ConfigRequest(exchange.log.generation)))
    if outcome is Applied.FORKED:
        return sends
    # Many entries are a host's catching up: its region has them already.
    if 0 < len(new) <= PUSHED_ENTRIES_MAX and exchange.view.is_watcher():
        sends += _forward(exchange, entries, exchange.host.name)
    if message.root:
        sends += _forward(exchange, entries, message.root)
    return sends


def on_digest(exchange: Exchange, sender: str, message: ConfigDigest) -> list[Send]:
    """Compare heads with a peer; whoever is behind gets what it lacks."""
    exchange.answered = True
    log = exchange.log
    known = log.digest_at(message.generation)
    if known is not None and known != message.digest:
        exchange.fork = Fork(message.generation, sender)
        return []
    if message.generation > log.generation:
        return [Send(sender, ConfigRequest(log.generation))]
    if message.generation < log.generation:
        return _missing(exchange, sender, message.generation)
    return [Send(sender, _digest(log))] if message.ask else []


def on_request(exchange: Exchange, sender: str, message: ConfigRequest) -> list[Send]:
    """Send a peer what it lacks."""
    return _missing(exchange, sender, message.after)


def _missing(exchange: Exchange, peer: str, after: int) -> list[Send]:
    """Return entries after a generation, or a snapshot where they are cut off."""
    entries = exchange.log.entries_after(after)
    if entries is None:
        return first_part(exchange, peer)
    message = ConfigEntries(_bounded(entries))
    return [Send(peer, message)] if message.entries else []


def _forward(exchange: Exchange, entries: Sequence[Entry], root: str) -> list[Send]:
    """Pass entries on along the tree of a root, once for each root and head."""
    key = (root, entries[-1].generation)
    if key in exchange.forwarded:
        return []
    exchange.forwarded[key] = None
    if len(exchange.forwarded) > FORWARDED_MAX:
        exchange.forwarded.popitem(last=False)
    message = ConfigEntries(tuple(entry.encoded for entry in entries), root)
    return [Send(name, message) for name in exchange.view.children(root)]


def _bounded(entries: Sequence[Entry]) -> tuple[bytes, ...]:
    """Return the first entries that fit a message, at least one."""
    taken: list[bytes] = []
    size = 0
    for entry in entries:
        size += len(entry.encoded)
        if taken and size > MESSAGE_BYTES_MAX:
            break
        taken.append(entry.encoded)
    return tuple(taken)


def _decoded(values: Sequence[bytes]) -> list[Entry]:
    """Return the entries of a message up to the first that cannot be decoded."""
    entries = []
    for value in values:
        try:
            entries.append(decode_entry(value))
        except StoreError:
            break
    return entries


def _digest(log: ConfigLog, *, ask: bool = False) -> ConfigDigest:
    """Return the head of a log as a message."""
    return ConfigDigest(log.generation, log.digest, ask)


def _one_of(hosts: Sequence[HostIdentity], random: Random) -> list[HostIdentity]:
    """Return one random host, or none where there is none."""
    return [hosts[random.randrange(len(hosts))]] if hosts else []


HANDLERS: Final[dict[type, Callable[[Exchange, str, Any], list[Send]]]] = {
    ConfigEntries: on_entries,
    ConfigDigest: on_digest,
    ConfigRequest: on_request,
    ConfigPartRequest: on_part_request,
    ConfigSnapshotPart: on_snapshot_part,
}
