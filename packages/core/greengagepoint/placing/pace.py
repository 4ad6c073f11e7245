"""Weigh the pace that a backend server reported by its age.

Machines that servers share stall for about 600 ms, so a report says much for the next
few hundred milliseconds and nothing after a second.
"""

from typing import Final

HALF_LIFE_SECONDS: Final = 0.3
AGE_MAX_SECONDS: Final = 1.0
USUAL_PACE: Final = 1.0


def expected_pace(pace: float, age: float) -> float:
    """Return the factor by which runs take longer; ``age`` is that of the report."""
    if age > AGE_MAX_SECONDS:
        return USUAL_PACE
    weight = 0.5 ** (max(0.0, age) / HALF_LIFE_SECONDS)
    return USUAL_PACE + weight * (pace - USUAL_PACE)
