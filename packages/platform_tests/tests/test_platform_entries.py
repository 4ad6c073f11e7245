"""What other writers' entries do to hosts: nothing beyond their own key.

An entry may lack fields, have them of another type, name what nobody knows, or be bytes
that can't be read. Its key names no server then, also not the one that it named before:
whoever wrote it may have taken the place of that one. All other keys hold.
"""

import msgspec
import pytest
from gateway_world import ZONES, Lines
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.events import Event
from greengagepoint.placing.tables import Incarnation
from greengagepoint_node.gateway.facts import Changes, RemovedKey, StoredItem
from greengagepoint_node.gateway.refused import LINES_AT_ONCE, TEXT_MAX
from greengagepoint_node.gateway.view import FleetView
from greengagepoint_platform.decoding import decode_item

NOW = 50.0
BORN = 1_765_000_000_000
ENTRY = {
    "service": "booking",
    "address": "10.0.0.1:8080",
    "zone": "zone-a",
    "version": "4.2",
    "slots": 8,
    "state": "ready",
    "coldLeftS": 0.5,
    "sequence": 3,
    "born": BORN,
}
HOST = {
    "name": "h1",
    "region": "north",
    "zone": "zone-a",
    "front_address": "10.0.0.1:1",
    "peer_address": "10.0.0.1:2",
}


def configuration(version, *services):
    return {
        "version": f"r{version}",
        "listeners": [],
        "clusters": [{"name": name} for name in services],
    }


def encoded(document):
    return document if isinstance(document, bytes) else msgspec.json.encode(document)


def changed(document, **fields):
    """Return a document with other fields; those that are None are left out."""
    rest = {**document, **fields}
    return {name: value for name, value in rest.items() if value is not None}


class Told:
    """A host's view that is told one change after the other."""

    def __init__(self) -> None:
        self.view = FleetView(ZONES, decode_item, Lines())
        self.revision = 0

    def put(self, key, document):
        self.revision += 1
        item = StoredItem(key, encoded(document), self.revision)
        for _ in range(2):
            self.view.apply(Changes((item,), self.revision), NOW)

    def remove(self, key):
        self.revision += 1
        change = RemovedKey(key, self.revision)
        self.view.apply(Changes((change,), self.revision), NOW)

    def members(self):
        found = self.view.servers.members.values()
        return sorted(row.instance for group in found for row in group.servers)

    def refused(self):
        lines = self.view.events.of(Event.RECORD_REFUSED)
        return [(line["key"], str(line["reason"])) for line in lines]

    def counted(self):
        return {reason: count for (reason,), count in self.view.refused.counts.items()}


def told():
    fleet = Told()
    fleet.put("op/config", configuration(1, "booking"))
    fleet.put("servers/i-1", ENTRY)
    fleet.put("servers/i-2", changed(ENTRY, address="10.0.0.2:8080"))
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.refused() == []
    return fleet


def other_types():
    """Yield entries of which one field has another type."""
    for name, value in ENTRY.items():
        others = [None, True, [], {}, [value]]
        if not isinstance(value, str):
            others.append(str(value))
        elif name != "version":
            others.append(7)
        for other in others:
            document = {**ENTRY, name: other}
            yield pytest.param(document, "field", id=f"{name}={other!r}")


def missing():
    """Yield entries that lack one field."""
    for name in ENTRY.keys() - {"version", "born"}:
        yield pytest.param(changed(ENTRY, **{name: None}), "field", id=f"no {name}")


