"""Two copies of a slow read: who wins, and what becomes of the other."""

import asyncio

import pytest

from greengagepoint_node.proxy.hedging import async_hedged


class Allowance:
    """Allow a second copy after no wait at all."""

    def __init__(self, *, allowed: bool = True, wait: float | None = 0.0) -> None:
        self.allowed = allowed
        self.wait = wait

    def hedge_wait_seconds(self) -> float | None:
        return self.wait

    def may_hedge(self, elapsed: float, *, repeatable: bool) -> bool:
        return self.allowed


class Copy:
    """One try that ends when the test says so."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ended: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.started = asyncio.Event()
        self.cancelled = False

    async def async_run(self) -> str:
        self.started.set()
        try:
            return await self.ended
        except asyncio.CancelledError:
            self.cancelled = True
            raise


class Race:
    """Both tries and the task that waits for the better one."""

    def __init__(self, allowance: Allowance) -> None:
        self.first, self.second = Copy("first"), Copy("second")
        self.discarded: list[str] = []
        self.task = asyncio.ensure_future(
            async_hedged(
                self.first.async_run,
                self.second.async_run,
                allowance,
                self.discarded.append,
            )
        )

    async def async_settle(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)


@pytest.fixture
async def race():
    running = Race(Allowance())
    await running.second.started.wait()
    return running


@pytest.mark.parametrize(
    "allowance", [Allowance(wait=None), Allowance(allowed=False)], ids=["none", "spent"]
)
async def test_without_allowance_there_is_one_copy(allowance) -> None:
    race = Race(allowance)
    await race.first.started.wait()
    await race.async_settle()
    race.first.ended.set_result("first")
    assert await race.task == "first"
    assert not race.second.started.is_set()


@pytest.mark.parametrize("winner", ["first", "second"])
async def test_the_copy_that_ends_first_wins(race, winner) -> None:
    won, lost = race.first, race.second
    if winner == "second":
        won, lost = lost, won
    won.ended.set_result(winner)
    assert await race.task == winner
    await race.async_settle()
    assert lost.cancelled
    assert race.task.cancelling() == 0
    assert race.discarded == []


@pytest.mark.parametrize("fails", ["first", "second"])
async def test_one_failure_leaves_the_other_copy(race, fails) -> None:
    lost, won = race.first, race.second
    if fails == "second":
        lost, won = won, lost
    lost.ended.set_exception(OSError(fails))
    await race.async_settle()
    assert not race.task.done()
    won.ended.set_result(won.name)
    assert await race.task == won.name


@pytest.mark.parametrize("order", [("first", "second"), ("second", "first")])
async def test_when_both_fail_the_first_error_is_raised(race, order) -> None:
    for name in order:
        getattr(race, name).ended.set_exception(OSError(name))
        await race.async_settle()
    with pytest.raises(OSError, match="first"):
        await race.task


async def test_results_of_one_moment_are_used_once(race) -> None:
    """Both backend servers answer in the same turn of the loop.

    One answer goes to the caller. The other one holds a connection and a place, so it
    must either be discarded or see its own cancellation, which frees them.
    """
    race.first.ended.set_result("first")
    race.second.ended.set_result("second")
    used = await race.task
    await race.async_settle()
    lost = race.second if used == "first" else race.first
    assert lost.cancelled is (race.discarded == [])
    assert race.discarded in ([], [lost.name])
    assert race.task.cancelling() == 0


@pytest.mark.parametrize("second_ends", [False, True])
async def test_a_caller_that_goes_away_ends_both(race, second_ends) -> None:
    """The driver hangs up, perhaps just as the second answer comes.

    The task is cancelled from outside. It must not turn that into an answer, and
    the second answer, if there is one, must free its place.
    """
    if second_ends:
        race.second.ended.set_result("second")
    race.task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await race.task
    await race.async_settle()
    assert race.first.cancelled
    assert race.second.cancelled or race.discarded == ["second"]


async def test_a_caller_that_goes_away_after_the_first_failed(race) -> None:
    race.first.ended.set_exception(OSError("first"))
    await race.async_settle()
    race.task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await race.task
    await race.async_settle()
    assert race.second.cancelled
