"""How many bytes may stand beside the body of a message."""

import pytest

from greengagepoint.overload.framing import excess_overhead

MAX = 1_000


@pytest.mark.parametrize(
    ("received", "body", "excess"),
    [
        (0, 0, None),
        (MAX, 0, None),
        (MAX + 1, 0, MAX + 1),
        (600_000, 100_000, None),
        (100_000 * 9 + MAX, 100_000, None),
        (100_000 * 9 + MAX + 1, 100_000, 100_000 * 8 + MAX + 1),
    ],
)
def test_framing_is_bounded_in_proportion_to_the_body(received, body, excess):
    assert excess_overhead(received, body, MAX) == excess
