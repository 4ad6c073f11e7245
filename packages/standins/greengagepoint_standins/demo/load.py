"""Callers: they look hosts up, cache the answer, and send a mixed load."""

import asyncio
import hashlib
import itertools
import random
import time
from collections import Counter
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from greengagepoint_standins.demo.deployments import Ask, Deployment
from greengagepoint_standins.packs import digest_of

LATENCY_MIN_US: Final = 1
LATENCY_MAX_US: Final = 120_000_000
DIGITS: Final = 3
# A look-up's answer names up to eight hosts; a caller may try each of them.
TRIES_MAX: Final = 8
LOOKUP_SECONDS: Final = 2.0
OK: Final = "ok"
BROKEN: Final = "broken connection"


class Sent(msgspec.Struct):
    """One request as its caller saw it end; times are monotonic seconds.

    ``outcome`` is that of the last try: an error kind, ``ok``, or a broken
    connection. Each try has an id of its own, ``request_id`` and its number;
    ``told_not_run`` are the ids of the tries that were told so.
    """

    request_id: str
    ask: str
    key: str
    started: float
    outcome: str = ""
    ran: str = ""
    ended: float = 0.0
    whole: bool = True
    own: bool = True
    hosts: tuple[str, ...] = ()
    told_not_run: tuple[str, ...] = ()

    @property
    def try_id(self) -> str:
        """Return the id of the try that is under way."""
        return f"{self.request_id}-{len(self.hosts)}"


class CachedHosts(NamedTuple):
    """A look-up's answer and until when it may be used."""

    hosts: list[dict[str, Any]]
    until: float


