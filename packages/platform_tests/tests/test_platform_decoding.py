import msgspec
import pytest

from greengagepoint.errors import RecordError, SettingError
from greengagepoint.routing.tables import RequestKind, find_route
from greengagepoint_node.gateway.store_types import Evacuation, HostEntry, StoredItem
from greengagepoint_platform.configuration import decode_in_steps
from greengagepoint_platform.decoding import decode_item, key_of
from greengagepoint_platform.settings import daemon_settings, read_settings_file

CONFIGURATION = {
    "version": "r12",
    "limits": {"maxBodyBytes": 9, "headerTimeoutS": 3, "new": 1},
    "listeners": [
        {
            "host": "a.example",
            "rules": [
                {
                    "name": "r-1",
                    "kind": "safe",
                    "targetLatencyS": 0.4,
                    "priority": 2,
                    "sticky": True,
                    "match": {"pathPrefix": "/bays/"},
                    "action": {
                        "trafficSplit": [
                            {"service": "one", "weight": 90},
                            {"service": "two", "weight": 10},
                        ],
                        "timeoutS": 1.2,
                        "maxAttempts": 3,
                        "allowedRegions": ["attiki"],
                    },
                },
                {
                    "name": "r-2",
                    "match": {"pathPrefix": "/pay/"},
                    "action": {"service": "one"},
                },
            ],
        }
    ],
    "clusters": [{"name": "one", "maxConns": 390, "coldStartS": 3.0, "coldPerS": 16.0}],
}


def item(key, document):
    return StoredItem(key, msgspec.json.encode(document), 7)


def test_a_configuration_is_decoded_to_routes():
    table = decode_item(item("op/config", CONFIGURATION)).table
    assert table.version == 12
    route = find_route(table, "a.example", "/bays/2f")
    assert [(part.service, part.weight) for part in route.destinations] == [
        ("one", 90),
        ("two", 10),
    ]
    assert (route.kind, route.goal_seconds, route.rank) == (RequestKind.SAFE, 0.4, 2)
    assert (route.timeout_seconds, route.attempts_max) == (1.2, 3)
    assert route.affinity
    assert route.home_regions == frozenset({"attiki"})
    assert table.services["one"].cold_requests_per_second == 16.0
    assert table.limits.body_bytes == 9


@pytest.mark.parametrize(
    ("fields", "path"),
    [({}, ""), ({"healthPath": None}, ""), ({"healthPath": "/healthz"}, "/healthz")],
    ids=str,
)
def test_the_health_path_of_a_service_is_optional(fields, path):
    # A configuration that is refused for a field without a value changes nothing.
    changed = msgspec.json.decode(msgspec.json.encode(CONFIGURATION))
    changed["clusters"][0] |= fields
    table = decode_item(item("op/config", changed)).table
    assert table.services["one"].health_path == path


def test_the_highest_version_is_accepted():
    changed = {**CONFIGURATION, "version": f"r{2**63 - 1}"}
    assert decode_item(item("op/config", changed)).table.version == 2**63 - 1


def test_an_upload_rule_is_decoded_and_not_repeatable():
    """Guards against rejecting the configuration, or repeating a large body."""
    changed = msgspec.json.decode(msgspec.json.encode(CONFIGURATION))
    changed["listeners"][0]["rules"][0]["kind"] = "upload"
    route = find_route(
        decode_item(item("op/config", changed)).table, "a.example", "/bays/2f"
    )
    assert route.kind is RequestKind.UPLOAD
    assert not route.repeatable


def test_a_rule_without_a_kind_is_not_repeatable():
    table = decode_item(item("op/config", CONFIGURATION)).table
    assert not find_route(table, "a.example", "/pay/").repeatable


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"version": 5}, "version"),
        ({"version": "new"}, "new"),
        ({"version": "r-1"}, "the version is negative"),
        ({"version": f"r{2**63}"}, "the version .* does not fit into 64 bits"),
        ({"version": "r" + "9" * 30}, "the version .* does not fit into 64 bits"),
        ({"version": "r" + "9" * 5_000}, "digits"),
        ({"listeners": [{"rules": []}]}, "host"),
        ({"listeners": [{"host": "a", "rules": [{"name": "r"}]}]}, "match"),
    ],
)
def test_an_invalid_configuration_names_the_field(change, message):
    with pytest.raises(RecordError, match=message) as caught:
        decode_item(item("op/config", {**CONFIGURATION, **change}))
    assert caught.value.field == "op/config"


ACCOUNTS = [
    {
        "name": "one",
        "apiKeys": ["secret-1", "secret-2"],
        "priority": 1,
        "ratePerS": 172,
        "burst": 90,
        "allowedRegions": ["attiki"],
    },
    {"name": "two", "apiKeys": ["secret-3"]},
    {"name": "three"},
]


