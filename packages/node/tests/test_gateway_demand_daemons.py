"""Regional demand between a few real daemons on loopback."""

import contextlib

import msgspec
from deployment import async_until
from gateway_world import async_environment, create_daemon, create_facts, routes

from greengagepoint.events import Event

ROWS = [msgspec.structs.replace(row, rank=rank) for rank, row in enumerate(routes())]
PLACES = {"h2": ("north", "zone-a"), "h3": ("south", "zone-b")}


@contextlib.asynccontextmanager
async def async_fleet():
    """Run two hosts in the north and one in the south; yield the first and the rest."""
    async with (
        async_environment(rows=ROWS) as world,
        contextlib.AsyncExitStack() as stack,
    ):
        facts = create_facts(world.backends, ROWS)
        seeds = (world.daemon.settings.peer_address,)
        others = {}
        for host, (region, zone) in PLACES.items():
            daemon = create_daemon(
                facts, host=host, region=region, zone=zone, seeds=seeds
            )
            await daemon.async_start()
            stack.push_async_callback(async_close, daemon)
            others[host] = daemon
        yield world, others


async def async_close(daemon):
    for task in daemon.tasks:
        task.cancel()
    for listener in daemon.listeners:
        await listener.async_close(0.02)
    for part in (daemon.sessions, daemon.gossip.session, daemon.reports.session):
        await (part.async_close() if part is daemon.sessions else part.close())
    await daemon.quotas.session.close()


def rate(daemon, region):
    """Return the rate of a region that a host knows, None without a recent figure."""
    table = daemon.demand.table
    figure = table.recent_figure((region, "booking"), daemon.clock.monotonic())
    return figure and figure[0]


async def test_the_demand_of_a_region_reaches_another_one_until_it_is_cut_off():
    # The south has to know of callers in the north, and must not act for long on the
    # demand of a region that it no longer hears.
    async with async_fleet() as (world, others):
        south = others["h3"]
        await async_until(lambda: world.daemon.demand.is_on)
        for number in range(30):
            await world.async_call(f"/upload/{number}", "POST", data=b"x")
        await async_until(lambda: rate(south, "north"))
        await async_until(lambda: rate(others["h2"], "north"))
        for daemon in (world.daemon, others["h2"]):
            daemon.demand.table.clear()
            daemon.demand.tick = lambda host_count, now: None
        await async_until(lambda: rate(south, "north") is None)
        assert not south.events.of(Event.DEMAND_FIGURE_INVALID)
        status, _, _ = await world.async_call("/upload/last", "POST", data=b"x")
        assert status == 200
