"""Who writes claims to the store, in how many writes and after which wait."""

import asyncio

from claims_fleet import HOSTS, Fleet, network

from greengagepoint.events import Event
from greengagepoint_standins.memory_store import MemoryStore
from greengagepoint_standins.virtual_time import run


def test_claims_of_many_hosts_share_few_writes():
    async def scenario():
        store = MemoryStore(delay=lambda: 0.003)
        fleet = Fleet(store)
        claims = await asyncio.gather(
            *(fleet.claim(HOSTS[i % 3], key=str(i)) for i in range(300))
        )
        return len(claims), store.writes

    assert run(scenario()) == (300, 3)


def test_a_silent_committer_costs_one_wait():
    """The committer has died and the view does not know it. The first claim waits
    for it and is then written by its own host; the next ones do not wait.
    """

    async def scenario():
        fleet = Fleet(MemoryStore(), network(lambda: "drop"))
        loop = asyncio.get_running_loop()
        times = []
        committer = fleet.hosts[HOSTS[0]].writer
        committer.choose_committer("k")
        other = next(name for name in HOSTS if name not in committer.committers)
        fleet.hosts[other].writer.take_direct = lambda: False
        for number in range(3):
            started = loop.time()
            await fleet.claim(other, key=str(number))
            times.append(loop.time() - started)
        return times

    first, *others = run(scenario())
    assert first >= 0.25
    assert max(others) <= 0.05


def test_few_claims_need_no_other_host():
    """Claims come seldom and the other hosts can't be reached: none of them waits
    for a committer. A burst beyond the direct rate goes to the committer.
    """

    async def scenario():
        fleet = Fleet(MemoryStore(), network(lambda: "drop"))
        loop = asyncio.get_running_loop()
        waits = []
        for number in range(6):
            await asyncio.sleep(0.2)
            started = loop.time()
            await fleet.claim(HOSTS[number % 3], key=str(number))
            waits.append(loop.time() - started)
        before = fleet.network.sent
        burst = (fleet.claim(HOSTS[i % 3], key=f"burst {i}") for i in range(60))
        await asyncio.gather(*burst)
        return max(waits), fleet.network.sent - before

    slowest, messages = run(scenario())
    assert slowest <= 0.01
    assert messages >= 1


def test_a_slow_store_does_not_make_hosts_give_their_committer_up():
    """The store takes 400 ms. At first the others don't wait that long and write by
    themselves; after its late answers they do, and no longer burden the store.
    """

    async def scenario():
        fleet = Fleet(MemoryStore(delay=lambda: 0.4))
        writers = {name: host.writer for name, host in fleet.hosts.items()}
        for writer in writers.values():
            writer.take_direct = lambda: False
            writer.choose_committer("k")
        others = [name for name in HOSTS if name not in writer.committers]
        counts = []
        for part in range(2):
            claims = []
            for number in range(80):
                await asyncio.sleep(0.05)
                name = others[number % 2]
                claims.append(
                    asyncio.ensure_future(fleet.claim(name, key=f"{part}{number}"))
                )
            await asyncio.gather(*claims)
            counts.append(sum(writers[name].committer.writes for name in others))
        return counts

    first, second = run(scenario())
    assert second == first


def test_an_unexpected_error_of_one_write_does_not_strand_its_claims():
    async def scenario():
        store = MemoryStore()
        fleet = Fleet(store)
        create = store.create

        async def broken_once(items, *, lease):
            store.create = create
            raise ValueError("unexpected")

        store.create = broken_once
        await fleet.claim(fleet.hosts[HOSTS[0]].writer.committers[0])
        return fleet.events, asyncio.get_running_loop().time()

    events, elapsed = run(scenario())
    assert events == [Event.INTERNAL_ERROR, Event.KEY_CLAIMED]
    assert elapsed <= 0.1
