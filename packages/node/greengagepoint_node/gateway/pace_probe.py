"""Find out, before callers arrive, whether backend servers report their pace."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

import aiohttp
from yarl import URL

from greengagepoint.events import Event
from greengagepoint.placing.tables import Server
from greengagepoint.protocols import Clock
from greengagepoint.routing.tables import ServicePolicy
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.names import HeaderNames
from greengagepoint_node.gateway.placing import Placer
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_node.proxy.sessions import (
    BackendSessions,
    SendOnce,
    close_connection,
)

CHECK_SECONDS: Final = 0.5
# A host that has just started knows no peers and takes itself for the first of its
# region. Membership takes two seconds to spread; callers come later.
STARTUP_SECONDS: Final = 2.0
# A server that does not answer is probably starting; it is replaced within seconds.
PROBE_INTERVAL_SECONDS: Final = 5.0
PROBE_SECONDS: Final = 1.0
# Later services wait for the next round, so a large configuration causes no burst.
PROBES_MAX: Final = 16
STATUS_OK: Final = 200


class PaceProbe:
    """Ask one server of each service for its load until one has answered.

    Only the host for which ``is_prober`` returns True asks, and only with the demand
    mode off.
    """

    def __init__(
        self,
        names: HeaderNames,
        region: str,
        view: FleetView,
        sessions: BackendSessions,
        placer: Placer,
        is_prober: Callable[[], bool],
        clock: Clock,
        events: EventSink,
    ) -> None:
        self.names = names
        self.region = region
        self.view = view
        self.sessions = sessions
        self.placer = placer
        self.is_prober = is_prober
        self.clock = clock
        self.events = events
        self.answered: set[str] = set()
        self.failed: set[str] = set()
        self.probed_at: dict[str, float] = {}
        self.rounds = 0
        self.started_at = clock.monotonic()

    async def async_run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self.async_probe_due()
            await asyncio.sleep(CHECK_SECONDS)

    async def async_probe_due(self) -> None:
        """Probe a server of each service that is due."""
        if self.view.servers.demand.is_on or not self.is_prober():
            return
        now = self.clock.monotonic()
        if now - self.started_at < STARTUP_SECONDS:
            return
        self.rounds += 1
        targets = []
        for policy in self._due_services(now):
            server = self._choose_server(policy.name, now)
            if server is not None:
                self.probed_at[policy.name] = now
                targets.append((server, policy.health_path))
        await asyncio.gather(*(self._async_probe(*target) for target in targets))

    def _due_services(self, now: float) -> list[ServicePolicy]:
        """Return the services without an answer that were not probed recently."""
        routes = self.view.routes
        if routes is None:
            return []
        self.answered &= routes.services.keys()
        oldest = now - PROBE_INTERVAL_SECONDS
        due = [
            policy
            for policy in routes.services.values()
            if policy.health_path
            and policy.name not in self.answered
            and self.probed_at.get(policy.name, oldest) <= oldest
        ]
        return due[:PROBES_MAX]

    def _choose_server(self, service: str, now: float) -> Server | None:
        """Return a server to probe, of this region if it has any, or None."""
        for server in self._members(service):
            if server.suspect_until > now or server.is_resting(now):
                continue
            # A probe counts as a request to a server that has just started.
            if server.is_unrestricted(now) or self.placer.may_send(server, now):
                return server
        return None

    def _members(self, service: str) -> Sequence[Server]:
        """Return the servers of a service, beginning with another one each round."""
        table = self.view.servers
        regions = (self.region, *table.regions_of(service))
        for region in regions:
            servers = table.find(service, region).servers
            if servers:
                first = self.rounds % len(servers)
                return (*servers[first:], *servers[:first])
        return ()

    async def _async_probe(self, server: Server, path: str) -> None:
        """Ask one server for its load; a failure is logged once for a service."""
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                text = await self._async_get(server, path)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            self._record_failure(server, type(error).__name__)
            return
        now = self.clock.monotonic()
        report = self.placer.load_reader.read(server, text)
        if report is None:
            self._record_failure(server, "no valid load report")
            return
        self.answered.add(server.service)
        # A load without a pace would change estimates with the demand mode off.
        if report.pace is not None and self.view.servers.is_newest(server):
            self.placer.apply_report(server, report, "probe", now)

    async def _async_get(self, server: Server, path: str) -> str | None:
        """Return the load header of a server's health path, None if it has none."""
        url = URL.build(
            scheme="http", authority=server.address, path=path, encoded=True
        )
        sender = SendOnce(lambda: True, server.incarnation)
        async with self.sessions.session.get(
            url,
            headers={self.names.target_instance: server.instance},
            allow_redirects=False,
            middlewares=(sender,),
        ) as answer:
            if answer.headers.get(self.names.request_id):
                # A probe has no id. Its own answer may still come on this connection,
                # and would be read as the answer to the next request.
                close_connection(answer, sender.used)
                raise ValueError("the answer names a request")
            other = answer.headers.get(self.names.instance, server.instance)
            if answer.status != STATUS_OK or other != server.instance:
                raise ValueError(f"status {answer.status} of instance {other}")
            return answer.headers.get(self.names.load)

    def _record_failure(self, server: Server, detail: str) -> None:
        """Log that a probe of a service failed, once."""
        if server.service in self.failed:
            return
        self.failed.add(server.service)
        self.events.record(
            Event.PACE_PROBE_FAILED,
            service=server.service,
            instance=server.instance,
            detail=detail,
        )
