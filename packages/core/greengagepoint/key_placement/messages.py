"""Messages between hosts and the coordinator that places a region's keys."""

import msgspec


class KeyUsageRow(msgspec.Struct, array_like=True, gc=False):
    """The runs of a key on a region's servers since the last report.

    ``measured_runs`` are those without a wait, which tell whether they were cold.
    """

    service: str
    key: str
    runs: int
    measured_runs: int
    cold_runs: int


class KeyUsageReport(msgspec.Struct, array_like=True):
    """The keys that a host ran on the servers of a region.

    ``started`` is the start time of the host's incarnation. ``known_version`` is the
    version of the weights that it applies, ``coordinator`` and ``coordinator_started``
    the incarnation that issued them, empty and 0 without any.
    """

    host: str
    started: int
    region: str
    known_version: int
    rows: list[KeyUsageRow]
    coordinator: str = ""
    coordinator_started: int = 0


class KeyWeights(msgspec.Struct, array_like=True):
    """The weights of a region's servers, in one version of a coordinator.

    ``weights`` holds those other than 1 by the server's instance id, ``homes`` the
    number of homes of each key by service, where it is not 1.
    """

    coordinator: str
    version: int
    weights: dict[str, float]
    homes: dict[str, int]
    started: int = 0


class KeyWeightsAnswer(msgspec.Struct, array_like=True):
    """The answer to a report: weights that are newer than the host's, or None.

    ``counted`` is true if the sender is the coordinator and has counted the rows.
    """

    weights: KeyWeights | None = None
    counted: bool = False
