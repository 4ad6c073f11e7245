import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.placing.demand_mode import DemandMode
from greengagepoint.routing.split import WeightedSplit
from greengagepoint.routing.tables import (
    CallerLimits,
    Destination,
    RequestKind,
    Route,
    RouteTableBuilder,
    create_route_table,
    find_route,
)


def route(name, prefix, *destinations):
    return Route(
        name=name,
        prefix=prefix,
        destinations=destinations or (Destination("booking"),),
    )


TABLE = create_route_table(
    7,
    {
        "a.example": [
            route("all", "/"),
            route("pay", "/pay/"),
            route("in", "/pay/in/"),
        ],
        "B.example": [route("bays", "/bays/")],
    },
    [],
    CallerLimits(),
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/pay/in/1", "in"),
        ("a.example", "/pay/1", "pay"),
        ("a.example", "/pay", "all"),
        ("a.example:8080", "/pay/1", "pay"),
        ("A.EXAMPLE", "/pay/1", "pay"),
        ("b.example", "/bays/2f", "bays"),
        ("b.example", "/baysitters/", None),
        ("b.example", "/", None),
        ("c.example", "/pay/1", None),
        ("", "/pay/1", None),
    ],
)
def test_find_route_returns_the_longest_prefix_of_the_host(host, path, name):
    found = find_route(TABLE, host, path)
    assert (found.name if found else None) == name


HOST_NAMES = st.sampled_from(["a.example", "A.example", "b.example", "c.example"])
PORTS = st.sampled_from(["", ":80", ":x"])
PATHS = st.lists(st.sampled_from(["a", "b", "ab", "", "%2f"]), max_size=4).map(
    lambda parts: "".join(f"/{part}" for part in parts) + "/"
)

# The platform's prefixes end with a slash, but the table accepts any prefix.
PREFIXES = st.one_of(PATHS, PATHS.map(lambda path: path[:-1]), PATHS.map("{}a".format))


def scan_for_route(rows, host, path):
    """Return the name of the first route with the longest prefix, by a linear scan."""
    name, _, port = host.partition(":")
    matches = [
        row
        for route_host, row in rows
        if route_host.lower() == (name if port in ("", "80") else host).lower()
        and path.startswith(row.prefix)
    ]
    return max(matches, key=lambda row: len(row.prefix)).name if matches else None


@given(
    rows=st.lists(st.tuples(HOST_NAMES, PREFIXES), max_size=12),
    host=st.tuples(HOST_NAMES, PORTS).map("".join),
    path=st.tuples(PATHS, st.sampled_from(["", "a", "a?b=/a/"])).map("".join),
)
def test_a_look_up_finds_what_a_scan_of_all_routes_finds(rows, host, path):
    routes = [
        (route_host, route(f"r-{index}", prefix))
        for index, (route_host, prefix) in enumerate(rows)
    ]
    builder = RouteTableBuilder(1, CallerLimits())
    for route_host, row in routes:
        builder.add_route(route_host, row)
    found = find_route(builder.table(), host, path)
    assert (found.name if found else None) == scan_for_route(routes, host, path)


def test_a_prefix_without_a_trailing_slash_matches_longer_segments():
    table = create_route_table(
        1, {"a.example": [route("pay", "/pay")]}, [], CallerLimits()
    )
    assert find_route(table, "a.example", "/payments").name == "pay"


def test_routes_of_host_names_that_differ_only_in_case_are_merged():
    # A configuration has one listener for a.example and one for A.Example. If the
    # second replaces the first, callers of the first one's paths get "no such route".
    rows = {
        "a.example": [route("pay", "/pay/"), route("first", "/")],
        "A.Example": [route("bays", "/bays/"), route("second", "/")],
    }
    table = create_route_table(1, rows, [], CallerLimits())
    paths = ("/pay/1", "/bays/1", "/x")
    found = [find_route(table, "a.EXAMPLE", path).name for path in paths]
    assert found == ["pay", "bays", "first"]


@pytest.mark.parametrize(
    ("kind", "repeatable"),
    [
        (RequestKind.SAFE, True),
        (RequestKind.DOWNLOAD, True),
        (RequestKind.UNSAFE, False),
        (RequestKind.UPLOAD, False),
    ],
)
def test_only_safe_requests_and_downloads_are_repeatable(kind, repeatable):
    assert (
        Route(name="r", prefix="/", destinations=(), kind=kind).repeatable is repeatable
    )


@pytest.mark.parametrize(
    ("rows", "competing"),
    [
        ([(RequestKind.UPLOAD, 2), (RequestKind.SAFE, 0)], True),
        ([(RequestKind.UPLOAD, 1), (RequestKind.SAFE, 1)], False),
        ([(RequestKind.UNSAFE, 2), (RequestKind.SAFE, 0)], False),
        ([], False),
    ],
)
def test_uploads_beside_other_ranks_make_callers_compete(rows, competing):
    routes = [
        msgspec.structs.replace(route(f"r{rank}", f"/{rank}/"), kind=kind, rank=rank)
        for kind, rank in rows
    ]
    table = create_route_table(1, {"a.example": routes}, [], CallerLimits())
    assert table.competing_callers is competing
    mode = DemandMode()
    mode.apply_routes(table)
    assert mode.is_on is competing
    mode.apply_routes(None)
    assert not mode.is_on


@given(
    weights=st.lists(st.integers(1, 90), min_size=1, max_size=4),
    requests=st.integers(1, 300),
)
def test_each_share_of_a_split_is_close_to_its_weight(weights, requests):
    shares = [Destination(f"s{index}", weight) for index, weight in enumerate(weights)]
    split, row = WeightedSplit(), route("r", "/", *shares)
    chosen = [split.choose(row) for _ in range(requests)]
    for share in shares:
        expected = requests * share.weight / sum(weights)
        assert abs(chosen.count(share.service) - expected) <= len(shares)


def test_changed_weights_get_new_state_and_removed_routes_are_dropped():
    split = WeightedSplit()
    split.choose(route("r", "/", Destination("a", 1), Destination("b", 9)))
    split.choose(route("r", "/", Destination("a", 9), Destination("b", 1)))
    assert len(split.credits) == 2
    split.retain({"other"})
    assert not split.credits


@pytest.mark.parametrize(
    ("name", "service", "urgent"),
    [
        ("pay", "booking", True),
        ("look", "booking", False),
        ("look", "records", True),
        ("look", "unknown", True),
    ],
)
def test_only_the_lowest_rank_of_a_service_is_urgent(name, service, urgent):
    pay = route("pay", "/pay/", Destination("booking"))
    look = route("look", "/look/", Destination("booking"), Destination("records"))
    routes = [
        msgspec.structs.replace(pay, rank=1),
        msgspec.structs.replace(look, rank=2),
    ]
    table = create_route_table(8, {"a.example": routes}, [], CallerLimits())
    chosen = {row.name: row for row in routes}[name]
    assert table.is_urgent(chosen.rank, service) is urgent
