"""Faults of backend servers and callers, through real sockets."""

import asyncio
import hashlib

import pytest
from deployment import WAIT_SECONDS, Deployment, async_deployment, async_until

from greengagepoint.events import Event
from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.packs import digest_of

PACK_BYTES = 2_000_000


@pytest.fixture
async def deployment():
    async with async_deployment(
        control=lambda: BackendControl(pack_bytes=PACK_BYTES)
    ) as running:
        yield running


def set_all(deployment: Deployment, **fields) -> None:
    for backend in deployment.backends.values():
        for name, value in fields.items():
            setattr(backend.control, name, value)


def recorded(deployment: Deployment, event: Event) -> int:
    return sum(
        one.event is event
        for daemon in deployment.daemons.values()
        for one in daemon.recorder.ring.select()
    )


async def test_a_broken_pack_goes_on_by_range(deployment) -> None:
    """An inspector downloads a drawing pack and the server resets half-way.

    The host asks another server for exactly the missing bytes of the same entity tag
    and goes on. The inspector sees one whole pack with the right digest.
    """
    set_all(deployment, next_truncate=1)
    daemon = deployment.daemons["attiki-host-0"]
    answer = await deployment.async_request(daemon, "/s/booking/archive/may")
    digest = hashlib.sha256(await answer.read()).hexdigest()
    assert digest == digest_of("/archive/may", PACK_BYTES)
    assert recorded(deployment, Event.DOWNLOAD_RESUMED) >= 1


async def test_a_pack_that_cannot_go_on_breaks_visibly(deployment) -> None:
    """The server resets half-way and serves no ranges.

    Bytes have reached the inspector, so no other answer can be given. The connection
    breaks before the announced length: the client knows that the pack isn't whole.
    """
    set_all(deployment, next_truncate=1, accept_ranges=False)
    daemon = deployment.daemons["attiki-host-0"]
    with pytest.raises(Exception, match="not enough data|payload|disconnected"):
        await deployment.async_request(daemon, "/s/booking/archive/may")


@pytest.mark.parametrize(
    ("fault", "method", "path", "status", "ran"),
    [
        ("next_reset_before_run", "GET", "/s/booking/bays", 200, None),
        ("next_reset_after_run", "GET", "/s/booking/bays", 200, None),
        ("next_garbage", "GET", "/s/booking/bays", 200, None),
        ("next_truncate", "GET", "/s/booking/bays", 200, None),
        ("next_shed", "GET", "/s/booking/bays", 200, None),
        ("next_shed", "POST", "/s/booking/reservations", 200, None),
        ("next_garbage", "POST", "/s/booking/reservations", 502, "unknown"),
        ("next_truncate", "POST", "/s/booking/reservations", 502, "unknown"),
        ("next_reset_before_run", "POST", "/s/booking/reservations", 502, "unknown"),
    ],
)
async def test_one_fault_of_a_backend_server(
    deployment, fault: str, method: str, path: str, status: int, ran: str | None
) -> None:
    """Both servers of the nearest site fail once; a read goes elsewhere unseen.

    A payment goes elsewhere only if the server said that it has not run; for all
    else the driver is told "unknown", and it never runs a second time.
    """
    for name in ("attiki-0", "attiki-1"):
        setattr(deployment.backends[name].control, fault, 1)
    daemon = deployment.daemons["attiki-host-0"]
    outcomes = []
    for number in range(6):
        answer = await deployment.async_request(
            daemon, path, method=method, headers={"Idempotency-Key": f"{number}"}
        )
        outcomes.append((answer.status, answer.headers.get("Greengagepoint-Ran")))
        runs = sum(one.log.by_key[f"{number}"] for one in deployment.backends.values())
        if method == "POST":
            assert runs <= 1
    failed = [outcome for outcome in outcomes if outcome[0] != 200]
    if status == 200:
        assert not failed
    else:
        assert set(failed) == {(status, ran)}


async def test_a_caller_that_goes_away_cancels_the_run(deployment) -> None:
    """A driver closes the app while the look-up runs.

    The host closes its connection to the server, which cancels the run, and the place
    of the request is free again.
    """
    set_all(deployment, slow_factor=100.0)
    daemon = deployment.daemons["attiki-host-0"]
    running = asyncio.ensure_future(deployment.async_request(daemon, "/s/booking/bays"))
    backends = deployment.backends.values()
    await async_until(lambda: any(one.log.runs for one in backends))
    running.cancel()
    await async_until(lambda: any(one.log.states["cancelled"] for one in backends))
    await async_until(lambda: daemon.pipeline.in_flight == 0)
    assert all(row.in_flight == 0 for row in daemon.backends.table.rows.values())
    sites = daemon.caps.table.sites.values()
    await async_until(lambda: all(site.in_flight == 0 for site in sites))


async def test_a_deadline_ends_a_hanging_request(deployment) -> None:
    """A server takes a payment and never answers.

    At the driver's own deadline the host gives up; whether it ran is unknown.
    """
    set_all(deployment, next_hang=1)
    answer = await deployment.async_request(
        deployment.daemons["attiki-host-0"],
        "/s/booking/reservations",
        method="POST",
        headers={"Idempotency-Key": "k", "Greengagepoint-Deadline-Ms": "300"},
    )
    assert answer.status == 504
    assert (await answer.json())["ran"] == "unknown"


async def test_a_site_that_sheds_everything_is_left_for_another(deployment) -> None:
    """All servers of the nearest site shed each request, and say so, for a while.

    The first reads are sent on within the retry budget. Then the host sends to the
    other site at once: without that the budget is soon used up, and callers are
    refused although another site has room.
    """
    for name in ("attiki-0", "attiki-1"):
        deployment.backends[name].control.next_shed = 10_000
    daemon = deployment.daemons["attiki-host-0"]
    statuses = [
        (await deployment.async_request(daemon, "/s/booking/bays")).status
        for _ in range(80)
    ]
    assert statuses.count(200) >= 75
    for name in ("attiki-0", "attiki-1"):
        deployment.backends[name].control.next_shed = 0
    nearest = [deployment.backends[name] for name in ("attiki-0", "attiki-1")]

    async def async_is_back() -> bool:
        await deployment.async_request(daemon, "/s/booking/bays")
        return any(one.log.runs for one in nearest)

    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            if await async_is_back():
                break
