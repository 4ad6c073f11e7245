"""The account of lost requests, from the lines that hosts write."""

import msgspec
import pytest

from greengagepoint.placing.choice import NoServerAvailable
from greengagepoint_node.gateway.exchange import Exchange, Verdict
from greengagepoint_node.gateway.refusals import no_answer_refusal, no_server_refusal
from measure.account import read_account, render


def busy(shortest, longest=0.2, age=0.1):
    return no_server_refusal(
        "booking", NoServerAvailable(0.3, True, shortest, longest, 4, age)
    )


def line_of(refusal, at=10.0, host="h1"):
    """Write a refusal as the request path does."""
    fields = {
        "time": at,
        "host": host,
        "event": int(refusal.event),
        "name": refusal.event.name.lower(),
        "kind": refusal.kind,
        "reason": refusal.reason,
        "route": "r/bays/",
        **refusal.inputs,
    }
    return msgspec.json.encode(fields).decode()


@pytest.mark.parametrize(
    ("refusal", "cause"),
    [
        (busy(0.0), "busy: free slot in the region"),
        (busy(0.1), "busy: short wait in the region"),
        (busy(0.3), "busy: long wait everywhere"),
        (busy(0.0, age=float("inf")), "busy: load not known"),
        (
            no_server_refusal("booking", NoServerAvailable(1.0, False)),
            "no server may be used",
        ),
        (
            no_answer_refusal(Exchange(Verdict.SHED), may_have_run=False),
            "not run: shed",
        ),
        (
            no_answer_refusal(Exchange(Verdict.TIMED_OUT), may_have_run=True),
            "may have run: timed_out",
        ),
    ],
)
def test_each_loss_has_its_cause(refusal, cause):
    (loss,) = read_account([f"  1.250 h1 {line_of(refusal)}\n"]).losses
    assert loss == (10.0, "h1", "r/bays/", cause)


def test_other_lines_are_passed_over_and_broken_ones_counted():
    lines = ["Traceback", '{"time":1.0,"name":"host_alive"}', '{"time":1.0,', "{}"]
    account = read_account(lines)
    assert account == ([], 1)
    assert list(render(account)) == ["        0  in all, 1 lines unreadable"]


def test_losses_are_told_by_cause_time_host_and_route():
    lines = [line_of(busy(0.0), 10.0), line_of(busy(0.0), 14.5, "h2")]
    lines.append(line_of(busy(0.3), 11.0))
    text = "\n".join(render(read_account(lines)))
    assert "a       2  busy: free slot in the region" in text
    assert "     4        1      0" in text
    assert "       2  h1" in text
    assert "       3  r/bays/" in text
