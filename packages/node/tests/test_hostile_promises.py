"""The promises to callers while faults mix, through real sockets."""

import asyncio
import hashlib
import random
import socket
from collections import Counter
from typing import NamedTuple

import aiohttp
import msgspec
import pytest
from deployment import Deployment, async_deployment, async_until
from hostile import held

from greengagepoint_node.daemon import Daemon
from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.packs import digest_of
from greengagepoint_standins.server import Down

ROUNDS = 10
BURST = 24
PACK_BYTES = 300_000
BACKEND_FAULTS = (
    "next_shed",
    "next_reset_before_run",
    "next_reset_after_run",
    "next_truncate",
    "next_hang",
    "next_garbage",
)
STORE_FAULTS = (
    *[{}] * 4,
    {"lose_replies": 3},
    {"slow_ms": 60.0},
    {"down": Down.HANG},
    {"down": Down.REFUSE},
    {"garbage_answers": 2},
)


class Told(NamedTuple):
    """What one caller was told; ``ran`` is empty where nothing whole came."""

    request_id: str
    key: str
    ran: str
    status: int = 0


class Callers:
    """Send random requests and check each answer by itself."""

    def __init__(
        self, deployment: Deployment, seed: int, *, leaving: bool = False
    ) -> None:
        self.deployment = deployment
        self.random = random.Random(seed)
        self.leaving = leaving
        self.told: list[Told] = []
        self.sent = 0
        self.number = 0

    async def async_burst(self, daemons: list[Daemon]) -> None:
        """Send one burst; several requests share each key."""
        self.number += 1
        tasks = [
            self.async_send(self.random.choice(daemons), number % (BURST // 3))
            for number in range(BURST)
        ]
        await asyncio.gather(*tasks)

    async def async_send(self, daemon: Daemon, shared: int) -> None:
        """Send one request of a random sort and note what its caller was told."""
        self.sent += 1
        request_id = f"id-{self.sent}"
        method, path, key = "GET", "/bays", ""
        body = None
        sort = self.random.random()
        if sort < 0.6:
            method, path, key = "POST", "/reservations", f"k{self.number}-{shared}"
            body = b"x" * (100_000 if shared % 4 == 0 else shared)
        elif sort < 0.7:
            method, path = "PUT", "/tickets"
        elif sort < 0.85:
            path = "/archive/may"
        patience = self.random.choice([5.0, 5.0, 0.01, 0.03]) if self.leaving else 5.0
        headers = {
            "Greengagepoint-Request-Id": request_id,
            "Greengagepoint-Deadline-Ms": "800",
            "Greengagepoint-Team": "drivers",
        }
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://{daemon.identity.address}/s/booking{path}"
        try:
            async with (
                asyncio.timeout(patience),
                self.deployment.session.request(
                    method, url, headers=headers, data=body
                ) as answer,
            ):
                content = await answer.read()
        except (TimeoutError, aiohttp.ClientError):
            self.told.append(Told(request_id, key, ""))
            return
        ran = answer.headers.get("Greengagepoint-Ran", "")
        self.told.append(Told(request_id, key, ran, answer.status))
        assert answer.headers["Greengagepoint-Request-Id"] == request_id
        if answer.status == 200:
            self.check(answer, content, request_id, key)

    def check(
        self, answer: aiohttp.ClientResponse, content: bytes, request_id: str, key: str
    ) -> None:
        """Check that a whole answer is the caller's own."""
        if answer.url.path.endswith("/archive/may"):
            digest = hashlib.sha256(content).hexdigest()
            assert digest == digest_of("/archive/may", PACK_BYTES)
            return
        echoed = msgspec.json.decode(content)
        if answer.headers.get("Greengagepoint-Key") != "replayed":
            assert echoed["request_id"] == request_id
        assert echoed["idempotency_key"] == key


def runs(deployment: Deployment, kind: str) -> Counter[str]:
    """Add up what really ran on all backend servers, by key or by request."""
    total: Counter[str] = Counter()
    for backend in deployment.backends.values():
        total += getattr(backend.log, kind)
    return total


def check_promises(callers: Callers) -> None:
    """Compare all that callers were told with what really ran."""
    by_key = runs(callers.deployment, "by_key")
    by_request = runs(callers.deployment, "by_request")
    doubled = {key: count for key, count in by_key.items() if count > 1}
    assert not doubled
    untrue = [
        t for t in callers.told if t.ran == "not_run" and by_request[t.request_id]
    ]
    assert not untrue
    lost = [t for t in callers.told if t.status == 200 and t.key and not by_key[t.key]]
    assert not lost


def break_something(deployment: Deployment, random_: random.Random) -> None:
    """Give backend servers a few faults, and the store one or none."""
    for backend in deployment.backends.values():
        for fault in random_.sample(BACKEND_FAULTS, 2):
            setattr(backend.control, fault, random_.randrange(4))
    faults = random_.choice(STORE_FAULTS)
    control = deployment.store.control
    deployment.store.set_down(faults.get("down", Down.NO))
    control.lose_replies = faults.get("lose_replies", 0)
    control.slow_ms = faults.get("slow_ms", 0.0)
    control.garbage_answers = faults.get("garbage_answers", 0)


def mend_all(deployment: Deployment) -> None:
    for backend in deployment.backends.values():
        for fault in BACKEND_FAULTS:
            setattr(backend.control, fault, 0)
    deployment.store.set_down(Down.NO)
    deployment.store.control.slow_ms = 0.0
    deployment.store.control.lose_replies = 0
    deployment.store.control.garbage_answers = 0


def quick() -> BackendControl:
    return BackendControl(service_ms={"/": 4.0}, pack_bytes=PACK_BYTES)


def check_usage(callers: Callers, *, leaving: bool) -> None:
    """Compare what the team was charged for with what its callers saw.

    A caller that went away may be counted either way, or was gone before it came.
    """
    rows = [
        counter
        for daemon in callers.deployment.daemons.values()
        for counter in daemon.usage.tables.counters.values()
    ]
    charged = {
        "answered": sum(row.answered for row in rows),
        "failed": sum(row.failed for row in rows),
        "not_run": sum(row.not_run for row in rows),
    }
    whole = [told for told in callers.told if told.status]
    seen = {
        "answered": sum(told.ran == "" for told in whole),
        "failed": sum(told.ran not in ("", "not_run") for told in whole),
        "not_run": sum(told.ran == "not_run" for told in whole),
    }
    if leaving:
        assert all(charged[name] >= seen[name] for name in seen)
        assert sum(charged.values()) <= callers.sent
        return
    seen["failed"] += callers.sent - len(whole)
    assert charged == seen


@pytest.mark.parametrize(("seed", "leaving"), [(7, True), (8, False)])
async def test_promises_hold_while_faults_mix(seed: int, leaving: bool) -> None:
    """Drivers send payments with shared keys, reads and packs through four hosts.

    Backend servers shed, reset, hang and cut answers off, the store is slow, silent,
    down or loses replies, and callers go away at any moment. Whatever each is told
    is true: no key ran twice, nothing told "not run" ran, every whole answer is the
    caller's own; in the end no place is held and the team is charged for all.
    """
    async with async_deployment(hosts_a_region=2, control=quick) as deployment:
        callers = Callers(deployment, seed, leaving=leaving)
        daemons = list(deployment.daemons.values())
        for _ in range(ROUNDS):
            break_something(deployment, callers.random)
            await callers.async_burst(daemons)
        mend_all(deployment)
        await async_until(lambda: not held(deployment))
        check_promises(callers)
        check_usage(callers, leaving=leaving)
        assert any(told.ran == "not_run" for told in callers.told)
        assert sum(told.status == 200 for told in callers.told) > BURST


def hold_port(address: str) -> socket.socket:
    """Bind a port without listening, so that connecting to it is refused."""
    host, port = address.rsplit(":", 1)
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, int(port)))
    return held


