import pytest

from greengagepoint.balancing.service_time import service_time
from greengagepoint.balancing.tables import BackendTable, Pool


@pytest.mark.parametrize(
    ("service", "site", "expected"),
    [
        ("booking", "s", 0.02),
        ("records", "s", 0.06),
        (None, "s", 0.04),
        ("records", "t", None),
        (None, "t", None),
        (None, "u", None),
    ],
)
def test_service_time(service, site, expected):
    table = BackendTable()
    samples = {
        ("booking", "s"): [0.01] * 3 + [0.02] * 3 + [9.0] * 2,
        ("records", "s"): [0.06] * 8,
        ("records", "t"): [0.05] * 7,
    }
    for key, seconds in samples.items():
        table.pools[key] = Pool()
        table.pools[key].latencies.extend(seconds)
    measured = service_time(table, service, site)
    assert measured == (expected if expected is None else pytest.approx(expected))
