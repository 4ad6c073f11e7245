"""Work out from measured slopes what each role costs one node, and the store."""

from collections.abc import Mapping
from itertools import islice
from typing import Final, NamedTuple

import msgspec

from greengagepoint.caps.const import LEDGER_OWNERS_PER_POLL, LEDGER_POLL_SECONDS
from greengagepoint.configuration import EMPTY
from greengagepoint.delivery.committers import write_interval_seconds
from greengagepoint.records.schemas import Callers
from greengagepoint.usage.store_values import write_seconds
from measure import capacity_fleet as fleet
from measure import client_blocks
from measure.capacity_records import changes

CHANGES_A_SECOND: Final = 8_300 / 86_400
# From docs/design/configuration.md: messages a change and node at 1,000 nodes.
PUSHES: Final = 2.9
STORE_CALLS_A_CHANGE: Final = 2.4
SITES_USED: Final = 30
USAGE_ROWS: Final = 100
CHECK_SECONDS: Final = 30
CHECK_READS: Final = 2
LEDGER_OWNERS: Final = 320
KEYS_BYTES: Final = 4 * 1024 * 1024
TAIL_BYTES: Final = 4 * 1024 * 1024
MEGABYTE: Final = 1e6

Values = Mapping[str, float]


class Role(NamedTuple):
    """What one role costs a node; messages and bytes are those sent, each second."""

    name: str
    mechanism: str
    state_mb: float
    messages: float
    size: float
    milliseconds: float


class StoreCalls(NamedTuple):
    """Calls a second of one kind; ``waiting`` counts open watches."""

    name: str
    reads: float
    writes: float
    waiting: float
    arithmetic: str


def roles(at: Values) -> list[Role]:
    """Return all roles; ``at`` maps the names of slopes and figures to values."""
    found = [
        _lookup(at),
        Role(
            "client-block map",
            "sorted arrays with an overlay of changes; records packed",
            at["client block records MB"] + at["client block table MB"],
            0.0,
            0.0,
            CHANGES_A_SECOND * at["a change of 100 blocks ms"],
        ),
        _configuration(at),
        Role(
            "membership",
            "probes in the zone, digests of zones, sums of regions",
            at["membership, table and host list"] / MEGABYTE,
            at["membership, messages sent"],
            at["membership, bytes sent"],
            at["membership, processor"],
        ),
        Role(
            "caps",
            "units with one owner in a ledger a region, lent for 5 s",
            at["caps table held"] / MEGABYTE,
            at["caps, messages sent"],
            at["caps, bytes sent"],
            max(at["caps, processor"], at["caps of a busy host in its region"]),
        ),
        Role(
            "backend servers",
            "rows; only pools that something may happen to are walked",
            at["rows of backend servers held"] / MEGABYTE,
            0.0,
            0.0,
            at["ticks over the rows"] + at["pools in use, each second"],
        ),
        Role(
            "load",
            "two askers a site; reports to those that send there",
            0.0,
            at["load, messages of the busiest"],
            at["load, bytes sent"],
            at["load, processor"],
        ),
        Role(
            "usage",
            "growing counters, two holders, a value a host and day",
            at["usage counters held"] / MEGABYTE,
            2 / at["usage, time between shares"],
            at["usage, bytes sent"],
            at["usage, processor"],
        ),
        Role(
            "keys",
            "claims in batches by a region's committer",
            KEYS_BYTES / 1e6,
            0,
            0,
            0,
        ),
        Role(
            "time line",
            "ring of 4,096 events; stamps in all envelopes",
            at["time line held"] / MEGABYTE,
            0.0,
            0.0,
            0.0,
        ),
        Role(
            "shifts",
            "a row a shift; peers told while one moves",
            0.0,
            0.0,
            0.0,
            at["ticks over shifts"],
        ),
        Role(
            "metrics",
            "plain tables, read by observable instruments",
            0.0,
            0.0,
            0.0,
            at["metrics read each 15 s"],
        ),
    ]
    return [*found, _links(at, found)]


