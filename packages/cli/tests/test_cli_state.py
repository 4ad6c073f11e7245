"""Commands that show and move the state of the system."""

import json

import pytest

from greengagepoint.config.log import ConfigLog
from greengagepoint.errors import ErrorKind
from greengagepoint_cli.const import ExitCode

TWO_CLOCKS = ([1_764_698_400_000, 1], [1_764_698_400_000, 2], [1_764_698_400_005, 0])
EVENT = {"number": 2003, "name": "REQUEST_SENT", "fields": {"request_id": "r1"}}
FOREIGN = {"number": 9999, "name": "NEWER", "fields": {"note": "<b>\x1b[31m</b>"}}
RECORDS = """\
[[region]]
name = "attiki"
schema_version = 1
zones = ["attiki-a"]
capacity = 100

[[site]]
name = "athens"
schema_version = 1
region = "attiki"
zone = "attiki-a"
capacity = 50
backend_servers = [
  {name = "b1", service = "booking", address = "10.0.0.1:80", slots = 10},
]

[[service]]
name = "booking"
schema_version = 2
sites = ["athens"]
"""


def site_part(owned, in_flight):
    return {
        "site": "athens",
        "region": "attiki",
        "limit": 40,
        "owned": owned,
        "in_flight": in_flight,
        "headroom": owned - in_flight,
    }


def drain_part(in_flight):
    return {
        "site": "athens",
        "backend_server": "b1",
        "service": "booking",
        "sources": ["record"],
        "in_flight": in_flight,
    }


@pytest.fixture
def pair(host, start_host):
    """Two hosts that know each other and hold parts of one cap."""
    other = start_host("attiki-2")
    host.peers, other.peers = [other], [host]
    for one, owned, in_flight in ((host, 25, 3), (other, 15, 4)):
        region = {"region": "attiki", "capacity": 100, "owned": 50, "used": in_flight}
        region["headroom"] = 50 - in_flight
        one.status["caps"] = {"region": region, "sites": [site_part(owned, in_flight)]}
        one.status["drains"] = [drain_part(in_flight)]
    shift = {"name": "s", "service": "booking", "from_site": "athens"}
    shift |= {"to_site": "piraeus", "target": 0.5, "cause": "record"}
    host.status["shifts"] = [shift | {"fraction": 0.2}]
    other.status["shifts"] = [shift | {"fraction": 0.1}]
    return host, other


def test_status_adds_up_what_hosts_hold(pair, invoke, snapshot):
    result = invoke("status", servers=[pair[0]])
    assert (result.exit_code, result.stdout) == (0, snapshot)
    document = json.loads(invoke("status", "--output=json", servers=[pair[0]]).stdout)
    assert document["caps"][0]["in_flight"] == 7
    assert document["shifts"][0]["fraction"] == 0.1


def test_hosts_are_found_from_one_to_the_next(start_host, invoke):
    """A host names only some hosts of other zones, and one of them has restarted since
    at another port. All are found by asking on, the restarted one at its new port.
    """
    names = ("attiki-1", "attiki-2", "sfax-1", "sfax-2")
    hosts = [start_host(name) for name in names]
    for one, following in zip(hosts, hosts[1:], strict=False):
        one.peers = [following]
    old = {"name": "sfax-2", "address": "127.0.0.1:1", "incarnation": 1}
    hosts[0].known = [old]
    hosts[3].incarnation = 2
    document = json.loads(invoke("status", "--output=json", servers=[hosts[0]]).stdout)
    assert [row["name"] for row in document["hosts"]] == list(names)
    assert [row["fault"] for row in document["hosts"]] == [None] * 4


def test_a_mute_host_is_shown_and_changes_the_exit_code(pair, invoke):
    """One of two hosts does not answer. The table names it with its fault, the sums
    hold what the other one told, and a script sees exit code 5.
    """
    host, other = pair
    other.problem = (ErrorKind.INTERNAL, "broken")
    result = invoke("status", servers=[host])
    assert result.exit_code == ExitCode.UNREACHABLE
    assert "attiki-2  -       -         -" in result.stdout
    assert "internal: broken" in result.stdout


@pytest.mark.parametrize("output", ["text", "json", "html"])
def test_the_time_line_is_merged_in_clock_order(pair, invoke, output, snapshot):
    """One request passes two hosts, whose answers come in any order. Its events are
    shown by hybrid clock, and text from outside neither colours the terminal nor
    becomes HTML.
    """
    host, other = pair
    first, second, third = TWO_CLOCKS
    host.events = [EVENT | {"clock": first}, EVENT | {"clock": third}]
    other.events = [FOREIGN | {"clock": second}]
    result = invoke("timeline", f"--output={output}", servers=[host])
    assert (result.exit_code, result.stdout) == (0, snapshot)


def test_an_answer_out_of_form_counts_as_no_answer(pair, invoke):
    """A host of another version, or a proxy on the way, answers with other JSON. The
    client says what it did not understand and goes on with the other host.
    """
    host, other = pair
    other.status["generation"] = "newest"
    result = invoke("status", servers=[host])
    assert result.exit_code == ExitCode.UNREACHABLE
    fault = (
        "the answer is not understood: Expected `int`, got `str` - at `$.generation`"
    )
    assert fault in result.stdout
    assert invoke("status", servers=[other, host]).exit_code == ExitCode.UNREACHABLE
    assert fault in invoke("status", servers=[other]).stderr


