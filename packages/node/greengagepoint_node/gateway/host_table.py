"""Track which hosts are alive by the heartbeats that peers pass on."""

from typing import Final

import msgspec

from greengagepoint.events import Event
from greengagepoint_node.context import EventSink
from greengagepoint_node.gateway.gossip_messages import Heartbeat, HostState, Message
from greengagepoint_node.gateway.store_types import HostEntry

# Several rounds of exchanges. Look-ups stop listing a dead host after this time, within
# the 6 s that users allow.
ALIVE_SECONDS: Final = 3.5
EVICT_SECONDS: Final = 30.0
# The state of a new incarnation is passed on with its addresses for this long; a host
# that lacks them later asks for them. They are three quarters of a state's bytes.
ADDRESSES_SECONDS: Final = 5.0


class HeardHost(msgspec.Struct):
    """The newest state of another host and when it arrived, in monotonic seconds.

    ``first_heard_at`` is when the first state of this incarnation arrived;
    ``ended_start`` is the start time of the incarnation that it replaced.
    """

    state: HostState
    heard_at: float
    first_heard_at: float
    ended_start: int | None = None


class HostTable:
    """Hold the states of this host and its peers; times are monotonic seconds."""

    def __init__(self, own: HostState, events: EventSink) -> None:
        self.own = own
        self.events = events
        self.peers_by_name: dict[str, HeardHost] = {}
        self.lacks_addresses = False

    def alive(self, now: float) -> list[HostState]:
        """Return this host and the recent peers, without those that are leaving."""
        rows = [self.own] if not self.own.leaving else []
        rows += [row.state for row in self.recent_peers(now) if not row.state.leaving]
        return rows

    def recent_peers(self, now: float) -> list[HeardHost]:
        """Return peers with a recent state, including those that are leaving."""
        return [
            row
            for row in self.peers_by_name.values()
            if now - row.heard_at <= ALIVE_SECONDS
        ]

    def leaving(self) -> set[str]:
        """Return the names of the hosts whose last state says that they leave."""
        rows = self.peers_by_name.items()
        names = {name for name, row in rows if row.state.leaving}
        return names | ({self.own.entry.name} if self.own.leaving else set())

    def region_of(self, address: str) -> str | None:
        """Return the region of the host with a peer address, None if unknown."""
        for row in self.peers_by_name.values():
            if row.state.entry.peer_address == address:
                return row.state.entry.region
        return None

    def is_local(self, entry: HostEntry) -> bool:
        """Return True if a host is in this host's region."""
        return entry.region == self.own.entry.region

    def merge(self, message: Message, now: float) -> None:
        """Merge a message's hosts; set ``lacks_addresses`` for unknown hosts."""
        for state in message.hosts:
            self.apply_state(state, now)
        for heartbeat in message.heartbeats:
            entry = self._known_entry(heartbeat)
            if entry is not None:
                state = HostState(
                    entry,
                    heartbeat.started,
                    heartbeat.count,
                    heartbeat.leaving,
                    heartbeat.cut_off,
                    heartbeat.recovering,
                )
                self.apply_state(state, now)
            elif heartbeat.name != self.own.entry.name:
                self.lacks_addresses = True

    def evict_expired(self, now: float) -> None:
        """Drop hosts without a new state for ``EVICT_SECONDS``."""
        for name in [
            name
            for name, row in self.peers_by_name.items()
            if now - row.heard_at > EVICT_SECONDS
        ]:
            del self.peers_by_name[name]

    def _known_entry(self, heartbeat: Heartbeat) -> HostEntry | None:
        """Return the entry of a heartbeat's incarnation, None if it is unknown."""
        previous = self.peers_by_name.get(heartbeat.name)
        if previous is not None and previous.state.started == heartbeat.started:
            return previous.state.entry
        return None

    def apply_state(self, state: HostState, now: float) -> None:
        """Store a host's state if it is newer than the known one."""
        name = state.entry.name
        if name == self.own.entry.name:
            return
        previous = self.peers_by_name.get(name)
        if previous is None:
            self.peers_by_name[name] = HeardHost(state, now, now)
            self.events.record(Event.HOST_ALIVE, host=name, region=state.entry.region)
            return
        newer = (state.started, state.count) > (
            previous.state.started,
            previous.state.count,
        )
        # If the host's clock was set back, its new incarnation seems older than the
        # previous one, which has ended if no state of it arrived for this long. States
        # of it that peers still pass on must not bring it back.
        restarted = state.started != previous.state.started
        replaced = restarted and now - previous.heard_at > ALIVE_SECONDS
        if state.started == previous.ended_start:
            return
        if newer or replaced:
            if state.leaving and not previous.state.leaving:
                self.events.record(Event.HOST_LEAVING, host=name)
            ended = previous.state.started if restarted else previous.ended_start
            first_heard_at = now if restarted else previous.first_heard_at
            self.peers_by_name[name] = HeardHost(state, now, first_heard_at, ended)
