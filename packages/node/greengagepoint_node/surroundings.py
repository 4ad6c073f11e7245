"""Open the daemon's sockets and the links to other hosts and to the platform."""

import random
import socket
from collections.abc import Callable
from typing import Final, NamedTuple

import aiohttp

from greengagepoint.errors import SettingError
from greengagepoint.hosts import HostIdentity
from greengagepoint.protocols import Clock, HostList, ListedHost
from greengagepoint.timeline.ring import EventRecorder
from greengagepoint_node.context import Context, EventSink
from greengagepoint_node.host_list import create_host_list
from greengagepoint_node.peers import PeerLinks
from greengagepoint_node.setting_checks import Address
from greengagepoint_node.settings import Settings
from greengagepoint_node.store import create_store
from greengagepoint_node.store_calls import StoreCalls

STORE_TIMEOUT_SECONDS: Final = 2.0
HOST_LIST_TIMEOUT_SECONDS: Final = 2.0


class Surroundings(NamedTuple):
    """What the coordinators stand on."""

    http_socket: socket.socket
    links: PeerLinks
    session: aiohttp.ClientSession
    host_list: HostList
    context: Context
    store_calls: StoreCalls

    async def async_close(self) -> None:
        """Close all links that this host has opened."""
        await self.links.async_stop()
        await self.session.close()


class EmptyHostList:
    """The host list of a host that runs alone."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Return no hosts."""
        return ()


async def async_open_surroundings(
    settings: Settings,
    clock: Clock,
    recorder: EventRecorder,
    events: EventSink,
    peer_address: Callable[[str], str | None],
) -> Surroundings:
    """Bind both sockets, then make the links; ports are known from then on.

    Raise SettingError when an address can't be listened on.
    """
    http_socket = _bind(settings.listen_address)
    incarnation = clock.wall_milliseconds()
    links = PeerLinks(
        host=settings.host,
        incarnation=incarnation,
        listen_address=str(settings.peer_listen_address),
        key=settings.peer_key.data if settings.peer_key else b"",
        address_of=peer_address,
        events=events,
        clock_now=recorder.stamp,
        clock_seen=recorder.observe,
    )
    await links.async_start()
    identity = HostIdentity(
        settings.host,
        incarnation,
        settings.region,
        settings.zone,
        str(settings.advertised_address or _address_of(http_socket)),
        str(settings.advertised_peer_address or links.bound_address),
    )
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0), trust_env=False
    )
    store = create_store(
        settings.store,
        session,
        timeout_seconds=STORE_TIMEOUT_SECONDS,
        prefix=settings.store_prefix,
    )
    context = Context(identity, clock, random.Random(), store, links, events)
    host_list = _create_host_list(settings, session)
    return Surroundings(http_socket, links, session, host_list, context, store.calls)


def _create_host_list(settings: Settings, session: aiohttp.ClientSession) -> HostList:
    """Return the platform's host list, or an empty one where there is none."""
    if settings.host_list is None:
        return EmptyHostList()
    return create_host_list(
        settings.host_list, session, timeout_seconds=HOST_LIST_TIMEOUT_SECONDS
    )


def _bind(address: Address) -> socket.socket:
    """Return a listening socket for an address setting."""
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    try:
        return socket.create_server((address.ip, address.port), family=family)
    except OSError as error:
        raise SettingError(
            f"callers cannot be listened for on {address}: {error.strerror}"
        ) from error


def _address_of(bound: socket.socket) -> str:
    """Return host:port of a bound socket."""
    host, port = bound.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
