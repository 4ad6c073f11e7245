"""Reject requests that crash the backend servers that run them.

Such a request crashes each server that runs it, and callers retry it under new ids on
any host. Hosts share the server crashes that they see, so that three crashes in the
whole fleet are enough to quarantine the request. Harmless requests are in flight on
these servers too; they are cleared as soon as a server answers them.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

from greengagepoint.quarantine.fingerprint import HEAD_LENGTH, Fingerprint
from greengagepoint.quarantine.lost_servers import LostServers
from greengagepoint.quarantine.messages import SharedEnd, SharedSuspect
from greengagepoint.quarantine.rules import (
    ISOLATE_AFTER_CRASHES,
    QUARANTINE_AFTER_CRASHES,
    CrashMoment,
    counted_crashes,
    quarantined_until,
)
from greengagepoint.quarantine.tables import (
    CRASHES_KEPT,
    FREE,
    CrashKey,
    ServerIncarnation,
    Standing,
    Suspect,
    Verdict,
)

SUSPECTS_MAX: Final = 2_048
# Crashes are kept for long after the longest quarantine, so that a single further crash
# is enough to start it again.
CRASH_RETENTION_SECONDS: Final = 1_200.0
# Hosts that report the same crash do so within this.
SAME_CRASH_SECONDS: Final = 1.0
# While one host tries a request, other hosts wait this long for the outcome.
TRIAL_SECONDS: Final = 1.0


class Quarantine:
    """Server crashes seen by all hosts, by request content.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        self.heads: Counter[str] = Counter()
        self.lost = LostServers()
        # Crashes caused by a quarantined request, with the content of that request.
        self.explained_by: dict[ServerIncarnation, str] = {}
        # Crashes with a request in flight that was in flight at other crashes too.
        self.repeated_crashes: set[ServerIncarnation] = set()

    def has_suspect_head(self, head: str) -> bool:
        """Return True if a content with this head may be suspected."""
        return head in self.heads

    def standing(self, fingerprint: Fingerprint, now: float) -> Standing:
        """Decide whether a request may be sent to a server now."""
        suspect = self.suspects.get(fingerprint.content)
        if suspect is None:
            return FREE
        times = self._counted_times(suspect, fingerprint.caller)
        if len(times) < ISOLATE_AFTER_CRASHES:
            return FREE
        ends, last = len(times), now - times[-1]
        until = quarantined_until(times)
        if until > now:
            return Standing(Verdict.QUARANTINED, until - now, ends, last)
        if suspect.trials or suspect.trial_until > now:
            remaining = max(suspect.trial_until - now, TRIAL_SECONDS / 2)
            return Standing(Verdict.WAITS, remaining, ends, last)
        return Standing(Verdict.ALONE, 0.0, ends, last)

    def note_end(
        self, fingerprint: Fingerprint, incarnation: ServerIncarnation, now: float
    ) -> bool:
        """Record a server crash with a request in flight; return True if it is new."""
        content = fingerprint.content
        incarnation = self._distinct_incarnation(incarnation, now)
        has_changed = self._add(content, CrashKey(incarnation, fingerprint.caller), now)
        if has_changed:
            self.suspects[content].changed_at = now
            self._clear_bystanders(content, now)
        return has_changed

    def note_answer(self, fingerprint: Fingerprint, now: float) -> bool:
        """Clear a request that a server has answered; return True if that is a change.

        An answer to one caller does not clear the request of another caller that is
        quarantined for that caller's own crashes.
        """
        suspect = self.suspects.get(fingerprint.content)
        if suspect is None:
            return False
        quarantined_callers = {
            key.caller
            for key in suspect.unsettled()
            if key.caller != fingerprint.caller
            and quarantined_until(self._crash_times_of(suspect, key.caller)) > now
        }
        return self._settle(
            suspect, lambda key: key.caller not in quarantined_callers, now
        )

    def lift(self, content: str, now: float) -> bool:
        """Clear a request at an operator's command; return True if it was suspected."""
        suspect = self.suspects.get(content)
        return suspect is not None and self._settle(suspect, lambda key: True, now)

    def begin_trial(self, content: str, now: float) -> None:
        """Record that this host starts to send a suspected request to a server."""
        suspect = self.suspects.get(content)
        if suspect is not None:
            suspect.trials += 1
            suspect.trial_until = now + TRIAL_SECONDS
            suspect.changed_at = now

    def end_trial(self, content: str, now: float) -> None:
        """Record that the trial of a suspected request has ended."""
        suspect = self.suspects.get(content)
        if suspect is not None:
            suspect.trials = max(0, suspect.trials - 1)
            suspect.trial_until = now

    def held(self, now: float) -> dict[str, float]:
        """Return the contents that are restricted for some caller.

        Each maps to the seconds that its quarantine still lasts, 0 if it may be tried.
        """
        return {
            content: max(0.0, self.quarantined_until(content) - now)
            for content, suspect in self.suspects.items()
            if self._max_crashes(suspect) >= ISOLATE_AFTER_CRASHES
        }

    def quarantined_until(self, content: str) -> float:
        """Return until when a content is quarantined for some caller."""
        suspect = self.suspects.get(content)
        if suspect is None or len(suspect.unsettled()) < QUARANTINE_AFTER_CRASHES:
            return float("-inf")
        callers = {key.caller for key in suspect.unsettled()}
        return max(
            quarantined_until(self._counted_times(suspect, caller))
            for caller in callers
        )

    def merge(self, rows: Iterable[SharedSuspect], now: float) -> list[str]:
        """Merge a peer's table; return the contents that changed."""
        changed = []
        for row in rows:
            if row.ends and self._merge_one(row, now):
                changed.append(row.content)
        # A full table may have evicted some of them for others.
        changed = [content for content in changed if content in self.suspects]
        for content in changed:
            self._clear_bystanders(content, now)
        return changed

    def shared(self, contents: Iterable[str], now: float) -> list[SharedSuspect]:
        """Return the state of some contents to send to peers."""
        return [
            _to_shared(content, self.suspects[content], now)
            for content in contents
            if content in self.suspects
        ]

    def recent(self, count: int, seconds: float, now: float) -> list[str]:
        """Return up to ``count`` contents that a peer may have missed.

        These are the restricted ones, then those changed within ``seconds``.
        """
        held = self.held(now)
        rows = [
            (content in held, suspect.changed_at, content)
            for content, suspect in self.suspects.items()
            if content in held or now - suspect.changed_at <= seconds
        ]
        return [content for _, _, content in sorted(rows, reverse=True)[:count]]

    def tick(self, now: float) -> None:
        """Remove expired crashes and suspects."""
        for content, suspect in list(self.suspects.items()):
            newest = max(crash.at for crash in suspect.ends.values())
            if now - newest > CRASH_RETENTION_SECONDS:
                self._remove(content)
        self.lost.remove_before(now - CRASH_RETENTION_SECONDS)
        for incarnation in self.explained_by.keys() - self.lost.ends.keys():
            del self.explained_by[incarnation]
        self.repeated_crashes &= self.lost.ends.keys()

    def _distinct_incarnation(
        self, incarnation: ServerIncarnation, now: float
    ) -> ServerIncarnation:
        """Return a distinct incarnation in place of one that has crashed before.

        While the store is down, hosts are not told that a server has restarted. Its
        later crashes would otherwise count as one.
        """
        ended_at = self.lost.ends.get(incarnation)
        if ended_at is None or now - ended_at < SAME_CRASH_SECONDS:
            return incarnation
        return incarnation._replace(born=incarnation.born + int(now - ended_at))

    def _merge_one(self, row: SharedSuspect, now: float) -> bool:
        """Merge a peer's state of one content; return True if anything changed."""
        has_changed = False
        for crash in row.ends[:CRASHES_KEPT]:
            key = CrashKey(ServerIncarnation(crash.instance, crash.born), crash.caller)
            at = now - crash.age_ms / 1000
            has_changed |= self._add(row.content, key, at, settled=crash.settled)
        suspect = self.suspects[row.content]
        trial_until = now + min(row.trial_ms / 1000, TRIAL_SECONDS)
        if row.trial_ms and trial_until > suspect.trial_until + TRIAL_SECONDS / 2:
            suspect.trial_until = trial_until
            has_changed = True
        if has_changed:
            suspect.changed_at = now
        return has_changed

    def _add(
        self, content: str, key: CrashKey, at: float, *, settled: bool = False
    ) -> bool:
        """Add a crash to a request's suspect; return True if anything changed."""
        self.lost.record(key.incarnation, at)
        suspect = self._get_or_create_suspect(content)
        if key not in suspect.ends:
            settled = (
                settled or self.explained_by.get(key.incarnation, content) != content
            )
        has_changed = suspect.add(key, at, settled=settled)
        incarnations = {crash_key.incarnation for crash_key in suspect.ends}
        if len(incarnations) >= ISOLATE_AFTER_CRASHES:
            self.repeated_crashes |= incarnations
        return has_changed

    def _max_crashes(self, suspect: Suspect) -> int:
        """Return the highest number of crashes that count against any one caller."""
        unsettled = suspect.unsettled()
        if len(unsettled) < ISOLATE_AFTER_CRASHES:
            return len(unsettled)
        callers = {key.caller for key in unsettled}
        return max(len(self._counted_times(suspect, caller)) for caller in callers)

    def _counted_times(self, suspect: Suspect, caller: str) -> list[float]:
        """Return the times of the crashes that count against a caller's request.

        A server's answer depends on the content, so crashes with requests of several
        callers count against all of them. Crashes with one caller's requests count
        against that caller alone: its requests may differ in ways that the fingerprint
        does not cover.
        """
        own = self._crash_times_of(suspect, caller)
        if len({key.caller for key in suspect.unsettled()}) < 2:
            return own
        all_callers_times = self._crash_times_of(suspect, None)
        return max(
            own,
            all_callers_times,
            key=lambda times: (quarantined_until(times), len(times)),
        )

    def _crash_times_of(self, suspect: Suspect, caller: str | None) -> list[float]:
        """Return the times of the crashes with one caller's requests, or all callers'.

        If another server crashed at the same time without the request in flight, the
        crashes probably share a cause, unless another request that was in flight at
        several crashes explains that server's.
        """
        incarnations = {
            key.incarnation: crash.at
            for key, crash in suspect.unsettled().items()
            if caller is None or key.caller == caller
        }
        own = {key.incarnation for key in suspect.ends}

        def is_other(lost: ServerIncarnation) -> bool:
            return lost not in own and lost not in self.repeated_crashes

        return counted_crashes(
            CrashMoment(at, self.lost.has_crash_near(at, is_other))
            for at in incarnations.values()
        )

    def _clear_bystanders(self, content: str, now: float) -> None:
        """Clear other requests of the crashes that a quarantined request caused."""
        if self.quarantined_until(content) <= now:
            return
        incarnations = {key.incarnation for key in self.suspects[content].unsettled()}
        for incarnation in incarnations:
            self.explained_by.setdefault(incarnation, content)
        for other, suspect in self.suspects.items():
            if other != content and self.quarantined_until(other) <= now:
                self._settle(suspect, lambda key: key.incarnation in incarnations, now)

    def _settle(
        self, suspect: Suspect, matches: Callable[[CrashKey], bool], now: float
    ) -> bool:
        """Settle the matching crashes of a request; return True if there were any."""
        cleared = [key for key in suspect.unsettled() if matches(key)]
        for key in cleared:
            suspect.ends[key].settled = True
        if cleared:
            suspect.changed_at = now
        return bool(cleared)

    def _get_or_create_suspect(self, content: str) -> Suspect:
        """Return the suspect of a content, creating it if needed."""
        suspect = self.suspects.get(content)
        if suspect is None:
            if len(self.suspects) >= SUSPECTS_MAX:
                self._remove(min(self.suspects, key=self._eviction_key))
            suspect = self.suspects[content] = Suspect()
            self.heads[content[:HEAD_LENGTH]] += 1
        return suspect

    def _eviction_key(self, content: str) -> tuple[int, float]:
        """Return the eviction priority of a content; the lowest is evicted first."""
        suspect = self.suspects[content]
        return len(suspect.unsettled()), suspect.changed_at

    def _remove(self, content: str) -> None:
        """Remove a content from the table."""
        del self.suspects[content]
        head = content[:HEAD_LENGTH]
        self.heads[head] -= 1
        if not self.heads[head]:
            del self.heads[head]


def _to_shared(content: str, suspect: Suspect, now: float) -> SharedSuspect:
    """Return the state of one content to send to peers."""
    ends = tuple(
        SharedEnd(
            key.incarnation.instance,
            key.incarnation.born,
            key.caller,
            max(0, round((now - crash.at) * 1000)),
            crash.settled,
        )
        for key, crash in suspect.ends.items()
    )
    trial_seconds = max(0.0, suspect.trial_until - now)
    return SharedSuspect(content, ends, round(trial_seconds * 1000))
