"""Requests while a backend server restarts with the same id.

The new incarnation has the id, and mostly the address, of the old one. Idle connections
and requests in flight at the old one, and their outcome, must not affect requests to
the new one. Requests that may have run at the old one must not run again.
"""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment

from greengagepoint_node.gateway.store_types import Changes, ServerEntry, StoredItem
from greengagepoint_standins.users_platform.backend import Manner


def apply_server_entry(world, backend, born):
    """Apply a server's entry as if it came from the store."""
    view = world.daemon.view
    entry = ServerEntry(
        backend.instance, "booking", backend.address, "zone-a", 4, False, 0.0, born
    )
    world.daemon.store.store.facts[backend.instance] = entry
    item = StoredItem(backend.instance, b"", view.revision + 1)
    view.apply(Changes((item,), item.revision), world.daemon.clock.monotonic())


def newest_server(world):
    return world.daemon.view.servers.servers["i-0"]


@pytest.mark.parametrize("same_address", [True, False])
@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
async def test_the_new_incarnation_gets_no_requests_on_old_connections(
    path, method, same_address
):
    # A server restarts. The host still has open connections to the old incarnation, on
    # which no response arrives. A request sent on one would get no answer and could not
    # be retried, since it may have run.
    async with async_environment(servers=1) as world:
        old_backend = world.backends[0]
        apply_server_entry(world, old_backend, 100)
        for _ in range(3):
            assert (await world.async_call(path, method))[0] == 200
        old_backend.manner = Manner.SILENT
        new_backend = await old_backend.async_start_again(same_address=same_address)
        world.backends.append(new_backend)
        apply_server_entry(world, new_backend, 200)
        for _ in range(3):
            assert (await world.async_call(path, method))[0] == 200
        assert (len(old_backend.received), len(new_backend.ran)) == (3, 3)


@pytest.mark.parametrize(
    ("path", "method", "status", "ran"),
    [("/safe/1", "GET", 200, [1, 1]), ("/unsafe/1", "POST", 502, [1, 0])],
)
async def test_requests_in_flight_at_the_old_incarnation_may_have_run(
    path, method, status, ran
):
    # A server crashes with a request in flight and restarts at once. Only a request
    # that may run twice is retried at the new incarnation, although that one has run
    # nothing. The broken connection does not count as a failure of the new incarnation,
    # so it serves the next caller.
    async with async_environment(servers=1) as world:
        old_backend = world.backends[0]
        apply_server_entry(world, old_backend, 100)
        old_backend.seconds = 5.0
        call = asyncio.create_task(world.async_call(path, method))
        await async_until(lambda: old_backend.ran)
        old_backend.seconds = 0.0
        new_backend = await old_backend.async_start_again()
        await old_backend.async_crash()
        world.backends.append(new_backend)
        apply_server_entry(world, new_backend, 200)
        assert (await call)[0] == status
        assert [len(old_backend.ran), len(new_backend.ran)] == ran
        row = newest_server(world)
        assert (row.in_flight, row.failures, row.suspect_until) == (0, 0, 0.0)
        assert (await world.async_call("/unsafe/2", "POST"))[0] == 200
        assert new_backend.ran[-1].target == "/unsafe/2"


async def test_an_answer_of_the_old_incarnation_does_not_count_for_the_new_one():
    # Operators restart a server: the old incarnation still answers the requests that it
    # has. The caller gets that answer, but the load that it reports must not count for
    # the new incarnation, which would look busy.
    async with async_environment(servers=1) as world:
        old_backend = world.backends[0]
        apply_server_entry(world, old_backend, 100)
        old_backend.seconds = 0.3
        call = asyncio.create_task(world.async_call("/unsafe/1", "POST"))
        await async_until(lambda: old_backend.ran)
        old_server = newest_server(world)
        new_backend = await old_backend.async_start_again(same_address=False)
        world.backends.append(new_backend)
        apply_server_entry(world, new_backend, 200)
        assert newest_server(world).in_flight == 0
        assert (await call)[0] == 200
        assert newest_server(world).reported_at == float("-inf")
        assert newest_server(world).answered_at == float("-inf")
        assert old_server.in_flight == 0


async def test_the_new_incarnation_gets_only_its_id_as_target():
    async with async_environment(servers=1) as world:
        apply_server_entry(world, world.backends[0], 1_765_000_000_000)
        assert (await world.async_call("/safe/1"))[0] == 200
        (request,) = world.backends[0].ran
        assert request.headers["x-greengagepoint-target-instance"] == "i-0"
