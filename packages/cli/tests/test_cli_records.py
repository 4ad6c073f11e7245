"""Commands that read and write records."""

import json
from pathlib import Path

import pytest

from greengagepoint.config.entries import Change
from greengagepoint.errors import ErrorKind
from greengagepoint_cli import api
from greengagepoint_cli.const import ExitCode
from greengagepoint_cli.main import create_app

RECORDS = """\
[[region]]
name = "attiki"
schema_version = 1
zones = ["attiki-a", "attiki-b"]
capacity = 100

[[site]]
name = "athens"
schema_version = 1
region = "attiki"
zone = "attiki-a"
capacity = 50

[[cap]]
name = "athens"
schema_version = 1
site = "athens"
limit = 40
"""


@pytest.fixture
def records(tmp_path):
    path = tmp_path / "records.toml"
    path.write_text(RECORDS)
    return str(path)


def test_records_go_from_files_to_history(host, invoke, records, snapshot):
    """An operator validates a file, sees the difference, applies it, and finds it in
    force and in the history. Applying it again changes nothing.
    """
    shown = []
    for arguments in (
        ("validate", records),
        ("diff", records),
        ("apply", records, "--watch"),
        ("diff", records),
        ("apply", records),
        ("get", "cap"),
        ("get", "cap", "athens", "--output=json"),
    ):
        result = invoke(
            *arguments, servers=[host] if arguments[0] != "validate" else []
        )
        shown.append((result.exit_code, result.stdout, result.stderr))
    assert shown == snapshot
    (entry,) = host.log.tail
    history = invoke("history", servers=[host]).stdout
    assert entry.write_id in history
    assert history.replace(entry.write_id, "w" * 32) == snapshot


def test_changes_are_shown_by_field(host, invoke, records, tmp_path, snapshot):
    assert invoke("apply", records, servers=[host]).exit_code == 0
    changed = tmp_path / "changed.toml"
    text = RECORDS.replace("capacity = 100", "capacity = 90")
    changed.write_text(text.split("[[site]]")[0])
    result = invoke("diff", str(changed), "--prune", servers=[host])
    assert (result.exit_code, result.stdout) == (ExitCode.DIFFERENT, snapshot)
    as_json = invoke("diff", str(changed), "--prune", "--output=json", servers=[host])
    assert [row["change"] for row in json.loads(as_json.stdout)] == [
        "change",
        "delete",
        "delete",
    ]


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("limit = 40", "limit = 'x'", ":18: cap/athens: limit: Expected int"),
        ("limit = 40", "limti = 40", ":18: cap/athens: limti: unknown field"),
        (
            "limit = 40",
            "limit = 60",
            "limit: 60 is over the capacity of site athens (accepted: 0 to 50)",
        ),
        ('site = "athens"', 'site = "athen"', "did you mean 'athens'"),
        ("[[cap]]", "[[cup]]", "did you mean 'cap'"),
        ("schema_version = 1\nsite", "schema_version = 9\nsite", "from 1 to 1"),
        ("[[cap]]", "[[cap]", ":14: not TOML"),
    ],
)
def test_errors_name_file_line_field_and_what_is_accepted(
    invoke, tmp_path, old, new, message
):
    path = tmp_path / "records.toml"
    path.write_text(RECORDS.replace(old, new))
    result = invoke("validate", str(path))
    assert result.exit_code == ExitCode.RECORD_REFUSED
    assert message in result.stderr
    assert result.stderr.startswith(f"greengagepoint: {path}:")


def test_a_lost_reply_is_settled_by_the_write_id(host, invoke, records):
    """The host applies the change and its reply is lost. The client sends it again
    under the same write id; the host finds it made and tells its generation, so the
    change stands once.
    """
    host.losing = 1
    result = invoke("apply", records, servers=[host])
    assert (result.exit_code, host.log.generation) == (0, 1)
    assert result.stdout == "generation 1: 3 records changed\n"
    assert len({body["write_id"] for body in host.bodies}) == 1
    assert len(host.bodies) == 2


