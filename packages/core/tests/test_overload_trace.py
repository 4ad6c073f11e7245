"""Replay a recorded burst and compare the decisions."""

import json
import random
from pathlib import Path

from greengagepoint.overload import admission
from greengagepoint.overload.tables import Admitted, Rejected, Ticket, create_pool
from greengagepoint.records.schemas import RequestClass

TRACE = Path(__file__).parent / "traces" / "overload_burst.jsonl"


def replay_step(pool, source, tickets, row):
    """Apply one line of the trace and return the outcome."""
    if row["do"] == "offer":
        ticket = Ticket(
            row["id"],
            row["team"],
            1.0,
            RequestClass(row["class"]),
            row["at"] + row["deadline"],
            row["at"],
        )
        tickets[ticket.id] = ticket
        answer = admission.offer(pool, ticket, row["at"], source)
        if isinstance(answer, Rejected):
            return [answer.kind, answer.retry_after_seconds]
        return "admitted" if isinstance(answer, Admitted) else "queued"
    if row["do"] == "finish":
        ticket = tickets[row["id"]]
        released = admission.finish(pool, ticket, row["latency"], row["at"], source)
    else:
        released = admission.expire(pool, row["at"], source)
    refused = [
        [ticket.id, rejection.kind, rejection.retry_after_seconds]
        for ticket, rejection in released.refused
    ]
    return {"admitted": [row.id for row in released.admitted], "refused": refused}


def test_a_burst_replays_to_the_same_decisions():
    """Four slots get requests at a rate that they can serve, then three times as many
    for half a second. Every decision is the recorded one. All payments are sent, and
    waiting requests are rejected at least 50 ms before their deadline.
    """
    rows = [json.loads(line) for line in TRACE.read_text().splitlines()]
    pool, source, tickets = create_pool(4, 4), random.Random(5), {}
    sent = set()
    for row in rows:
        outcome = replay_step(pool, source, tickets, row)
        assert outcome == row["outcome"], row
        if outcome == "admitted":
            sent.add(row["id"])
        elif isinstance(outcome, dict):
            sent.update(outcome["admitted"])
            for number, _, _ in outcome["refused"]:
                assert tickets[number].ends_at - row["at"] >= 0.05
    payments = {
        number
        for number, ticket in tickets.items()
        if ticket.request_class is RequestClass.PAYMENT
    }
    assert len(payments) == 32
    assert payments <= sent
    assert len(sent) < len(tickets)