def test_accounts_are_found_by_each_of_their_keys():
    table = decode_item(item("op/config", {**CONFIGURATION, "tenants": ACCOUNTS}))
    accounts = table.table.accounts
    names = {key: account.name for key, account in accounts.by_key.items()}
    assert names == {"secret-1": "one", "secret-2": "one", "secret-3": "two"}
    one, two, _ = accounts.by_name.values()
    assert (one.rank, one.requests_per_second, one.burst) == (1, 172, 90)
    assert one.home_regions == frozenset({"attiki"})
    assert (two.rank, two.limited) == (None, False)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"apiKeys": ["secret-3"]}, "one and two have the same account key"),
        ({"name": "two"}, "duplicate account two"),
        ({"name": ""}, "name must be non-empty printable ASCII"),
        ({"name": "a b"}, "name must be non-empty printable ASCII"),
        ({"name": "a\r\nX: 1"}, "name must be non-empty printable ASCII"),
        ({"name": "a" * 300}, "longer than 255"),
        ({"ratePerS": -1}, "negative"),
        ({"burst": -0.5}, "negative"),
        ({"apiKeys": [""]}, "empty key"),
        ({"apiKeys": "secret-1"}, r"tenants\[0\]"),
        ({"ratePerS": "secret-1"}, r"tenants\[0\]"),
    ],
)
def test_invalid_accounts_are_refused_without_exposing_a_key(change, message):
    rows = [{**ACCOUNTS[0], **change}, *ACCOUNTS[1:]]
    with pytest.raises(RecordError, match=message) as caught:
        decode_item(item("op/config", {**CONFIGURATION, "tenants": rows}))
    assert "secret" not in caught.value.detail


def test_each_account_is_decoded_in_a_step_of_its_own():
    rows = [{"name": f"a-{number}"} for number in range(500)]
    stored = item("op/config", {**CONFIGURATION, "tenants": rows})
    *before, _ = decode_in_steps(stored)
    assert len(before) == 4 + len(rows)


def rules(*changes):
    """Return a configuration of three rules with changes by index."""
    rows = [
        {
            "name": f"r-{index}",
            "match": {"pathPrefix": f"/p-{index}/"},
            "action": {"service": "one"},
        }
        for index in range(3)
    ]
    for index, change in changes:
        rows[index] = {**rows[index], **change}
    return {**CONFIGURATION, "listeners": [{"host": "a.example", "rules": rows}]}


def test_decoding_in_steps_gives_the_same_configuration():
    stored = item("op/config", CONFIGURATION)
    *before, last = decode_in_steps(stored)
    assert last == decode_item(stored)
    # One step each for the document, two rules and a cluster.
    assert before == [None] * 4


def test_only_a_configuration_is_decoded_in_steps():
    assert decode_in_steps(item("servers/i-1", CONFIGURATION)) is None


@pytest.mark.parametrize(
    ("document", "message", "steps"),
    [
        (rules((2, {"match": {}})), r"pathPrefix.*listeners\[0\]\.rules\[2\]", 3),
        (rules((1, {"kind": "odd"})), r"odd.*listeners\[0\]\.rules\[1\]", 2),
        (rules((0, {"action": {}})), "r-0 names no service", 1),
        ({**CONFIGURATION, "clusters": [{}]}, r"name.*clusters\[0\]", 3),
        ({**CONFIGURATION, "version": 5}, "version", 0),
    ],
)
def test_an_invalid_part_of_a_configuration_is_named(document, message, steps):
    decoding = decode_in_steps(item("op/config", document))
    for _ in range(steps):
        assert next(decoding) is None
    with pytest.raises(RecordError, match=message) as caught:
        next(decoding)
    assert caught.value.field == "op/config"


def test_a_configuration_nested_too_deep_is_refused():
    # The decoder raises RecursionError, not an error of msgspec. If it is not handled,
    # it ends the task that follows the store.
    value = b'{"new":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    with pytest.raises(RecordError, match="recursion"):
        decode_item(StoredItem("op/config", value, 1))


def test_listeners_whose_host_names_differ_only_in_case_are_merged():
    listeners = [
        {"host": host, "rules": [{**rule, "match": {"pathPrefix": f"/{host}/"}}]}
        for host, rule in zip(
            ("a.example", "A.Example"), rules()["listeners"][0]["rules"], strict=False
        )
    ]
    table = decode_item(item("op/config", {**CONFIGURATION, "listeners": listeners}))
    for host in ("a.example", "A.Example"):
        assert find_route(table.table, "A.EXAMPLE", f"/{host}/") is not None


