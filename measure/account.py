"""Tell from the logs of hosts which requests they lost, when, and what decided it.

Run as ``python -m measure.account LOG...``; each file holds lines of any hosts, also
with other text before them.
"""

import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Any, Final, NamedTuple

import msgspec

SPAN_SECONDS: Final = 2
CAUSES_MAX: Final = 8
DECIDED: Final = frozenset({"request_refused", "request_failed"})


class Loss(NamedTuple):
    """One request that ended without an answer; ``time`` is that of its host."""

    time: float
    host: str
    route: str
    cause: str


class Account(NamedTuple):
    """The losses, and the number of lines that could not be read."""

    losses: list[Loss]
    unreadable: int


def read_account(lines: Iterable[str]) -> Account:
    """Return what the lines tell; text that is no log line is passed over."""
    losses = []
    unreadable = 0
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
            if fields["name"] in DECIDED:
                losses.append(_loss(fields))
        except (msgspec.DecodeError, KeyError, TypeError):
            unreadable += 1
    return Account(losses, unreadable)


def _loss(fields: dict[str, Any]) -> Loss:
    """Return the loss that a line tells of."""
    return Loss(fields["time"], fields["host"], fields.get("route", ""), _cause(fields))


def _cause(fields: dict[str, Any]) -> str:
    """Return why a request was lost, the inputs of the decision reduced to a word."""
    reason = fields["reason"].partition(": ")
    if fields["kind"] != "overloaded":
        return f"{reason[0]}: {reason[2]}" if reason[0].endswith("run") else reason[0]
    shortest = fields["shortest_wait"]
    if fields["report_age"] is None:
        return "busy: load not known"
    if shortest == 0:
        return "busy: free slot in the region"
    if shortest <= fields["longest_wait"]:
        return "busy: short wait in the region"
    return "busy: long wait everywhere"


def render(account: Account) -> Iterator[str]:
    """Yield the lines of the account: by span of time, then by host and route."""
    causes = Counter(loss.cause for loss in account.losses)
    shown = [cause for cause, _ in causes.most_common(CAUSES_MAX)]
    for number, cause in enumerate(shown):
        yield f"{'abcdefgh'[number]}  {causes[cause]:6}  {cause}"
    yield f"   {sum(causes.values()):6}  in all, {account.unreadable} lines unreadable"
    if not account.losses:
        return
    began = min(loss.time for loss in account.losses)
    spans = Counter(
        (int((loss.time - began) // SPAN_SECONDS), loss.cause)
        for loss in account.losses
    )
    yield "from s  " + "".join(f"{letter:>7}" for letter in "abcdefgh"[: len(shown)])
    for span in range(max(span for span, _ in spans) + 1):
        counts = "".join(f"{spans[span, cause]:7}" for cause in shown)
        yield f"{span * SPAN_SECONDS:6}  {counts}"
    for title, index in (("host", 1), ("route", 2)):
        yield f"by {title}"
        for name, count in Counter(loss[index] for loss in account.losses).most_common(
            CAUSES_MAX
        ):
            yield f"  {count:6}  {name}"


def _read_files(paths: Iterable[str]) -> Iterator[str]:
    """Yield the lines of all files, one after the other."""
    for path in paths:
        with open(path, errors="replace") as file:
            yield from file


def main() -> None:
    """Print the account of the files that are named."""
    for line in render(read_account(_read_files(sys.argv[1:]))):
        print(line)


if __name__ == "__main__":
    main()
