"""Measure what counting usage costs and what a crash may lose of it."""

import random
import statistics
import time
from typing import Final

import msgspec

from greengagepoint.hosts import HostIdentity
from greengagepoint.usage import UsageOutcome, sharing
from greengagepoint.usage.messages import Share
from greengagepoint.usage.store_values import write_seconds
from greengagepoint.usage.tables import UsageTables
from measure.figure import Figure

COUNTS: Final = 200_000
CRASHES: Final = 200
REQUESTS_PER_SECOND: Final = 50
TICK_SECONDS: Final = 0.5
DELAY_SECONDS: Final = 0.02
FLEETS: Final = (12, 4900)
ROWS: Final = (10, 100)
WALL_MILLISECONDS: Final = 1_790_000_000_000
STORE_CALLS_PER_WRITE: Final = 2

HOSTS: Final = [
    HostIdentity(f"h{number}", 1, f"r{number % 3}", f"z{number % 6}", "", "")
    for number in range(12)
]


def count_nanoseconds() -> tuple[float, float]:
    """Return the time of one count, and of one addition in a dictionary."""
    tables = UsageTables("h0", 1)
    tables.day = "2026-12-02"
    started = time.process_time()
    for _ in range(COUNTS):
        tables.count("fleet", "booking", UsageOutcome.ANSWERED, 300, 900)
    counted = time.process_time() - started
    plain: dict[tuple[str, str], int] = {("fleet", "booking"): 0}
    started = time.process_time()
    for _ in range(COUNTS):
        plain[("fleet", "booking")] += 1
    added = time.process_time() - started
    return counted / COUNTS * 1e9, added / COUNTS * 1e9


def lost_seconds(draw: random.Random) -> float:
    """Return how many seconds of requests are lost when a host dies at any moment.

    Lost is what no share that had left the host carried; a share takes a while.
    """
    tables = UsageTables("h0", 1)
    dies = 10 + draw.random() * 20
    now, counted, held = 0.0, 0.0, 0
    while now < dies:
        for send in sharing.run_shares(tables, HOSTS[0], HOSTS, now, WALL_MILLISECONDS):
            if now + DELAY_SECONDS < dies and isinstance(send.message, Share):
                held = max(held, sum(row.answered for row in send.message.rows))
        now += TICK_SECONDS
        while counted < min(now, dies):
            counted += 1 / REQUESTS_PER_SECOND
            tables.count("fleet", "booking", UsageOutcome.ANSWERED, 300, 900)
    sent = sum(row.answered for row in tables.rows_after(0))
    return (sent - held) / REQUESTS_PER_SECOND


def share_cost(rows: int) -> tuple[float, float, float]:
    """Return bytes a second, seconds between shares, and milliseconds a second.

    All rows change between any two shares, and both holders answer.
    """
    tables = UsageTables("h0", 1)
    now, size, used, shares = 0.0, 0, 0.0, 0
    while now < 600:
        now += TICK_SECONDS
        for number in range(rows):
            team = f"team-{number:03}"
            tables.count(team, "booking", UsageOutcome.ANSWERED, 300, 9000)
        started = time.process_time()
        sends = sharing.run_shares(tables, HOSTS[0], HOSTS, now, WALL_MILLISECONDS)
        used += time.process_time() - started
        shares += bool(sends)
        for send in sends:
            size += len(msgspec.msgpack.encode(send.message))
            holder = UsageTables(send.host, 1)
            holder.held[("h0", 1)] = sharing.HeldRun(send.message.base, {}, now)
            ack = sharing.receive_share(holder, "h0", send.message, now).message
            sharing.receive_ack(tables, send.host, ack)
    return size / now, now / max(shares, 1), used * 1000 / now


def run() -> list[Figure]:
    """Return all figures."""
    counted, added = count_nanoseconds()
    draw = random.Random(1)
    lost = [lost_seconds(draw) for _ in range(CRASHES)]
    plain = [draw.random() * write_seconds(12) for _ in range(CRASHES)]
    figures = [
        Figure("count one request", counted, "ns", added, "add in a dictionary"),
        Figure(
            "requests lost by a crash, median",
            statistics.median(lost),
            "s",
            statistics.median(plain),
            "writing to the store only",
        ),
        Figure(
            "requests lost by a crash, most",
            max(lost),
            "s",
            max(plain),
            "writing to the store only",
            limit=sharing.SHARE_SECONDS_MIN + TICK_SECONDS + DELAY_SECONDS,
        ),
    ]
    for rows in ROWS:
        size, period, milliseconds = share_cost(rows)
        figures += [
            Figure(f"shares sent, {rows} rows all changing", size, "B/s"),
            Figure(f"time between shares, {rows} rows", period, "s"),
            Figure(f"processor time of shares, {rows} rows", milliseconds, "ms/s"),
        ]
    for hosts in FLEETS:
        calls = STORE_CALLS_PER_WRITE * hosts / write_seconds(hosts)
        plain_calls = STORE_CALLS_PER_WRITE * hosts / sharing.SHARE_SECONDS_MIN
        figures.append(
            Figure(
                f"store calls, {hosts} hosts",
                calls,
                "1/s",
                plain_calls,
                "writing each 3 s in place of sharing",
            )
        )
    return figures


if __name__ == "__main__":
    for figure in run():
        print(figure)
