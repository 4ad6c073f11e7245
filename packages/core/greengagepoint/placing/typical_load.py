"""Estimate the load at a backend server that has not reported recently.

In a fleet of 195 hosts and 438 servers, a host sends to each server about once in half
a minute, so it makes nearly every choice without a recent report of that server. Two
simple estimates fail. Assuming that peers send nothing hides queues. Assuming that each
peer sends as much as this host makes a server with one request of this host look as if
it had one of every host, so the next request leaves the server that is warm for its key
and runs cold, which takes four times as long.
"""

from dataclasses import dataclass
from typing import Final

# Reports arrive with answers. This many give a usable mean over servers that differ,
# and even a host with little traffic receives them within seconds.
REPORTS_AVERAGED: Final = 10
# Shape of the Gamma distribution of loads that differ by about half of their mean.
GAMMA_SHAPE: Final = 4.0
# Run time assumed before any is recorded.
RUN_SECONDS_START: Final = 0.3
# Runs that are cold for their key take up to four times as long and are more frequent
# in an overload. A mean would follow them: queues would look longer, keys would leave
# their servers, and more runs would be cold. The lower quartile stays among warm runs.
RUN_QUANTILE: Final = 0.25
RUN_STEP: Final = 0.1
# A server with few measurements is assumed to be slower than most. Underestimating a
# queue makes callers late; overestimating it sends them to the key's other server.
UNMEASURED_RUN_FACTOR: Final = 2.0


@dataclass(slots=True)
class TypicalLoad:
    """Track the typical load of the servers of one service in one region.

    ``busy`` is the mean share of their slots in use, None before the first report.
    ``run_seconds`` is the lower quartile of the run times without waits, None before
    the first run.
    """

    busy: float | None = None
    run_seconds: float | None = None

    def record_load(self, busy: float) -> None:
        """Record the share of its slots that a server reports as in use.

        A queue counts as full slots and no more. Requests meet the longest queues most
        often, so counting queues would make unknown servers look as if they had one.
        """
        busy = min(1.0, busy)
        if self.busy is None:
            self.busy = busy
        self.busy += (busy - self.busy) / REPORTS_AVERAGED

    def record_run(self, seconds: float) -> None:
        """Record the run time of a request, excluding its wait for a slot."""
        if self.run_seconds is None:
            self.run_seconds = seconds
        step = RUN_QUANTILE if seconds > self.run_seconds else RUN_QUANTILE - 1
        self.run_seconds *= 1 + RUN_STEP * step

    def cautious_run_seconds(self) -> float:
        """Return a high estimate of the run time at a server without measurements."""
        if self.run_seconds is None:
            return RUN_SECONDS_START
        return UNMEASURED_RUN_FACTOR * self.run_seconds

    def estimate_others(self, own: int, slots: int, senders: int) -> float:
        """Return the estimated number of requests of the other senders at a server.

        ``own`` is the number of this host's requests there, and ``senders`` includes
        this host. The estimate starts from the mean of all servers and moves toward
        what ``own`` suggests, as far as that is informative: very much so with three
        senders, hardly at all with 65.
        """
        if self.busy is None or senders <= 1:
            # Hosts that start together have nothing but their own requests to go by.
            return own * (senders - 1)
        mean = self.busy * slots / senders
        if mean <= 0:
            return 0.0
        per_sender = (GAMMA_SHAPE + own) / (GAMMA_SHAPE / mean + 1)
        return per_sender * (senders - 1)
