"""Pack large values for their way between hosts."""

import zlib
from typing import Final

import msgspec

from greengagepoint_node.gateway.store_types import StoredItem, is_large

# The fastest level packs a configuration nearly as small as the usual one.
LEVEL: Final = 1
# Four times what the store takes for one value; more would be a broken message.
VALUE_BYTES_MAX: Final = 4 * 1024 * 1024
# Configurations are the only large values known; the bound only ends a leak.
CACHED_MAX: Final = 16


class PackedItem(msgspec.Struct, array_like=True, frozen=True):
    """One key of the store on its way; ``value`` is deflated where it is ``packed``.

    A small item travels without the last field, as hosts of the former version send and
    read it. They refuse a message with a packed one, and ask the store themselves.
    """

    key: str
    value: bytes
    revision: int
    packed: bool = False


class ItemPacker:
    """Pack each value once, however many peers it goes to.

    A host whose link carries 5 Mbit/s needs 1.4 s for the 848 KB of 4,200 routes, and
    its callers get 404 on new routes until then; packed they take 0.1 s.
    """

    def __init__(self) -> None:
        self.cached: dict[str, PackedItem] = {}

    def pack(self, item: StoredItem) -> PackedItem | StoredItem:
        """Return an item as it is sent."""
        if not is_large(item):
            return item
        known = self.cached.get(item.key)
        if known is None or known.revision != item.revision:
            value = zlib.compress(item.value, LEVEL)
            known = PackedItem(item.key, value, item.revision, packed=True)
            self._keep(known)
        return known

    def unpack(self, item: PackedItem) -> StoredItem:
        """Return an item as the store holds it; raise msgspec.ValidationError."""
        if not item.packed:
            return StoredItem(item.key, item.value, item.revision)
        value = _inflate(item)
        self._keep(item)
        return StoredItem(item.key, value, item.revision)

    def _keep(self, item: PackedItem) -> None:
        """Keep a packed item for the next peer."""
        self.cached.pop(item.key, None)
        self.cached[item.key] = item
        if len(self.cached) > CACHED_MAX:
            del self.cached[next(iter(self.cached))]


def _inflate(item: PackedItem) -> bytes:
    """Return a packed value whole."""
    stream = zlib.decompressobj()
    try:
        value = stream.decompress(item.value, VALUE_BYTES_MAX)
    except zlib.error as error:
        raise msgspec.ValidationError(f"{item.key}: {error}") from error
    if not stream.eof:
        raise msgspec.ValidationError(f"{item.key}: cut short or too long")
    return value
