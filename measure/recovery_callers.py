"""Call a fleet as callers do: look hosts up, cache that, move on from dead ones."""

import asyncio
import itertools
import time
from collections import Counter
from enum import StrEnum
from typing import Final, NamedTuple

import aiohttp

from measure.daemon_fleet import DaemonFleet

CALLER_ADDRESSES: Final = {
    "attiki": "10.1.0.5",
    "kentriki-makedonia": "10.2.0.5",
    "dytiki-ellada": "10.3.0.5",
}
LOOKUP_CALLERS_A_REGION: Final = 3
KEYED_CALLERS_A_REGION: Final = 1
PAUSE_SECONDS: Final = 0.05
HOSTS_TRIED_MAX: Final = 4
REQUEST_TIMEOUT: Final = aiohttp.ClientTimeout(total=6.0, sock_connect=0.5)
LOOKUP_TIMEOUT: Final = aiohttp.ClientTimeout(total=1.0, sock_connect=0.5)


class Told(StrEnum):
    """What a caller learns of one request in the end."""

    ANSWERED = "answered"
    REFUSED = "not run"
    UNKNOWN = "unknown"
    CUT_OFF = "cut off"


class Ended(NamedTuple):
    """One request's end; ``at`` and ``seconds`` are of the monotonic clock."""

    at: float
    seconds: float
    told: Told
    kind: str
    keyed: bool
    moved_on: int
    key: str


class Callers:
    """All callers of a fleet and what became of their requests."""

    def __init__(self, fleet: DaemonFleet) -> None:
        self.fleet = fleet
        self.ended: list[Ended] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.keys = itertools.count()
        self.stopping = False
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.prefix = f"k{time.monotonic_ns()}"

    def start(self) -> None:
        """Start calling from all regions."""
        for region in CALLER_ADDRESSES:
            for number in range(LOOKUP_CALLERS_A_REGION + KEYED_CALLERS_A_REGION):
                keyed = number >= LOOKUP_CALLERS_A_REGION
                caller = Caller(self, region, keyed=keyed)
                self.tasks.append(asyncio.create_task(caller.async_run()))

    async def async_stop(self) -> None:
        """Let each caller end the request that it is at."""
        self.stopping = True
        await asyncio.gather(*self.tasks)
        await self.session.close()

    def count(self, *, since: float = 0.0) -> Counter[Told]:
        """Count requests by what their callers were told."""
        return Counter(one.told for one in self.ended if one.at >= since)

    def kinds(self) -> Counter[str]:
        """Count error kinds."""
        return Counter(one.kind for one in self.ended if one.kind)

    def last_bad(self, since: float) -> float:
        """Return how long after a moment the last request was not answered."""
        bad = [one.at for one in self.ended if one.told is not Told.ANSWERED]
        return max([0.0, *(at - since for at in bad)])

    def longest_gap(self, since: float, until: float) -> float:
        """Return the longest time without any answer to any caller."""
        times = [one.at for one in self.ended if one.told is Told.ANSWERED]
        inside = [since, *(at for at in times if since <= at <= until), until]
        return max(after - before for before, after in itertools.pairwise(inside))

    def broken_promises(self) -> int:
        """Count keys that ran twice, ran after "not run", or were answered unrun."""
        broken = 0
        for one in self.ended:
            if not one.keyed:
                continue
            runs = self.fleet.runs_of(one.key)
            broken += runs > 1
            broken += one.told is Told.REFUSED and runs > 0
            broken += one.told is Told.ANSWERED and runs == 0
        return broken


class Caller:
    """One driver's phone, which looks bays up or, ``keyed``, reserves them."""

    def __init__(self, callers: Callers, region: str, *, keyed: bool) -> None:
        self.keyed = keyed
        self.callers = callers
        self.region = region
        self.hosts: list[str] = []
        self.cached_until = 0.0
        self.turn = 0

    async def async_run(self) -> None:
        """Call again and again; a request that has begun is ended."""
        while not self.callers.stopping:
            await self._async_request()
            await asyncio.sleep(PAUSE_SECONDS)

    async def _async_request(self) -> None:
        """Send one request, moving on to the next host when one cannot be reached."""
        started = time.monotonic()
        key = f"{self.callers.prefix}-{next(self.callers.keys)}" if self.keyed else ""
        moved_on = 0
        told, kind = Told.REFUSED, "no host reached"
        for host in await self._async_hosts():
            told, kind, reached = await self._async_try(host, key)
            if reached:
                break
            self.cached_until = 0.0
            moved_on += 1
        now = time.monotonic()
        self.callers.ended.append(
            Ended(now, now - started, told, kind, self.keyed, moved_on, key)
        )

    async def _async_try(self, host: str, key: str) -> tuple[Told, str, bool]:
        """Send to one host; tell what came of it and whether that is final.

        A connection that could not be made sent nothing. One that broke may have
        sent all: a look-up goes to the next host, a reservation is left unknown.
        """
        method, path = ("POST", "reservations") if key else ("GET", "bays")
        headers = {"Greengagepoint-Team": "drivers"}
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://{host}/s/booking/{path}"
        try:
            async with self.callers.session.request(
                method, url, headers=headers, timeout=REQUEST_TIMEOUT
            ) as answer:
                await answer.read()
                if answer.status < 400:
                    return Told.ANSWERED, "", True
                document = await answer.json(content_type=None)
        except aiohttp.ClientConnectorError:
            return Told.REFUSED, "connection refused", False
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            name = type(error).__name__
            return (Told.UNKNOWN if key else Told.CUT_OFF), name, bool(key)
        told = Told.REFUSED if document.get("ran") == "not_run" else Told.UNKNOWN
        return told, document.get("kind", ""), True

    async def _async_hosts(self) -> list[str]:
        """Return hosts to try, from the cached answer or a new one."""
        if time.monotonic() >= self.cached_until:
            await self._async_look_up()
        return self.hosts[:HOSTS_TRIED_MAX]

    async def _async_look_up(self) -> None:
        """Ask the hosts known from before, then any, for a new answer."""
        fleet = self.callers.fleet
        own = [
            daemon.identity.address
            for name, daemon in fleet.daemons.items()
            if fleet.places[name].region == self.region
        ]
        others = [one.identity.address for one in fleet.daemons.values()]
        self.turn += 1
        turned = own[self.turn % len(own) :] + own[: self.turn % len(own)]
        for host in [*turned, *others]:
            if await self._async_ask(host):
                return

    async def _async_ask(self, host: str) -> bool:
        """Ask one host; tell whether it gave an answer."""
        address = CALLER_ADDRESSES[self.region]
        url = f"http://{host}/v1/hosts?service=booking&address={address}"
        try:
            async with self.callers.session.get(url, timeout=LOOKUP_TIMEOUT) as answer:
                if answer.status != 200:
                    return False
                document = await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        hosts = [one["address"] for one in document["hosts"]]
        if not hosts:
            return False
        self.hosts = hosts
        self.cached_until = time.monotonic() + document["ttl_seconds"]
        return True
