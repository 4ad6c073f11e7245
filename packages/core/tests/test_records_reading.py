"""Test what operators are told about their records."""

import tomllib
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from greengagepoint.config.entries import Change
from greengagepoint.config.log import ConfigLog, apply_entry, effective
from greengagepoint.config.preparing import prepare
from greengagepoint.errors import RecordError
from greengagepoint.records.accepted import field_types
from greengagepoint.records.loading import describe, parse_toml
from greengagepoint.records.schemas import (
    NEWEST_VERSIONS,
    RECORD_TYPES,
    BackendServer,
    RecordKind,
    Route,
)

DEPLOYMENTS = Path(__file__).parents[3] / "deployments"

GOOD = """
[[region]]
schema_version = 1
name = "attiki"
zones = ["attiki-a"]
capacity = 100

[[site]]
schema_version = 1
name = "attiki-1"
region = "attiki"
zone = "attiki-a"
capacity = 100
backend_servers = [
  { name = "booking-1", service = "booking", address = "10.0.0.1:80", slots = 10 },
  { name = "booking-2", service = "booking", address = "10.0.0.2:80", slots = 10 },
]

[[site]]
schema_version = 1
name = "attiki-2"
region = "attiki"
zone = "attiki-a"
capacity = 50

[[service]]
schema_version = 2
name = "booking"
sites = ["attiki-1", "attiki-2"]

[[service.routes]]
path = "/bays"
repeatable = true
deadline_ms = 1500

[[service.routes]]
path = "/reservations"
methods = ["POST"]
request_class = "payment"
needs_key = true

[[team]]
schema_version = 1
name = "drivers"
requests_per_second = 10.5
burst = 20

[[cap]]
schema_version = 1
name = "attiki-1"
site = "attiki-1"
limit = 80

[[shift]]
schema_version = 1
name = "away"
service = "booking"
from_site = "attiki-1"
to_site = "attiki-2"
fraction = 0.6
start_at = 2026-12-02T18:00:00+02:00
ramp_seconds = 60

[[drain]]
schema_version = 1
name = "booking-1"
target_kind = "backend_server"
target = "booking-1"
start_at = "2026-12-02T18:00:00+02:00"
leave_at = "2026-12-02T19:00:00+02:00"

[[callers]]
schema_version = 1
name = "attiki"
blocks = ["10.1.0.0/16"]
regions = ["attiki"]
"""

SECOND_CAP = """
[[cap]]
schema_version = 1
name = "again"
site = "attiki-1"
limit = 10
"""
SECOND_SHIFT = """
[[shift]]
schema_version = 1
name = "further"
service = "booking"
from_site = "attiki-1"
to_site = "attiki-2"
fraction = 0.5
start_at = "2026-12-02T18:00:00Z"
ramp_seconds = 60
"""
SECOND_CALLERS = """
[[callers]]
schema_version = 1
name = "others"
blocks = ["10.2.0.0/16", "10.1.0.0/16"]
regions = ["attiki"]
"""


def apply_text(text: str) -> ConfigLog:
    log = ConfigLog()
    documents = parse_toml(text, "records.toml")
    changes = [
        Change(kind=document.kind, name=document.name, document=document)
        for document in documents
    ]
    entry = prepare(log, changes, "maria", "write-1", 0)
    apply_entry(log, entry)
    return log


