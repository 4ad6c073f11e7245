"""Claims of idempotency keys under faults of store, links and hosts."""

import asyncio

import pytest
from claims_fleet import ANSWER, DELAYS, HOSTS, Fleet, network, outcome
from hypothesis import given, settings
from hypothesis import strategies as st

from greengagepoint.delivery.messages import ClaimBatch, ClaimItem, ClaimResults
from greengagepoint.errors import ErrorKind, Ran
from greengagepoint.records.schemas import StoreOutage
from greengagepoint_node.coordinators.claims import Claim
from greengagepoint_standins.memory_store import MemoryStore, StoreFault
from greengagepoint_standins.virtual_time import run

REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(HOSTS),
        st.sampled_from([0.0, 0.0005, 0.002, 0.3, 2.5, 6.0]),
        st.sampled_from(["run", "not_run", "cancel", "crash"]),
    ),
    min_size=2,
    max_size=6,
)


@settings(max_examples=300)
@given(
    REQUESTS,
    st.lists(st.sampled_from(list(StoreFault)), max_size=12),
    st.lists(st.sampled_from(list(DELAYS)), max_size=8),
)
def test_a_key_runs_at_most_once(requests, store_faults, fates):
    """The caller repeats one key through several hosts, some at the same moment.

    Meanwhile the store loses replies, applies writes late, hangs or is down, peer
    messages are lost, late or doubled, hosts crash, and callers go away. Whatever
    the order, one request at most is sent, because create-if-absent decides.
    """
    faults = iter(store_faults)
    fate = iter(fates)
    runs = []

    async def request(fleet, name, at, end):
        await asyncio.sleep(at)
        coordinator = fleet.hosts[name]
        task = asyncio.ensure_future(outcome(fleet.claim(name)))
        if end == "cancel":
            asyncio.get_running_loop().call_later(0.0015, task.cancel)
        try:
            claim = await task
        except asyncio.CancelledError:
            return
        if end == "crash":
            fleet.restart(name)
        if not isinstance(claim, Claim):
            return
        if end == "not_run":
            await coordinator.async_release(claim)
            return
        runs.append(claim)
        coordinator.remember(claim, ANSWER)

    async def housekeeping(fleet):
        for _ in range(60):
            await asyncio.sleep(1)
            for coordinator in fleet.hosts.values():
                coordinator.tick(asyncio.get_running_loop().time())

    async def scenario():
        store = MemoryStore(lambda: next(faults, StoreFault.NONE), lambda: 0.001)
        fleet = Fleet(store, network(lambda: next(fate, "deliver")))
        await asyncio.gather(
            housekeeping(fleet), *(request(fleet, *row) for row in requests)
        )
        return await outcome(fleet.claim(HOSTS[0])), fleet

    last, fleet = run(scenario())
    assert len(runs) <= 1
    crashed = any(end == "crash" for _, _, end in requests)
    if runs:
        assert last in [
            (ErrorKind.KEY_IN_USE, Ran.RAN),
            (ErrorKind.KEY_IN_USE, Ran.UNKNOWN),
        ]
    elif not crashed:
        # No attempt that was given up keeps the key from the caller for good.
        assert isinstance(last, Claim)


def test_memory_only_claims_reach_the_store_after_an_outage():
    """The store is down and the service allows memory only: the caller is served
    and told so. A repeat through the same host is refused from memory. After the
    outage the claim is stored, so a repeat through another host is refused too.
    """
    down = [True]

    async def scenario():
        store = MemoryStore(lambda: StoreFault.DOWN if down[0] else StoreFault.NONE)
        fleet = Fleet(store)
        claim = await fleet.claim(HOSTS[0], outage=StoreOutage.MEMORY_ONLY)
        again = await outcome(fleet.claim(HOSTS[0], outage=StoreOutage.MEMORY_ONLY))
        refused = await outcome(fleet.claim(HOSTS[1], outage=StoreOutage.REFUSE))
        down[0] = False
        fleet.hosts[HOSTS[0]].tick(asyncio.get_running_loop().time())
        await asyncio.sleep(1)
        elsewhere = await outcome(fleet.claim(HOSTS[2]))
        return claim.memory_only, again, refused, elsewhere

    assert run(scenario()) == (
        True,
        (ErrorKind.KEY_IN_USE, Ran.UNKNOWN),
        (ErrorKind.STORE_UNAVAILABLE, Ran.NOT_RUN),
        (ErrorKind.KEY_IN_USE, Ran.UNKNOWN),
    )


