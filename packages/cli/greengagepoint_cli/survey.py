"""Ask every host of the system.

A host knows the hosts of its own availability zone, and of other zones only some. So
the client asks those that the first one names, then those that these name, until no
host is new.
"""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Final, Generic, NamedTuple, TypeVar

import aiohttp

from greengagepoint.operator_api import KnownHost, StatusAnswer
from greengagepoint_cli.api import Api, Call, describe_failure
from greengagepoint_cli.const import MAX_HOSTS_AT_ONCE
from greengagepoint_cli.errors import ProblemError

T = TypeVar("T")

STATUS: Final = Call("GET", "/v1/status", StatusAnswer)


class HostAnswer(NamedTuple, Generic[T]):
    """The answer of one host, or why there is none."""

    host: str
    document: T | None
    fault: str = ""


async def async_statuses(api: Api) -> list[HostAnswer[StatusAnswer]]:
    """Return the status of every host, by name."""
    _known, answers = await _async_survey(api)
    return [answers[name] for name in sorted(answers)]


async def async_ask_all(
    api: Api, path: str, answer: type[T], params: Mapping[str, str] | None = None
) -> list[HostAnswer[T]]:
    """Return the answer of every host to one question, by name."""
    known, _answers = await _async_survey(api)
    return await _async_ask(api, known.values(), Call("GET", path, answer, params))


async def _async_survey(
    api: Api,
) -> tuple[dict[str, KnownHost], dict[str, HostAnswer[StatusAnswer]]]:
    """Return all hosts that can be found, and their statuses."""
    first = await api.async_get(STATUS.path, STATUS.answer)
    known: dict[str, KnownHost] = {}
    answers: dict[str, HostAnswer[StatusAnswer]] = {}
    new = _take_new(known, first["hosts"])
    while new:
        answered = await _async_ask(api, new, STATUS)
        answers |= {answer.host: answer for answer in answered}
        new = _take_new(
            known,
            [
                row
                for answer in answered
                if answer.document is not None
                for row in answer.document["hosts"]
            ],
        )
    return known, answers


def _take_new(
    known: dict[str, KnownHost], rows: Iterable[KnownHost]
) -> list[KnownHost]:
    """Add hosts, and later runs of those known; return what was added."""
    added: dict[str, KnownHost] = {}
    for row in rows:
        held = known.get(row["name"])
        if held is None or row.get("incarnation", 0) > held.get("incarnation", 0):
            known[row["name"]] = row
            added[row["name"]] = row
    return list(added.values())


async def _async_ask(
    api: Api, hosts: Iterable[KnownHost], call: Call[T]
) -> list[HostAnswer[T]]:
    """Ask some hosts, a few at a time."""
    limit = asyncio.Semaphore(MAX_HOSTS_AT_ONCE)

    async def async_ask_one(host: KnownHost) -> HostAnswer[T]:
        async with limit:
            try:
                document = await api.async_call(f"http://{host['address']}", call)
            except ProblemError as error:
                return HostAnswer(host["name"], None, error.lines[0])
            except (aiohttp.ClientError, TimeoutError) as error:
                return HostAnswer(host["name"], None, describe_failure(error))
            return HostAnswer(host["name"], document)

    ordered = sorted(hosts, key=lambda host: host["name"])
    return await asyncio.gather(*map(async_ask_one, ordered))
