"""Know which hosts are alive from the heartbeats that peers pass on."""

from typing import Final

import msgspec

from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip_messages import Heartbeat, HostState, Message
from greengagepoint_node.gateway.store_types import HostEntry

# Several rounds of exchanges; look-ups drop a dead host after it, under the 6 s that
# users allow.
ALIVE_SECONDS: Final = 3.5
FORGET_SECONDS: Final = 30.0
# A lifetime is passed on with its addresses for this long; who lacks them later asks.
# They are three quarters of a state's bytes.
ADDRESSES_SECONDS: Final = 5.0


class HeardHost(msgspec.Struct):
    """The newest state of another host and when news of it came; monotonic seconds.

    ``first_heard_at`` is when this lifetime was heard of; ``ended_start`` is the start
    of one that it has replaced.
    """

    state: HostState
    heard_at: float
    first_heard_at: float
    ended_start: int | None = None


class HostTable:
    """Keep this host and what is heard of the others; times are monotonic seconds."""

    def __init__(self, own: HostState, events: EventSink) -> None:
        self.own = own
        self.events = events
        self.heard: dict[str, HeardHost] = {}
        self.lacks_addresses = False

    def alive(self, now: float) -> list[HostState]:
        """Return this host and those that news came of lately."""
        rows = [self.own] if not self.own.leaving else []
        rows += [row.state for row in self.recent(now) if not row.state.leaving]
        return rows

    def recent(self, now: float) -> list[HeardHost]:
        """Return the other hosts that news came of lately, also those that leave."""
        return [
            row for row in self.heard.values() if now - row.heard_at <= ALIVE_SECONDS
        ]

    def region_of(self, address: str) -> str | None:
        """Return the region of the host that takes messages at an address."""
        for row in self.heard.values():
            if row.state.entry.peer_address == address:
                return row.state.entry.region
        return None

    def is_near(self, entry: HostEntry) -> bool:
        """Tell whether a host is in this one's region."""
        return entry.region == self.own.entry.region

    def take(self, message: Message, now: float) -> None:
        """Keep what is news of hosts; note whether addresses are not known here."""
        for state in message.hosts:
            self.take_host(state, now)
        for beat in message.heartbeats:
            entry = self._entry(beat)
            if entry is not None:
                state = HostState(entry, beat.started, beat.count, beat.leaving)
                self.take_host(state, now)
            elif beat.name != self.own.entry.name:
                self.lacks_addresses = True

    def forget_lost(self, now: float) -> None:
        """Drop the hosts that nothing was heard of for long."""
        for name in [
            name
            for name, row in self.heard.items()
            if now - row.heard_at > FORGET_SECONDS
        ]:
            del self.heard[name]

    def _entry(self, beat: Heartbeat) -> HostEntry | None:
        """Return the addresses of a lifetime, None where they are not known."""
        known = self.heard.get(beat.name)
        if known is not None and known.state.started == beat.started:
            return known.state.entry
        return None

    def take_host(self, state: HostState, now: float) -> None:
        """Keep what is news of a host."""
        name = state.entry.name
        if name == self.own.entry.name:
            return
        known = self.heard.get(name)
        if known is None:
            self.heard[name] = HeardHost(state, now, now)
            self.events.record(Event.HOST_ALIVE, host=name, region=state.entry.region)
            return
        newer = (state.started, state.count) > (known.state.started, known.state.count)
        # A clock that went back makes a new lifetime look older than the one before it,
        # which is over once nothing of it has come for so long. What other hosts still
        # pass on of it must not bring it back.
        restarted = state.started != known.state.started
        replaced = restarted and now - known.heard_at > ALIVE_SECONDS
        if state.started == known.ended_start:
            return
        if newer or replaced:
            if state.leaving and not known.state.leaving:
                self.events.record(Event.HOST_LEAVING, host=name)
            ended = known.state.started if restarted else known.ended_start
            first_heard_at = now if restarted else known.first_heard_at
            self.heard[name] = HeardHost(state, now, first_heard_at, ended)
