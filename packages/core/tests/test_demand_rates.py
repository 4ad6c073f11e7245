"""Request rates of a host and their recent peak."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.demand.peaks import PEAK_SECONDS, RecentPeak
from greengagepoint.demand.rates import RUN_SECONDS_MAX, MeanRun, ServiceRates


def count_steadily(rates, per_second, start, seconds):
    for number in range(int(per_second * seconds)):
        rates.count("s", start + number / per_second)
    return start + seconds


@pytest.mark.parametrize("seconds", [1, 2, 10, 60])
def test_a_steady_rate_is_measured_from_the_first_second(seconds):
    # A host that has just started would report too little, and its region would keep
    # keys that do not fit.
    rates = ServiceRates()
    now = count_steadily(rates, 20, 5.0, seconds)
    assert rates.per_second("s", now) == pytest.approx(20, rel=0.05)


def test_there_is_no_rate_before_one_second():
    rates = ServiceRates()
    assert rates.per_second("s", 5.0) is None
    rates.count("s", 5.0)
    assert rates.per_second("s", 5.9) is None
    assert rates.per_second("other", 6.1) == 0.0


def test_a_frozen_host_reports_the_requests_that_it_did_not_get():
    # Its callers use other hosts meanwhile, and count there.
    rates = ServiceRates()
    now = count_steadily(rates, 20, 5.0, 40)
    assert rates.per_second("s", now + 4) == pytest.approx(20 / math.e, rel=0.05)


def test_run_times_out_of_bounds_do_not_distort_the_mean():
    run = MeanRun()
    for seconds in (0.2, -5.0, 1e9):
        run.record(seconds)
    assert run.seconds == pytest.approx((0.2 + 0 + RUN_SECONDS_MAX) / 3)
    for _ in range(400):
        run.record(0.2)
    assert run.seconds == pytest.approx(0.2, abs=0.01)


SAMPLES = st.lists(
    st.tuples(st.floats(0.0, 9.0), st.floats(0.0, 500.0)), min_size=1, max_size=60
)


@given(samples=SAMPLES)
def test_the_peak_is_at_least_each_rate_of_the_last_40_seconds(samples):
    # A lower peak would give a region more keys than fit when the wave returns.
    peak, now, rows = RecentPeak(), 1_000.0, []
    for pause, rate in samples:
        now += pause
        rows.append((rate, now))
        peak.note(rate, now, now)
    recent = [rate for rate, at in rows if now - at <= PEAK_SECONDS]
    assert peak.current(now) >= max(recent) - 1e-9
    assert peak.current(now) <= max(rate for rate, _ in rows)
    assert peak.current(now + 1_000) < 1e-6
    assert len(peak.samples) <= 22


def test_a_wave_is_remembered_when_an_earlier_burst_expires():
    # Only the burst was kept: when it expired, in a trough, the share of the region
    # rose, and the next wave found it full.
    peak = RecentPeak()
    peak.note(500.0, 100.0, 100.0)
    for second in range(141):
        now = 100.0 + second
        wave = 200 * (1 + 0.5 * math.sin(2 * math.pi * (second + 4) / 36))
        peak.note(wave, now, now)
        assert peak.current(now) >= 299 or second < 6
    assert peak.current(now) == pytest.approx(300, abs=1)
