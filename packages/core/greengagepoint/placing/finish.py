"""Choose the server of a request by the time at which its answer is expected.

A warm run takes a third of a cold one, and a server keeps few keys warm. A request
therefore waits at one of the homes of its key while the answer is still in time. Each
move to another server makes a key cold there, and its own key cold for the next caller.

A host hears of a server once in many seconds, so it knows little of queues. Requests
of a key are therefore spread over its homes at random, unless a recent report tells
that one of them ends earlier: with all of them at one home, a server whose keys are
popular has a queue while others are idle.
"""

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import Final, NamedTuple

from greengagepoint.placing.choice import (
    COLD_RUN_OCCUPANCY_MAX,
    MAX_WAIT_DEADLINE_SHARE,
    MOVE_OCCUPANCY_MAX,
    RETRY_SECONDS_MIN,
    Finish,
    NoServerAvailable,
    Permissions,
    ServerCriteria,
)
from greengagepoint.placing.ranking import RankCache
from greengagepoint.placing.run_times import RunEstimate
from greengagepoint.placing.spilling import RemoteRegion, choose_with_spill
from greengagepoint.placing.tables import Server, ServerTable
from greengagepoint.placing.warm_keys import WARM_SECONDS

# Comparing two candidates, not all, keeps 80 hosts from converging on the server that
# was idle a moment ago.
CANDIDATES_MAX: Final = 2
# Homes whose finishes differ by less than this share of a warm run are equal: estimates
# without recent reports are no more accurate, and hosts would all use the same home.
EQUAL_FINISH_SHARE: Final = 0.5


class Reason(StrEnum):
    """Tell why a server was chosen, or that none was."""

    HOME = "home"
    MOVED = "moved_to_home"
    OTHER_WARM = "other_warm"
    COLD_IN_TIME = "cold_in_time"
    LATE_AT_HOME = "late_at_home"
    COLD_LATE = "cold_late"
    NONE = "none"


class Candidate(NamedTuple):
    """Hold a server that may run a request, and the finish expected there."""

    server: Server
    finish: Finish


Explain = Callable[[Reason, Finish], None]


def choose_by_finish(
    table: ServerTable,
    ranks: RankCache,
    criteria: ServerCriteria,
    remote_regions: Sequence[RemoteRegion],
    permissions: Permissions,
    may_spill: Callable[[Server], bool],
    run_times: RunEstimate,
    now: float,
    explain: Explain = lambda reason, finish: None,
) -> Server | NoServerAvailable:
    """Return the server for a request with a key, or why there is none.

    ``criteria.goal_seconds`` is what is left of the latency goal. ``explain`` is called
    with the reason for the choice and the finish that it expects; it is not called if
    no ranked server is usable, as the choice is then that of ``choose_with_spill``.
    """
    choice = _FinishChoice(
        table,
        ranks,
        criteria,
        remote_regions,
        permissions,
        may_spill,
        run_times,
        now,
        explain,
    )
    homes = choice.find_homes()
    if not homes:
        return choose_with_spill(
            table, ranks, criteria, remote_regions, permissions, may_spill, now
        )
    return choice.choose(homes)


