"""The catalogue of numbered events that daemons log and keep on the time line."""

from enum import IntEnum, StrEnum
from typing import Any, Final, NamedTuple


class Level(StrEnum):
    """How urgent an event is for an operator."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Event(IntEnum):
    """Numbers of all events; a number is never given to another event."""

    # 1000: the process
    DAEMON_STARTED = 1001
    DAEMON_READY = 1002
    DAEMON_STOPPING = 1003
    DAEMON_STOPPED = 1004
    TICK_LATE = 1005
    FENCED = 1006
    INTERNAL_ERROR = 1007
    SETTINGS_RELOADED = 1008
    METRICS_UNAVAILABLE = 1009
    CONNECTIONS_CLOSING = 1010
    # 2000: requests
    REQUEST_ADMITTED = 2001
    REQUEST_REFUSED = 2002
    REQUEST_SENT = 2003
    REQUEST_ANSWERED = 2004
    REQUEST_FAILED = 2005
    REQUEST_RETRIED = 2006
    REQUEST_HEDGED = 2007
    REQUEST_CANCELLED = 2008
    REQUEST_MALFORMED = 2009
    DOWNLOAD_RESUMED = 2010
    KEY_CLAIMED = 2011
    KEY_REFUSED = 2012
    KEY_RELEASED = 2013
    REQUEST_QUARANTINED = 2014
    REQUEST_RELEASED = 2015
    ADMISSION_LEVEL_CHANGED = 2016
    REQUEST_WAITED = 2017
    PRESSURE_INVALID = 2018
    REQUEST_RELAYED = 2019
    RELAY_REJECTED = 2020
    REQUEST_UNANSWERED = 2021
    LATE_REQUEST_DECIDED = 2022
    ANSWER_NOT_WRITTEN = 2023
    ANSWER_REJECTED = 2024
    ANSWER_DROPPED = 2025
    UPLOAD_REJECTED = 2026
    ANSWER_WITHOUT_PROOF = 2027
    # 3000: configuration
    RECORD_REFUSED = 3001
    CONFIGURATION_IN_FORCE = 3002
    CONFIGURATION_CONFLICT = 3003
    STORE_REVERTED = 3004
    RECORD_TOO_NEW = 3005
    CONFIGURATION_FROM_PEER = 3006
    CONFIGURATION_DROPPED = 3007
    # 4000: membership
    HOST_ALIVE = 4001
    HOST_SUSPECTED = 4002
    HOST_GONE = 4003
    HOST_LEAVING = 4004
    REGION_UNREACHABLE = 4005
    REGION_REACHABLE = 4006
    # 5000: caps, region budgets and shifts
    LEDGER_CHANGED = 5001
    SHARE_RECLAIMED = 5002
    LOAN_GRANTED = 5003
    LOAN_EXPIRED = 5004
    RIGHTS_GIVEN_UP = 5005
    SHIFT_STARTED = 5006
    SHIFT_HELD_BACK = 5007
    SHIFT_FINISHED = 5008
    SHIFT_REVERSED = 5009
    ACCOUNT_LIMIT_CHANGED = 5010
    # 6000: backend servers
    BACKEND_SERVER_EJECTED = 6001
    BACKEND_SERVER_READMITTED = 6002
    BACKEND_SERVER_LEAVING = 6003
    BACKEND_SERVER_DRAINED = 6004
    LOAD_REPORT_DISTRUSTED = 6005
    LOAD_REPORT_INVALID = 6006
    ZONE_EVACUATED = 6007
    ZONE_TAKEN_BACK = 6008
    BACKEND_SERVER_SUSPECTED = 6009
    SPILL_CHANGED = 6010
    BACKEND_SERVER_ENDED = 6011
    BACKEND_SERVER_LIMITED = 6012
    BACKEND_SERVER_ANNOUNCED_LEAVING = 6013
    BACKEND_SERVER_RESTING = 6014
    BACKEND_SERVER_RESTED = 6015
    UNEVEN_SERVERS_FOUND = 6016
    PACE_PROBE_FAILED = 6017
    KEY_COORDINATOR_CHANGED = 6022
    KEY_WEIGHTS_APPLIED = 6023
    KEYS_BALANCED = 6024
    KEY_PLACEMENT_INVALID = 6025
    BACKEND_SERVERS_UNREACHABLE = 6026
    BACKEND_SERVERS_REACHABLE = 6027
    SERVERS_UNVERIFIED = 6028
    REGION_SHARES_CHANGED = 6019
    DEMAND_FIGURE_INVALID = 6020
    # 7000: the platform
    STORE_UNAVAILABLE = 7001
    STORE_AVAILABLE = 7002
    STORE_ANSWER_INVALID = 7003
    STORE_WRITE_SETTLED = 7004
    HOST_LIST_UNAVAILABLE = 7005
    HOST_LIST_INVALID = 7006
    HOST_ENTRY_LOST = 7007
    STORE_WATCH_CHANGED = 7008
    QUARANTINE_NOT_STORED = 7009
    STORE_BEHIND = 7010
    STORE_RESTORED = 7011
    STORE_WATCH_OVERDUE = 7012
    # 8000: usage
    USAGE_WRITTEN = 8001
    USAGE_WRITE_FAILED = 8002
    # 9000: peers
    PEER_MESSAGE_REJECTED = 9001
    PEER_MESSAGE_DROPPED = 9002
    PEER_UNKNOWN = 9003


class EventType(NamedTuple):
    """One row of the catalogue."""

    level: Level
    meaning: str


CATALOGUE: Final[dict[Event, EventType]] = {
    Event.DAEMON_STARTED: EventType(Level.INFO, "The daemon has started."),
    Event.DAEMON_READY: EventType(Level.INFO, "The daemon serves callers."),
    Event.DAEMON_STOPPING: EventType(
        Level.INFO, "The daemon has left look-ups and waits for requests to end."
    ),
    Event.DAEMON_STOPPED: EventType(Level.INFO, "The daemon has stopped."),
    Event.TICK_LATE: EventType(Level.WARNING, "A tick ran much later than planned."),
    Event.FENCED: EventType(
        Level.WARNING, "The process was paused and has given up its rights."
    ),
    Event.INTERNAL_ERROR: EventType(Level.ERROR, "An unexpected error was caught."),
    Event.SETTINGS_RELOADED: EventType(Level.INFO, "The settings were read again."),
    Event.REQUEST_ADMITTED: EventType(Level.DEBUG, "A request was admitted."),
    Event.METRICS_UNAVAILABLE: EventType(
        Level.WARNING, "The metrics address cannot be used."
    ),
    Event.CONNECTIONS_CLOSING: EventType(
        Level.INFO, "The daemon has stopped listening and closes its connections."
    ),
    Event.REQUEST_REFUSED: EventType(
        Level.INFO, "A request was refused and has not run."
    ),
    Event.REQUEST_SENT: EventType(
        Level.DEBUG, "A request was sent to a backend server."
    ),
    Event.REQUEST_ANSWERED: EventType(Level.DEBUG, "A caller got a whole answer."),
    Event.REQUEST_FAILED: EventType(Level.WARNING, "A request failed after admission."),
    Event.REQUEST_RETRIED: EventType(Level.INFO, "A request was sent again."),
    Event.REQUEST_HEDGED: EventType(
        Level.INFO, "A repeatable read was sent to a second backend server."
    ),
    Event.REQUEST_CANCELLED: EventType(Level.INFO, "The caller went away."),
    Event.REQUEST_MALFORMED: EventType(Level.INFO, "A malformed request was refused."),
    Event.DOWNLOAD_RESUMED: EventType(
        Level.INFO, "A broken download went on from where it had stopped."
    ),
    Event.KEY_CLAIMED: EventType(Level.DEBUG, "An idempotency key was claimed."),
    Event.KEY_REFUSED: EventType(
        Level.INFO, "An idempotency key was already claimed by another request."
    ),
    Event.KEY_RELEASED: EventType(
        Level.DEBUG, "A claim was released because the request has not run."
    ),
    Event.REQUEST_QUARANTINED: EventType(
        Level.WARNING, "A request is refused, as servers ended beneath it."
    ),
    Event.REQUEST_RELEASED: EventType(
        Level.INFO, "A request that was refused may be sent again."
    ),
    Event.ADMISSION_LEVEL_CHANGED: EventType(
        Level.INFO, "A service's admission level has changed."
    ),
    Event.REQUEST_WAITED: EventType(
        Level.DEBUG, "A request has waited on this host for a backend server."
    ),
    Event.PRESSURE_INVALID: EventType(
        Level.WARNING, "Peers' pressure figures were out of range and are ignored."
    ),
    Event.REQUEST_RELAYED: EventType(
        Level.INFO,
        "A request was passed on to another host, as this one is cut off from servers.",
    ),
    Event.RELAY_REJECTED: EventType(
        Level.INFO, "A request of another host could not be taken on."
    ),
    Event.REQUEST_UNANSWERED: EventType(
        Level.WARNING, "A request was read on a connection that ends unanswered."
    ),
    Event.LATE_REQUEST_DECIDED: EventType(
        Level.INFO, "A stopping host has decided whether to send a request."
    ),
    Event.ANSWER_NOT_WRITTEN: EventType(
        Level.WARNING, "An answer could not be written to its caller."
    ),
    Event.ANSWER_REJECTED: EventType(
        Level.WARNING, "The head of a server's answer can't be passed on."
    ),
    Event.ANSWER_WITHOUT_PROOF: EventType(
        Level.WARNING,
        "An answer said that a request has not run, but does not prove to be its own.",
    ),
    Event.ANSWER_DROPPED: EventType(
        Level.WARNING, "An answer was given up, as the host can't hold it."
    ),
    Event.UPLOAD_REJECTED: EventType(
        Level.WARNING, "A request was rejected, as the host can't hold its body."
    ),
    Event.RECORD_REFUSED: EventType(Level.INFO, "A steering record was refused."),
    Event.CONFIGURATION_IN_FORCE: EventType(
        Level.INFO, "A configuration generation is in force on this host."
    ),
    Event.CONFIGURATION_CONFLICT: EventType(
        Level.INFO, "Two operators changed the same record."
    ),
    Event.STORE_REVERTED: EventType(
        Level.ERROR, "The store holds an older configuration than is in force."
    ),
    Event.RECORD_TOO_NEW: EventType(
        Level.WARNING, "A record has a newer schema version than this daemon knows."
    ),
    Event.CONFIGURATION_FROM_PEER: EventType(
        Level.INFO, "Configuration was taken from a peer."
    ),
    Event.CONFIGURATION_DROPPED: EventType(
        Level.INFO, "A version of the configuration was dropped before its decoding."
    ),
    Event.HOST_ALIVE: EventType(Level.INFO, "A host is alive."),
    Event.HOST_SUSPECTED: EventType(Level.INFO, "A host is suspected of being gone."),
    Event.HOST_GONE: EventType(Level.WARNING, "A host is considered gone."),
    Event.HOST_LEAVING: EventType(Level.INFO, "A host is leaving."),
    Event.REGION_UNREACHABLE: EventType(
        Level.ERROR, "No host of a region can be reached."
    ),
    Event.REGION_REACHABLE: EventType(Level.INFO, "A region can be reached again."),
    Event.LEDGER_CHANGED: EventType(
        Level.INFO, "This host's share in the ledger changed."
    ),
    Event.SHARE_RECLAIMED: EventType(
        Level.WARNING, "The share of a host that is gone was reclaimed."
    ),
    Event.LOAN_GRANTED: EventType(Level.DEBUG, "Units were lent to another host."),
    Event.LOAN_EXPIRED: EventType(Level.DEBUG, "Borrowed units expired."),
    Event.RIGHTS_GIVEN_UP: EventType(
        Level.WARNING, "This host gave up its share until it reads the ledger again."
    ),
    Event.SHIFT_STARTED: EventType(Level.INFO, "A shift began to move traffic."),
    Event.SHIFT_HELD_BACK: EventType(
        Level.INFO, "A shift waits because the destination has slowed down."
    ),
    Event.SHIFT_FINISHED: EventType(Level.INFO, "A shift reached its target."),
    Event.SHIFT_REVERSED: EventType(Level.INFO, "A shift was reversed."),
    Event.ACCOUNT_LIMIT_CHANGED: EventType(
        Level.INFO, "A client account went over its limit, or is within it again."
    ),
    Event.BACKEND_SERVER_EJECTED: EventType(
        Level.WARNING, "A backend server was ejected for its failures."
    ),
    Event.BACKEND_SERVER_READMITTED: EventType(
        Level.INFO, "An ejected backend server gets requests again."
    ),
    Event.BACKEND_SERVER_LEAVING: EventType(
        Level.INFO, "A backend server is leaving and gets nothing new."
    ),
    Event.BACKEND_SERVER_DRAINED: EventType(
        Level.INFO, "No request is in flight to a leaving backend server."
    ),
    Event.LOAD_REPORT_DISTRUSTED: EventType(
        Level.INFO, "A load report contradicts what this host sees."
    ),
    Event.LOAD_REPORT_INVALID: EventType(
        Level.WARNING, "A load report could not be decoded."
    ),
    Event.ZONE_EVACUATED: EventType(
        Level.INFO, "The backend servers of a zone get nothing new."
    ),
    Event.ZONE_TAKEN_BACK: EventType(
        Level.INFO, "The backend servers of a zone get requests again, as cold ones."
    ),
    Event.BACKEND_SERVER_SUSPECTED: EventType(
        Level.INFO, "A backend server failed a request and is spared for a while."
    ),
    Event.BACKEND_SERVER_ENDED: EventType(
        Level.INFO, "A backend server ended with a request in flight."
    ),
    Event.BACKEND_SERVER_LIMITED: EventType(
        Level.INFO, "A backend server named, changed or ended its request limit."
    ),
    Event.BACKEND_SERVER_ANNOUNCED_LEAVING: EventType(
        Level.INFO, "A backend server said in an answer that it leaves."
    ),
    Event.BACKEND_SERVER_RESTING: EventType(
        Level.INFO, "A backend server asked this host to send it nothing for a time."
    ),
    Event.BACKEND_SERVER_RESTED: EventType(
        Level.INFO, "The time for which a backend server asked is over."
    ),
    Event.UNEVEN_SERVERS_FOUND: EventType(
        Level.INFO, "A backend server reports its pace; the demand mode is on."
    ),
    Event.PACE_PROBE_FAILED: EventType(
        Level.WARNING, "The health path of a backend server did not answer a probe."
    ),
    Event.KEY_COORDINATOR_CHANGED: EventType(
        Level.INFO, "This host begins or ceases to place the keys of its region."
    ),
    Event.KEY_WEIGHTS_APPLIED: EventType(
        Level.INFO, "This host ranks a region's servers for keys by new weights."
    ),
    Event.KEYS_BALANCED: EventType(
        Level.INFO, "The coordinator changed the weights of a service's servers."
    ),
    Event.KEY_PLACEMENT_INVALID: EventType(
        Level.WARNING, "A message about keys has invalid rows, which are left out."
    ),
    Event.BACKEND_SERVERS_UNREACHABLE: EventType(
        Level.WARNING, "This host reaches no backend server and passes requests on."
    ),
    Event.BACKEND_SERVERS_REACHABLE: EventType(
        Level.INFO, "This host reaches backend servers again."
    ),
    Event.SERVERS_UNVERIFIED: EventType(
        Level.INFO,
        "This host limits requests to servers for lack of news, or no longer.",
    ),
    Event.REGION_SHARES_CHANGED: EventType(
        Level.INFO, "The demand of regions asks for other shares of a service's keys."
    ),
    Event.DEMAND_FIGURE_INVALID: EventType(
        Level.WARNING, "A peer sent demand figures that are out of bounds."
    ),
    Event.SPILL_CHANGED: EventType(
        Level.INFO, "The regions get other parts of a service's keys."
    ),
    Event.STORE_UNAVAILABLE: EventType(
        Level.WARNING, "The key-value service cannot be reached."
    ),
    Event.STORE_AVAILABLE: EventType(
        Level.INFO, "The key-value service answers again."
    ),
    Event.STORE_ANSWER_INVALID: EventType(
        Level.ERROR, "The key-value service sent an answer that cannot be decoded."
    ),
    Event.STORE_WRITE_SETTLED: EventType(
        Level.INFO, "A write whose reply was lost has been settled by reading it back."
    ),
    Event.HOST_LIST_UNAVAILABLE: EventType(
        Level.WARNING, "The host list cannot be reached."
    ),
    Event.HOST_LIST_INVALID: EventType(
        Level.WARNING, "The host list could not be decoded."
    ),
    Event.HOST_ENTRY_LOST: EventType(
        Level.WARNING, "This host's entry in the store has lapsed or was not removed."
    ),
    Event.STORE_WATCH_CHANGED: EventType(
        Level.INFO, "A host began or ceased to watch the store by itself."
    ),
    Event.QUARANTINE_NOT_STORED: EventType(
        Level.WARNING, "Refused requests could not be written to the store yet."
    ),
    Event.STORE_BEHIND: EventType(
        Level.WARNING, "The store's items are older than this host's and are ignored."
    ),
    Event.STORE_RESTORED: EventType(
        Level.WARNING, "The key-value service came back from an older copy."
    ),
    Event.STORE_WATCH_OVERDUE: EventType(
        Level.INFO,
        "The store has not answered a watch in time, and is asked on a new connection.",
    ),
    Event.USAGE_WRITTEN: EventType(Level.DEBUG, "Usage counters were written."),
    Event.USAGE_WRITE_FAILED: EventType(
        Level.WARNING, "Usage counters could not be written; they are kept."
    ),
    Event.PEER_MESSAGE_REJECTED: EventType(
        Level.WARNING, "A peer message failed authentication or decoding."
    ),
    Event.PEER_MESSAGE_DROPPED: EventType(
        Level.DEBUG, "A peer message could not be sent and was dropped."
    ),
    Event.PEER_UNKNOWN: EventType(
        Level.WARNING, "A peer message came from an unknown host."
    ),
}


class Occurrence(NamedTuple):
    """One event that happened on one host.

    ``clock`` is the hybrid logical time (milliseconds, counter); ``fields`` hold
    the request id, team, site and whatever else the event tells.
    """

    clock: tuple[int, int]
    host: str
    event: Event
    fields: dict[str, Any]
