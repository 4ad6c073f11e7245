"""Hosts that lose their links to all backend servers."""

import asyncio
import errno

import pytest
from aiohttp import web
from cut_links import CLOSED_PORT, Cut, LinkSocket, async_fleet
from cut_soak import async_play
from deployment import async_until
from gateway_world import NAMES
from msgspec.structs import replace

from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.reachability.probing import PROBE_TIMEOUT_SECONDS
from greengagepoint.reachability.tracker import Reach
from greengagepoint_node.gateway.names import (
    CALLER_ADDRESS,
    READS_RELAY_ORIGIN,
    RELAY_ORIGIN,
    RELAY_RESULT,
    RELAYED_BY,
)
from greengagepoint_node.gateway.refusals import Refusal
from greengagepoint_node.gateway.relay import DONE
from greengagepoint_standins.users_platform.backend import SIGNATURE, Manner

CUTS = [Cut.HANGS, Cut.RESETS, Cut.REFUSES_NEW, Cut.CLOSES]
PATHS = [("/safe/", "GET"), ("/unsafe/", "POST"), ("/pack/", "GET")]
CALLS = 24
# The time within which callers are to be served again after the cut began.
DETECTION_SECONDS = 3.0


async def async_call_all(host, first=0, count=CALLS):
    """Return the statuses of requests of all kinds, sent one after the other."""
    statuses = []
    for number in range(first, first + count):
        path, method = PATHS[number % len(PATHS)]
        status, _, _ = await host.async_call(f"{path}{number}", method)
        statuses.append(status)
    return statuses


