"""The placement of keys by real gateways on loopback."""

import contextlib

import aiohttp
from deployment import async_until
from gateway_world import create_daemon, create_facts, free_address, routes

from greengagepoint_node.gateway.key_placement import KEY_USAGE_PATH
from greengagepoint_platform.names import HEADERS
from greengagepoint_standins.users_platform.backend import PlatformBackend

SERVERS = 4
KEYS = 60


@contextlib.asynccontextmanager
async def async_hosts(count):
    """Run gateways of one region that know each other, and the mode is on."""
    backends = [PlatformBackend(f"i-{number}") for number in range(SERVERS)]
    for backend in backends:
        await backend.async_start()
    rows = routes(affinity=True)
    peers = [free_address() for _ in range(count)]
    daemons = [
        create_daemon(
            create_facts(backends, rows),
            host=f"h{number}",
            peer_address=address,
            seeds=tuple(peers),
        )
        for number, address in enumerate(peers)
    ]
    for daemon in daemons:
        daemon.view.servers.demand.uneven_servers = True
        await daemon.async_start()
    try:
        await async_until(
            lambda: all(
                daemon.is_ready() and daemon.gauges().hosts_alive == count
                for daemon in daemons
            )
        )
        yield daemons
    finally:
        for daemon in daemons:
            await async_end(daemon)
        for backend in backends:
            await backend.async_stop()


async def async_end(daemon):
    """End a gateway without a graceful stop."""
    for task in daemon.tasks:
        task.cancel()
    for listener in daemon.listeners:
        await listener.async_close(0.02)
    await daemon.sessions.async_close()
    await daemon.gossip.session.close()
    await daemon.reports.session.close()
    await daemon.quotas.session.close()


async def async_call_keys(daemons, keys=KEYS):
    """Request each key once, at the hosts in turn."""
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session:
        for number in range(keys):
            daemon = daemons[number % len(daemons)]
            headers = {
                "Host": "a.example",
                HEADERS.request_id: f"id-{number}",
                "Cookie": f"{HEADERS.affinity_cookie}=key-{number}",
            }
            url = f"http://{daemon.settings.front_address}/safe/1"
            async with session.get(url, headers=headers) as answer:
                assert answer.status == 200


def applied(daemon):
    """Return the weights of the own region that a gateway applies."""
    return daemon.key_placement.applied.of_region("north")


def home_counts(daemon):
    """Return the number of keys of each server at a gateway."""
    servers, ranks = daemon.view.servers, daemon.placer.ranks
    homes = [
        ranks.rank(servers, "booking", "north", f"/safe/\0key-{number}")[0].instance
        for number in range(KEYS)
    ]
    return sorted(homes.count(f"i-{number}") for number in range(SERVERS))


def spread(daemon):
    """Return the difference between the most and the fewest keys of a server."""
    counts = home_counts(daemon)
    return counts[-1] - counts[0]


async def test_hosts_apply_the_weights_of_one_coordinator():
    async with async_hosts(3) as daemons:
        before = spread(daemons[0])
        figures = [daemon.counters.key_placement for daemon in daemons]
        await async_call_keys(daemons)
        await async_until(lambda: sum(one["runs",] for one in figures) == KEYS)
        await async_until(
            lambda: (
                len({(applied(d).coordinator, applied(d).version) for d in daemons})
                == 1
                and spread(daemons[0]) < before
            )
        )
        (coordinator,) = (d for d in daemons if d.key_placement.is_coordinator)
        assert {applied(d).coordinator for d in daemons} == {coordinator.settings.host}
        assert coordinator.gauges().keys_known == KEYS
        assert all(one["weights_applied",] for one in figures)
        assert coordinator.counters.key_placement["keys_moved",] > 0
        counts = [home_counts(daemon) for daemon in daemons]
        assert counts[0] == counts[1] == counts[2]


async def test_with_the_mode_off_nothing_is_sent_or_counted():
    async with async_hosts(2) as daemons:
        for daemon in daemons:
            daemon.view.servers.demand.uneven_servers = False
        sent = [d.gossip.bytes["key usage", "sent"] for d in daemons]
        await async_call_keys(daemons, 10)
        for daemon in daemons:
            await daemon.key_placement.async_balance()
            daemon.key_placement.start_reports()
            assert not daemon.key_placement.tasks
            assert not daemon.placer.key_usage.regions
            assert not daemon.view.servers.key_weights_version
        assert [d.gossip.bytes["key usage", "sent"] for d in daemons] == sent


async def test_a_malformed_report_is_rejected():
    async with async_hosts(1) as daemons, aiohttp.ClientSession() as session:
        url = f"http://{daemons[0].settings.peer_address}{KEY_USAGE_PATH}"
        for body in (b"", b"\xc1", b"\x93\x01\x02\x03"):
            async with session.post(url, data=body) as answer:
                assert answer.status == 400


async def test_the_others_follow_the_next_host_after_their_coordinator_ended():
    # The coordinator is killed under load; its weights stay until the next one answers.
    async with async_hosts(3) as daemons:
        await async_call_keys(daemons)
        await async_until(lambda: all(applied(daemon).version for daemon in daemons))
        first = next(d for d in daemons if d.key_placement.is_coordinator)
        others = [daemon for daemon in daemons if daemon is not first]
        await async_end(first)
        await async_call_keys(others)
        assert all(daemon.view.servers.key_weights for daemon in others)
        await async_until(
            lambda: (
                {applied(daemon).coordinator for daemon in others}
                <= {daemon.settings.host for daemon in others}
            )
        )
        assert len({applied(daemon).coordinator for daemon in others}) == 1