class Callers:
    """All callers of one region, who share cached look-ups by service."""

    def __init__(self, region: str, address: str, known: list[str], seed: int) -> None:
        self.region = region
        self.address = address
        self.known = known
        self.random = random.Random(seed)
        self.cache: dict[str, CachedHosts] = {}

    async def async_hosts(
        self, session: aiohttp.ClientSession, service: str
    ) -> list[dict[str, Any]]:
        """Return the entry hosts for a service, from the cache while it lasts."""
        cached = self.cache.get(service)
        now = time.monotonic()
        if cached is not None and now < cached.until:
            return cached.hosts
        hosts = await self._async_look_up(session, service)
        return hosts or (cached.hosts if cached else [])

    async def _async_look_up(
        self, session: aiohttp.ClientSession, service: str
    ) -> list[dict[str, Any]]:
        """Ask hosts that are known until one answers."""
        asked = list(self.known)
        self.random.shuffle(asked)
        timeout = aiohttp.ClientTimeout(total=LOOKUP_SECONDS)
        for address in asked[:TRIES_MAX]:
            url = f"http://{address}/v1/hosts"
            query = {"service": service, "address": self.address}
            try:
                async with session.get(url, params=query, timeout=timeout) as answer:
                    document = await answer.json()
                    if answer.status != 200:
                        continue
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
            hosts = document["hosts"]
            until = time.monotonic() + document["ttl_seconds"]
            self.cache[service] = CachedHosts(hosts, until)
            # Hosts may all be replaced over time, so the newest ones are remembered.
            names = [host["address"] for host in hosts]
            self.known = list(dict.fromkeys([*names, *self.known]))[:8]
            return hosts
        return []

    def order(self, hosts: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Return hosts by priority, shuffled by weight in each."""
        return sorted(
            hosts,
            key=lambda host: (
                host["priority"],
                -(self.random.random() ** (1 / host["weight"])),
            ),
        )


class Load:
    """An open loop of requests, and what became of each of them."""

    def __init__(self, deployment: Deployment, callers: list[Callers]) -> None:
        self.deployment = deployment
        self.callers = callers
        self.random = random.Random(7)
        self.numbers = itertools.count()
        self.sent: list[Sent] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.latencies: dict[tuple[str, str], HdrHistogram] = {}
        self.outcomes: Counter[tuple[str, str, str]] = Counter()
        self.stopped = False
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )

    async def async_run(self) -> None:
        """Send requests at random times until told to stop."""
        asks = self.deployment.asks
        shares = [ask.share for ask in asks]
        at = time.monotonic()
        while not self.stopped:
            at += self.random.expovariate(self.deployment.requests_per_second)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            ask = self.random.choices(asks, shares)[0]
            callers = self.random.choice(self.callers)
            task = asyncio.create_task(self._async_send(ask, callers))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def async_burst(self, ask: Ask, count: int, deadline_ms: int) -> None:
        """Send many requests of one kind at once, with little time each."""
        hurried = ask._replace(deadline_ms=deadline_ms)
        callers = itertools.cycle(self.callers)
        sending = [self._async_send(hurried, next(callers)) for _ in range(count)]
        await asyncio.gather(*sending)

    async def async_finish(self) -> None:
        """Stop sending and wait for what is under way."""
        self.stopped = True
        if self.tasks:
            await asyncio.gather(*list(self.tasks))

    async def _async_send(self, ask: Ask, callers: Callers) -> None:
        """Send one request; come back when told to, while there is time."""
        number = next(self.numbers)
        request_id = f"demo-{number}"
        key = f"key-{number}" if ask.once else ""
        sent = Sent(request_id, ask.name, key, time.monotonic())
        ends_at = sent.started + ask.deadline_ms / 1000
        for _ in range(TRIES_MAX):
            again = await self._async_try(ask, callers, sent, ends_at)
            if again is None or time.monotonic() + again >= ends_at:
                break
            await asyncio.sleep(again)
        sent.ended = time.monotonic()
        self._count(ask, sent)

    def _count(self, ask: Ask, sent: Sent) -> None:
        """Count the end of a request."""
        self.sent.append(sent)
        self.outcomes[ask.service, ask.name, sent.outcome] += 1
        if sent.outcome == OK:
            histogram = self.latencies.setdefault(
                (ask.service, ask.name),
                HdrHistogram(LATENCY_MIN_US, LATENCY_MAX_US, DIGITS),
            )
            histogram.record_value(int((sent.ended - sent.started) * 1e6))

    async def _async_try(
        self, ask: Ask, callers: Callers, sent: Sent, ends_at: float
    ) -> float | None:
        """Send once; return the seconds until another try, or None at the end."""
        hosts = callers.order(await callers.async_hosts(self.session, ask.service))
        fresh = [host for host in hosts if host["name"] not in sent.hosts] or hosts
        left = ends_at - time.monotonic()
        if not fresh or left <= 0:
            sent.outcome = sent.outcome or "no host known"
            return None
        host = fresh[0]
        sent.hosts = (*sent.hosts, host["name"])
        headers = {
            "Greengagepoint-Request-Id": sent.try_id,
            "Greengagepoint-Team": ask.team,
            "Greengagepoint-Deadline-Ms": str(int(left * 1000)),
        }
        if sent.key:
            headers["Idempotency-Key"] = sent.key
        url = f"http://{host['address']}/s/{ask.service}{ask.path}"
        url += f"?id={sent.request_id}"
        try:
            async with self.session.request(
                ask.method,
                url,
                headers=headers,
                data=sent.request_id.encode() if ask.once else None,
                timeout=aiohttp.ClientTimeout(total=left + 1),
            ) as answer:
                return await self._async_read(ask, sent, answer)
        except aiohttp.ClientConnectorError:
            sent.outcome, sent.ran = "connection refused", ""
            return 0.05
        except (aiohttp.ClientError, TimeoutError):
            sent.outcome, sent.ran = BROKEN, ""
            return None if ask.once else 0.05

    async def _async_read(
        self, ask: Ask, sent: Sent, answer: aiohttp.ClientResponse
    ) -> float | None:
        """Read an answer and check that it is whole and one's own."""
        if answer.status != 200:
            return await _async_read_problem(sent, answer)
        digest = hashlib.sha256()
        size = 0
        async for piece in answer.content.iter_any():
            digest.update(piece)
            size += len(piece)
            last = piece
        sent.outcome, sent.ran = OK, "ran"
        if ask.download_bytes:
            sent.whole = digest.hexdigest() == digest_of(ask.path, ask.download_bytes)
            sent.own = answer.headers["Greengagepoint-Request-Id"] == sent.try_id
            return None
        document = msgspec.json.decode(last)
        sent.own = document["request_id"] == sent.try_id
        sent.own = sent.own and document["path"].endswith(f"id={sent.request_id}")
        return None


async def _async_read_problem(
    sent: Sent, answer: aiohttp.ClientResponse
) -> float | None:
    """Read a refusal; return when to come back if it has not run."""
    try:
        problem = msgspec.json.decode(await answer.read())
    except msgspec.DecodeError:
        sent.outcome, sent.ran = f"status {answer.status}", "unknown"
        return None
    sent.outcome, sent.ran = problem["kind"], problem["ran"]
    if sent.ran == "not_run":
        sent.told_not_run = (*sent.told_not_run, sent.try_id)
    if sent.ran != "not_run" or "Retry-After" not in answer.headers:
        return None
    return max(0.05, float(answer.headers["Retry-After"]))
