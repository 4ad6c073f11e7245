"""How long a server may be silent before that says something."""

import pytest

from greengagepoint.placing.patience import silent_after


@pytest.mark.parametrize(
    ("left", "service", "expected"), [(1.2, 0.1, 0.6), (1.2, 0.3, 1.2)]
)
def test_a_dead_server_is_told_by_half_of_the_time_or_four_runs(
    left, service, expected
):
    assert silent_after(left, service) == pytest.approx(expected)
