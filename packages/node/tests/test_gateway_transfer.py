"""Timeouts of transfers that make progress, stall or trickle."""

import asyncio

import pytest

from greengagepoint_node.gateway import transfer


class PausingReader:
    """Return pieces after pauses, on a clock that the reader advances."""

    def __init__(self, loop_time, *rows):
        self.loop_time = loop_time
        self.rows = list(rows)

    async def readany(self):
        if not self.rows:
            return b""
        pause, piece = self.rows.pop(0)
        self.loop_time[0] += pause
        return piece


class Limit:
    """Record the times to which a timeout is extended."""

    def __init__(self):
        self.times = []

    def expired(self):
        return False

    def reschedule(self, when):
        self.times.append(when)


@pytest.mark.parametrize(
    ("rows", "times"),
    [
        ([(0.5, b"ab"), (0.5, b"c")], [1.1, 1.6]),
        ([(19.0, b"a"), (0.9, b"b")], [19.6, 20.0]),
    ],
    ids=["makes progress", "trickles"],
)
async def test_each_piece_extends_the_timeout(monkeypatch, rows, times):
    now = [0.0]
    monkeypatch.setattr(asyncio.get_running_loop(), "time", lambda: now[0])
    limit = Limit()
    data = await transfer.async_read_answer(PausingReader(now, *rows), limit, 0.6)
    assert data == b"".join(piece for _, piece in rows)
    assert limit.times == pytest.approx(times)


async def test_a_stalled_transfer_times_out():
    # A link goes silent in the middle of an answer. Without a timeout the host would
    # never ask another peer, and would keep serving callers by an old configuration.
    content = PausingReader([0.0], (0.0, b"a"))
    content.readany_once = content.readany

    async def stall():
        return await content.readany_once() or await asyncio.sleep(3600)

    content.readany = stall
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05) as limit:
            await transfer.async_read_answer(content, limit, 0.05)


def test_a_large_message_may_take_longer_to_send():
    assert transfer.send_seconds(58_000) == pytest.approx(1.16)