ADDRESSES = (
    "",
    ":",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1: 80",
    "10.0.0.1:8080\r\n",
    "10.0.0.1:٣",
    "10.0.0.1:99999999999999999999",
    "10.0.0.256:80",
    "10.0.0:80",
    "10.0.0.1.1:80",
    "010.0.0.1:80",
    "host.example:80",
    "[::1]:80",
    "http://10.0.0.1:80",
    "10.0.0.1:80/path",
    "user@10.0.0.1:80",
)
BYTES = (
    b"",
    b"\x00",
    b"\xff\xfe{}",
    b"{",
    b"null",
    b"7",
    b"[]",
    b'"ready"',
    msgspec.json.encode(ENTRY)[:-1],
    msgspec.json.encode(ENTRY) + b"}",
    msgspec.json.encode(ENTRY)[:-1]
    + b',"more":'
    + b"[" * 99_999
    + b"]" * 99_999
    + b"}",
    msgspec.json.encode(ENTRY).replace(b"0.5", b"NaN"),
    msgspec.json.encode(ENTRY).replace(b"0.5", b"Infinity"),
)
BAD = [
    *other_types(),
    *missing(),
    *(
        pytest.param(changed(ENTRY, **{name: value}), reason, id=f"{name}={value!r}")
        for name, value, reason in (
            ("state", "new", "state"),
            ("state", "", "state"),
            ("state", "Ready", "state"),
            ("state", "draining ", "state"),
            ("zone", "zone-z", "zone"),
            ("zone", "", "zone"),
            ("service", "mystery", "service"),
            ("service", "", "service"),
            ("slots", 0, "field"),
            ("slots", -8, "field"),
            ("slots", 8.5, "field"),
            ("slots", 10**9, "field"),
            ("slots", 10**40, "field"),
            ("coldLeftS", -0.1, "field"),
            ("coldLeftS", 1e9, "field"),
            ("sequence", -1, "field"),
            ("sequence", 1.5, "field"),
            ("born", 1.5, "field"),
            ("born", float(BORN), "field"),
            ("born", str(BORN), "field"),
            ("born", -1, "field"),
            ("born", 10**40, "field"),
        )
    ),
    *(
        pytest.param(changed(ENTRY, address=text), "address", id=f"address={text!r}")
        for text in ADDRESSES
    ),
    *(pytest.param(raw, None, id=f"bytes {raw[:20]!r}") for raw in BYTES),
]
GOOD = [
    ENTRY,
    changed(ENTRY, born=None),
    changed(ENTRY, version=None),
    changed(ENTRY, version=7),
    changed(ENTRY, born=0),
    changed(ENTRY, coldLeftS=0),
    changed(ENTRY, zone="zone-b"),
    changed(ENTRY, slots=1),
    changed(ENTRY, address="10.0.0.1:65535"),
    changed(ENTRY, later={"field": [1]}),
]


@pytest.mark.parametrize("document", GOOD)
def test_a_good_entry_names_a_server(document):
    fleet = told()
    fleet.put("servers/i-3", document)
    assert fleet.members() == ["i-1", "i-2", "i-3"]
    assert fleet.refused() == []


@pytest.mark.parametrize(("document", "reason"), BAD)
def test_a_bad_entry_names_no_server_and_all_others_hold(document, reason):
    # Another writer's entry takes the place of a good one, and one comes at a new key.
    # Callers of the other server notice nothing. The log and the counter tell of each
    # once, however often the news comes. A good entry is taken again.
    fleet = told()
    fleet.put("servers/i-1", document)
    assert fleet.members() == ["i-2"]
    fleet.put("servers/i-3", document)
    assert fleet.members() == ["i-2"]
    assert [key for key, _ in fleet.refused()] == ["servers/i-1", "servers/i-3"]
    if reason is not None:
        assert fleet.refused()[0][1] == reason
        assert fleet.counted() == {reason: 2}
    assert sum(fleet.counted().values()) == 2
    fleet.put("servers/i-1", changed(ENTRY, born=BORN + 1))
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.view.servers.servers["i-1"].incarnation == Incarnation(
        "i-1", BORN + 1, "10.0.0.1:8080"
    )
    fleet.remove("servers/i-3")
    fleet.put("servers/i-3", ENTRY)
    assert fleet.members() == ["i-1", "i-2", "i-3"]


def test_a_draining_server_is_good_and_gets_nothing():
    fleet = told()
    fleet.put("servers/i-1", changed(ENTRY, state="draining"))
    assert fleet.members() == ["i-2"]
    assert fleet.refused() == []


@pytest.mark.parametrize(
    "key",
    [
        "servers/",
        "servers/a/b",
        "servers//a",
        "servers/a/",
        "servers/i 3",
        "servers/i\r\n3",
        "servers/ι-3",
        "servers/" + "i" * 300,
    ],
)
def test_a_key_of_another_shape_names_no_server(key):
    # A server's id goes into a header of each request to it. With a line break in it
    # every request that was placed there would fail.
    fleet = told()
    fleet.put(key, ENTRY)
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.refused() == [(key[:TEXT_MAX], "key")]


def test_an_entry_that_comes_before_the_configuration_that_names_its_service():
    # Operators add a service; its servers' entries come first. Forgotten, they would
    # get nothing when the configuration is in force, since they do not change.
    fleet = told()
    fleet.put("servers/i-3", changed(ENTRY, service="lifts"))
    assert fleet.members() == ["i-1", "i-2"]
    fleet.put("op/config", configuration(2, "booking", "lifts"))
    assert fleet.members() == ["i-1", "i-2", "i-3"]
    fleet.put("op/config", configuration(3, "lifts"))
    assert fleet.members() == ["i-3"]
    assert fleet.refused() == [
        ("servers/i-3", "service"),
        ("servers/i-1", "service"),
        ("servers/i-2", "service"),
    ]
    fleet.put("op/config", b"{")
    assert fleet.view.routes.version == 3
    assert fleet.members() == ["i-3"]


