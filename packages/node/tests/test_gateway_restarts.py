"""What callers get while a backend server starts again under its id.

The newer run has the id, and mostly the address, of the older one. Connections that are
kept to the older one, what is in flight there and how that ends must not harm callers
whose requests go to the newer one; and what may have run there must not run again.
"""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment

from greengagepoint_node.gateway.facts import Changes, ServerEntry, StoredItem
from greengagepoint_standins.users_platform.backend import Manner


def enter(world, backend, born):
    """Take in a server's entry as the store would tell it."""
    view = world.daemon.view
    entry = ServerEntry(
        backend.instance, "booking", backend.address, "zone-a", 4, False, 0.0, born
    )
    world.daemon.store.store.facts[backend.instance] = entry
    item = StoredItem(backend.instance, b"", view.revision + 1)
    view.apply(Changes((item,), item.revision), world.daemon.clock.monotonic())


def newest(world):
    return world.daemon.view.servers.servers["i-0"]


@pytest.mark.parametrize("same_address", [True, False])
@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
async def test_nothing_goes_to_the_newer_run_on_the_older_ones_connections(
    path, method, same_address
):
    # A server starts again. Its host keeps connections to the older run, which stay
    # open and on which nobody answers. A caller whose request went out on one would
    # wait in vain, and it could not be sent again, as it may have run.
    async with async_environment(servers=1) as world:
        older = world.backends[0]
        enter(world, older, 100)
        for _ in range(3):
            assert (await world.async_call(path, method))[0] == 200
        older.manner = Manner.SILENT
        newer = await older.async_start_again(same_address=same_address)
        world.backends.append(newer)
        enter(world, newer, 200)
        for _ in range(3):
            assert (await world.async_call(path, method))[0] == 200
        assert (len(older.received), len(newer.ran)) == (3, 3)


@pytest.mark.parametrize(
    ("path", "method", "status", "ran"),
    [("/safe/1", "GET", 200, [1, 1]), ("/unsafe/1", "POST", 502, [1, 0])],
)
async def test_what_was_in_flight_at_the_older_run_may_have_run(
    path, method, status, ran
):
    # A request runs at a server that crashes and starts again at once. Only what may
    # run twice is sent to the newer run, though that one has run nothing. The broken
    # connection is not held against it: the next caller is served by it.
    async with async_environment(servers=1) as world:
        older = world.backends[0]
        enter(world, older, 100)
        older.seconds = 5.0
        call = asyncio.create_task(world.async_call(path, method))
        await async_until(lambda: older.ran)
        older.seconds = 0.0
        newer = await older.async_start_again()
        await older.async_crash()
        world.backends.append(newer)
        enter(world, newer, 200)
        assert (await call)[0] == status
        assert [len(older.ran), len(newer.ran)] == ran
        row = newest(world)
        assert (row.in_flight, row.failures, row.suspect_until) == (0, 0, 0.0)
        assert (await world.async_call("/unsafe/2", "POST"))[0] == 200
        assert newer.ran[-1].target == "/unsafe/2"


async def test_an_answer_of_the_older_run_says_nothing_of_the_newer():
    # A server is restarted by operators: the older run still answers what it has. Its
    # caller gets that answer; the load that it tells of is not the newer run's, which
    # would look busy.
    async with async_environment(servers=1) as world:
        older = world.backends[0]
        enter(world, older, 100)
        older.seconds = 0.3
        call = asyncio.create_task(world.async_call("/unsafe/1", "POST"))
        await async_until(lambda: older.ran)
        held = newest(world)
        newer = await older.async_start_again(same_address=False)
        world.backends.append(newer)
        enter(world, newer, 200)
        assert newest(world).in_flight == 0
        assert (await call)[0] == 200
        assert newest(world).reported_at == float("-inf")
        assert newest(world).answered_at == float("-inf")
        assert held.in_flight == 0


async def test_the_newer_run_gets_its_id_and_nothing_else_as_target():
    async with async_environment(servers=1) as world:
        enter(world, world.backends[0], 1_765_000_000_000)
        assert (await world.async_call("/safe/1"))[0] == 200
        (request,) = world.backends[0].ran
        assert request.headers["x-greengagepoint-target-instance"] == "i-0"
