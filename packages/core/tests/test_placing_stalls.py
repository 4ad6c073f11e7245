"""What callers get from the choice by finish while machines stall."""

import pytest
from stalls_model import Load, StallsModel

FULL = Load(cached_keys=10)


def outcomes(load, *, by_finish):
    counts = StallsModel(load, by_finish=by_finish).run()
    total = counts["in_time"] + counts["late"] + counts["refused"]
    shares = {name: counts[name] / total for name in ("in_time", "late", "refused")}
    shares["cold"] = counts["cold"] / (counts["cold"] + counts["warm"])
    return shares


@pytest.mark.parametrize(
    ("rate", "gain_min", "refused_max"),
    [(480, 0.03, 0.01), (600, 0.08, 0.08), (800, 0.1, 0.2)],
)
def test_fewer_callers_are_late_while_machines_stall(rate, gain_min, refused_max):
    # Machines are 2.5 times slower for 15% of the time, and servers keep as many keys
    # warm as there are. Keys that move at each queue make a quarter of the runs cold.
    load = FULL._replace(rate=rate)
    before = outcomes(load, by_finish=False)
    after = outcomes(load, by_finish=True)
    assert after["in_time"] >= before["in_time"] + gain_min
    assert after["late"] <= before["late"] - 0.03
    assert after["cold"] <= before["cold"] - 0.05
    assert after["refused"] <= refused_max


def test_nothing_gets_worse_at_low_load():
    load = Load(rate=240)
    before = outcomes(load, by_finish=False)
    after = outcomes(load, by_finish=True)
    assert after["in_time"] >= before["in_time"] - 0.01
    assert after["refused"] == 0


@pytest.mark.parametrize(
    "fault", [{"gossip": ()}, {"gossip": (1,)}, {"frozen": 8}], ids=str
)
def test_hosts_with_old_or_no_news_decide_no_worse_than_before(fault):
    # Hosts that receive nothing, see only half of the fleet, or stand still for 4 s
    # and then choose for all callers of that time with reports as old as that.
    load = FULL._replace(rate=600, **fault)
    before = outcomes(load, by_finish=False)
    after = outcomes(load, by_finish=True)
    assert after["in_time"] >= before["in_time"]
    assert after["refused"] <= before["refused"] + 0.05
