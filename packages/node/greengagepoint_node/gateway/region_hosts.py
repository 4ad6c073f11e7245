"""Rank the hosts of a region for a role, and send them reports.

The parts that report to a host of each region agree on that host without messages: all
hosts rank the live hosts they know in the same order.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final, TypeVar

import aiohttp
import msgspec

from greengagepoint.config.watchers import well_linked
from greengagepoint.events import Event
from greengagepoint.protocols import Clock
from greengagepoint.rendezvous import rank
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.store_types import HostEntry

# A host that did not answer gets no reports for this long.
FAILED_HOST_SKIP_SECONDS: Final = 2.0

AnswerT = TypeVar("AnswerT")


def rank_hosts(region: str, candidates: Iterable[HostEntry]) -> list[HostEntry]:
    """Return the well-linked hosts of a region by rendezvous rank."""
    members = [entry for entry in candidates if entry.region == region]
    return rank(region, well_linked(members), lambda entry: entry.name)


class ReportSender:
    """Send one kind of report, and skip hosts that recently did not answer.

    ``way`` is the label of the bytes that are counted in ``transferred``.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        path: str,
        way: str,
        clock: Clock,
        events: EventSink,
        transferred: Counter[tuple[str, str]],
    ) -> None:
        self.session = session
        self.path = path
        self.way = way
        self.clock = clock
        self.events = events
        self.transferred = transferred
        self.skipped_until: dict[str, float] = {}

    def without_skipped(self, entries: Iterable[HostEntry]) -> list[HostEntry]:
        """Return the hosts that are not skipped now."""
        now = self.clock.monotonic()
        return [
            entry
            for entry in entries
            if self.skipped_until.get(entry.peer_address, 0.0) <= now
        ]

    async def async_send(
        self,
        address: str,
        body: bytes,
        decode: Callable[[bytes], AnswerT],
        timeout_seconds: float,
    ) -> AnswerT | None:
        """Return the answer of a host, or None and skip it without a valid one."""
        self.transferred[self.way, "sent"] += len(body)
        url = f"http://{address}{self.path}"
        try:
            async with asyncio.timeout(timeout_seconds):
                async with self.session.post(url, data=body) as answer:
                    data = await answer.read()
            self.transferred[self.way, "received"] += len(data)
            return decode(data)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            self._skip(address, type(error).__name__)
            return None

    def _skip(self, address: str, detail: str) -> None:
        """Send nothing to a host for some time after it failed to answer."""
        until = self.clock.monotonic() + FAILED_HOST_SKIP_SECONDS
        self.skipped_until[address] = until
        self.events.record(Event.PEER_MESSAGE_DROPPED, address=address, detail=detail)
