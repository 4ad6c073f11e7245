"""Test the stand-in backend server over real sockets."""

import asyncio
import hashlib

import aiohttp
import pytest
import pytest_asyncio

from greengagepoint_standins import packs
from greengagepoint_standins.backend import async_start_backend
from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.runs import RunState
from greengagepoint_standins.server import Down

# Ends a test that would otherwise wait for ever; no test waits for it to pass.
GUARD_SECONDS = 60.0


@pytest_asyncio.fixture
async def backend():
    control = BackendControl(service_ms={"/": 0.0}, connection_ms=0.0, slots=1)
    stand_in = await async_start_backend(control=control)
    yield stand_in
    await stand_in.async_stop()


@pytest_asyncio.fixture
async def session():
    timeout = aiohttp.ClientTimeout(total=GUARD_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield session


async def async_until(backend, condition):
    await asyncio.wait_for(backend.server.slots.async_until(condition), GUARD_SECONDS)


def url(backend, path):
    return f"http://{backend.address}{path}"


async def test_answer_tells_what_was_received(backend, session):
    headers = {"Greengagepoint-Request-Id": "r1", "Idempotency-Key": "k1"}
    async with session.post(url(backend, "/pay"), data=b"x", headers=headers) as answer:
        body = await answer.json()
        assert answer.headers["Greengagepoint-Ran"] == "ran"
    assert (body["request_id"], body["received_bytes"]) == ("r1", 1)
    assert body["received_sha256"] == hashlib.sha256(b"x").hexdigest()
    assert (backend.log.by_key["k1"], backend.log.by_request["r1"]) == (1, 1)
    async with session.get(url(backend, "/control/runs?runs=1")) as answer:
        runs = (await answer.json())["runs"]
    assert [(run["key"], run["state"]) for run in runs] == [("k1", "finished")]


@pytest.mark.parametrize(
    ("range_header", "status", "start", "stop"),
    [
        (None, 200, 0, 200_000),
        ("bytes=70000-", 206, 70_000, 200_000),
        ("bytes=10-19", 206, 10, 20),
        ("bytes=200000-", 416, 0, 0),
    ],
)
async def test_pack_and_its_ranges(backend, session, range_header, status, start, stop):
    headers = {"Range": range_header} if range_header else {}
    path = "/pack/rack-7?bytes=200000"
    async with session.get(url(backend, path), headers=headers) as answer:
        body = await answer.read()
    assert answer.status == status
    block = packs.block_of("/pack/rack-7")
    assert body == (block * 4)[start:stop]
    if status == 200:
        digest = packs.digest_of("/pack/rack-7", 200_000)
        assert hashlib.sha256(body).hexdigest() == digest


async def test_changed_pack_is_not_resumed(backend, session):
    headers = {"Range": "bytes=10-", "If-Range": '"other"'}
    path = "/pack/rack-7?bytes=100"
    async with session.get(url(backend, path), headers=headers) as answer:
        assert (answer.status, len(await answer.read())) == (200, 100)


@pytest.mark.parametrize(
    ("setting", "headers", "runs"),
    [
        ({"next_shed": 1}, {}, 0),
        ({"service_ms": {"/": 50.0}}, {"Greengagepoint-Deadline-Ms": "49"}, 0),
        ({"queue_limit": 0}, {}, 1),
    ],
)
async def test_shed_request_has_not_run(backend, session, setting, headers, runs):
    """The server sheds: asked to, for the deadline, or because its queue is full.

    The answer says "not run" and the log shows that nothing ran.
    """
    blocked = None
    if "queue_limit" in setting:
        backend.control.next_hang = 1
        blocked = asyncio.ensure_future(session.get(url(backend, "/slow")))
        await backend.server.slots.async_until(
            lambda: backend.server.slots.in_flight == 1
        )
    for field, value in setting.items():
        setattr(backend.control, field, value)
    async with session.get(url(backend, "/"), headers=headers) as answer:
        assert answer.status == 503
        assert answer.headers["Greengagepoint-Ran"] == "not_run"
    assert backend.log.states[RunState.STARTED] == runs
    if blocked:
        blocked.cancel()


async def test_closed_connection_cancels_the_run_and_frees_the_slot(backend, session):
    """A caller goes away while its run holds the only slot and another one waits.

    The run is logged as cancelled and the waiting request is served.
    """
    backend.control.next_hang = 1
    gone = asyncio.ensure_future(session.get(url(backend, "/a")))
    await async_until(backend, lambda: backend.server.slots.in_flight == 1)
    waiting = asyncio.ensure_future(session.get(url(backend, "/b")))
    await async_until(backend, lambda: backend.server.slots.queued == 1)
    gone.cancel()
    async with await asyncio.wait_for(waiting, GUARD_SECONDS) as answer:
        assert answer.status == 200
    assert backend.log.states[RunState.CANCELLED] == 1
    assert backend.server.slots.in_flight == 0


async def test_cancelled_while_queued_never_runs(backend, session):
    """A caller goes away while its request waits; it leaves the queue unrun."""
    backend.control.next_hang = 1
    first = asyncio.ensure_future(session.get(url(backend, "/a")))
    await async_until(backend, lambda: backend.server.slots.in_flight == 1)
    second = asyncio.ensure_future(session.get(url(backend, "/b")))
    await async_until(backend, lambda: backend.server.slots.queued == 1)
    second.cancel()
    await async_until(backend, lambda: backend.server.slots.queued == 0)
    first.cancel()
    await async_until(backend, lambda: backend.server.slots.in_flight == 0)
    assert backend.log.states[RunState.STARTED] == 1


@pytest.mark.parametrize(
    ("setting", "path", "error", "runs"),
    [
        ({"down": Down.REFUSE}, "/", aiohttp.ClientError, 0),
        ({"next_reset_before_run": 1}, "/", aiohttp.ClientError, 0),
        ({"next_reset_after_run": 1}, "/", aiohttp.ClientError, 1),
        ({"next_truncate": 1}, "/", aiohttp.ClientPayloadError, 1),
        ({"next_truncate": 1}, "/pack/x", aiohttp.ClientPayloadError, 1),
        ({"next_garbage": 1}, "/", aiohttp.ClientResponseError, 1),
        ({"connections": 0}, "/", aiohttp.ClientError, 0),
    ],
)
async def test_faults_break_visibly(backend, session, setting, path, error, runs):
    """The server resets, truncates or sends garbage, before or after the run.

    The caller sees an error, never a whole answer, and the log tells if it ran.
    """
    for field, value in setting.items():
        setattr(backend.control, field, value)
    with pytest.raises(error):
        async with session.post(url(backend, path)) as answer:
            await answer.read()
    assert backend.log.states[RunState.STARTED] == runs


async def test_refused_port_opens_again(backend, session):
    await backend.async_refuse()
    with pytest.raises(aiohttp.ClientConnectorError):
        await session.get(url(backend, "/"))
    await backend.async_accept()
    async with session.get(url(backend, "/")) as answer:
        assert answer.status == 200


async def test_load_lags_and_lies(backend, session):
    now = 100.0
    backend.server.clock = lambda: now
    backend.control.load_factor = 0.0
    backend.control.load_lag_seconds = 5.0
    backend.server.slots.in_flight = 1
    backend.server.load.sample(now)
    now += 1
    backend.leave()
    async with session.get(url(backend, "/load")) as answer:
        assert await answer.json() == {
            "in_flight": 0,
            "slots": 1,
            "queued": 0,
            "leaving": False,
        }
    now += 5
    async with session.get(url(backend, "/load")) as answer:
        assert (await answer.json())["leaving"]


async def test_run_on_a_leaving_server_is_marked(backend, session):
    now = 100.0
    backend.server.clock = lambda: now
    backend.leave()
    now += 4
    async with session.get(url(backend, "/")):
        pass
    assert [run.leaving_seconds for run in backend.log.runs] == [4.0]


def test_cold_server_warms_with_each_run(backend):
    backend.control.service_ms = {"/": 10.0, "/slow": 100.0}
    backend.control.service_sigma = 0.0
    backend.control.cold_requests = 2
    backend.control.cold_factor = 3.0
    seconds = [backend.server.service_seconds("/") for _ in range(3)]
    assert seconds == pytest.approx([0.03, 0.02, 0.01])
    assert backend.server.service_seconds("/slow/1") == pytest.approx(0.1)


async def test_control_refuses_unknown_fields(backend, session):
    async with session.post(url(backend, "/control"), json={"slotz": 2}) as answer:
        assert answer.status == 400
    async with session.post(url(backend, "/control"), json={"slots": 2}) as answer:
        assert (await answer.json())["slots"] == 2


@pytest.mark.parametrize("body", ["garbage", "[]", '{"slots": "two"}'])
async def test_control_refuses_what_does_not_decode(backend, session, body):
    async with session.post(url(backend, "/control"), data=body) as answer:
        assert answer.status == 400
    assert backend.control.slots == 1