async def test_a_stop_amid_faults_twice_keeps_the_promises() -> None:
    """A host is stopped while the store hangs and servers reset; then once more.

    What is in flight on it ends with whatever happened to it, what comes later is
    refused or finds another host, and no key runs twice. The same host comes back as
    a new incarnation under load, and the second time it dies without a goodbye.
    """
    async with async_deployment(hosts_a_region=2, control=quick) as deployment:
        callers = Callers(deployment, seed=9, leaving=True)
        for stop in ("async_stop", "async_abort"):
            daemons = list(deployment.daemons.values())
            deployment.store.set_down(Down.HANG)
            for backend in deployment.backends.values():
                backend.control.next_reset_after_run = 3
            bursts = [callers.async_burst(daemons) for _ in range(2)]
            stopping = getattr(deployment.daemons["attiki-host-0"], stop)()
            stopped = deployment.daemons["attiki-host-0"]
            await asyncio.gather(*bursts, stopping)
            # Callers that still know the old address must not meet another process
            # to which the kernel has given its port meanwhile.
            held_port = hold_port(stopped.identity.address)
            mend_all(deployment)
            again = await deployment.async_add_daemon("attiki-host-0", "attiki")
            await callers.async_burst(daemons)
            await async_until(
                lambda: deployment.daemons["attiki-host-0"].state == "serving"
            )
            await callers.async_burst([again, *daemons])
            held_port.close()
        await async_until(lambda: not held(deployment))
        check_promises(callers)


async def test_an_unknown_end_tells_that_only_memory_holds_the_key() -> None:
    """The store is down, the service's record lets keys be held in memory only.

    A payment runs and its answer is lost. A repeat through another host would run it
    again, so the caller who is told "unknown" is also told why that is so.
    """
    async with async_deployment(
        control=quick, service={"store_outage": "memory_only"}
    ) as deployment:
        deployment.store.set_down(Down.REFUSE)
        for backend in deployment.backends.values():
            backend.control.next_reset_after_run = 1
        answer = await deployment.async_request(
            deployment.daemons["attiki-host-0"],
            "/s/booking/reservations",
            method="POST",
            headers={"Idempotency-Key": "k"},
        )
        assert (answer.status, answer.headers["Greengagepoint-Ran"]) == (502, "unknown")
        assert answer.headers.get("Greengagepoint-Key") == "memory-only"
        mend_all(deployment)