def test_a_repeat_gets_the_kept_answer_only_for_the_same_request():
    async def scenario():
        fleet = Fleet(MemoryStore())
        host = fleet.hosts[HOSTS[0]]
        host.remember(await fleet.claim(HOSTS[0]), ANSWER)
        return (
            host.replay("booking", "ermis", "k", "digest"),
            host.replay("booking", "ermis", "k", "other"),
            host.replay("booking", "other-team", "k", "digest"),
            await outcome(fleet.claim(HOSTS[0], digest="other")),
            await outcome(fleet.claim(HOSTS[1], digest="other")),
            await outcome(fleet.claim(HOSTS[0])),
        )

    assert run(scenario()) == (
        ANSWER,
        None,
        None,
        (ErrorKind.KEY_MISMATCH, Ran.NOT_RUN),
        (ErrorKind.KEY_MISMATCH, Ran.NOT_RUN),
        (ErrorKind.KEY_IN_USE, Ran.RAN),
    )


@pytest.mark.parametrize("hanging", [False, True])
def test_an_outage_is_answered_without_queueing_for_the_timeout(hanging):
    """Fifty keyed requests arrive while the store is down or hangs. One tries it;
    the others are refused, not run, no later than that one.
    """
    fault = StoreFault.HANG if hanging else StoreFault.DOWN

    async def scenario():
        store = MemoryStore(lambda: fault)
        fleet = Fleet(store)
        await outcome(fleet.claim(HOSTS[0], key="first"))
        calls, started = store.reads, asyncio.get_running_loop().time()
        answers = await asyncio.gather(
            *(outcome(fleet.claim(HOSTS[0], key=str(i))) for i in range(50))
        )
        return answers, store.reads - calls, asyncio.get_running_loop().time() - started

    answers, reads, elapsed = run(scenario())
    assert set(answers) == {(ErrorKind.STORE_UNAVAILABLE, Ran.NOT_RUN)}
    assert reads <= 1
    assert elapsed <= 2.0


@pytest.mark.parametrize("outage", StoreOutage)
def test_a_caller_in_a_hurry_does_not_make_the_store_look_down(outage):
    """The store takes 100 ms. A caller with 20 ms is refused, not run, whatever the
    service allows in an outage; the next caller's claim goes to the store.
    """

    async def scenario():
        fleet = Fleet(MemoryStore(delay=lambda: 0.1))
        host = fleet.hosts[HOSTS[0]]
        hurried = host.async_claim("booking", "ermis", "a", "d", outage, 0.02)
        refused = await outcome(hurried)
        others = [fleet.claim(HOSTS[0], outage=outage, key=key) for key in "bc"]
        return refused, await asyncio.gather(*others)

    refused, others = run(scenario())
    assert refused == (ErrorKind.STORE_UNAVAILABLE, Ran.NOT_RUN)
    assert [claim.memory_only for claim in others] == [False, False]


def test_an_answer_to_a_hosts_former_self_is_not_its_own():
    """A host claims a key, is lost and starts again. Its first batch then carries
    another key, which a third host holds, and the doubled answer to its former
    self's first batch arrives: it must not take that for its own success.
    """

    async def scenario():
        fleet = Fleet(MemoryStore())
        writer = fleet.hosts[HOSTS[0]].writer
        writer.choose_committer("k")
        committer = writer.committers[0]
        name = next(host for host in HOSTS if host != committer)
        await fleet.claim(committer, key="held")
        await fleet.claim(name, key="first")
        fleet.restart(name)
        fleet.network.next_delays = list
        second = asyncio.ensure_future(outcome(fleet.claim(name, key="held")))
        await asyncio.sleep(0.1)
        stale = ClaimResults(1, 1, (True,))
        fleet.network.deliver(committer, name, stale)
        return await second

    assert run(scenario()) == (ErrorKind.KEY_IN_USE, Ran.UNKNOWN)


def test_a_peer_can_have_nothing_but_claims_written():
    async def scenario():
        fleet = Fleet(MemoryStore())
        for key, value in [("/greengagepoint/log/1", b"x"), ("", b""), ("k", b"")]:
            batch = ClaimBatch(1, 1, (ClaimItem(key, value),))
            fleet.network.deliver(HOSTS[1], HOSTS[0], batch)
        await asyncio.sleep(1)
        return fleet.store.rows

    assert run(scenario()) == {}


@pytest.mark.parametrize(
    ("answer", "word"),
    [
        (None, Ran.UNKNOWN),
        (ANSWER._replace(body=b"x" * 20_000), Ran.RAN),
        (ANSWER._replace(body=b"x" * 20_000, status=500), Ran.UNKNOWN),
    ],
)
def test_a_repeat_is_told_no_more_than_is_known(answer, word):
    async def scenario():
        fleet = Fleet(MemoryStore())
        claim = await fleet.claim(HOSTS[0])
        fleet.hosts[HOSTS[0]].remember(claim, answer)
        return await outcome(fleet.claim(HOSTS[0]))

    assert run(scenario()) == (ErrorKind.KEY_IN_USE, word)
