"""Decide how long a server may stay silent before it is assumed to be dead.

Answers can be lost while their server keeps running. Abandoning a request too early is
the more expensive mistake: the server's work is wasted, the next server runs the key
cold, and the first one is avoided although it is healthy. A host that sends to each
server once in eight seconds would mistake every run longer than two seconds for silence
if it ignored how seldom it receives answers.
"""

import math
from dataclasses import dataclass
from typing import Final

# A server that has answered no request for this share of a request's remaining time is
# assumed to be dead, and a repeatable request is sent to another server while there is
# time. A server that is only busy answers other requests meanwhile; if there are none,
# a run may take several times as long as most.
SILENCE_TIME_SHARE: Final = 0.5
SILENCE_RUNS: Final = 4.0
# Silence means nothing if this host would not have received an answer anyway. Within
# this many mean intervals between answers, a healthy server is silent by chance one
# time in seven.
SILENCE_ANSWERS: Final = 2.0
# Nor does it mean anything while the slowest answers take as long. The factor leaves
# time for a queue that is somewhat longer.
SILENCE_LONGEST: Final = 1.5
# The longest time decays over about a hundred answers; cold runs are more frequent.
LONGEST_DECAY: Final = 0.01
MEAN_WEIGHT: Final = 0.05
# Time constant of the answer count, in seconds.
RATE_SECONDS: Final = 5.0


@dataclass(slots=True)
class AnswerTimes:
    """Track how often and how fast the servers of a service in a region answer.

    ``mean`` and ``longest`` are seconds from sending a request to its answer, including
    the wait for a slot. ``recent`` is a decaying count of answers, and ``answered_at``
    the monotonic time of the last one.
    """

    mean: float = 0.0
    longest: float = 0.0
    recent: float = 0.0
    answered_at: float = 0.0

    def record_time(self, seconds: float, now: float) -> None:
        """Record the time that an answer took."""
        if not self.recent:
            self.mean = seconds
        self.mean += (seconds - self.mean) * MEAN_WEIGHT
        self.longest += (seconds - self.longest) * LONGEST_DECAY
        self.longest = max(seconds, self.longest)
        self.recent = self._recent(now) + 1
        self.answered_at = now

    def mean_gap_seconds(self, servers: int, now: float) -> float:
        """Return the mean time between two answers of one of ``servers`` servers."""
        recent = self._recent(now)
        return servers * RATE_SECONDS / recent if recent else math.inf

    def _recent(self, now: float) -> float:
        """Return the decayed number of recent answers."""
        return self.recent * math.exp(-(now - self.answered_at) / RATE_SECONDS)


def silence_timeout(
    seconds_left: float,
    service_seconds: float,
    answers: AnswerTimes,
    servers: int,
    now: float,
) -> float:
    """Return the seconds of silence after which a server is assumed to be dead.

    ``servers`` is the number of servers that ``answers`` came from.
    """
    by_share = max(seconds_left * SILENCE_TIME_SHARE, SILENCE_RUNS * service_seconds)
    by_gap = SILENCE_ANSWERS * answers.mean_gap_seconds(servers, now)
    return max(by_share, min(by_gap, SILENCE_LONGEST * answers.longest))


def can_answer_in_time(seconds_left: float, answers: AnswerTimes) -> bool:
    """Return True if another server would probably answer before the deadline.

    If it would not, abandoning the request wastes the first server's answer.
    """
    return seconds_left > answers.mean
