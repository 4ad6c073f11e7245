"""Requests end to end: daemons and stand-ins on real sockets in one event loop."""

import asyncio
import hashlib

import pytest
from deployment import (
    OPERATOR_KEY,
    Deployment,
    async_deployment,
    async_until,
    document,
)

from greengagepoint.usage.tables import UsageOutcome
from greengagepoint_standins.backend_control import BackendControl

PACK_BYTES = 3_000_000


@pytest.fixture
async def two_hosts():
    async with async_deployment(
        control=lambda: BackendControl(pack_bytes=PACK_BYTES)
    ) as deployment:
        yield deployment


def count_executions(deployment: Deployment, key: str) -> int:
    return sum(stand_in.log.by_key[key] for stand_in in deployment.backends.values())


async def test_each_host_answers_a_safe_request(two_hosts) -> None:
    for daemon in two_hosts.daemons.values():
        headers = {"Greengagepoint-Request-Id": f"id-{daemon.identity.name}"}
        answer = await two_hosts.async_request(
            daemon, "/s/booking/bays?near=1", headers=headers
        )
        assert answer.status == 200
        assert answer.headers["Greengagepoint-Request-Id"] == headers.popitem()[1]
        assert answer.headers["Greengagepoint-Host"] == daemon.identity.name


async def test_a_lookup_returns_all_hosts(two_hosts) -> None:
    daemon = next(iter(two_hosts.daemons.values()))
    answer = await two_hosts.async_request(daemon, "/v1/hosts?service=booking")
    document = await answer.json()
    assert {host["name"] for host in document["hosts"]} == set(two_hosts.daemons)


async def test_a_large_answer_is_forwarded_unchanged(two_hosts) -> None:
    daemon = next(iter(two_hosts.daemons.values()))
    answer = await two_hosts.async_request(daemon, "/s/booking/archive/may")
    body = await answer.read()
    assert len(body) == PACK_BYTES
    digest = hashlib.sha256(body).digest().hex()
    direct = f"http://{next(iter(two_hosts.backends.values())).address}/archive/may"
    async with two_hosts.session.get(direct) as original:
        assert hashlib.sha256(await original.read()).digest().hex() == digest


async def test_requests_with_the_same_key_run_once(two_hosts) -> None:
    """A caller sends a request with an idempotency key and repeats it.

    The first request claims the key in the store and runs. A repeat on the same host
    gets the stored answer; a repeat on another host is rejected because the key is in
    use. The request never runs twice.
    """
    first, second = two_hosts.daemons.values()
    post = {"method": "POST", "data": b"bay 7", "headers": {"Idempotency-Key": "k1"}}
    answers = [
        await two_hosts.async_request(daemon, "/s/booking/reservations", **post)
        for daemon in (first, first, second)
    ]
    assert [answer.status for answer in answers] == [200, 200, 409]
    assert answers[1].headers["Greengagepoint-Key"] == "replayed"
    assert await answers[0].read() == await answers[1].read()
    assert (await answers[2].json())["kind"] == "key_in_use"
    assert count_executions(two_hosts, "k1") == 1


async def test_a_shed_request_runs_once_on_another_server(two_hosts) -> None:
    """A backend server sheds a request before running it, and reports that.

    Since the request is known not to have run, the host sends it to another server.
    The caller gets one answer, and the request has run once.
    """
    for backend in two_hosts.backends.values():
        if backend.server.name == "attiki-0":
            backend.control.next_shed = 1
    daemon = two_hosts.daemons["attiki-host-0"]
    for number in range(4):
        key = f"shed-{number}"
        answer = await two_hosts.async_request(
            daemon,
            "/s/booking/reservations",
            method="POST",
            headers={"Idempotency-Key": key},
        )
        assert answer.status == 200
        assert count_executions(two_hosts, key) == 1


