"""Servers and callers for tests of what servers say about themselves."""

import contextlib
from collections.abc import AsyncIterator, Iterable

from greengagepoint_standins.relay import Relay
from greengagepoint_standins.users_platform.backend import PlatformBackend
from greengagepoint_standins.users_platform.crash_loop import ZONE_OF, Caller
from greengagepoint_standins.users_platform.daemons import Fleet


@contextlib.asynccontextmanager
async def async_linked_servers(
    fleet: Fleet, count: int, run_seconds: float
) -> AsyncIterator[list[Relay]]:
    """Run servers behind links of their own instead of the fleet's servers."""
    former, fleet.backends = fleet.backends, []
    links = []
    for number in range(count):
        backend = PlatformBackend(f"s-{number:02}", seconds=run_seconds)
        await backend.async_start()
        link = Relay(backend.address)
        await link.async_open()
        backend.address = link.address
        links.append(link)
        fleet.backends.append(backend)
        fleet.enter(backend, ZONE_OF[number % len(ZONE_OF)])
    for backend in former:
        fleet.store.items.remove(f"servers/{backend.instance}")
        await backend.async_stop()
    await fleet.async_until(fleet.async_all_know)
    try:
        yield links
    finally:
        for link in links:
            await link.async_cut()


def create_callers(fleet: Fleet, keys: int, per_second: float) -> list[Caller]:
    """Return callers that send so many requests a second together, each with a key."""
    return [
        Caller(
            fleet,
            fleet.nodes,
            lambda number: f"/bays/{number}",
            str(key),
            keys / per_second,
        )
        for key in range(keys)
    ]


def hosts_by_request(callers: Iterable[Caller]) -> dict[str, str]:
    """Return the host that each request was sent to."""
    return {row.request_id: row.host for caller in callers for row in caller.outcomes}