@pytest.mark.parametrize(("state", "leaving"), [("ready", False), ("draining", True)])
def test_a_draining_server_is_leaving(state, leaving):
    entry = decode_item(
        item(
            "servers/i-1",
            {
                "service": "one",
                "address": "10.0.0.1:80",
                "zone": "z",
                "version": "4.2",
                "slots": 9,
                "state": state,
                "coldLeftS": 2.5,
                "sequence": 4,
                "born": 1_765_000_000_123,
            },
        )
    )
    assert (entry.instance, entry.slots, entry.cold_seconds) == ("i-1", 9, 2.5)
    assert entry.leaving is leaving
    assert entry.born == 1_765_000_000_123


def test_evacuation_and_host_keys_are_decoded_and_unknown_keys_ignored():
    assert decode_item(item("op/evacuate/z-1", {})) == Evacuation("z-1")
    assert decode_item(item("other/1", {})) is None
    host = HostEntry("h", "north", "z", "10.0.0.1:1", "10.0.0.1:2")
    assert decode_item(StoredItem(key_of(host), msgspec.json.encode(host), 1)) == host


SETTINGS = {
    "nodeName": "front-1",
    "zone": "z",
    "region": "north",
    "zones": {"z": "north"},
    "listen": {
        "front": "a:1",
        "readiness": "a:2",
        "directory": "a:3",
        "control": "a:4",
    },
    "seeds": ["a:4"],
    "bounds": {"graceS": 6, "retryBudgetRatio": 0.2, "budgetSlack": 64, "new": True},
    "platform": {"address": "10.200.1.7:8142", "form": "kv"},
    "dataDir": None,
    "later": {},
}


def test_settings(tmp_path):
    path = tmp_path / "local.json"
    path.write_bytes(msgspec.json.encode(SETTINGS))
    settings = daemon_settings(read_settings_file(path))
    assert (settings.host, settings.stop_seconds) == ("front-1", 6)
    assert (settings.retry_ratio, settings.retry_slack) == (0.2, 64)
    assert settings.peer_address == "a:4"
    assert settings.link_mbps == 0


@pytest.mark.parametrize(
    ("limits", "link_mbps"),
    [({"linkMbps": 5.0, "cpus": 1}, 5.0), ({"linkMbps": None}, 0.0), ({}, 0.0)],
)
def test_the_link_rate_is_optional_in_the_settings(tmp_path, limits, link_mbps):
    path = tmp_path / "local.json"
    path.write_bytes(msgspec.json.encode({**SETTINGS, "limits": limits}))
    assert daemon_settings(read_settings_file(path)).link_mbps == link_mbps


@pytest.mark.parametrize(
    ("limits", "memory_mb"),
    [({"memoryMb": 300, "cpus": 1}, 300.0), ({"memoryMb": None}, 0.0), ({}, 0.0)],
)
def test_the_memory_is_optional_in_the_settings(tmp_path, limits, memory_mb):
    path = tmp_path / "local.json"
    path.write_bytes(msgspec.json.encode({**SETTINGS, "limits": limits}))
    assert daemon_settings(read_settings_file(path)).memory_mb == memory_mb


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"zone": None}, r"\$\.zone"),
        ({"listen": {"front": "a:1"}}, "readiness"),
        ({"bounds": {"graceS": "6"}}, r"\$\.bounds\.graceS"),
    ],
)
def test_invalid_settings_name_the_field(tmp_path, change, message):
    path = tmp_path / "local.json"
    path.write_bytes(msgspec.json.encode({**SETTINGS, **change}))
    with pytest.raises(SettingError, match=message):
        read_settings_file(path)


def test_a_missing_settings_file_is_named(tmp_path):
    with pytest.raises(SettingError, match="absent.json"):
        read_settings_file(tmp_path / "absent.json")


ENDS = [["i-1", 5, "caller", 200, False]]


@pytest.mark.parametrize(
    ("key", "document", "valid"),
    [
        ("quarantine/c", {"content": "c", "seconds": 30, "ends": ENDS}, True),
        ("quarantine/d", {"content": "c", "seconds": 30, "ends": ENDS}, False),
        ("quarantine/c", {"content": "c", "seconds": -1, "ends": ENDS}, False),
        ("quarantine/c", {"content": "c", "seconds": 1e9, "ends": ENDS}, False),
        ("quarantine/c", {"content": "c", "seconds": 30}, False),
        (
            "quarantine/c",
            {"content": "c", "seconds": 30, "ends": [["i-1", 5, "caller", -9, False]]},
            False,
        ),
    ],
)
def test_quarantine_entries_are_validated(key, document, valid):
    if not valid:
        with pytest.raises(RecordError):
            decode_item(item(key, document))
        return
    entry = decode_item(item(key, document))
    assert (entry.content, entry.ends[0].instance) == ("c", "i-1")
    assert key_of(entry) == key