def _lookup(at: Values) -> Role:
    """Return look-ups without answering: heads are made anew at each change."""
    anew = at["answers for all orders after a change"]
    return Role(
        "look-up",
        "parts of answers kept as bytes; a change renews the heads",
        at["look-up answers held"] / MEGABYTE,
        0.0,
        0.0,
        CHANGES_A_SECOND * anew,
    )


def _configuration(at: Values) -> Role:
    """Return configuration with changes of one team."""
    change = at["change pushed ms"] + at["records put in force at a change"]
    change += at["rows after a change of a team"]
    return Role(
        "configuration",
        "log in the store, watchers by zone, trees, gossip",
        (at["records held, no client blocks"] + TAIL_BYTES) / MEGABYTE,
        1.0 + CHANGES_A_SECOND * PUSHES,
        at["digest bytes"] + CHANGES_A_SECOND * PUSHES * at["team change bytes"],
        at["configuration at rest ms"] + CHANGES_A_SECOND * change,
    )


def _links(at: Values, found: list[Role]) -> Role:
    """Return the links: each message costs its end an envelope, sent and received."""
    messages = sum(role.messages for role in found)
    return Role(
        "peer links",
        "one envelope for all that a peer gets in one turn",
        at["peer links, resident"],
        0.0,
        0.0,
        2 * messages * at["envelope end us"] / 1000,
    )


def entry_bytes() -> dict[str, int]:
    """Return the bytes of a change of one record by kind."""
    blocks = tuple(
        islice(client_blocks.block_texts(), fleet.BLOCKS // client_blocks.SITES)
    )
    regions = ("region-00", "region-04", "region-08")
    callers = Callers(name="callers-0001", blocks=blocks, regions=regions)
    records = fleet.configuration(2, teams=1)
    some = {
        "team": records._replace(regions={}, sites={}, services={}),
        "site": records._replace(regions={}, services={}, teams={}),
        "callers": EMPTY._replace(callers={"callers-0001": callers}),
    }
    return {
        kind: len(msgspec.msgpack.encode(next(iter(changes(one)))))
        for kind, one in some.items()
    }


def store_calls(at: Values) -> list[StoreCalls]:
    """Return the store's calls in an ordinary second."""
    watchers = at["watchers"]
    poll = LEDGER_POLL_SECONDS * (1 + LEDGER_OWNERS / LEDGER_OWNERS_PER_POLL)
    usage = fleet.HOSTS / write_seconds(fleet.HOSTS)
    claims = at["claim writes"]
    paced = fleet.REGIONS / write_interval_seconds(fleet.REGIONS)
    return [
        StoreCalls(
            "configuration, watches", 0, 0, watchers, f"{watchers:.0f} watchers, 1 each"
        ),
        StoreCalls(
            "configuration, checks",
            watchers * CHECK_READS / CHECK_SECONDS,
            0,
            0,
            f"{watchers:.0f} watchers × {CHECK_READS} reads / {CHECK_SECONDS} s",
        ),
        StoreCalls(
            "configuration, changes",
            CHANGES_A_SECOND * (STORE_CALLS_A_CHANGE - 1),
            CHANGES_A_SECOND,
            0,
            f"{CHANGES_A_SECOND:.3f} changes/s × {STORE_CALLS_A_CHANGE} calls",
        ),
        StoreCalls(
            "ledgers",
            fleet.HOSTS / poll,
            0,
            0,
            f"{fleet.HOSTS:,} hosts / ({LEDGER_POLL_SECONDS:.0f} s × "
            f"(1 + {LEDGER_OWNERS} owners / {LEDGER_OWNERS_PER_POLL}))",
        ),
        StoreCalls(
            "usage",
            usage,
            usage,
            0,
            f"{fleet.HOSTS:,} hosts / {write_seconds(fleet.HOSTS):.0f} s",
        ),
        StoreCalls(
            "keys, at most",
            0,
            claims,
            0,
            f"{claims / paced * fleet.REGIONS:.0f} committers / "
            f"{write_interval_seconds(fleet.REGIONS):.2f} s",
        ),
    ]
