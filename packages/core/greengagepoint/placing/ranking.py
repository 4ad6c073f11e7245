"""Rank the backend servers of a region by a key, the same on every host."""

from collections.abc import Sequence
from typing import Final

import xxhash

from greengagepoint.placing.tables import Server, ServerTable

# 10,000 keys of 100 bytes and a short tuple each stay under 4 MB.
KEPT_RANKS_MAX: Final = 10_000
# Servers that a key may become warm on. With a second one, callers of a busy server use
# whichever is free; with more, each server holds more keys than it keeps warm, and cold
# runs fill the slots.
RANK_LENGTH: Final = 2
HASH_RANGE: Final = 2**64


def unit_hash(text: str) -> float:
    """Return a number from 0 to less than 1 that depends on the text alone."""
    return xxhash.xxh3_64_intdigest(text.encode()) / HASH_RANGE


def digest_of(key: str) -> int:
    """Return the number that stands for a key in messages and ranks."""
    return xxhash.xxh3_64_intdigest(key.encode())


def rank_servers(digest: int, members: Sequence[Server]) -> list[Server]:
    """Return servers in the order of their weight for a key.

    Rendezvous hashing needs no agreement: hosts that know the same members rank them
    alike, so a key stays on the server that is warm for it.
    """
    prefix = f"{digest:016x}\0"

    def weight(server: Server) -> float:
        return unit_hash(prefix + server.instance)

    return sorted(members, key=weight, reverse=True)


class RankCache:
    """Ranks by service, region and key for one version of the table.

    ``moves`` are keys that belong on another server than the first of their rank, by
    service and digest.
    """

    def __init__(self) -> None:
        self.version = -1
        self.ranks: dict[tuple[str, str, str], tuple[Server, ...]] = {}
        self.moves: dict[tuple[str, int], str] = {}

    def rank(
        self, table: ServerTable, service: str, region: str, key: str
    ) -> tuple[Server, ...]:
        """Return the first servers of a region for a key, where it belongs at first."""
        if self.version != table.version or len(self.ranks) > KEPT_RANKS_MAX:
            self.ranks.clear()
            self.version = table.version
        found = self.ranks.get((service, region, key))
        if found is None:
            digest = digest_of(key)
            ranked = rank_servers(digest, table.find(service, region).servers)
            place = self.moves.get((service, digest))
            # The sort is stable: the others keep their order.
            ranked.sort(key=lambda server: server.instance != place)
            found = tuple(ranked[:RANK_LENGTH])
            self.ranks[(service, region, key)] = found
        return found

    def take_moves(self, moves: dict[tuple[str, int], str]) -> None:
        """Take in where keys belong by now."""
        if moves:
            self.moves.update(moves)
            self.ranks.clear()
