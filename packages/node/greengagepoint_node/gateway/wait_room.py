"""Hold requests on this host until a server may be available."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Final

from greengagepoint.admission.waiting import Waiting, WaitQueue
from greengagepoint.protocols import Clock
from greengagepoint.routing.tables import Route, RouteTable
from greengagepoint_node.gateway.view import FleetView

CHECK_SECONDS: Final = 0.025
# Each try scans the servers of a region.
TRIES_PER_CHECK: Final = 4


class WaitEnd(StrEnum):
    """Why a request leaves the queue."""

    TRY_AGAIN = "try_again"
    SERVED = "served"
    EXPIRED = "expired"
    DISPLACED = "displaced"
    ROUTE_REMOVED = "route_removed"
    HOST_LEAVING = "host_leaving"
    CANCELLED = "cancelled"
    UNAVAILABLE = "unavailable"


class WaitRoom:
    """Run the queue of waiting requests on the event loop."""

    def __init__(self, view: FleetView, clock: Clock) -> None:
        self.view = view
        self.clock = clock
        self.queue = WaitQueue()
        self.turns: dict[Waiting, asyncio.Future[WaitEnd]] = {}
        self.routes: dict[Waiting, Route] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.checked_table: RouteTable | None = None
        self.is_closed = False

    async def async_wait(self, row: Waiting, route: Route) -> WaitEnd:
        """Wait until a request should try again or its wait ends."""
        if self.is_closed:
            return WaitEnd.HOST_LEAVING
        displaced = self.queue.add(row)
        if displaced is row:
            return WaitEnd.DISPLACED
        if displaced is not None:
            self._end(displaced, WaitEnd.DISPLACED)
        turn = asyncio.get_running_loop().create_future()
        self.turns[row] = turn
        self.routes[row] = route
        self._schedule()
        try:
            return await turn
        finally:
            self.queue.remove(row)
            del self.turns[row], self.routes[row]

    def notice_response(self, service: str) -> None:
        """Let the most urgent request of a service try again."""
        if not self.queue.rows:
            return
        row = self.queue.pop_first(service)
        if row is not None:
            self._end(row, WaitEnd.TRY_AGAIN)

    def end_where(
        self, is_over: Callable[[Waiting, Route], bool], end: WaitEnd
    ) -> None:
        """End the waits of some requests for one reason."""
        for row in list(self.queue.rows):
            if is_over(row, self.routes[row]):
                self.queue.remove(row)
                self._end(row, end)

    def close(self) -> None:
        """End all waits and start no more."""
        self.is_closed = True
        self.end_where(lambda row, route: True, WaitEnd.HOST_LEAVING)

    def _schedule(self) -> None:
        """Schedule the next check, no later than the first wait ends."""
        if self.timer is not None or not self.queue.rows:
            return
        first = min(row.until for row in self.queue.rows) - self.clock.monotonic()
        seconds = min(CHECK_SECONDS, max(0.0, first))
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(seconds, self._check)

    def _check(self) -> None:
        """End the waits that are over, and let the next requests try again."""
        self.timer = None
        for row in self.queue.pop_expired(self.clock.monotonic()):
            self._end(row, WaitEnd.EXPIRED)
        self._end_removed_routes()
        for row in self.queue.pop_next(TRIES_PER_CHECK):
            self._end(row, WaitEnd.TRY_AGAIN)
        self._schedule()

    def _end_removed_routes(self) -> None:
        """End the waits of routes that a new configuration lacks."""
        table = self.view.routes
        if table is None or table is self.checked_table:
            return
        self.checked_table = table
        for row in list(self.queue.rows):
            if not has_route(table, self.routes[row], row.service):
                self.queue.remove(row)
                self._end(row, WaitEnd.ROUTE_REMOVED)

    def _end(self, row: Waiting, end: WaitEnd) -> None:
        """Resume the task of a request that left the queue."""
        turn = self.turns[row]
        if not turn.done():
            turn.set_result(end)


def has_route(table: RouteTable, route: Route, service: str) -> bool:
    """Return True if a route still leads to a service in a configuration."""
    for host in table.hosts.values():
        found = host.prefixes.get(route.prefix)
        if found is None or found.name != route.name:
            continue
        if any(row.service == service for row in found.destinations):
            return True
    return False