async def async_keep_calling(host, seconds):
    """Send requests all the while, as callers do."""
    ends_at = asyncio.get_running_loop().time() + seconds
    calls = []
    while asyncio.get_running_loop().time() < ends_at:
        calls.append(asyncio.create_task(async_call_all(host, len(calls), 1)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)


@pytest.mark.parametrize("cut", CUTS)
async def test_callers_of_a_host_cut_off_from_all_servers_are_served(cut):
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        assert set(await async_call_all(host)) == {200}
        fleet.cut(cut, 0)
        if cut is Cut.REFUSES_NEW:
            fleet.close_kept()
        await async_keep_calling(host, DETECTION_SECONDS)
        assert set(await async_call_all(host)) == {200}


async def async_wait_for_cut(fleet, cut, *hosts):
    """Cut the links of hosts and wait until these hosts and their peers know."""
    fleet.cut(cut, *hosts)
    for index in hosts:
        await async_keep_calling_until(fleet.hosts[index], True)
    await async_until(
        lambda: all(
            host.daemon.gauges().hosts_cut_off == len(hosts) for host in fleet.hosts
        )
    )


async def async_keep_calling_until(host, cut_off):
    """Send requests until a host knows whether it is cut off."""
    number = 0
    while host.daemon.monitor.is_cut_off != cut_off:
        number += 1
        calls = [host.async_call(f"/safe/{number}-{row}") for row in range(4)]
        await asyncio.gather(*calls)


def relayed(host):
    """Return the numbers of requests that a host passed on and took on."""
    rows = host.daemon.counters.relayed
    return rows["sent", "answered"], rows["received", "done"]


@pytest.mark.parametrize("cut", CUTS)
async def test_relayed_requests_run_once_and_no_server_counts_as_crashed(cut):
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        await async_call_all(host)
        await async_wait_for_cut(fleet, cut, 0)
        before = fleet.runs()
        assert set(await async_call_all(host, 1000)) == {200}
        assert fleet.runs() - before == CALLS
        assert relayed(host)[0] >= CALLS
        # The peer of its own region takes them all.
        assert relayed(fleet.hosts[2]) == (0, 0)
        for row in fleet.hosts:
            assert not row.events.of(Event.BACKEND_SERVER_ENDED)


async def test_look_ups_leave_out_cut_off_hosts_until_they_reach_servers():
    async with async_fleet() as fleet:
        assert fleet.named(1) == [0, 1]
        await async_wait_for_cut(fleet, Cut.HANGS, 0)
        assert fleet.named(0) == fleet.named(1) == [1]
        fleet.cut(Cut.NONE, 0)
        await async_until(lambda: fleet.named(1) == [0, 1] == fleet.named(0))
        # Suspicions of servers ended with the cut, and so did the relaying.
        host = fleet.hosts[0]
        assert host.daemon.gauges().backend_servers_suspected == 0
        before = relayed(host)
        assert set(await async_call_all(host)) == {200}
        assert relayed(host) == before


async def test_a_cut_off_region_is_served_by_another_one():
    async with async_fleet() as fleet:
        await async_wait_for_cut(fleet, Cut.RESETS, 0, 1)
        assert fleet.named(0) == fleet.named(2) == [2]
        assert set(await async_call_all(fleet.hosts[0])) == {200}
        assert relayed(fleet.hosts[2])[1] >= CALLS


async def test_requests_are_rejected_at_once_if_no_host_reaches_a_server():
    async with async_fleet() as fleet:
        await async_wait_for_cut(fleet, Cut.HANGS, 0, 1, 2)
        host = fleet.hosts[0]
        status, _, headers = await host.async_call("/unsafe/1", "POST")
        assert (status, float(headers["Retry-After"]) < 0.5) == (503, True)
        row = host.events.of(Event.REQUEST_REFUSED)[-1]
        assert row["kind"] == ErrorKind.NO_BACKEND_SERVER
        assert row["seconds"] < PROBE_TIMEOUT_SECONDS
        # None is better than another, so look-ups name the hosts of the region.
        assert fleet.named(2) == [0, 1]


async def test_a_peer_that_can_not_serve_as_the_sender_does_is_passed_over():
    async with async_fleet() as fleet:
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        near = fleet.hosts[1]
        before = relayed(near)
        near.daemon.view.routes = replace(near.daemon.view.routes, version=0)
        assert set(await async_call_all(fleet.hosts[0])) == {200}
        assert relayed(near) == before
        rows = near.events.of(Event.RELAY_REJECTED)
        assert {row["reason"] for row in rows} == {"older configuration"}
        assert {row["peer"] for row in rows} == {"h0"}


@pytest.mark.parametrize(
    ("path", "method", "expected"),
    [("/safe/1", "GET", (200, 2)), ("/unsafe/1", "POST", (502, 1))],
    ids=["repeatable", "not repeatable"],
)
async def test_a_relayed_request_that_broke_is_only_repeated_if_it_may_be(
    path, method, expected
):
    async with async_fleet() as fleet:
        host, near = fleet.hosts[:2]
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        answer = near.daemon.gateway.async_answer_relayed
        before = fleet.runs()

        async def async_break(request):
            await answer(request)
            request.transport.abort()
            await asyncio.sleep(1)

        near.daemon.gateway.async_answer_relayed = async_break
        status, _, _ = await host.async_call(path, method)
        assert (status, fleet.runs() - before) == expected


@pytest.mark.parametrize(
    "headers",
    [
        {RELAY_RESULT: "unable", NAMES.request_id: "another"},
        {RELAY_RESULT: DONE, RELAY_ORIGIN: "rejected", NAMES.request_id: "another"},
        {RELAY_RESULT: DONE, RELAY_ORIGIN: "rejected"},
        {NAMES.request_id: "another"},
    ],
)
@pytest.mark.parametrize(
    ("path", "method", "expected"),
    [("/safe/1", "GET", (200, 2)), ("/unsafe/1", "POST", (502, 1))],
)
async def test_a_peer_s_word_on_another_request_is_not_taken_for_the_right_one(
    path, method, expected, headers
):
    """A request that ran at a peer would have been sent on to the next one."""
    async with async_fleet() as fleet:
        host, near = fleet.hosts[:2]
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        answer = near.daemon.gateway.async_answer_relayed
        before = fleet.runs()

        async def async_answer_another(request):
            await answer(request)
            status = 503 if RELAY_RESULT in headers else 404
            return web.Response(status=status, headers=headers)

        near.daemon.gateway.async_answer_relayed = async_answer_another
        status, _, _ = await host.async_call(path, method)
        assert (status, fleet.runs() - before) == expected


async def test_a_relayed_request_is_held_to_its_caller_not_to_the_relaying_host():
    async with async_fleet() as fleet:
        host, near = fleet.hosts[:2]
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        identities = []
        admit = near.daemon.gateway.quarantine.admit
        near.daemon.gateway.quarantine.admit = lambda identity, **row: (
            identities.append(identity) or admit(identity, **row)
        )
        forged = {CALLER_ADDRESS: "10.0.0.9", RELAYED_BY: "h9"}
        assert (await host.async_call("/safe/1", headers=forged))[0] == 200
        assert (await near.async_call("/safe/1", headers=forged))[0] == 200
        assert {row.address for row in identities} == {"127.0.0.1"}
        assert len({row.fingerprint for row in identities}) == 1
        sent = [row.headers for backend in fleet.backends for row in backend.ran]
        assert not any(CALLER_ADDRESS.lower() in headers for headers in sent)


async def test_a_peer_that_does_not_know_the_route_is_passed_over():
    async with async_fleet() as fleet:
        host, near = fleet.hosts[:2]
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        near.daemon.view.routes = replace(near.daemon.view.routes, version=2, hosts={})
        assert (await near.async_call("/safe/1"))[0] == 404
        assert (await host.async_call("/safe/1"))[0] == 200
        row = host.events.of(Event.REQUEST_RELAYED)[-1]
        assert (row["peer"], row["status"], row["outcome"]) == ("h1", 404, "shed")


async def test_callers_of_a_host_whose_links_flap_are_served():
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        statuses = []
        for turn in range(6):
            fleet.cut(Cut.RESETS if turn % 2 == 0 else Cut.NONE, 0)
            statuses += await async_call_all(host, turn * 100)
        # Requests that break at the start of a cut may have run.
        assert statuses.count(200) >= len(statuses) - 3 * 2


async def test_a_request_that_meets_only_unreachable_servers_goes_to_another_host():
    async with async_fleet(servers=4) as fleet:
        host = fleet.hosts[0]
        reached = fleet.backends[3].address
        connect = LinkSocket.connect

        def connect_to_one(sock, address):
            is_cut = (
                sock.link is fleet.links[0] and f"{address[0]}:{address[1]}" != reached
            )
            connect(sock, CLOSED_PORT if is_cut else address)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(LinkSocket, "connect", connect_to_one)
            choose = host.daemon.placer.place
            lost = [f"i-{number}" for number in range(3)]

            def place_on_lost(call, tried, now):
                rows = host.daemon.view.servers.servers
                return next(
                    (
                        rows[name]
                        for name in lost
                        if rows[name].incarnation not in tried
                    ),
                    choose(call, tried, now),
                )

            host.daemon.placer.place = place_on_lost
            assert (await host.async_call("/unsafe/1", "POST"))[0] == 200
        assert not host.daemon.monitor.is_cut_off
        assert relayed(host)[0] == 1


async def test_a_relayed_request_has_only_the_attempts_that_are_left():
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        for backend in fleet.backends:
            backend.manner = Manner.RESET
        before = fleet.runs()
        assert (await host.async_call("/safe/1"))[0] == 502
        # The route allows two servers, over all hosts.
        assert fleet.runs() - before <= 2


async def test_a_peer_that_rejects_does_not_speak_for_an_earlier_attempt():
    async with async_fleet(("north", "north", "north")) as fleet:
        host, *peers = fleet.hosts
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        answered = []

        def break_first_then_reject(peer):
            answer = peer.daemon.gateway.async_answer_relayed

            async def async_answer(request):
                answered.append(await answer(request))
                if len(answered) == 1:
                    request.transport.abort()
                    await asyncio.sleep(1)
                peer.daemon.gateway.rejecting = True
                rejected = await peer.daemon.gateway.async_answer(request, 0.0)
                rejected.headers[RELAY_RESULT] = DONE
                return rejected

            peer.daemon.gateway.async_answer_relayed = async_answer

        for peer in peers:
            break_first_then_reject(peer)
        before = fleet.runs()
        assert (await host.async_call("/safe/1"))[0] == 502
        assert fleet.runs() - before >= 1


async def test_a_host_without_free_descriptors_does_not_count_as_cut_off():
    async with async_fleet() as fleet:
        host = fleet.hosts[0]

        def fail(*kind):
            raise OSError(errno.EMFILE, "too many open files")

        host.daemon.create_backend_socket = fail
        host.daemon.monitor.note_doubt(host.daemon.clock.monotonic())
        await async_until(lambda: host.daemon.monitor.reach.state is Reach.REACHABLE)
        assert not host.events.of(Event.BACKEND_SERVERS_UNREACHABLE)


async def test_a_probe_that_connected_counts_although_its_timeout_came_first(
    monkeypatch,
):
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        loop = asyncio.get_running_loop()
        connect = loop.sock_connect

        async def async_connect_late(sock, address):
            await connect(sock, address)
            await asyncio.sleep(2 * PROBE_TIMEOUT_SECONDS)

        monkeypatch.setattr(loop, "sock_connect", async_connect_late)
        host.daemon.monitor.note_doubt(host.daemon.clock.monotonic())
        await host.daemon.monitor.async_probe()
        monkeypatch.undo()
        assert host.daemon.monitor.reach.state is Reach.REACHABLE
        assert not host.events.of(Event.BACKEND_SERVERS_UNREACHABLE)


@pytest.mark.parametrize(("path", "method"), PATHS)
async def test_a_request_that_waits_for_a_connection_is_passed_on(path, method):
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        fleet.cut(Cut.HANGS, 0)
        # The connection's timeout of 0.6 s would end the caller's time.
        assert (await host.async_call(f"{path}1", method, deadline_ms=800))[0] == 200
        assert fleet.runs() == 1


async def test_callers_are_served_and_nothing_runs_twice_during_random_cuts():
    assert await async_play(1) == []


async def test_a_relayed_request_that_was_not_sent_leaves_a_host_that_is_cut_off_too():
    """It waited for connections there until its time had ended."""
    async with async_fleet(("north", "north", "north"), timeout_seconds=2.0) as fleet:
        host = fleet.hosts[0]
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        fleet.cut(Cut.HANGS, 1)
        calls = [host.async_call(f"/unsafe/{number}", "POST") for number in range(12)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}


async def test_a_request_is_passed_on_until_a_host_takes_it():
    """Hosts that did not know of each other's cuts rejected what one could serve."""
    async with async_fleet(("north",) * 6) as fleet:
        host, *peers, last = fleet.hosts
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        for peer in peers:
            peer.daemon.monitor.reach.state = Reach.CUT_OFF
            peer.daemon.monitor.async_probe = asyncio.Event().wait
        calls = [host.async_call(f"/unsafe/{number}", "POST") for number in range(10)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}
        assert relayed(last)[1] == len(calls)


@pytest.mark.parametrize(("path", "method"), PATHS)
async def test_a_request_is_passed_on_by_a_host_whose_peer_lost_its_links_unnoticed(
    path, method
):
    """The peer's 503 ended the search, though a third host reached all servers."""
    async with async_fleet(("north", "north", "south")) as fleet:
        host, near, far = fleet.hosts
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        near.daemon.monitor.async_probe = asyncio.Event().wait
        near.daemon.monitor.async_resolve_doubt = lambda: asyncio.sleep(0)
        fleet.cut(Cut.RESETS, 1)
        calls = [host.async_call(f"{path}{number}", method) for number in range(6)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}
        assert relayed(far)[1] == len(calls)


@pytest.mark.parametrize(("path", "method"), PATHS)
async def test_a_host_whose_links_recover_serves_those_that_are_cut_off(path, method):
    """Until its links were steady, callers of all other hosts were rejected."""
    async with async_fleet() as fleet:
        host = fleet.hosts[0]
        await async_wait_for_cut(fleet, Cut.RESETS, 0, 1, 2)
        host.daemon.monitor.reach.steady_seconds = 60.0
        fleet.cut(Cut.NONE, 0)
        await async_until(
            lambda: all(
                row.daemon.gossip.table.peers_by_name["h0"].state.recovering
                for row in fleet.hosts[1:]
            )
        )
        for row in fleet.hosts:
            calls = [row.async_call(f"{path}{number}", method) for number in range(6)]
            assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}
        assert host.daemon.monitor.is_recovering


