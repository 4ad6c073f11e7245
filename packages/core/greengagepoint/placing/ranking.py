"""Rank the backend servers of a region for a key, identically on every host."""

from typing import Final

import xxhash

from greengagepoint.placing.tables import Server, ServerTable

# 10,000 keys of 100 bytes, each with a short tuple, take less than 4 MB.
CACHED_RANKS_MAX: Final = 10_000
# Number of servers that a key may become warm on. With a second one, callers of a busy
# server use whichever is free. With more, each server has more keys than it can keep
# warm, and cold runs fill the slots.
RANK_LENGTH: Final = 2
HASH_RANGE: Final = 2**64


def unit_hash(text: str) -> float:
    """Return a hash of ``text`` as a number from 0 to less than 1."""
    return xxhash.xxh3_64_intdigest(text.encode()) / HASH_RANGE


class RankCache:
    """Cache ranks by service, region and key for one version of the table."""

    def __init__(self) -> None:
        self.version = -1
        self.ranks: dict[tuple[str, str, str], tuple[Server, ...]] = {}

    def rank(
        self, table: ServerTable, service: str, region: str, key: str
    ) -> tuple[Server, ...]:
        """Return the first servers of a region in the order of their weight for a key.

        Rendezvous hashing needs no coordination: hosts that know the same members rank
        them identically, so a key stays on the server that is warm for it.
        """
        if self.version != table.version or len(self.ranks) > CACHED_RANKS_MAX:
            self.ranks.clear()
            self.version = table.version
        found = self.ranks.get((service, region, key))
        if found is None:
            members = table.find(service, region).servers
            weights = {
                server.instance: unit_hash(f"{key}\0{server.instance}")
                for server in members
            }
            ordered = sorted(members, key=lambda row: -weights[row.instance])
            found = tuple(ordered[:RANK_LENGTH])
            self.ranks[(service, region, key)] = found
        return found