async def test_a_request_that_is_reset_after_it_ran_is_not_retried(two_hosts) -> None:
    """A backend server runs a request, and its connection breaks before the answer.

    The host can't determine whether the request ran, so it doesn't retry it: the caller
    gets "unknown", and a repeat with the same key is rejected instead of run.
    """
    for backend in two_hosts.backends.values():
        backend.control.next_reset_after_run = 1
    daemon = two_hosts.daemons["attiki-host-0"]
    post = {"method": "POST", "headers": {"Idempotency-Key": "k2"}}
    answer = await two_hosts.async_request(daemon, "/s/booking/reservations", **post)
    assert (answer.status, (await answer.json())["ran"]) == (502, "unknown")
    again = await two_hosts.async_request(daemon, "/s/booking/reservations", **post)
    assert again.status == 409
    assert count_executions(two_hosts, "k2") == 1


async def test_usage_is_counted_for_the_team(two_hosts) -> None:
    daemon = two_hosts.daemons["attiki-host-0"]
    for _ in range(3):
        await two_hosts.async_request(daemon, "/s/booking/bays")
    rows = await daemon.usage.async_report()
    assert [(row["team"], row["service"]) for row in rows] == [("drivers", "booking")]
    assert UsageOutcome.ANSWERED in str(rows)


async def test_a_planned_stop_completes_requests_in_flight(two_hosts) -> None:
    """An operator stops a host while a request is in flight on it.

    Look-ups stop returning the host at once. The host completes the request, waits
    until cached look-ups that contain it have expired, and only then closes. The
    caller gets a complete answer.
    """
    first, second = two_hosts.daemons.values()
    for backend in two_hosts.backends.values():
        backend.control.slow_factor = 20.0
    running = asyncio.ensure_future(two_hosts.async_request(first, "/s/booking/bays"))
    await async_until(lambda: first.pipeline.in_flight == 1)
    stopping = asyncio.ensure_future(first.async_stop())
    await async_until(lambda: len(second.membership.serving_hosts()) == 1)
    lookup = await two_hosts.async_request(second, "/v1/hosts?service=booking")
    names = [host["name"] for host in (await lookup.json())["hosts"]]
    assert names == [second.identity.name]
    answer = await running
    assert (answer.status, answer.headers["Connection"]) == (200, "close")
    await stopping
    assert first.state == "stopped"


async def test_lookups_omit_a_host_while_it_is_drained(two_hosts) -> None:
    """An operator drains a host with a record and later deletes the record.

    Look-ups on other hosts omit the host as soon as the record is applied, without a
    message from the host itself, which still serves the requests that it gets. After
    the record is deleted, look-ups return the host again.
    """
    first, second = two_hosts.daemons.values()

    async def async_lookup_hosts() -> set[str]:
        answer = await two_hosts.async_request(second, "/v1/hosts?service=booking")
        return {host["name"] for host in (await answer.json())["hosts"]}

    fields = {
        "target_kind": "host",
        "target": first.identity.name,
        "start_at": "2020-01-01T00:00:00+00:00",
    }
    await two_hosts.async_apply([document("drain", "leave", **fields)])
    await async_until(lambda: "leave" in second.config.configuration.drains)
    assert await async_lookup_hosts() == {second.identity.name}
    assert (await two_hosts.async_request(first, "/s/booking/bays")).status == 200
    await two_hosts.async_apply([{"kind": "drain", "name": "leave", "document": None}])
    await async_until(lambda: not second.config.configuration.drains)
    assert first.identity.name in await async_lookup_hosts()


async def test_pruning_usage_deletes_old_days_and_validates_the_day(two_hosts) -> None:
    daemon = two_hosts.daemons["attiki-host-0"]
    await two_hosts.async_request(daemon, "/s/booking/bays")
    assert await daemon.usage.async_write()
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    answers = []
    for day in ("2000-01-01", "9999-12-31", "soon"):
        path = f"/v1/usage/prune?before={day}"
        post = {"method": "POST", "headers": headers}
        answer = await two_hosts.async_request(daemon, path, **post)
        answers.append((answer.status, (await answer.json()).get("deleted")))
    assert answers == [(200, 0), (200, 1), (400, None)]
