"""Arbitrary keys and values of other writers affect only their own key."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from told_entries import (
    BORN,
    ENTRY,
    HOST,
    ViewFixture,
    configuration,
    create_view_fixture,
    with_fields,
)

from greengagepoint.events import Event
from greengagepoint_node.gateway.entry_checks import BORN_MAX
from greengagepoint_node.gateway.rejected_items import LINES_BURST, TEXT_MAX


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
def test_an_invalid_server_key_adds_no_server(key):
    # A server's id is sent in a header of each request to it. An id with a line break
    # would make every request to that server fail.
    fleet = create_view_fixture()
    fleet.put(key, ENTRY)
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.refused() == [(key[:TEXT_MAX], "key")]


def test_an_entry_that_arrives_before_the_configuration_of_its_service():
    # Operators add a service, and its servers' entries arrive before the configuration.
    # If they were dropped, these servers would get no requests under the new
    # configuration, because their entries do not change again.
    fleet = create_view_fixture()
    fleet.put("servers/i-3", with_fields(ENTRY, service="lifts"))
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
    fleet.put("op/config", configuration(4, "lifts"))
    assert len(fleet.refused()) == 3
    fleet.remove("servers/i-1")
    fleet.put("servers/i-1", ENTRY)
    assert len(fleet.refused()) == 4
    fleet.put("op/config", b"{")
    assert fleet.view.routes.version == 4
    assert fleet.members() == ["i-3"]


def test_entries_that_arrive_before_any_configuration():
    fleet = ViewFixture()
    fleet.put("servers/i-1", ENTRY)
    fleet.put("servers/i-2", with_fields(ENTRY, service="mystery"))
    fleet.put("op/config", configuration(1, "booking"))
    assert fleet.members() == ["i-1"]
    assert fleet.refused() == [("servers/i-2", "service")]


@pytest.mark.parametrize(
    ("key", "document", "reason"),
    [
        ("hosts/h1", with_fields(HOST, name="h2"), "key"),
        ("hosts/", with_fields(HOST, name=""), "key"),
        ("hosts/h1/x", HOST, "key"),
        ("hosts/h1", with_fields(HOST, zone="zone-z"), "zone"),
        ("hosts/h1", with_fields(HOST, region=None), "field"),
        ("hosts/h1", with_fields(HOST, front_address=7), "field"),
        ("hosts/h1", with_fields(HOST, link_mbps=-1), "field"),
        ("hosts/h1", with_fields(HOST, link_mbps=1e18), "field"),
        ("hosts/h1", with_fields(HOST, front_address="h1:1"), "address"),
        ("hosts/h1", with_fields(HOST, peer_address="10.0.0.1:0"), "address"),
        ("hosts/h1", b"\xff", "unreadable"),
        ("hosts/h1", b"", "unreadable"),
    ],
)
def test_an_invalid_host_entry_adds_no_host(key, document, reason):
    # Exchanges with such a host would fail and reduce the number of useful ones.
    fleet = create_view_fixture()
    fleet.put("hosts/h1", HOST)
    fleet.put("hosts/h2", with_fields(HOST, name="h2"))
    assert set(fleet.view.hosts) == {"h1", "h2"}
    fleet.put(key, document)
    remaining = {"h2"} if key == "hosts/h1" else {"h1", "h2"}
    assert set(fleet.view.hosts) == remaining
    assert fleet.refused() == [(key, reason)]
    fleet.put("hosts/h1", HOST)
    assert set(fleet.view.hosts) == {"h1", "h2"}


@pytest.mark.parametrize("value", [b"", b"\xff", b"null", b"{}", b'{"zone": "zone-b"}'])
def test_an_evacuation_is_applied_whatever_its_value(value):
    fleet = create_view_fixture()
    fleet.put("op/evacuate/zone-a", value)
    assert fleet.members() == []
    fleet.remove("op/evacuate/zone-a")
    assert fleet.members() == ["i-1", "i-2"]


@pytest.mark.parametrize("zone", ["zone-z", "", "zone-a/x", "zone a", "ZONE-A"])
def test_an_evacuation_of_an_unknown_zone_is_refused(zone):
    fleet = create_view_fixture()
    fleet.put(f"op/evacuate/{zone}", {})
    fleet.remove(f"op/evacuate/{zone}")
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.view.evacuated_at == {}
    assert fleet.refused() == [(f"op/evacuate/{zone}", "zone")]


def test_a_zone_in_the_settings_can_be_evacuated_whatever_its_name():
    fleet = create_view_fixture()
    fleet.view.zones["zone ζ/1"] = "north"
    fleet.put("op/evacuate/zone ζ/1", {})
    assert list(fleet.view.evacuated_at) == ["zone ζ/1"]


def test_log_lines_of_refused_items_are_limited_and_counts_are_not():
    fleet = create_view_fixture()
    for number in range(2 * int(LINES_BURST)):
        fleet.put(f"servers/{number}" + "x" * 999, b"x" * 999)
    lines = fleet.view.events.of(Event.RECORD_REFUSED)
    assert len(lines) == LINES_BURST
    assert all(len(line["key"]) <= TEXT_MAX for line in lines)
    assert sum(fleet.rejection_counts().values()) == 2 * LINES_BURST


@given(
    key=st.sampled_from(
        ["servers/i-1", "servers/", "servers/a/b", "hosts/h1", "op/evacuate/x", "other"]
    ),
    value=st.binary(max_size=64),
)
def test_arbitrary_bytes_do_not_affect_other_keys(key, value):
    fleet = create_view_fixture()
    fleet.put(key, value)
    assert "i-2" in fleet.members()
    assert set(fleet.members()) <= {"i-1", "i-2"}
    assert fleet.view.routes.version == 1


@given(value=st.binary(max_size=64))
def test_arbitrary_bytes_do_not_replace_the_configuration(value):
    fleet = create_view_fixture()
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
def test_an_entry_with_arbitrary_fields_is_accepted_or_refused_as_a_whole(fields):
    fleet = create_view_fixture()
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
def test_an_arbitrary_document_does_not_affect_other_keys(value):
    fleet = create_view_fixture()
    fleet.put("servers/i-1", msgspec.json.encode(value))
    assert fleet.members() == ["i-2"]


QUARANTINE = {"content": "c", "seconds": 1.0, "ends": []}
DOCUMENTS = {
    "servers/i-1": (ENTRY, ENTRY.keys() - {"born"}),
    "servers/i-3": (ENTRY, ENTRY.keys() - {"born"}),
    "hosts/h1": (HOST, HOST.keys()),
    "quarantine/c": (QUARANTINE, QUARANTINE.keys()),
    "op/config": (configuration(2, "booking"), {"version", "listeners", "clusters"}),
}
RAW_VALUES = st.sampled_from(
    [
        b"9" * 5_000,
        b"1e999",
        b"NaN",
        b"-1",
        b"9223372036854775808",
        b"[" * 2_000 + b"]" * 2_000,
        b'{"a":' * 2_000 + b"1" + b"}" * 2_000,
        b'"\xff"',
        b'"' + b"x" * 5_000 + b'"',
        b"",
    ]
) | JSON.map(msgspec.json.encode)


@st.composite
def spoilt_documents(draw):
    """Draw a key and an encoded document with fields missing, doubled or replaced."""
    key = draw(st.sampled_from(sorted(DOCUMENTS)))
    document, required = DOCUMENTS[key]
    names = st.sampled_from(sorted(document))
    missing = draw(st.sets(names, max_size=2))
    kept = [
        (name, msgspec.json.encode(value))
        for name, value in document.items()
        if name not in missing
    ]
    replaced = draw(st.dictionaries(names, RAW_VALUES, max_size=2))
    rows = [(name, replaced.get(name, value)) for name, value in kept]
    rows += draw(st.lists(st.sampled_from(kept), max_size=2)) if kept else []
    text = b",".join(b'"%s":%s' % (name.encode(), value) for name, value in rows)
    return key, b"{" + text + b"}", bool(missing & required), not (missing or replaced)


@given(spoilt=spoilt_documents())
def test_a_spoilt_document_affects_its_own_key_only(spoilt):
    # It is used as a whole or refused by name, and the key's next sound one is used.
    key, value, is_incomplete, is_sound = spoilt
    fleet = create_view_fixture()
    fleet.put("hosts/h2", with_fields(HOST, name="h2"))
    fleet.put(key, value)
    refused = [name for name, _ in fleet.refused()]
    assert set(refused) <= {key}
    if is_incomplete:
        assert refused == [key]
    if is_sound:
        assert refused == []
    assert "h2" in fleet.view.hosts
    assert "i-2" in fleet.members() or fleet.view.routes.version == 2
    if refused and key.startswith("servers/"):
        assert key.removeprefix("servers/") not in fleet.members()
    if refused and key == "op/config":
        assert fleet.view.routes.version == 1
    if refused and key == "hosts/h1":
        assert "h1" not in fleet.view.hosts
    if key.startswith("servers/"):
        fleet.put(key, with_fields(ENTRY, born=BORN_MAX))
        assert key.removeprefix("servers/") in fleet.members()