def test_entries_that_come_before_any_configuration():
    fleet = Told()
    fleet.put("servers/i-1", ENTRY)
    fleet.put("servers/i-2", changed(ENTRY, service="mystery"))
    fleet.put("op/config", configuration(1, "booking"))
    assert fleet.members() == ["i-1"]
    assert fleet.refused() == [("servers/i-2", "service")]


@pytest.mark.parametrize(
    ("key", "document", "reason"),
    [
        ("hosts/h1", changed(HOST, name="h2"), "key"),
        ("hosts/", changed(HOST, name=""), "key"),
        ("hosts/h1/x", HOST, "key"),
        ("hosts/h1", changed(HOST, zone="zone-z"), "zone"),
        ("hosts/h1", changed(HOST, region=None), "field"),
        ("hosts/h1", changed(HOST, front_address=7), "field"),
        ("hosts/h1", changed(HOST, front_address="h1:1"), "address"),
        ("hosts/h1", changed(HOST, peer_address="10.0.0.1:0"), "address"),
        ("hosts/h1", b"\xff", "unreadable"),
        ("hosts/h1", b"", "unreadable"),
    ],
)
def test_a_bad_entry_of_a_host_names_none(key, document, reason):
    # Exchanges with such a host would fail, and take the place of good ones.
    fleet = told()
    fleet.put("hosts/h1", HOST)
    fleet.put("hosts/h2", changed(HOST, name="h2"))
    assert set(fleet.view.hosts) == {"h1", "h2"}
    fleet.put(key, document)
    left = {"h2"} if key == "hosts/h1" else {"h1", "h2"}
    assert set(fleet.view.hosts) == left
    assert fleet.refused() == [(key, reason)]
    fleet.put("hosts/h1", HOST)
    assert set(fleet.view.hosts) == {"h1", "h2"}


@pytest.mark.parametrize("value", [b"", b"\xff", b"null", b"{}", b'{"zone": "zone-b"}'])
def test_an_evacuation_holds_whatever_its_value(value):
    fleet = told()
    fleet.put("op/evacuate/zone-a", value)
    assert fleet.members() == []
    fleet.remove("op/evacuate/zone-a")
    assert fleet.members() == ["i-1", "i-2"]


@pytest.mark.parametrize("zone", ["zone-z", "", "zone-a/x", "zone a", "ZONE-A"])
def test_an_evacuation_of_no_zone_empties_none(zone):
    fleet = told()
    fleet.put(f"op/evacuate/{zone}", {})
    fleet.remove(f"op/evacuate/{zone}")
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.view.evacuated_at == {}
    assert len(fleet.refused()) == 1


def test_lines_of_a_writer_that_never_ends_are_bounded_and_counts_are_not():
    fleet = told()
    for number in range(2 * int(LINES_AT_ONCE)):
        fleet.put(f"servers/{number}" + "x" * 999, b"x" * 999)
    lines = fleet.view.events.of(Event.RECORD_REFUSED)
    assert len(lines) == LINES_AT_ONCE
    assert all(len(line["key"]) <= TEXT_MAX for line in lines)
    assert sum(fleet.counted().values()) == 2 * LINES_AT_ONCE


@given(
    key=st.sampled_from(
        ["servers/i-1", "servers/", "servers/a/b", "hosts/h1", "op/evacuate/x", "other"]
    ),
    value=st.binary(max_size=64),
)
def test_any_bytes_leave_all_other_keys_as_they_were(key, value):
    fleet = told()
    fleet.put(key, value)
    assert "i-2" in fleet.members()
    assert set(fleet.members()) <= {"i-1", "i-2"}
    assert fleet.view.routes.version == 1


@given(value=st.binary(max_size=64))
def test_any_bytes_leave_the_configuration_in_force(value):
    fleet = told()
    fleet.put("op/config", value)
    assert fleet.view.routes.version == 1
    assert fleet.members() == ["i-1", "i-2"]


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(fields=st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON, max_size=3))
def test_an_entry_of_any_fields_is_good_as_a_whole_or_names_nothing(fields):
    fleet = told()
    fleet.put("servers/i-1", {**ENTRY, **fields})
    assert "i-2" in fleet.members()
    refused = fleet.refused()
    row = fleet.view.servers.servers.get("i-1")
    if refused:
        assert fleet.members() == ["i-2"]
    else:
        assert row is not None
        assert (row.service, row.zone) == ("booking", fields.get("zone", "zone-a"))
        assert row.slots == fields.get("slots", 8)
        assert row.born == fields.get("born", BORN)


@given(value=JSON)
def test_any_document_leaves_all_other_keys_as_they_were(value):
    fleet = told()
    fleet.put("servers/i-1", msgspec.json.encode(value))
    assert fleet.members() == ["i-2"]
