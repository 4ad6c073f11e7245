"""The balancing of keys over servers with the same memory."""

import math

import pytest
from key_placement_model import REGION, SERVICE, Model, create_table

from greengagepoint.key_placement.balancing import WEIGHT_MAX, WEIGHT_MIN
from greengagepoint.key_placement.coordinator import (
    EARLY_SECONDS,
    MOVED_SHARE_PER_SECOND,
    KeyCoordinator,
)
from greengagepoint.key_placement.following import WEIGHTS_MAX, AppliedWeights
from greengagepoint.key_placement.messages import (
    KeyUsageReport,
    KeyUsageRow,
    KeyWeights,
)


def run(model, seconds, rate=480.0):
    """Run a model and return the figures of each second."""
    return [model.run_second(rate) for _ in range(seconds)]


def shares(figures):
    """Return the shares of runs in time and of cold ones."""
    runs = sum(row.runs for row in figures)
    in_time = sum(row.in_time for row in figures)
    return in_time / runs, sum(row.cold for row in figures) / runs


def test_servers_get_as_many_keys_as_they_keep_warm():
    # By hash, some servers have 19 keys and evict them, and others have 3.
    plain = Model(109, 1_134, 1, placed=False)
    placed = Model(109, 1_134, 1, placed=True)
    plain_in_time, plain_cold = shares(run(plain, 60)[20:])
    in_time, cold = shares(run(placed, 60)[20:])
    keys, plain_keys = placed.keys_by_server(), plain.keys_by_server()
    assert plain_keys[-1] - plain_keys[0] > 12
    assert keys[-1] - keys[0] <= 6
    assert cold < plain_cold / 2
    assert in_time > plain_in_time + 0.1


def homes_of_seconds(model, seconds, rate):
    """Run a model and return the number of homes after each second."""
    found = []
    for _ in range(seconds):
        model.run_second(rate)
        found.append(model.homes())
    return found


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_servers_with_few_keys_have_two_homes_for_each_soon(seed):
    # With one home, callers wait beside idle servers.
    model = Model(109, 189, seed, placed=True)
    assert homes_of_seconds(model, 20, 480.0)[7:] == [2] * 13


@pytest.mark.parametrize(
    ("servers", "keys", "keys_warm", "rate"), [(109, 1_134, 10, 480), (4, 45, 14, 20)]
)
@pytest.mark.parametrize("seed", [1, 2])
def test_keys_beyond_what_servers_keep_warm_have_one_home(
    servers, keys, keys_warm, rate, seed
):
    # A second home for each key evicted keys for 20 s after each start.
    model = Model(servers, keys, seed, placed=True, keys_warm=keys_warm)
    found = homes_of_seconds(model, 30, rate)
    assert found[14:] == [1] * 16
    assert found.count(2) <= 5


def test_few_keys_move_after_the_first_seconds():
    # Each moved key costs a cold run, as long as three warm ones.
    model = Model(50, 500, 2, placed=True)
    figures = run(model, 40, 220.0)
    late = figures[int(EARLY_SECONDS) + 1 :]
    assert max(row.moved for row in late) <= MOVED_SHARE_PER_SECOND * 500 + 1
    assert all(
        WEIGHT_MIN <= one <= WEIGHT_MAX for one in model.table.key_weights.values()
    )


def test_the_same_reports_give_the_same_weights():
    first, second = (Model(30, 300, 3, placed=True) for _ in range(2))
    run(first, 10, 130.0)
    run(second, 10, 130.0)
    assert first.coordinator.weights == second.coordinator.weights != {}


def test_invalid_rows_of_a_report_are_left_out():
    coordinator = KeyCoordinator(REGION)
    rows = [
        KeyUsageRow(SERVICE, "/p\0good", 2, 2, 1),
        KeyUsageRow(SERVICE, "/p\0negative", -1, 0, 0),
        KeyUsageRow(SERVICE, "/p\0cold", 1, 1, 2),
        KeyUsageRow(SERVICE, "/p\0many", 10**9, 0, 0),
        KeyUsageRow(SERVICE, "k" * 65, 1, 1, 0),
        KeyUsageRow("elsewhere", "/p\0unknown-service", 1, 1, 0),
    ]
    table = create_table(3)
    report = KeyUsageReport("h1", 1, REGION, 0, rows)
    assert coordinator.apply(report, table, 1.0) == 4
    assert [key for _, key in coordinator.keys.rows] == ["/p\0good"]
    flood = KeyUsageReport("h1", 1, REGION, 0, rows * 2_000)
    assert coordinator.apply(flood, table, 1.0) == 12_000
    other = KeyUsageReport("h1", 1, "elsewhere", 0, rows)
    assert coordinator.apply(other, table, 1.0) == 6
    assert len(coordinator.keys.rows) == 1


def test_invalid_weights_are_left_out():
    table, applied = create_table(3), AppliedWeights()
    weights = {
        "i-0000": 2.0,
        "i-0001": math.nan,
        "i-0002": -1.0,
        "unknown": 3.0,
        "far": math.inf,
    }
    found = applied.apply(REGION, KeyWeights("h1", 1, weights, {}), table, 0.0)
    assert found == 3
    assert table.key_weights == {"i-0000": 2.0}
    too_many = {f"i-{number:04}": 2.0 for number in range(WEIGHTS_MAX + 1)}
    found = applied.apply(REGION, KeyWeights("h1", 2, too_many, {}), table, 0.0)
    assert found == len(too_many)
    assert table.key_weights == {"i-0000": 2.0}
