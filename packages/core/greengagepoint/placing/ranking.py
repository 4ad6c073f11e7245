"""Rank the backend servers of a region for a key, identically on every host."""

import math
from collections.abc import Sequence
from typing import Final, NamedTuple

import xxhash

from greengagepoint.placing.tables import Server, ServerTable

# 10,000 keys of 100 bytes, each with a short tuple, take less than 4 MB.
CACHED_RANKS_MAX: Final = 10_000
# Number of servers that a key may become warm on. With a second one, callers of a busy
# server use whichever is free. With more, each server has more keys than it can keep
# warm, and cold runs fill the slots.
RANK_LENGTH: Final = 2
HASH_RANGE: Final = 2**64
# How the HTTP library decodes bytes of headers that are not UTF-8.
HEADER_ERRORS: Final = "surrogateescape"
# Servers with the highest hashes for a key, of which the weights choose. Weights change
# each second at first, and ten scores per key are cheap to compute again.
CANDIDATES_MAX: Final = 10
# Candidates take 0.5 KB per key.
CACHED_CANDIDATES_MAX: Final = 4_000


class Candidates(NamedTuple):
    """The servers that may be a key's home, and their scores at weight 1.

    Both are in descending order of the scores.
    """

    servers: tuple[Server, ...]
    strengths: tuple[float, ...]


def unit_hash(text: str) -> float:
    """Return a hash of ``text`` as a number from 0 to less than 1.

    Bytes of a header that are not UTF-8 are read as lone surrogates; they are hashed as
    the bytes that the caller sent.
    """
    return xxhash.xxh3_64_intdigest(text.encode(errors=HEADER_ERRORS)) / HASH_RANGE


def rank_by_hash(key: str, members: Sequence[Server]) -> list[Server]:
    """Return servers in descending order of their hashes for a key."""
    hashes = {
        server.instance: unit_hash(f"{key}\0{server.instance}") for server in members
    }
    return sorted(members, key=lambda row: -hashes[row.instance])


def find_candidates(key: str, members: Sequence[Server]) -> Candidates:
    """Return the candidates of a key among the members of a service in a region."""
    prefix = key.encode(errors=HEADER_ERRORS) + b"\0"
    digest = xxhash.xxh3_64_intdigest
    draws = [digest(prefix + row.instance.encode()) / HASH_RANGE for row in members]
    order = sorted(range(len(draws)), key=draws.__getitem__, reverse=True)
    chosen = order[:CANDIDATES_MAX]
    return Candidates(
        tuple(members[number] for number in chosen),
        tuple(score(draws[number]) for number in chosen),
    )


def score(draw: float) -> float:
    """Return the weighted rendezvous score of a hash from 0 to 1 at weight 1."""
    if draw <= 0:
        return 0.0
    # A hash in the last 1,024 of its range is rounded to 1.
    return -1 / math.log(draw) if draw < 1 else math.inf


class RankCache:
    """Cache ranks by service, region and key for one version of the table."""

    def __init__(self) -> None:
        self.version = -1
        self.weights_version = -1
        self.ranks: dict[tuple[str, str, str], tuple[Server, ...]] = {}
        self.candidates: dict[tuple[str, str, str], Candidates] = {}

    def rank(
        self, table: ServerTable, service: str, region: str, key: str
    ) -> tuple[Server, ...]:
        """Return the first servers of a region in the order of their weight for a key.

        Rendezvous hashing needs no coordination: hosts that know the same members rank
        them identically, so a key stays on the server that is warm for it.
        """
        if self.version != table.version or len(self.ranks) > CACHED_RANKS_MAX:
            self.ranks.clear()
            self.candidates.clear()
            self.version = table.version
        if self.weights_version != table.key_weights_version:
            self.ranks.clear()
            self.weights_version = table.key_weights_version
        place = (service, region, key)
        found = self.ranks.get(place)
        if found is None:
            found = self._rank(table, place)
            self.ranks[place] = found
        return found

    def homes(
        self, table: ServerTable, service: str, region: str, key: str
    ) -> tuple[Server, ...]:
        """Return the servers that are to keep a key warm, the first one first."""
        ranked = self.rank(table, service, region, key)
        return ranked[: table.key_homes.get((region, service), 1)]

    def _rank(
        self, table: ServerTable, place: tuple[str, str, str]
    ) -> tuple[Server, ...]:
        """Return the first servers for a service, region and key."""
        service, region, key = place
        weights = table.key_weights
        if not weights:
            members = table.find(service, region).servers
            return tuple(rank_by_hash(key, members)[:RANK_LENGTH])
        servers, strengths = self._find_candidates(table, place)
        if not any(row.instance in weights for row in servers):
            return servers[:RANK_LENGTH]
        scores = {
            row.instance: strength * weights.get(row.instance, 1.0)
            for row, strength in zip(servers, strengths, strict=True)
        }
        ordered = sorted(servers, key=lambda row: -scores[row.instance])
        return tuple(ordered[:RANK_LENGTH])

    def _find_candidates(
        self, table: ServerTable, place: tuple[str, str, str]
    ) -> Candidates:
        """Return the cached candidates for a service, region and key."""
        found = self.candidates.get(place)
        if found is None:
            service, region, key = place
            found = find_candidates(key, table.find(service, region).servers)
            if len(self.candidates) >= CACHED_CANDIDATES_MAX:
                self.candidates.clear()
            self.candidates[place] = found
        return found
