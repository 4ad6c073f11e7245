"""Check requests that are being sent to a server while it leaves."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import async_environment

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint_node.gateway.gossip_messages import decode, encode
from greengagepoint_node.gateway.store_types import (
    Changes,
    Evacuation,
    RemovedKey,
    StoredItem,
)

ZONE = "zone-a"


def apply_changes(env, *changes):
    view = env.daemon.view
    view.apply(Changes(changes, changes[-1].revision), env.clock.monotonic())


def drain(env, instance):
    facts = env.daemon.store.store.facts
    facts[instance] = facts[instance]._replace(leaving=True)
    apply_changes(env, StoredItem(instance, b"", 9))


def remove(env, instance):
    apply_changes(env, RemovedKey(instance, 9))


def evacuate_zone(env, instance):
    env.daemon.store.store.facts["evacuated"] = Evacuation(ZONE)
    apply_changes(env, StoredItem("evacuated", b"", 9))


def restart(env, instance):
    facts = env.daemon.store.store.facts
    facts[instance] = facts[instance]._replace(address="127.0.0.1:9", born=9)
    apply_changes(env, StoredItem(instance, b"", 9))


def replace_at_address(env, instance):
    row = env.daemon.view.servers.servers[instance]
    env.daemon.view.record_replacement(row.incarnation)


async def async_choose(env, path, method):
    """Start a request; yield the server chosen for it, then the response."""
    with env.blocked_connections() as waiting:
        call = asyncio.create_task(env.async_call(path, method))
        await waiting.wait()
        rows = env.daemon.view.servers.servers.values()
        (chosen,) = [row.instance for row in rows if row.in_flight]
        yield chosen
    yield await call


@pytest.mark.parametrize(
    ("path", "method"), [("/safe/1", "GET"), ("/unsafe/1", "POST")]
)
@pytest.mark.parametrize("remove_server", [drain, remove, restart, replace_at_address])
async def test_a_server_that_leaves_while_connecting_gets_nothing(
    remove_server, path, method
):
    # On a saturated link, connecting takes half a second. A host that learns meanwhile
    # that the server leaves must not send: the request would arrive 3.2 s after the
    # server announced it and be cut off by its exit. Of 981 logged sends of a loaded
    # day, 99 went to a server that the host knew to be leaving.
    async with async_environment(attempts_max=1) as env:
        steps = async_choose(env, path, method)
        chosen = await anext(steps)
        remove_server(env, chosen)
        status, _, _ = await anext(steps)
        (other,) = [row for row in env.backends if row.instance != chosen]
        assert (status, len(other.ran), env.ran()) == (200, 1, 1)
        assert env.events.of(Event.REQUEST_RETRIED)[0]["outcome"] == "left"


@pytest.mark.parametrize(("servers", "remove_server"), [(1, drain), (2, evacuate_zone)])
async def test_a_request_is_rejected_at_once_when_its_last_server_leaves(
    servers, remove_server
):
    # The last servers leave while the connection for a payment is opened. The caller
    # must learn that nothing ran and when to retry.
    async with async_environment(servers=servers) as env:
        steps = async_choose(env, "/unsafe/1", "POST")
        remove_server(env, await anext(steps))
        status, _, headers = await anext(steps)
        assert (status, "Retry-After" in headers, env.ran()) == (503, True, 0)


async def test_unsent_attempts_use_no_retry_budget():
    # Hundreds of requests wait for connections while a zone is evacuated. If each used
    # a retry of the shared budget to go to another server, none would be left for
    # requests whose answers are lost.
    async with async_environment(attempts_max=1) as env:
        steps = async_choose(env, "/safe/1", "GET")
        drain(env, await anext(steps))
        assert (await anext(steps))[0] == 200
        assert not env.daemon.retries.services["booking"].retry_counts


CONNECTIONS = 4


async def async_connect(env, seconds):
    """Open connections that take some seconds each by the host's clock."""
    with env.blocked_connections():
        calls = [
            asyncio.create_task(env.async_call("/safe/1")) for _ in range(CONNECTIONS)
        ]
        await async_until(lambda: env.daemon.gateway.in_flight == CONNECTIONS)
        await asyncio.sleep(0)
        env.clock.ahead += seconds
    await asyncio.gather(*calls)


def set_view_age(env, seconds):
    gossip = env.daemon.gossip
    gossip.ages.store_at = env.clock.monotonic() - seconds
    gossip.ages.peers_at = float("-inf")


def receive_peer_message(env, age, *, full_link=False):
    """Apply a gossip message of a peer whose view has the given age in seconds."""
    gossip = env.daemon.gossip
    message = decode(gossip.encode_exchange(gossip.view.revision))
    message.age = age
    message.full_link = full_link
    gossip.apply_exchange(encode(message))


@pytest.mark.parametrize(
    ("connect_seconds", "news_age", "peer", "status"),
    [
        (0.5, 2.8, {}, 503),
        (0.5, 1.0, {}, 200),
        (0.01, 2.8, {}, 200),
        (0.5, 8.5, {"age": 8.0}, 200),
        (0.5, 2.8, {"age": 2.9}, 200),
        (0.5, 2.8, {"age": 1.0}, 200),
        (0.5, 2.8, {"age": 2.9, "full_link": True}, 503),
    ],
    ids=[
        "full link",
        "fresh news",
        "quick link",
        "store away",
        "store just away",
        "told by a peer",
        "peer no better off",
    ],
)
async def test_a_host_on_a_saturated_link_does_not_send_with_an_outdated_view(
    connect_seconds, news_age, peer, status
):
    # On a saturated link, connecting takes half a second and no update has arrived for
    # 2.8 s. A server that left meanwhile would get a payment 3.3 s after announcing it,
    # past the 3 s that it accepts requests, and cut it off by its exit. So the caller
    # must retry at another host. A store outage that peers confirm, or a partition from
    # all peers, does not mean a saturated link: requests are served on.
    async with async_environment(drain_seconds=3.0) as env:
        await env.async_stop_updates()
        await async_connect(env, connect_seconds)
        set_view_age(env, news_age)
        if peer:
            receive_peer_message(env, **peer)
        ran = env.ran()
        found, _, headers = await env.async_call("/unsafe/1", "POST")
        assert (found, env.ran() - ran) == (status, status == 200)
        if status == 503:
            assert float(headers["Retry-After"]) > 0
            (row,) = env.events.of(Event.REQUEST_REFUSED)
            assert (row["kind"], row["news_age"]) == (ErrorKind.NOT_READY, news_age)


async def test_the_age_of_the_view_is_checked_again_after_connecting():
    # The server of a payment is chosen in time. Connecting takes half a second more on
    # a saturated link, and the view is too old when the first byte could be sent.
    async with async_environment(drain_seconds=3.0) as env:
        await env.async_stop_updates()
        await async_connect(env, 0.3)
        set_view_age(env, 2.5)
        ran = env.ran()
        for server in env.daemon.view.servers.servers.values():
            # Connections are not shared between incarnations of a server.
            server.incarnation = server.incarnation._replace(born=7)
        steps = async_choose(env, "/unsafe/1", "POST")
        await anext(steps)
        env.clock.ahead += 0.5
        status, _, headers = await anext(steps)
        assert (status, "Retry-After" in headers, env.ran()) == (503, True, ran)
