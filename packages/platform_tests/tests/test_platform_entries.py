"""What other writers' entries do to hosts: nothing beyond their own key.

An entry may lack fields, have them of another type, name what nobody knows, or be bytes
that can't be read. Its key names no server then, also not the one that it named before:
whoever wrote it may have taken the place of that one. All other keys hold.
"""

import msgspec
import pytest
from told_entries import BORN, ENTRY, create_view_fixture, with_fields

from greengagepoint.placing.tables import Incarnation


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
BAD = [
    *other_types(),
    *missing(),
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
GOOD = [
    ENTRY,
    with_fields(ENTRY, born=None),
    with_fields(ENTRY, version=None),
    with_fields(ENTRY, version=7),
    with_fields(ENTRY, born=0),
    with_fields(ENTRY, coldLeftS=0),
    with_fields(ENTRY, zone="zone-b"),
    with_fields(ENTRY, slots=1),
    with_fields(ENTRY, address="10.0.0.1:65535"),
    with_fields(ENTRY, later={"field": [1]}),
]


@pytest.mark.parametrize("document", GOOD)
def test_a_good_entry_names_a_server(document):
    fleet = create_view_fixture()
    fleet.put("servers/i-3", document)
    assert fleet.members() == ["i-1", "i-2", "i-3"]
    assert fleet.refused() == []


@pytest.mark.parametrize(("document", "reason"), BAD)
def test_a_bad_entry_names_no_server_and_all_others_hold(document, reason):
    # Another writer's entry takes the place of a good one, and one comes at a new key.
    # Callers of the other server notice nothing. The log and the counter tell of each
    # once, however often the news comes. A good entry is taken again.
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


def test_a_draining_server_is_good_and_gets_nothing():
    fleet = create_view_fixture()
    fleet.put("servers/i-1", with_fields(ENTRY, state="draining"))
    assert fleet.members() == ["i-2"]
    assert fleet.refused() == []
