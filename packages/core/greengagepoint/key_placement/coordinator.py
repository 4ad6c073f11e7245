"""Place the keys of one region: collect their usage and adjust the weights."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from greengagepoint.key_placement.balancing import (
    Limits,
    balance_steps,
    create_keys,
    measure_rates,
)
from greengagepoint.key_placement.homes import (
    HOMES_MIN,
    HomeCount,
    ServiceUsage,
)
from greengagepoint.key_placement.known_keys import KeyRow, KnownKeys
from greengagepoint.key_placement.messages import KeyUsageReport, KeyWeights
from greengagepoint.placing.tables import Server, ServerTable
from greengagepoint.placing.typical_load import RUN_SECONDS_START

# In the first seconds, most keys have not run yet, and moving one that has costs one
# cold run of the few seconds of its life.
EARLY_SECONDS: Final = 5.0
# Hosts of large regions report every few seconds. The first reports name few of the
# keys, as each has a limited number of rows.
EARLY_ROUNDS: Final = 3
# Each moved key costs a cold run, which takes as long as three warm ones.
MOVED_SHARE_PER_SECOND: Final = 0.03
# Hosts that know the weights of a former coordinator have reported by then.
FIRST_WAIT_SECONDS: Final = 1.0
# Request rates vary by chance, and weights that follow them move keys for little. A
# key that moves from a server with too many to one with too few lowers the excess by 1
# to 2.
GAIN_PER_MOVE: Final = 0.5
# The budget of a coordinator that was late. More would move in one second what was
# meant for several.
BUDGET_SECONDS_MAX: Final = 1.0
REPORT_PERIOD_SECONDS: Final = 1.0
# A coordinator that takes over knows most keys after this: 0.4 requests per second of a
# mean key are four in that time.
TAKEOVER_SECONDS: Final = 10.0
# A coordinator that received nothing for this long starts to learn the keys anew.
ABSENCE_SECONDS: Final = 5.0
# With fewer keys, chance decides which servers seem to have too many.
KEYS_PER_SERVER_MIN: Final = 1.0
# Determining the candidates of one key among 109 servers takes about 70 us.
CANDIDATES_PER_PART: Final = 20
# Servers that left are forgotten when there are this many more weights than members.
FORMER_WEIGHTS_MAX: Final = 200


class Outcome(NamedTuple):
    """What a round of balancing did to a service, for the log.

    ``before`` and ``after`` are the excess of load over all servers in mean keys.
    """

    service: str
    keys: int
    servers: int
    moved: int
    before: float
    after: float
    cold_share: float
    homes: int


@dataclass(slots=True)
class KeyCoordinator:
    """Hold the keys and weights of a region; times are monotonic seconds.

    ``period_seconds`` is the time between two reports of a host. ``version`` is that
    of the weights, 0 before the first change. ``seeded`` is true if
    the weights were taken over from another coordinator.
    """

    region: str
    keys: KnownKeys = field(default_factory=KnownKeys)
    weights: dict[str, float] = field(default_factory=dict)
    homes: dict[str, HomeCount] = field(default_factory=dict)
    members: dict[str, tuple[str, ...]] = field(default_factory=dict)
    version: int = 0
    seeded: bool = False
    period_seconds: float = REPORT_PERIOD_SECONDS
    reported_at: float = float("-inf")
    began_at: float = float("-inf")
    balanced_at: float = float("-inf")

    def seed(self, weights: dict[str, float], homes: dict[str, int]) -> None:
        """Start from the weights and numbers of homes of a former coordinator."""
        self.weights = dict(weights)
        self.homes = {name: HomeCount(count) for name, count in homes.items()}
        self.seeded = True
        self.version += 1

    @property
    def early_seconds(self) -> float:
        """Return the seconds from the first report in which all keys may move."""
        return max(EARLY_SECONDS, EARLY_ROUNDS * self.period_seconds)

    def lacks_weights(
        self, report: KeyUsageReport, host: str, started: int, now: float
    ) -> bool:
        """Return True if the reporting host knows weights to start from.

        A coordinator that has just started would move all keys if it started anew.
        ``host`` and ``started`` are this incarnation, whose own weights come back in
        reports and are none of a former coordinator.
        """
        if self.seeded or not report.known_version:
            return False
        if (report.coordinator, report.coordinator_started) == (host, started):
            return False
        return not self.version or now - self.began_at < self.early_seconds

    def apply(self, report: KeyUsageReport, table: ServerTable, now: float) -> int:
        """Apply a host's report; return the number of invalid rows."""
        if report.region != self.region:
            return len(report.rows)
        if report.rows:
            if now - self.reported_at > ABSENCE_SECONDS:
                # The keys may have changed meanwhile, and most are not known yet.
                self.seeded = self.version > 0
                self.began_at = now
            self.reported_at = now
        services = [name for name, region in table.members if region == self.region]
        return self.keys.apply(report, services, now)

    def create_message(self, host: str, started: int) -> KeyWeights:
        """Return the weights in force as a message of this host."""
        weights = {name: value for name, value in self.weights.items() if value != 1}
        homes = {
            name: count.homes
            for name, count in self.homes.items()
            if count.homes != HOMES_MIN
        }
        return KeyWeights(host, self.version, weights, homes, started)

    def balance(self, table: ServerTable, now: float) -> Iterator[Outcome | None]:
        """Adjust the weights; yield None after each part, and the outcomes.

        The caller lets the event loop run after each part. If the weights are seeded
        meanwhile, the round ends without a result: it began with other weights, and
        a seeded coordinator first learns the keys.
        """
        version = self.version
        self.keys.drop_expired(now)
        changed = False
        moves_share = self._moves_share(now)
        self.balanced_at = now
        if moves_share <= 0:
            return
        try:
            for service, region in list(table.members):
                if region != self.region:
                    continue
                servers = sorted(
                    table.find(service, region).servers, key=lambda row: row.instance
                )
                steps = self._balance_service(service, servers, moves_share, now)
                changed = (yield from steps) or changed
                if self.version != version:
                    return
            self._forget_former(table)
        finally:
            # Hosts get what changed before a failure, which may recur in each round.
            if changed and self.version == version:
                self.version += 1

    def _moves_share(self, now: float) -> float:
        """Return the share of the keys that may move in this round."""
        age = now - self.began_at
        if now - self.reported_at > ABSENCE_SECONDS:
            return 0.0
        if self.seeded:
            if age < TAKEOVER_SECONDS:
                return 0.0
        elif age < FIRST_WAIT_SECONDS:
            return 0.0
        elif age < self.early_seconds:
            return 1.0
        elapsed = min(BUDGET_SECONDS_MAX, now - self.balanced_at)
        return MOVED_SHARE_PER_SECOND * max(0.0, elapsed)

    def _balance_service(
        self, service: str, servers: list[Server], moves_share: float, now: float
    ) -> Iterator[Outcome | None]:
        """Adjust the weights and homes of one service; return True if they changed."""
        version = self.version
        members = self._members(service, servers)
        rows = self.keys.of_service(service)
        if not members or not rows:
            return False
        rates = yield from measure_rates(rows, now)
        count = self.homes.setdefault(service, HomeCount())
        changed = count.update(self._usage(service, rates, servers), now)
        if changed:
            # Runs before the change tell nothing of the new number of homes.
            self.keys.counts.pop(service, None)
        if count.homes * len(rows) < KEYS_PER_SERVER_MIN * len(members):
            return changed
        yield from _update_candidates(rows, servers, members)
        yield None
        weights = [self.weights.get(name, 1.0) for name in members]
        gain = GAIN_PER_MOVE if moves_share < 1 else 0.0
        limits = Limits(moves_share * len(rows), gain)
        keys = yield from create_keys(rows, rates, count.homes)
        balance = None
        for balance in balance_steps(keys, weights, limits):
            if balance is None:
                yield None
        if self.version != version or (balance.weights == weights and not changed):
            return False
        self.weights.update(zip(members, balance.weights, strict=True))
        yield Outcome(
            service,
            len(rows),
            len(members),
            balance.moved,
            balance.before,
            balance.after,
            self.keys.cold_share(service) or 0.0,
            count.homes,
        )
        return True

    def _members(self, service: str, servers: list[Server]) -> tuple[str, ...]:
        """Return the ids of a service's servers, the same tuple until they change."""
        members = tuple(row.instance for row in servers)
        known = self.members.setdefault(service, members)
        if known != members:
            self.members[service] = known = members
        return known

    def _usage(
        self, service: str, rates: list[float], servers: list[Server]
    ) -> ServiceUsage:
        """Return what decides on the number of homes of a service's keys."""
        run_seconds = servers[0].typical.run_seconds or RUN_SECONDS_START
        slots = sum(row.slots for row in servers)
        return ServiceUsage(
            keys_per_server=len(rates) / len(servers),
            busy=sum(rates) * run_seconds / slots if slots else 0.0,
            cold_share=self.keys.cold_share(service) or 0.0,
        )

    def _forget_former(self, table: ServerTable) -> None:
        """Drop the weights of servers that left, once there are many.

        A server that restarts under its id keeps its weight.
        """
        members = {
            row.instance
            for (_, region), group in table.members.items()
            if region == self.region
            for row in group.servers
        }
        if len(self.weights) > len(members) + FORMER_WEIGHTS_MAX:
            kept = self.weights.keys() & members
            self.weights = {name: self.weights[name] for name in sorted(kept)}


def _update_candidates(
    rows: list[KeyRow], servers: list[Server], members: tuple[str, ...]
) -> Iterator[None]:
    """Determine the candidates of keys that are new or whose members changed."""
    index = {name: number for number, name in enumerate(members)}
    # Comparing the ids of 109 servers for each of 1,134 keys would take 5 ms.
    stale = [row for row in rows if row.members is not members]
    for count, row in enumerate(stale, 1):
        row.find_candidates(servers, members, index)
        if count % CANDIDATES_PER_PART == 0:
            yield None
