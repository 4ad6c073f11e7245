"""Define the demand figures that hosts exchange."""

import msgspec


class HostDemand(msgspec.Struct, array_like=True):
    """Report the requests per second that one host's callers make to a service.

    ``age`` is in seconds. ``run_seconds`` is the mean run time that the host measured,
    0 if it has none.
    """

    host: str
    service: str
    requests_per_second: float
    age: float
    run_seconds: float = 0.0


class RegionDemand(msgspec.Struct, array_like=True):
    """Report the requests per second that a region's callers make to a service.

    ``peak`` is the recent maximum of the rate, reached ``peak_age`` seconds ago.
    """

    region: str
    service: str
    requests_per_second: float
    age: float
    run_seconds: float = 0.0
    peak: float = 0.0
    peak_age: float = 0.0