def test_a_write_that_stays_unsettled_tells_how_to_repeat_it(host, invoke, records):
    """Each reply of the host is lost. The client cannot know whether the change was
    made, says so, and names the write id with which repeating it is safe.
    """
    host.losing = 2
    result = invoke("apply", records, servers=[host])
    assert result.exit_code == ExitCode.OUTCOME_UNKNOWN
    write_id = host.bodies[0]["write_id"]
    assert f"--write-id {write_id}: it is applied once at most" in result.stderr
    again = invoke("apply", records, f"--write-id={write_id}", servers=[host])
    assert (again.exit_code, host.log.generation) == (0, 1)


def test_a_racing_operator_is_told_what_was_met(host, invoke, records):
    """Two operators read a cap; the second one's write arrives after the first's. The
    second is told who changed it and when, and nothing of the second's is in force.
    """
    assert invoke("apply", records, servers=[host]).exit_code == 0
    host.race = Change(kind="cap", name="athens", document=None)
    path = Path(records)
    path.write_text(RECORDS.replace("limit = 40", "limit = 30"))
    result = invoke("apply", records, servers=[host])
    assert result.exit_code == ExitCode.CONFLICT
    assert "record_conflict: cap/athens" in result.stderr
    assert "by nikos at 2025-12-02T18:00:00+00:00 in generation 2" in result.stderr
    assert ("cap", "athens") not in host.log.rows


def test_a_record_of_a_newer_version_does_not_block_others(host, invoke, records):
    """A newer client wrote a team that this one cannot read. An operator with this one
    changes other records; only faults that the change itself brings would stop it.
    """
    document = {"kind": "team", "name": "ermis", "schema_version": 9, "fields": {}}
    host.foreign = [document | {"generation": 1}]
    assert invoke("apply", records, servers=[host]).exit_code == 0
    assert invoke("validate", records, "--with-current", servers=[host]).exit_code == 0


def test_the_page_names_commands_and_exit_codes():
    page = (Path(__file__).parents[3] / "docs/operators/client.md").read_text()
    for code in ExitCode:
        assert f"\n| {code.value} | " in page
    for command in create_app().registered_commands:
        assert f"`{command.callback.__name__}" in page


def test_wrong_key_is_told_apart(host, invoke, monkeypatch):
    monkeypatch.setenv("GREENGAGEPOINT_OPERATOR_KEY", "not the key")
    result = invoke("get", servers=[host])
    assert result.exit_code == ExitCode.UNAUTHENTICATED
    assert result.stderr.startswith("greengagepoint: unauthenticated:")


def test_a_write_waits_for_a_host_that_has_just_started(host, invoke, monkeypatch):
    """An operator applies records the moment a fleet has started.

    The host refuses to write until a peer has told it its configuration. The client
    asks again for some seconds and then tells the refusal; nothing is written twice.
    """
    monkeypatch.setattr(api, "NOT_READY_PAUSES_SECONDS", (0.0, 0.0))
    host.not_ready = 2
    changed = RECORDS.replace("limit = 40", "limit = 30")
    result = invoke("apply", "-", servers=[host], text=RECORDS)
    assert (result.exit_code, host.log.generation) == (0, 1), result.stderr
    host.not_ready = 3
    result = invoke("apply", "-", servers=[host], text=changed)
    assert (result.exit_code, host.log.generation) == (ExitCode.SERVER_ERROR, 1)


def test_reads_go_to_the_next_server(host, invoke, refused_url, start_host):
    other = start_host("attiki-2")
    other.problem = (ErrorKind.NOT_READY, "no configuration yet")
    result = invoke("get", servers=[refused_url, other, host])
    assert result.exit_code == 0
    failed = invoke("get", servers=[refused_url])
    assert failed.exit_code == ExitCode.UNREACHABLE
    assert f"  {refused_url}: Cannot connect" in failed.stderr
    assert invoke("get", servers=[other]).exit_code == ExitCode.SERVER_ERROR


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("get", "--server=10.0.0.1:80"), "'10.0.0.1:80' is not a URL; accepted"),
        (("validate", "/does/not/exist.toml"), "No such file"),
        (("timeline", "--since=yesterday"), "accepted: RFC 3339"),
        (("timeline", "--kind=host_gon"), "did you mean 'host_gone'?"),
        (("get", "cup"), "cup"),
        (("frobnicate",), "No such command"),
    ],
)
def test_usage_errors(invoke, arguments, message):
    result = invoke(*arguments)
    assert (result.exit_code, message in result.stderr) == (ExitCode.USAGE, True)
