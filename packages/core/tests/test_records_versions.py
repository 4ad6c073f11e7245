"""Test records of several schema versions side by side."""

import pytest

from greengagepoint.config.entries import Change
from greengagepoint.config.log import ConfigLog, apply_entry, effective, not_understood
from greengagepoint.config.preparing import prepare
from greengagepoint.config.snapshot import load_snapshot, take_snapshot
from greengagepoint.errors import ErrorKind, RecordError
from greengagepoint.records.difference import diff
from greengagepoint.records.loading import RecordDocument
from greengagepoint.records.schemas import (
    NEWEST_VERSIONS,
    RecordKind,
    RequestClass,
    Route,
    StoreOutage,
)
from greengagepoint.records.versions import decode, merge_unknown

OLD_DAEMON = {**NEWEST_VERSIONS, RecordKind.SERVICE: 1}
SITE = {
    "region": "attiki",
    "zone": "attiki-a",
    "capacity": 10,
}
REGION = {"zones": ["attiki-a"], "capacity": 10}


def service(version: int, **fields) -> RecordDocument:
    return RecordDocument(
        kind="service",
        name="booking",
        schema_version=version,
        fields={"sites": ["attiki-1"]} | fields,
    )


V2 = service(
    2,
    routes=[
        {"path": "/pay", "needs_key": True},
        {"path": "/", "deadline_ms": 700},
    ],
    store_outage="memory_only",
    lookup_ttl_seconds=9,
)


def changed(*documents: RecordDocument) -> list[Change]:
    return [Change(kind=d.kind, name=d.name, document=d) for d in documents]


def write(log: ConfigLog, *documents: RecordDocument) -> None:
    entry = prepare(log, changed(*documents), "maria", f"w{log.generation}", 0)
    apply_entry(log, entry)


def log_with_places(newest=NEWEST_VERSIONS) -> ConfigLog:
    log = ConfigLog(newest)
    write(
        log,
        RecordDocument(kind="region", name="attiki", schema_version=1, fields=REGION),
        RecordDocument(kind="site", name="attiki-1", schema_version=1, fields=SITE),
    )
    return log


def test_version_1_becomes_one_route_for_all_paths():
    record = decode(service(1, request_class="payment", needs_key=True))
    assert record.routes == (
        Route(path="/", request_class=RequestClass.PAYMENT, needs_key=True),
    )
    assert decode(service(1, deadline_ms=45_000)).max_deadline_ms == 45_000


@pytest.mark.parametrize(
    ("previous", "new", "kept", "version"),
    [
        (None, service(1), {}, 0),
        (service(1), service(2), {}, 0),
        (service(2), service(2), {}, 0),
        (service(2, lookup_ttl_seconds=9), service(1), {"lookup_ttl_seconds": 9}, 2),
        (
            service(1, deadline_ms=3),
            service(1, deadline_ms=4),
            {},
            0,
        ),
    ],
)
def test_older_writer_keeps_what_it_does_not_know(previous, new, kept, version):
    merged = merge_unknown(previous, new)
    assert (merged.fields, merged.kept) == (new.fields, kept)
    assert merged.kept_version == version


def test_old_and_new_writer_take_turns():
    """A writer at version 1 changes a record that is at version 2.

    Its one deadline goes to the route for all paths. The payment route and the
    settings that version 1 can't express stay, also after its second change, and
    a writer at version 2 then sees and replaces all of them.
    """
    log = log_with_places()
    write(log, V2)
    for deadline_ms in (800, 900):
        write(log, service(1, deadline_ms=deadline_ms))
        record = effective(log).services["booking"]
        assert {route.path: route.deadline_ms for route in record.routes} == {
            "/": deadline_ms,
            "/pay": 10_000,
        }
        assert record.store_outage is StoreOutage.MEMORY_ONLY
        assert record.lookup_ttl_seconds == 9
    write(log, service(2, lookup_ttl_seconds=4))
    record = effective(log).services["booking"]
    assert (record.routes, record.lookup_ttl_seconds) == ((), 4)


def test_old_daemon_keeps_what_it_last_understood():
    """A daemon that knows version 1 meets version 2 in the log.

    The last document that it understands stays in force there and is reported,
    whether it followed the log or began from a snapshot; all else goes on.
    """
    new = log_with_places()
    write(new, service(1, deadline_ms=800))
    old = ConfigLog(OLD_DAEMON)
    write(new, V2)
    for entry in new.tail:
        apply_entry(old, entry)
    snapshot = take_snapshot(new)
    restarted = load_snapshot(snapshot.manifest, snapshot.parts, OLD_DAEMON)
    for log in (old, restarted):
        assert log.digest == new.digest
        assert effective(log).services["booking"].routes[0].deadline_ms == 800
        (fault,) = not_understood(log)
        assert fault.kind is ErrorKind.RECORD_SCHEMA_UNKNOWN
        assert fault.record == "service/booking"
    assert not not_understood(new)


def test_write_through_an_old_daemon_reaches_new_ones():
    """An operator writes version 1 through a daemon that knows only that.

    The record is at version 2, which this daemon can't read. New daemons get the
    change with everything of version 2 that it doesn't touch.
    """
    new = log_with_places()
    old = ConfigLog(OLD_DAEMON)
    write(new, V2)
    for entry in new.tail:
        apply_entry(old, entry)
    assert "booking" not in effective(old).services
    write(old, service(1, deadline_ms=650))
    apply_entry(new, old.tail[-1])
    assert effective(old).services["booking"].routes[0].deadline_ms == 650
    record = effective(new).services["booking"]
    assert {route.path for route in record.routes} == {"/", "/pay"}
    assert record.lookup_ttl_seconds == 9


def test_old_daemon_refuses_to_write_a_newer_version():
    log = log_with_places(OLD_DAEMON)
    with pytest.raises(RecordError, match="schema version 2 is not known") as caught:
        write(log, V2)
    assert caught.value.kind is ErrorKind.RECORD_SCHEMA_UNKNOWN
    assert caught.value.accepted == "a whole number from 1 to 1"


def test_snapshot_holds_the_same_records():
    log = log_with_places()
    write(log, V2)
    snapshot = take_snapshot(log)
    loaded = load_snapshot(snapshot.manifest, snapshot.parts)
    assert effective(loaded) == effective(log)
    write(loaded, service(2))
    write(log, service(2))
    assert loaded.digest == log.digest


def test_difference_names_fields():
    wanted = service(2, routes=[{"path": "/pay", "needs_key": False}])
    current = service(2, routes=[{"path": "/pay", "needs_key": True}])
    (difference,) = diff([current], [wanted])
    assert difference.change == "change"
    assert difference.fields == (("routes[0].needs_key", True, False),)
    assert diff([current], [current]) == []
    assert diff([current], [], delete_absent=True)[0].change == "delete"
    assert diff([], [wanted])[0].change == "create"