async def test_a_host_without_measurements_serves_a_burst():
    """What a peer passed on at its verdict was rejected for an assumed run time."""
    async with async_fleet(("north", "north")) as fleet:
        for backend in fleet.backends:
            backend.seconds = 0.15
        fleet.cut(Cut.RESETS, 0)
        fleet.hosts[0].daemon.monitor.reach.state = Reach.CUT_OFF
        servers = fleet.hosts[1].daemon.view.servers.servers
        await async_until(lambda: {row.senders for row in servers.values()} == {2})
        calls = [fleet.hosts[0].async_call(f"/safe/{number}") for number in range(45)]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}


def answer_plainly(fleet, status, *headers):
    """Let all servers answer with this status and no signature."""
    for backend in fleet.backends:
        backend.manner = Manner.PLAIN
        backend.plain_status = status
        backend.plain_headers = headers


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        ("404 Not Found", ()),
        ("401 Unauthorized", ()),
        ("503 Service Unavailable", ()),
        ("404 Not Found", (f"{RELAY_RESULT}: unable",)),
        ("500 Oops", (f"{RELAY_ORIGIN}: rejected", f"{RELAY_RESULT}: unable")),
    ],
)
@pytest.mark.parametrize(("path", "method"), PATHS)
async def test_a_relayed_request_that_a_server_has_answered_runs_once(
    status, headers, path, method
):
    """The server's answer was taken for the word of its host that it has not run."""
    async with async_fleet(("north", "north", "north")) as fleet:
        host = fleet.hosts[0]
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        answer_plainly(fleet, status, *headers)
        before = fleet.runs()
        found, _, received = await host.async_call(f"{path}1", method)
        # Callers would take a 503 for a guarantee that the request has not run.
        is_false_promise = status.startswith("503") and path == "/unsafe/"
        expected = 502 if is_false_promise else int(status[:3])
        assert (found, fleet.runs() - before) == (expected, 1)
        assert RELAY_RESULT not in received
        assert RELAY_ORIGIN not in received


