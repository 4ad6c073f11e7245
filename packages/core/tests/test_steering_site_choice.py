from random import Random

import pytest

from greengagepoint.configuration import EMPTY
from greengagepoint.records.schemas import Drain, DrainTarget, Service, Site
from greengagepoint.steering.shift_rows import WantedShift, make_row
from greengagepoint.steering.site_choice import SITES_A_TIER_MAX, candidate_sites
from greengagepoint.steering.tables import (
    ShiftCause,
    SteeringTable,
    index_shifts,
)

NAMES = ("near", "beside", "far_1", "far_2")
PLACES = {
    "near": ("attiki", "a"),
    "beside": ("attiki", "b"),
    "far_1": ("dytiki", "a"),
    "far_2": ("dytiki", "b"),
}
SITES = {
    name: Site(name=name, region=region, zone=zone, capacity=100)
    for name, (region, zone) in PLACES.items()
}
CONFIGURATION = EMPTY._replace(
    generation=1,
    sites=SITES,
    services={"booking": Service(name="booking", sites=NAMES)},
)
CAUSES = {
    None: ShiftCause.SCHEDULED,
    "drained": ShiftCause.SITE_DRAINED,
    "failed": ShiftCause.REGION_FAILED,
}


def shifted(*moves):
    """Return a table of moves (from, to or cause, fraction)."""
    table = SteeringTable()
    for number, (from_site, to, fraction) in enumerate(moves):
        cause = CAUSES.get(to, ShiftCause.SCHEDULED)
        destination = to if cause is ShiftCause.SCHEDULED else None
        wanted = WantedShift(cause, None, from_site, destination, "", fraction, 10, 0)
        row = make_row(str(number), wanted, 0.0)
        row.fraction = fraction
        table.shifts[row.name] = row
    index_shifts(table)
    return table


def candidates(
    table=None, full=(), configuration=CONFIGURATION, seed=1, now_ms=0, headroom=None
):
    return candidate_sites(
        configuration,
        "booking",
        "attiki",
        "a",
        now_ms,
        table or SteeringTable(),
        headroom or (lambda site: 0 if site in full else 50),
        Random(seed),
    )


@pytest.mark.parametrize(
    ("moves", "full", "expected"),
    [
        ([], (), ["near", "beside", "far", "far"]),
        ([], ("near",), ["beside", "far", "far", "near"]),
        ([("near", "far_1", 1.0)], (), ["far_1", "beside", "far_2", "near"]),
        ([("near", "far_1", 1.0)], ("far_1",), ["beside", "far_2", "near", "far_1"]),
        ([("near", "drained", 1.0)], (), ["beside", "far", "far"]),
        ([("near", "failed", 1.0)], (), ["beside", "far", "far"]),
        ([(name, "failed", 1.0) for name in NAMES], (), ["near", "beside", "far"]),
        ([(name, "drained", 1.0) for name in NAMES], (), []),
        (
            [("near", "beside", 1.0), ("beside", "failed", 1.0)],
            (),
            ["far", "far", "near"],
        ),
    ],
)
def test_order(moves, full, expected):
    found = candidates(shifted(*moves), full)
    shown = [
        site if wanted == site else site.split("_")[0]
        for site, wanted in zip(found, expected, strict=False)
    ]
    assert shown == expected
    assert len(set(found)) == len(found)


def test_shift_moves_its_fraction():
    table = shifted(("near", "far_1", 0.3))
    first = [candidates(table, seed=seed)[0] for seed in range(2000)]
    assert 0.27 < first.count("far_1") / len(first) < 0.33
    assert first.count("near") + first.count("far_1") == len(first)


def test_failed_regions_load_spreads_by_headroom():
    """A region fails; its callers' requests go to the other regions.

    The nearest sites are out at once, so each request has a site of another
    region first, and those with more headroom get more of them.
    """
    table = shifted(("near", "failed", 1.0), ("beside", "failed", 1.0))
    headroom = {"far_1": 30, "far_2": 10}
    first = [
        candidates(table, seed=seed, headroom=lambda site: headroom.get(site, 0))[0]
        for seed in range(2000)
    ]
    assert 0.7 < first.count("far_1") / len(first) < 0.8


def test_drained_site_is_out_once_it_leaves():
    drain = Drain(
        name="d",
        target_kind=DrainTarget.SITE,
        target="near",
        start_at="1970-01-01T00:00:01Z",
        leave_at="1970-01-01T00:00:05+00:00",
    )
    configuration = CONFIGURATION._replace(drains={"d": drain})
    assert candidates(configuration=configuration, now_ms=4999)[0] == "near"
    assert "near" not in candidates(configuration=configuration, now_ms=5000)


def test_same_random_gives_same_order():
    table = shifted(("near", "far_1", 0.5))
    found = [[candidates(table, seed=seed) for seed in range(50)] for _ in range(2)]
    assert found[0] == found[1]


def test_large_service_is_cut_and_unknown_one_has_no_site():
    names = tuple(f"site_{number}" for number in range(1300))
    sites = {
        name: Site(name=name, region="dytiki", zone="a", capacity=1) for name in names
    }
    configuration = EMPTY._replace(
        sites=sites, services={"booking": Service(name="booking", sites=names)}
    )
    assert len(candidates(configuration=configuration)) == SITES_A_TIER_MAX
    assert candidates(configuration=EMPTY) == ()
