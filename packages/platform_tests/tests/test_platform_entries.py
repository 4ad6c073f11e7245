"""Invalid server entries affect only their own key.

An entry may lack fields, have fields of a wrong type, refer to an unknown zone or
service, or not be decodable. Its key then stands for no server, not even the one that
it stood for before, because another server may have replaced that one. All other keys
stay valid.
"""

import msgspec
import pytest
from told_entries import BORN, ENTRY, create_view_fixture, with_fields

from greengagepoint.placing.tables import Incarnation


def entries_with_a_wrong_type():
    """Yield entries with one field of a wrong type."""
    for name, value in ENTRY.items():
        wrong_values = [None, True, [], {}, [value]]
        if not isinstance(value, str):
            wrong_values.append(str(value))
        elif name != "version":
            wrong_values.append(7)
        for wrong_value in wrong_values:
            document = {**ENTRY, name: wrong_value}
            yield pytest.param(document, "field", id=f"{name}={wrong_value!r}")


def entries_without_a_field():
    """Yield entries that lack one field."""
    for name in ENTRY.keys() - {"born"}:
        yield pytest.param(with_fields(ENTRY, **{name: None}), "field", id=f"no {name}")


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
INVALID_ENTRIES = [
    *entries_with_a_wrong_type(),
    *entries_without_a_field(),
    *(
        pytest.param(
            with_fields(ENTRY, **{name: value}), reason, id=f"{name}={value!r}"
        )
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
            ("sequence", 2**63, "field"),
            ("sequence", 2**64, "field"),
            ("born", 1.5, "field"),
            ("born", float(BORN), "field"),
            ("born", str(BORN), "field"),
            ("born", -1, "field"),
            ("born", 10**40, "field"),
        )
    ),
    *(
        pytest.param(
            with_fields(ENTRY, address=text), "address", id=f"address={text!r}"
        )
        for text in ADDRESSES
    ),
    *(pytest.param(raw, None, id=f"bytes {raw[:20]!r}") for raw in BYTES),
]
VALID_ENTRIES = [
    ENTRY,
    with_fields(ENTRY, born=None),
    with_fields(ENTRY, version=7),
    with_fields(ENTRY, born=0),
    with_fields(ENTRY, coldLeftS=0),
    with_fields(ENTRY, zone="zone-b"),
    with_fields(ENTRY, slots=1),
    with_fields(ENTRY, sequence=2**63 - 1),
    with_fields(ENTRY, address="10.0.0.1:65535"),
    with_fields(ENTRY, later={"field": [1]}),
]


@pytest.mark.parametrize("document", VALID_ENTRIES)
def test_a_valid_entry_adds_a_server(document):
    fleet = create_view_fixture()
    fleet.put("servers/i-3", document)
    assert fleet.members() == ["i-1", "i-2", "i-3"]
    assert fleet.refused() == []


@pytest.mark.parametrize(("document", "reason"), INVALID_ENTRIES)
def test_an_invalid_entry_removes_only_its_own_server(document, reason):
    # An invalid entry replaces a valid one, and another one is put at a new key. The
    # other server stays usable. Each invalid entry is logged and counted once, however
    # often the update arrives. A valid entry is accepted again afterwards.
    fleet = create_view_fixture()
    fleet.put("servers/i-1", document)
    assert fleet.members() == ["i-2"]
    fleet.put("servers/i-3", document)
    assert fleet.members() == ["i-2"]
    assert [key for key, _ in fleet.refused()] == ["servers/i-1", "servers/i-3"]
    if reason is not None:
        assert fleet.refused()[0][1] == reason
        assert fleet.rejection_counts() == {reason: 2}
    assert sum(fleet.rejection_counts().values()) == 2
    fleet.put("servers/i-1", with_fields(ENTRY, born=BORN + 1))
    assert fleet.members() == ["i-1", "i-2"]
    assert fleet.view.servers.servers["i-1"].incarnation == Incarnation(
        "i-1", BORN + 1, "10.0.0.1:8080"
    )
    fleet.remove("servers/i-3")
    fleet.put("servers/i-3", ENTRY)
    assert fleet.members() == ["i-1", "i-2", "i-3"]


def test_a_draining_server_is_valid_and_gets_no_requests():
    fleet = create_view_fixture()
    fleet.put("servers/i-1", with_fields(ENTRY, state="draining"))
    assert fleet.members() == ["i-2"]
    assert fleet.refused() == []