BAD = {
    "not toml": ("limit = 80", "limit = = 80"),
    "unknown kind": ("[[team]]", "[[tean]]"),
    "table in place of a record": ("[[cap]]", "[cap.x]"),
    "no name": ('name = "attiki"\nzones', "zones"),
    "no version": ("schema_version = 2\n", ""),
    "version as text": ("schema_version = 2", 'schema_version = "2"'),
    "version too new": ("schema_version = 2", "schema_version = 9"),
    "version 0": ("schema_version = 2", "schema_version = 0"),
    "unknown field": ("burst = 20", "brust = 20"),
    "unknown nested field": ('methods = ["POST"]', 'method = ["POST"]'),
    "unknown field in an inline table": ('80", slots', '80", slot'),
    "missing field": ("ramp_seconds = 60", ""),
    "wrong type": ("limit = 80", 'limit = "80"'),
    "wrong nested type": ("deadline_ms = 1500", 'deadline_ms = "1500"'),
    "wrong member of a set": ('"payment"', '"paiment"'),
    "name with capitals": ('name = "drivers"', 'name = "Drivers"'),
    "name with a slash": ('name = "drivers"', 'name = "a/b"'),
    "rate of nothing": ("10.5", "0.0"),
    "rate that is no number": ("10.5", "nan"),
    "negative limit": ("limit = 80", "limit = -1"),
    "deadline over the maximum": ("deadline_ms = 1500", "deadline_ms = 90000"),
    "path without slash": ('path = "/bays"', 'path = "bays"'),
    "small method": ('["POST"]', '["post"]'),
    "repeatable with key": ("needs_key = true", "needs_key = true\nrepeatable = true"),
    "route twice": ('path = "/reservations"\nmethods = ["POST"]', 'path = "/bays"'),
    "address by name": ("10.0.0.1:80", "booking.example:80"),
    "port too high": ("10.0.0.1:80", "10.0.0.1:80000"),
    "block with host bits": ('blocks = ["10.1.0.0/16"]', 'blocks = ["10.1.2.3/16"]'),
    "time without offset": ("T18:00:00+02:00\nramp", "T18:00:00\nramp"),
    "time without clock": ('"2026-12-02T18:00:00+02:00"', '"2026-12-02"'),
    "leaves before it starts": ("T19:00:00+02:00", "T17:00:00+02:00"),
    "fraction over 1": ("fraction = 0.6", "fraction = 1.5"),
    "shift to itself": ('to_site = "attiki-2"', 'to_site = "attiki-1"'),
    "unknown region": ('region = "attiki"', 'region = "attika"'),
    "unknown zone": ('zone = "attiki-a"', 'zone = "attiki-c"'),
    "unknown site": ('sites = ["attiki-1", "attiki-2"]', 'sites = ["attiki-3"]'),
    "unknown service": ('service = "booking", address', 'service = "b", address'),
    "shift beyond the service": ('["attiki-1", "attiki-2"]', '["attiki-1"]'),
    "drain of nothing": ('target = "booking-1"', 'target = "booking-3"'),
    "cap over capacity": ("limit = 80", "limit = 101"),
    "second cap": ("[[shift]]", f"{SECOND_CAP}\n[[shift]]"),
    "shifts over 1": ("[[drain]]", f"{SECOND_SHIFT}\n[[drain]]"),
    "block twice": ("[[callers]]", f"{SECOND_CALLERS}\n[[callers]]"),
    "backend server twice": ('name = "booking-2"', 'name = "booking-1"'),
    "address twice": ("10.0.0.2:80", "10.0.0.1:80"),
    "record twice": ('name = "attiki-2"\nregion', 'name = "attiki-1"\nregion'),
}


@pytest.mark.parametrize("case", BAD)
def test_refusal_names_the_place(case: str, snapshot: SnapshotAssertion):
    old, new = BAD[case]
    assert old in GOOD
    with pytest.raises(RecordError) as caught:
        apply_text(GOOD.replace(old, new, 1))
    told = f"{caught.value.kind}: {describe(caught.value)}"
    assert told == snapshot


@pytest.mark.parametrize(
    ("deployment", "servers"),
    [
        ("ermis", {"booking": 35, "records": 12}),
        ("rayonnage", {"inspection-desk": 30, "drawing-vault": 12}),
    ],
)
def test_deployment_is_good(deployment: str, servers: dict[str, int]):
    files = sorted((DEPLOYMENTS / deployment).glob("*.toml"))
    text = "\n".join(path.read_text() for path in files)
    configuration = effective(apply_text(text))
    assert len(configuration.regions) == 3
    assert len(configuration.sites) == 6
    counts = dict.fromkeys(servers, 0)
    for site in configuration.sites.values():
        for server in site.backend_servers:
            counts[server.service] += 1
    assert counts == servers
    assert tomllib.loads(text)


@pytest.mark.parametrize("kind", RecordKind)
def test_page_names_every_field(kind: RecordKind):
    page = (DEPLOYMENTS.parent / "docs" / "RECORDS.md").read_text()
    section = page.split(f"\n## {kind} ")[1].split("\n## ")[0]
    assert f"version {NEWEST_VERSIONS[kind]})" in section.replace(
        "versions 1 and ", "version "
    )
    fields = set(field_types(RECORD_TYPES[kind])) - {"name"}
    nested = {"site": BackendServer, "service": Route}.get(kind)
    fields |= set(field_types(nested)) if nested else set()
    assert [field for field in sorted(fields) if f"`{field}`" not in section] == []
