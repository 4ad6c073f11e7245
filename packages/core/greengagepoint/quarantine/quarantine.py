"""Refuse requests that end the backend servers that run them.

Load answered: a request ends each server that runs it and comes again, under new ids,
at any host. Each host keeps the ends that any of them has seen, so that three on the
whole fleet are enough. Innocent requests are in flight at such servers as well; an
answer clears them.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

from greengagepoint.quarantine.fingerprint import HEAD_LENGTH, Fingerprint
from greengagepoint.quarantine.lost_servers import LostServers
from greengagepoint.quarantine.messages import SharedEnd, SharedSuspect
from greengagepoint.quarantine.rules import (
    ENDS_ALONE,
    ENDS_MAX,
    EndMoment,
    counted_ends,
    refused_until,
)
from greengagepoint.quarantine.tables import (
    ENDS_KEPT,
    FREE,
    EndKey,
    ServerRun,
    Standing,
    Suspect,
    Verdict,
)

SUSPECTS_MAX: Final = 2_048
# Ends are kept for long after the longest refusal, so that a single one more is enough.
FORGET_SECONDS: Final = 1_200.0
# Hosts that tell of the same end do so within this.
SAME_END_SECONDS: Final = 1.0
# While one host tries a request, others wait for what comes of it.
TRIAL_SECONDS: Final = 1.0


class Quarantine:
    """The ends of all hosts by request content; times are monotonic seconds."""

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        self.heads: Counter[str] = Counter()
        self.lost = LostServers()
        # The ends that a refused request accounts for, and which one it is.
        self.explained: dict[ServerRun, str] = {}
        # The ends beneath requests that have more than one.
        self.repeated: set[ServerRun] = set()

    def may_know(self, head: str) -> bool:
        """Tell whether a content with this head may be under suspicion."""
        return head in self.heads

    def standing(self, fingerprint: Fingerprint, now: float) -> Standing:
        """Return whether a request may be sent to a server now."""
        suspect = self.suspects.get(fingerprint.content)
        if suspect is None:
            return FREE
        times = self._counted(suspect, fingerprint.caller)
        if len(times) < ENDS_ALONE:
            return FREE
        ends, last = len(times), now - times[-1]
        until = refused_until(times)
        if until > now:
            return Standing(Verdict.QUARANTINED, until - now, ends, last)
        if suspect.trials or suspect.trial_until > now:
            left = max(suspect.trial_until - now, TRIAL_SECONDS / 2)
            return Standing(Verdict.WAITS, left, ends, last)
        return Standing(Verdict.ALONE, 0.0, ends, last)

    def note_end(self, fingerprint: Fingerprint, run: ServerRun, now: float) -> bool:
        """Take in that a server ended with a request in flight; tell if it is news."""
        content = fingerprint.content
        run = self._distinct(run, now)
        news = self._add(content, EndKey(run, fingerprint.caller), now)
        if news:
            self.suspects[content].changed_at = now
            self._clear_bystanders(content, now)
        return news

    def note_answer(self, fingerprint: Fingerprint, now: float) -> bool:
        """Clear a request that a server has answered; tell whether that is news.

        An answer to one caller says nothing of a request of another one that is refused
        for ends of its own.
        """
        suspect = self.suspects.get(fingerprint.content)
        if suspect is None:
            return False
        refused = {
            key.caller
            for key in suspect.unsettled()
            if key.caller != fingerprint.caller
            and refused_until(self._counted_of(suspect, key.caller)) > now
        }
        return self._settle(suspect, lambda key: key.caller not in refused, now)

    def lift(self, content: str, now: float) -> bool:
        """Clear a request on an operator's word; tell whether anything was held."""
        suspect = self.suspects.get(content)
        return suspect is not None and self._settle(suspect, lambda key: True, now)

    def begin_trial(self, content: str, now: float) -> None:
        """Take in that this host sends a suspected request to a server."""
        suspect = self.suspects.get(content)
        if suspect is not None:
            suspect.trials += 1
            suspect.trial_until = now + TRIAL_SECONDS
            suspect.changed_at = now

    def end_trial(self, content: str, now: float) -> None:
        """Take in that such a send has ended."""
        suspect = self.suspects.get(content)
        if suspect is not None:
            suspect.trials = max(0, suspect.trials - 1)
            suspect.trial_until = now

    def held(self, now: float) -> dict[str, float]:
        """Return the contents that may not run freely for some caller.

        With each come the seconds for which it is refused, 0 where it may be tried.
        """
        return {
            content: max(0.0, self.refused_until(content) - now)
            for content, suspect in self.suspects.items()
            if self._most_ends(suspect) >= ENDS_ALONE
        }

    def refused_until(self, content: str) -> float:
        """Return until when a content is refused to some caller."""
        suspect = self.suspects.get(content)
        if suspect is None or len(suspect.unsettled()) < ENDS_MAX:
            return float("-inf")
        callers = {key.caller for key in suspect.unsettled()}
        return max(refused_until(self._counted(suspect, caller)) for caller in callers)

    def merge(self, rows: Iterable[SharedSuspect], now: float) -> list[str]:
        """Take in what a peer knows; return the contents of which that was news."""
        changed = []
        for row in rows:
            if row.ends and self._merge_one(row, now):
                changed.append(row.content)
        # A full table may have dropped some for others.
        changed = [content for content in changed if content in self.suspects]
        for content in changed:
            self._clear_bystanders(content, now)
        return changed

    def shared(self, contents: Iterable[str], now: float) -> list[SharedSuspect]:
        """Return what peers should know of some contents."""
        return [
            _shared(content, self.suspects[content], now)
            for content in contents
            if content in self.suspects
        ]

    def recent(self, count: int, seconds: float, now: float) -> list[str]:
        """Return what a peer may have missed: held contents and the latest news."""
        held = self.held(now)
        rows = [
            (content in held, suspect.changed_at, content)
            for content, suspect in self.suspects.items()
            if content in held or now - suspect.changed_at <= seconds
        ]
        return [content for _, _, content in sorted(rows, reverse=True)[:count]]

    def tick(self, now: float) -> None:
        """Forget what is over."""
        for content, suspect in list(self.suspects.items()):
            newest = max(end.at for end in suspect.ends.values())
            if now - newest > FORGET_SECONDS:
                self._forget(content)
        self.lost.forget_before(now - FORGET_SECONDS)
        for run in self.explained.keys() - self.lost.ends.keys():
            del self.explained[run]
        self.repeated &= self.lost.ends.keys()

    def _distinct(self, run: ServerRun, now: float) -> ServerRun:
        """Return another run in place of one that has ended before.

        While the store is away a server starts again unheard, and its ends would count
        as one.
        """
        ended_at = self.lost.ends.get(run)
        if ended_at is None or now - ended_at < SAME_END_SECONDS:
            return run
        return run._replace(born=run.born + int(now - ended_at))

    def _merge_one(self, row: SharedSuspect, now: float) -> bool:
        """Take in what a peer knows of one content; tell whether that was news."""
        news = False
        for end in row.ends[:ENDS_KEPT]:
            key = EndKey(ServerRun(end.instance, end.born), end.caller)
            at = now - end.age_ms / 1000
            news |= self._add(row.content, key, at, settled=end.settled)
        suspect = self.suspects[row.content]
        trial_until = now + min(row.trial_ms / 1000, TRIAL_SECONDS)
        if row.trial_ms and trial_until > suspect.trial_until + TRIAL_SECONDS / 2:
            suspect.trial_until = trial_until
            news = True
        if news:
            suspect.changed_at = now
        return news

    def _add(
        self, content: str, key: EndKey, at: float, *, settled: bool = False
    ) -> bool:
        """Take in an end beneath a request; tell whether that is news."""
        self.lost.note(key.run, at)
        suspect = self._suspect(content)
        if key not in suspect.ends:
            settled = settled or self.explained.get(key.run, content) != content
        news = suspect.add(key, at, settled=settled)
        runs = {known.run for known in suspect.ends}
        if len(runs) >= ENDS_ALONE:
            self.repeated |= runs
        return news

    def _most_ends(self, suspect: Suspect) -> int:
        """Return how many ends count against a request of the caller with most."""
        unsettled = suspect.unsettled()
        if len(unsettled) < ENDS_ALONE:
            return len(unsettled)
        callers = {key.caller for key in unsettled}
        return max(len(self._counted(suspect, caller)) for caller in callers)

    def _counted(self, suspect: Suspect, caller: str) -> list[float]:
        """Return the times of the ends that count against a caller's request.

        Servers answer from the content, so ends beneath several callers count against
        all of them. Those of one caller count against that one alone: what it sends may
        differ in ways that the fingerprint does not cover.
        """
        own = self._counted_of(suspect, caller)
        if len({key.caller for key in suspect.unsettled()}) < 2:
            return own
        together = self._counted_of(suspect, None)
        return max(own, together, key=lambda times: (refused_until(times), len(times)))

    def _counted_of(self, suspect: Suspect, caller: str | None) -> list[float]:
        """Return the times of the ends beneath one caller, or beneath all of them.

        A server that ended at the same moment without the request speaks for a cause
        that they share, unless another request has ended more than that one.
        """
        runs = {
            key.run: end.at
            for key, end in suspect.unsettled().items()
            if caller is None or key.caller == caller
        }
        own = {key.run for key in suspect.ends}

        def is_other(lost: ServerRun) -> bool:
            return lost not in own and lost not in self.repeated

        return counted_ends(
            EndMoment(at, self.lost.any_near(at, is_other)) for at in runs.values()
        )

    def _clear_bystanders(self, content: str, now: float) -> None:
        """Clear others of the ends that a refused request explains."""
        if self.refused_until(content) <= now:
            return
        runs = {key.run for key in self.suspects[content].unsettled()}
        for run in runs:
            self.explained.setdefault(run, content)
        for other, suspect in self.suspects.items():
            if other != content and self.refused_until(other) <= now:
                self._settle(suspect, lambda key: key.run in runs, now)

    def _settle(
        self, suspect: Suspect, wanted: Callable[[EndKey], bool], now: float
    ) -> bool:
        """Clear a request of some ends; tell whether that is news."""
        cleared = [key for key in suspect.unsettled() if wanted(key)]
        for key in cleared:
            suspect.ends[key].settled = True
        if cleared:
            suspect.changed_at = now
        return bool(cleared)

    def _suspect(self, content: str) -> Suspect:
        """Return what is kept of a content."""
        suspect = self.suspects.get(content)
        if suspect is None:
            if len(self.suspects) >= SUSPECTS_MAX:
                self._forget(min(self.suspects, key=self._weight))
            suspect = self.suspects[content] = Suspect()
            self.heads[content[:HEAD_LENGTH]] += 1
        return suspect

    def _weight(self, content: str) -> tuple[int, float]:
        """Return how much would be lost with a content."""
        suspect = self.suspects[content]
        return len(suspect.unsettled()), suspect.changed_at

    def _forget(self, content: str) -> None:
        """Drop what is kept of a content."""
        del self.suspects[content]
        head = content[:HEAD_LENGTH]
        self.heads[head] -= 1
        if not self.heads[head]:
            del self.heads[head]


def _shared(content: str, suspect: Suspect, now: float) -> SharedSuspect:
    """Return what peers should know of one content."""
    ends = tuple(
        SharedEnd(
            key.run.instance,
            key.run.born,
            key.caller,
            max(0, round((now - end.at) * 1000)),
            end.settled,
        )
        for key, end in suspect.ends.items()
    )
    trial_seconds = max(0.0, suspect.trial_until - now)
    return SharedSuspect(content, ends, round(trial_seconds * 1000))
