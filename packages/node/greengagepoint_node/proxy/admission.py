"""Admission of requests: team limits, concurrency limit, queue and retry budget."""

import asyncio
import itertools
from collections.abc import Callable
from math import ceil
from typing import Final

from greengagepoint.configuration import Configuration
from greengagepoint.errors import ErrorKind, RequestError
from greengagepoint.overload import admission, retries, team_limits
from greengagepoint.overload.retries import LatencyQuantile, RetryBudget
from greengagepoint.overload.tables import (
    Pool,
    Queued,
    Rejected,
    Released,
    Ticket,
    create_pool,
)
from greengagepoint.overload.team_limits import TeamLimits
from greengagepoint.protocols import Clock, Random
from greengagepoint_node.proxy.call import Call

LIMIT_MIN: Final = 8
RETRY_AFTER_MAX_SECONDS: Final = 60


class Gate:
    """Admission to one service: its pool, retry budget and latencies."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.budget = RetryBudget()
        self.latencies = LatencyQuantile()

    def spend(self) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        return retries.withdraw(self.budget)

    def may_hedge(self, elapsed: float, *, repeatable: bool) -> bool:
        """Tell whether a second copy may be sent, and take it from the budget."""
        return retries.may_hedge(
            self.pool, self.budget, self.latencies, elapsed, repeatable=repeatable
        )

    def hedge_wait_seconds(self) -> float | None:
        """Return after how long a second copy is worth sending."""
        return retries.hedge_wait_seconds(self.latencies)


class RequestAdmission:
    """Let requests in, keep them waiting for a bounded time, or refuse them at once."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        serving_hosts: Callable[[], int],
        clock: Clock,
        random: Random,
    ) -> None:
        self.configuration = configuration
        self.serving_hosts = serving_hosts
        self.clock = clock
        self.random = random
        self.gates: dict[str, Gate] = {}
        self.teams = TeamLimits()
        self.numbers = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[None]] = {}

    async def async_admit(self, call: Call) -> Gate:
        """Return when the request may go on, or raise RequestError."""
        now = self.clock.monotonic()
        self._check_team(call, now)
        gate = self._gate(call.service.name)
        ticket = self._ticket(call, now)
        decision = admission.offer(gate.pool, ticket, now, self.random)
        if isinstance(decision, Rejected):
            raise _refusal(decision)
        call.ticket = ticket
        if isinstance(decision, Queued):
            await self._async_wait(gate, ticket)
        retries.deposit(gate.budget)
        return gate

    def ended(self, call: Call, latency_seconds: float | None, *, failed: bool) -> None:
        """Free the request's place and let the next ones in."""
        if call.ticket is None:
            return
        gate = self._gate(call.service.name)
        now = self.clock.monotonic()
        if latency_seconds is not None:
            retries.record_latency(gate.latencies, latency_seconds)
        released = admission.finish(
            gate.pool, call.ticket, latency_seconds, now, self.random, ok=not failed
        )
        call.ticket = None
        self._release(released)

    def tick(self, now: float) -> None:
        """Give up waiting requests that can no longer finish in time."""
        for gate in self.gates.values():
            self._release(admission.expire(gate.pool, now, self.random))

    def _check_team(self, call: Call, now: float) -> None:
        """Hold the team to this host's part of its rate."""
        team = self.configuration().teams[call.team]
        hosts = max(1, self.serving_hosts())
        wait = team_limits.take(
            self.teams,
            team.name,
            team.requests_per_second / hosts,
            max(1.0, team.burst / hosts),
            now,
        )
        if wait > 0:
            seconds = max(1, ceil(min(wait, RETRY_AFTER_MAX_SECONDS)))
            raise RequestError(
                f"The team {team.name} is over its rate",
                ErrorKind.TEAM_LIMIT,
                retry_after_seconds=seconds,
            )

    def _ticket(self, call: Call, now: float) -> Ticket:
        """Return the ticket with which a call waits."""
        team = self.configuration().teams[call.team]
        return Ticket(
            id=next(self.numbers),
            team=call.team,
            weight=team.weight,
            request_class=call.route.request_class,
            ends_at=call.ends_at,
            arrived_at=now,
        )

    async def _async_wait(self, gate: Gate, ticket: Ticket) -> None:
        """Wait until the pool lets the ticket in or gives it up."""
        future = asyncio.get_running_loop().create_future()
        self.waiting[ticket.id] = future
        try:
            await future
        except asyncio.CancelledError:
            now = self.clock.monotonic()
            self._release(admission.withdraw(gate.pool, ticket, now, self.random))
            raise
        finally:
            self.waiting.pop(ticket.id, None)

    def _release(self, released: Released) -> None:
        """Wake those who were let in or given up."""
        for ticket in released.admitted:
            future = self.waiting.get(ticket.id)
            if future is not None and not future.done():
                future.set_result(None)
        for refused in released.refused:
            future = self.waiting.get(refused.ticket.id)
            if future is not None and not future.done():
                future.set_exception(_refusal(refused.rejection))

    def _gate(self, service: str) -> Gate:
        """Return the admission of a service, made on first use."""
        gate = self.gates.get(service)
        if gate is None:
            slots = self._slots(service)
            start = max(LIMIT_MIN, slots // max(1, self.serving_hosts()))
            gate = Gate(create_pool(start, max(start, slots)))
            self.gates[service] = gate
        return gate

    def _slots(self, service: str) -> int:
        """Return how many requests all backend servers of a service run at once."""
        return sum(
            server.slots
            for site in self.configuration().sites.values()
            for server in site.backend_servers
            if server.service == service
        )


def _refusal(refused: Rejected) -> RequestError:
    """Return the error for a request that is given up."""
    return RequestError(
        refused.detail,
        refused.kind,
        retry_after_seconds=refused.retry_after_seconds,
    )
