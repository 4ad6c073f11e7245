"""Map keys as the daemon names them to keys as the store holds them."""

from typing import NamedTuple

from greengagepoint.protocols import StoreValue
from greengagepoint_node.store_messages import KeyValue

ALL_KEYS_END = b"\0"
FIRST_KEY = b"\0"


class KeyRange(NamedTuple):
    """All keys from ``first`` up to ``end``."""

    first: bytes
    end: bytes


class KeySpace:
    """Keep all keys of one system under a common first part.

    Several systems can so share one store without seeing each other's keys.
    """

    def __init__(self, prefix: str) -> None:
        self.root = f"{prefix}/".encode() if prefix else b""

    def encode(self, key: str) -> bytes:
        """Return a key as the store holds it."""
        return self.root + key.encode()

    def decode(self, found: KeyValue) -> StoreValue:
        """Return what the caller sees of one key; odd bytes are kept as they are."""
        key = found.key.removeprefix(self.root).decode(errors="surrogateescape")
        return StoreValue(key, found.value, found.mod_revision)

    def range(self, prefix: str, from_key: str | None = None) -> KeyRange:
        """Return the range of keys under a prefix, from a key on."""
        first = max(prefix, from_key or prefix)
        return KeyRange(
            self.encode(first) or FIRST_KEY, prefix_end(self.encode(prefix))
        )


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys with a prefix."""
    kept = prefix.rstrip(b"\xff")
    if not kept:
        return ALL_KEYS_END
    return kept[:-1] + bytes([kept[-1] + 1])
