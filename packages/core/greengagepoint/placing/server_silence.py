"""Tell how long a server may be silent before that says something.

Load answered: answers that are lost while their server runs on. A request given up in
vain is the dearer mistake: the server's work is thrown away, the next server runs the
key cold, and the first is spared though it is sound. A host that meets each server once
in eight seconds takes every run of over two for silence, unless it knows how seldom it
would have heard.
"""

import math
from dataclasses import dataclass
from typing import Final

# A server that has answered nobody for this part of a request's time is taken for dead,
# and a request that may be repeated goes to another one while there is time. A server
# that is only busy answers others meanwhile; where there are none, a run may well take
# several times as long as most.
SILENCE_SHARE: Final = 0.5
SILENCE_RUNS: Final = 4.0
# Silence says nothing where this host would not have heard of the server anyway. In the
# mean time of so many answers a sound one is silent by chance once in seven times.
SILENCE_ANSWERS: Final = 2.0
# Nor while the longest answers take as long; a fuller queue takes somewhat longer.
SILENCE_LONGEST: Final = 1.5
# The longest time is kept over about a hundred answers, a cold run comes more often.
LONGEST_FADE: Final = 0.01
MEAN_WEIGHT: Final = 0.05
# Answers are counted over about this time.
RATE_SECONDS: Final = 5.0


@dataclass(slots=True)
class AnswerTimes:
    """How often and how fast the servers of one service in one region answer a host.

    Seconds from the send to the answer, with the wait for a slot; ``answered_at`` is
    monotonic.
    """

    mean: float = 0.0
    longest: float = 0.0
    recent: float = 0.0
    answered_at: float = 0.0

    def take(self, seconds: float, now: float) -> None:
        """Take in an answer."""
        if not self.recent:
            self.mean = seconds
        self.mean += (seconds - self.mean) * MEAN_WEIGHT
        self.longest += (seconds - self.longest) * LONGEST_FADE
        self.longest = max(seconds, self.longest)
        self.recent = self._recent(now) + 1
        self.answered_at = now

    def gap_seconds(self, servers: int, now: float) -> float:
        """Return the mean time between two answers of one of so many servers."""
        recent = self._recent(now)
        return servers * RATE_SECONDS / recent if recent else math.inf

    def _recent(self, now: float) -> float:
        """Return how many answers came lately, older ones counting less."""
        return self.recent * math.exp(-(now - self.answered_at) / RATE_SECONDS)


def silent_after(
    seconds_left: float,
    service_seconds: float,
    answers: AnswerTimes,
    servers: int,
    now: float,
) -> float:
    """Return after how many seconds a server that answers nobody is taken for dead.

    ``servers`` are those that ``answers`` came from.
    """
    by_share = max(seconds_left * SILENCE_SHARE, SILENCE_RUNS * service_seconds)
    unheard = SILENCE_ANSWERS * answers.gap_seconds(servers, now)
    return max(by_share, min(unheard, SILENCE_LONGEST * answers.longest))


def may_still_end(seconds_left: float, answers: AnswerTimes) -> bool:
    """Tell whether another server would most likely answer before the deadline.

    Given up for one that can't, a request loses its first server's answer for nothing.
    """
    return seconds_left > answers.mean