def test_the_time_line_goes_to_a_file_and_names_mute_hosts(pair, invoke, tmp_path):
    host, other = pair
    other.problem = (ErrorKind.INTERNAL, "broken")
    host.events = [EVENT | {"clock": TWO_CLOCKS[0]}]
    path = tmp_path / "line.html"
    result = invoke("timeline", "--output=html", f"--file={path}", servers=[host])
    assert result.exit_code == ExitCode.UNREACHABLE
    assert result.stderr == "no events from attiki-2: internal: broken\n"
    assert "<p>No answer from: attiki-2.</p>" in path.read_text()


def test_filters_of_the_time_line_are_sent_to_hosts(host, invoke):
    arguments = ("--team=ermis", "--kind=request_sent", "--since=2026-12-02T18:00:00Z")
    assert invoke("timeline", *arguments, servers=[host]).exit_code == 0
    expected = {"team": "ermis", "kind": "request_sent", "since": "1796234400000"}
    assert host.asked == expected


def test_usage_is_filtered_and_written_as_csv(host, invoke, snapshot):
    counts = {"requests": 5, "answered": 4, "failed": 1, "not_run": 0}
    counts |= {"bytes_in": 10, "bytes_out": 20, "service": "booking", "newer": 1}
    host.usage = [
        {"day": f"2026-12-0{day}", "team": team, **counts}
        for day in (1, 2)
        for team in ("ermis", 'rayonnage,"sûr"')
    ]
    result = invoke("usage", "--since=2026-12-02", "--output=csv", servers=[host])
    assert result.stdout == snapshot
    table = invoke("usage", "--team=ermis", "--until=2026-12-01", servers=[host])
    assert table.stdout == snapshot


def test_hosts_and_events_are_tables(host, invoke, snapshot):
    assert invoke("hosts", "booking", servers=[host]).stdout == snapshot
    assert "4003  host_gone" in invoke("events").stdout


def test_a_drain_is_a_record_and_shows_what_remains(pair, invoke, tmp_path, snapshot):
    """An operator drains a backend server. One record is written; the table shows how
    many requests all hosts together still have there. Watching ends when nothing is
    left, and not before every host has the record in force.
    """
    host, other = pair
    path = tmp_path / "records.toml"
    path.write_text(RECORDS)
    assert invoke("apply", str(path), servers=[host]).exit_code == 0
    start = "--start-at=2026-12-02T18:00:00+02:00"
    result = invoke("drain", "backend-server", "b1", start, servers=[host])
    assert (result.exit_code, result.stdout) == (0, snapshot)
    assert host.log.rows["drain", "drain-b1"].document.fields == {
        "target_kind": "backend_server",
        "target": "b1",
        "start_at": "2026-12-02T16:00:00+00:00",
    }
    for one in pair:
        one.status["drains"] = [drain_part(0)]
    other.log = host.log
    watched = ("drain", "backend-server", "b1", start, "--watch")
    assert invoke(*watched, servers=[host]).exit_code == 0
    other.status["drains"] = [drain_part(1)]
    late = invoke(*watched, "--timeout=0", servers=[host])
    assert late.exit_code == ExitCode.NOT_IN_TIME
    assert late.stderr == "greengagepoint: not within 0 seconds: b1 is drained\n"
    other.log, other.status["drains"] = ConfigLog(), []
    behind = invoke(*watched, "--timeout=0", servers=[host])
    assert behind.exit_code == ExitCode.NOT_IN_TIME
    assert "waiting for: attiki-2" in behind.stderr


def test_a_drain_of_something_unknown_is_refused(host, invoke, tmp_path):
    path = tmp_path / "records.toml"
    path.write_text(RECORDS)
    assert invoke("apply", str(path), servers=[host]).exit_code == 0
    result = invoke("drain", "backend-server", "b2", servers=[host])
    assert result.exit_code == ExitCode.RECORD_REFUSED
    assert "no backend server is called 'b2' (accepted: b1)" in result.stderr
    assert host.log.generation == 1


def test_a_shift_is_checked_before_it_is_sent(host, invoke, tmp_path):
    path = tmp_path / "records.toml"
    path.write_text(RECORDS)
    assert invoke("apply", str(path), servers=[host]).exit_code == 0
    flags = ["--service=booking", "--from-site=athens", "--to-site=sfax"]
    result = invoke("shift", "move", *flags, "--fraction=0.5", servers=[host])
    assert result.exit_code == ExitCode.RECORD_REFUSED
    assert "shift/move: to_site: no site of booking is called 'sfax'" in result.stderr
    assert len(host.bodies) == 1


def test_removing_needs_a_record(host, invoke, tmp_path):
    path = tmp_path / "records.toml"
    path.write_text(RECORDS)
    assert invoke("apply", str(path), servers=[host]).exit_code == 0
    missing = invoke("remove", "drain", "none", servers=[host])
    assert missing.exit_code == ExitCode.RECORD_REFUSED
    blocked = invoke("remove", "region", "attiki", servers=[host])
    assert blocked.exit_code == ExitCode.RECORD_REFUSED
    assert "site/athens: region: no region is called 'attiki'" in blocked.stderr
    assert len(host.bodies) == 1


def test_watching_tells_which_hosts_are_behind(pair, invoke, tmp_path):
    """A change is applied, and one host does not take it over. The client gives up
    after the timeout and names that host.
    """
    path = tmp_path / "records.toml"
    path.write_text(RECORDS)
    result = invoke("apply", str(path), "--watch", "--timeout=0", servers=[pair[0]])
    assert result.exit_code == ExitCode.NOT_IN_TIME
    assert "not within 0 seconds: generation 1 is in force" in result.stderr
    assert "waiting for: attiki-2" in result.stderr