@pytest.mark.parametrize(
    ("old", "path", "method", "status"),
    [
        ("sender", "/unsafe/", "POST", 502),
        ("peers", "/unsafe/", "POST", 502),
        ("sender", "/safe/", "GET", 502),
    ],
)
async def test_hosts_of_two_versions_neither_repeat_nor_lose_a_request(
    monkeypatch, old, path, method, status
):
    """During a roll-out, a host can't tell whose 404 it got, and sent it on."""
    async with async_fleet(("north", "north", "north")) as fleet:
        host, *peers = fleet.hosts
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        if old == "sender":
            create = host.daemon.relay._create_outgoing

            def create_as_before(*args):
                outgoing = create(*args)
                del outgoing.headers[READS_RELAY_ORIGIN]
                return outgoing

            monkeypatch.setattr(host.daemon.relay, "_create_outgoing", create_as_before)
        for peer in peers if old == "peers" else []:
            answer = peer.daemon.gateway.async_answer_relayed

            async def async_answer_as_before(request, answer=answer):
                response = await answer(request)
                response.headers.pop(RELAY_ORIGIN, None)
                return response

            monkeypatch.setattr(
                peer.daemon.gateway, "async_answer_relayed", async_answer_as_before
            )
        answer_plainly(fleet, "404 Not Found")
        before = fleet.runs()
        found, _, _ = await host.async_call(f"{path}1", method)
        assert (found, fleet.runs() - before) == (status, 1)


