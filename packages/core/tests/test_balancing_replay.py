import json
from pathlib import Path
from random import Random

from greengagepoint.balancing.choice import (
    choose,
    record_request_end,
    record_request_start,
)
from greengagepoint.balancing.reports import record_load_report
from greengagepoint.balancing.rows import sync_rows
from greengagepoint.balancing.system import run
from greengagepoint.balancing.tables import BackendTable, Load, Outcome
from greengagepoint.configuration import EMPTY
from greengagepoint.records.schemas import BackendServer, Drain, DrainTarget, Site

TRACE = Path(__file__).parent / "traces" / "backend_choice.jsonl"
EPOCH_TIME = "1970-01-01T00:00:00Z"


class Replay:
    """One host to which the steps of the trace are applied."""

    def __init__(self):
        self.names = ["b0", "b1", "b2", "b3"]
        self.drains = {}
        self.table = BackendTable()
        self.random = Random(9)
        self.open = []
        self.chosen = []
        self.sync(0.0)

    def sync(self, now):
        servers = tuple(
            BackendServer(name, "booking", f"{name}:80", 10) for name in self.names
        )
        site = Site(
            name="s", region="r", zone="z", capacity=40, backend_servers=servers
        )
        records = EMPTY._replace(sites={"s": site}, drains=dict(self.drains))
        sync_rows(self.table, records, now, 0)

    def row(self, name):
        return self.table.rows["booking", "s", name]

    def step(self, at, op, name="", place=0, outcome="", seconds=0.0, load=None):
        if op == "request":
            row = choose(self.table, "booking", "s", at, self.random)
            record_request_start(row, at)
            self.open.append(row)
            self.chosen.append((at, row.name))
        elif op == "answer":
            record_request_end(self.open.pop(place), Outcome(outcome), seconds, at)
        elif op == "report":
            record_load_report(self.row(name), Load(**load), at)
        elif op == "signal":
            record_load_report(self.row(name), Load(0, 10, 0, leaving=True), at)
        elif op == "drain":
            self.drains[name] = Drain(
                name=name,
                target_kind=DrainTarget.BACKEND_SERVER,
                target=name,
                start_at=EPOCH_TIME,
            )
            self.sync(at)
        elif op == "add":
            self.names.append(name)
            self.sync(at)
        run(self.table, at)


def replay():
    result = Replay()
    for line in TRACE.read_text().splitlines():
        result.step(**json.loads(line))
    return result


def test_recorded_trace_has_its_stated_outcomes(snapshot):
    """Requests, failures and reports are replayed; two servers leave, one joins.

    The drained server and the one that signals leaving get no new requests. The new
    server gets few requests at first. The same trace gives the same choices.
    """
    result = replay()
    assert result.chosen == replay().chosen
    leaving_servers = {"drain": "b1", "signal": "b2"}
    for line in map(json.loads, TRACE.read_text().splitlines()):
        if line["op"] in leaving_servers:
            after = {name for at, name in result.chosen if at > line["at"]}
            assert leaving_servers[line["op"]] not in after
            assert after
        if line["op"] == "add":
            later_choices = [name for at, name in result.chosen if at > line["at"]]
            assert later_choices.count("b4") < len(later_choices) / 3
    assert [name for _at, name in result.chosen] == snapshot
