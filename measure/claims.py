"""Count store writes and added wait of claims, in batches and one by one."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from greengagepoint.delivery.answers import ClaimRow, ClaimTable, put
from greengagepoint.delivery.claims import CLAIMS_PREFIX, ClaimValue, encode
from greengagepoint.errors import GreengagepointError
from greengagepoint.hosts import HostIdentity
from greengagepoint.records.schemas import StoreOutage
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.claims import ClaimsCoordinator
from greengagepoint_standins import virtual_time
from greengagepoint_standins.memory_store import MemoryStore
from greengagepoint_standins.timed_network import EventList, TimedBus, TimedNetwork
from measure.figure import Figure

SEED: Final = 7
REGIONS: Final = ("attiki", "kentriki-makedonia", "dytiki-ellada")
HOSTS_PER_REGION: Final = 4
CLAIMS: Final = 2500
SECONDS_MAX: Final = 40.0
RATES: Final = (20, 200, 1000)
PEER_SECONDS: Final = 0.001
STORE_SECONDS: Final = 0.003
STORE_CALLS_PER_SECOND: Final = 300
WAIT_MAX_SECONDS: Final = 2.0
STORE_WRITES_MAX: Final = 200.0


class PacedStore(MemoryStore):
    """A store that serves a fixed number of calls a second, in order."""

    def __init__(self) -> None:
        super().__init__(delay=self.delay_seconds)
        self.free_at = 0.0

    def delay_seconds(self) -> float:
        """Return the time that a call takes that comes now."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(self.free_at, now) + 1 / STORE_CALLS_PER_SECOND
        return self.free_at - now + STORE_SECONDS


class Load:
    """Claims that come to a fleet at a rate, and what became of them."""

    def __init__(self, rate: int) -> None:
        self.rate = rate
        self.seconds = min(SECONDS_MAX, CLAIMS / rate)
        self.store = PacedStore()
        self.waits: list[float] = []
        self.failed = 0
        self.network = TimedNetwork(lambda: (PEER_SECONDS,))
        self.identities = [
            HostIdentity(f"{region}-{number}", 1, region, region, "", "")
            for region in REGIONS
            for number in range(HOSTS_PER_REGION)
        ]
        self.hosts = [self.start(host) for host in self.identities]

    def start(self, host: HostIdentity) -> ClaimsCoordinator:
        """Return the coordinator of one host."""
        context = Context(
            host=host,
            clock=virtual_time.VirtualClock(),
            random=random.Random(SEED),
            store=self.store,
            peers=TimedBus(self.network, host.name),
            events=EventList(),
        )
        return ClaimsCoordinator(context, lambda: self.identities)

    async def claim_in_batch(self, number: int) -> None:
        """Claim a key as the daemon does."""
        host = self.hosts[number % len(self.hosts)]
        await host.async_claim(
            "booking", "ermis", str(number), "", StoreOutage.REFUSE, WAIT_MAX_SECONDS
        )

    async def claim_alone(self, number: int) -> None:
        """Claim a key with a write of its own."""
        value = encode(ClaimValue("host", 1, str(number), "", 0))
        async with asyncio.timeout(WAIT_MAX_SECONDS):
            await self.store.create([(f"{CLAIMS_PREFIX}{number}", value)])

    async def async_one(self, claim: Callable, number: int) -> None:
        """Make one claim and note how long it took."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            await claim(number)
        except (GreengagepointError, TimeoutError):
            self.failed += 1
            return
        self.waits.append(loop.time() - started)

    async def async_play(self, claim: Callable) -> None:
        """Make claims at random times for some seconds."""
        draw = random.Random(SEED)
        tasks = []
        now = 0.0
        loop = asyncio.get_running_loop()
        while (now := now + draw.expovariate(self.rate)) < self.seconds:
            await asyncio.sleep(now - loop.time())
            number = draw.randrange(1 << 60)
            tasks.append(loop.create_task(self.async_one(claim, number)))
        await asyncio.gather(*tasks)


def play(rate: int, *, batched: bool) -> Load:
    """Play one rate in virtual time."""

    async def scenario() -> Load:
        load = Load(rate)
        await load.async_play(load.claim_in_batch if batched else load.claim_alone)
        return load

    return virtual_time.run(scenario())


def run_at(rate: int) -> list[Figure]:
    """Measure one rate both ways."""
    ours = play(rate, batched=True)
    plain = play(rate, batched=False)
    label = f"at {rate} claims/s of 12 hosts"
    other = "a write for each claim"
    claims = len(ours.waits) + ours.failed
    messages = ours.network.sent
    return [
        Figure(
            f"claims: store writes {label}",
            ours.store.writes / ours.seconds,
            "writes/s",
            plain.store.writes / ours.seconds,
            other,
            limit=STORE_WRITES_MAX,
        ),
        Figure(
            f"claims: median wait {label}",
            _quantile(ours.waits, 0.5),
            "ms",
            _quantile(plain.waits, 0.5),
            other,
        ),
        Figure(
            f"claims: p99 wait {label}",
            _quantile(ours.waits, 0.99),
            "ms",
            _quantile(plain.waits, 0.99),
            other,
        ),
        Figure(
            f"claims: not settled in {WAIT_MAX_SECONDS} s {label}",
            100 * ours.failed / claims,
            "%",
            100 * plain.failed / claims,
            other,
        ),
        Figure(f"claims: peer messages {label}", messages / ours.seconds, "messages/s"),
    ]


def _quantile(waits: list[float], fraction: float) -> float:
    """Return a quantile in milliseconds."""
    ordered = sorted(waits)
    return ordered[int(len(ordered) * fraction)] * 1000


def _row_bytes() -> Figure:
    """Count how many claims without answers a host remembers."""
    table = ClaimTable()
    for number in range(20_000):
        value = ClaimValue("host", 1, str(number), "", 0)
        put(table, str(number), ClaimRow(value, ended=True))
    return Figure("claims: kept in a host's memory", len(table.rows), "claims")


def run() -> list[Figure]:
    """Measure all rates."""
    figures = []
    for rate in RATES:
        figures += run_at(rate)
    return [*figures, _row_bytes()]