async def test_a_peer_of_an_earlier_version_passes_on_no_false_promise(monkeypatch):
    """It returned a server's 503 to a request that has run, with its signature."""
    async with async_fleet(("north", "north", "north")) as fleet:
        host, *peers = fleet.hosts
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        answer_plainly(fleet, "503 Unavailable", f"{NAMES.signature}: {SIGNATURE}")
        for peer in peers:
            answer = peer.daemon.gateway.async_answer_relayed

            async def async_answer_as_before(request, answer=answer):
                response = await answer(request)
                assert response.status == 502
                return web.Response(
                    status=503,
                    headers={
                        RELAY_RESULT: DONE,
                        RELAY_ORIGIN: "server",
                        NAMES.request_id: response.headers[NAMES.request_id],
                        NAMES.signature: SIGNATURE,
                    },
                )

            monkeypatch.setattr(
                peer.daemon.gateway, "async_answer_relayed", async_answer_as_before
            )
        before = fleet.runs()
        found, _, received = await host.async_call("/unsafe/1", "POST")
        assert (found, fleet.runs() - before) == (502, 1)
        assert NAMES.signature not in received


async def test_a_repeatable_request_that_failed_at_a_host_goes_to_another_one():
    """The caller was told 502, though another host reached all servers."""
    async with async_fleet(("north", "north", "north")) as fleet:
        host, near, other = fleet.hosts
        await async_wait_for_cut(fleet, Cut.RESETS, 0)
        failed = []

        async def async_fail(call, *args, **fields):
            failed.append(call.request_id)
            refusal = Refusal(ErrorKind.BACKEND_RESET, 502, "may have run: broken")
            refusal.attempts_left = 1
            raise refusal

        near.daemon.gateway._async_serve = lambda request, call, *args, **fields: (
            async_fail(call)
        )
        reads = [await host.async_call(f"/safe/{number}") for number in range(8)]
        assert {status for status, _, _ in reads} == {200}
        assert failed
        writes = [
            await host.async_call(f"/unsafe/{number}", "POST") for number in range(8)
        ]
        assert {status for status, _, _ in writes} == {200, 502}
