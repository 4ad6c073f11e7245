"""Which route a path takes."""

import pytest

from greengagepoint.records.schemas import Route, Service
from greengagepoint_node.proxy.call import DEFAULT_ROUTE, match_route

BAYS = Route(path="/bays", methods=("GET",), repeatable=True)
FREE = Route(path="/bays/free")
ALL_UNDER_DOCS = Route(path="/docs/")
SERVICE = Service(name="booking", sites=(), routes=(BAYS, FREE, ALL_UNDER_DOCS))


@pytest.mark.parametrize(
    ("method", "path", "route"),
    [
        ("GET", "/bays", BAYS),
        ("GET", "/bays/7", BAYS),
        ("GET", "/bays/free", FREE),
        ("GET", "/bays/free/now", FREE),
        ("POST", "/bays", DEFAULT_ROUTE),
        ("GET", "/bays-and-pay", DEFAULT_ROUTE),
        ("GET", "/bays/freely", BAYS),
        ("GET", "/docs/a", ALL_UNDER_DOCS),
        ("GET", "/docs", DEFAULT_ROUTE),
        ("GET", "/", DEFAULT_ROUTE),
    ],
)
def test_the_longest_prefix_of_whole_segments_wins(method, path, route) -> None:
    assert match_route(SERVICE, method, path) is route