class _FinishChoice(NamedTuple):
    """Hold the inputs of one choice; the fields are those of ``choose_by_finish``."""

    table: ServerTable
    ranks: RankCache
    criteria: ServerCriteria
    remote_regions: Sequence[RemoteRegion]
    permissions: Permissions
    may_spill: Callable[[Server], bool]
    run_times: RunEstimate
    now: float
    explain: Explain

    def find_homes(self) -> list[Candidate]:
        """Return the usable homes of the key, or else its first usable server."""
        for servers in (self._homes(), self._ranked(self.criteria.regions)):
            usable = [row for row in servers if self._is_usable(row)]
            if usable:
                return [
                    self._candidate(row, is_warm=self._is_warm_home(row))
                    for row in usable[:CANDIDATES_MAX]
                ]
        return []

    def choose(self, homes: list[Candidate]) -> Server | NoServerAvailable:
        """Return one of the homes or another server, or why there is none."""
        warm_homes = self._in_order_of_use([row for row in homes if row.finish.is_warm])
        for home in warm_homes:
            if self._is_in_time(home) and self._can_send(home):
                return self._accept(Reason.HOME, home)
        for home in homes:
            if not home.finish.is_warm and self._may_move(home):
                return self._accept(Reason.MOVED, home)
        home = warm_homes[0] if warm_homes else homes[0]
        for candidate in _by_finish(self._other_warm(warm_homes)):
            if self._is_in_time(candidate) and self._may_use(candidate):
                return self._accept(Reason.OTHER_WARM, candidate)
        cold = self._cold(warm_homes, self.criteria.regions)
        remote = [self._cold(warm_homes, [row.region]) for row in self.remote_regions]
        for candidate in (*cold, *(row for rows in remote for row in rows)):
            if self._is_in_time(candidate) and self._may_use(candidate):
                return self._accept(Reason.COLD_IN_TIME, candidate)
        return self._choose_late(home, cold)

    def _in_order_of_use(self, homes: list[Candidate]) -> list[Candidate]:
        """Return warm homes by finish, and those with equal finishes at random."""
        ordered = _by_finish(homes)
        if len(ordered) < CANDIDATES_MAX:
            return ordered
        first, second = ordered
        difference = second.finish.seconds - first.finish.seconds
        is_equal = difference < EQUAL_FINISH_SHARE * self.run_times.warm
        if is_equal and self.criteria.draw < 1 / CANDIDATES_MAX:
            return [second, first]
        return ordered

    def _choose_late(
        self, home: Candidate, free: Sequence[Candidate]
    ) -> Server | NoServerAvailable:
        """Return the server for an answer after the goal, or why there is none.

        ``free`` are servers of the key's region with a free slot for a cold run. No
        request goes to another region if its answer is late there too.
        """
        earlier = [
            row
            for row in free
            if row.finish.seconds + row.finish.run < home.finish.seconds
        ]
        for candidate in earlier:
            if self._may_be_late(candidate):
                return self._accept(Reason.COLD_LATE, candidate)
        if self._may_be_late(home):
            return self._accept(Reason.LATE_AT_HOME, home)
        for candidate in free:
            # An idle server has slots that nobody else needs now.
            if self._is_idle(candidate.server) and self._may_use(candidate):
                return self._accept(Reason.COLD_LATE, candidate)
        return self._refuse(home)

    def _other_warm(self, homes: Sequence[Candidate]) -> list[Candidate]:
        """Return servers other than the homes on which this host ran the key."""
        found = []
        for incarnation in self.criteria.warm:
            server = self.table.servers.get(incarnation.instance)
            if server is None or any(server is row.server for row in homes):
                continue
            if server.incarnation == incarnation and self._is_reachable(server):
                found.append(self._candidate(server, is_warm=True))
        return found[-CANDIDATES_MAX:]

    def _cold(
        self, homes: Sequence[Candidate], regions: Sequence[str]
    ) -> list[Candidate]:
        """Return the servers of regions with a free slot for a cold run, by rank.

        The first in rank is preferred to the earliest finish, so that the key becomes
        warm on one server more, not on two.
        """
        servers = [
            server
            for server in self._ranked(regions)
            if server.incarnation not in self.criteria.warm
            and all(server is not home.server for home in homes)
            and self._is_usable(server)
        ]
        candidates = [
            self._candidate(row, is_warm=False) for row in servers[:CANDIDATES_MAX]
        ]
        return [row for row in candidates if self._has_free_slot(row)]

    def _homes(self) -> Iterable[Server]:
        """Yield the servers that are to keep the key warm."""
        key = self.criteria.key or ""
        for region in self.criteria.regions:
            yield from self.ranks.homes(self.table, self.criteria.service, region, key)

    def _ranked(self, regions: Sequence[str]) -> Iterable[Server]:
        """Yield the key's servers of some regions in order."""
        key = self.criteria.key or ""
        for region in regions:
            yield from self.ranks.rank(self.table, self.criteria.service, region, key)

    def _candidate(self, server: Server, *, is_warm: bool) -> Candidate:
        """Return a server with the finish expected there."""
        pace = server.expected_pace(self.now)
        run = pace * (self.run_times.warm if is_warm else self.run_times.cold)
        ahead = server.requests_ahead(self.now)
        wait = pace * self.run_times.mean * ahead / server.slots
        finish = Finish(
            seconds=self._round_trip(server.region) + wait + run,
            wait=wait,
            run=run,
            pace=pace,
            pace_age=self.now - server.paced_at,
            is_warm=is_warm,
        )
        return Candidate(server, finish)

    def _round_trip(self, region: str) -> float:
        """Return the round-trip time to a region in seconds."""
        for remote in self.remote_regions:
            if remote.region == region:
                return remote.round_trip_seconds
        return self.criteria.round_trip_seconds

    def _is_warm_home(self, server: Server) -> bool:
        """Return True if the key is believed warm at its home.

        Peers send the key there too, unless the home was added recently: then it takes
        over its keys at the rate of ``may_move``.
        """
        warm = self.criteria.warm
        if not warm or server.incarnation in warm:
            return True
        return server.cold_until + WARM_SECONDS <= self.now

    def _is_usable(self, server: Server) -> bool:
        """Return True if a server is untried, awake, unsuspected and within limits."""
        if server.incarnation in self.criteria.tried or server.is_resting(self.now):
            return False
        if server.suspect_until > self.now or not self.permissions.may_use(server):
            return False
        return server.request_limit is None or self.permissions.has_quota(server)

    def _is_reachable(self, server: Server) -> bool:
        """Return True if a server may run this request in its region."""
        if not self.table.is_member(server) or not self._is_usable(server):
            return False
        if server.service != self.criteria.service:
            return False
        remote = (row.region for row in self.remote_regions)
        return server.region in self.criteria.regions or server.region in remote

    def _is_in_time(self, candidate: Candidate) -> bool:
        """Return True if the answer is expected within the goal."""
        left = min(self.criteria.goal_seconds, self.criteria.seconds_left)
        return candidate.finish.seconds <= left

    def _has_free_slot(self, candidate: Candidate) -> bool:
        """Return True if a server has enough free slots for a cold run."""
        server = candidate.server
        return server.occupancy(self.now) <= COLD_RUN_OCCUPANCY_MAX * server.slots

    def _is_idle(self, server: Server) -> bool:
        """Return True if a server has enough free slots to take over a key."""
        return server.occupancy(self.now) <= MOVE_OCCUPANCY_MAX * server.slots

    def _may_move(self, home: Candidate) -> bool:
        """Return True if the key may move to its home, where it is cold."""
        if not self._is_idle(home.server) or not self.permissions.may_move():
            return False
        return self._can_send(home)

    def _may_use(self, candidate: Candidate) -> bool:
        """Return True if a request may run at a server, in another region too."""
        if candidate.server.region not in self.criteria.regions and not self.may_spill(
            candidate.server
        ):
            return False
        return self._can_send(candidate)

    def _may_be_late(self, candidate: Candidate) -> bool:
        """Return True if a caller may wait for an answer after the goal."""
        finish = candidate.finish
        left = self.criteria.seconds_left
        if finish.wait > MAX_WAIT_DEADLINE_SHARE * left or finish.seconds > left:
            return False
        if not self._may_use(candidate):
            return False
        # A warm run in a free slot takes nothing from other callers.
        takes_nothing = finish.is_warm and self._has_free_slot(candidate)
        return takes_nothing or self.permissions.may_wait()

    def _can_send(self, candidate: Candidate) -> bool:
        """Return True if a server takes any request, or this host may send it one."""
        server = candidate.server
        return server.is_unrestricted(self.now) or self.permissions.may_send(server)

    def _accept(self, reason: Reason, candidate: Candidate) -> Server:
        """Explain and return a choice."""
        self.explain(reason, candidate.finish)
        return candidate.server

    def _refuse(self, home: Candidate) -> NoServerAvailable:
        """Report that no server can take the request in time."""
        finish = home.finish
        self.explain(Reason.NONE, finish)
        too_late = finish.seconds - self.criteria.goal_seconds
        longest = max(0.0, finish.wait - too_late)
        return NoServerAvailable(
            retry_seconds=max(RETRY_SECONDS_MIN, min(too_late, finish.wait)),
            servers_known=True,
            shortest_wait=finish.wait,
            longest_wait=longest,
            servers=sum(
                len(self.table.find(self.criteria.service, region).servers)
                for region in self.criteria.regions
            ),
            report_age=self.now - home.server.reported_at,
            finish=finish,
        )


def _by_finish(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return candidates, those with the earliest finish first."""
    return sorted(candidates, key=lambda row: row.finish.seconds)
