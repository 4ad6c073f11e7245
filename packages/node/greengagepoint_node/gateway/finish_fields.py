"""Write an expected finish as fields of a log line."""

import math

from greengagepoint.placing.choice import Finish

LogFields = dict[str, float | int | str | None]


def finish_fields(finish: Finish | None) -> LogFields:
    """Return the log fields of an expected finish; times are in seconds."""
    if finish is None:
        return {}
    age = finish.pace_age
    return {
        "expected_finish": round(finish.seconds, 3),
        "expected_wait": round(finish.wait, 3),
        "expected_run": round(finish.run, 3),
        "expected_warm": finish.is_warm,
        "pace": round(finish.pace, 2),
        "pace_age": round(age, 3) if math.isfinite(age) else None,
    }
