"""Remaining time of drains."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.draining import estimate, slots
from greengagepoint.draining.estimate import Transfer

LINK = 100.0


@pytest.mark.parametrize(
    ("rows", "link", "ends"),
    [
        ([], LINK, []),
        ([(100, 100)], LINK, [1.0]),
        # Two share the link; the shorter ends, then the longer has all of it.
        ([(50, 50), (100, 50)], LINK, [1.0, 1.5]),
        # The slow one is held back by its caller's link and stays slow.
        ([(90, 90), (100, 10)], LINK, [1.0, 10.0]),
        # The link has room, so nobody gets faster when another ends.
        ([(10, 10), (40, 10)], LINK, [1.0, 4.0]),
        ([(50, 0)], 0.0, [50.0]),
    ],
)
def test_only_what_the_link_holds_back_gets_faster(rows, link, ends):
    transfers = [Transfer(*row) for row in rows]
    assert estimate.held_back_seconds(transfers, link) == pytest.approx(ends)


def test_the_papers_estimate_gives_the_papers_stages():
    """Four queries of costs 10, 20, 30 and 40 at equal speed end one stage after
    the other, as in figure 1 of section 2.2.
    """
    transfers = [Transfer(cost, 25) for cost in (40, 10, 30, 20)]
    assert estimate.shared_seconds(transfers) == pytest.approx([1.0, 0.4, 0.9, 0.7])
    assert estimate.plain_seconds(transfers) == pytest.approx(1.6)


TRANSFERS = st.lists(
    st.builds(Transfer, st.floats(0, 1e9), st.floats(1, 1e8)), min_size=1, max_size=12
)


@given(TRANSFERS)
def test_the_estimate_lies_between_the_two(transfers):
    link = sum(row.bytes_per_second for row in transfers)
    found = estimate.remaining_seconds(transfers, link)
    assert found <= estimate.plain_seconds(transfers) * (1 + 1e-6) + 1e-6
    least = sum(row.remaining_bytes for row in transfers) / link
    assert found >= least * (1 - 1e-6) - 1e-6


def test_downloads_that_end_too_late_are_named():
    transfers = [Transfer(50, 50), Transfer(500, 50)]
    assert estimate.late_transfers(transfers, LINK, 2.0) == [1]


@pytest.mark.parametrize(
    ("elapsed", "waiting", "seconds"),
    [
        ([], 0, 0.0),
        ([0.0], 0, 2.0),
        ([2.5], 0, 0.5),
        ([9.0], 0, 0.0),
        ([0.0] * 8, 0, 3.0),
        ([0.0], 3, 2.0 * 3 + 2.0),
        ([0.0] * 4, 4, 2.0 + 3.0),
    ],
)
def test_small_requests_are_judged_by_earlier_ones(elapsed, waiting, seconds):
    samples = [1.0, 2.0, 3.0]
    found = slots.queued_seconds(elapsed, waiting, samples)
    assert found == pytest.approx(seconds, abs=0.01)
