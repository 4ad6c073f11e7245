"""Give each server of a region about as many keys as the others.

Load answered: servers remember few more objects than there are for each of them.
Hashing gives some servers a third more keys than others; these forget each key before
it comes again, so a seventh of all runs is cold beside servers with room to spare.

One host a region hears from all others which keys they see. A key stays where hashing
puts it unless that server has its part of the keys already; then the next one of its
rank that has not is made known as its place.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

import msgspec

from greengagepoint.placing.ranking import rank_servers
from greengagepoint.placing.tables import Server, ServerTable

# Servers remember more objects than this, so fewer are nowhere too many.
KEYS_EACH_MIN: Final = 8
# A key that nobody asked for of late takes no place.
FORGET_SECONDS: Final = 30.0
KEYS_MAX: Final = 20_000
MOVES_MAX: Final = 20_000


class KeyPlace(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A server on which a key ran, or should run; ``digest`` stands for the key."""

    service: str
    digest: int
    instance: str


@dataclass(slots=True)
class Place:
    """Where a key belongs, and when it was last asked for; monotonic seconds."""

    instance: str
    seen_at: float


@dataclass(slots=True)
class KeyBalance:
    """The keys of one region's servers; ``moves`` are all that were made known.

    ``forgotten`` counts how often ``moves`` began anew.
    """

    region: str
    places: dict[tuple[str, int], Place] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    totals: Counter[str] = field(default_factory=Counter)
    moved: dict[tuple[str, int], str] = field(default_factory=dict)
    moves: list[KeyPlace] = field(default_factory=list)
    forgotten: int = 0

    def see(self, rows: Iterable[KeyPlace], table: ServerTable, now: float) -> None:
        """Take in on which servers keys ran."""
        for row in rows:
            members = table.find(row.service, self.region).servers
            if members:
                self._see(row, members, table, now)

    def _see(
        self,
        row: KeyPlace,
        members: Sequence[Server],
        table: ServerTable,
        now: float,
    ) -> None:
        """Take in on which server a key ran; move it if that has too many."""
        key = row.service, row.digest
        place = self.places.get(key)
        if place is not None:
            place.seen_at = now
            server = table.servers.get(place.instance)
            if server is not None and table.is_member(server):
                if row.instance != place.instance and key not in self.moved:
                    self._follow(key, place, row.instance, members)
                return
            self._drop(key, place)
        if len(self.places) < KEYS_MAX:
            self._assign(key, row.instance, members, now)

    def _follow(
        self,
        key: tuple[str, int],
        place: Place,
        instance: str,
        members: Sequence[Server],
    ) -> None:
        """Let a key go to the server that hashing gives it by now, if it has room."""
        first = rank_servers(key[1], members)[0].instance
        if first != instance:
            return
        if self.counts[instance] < self._limit(key[0], members):
            self.counts[place.instance] -= 1
            self.counts[instance] += 1
            place.instance = instance
        else:
            self._make_known(key, place.instance)

    def _assign(
        self,
        key: tuple[str, int],
        ran_on: str,
        members: Sequence[Server],
        now: float,
    ) -> None:
        """Give a key the server on which it ran, or the next of its rank with room."""
        self.totals[key[0]] += 1
        limit = self._limit(key[0], members)
        ranked = rank_servers(key[1], members)
        wanted = sorted(ranked, key=lambda server: server.instance != ran_on)
        with_room = (row for row in wanted if self.counts[row.instance] < limit)
        chosen = next(with_room, ranked[0]).instance
        self.counts[chosen] += 1
        self.places[key] = Place(chosen, now)
        if self.moved.get(key, ranked[0].instance) != chosen:
            self._make_known(key, chosen)

    def _limit(self, service: str, members: Sequence[Server]) -> int:
        """Return how many keys a server should have at most."""
        return max(KEYS_EACH_MIN, math.ceil(self.totals[service] / len(members)))

    def _make_known(self, key: tuple[str, int], instance: str) -> None:
        """Tell the hosts where a key belongs."""
        if len(self.moves) >= MOVES_MAX:
            self.moves.clear()
            self.forgotten += 1
        self.moved[key] = instance
        self.moves.append(KeyPlace(*key, instance))

    def _drop(self, key: tuple[str, int], place: Place) -> None:
        """Take a key from its server."""
        del self.places[key]
        self.counts[place.instance] -= 1
        self.totals[key[0]] -= 1

    def tick(self, now: float) -> None:
        """Forget keys that nobody asks for."""
        oldest = now - FORGET_SECONDS
        for key, place in list(self.places.items()):
            if place.seen_at < oldest:
                self._drop(key, place)
                self.moved.pop(key, None)
