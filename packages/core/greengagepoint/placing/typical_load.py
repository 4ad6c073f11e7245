"""Estimate what other hosts have at a backend server that has not told of late.

Load answered: a fleet of 195 hosts and 438 servers. A host meets each server about once
in half a minute, so nearly every choice is made without a report of that server. Two
simple guesses fail there. Others taken to have nothing make a queue invisible. Others
taken to do as this host make a server with one request of this host look as if it had
one of each, so the next request leaves the server that is warm for its key and runs
cold, four times as long.
"""

from dataclasses import dataclass
from typing import Final

# Reports come with answers; so many tell the mean of servers that differ, and even a
# quiet host has them within seconds.
REPORTS_REMEMBERED: Final = 10
# Loads of servers that differ by about half of their mean have a Gamma distribution of
# this shape.
SHAPE: Final = 4.0
# Before any run is known.
RUN_SECONDS_START: Final = 0.3
# Runs that are cold for their key take up to four times as long, and an overload has
# more of them. A mean would follow them, queues would look longer, keys would leave
# their servers, and more runs be cold; a quarter of the runs stays among the warm.
QUICK_PART: Final = 0.25
RUN_STEP: Final = 0.1
# A server that a host knows little of is taken for slower than most. A queue held for
# shorter than it is makes callers late; one held for longer sends them to the other
# server of their key.
CAUTION: Final = 2.0


@dataclass(slots=True)
class TypicalLoad:
    """How busy the servers of one service in one region are.

    ``busy`` is the mean part of their slots in use, None while none has told.
    ``run_seconds`` is what a quarter of the runs without a wait take less than, None
    while there was none.
    """

    busy: float | None = None
    run_seconds: float | None = None

    def take(self, busy: float) -> None:
        """Take in the part of its slots that a server says are in use.

        A queue counts no more than full slots do: requests meet the longest queues most
        often, and a server of which nothing is known would seem to have one as well.
        """
        busy = min(1.0, busy)
        if self.busy is None:
            self.busy = busy
        self.busy += (busy - self.busy) / REPORTS_REMEMBERED

    def take_run(self, seconds: float) -> None:
        """Take in how long a request ran, without its wait for a slot."""
        if self.run_seconds is None:
            self.run_seconds = seconds
        part = QUICK_PART if seconds > self.run_seconds else QUICK_PART - 1
        self.run_seconds *= 1 + RUN_STEP * part

    def cautious_run_seconds(self) -> float:
        """Return what a run may take at a server of which nothing is known."""
        if self.run_seconds is None:
            return RUN_SECONDS_START
        return CAUTION * self.run_seconds

    def others(self, own: int, slots: int, senders: int) -> float:
        """Return how many requests the other senders have at a server.

        ``own`` are this host's there. The mean of all servers, moved toward what this
        host sees as far as that tells more: with three senders their own requests say
        much, with 65 next to nothing.
        """
        if self.busy is None or senders <= 1:
            # Hosts that start together have no other guide than what each of them does.
            return own * (senders - 1)
        mean = self.busy * slots / senders
        if mean <= 0:
            return 0.0
        each = (SHAPE + own) / (SHAPE / mean + 1)
        return each * (senders - 1)
