"""Measure what one process holds with all tables filled for the expected size.

``python -m measure.capacity_process`` fills the tables step by step in a process of its
own and prints resident megabytes and processor seconds after each as JSON.
"""

import asyncio
import os
import subprocess
import sys
import time
from itertools import islice
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec

from measure.capacity_slopes import Slope
from measure.figure import Figure
from measure.runner import is_quick

MEMORY_LIMIT_MB: Final = 128.0
LINK_COUNTS: Final = (32, 64, 128)
PARTS: Final = (0.25, 0.5, 1.0)
BLOCKS_PART: Final = 0.1 if is_quick() else 1.0
WAIT_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.01
MEGABYTE: Final = 1e6
CHANGED_BLOCKS: Final = 100
STEP_SECONDS_MIN: Final = 0.05
UNTIMED: Final = ("the peak of all steps", "making a changed record")


class Step(NamedTuple):
    """What a process holds after a step, and the processor time that it took."""

    name: str
    size: float
    resident_mb: float
    seconds: float


def measure() -> tuple[list[Slope], list[Figure]]:
    """Run the steps in processes of their own."""
    steps = _child("fill")
    links = _child("links")
    blocks = [step for step in steps if step.name == "client block records"]
    first = steps[steps.index(blocks[0]) - 1]
    slopes = [
        Slope(
            "client block records, resident",
            "blocks",
            "MB",
            tuple((step.size, step.resident_mb - first.resident_mb) for step in blocks),
        ),
        Slope(
            "peer links, resident",
            "links",
            "MB",
            tuple(
                (step.size, step.resident_mb - links[0].resident_mb)
                for step in links[1:]
            ),
        ),
    ]
    shown = [step for step in steps if step not in blocks[:-1]]
    figures = [
        Figure(
            f"capacity: resident after {step.name}",
            step.resident_mb,
            "MB",
            limit=MEMORY_LIMIT_MB,
        )
        for step in shown
        if step.seconds >= STEP_SECONDS_MIN or step.name in UNTIMED[:1]
    ]
    seconds = {step.name: step.seconds for step in steps if step.name not in UNTIMED}
    seconds["client block records"] = sum(step.seconds for step in blocks)
    figures += [
        Figure(f"capacity: processor time of {name}", value, "s")
        for name, value in seconds.items()
    ]
    return slopes, figures


def _child(kind: str) -> list[Step]:
    """Run this module in a process of its own."""
    command = [sys.executable, "-m", "measure.capacity_process", kind]
    done = subprocess.run(command, stdout=subprocess.PIPE, check=True)
    return msgspec.json.decode(done.stdout, type=list[Step])


def resident_mb() -> float:
    """Return the memory that this process holds."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / MEGABYTE


def peak_mb() -> float:
    """Return the most memory that this process has held."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / MEGABYTE
    return 0.0


def fill() -> list[Step]:
    """Fill all tables of one node."""
    started = [time.process_time()]
    steps: list[Step] = []

    def note(name: str, size: float = 0.0) -> None:
        now = time.process_time()
        steps.append(Step(name, size, resident_mb(), now - started[0]))
        started[0] = now

    import greengagepoint_node.daemon  # noqa: F401

    note("importing the daemon")
    kept: list[Any] = []
    _fill_records(kept, note)
    steps.append(Step("the peak of all steps", 0.0, peak_mb(), 0.0))
    return steps


def _fill_records(kept: list[Any], note: Any) -> None:
    """Put records in force, then build what other parts make of them."""
    from greengagepoint.config.log import effective
    from greengagepoint.config.snapshot import take_snapshot
    from greengagepoint.configuration import EMPTY
    from greengagepoint.records.schemas import Callers
    from greengagepoint.steering.client_records import build, differences
    from measure import capacity_fleet as fleet
    from measure import client_blocks
    from measure.capacity_records import changes, log_of

    log = log_of(changes(fleet.configuration()))
    kept.append(log)
    note("records without client blocks", fleet.SITES)
    texts = client_blocks.block_texts()
    size = client_blocks.BLOCKS // client_blocks.SITES
    done = 0
    for part in PARTS:
        until = int(client_blocks.SITES * BLOCKS_PART * part)
        for number in range(done, until):
            regions = tuple(f"region-{(number + n) % 15:02}" for n in (0, 4, 8))
            blocks = tuple(islice(texts, size))
            name = f"callers-{number:04}"
            record = Callers(name=name, blocks=blocks, regions=regions)
            _append(log, list(changes(EMPTY._replace(callers={name: record}))))
        done = until
        note("client block records", until * size)
    configuration = effective(log)
    table = build(list(configuration.callers.values()))
    kept.append(table)
    note("building the client block table")
    old, new = _changed_blocks(configuration.callers)
    note("making a changed record")
    table.apply(list(differences(old, new)))
    note("a change of 100 blocks")
    _fill_tables(kept, configuration)
    note("filling the other tables")
    kept.append(take_snapshot(log))
    note("taking a snapshot")


def _changed_blocks(callers: Any) -> tuple[Any, Any]:
    """Return records before and after 100 blocks of one give way to others."""
    name, record = next(iter(callers.items()))
    others = [f"203.0.{number}.0/24" for number in range(CHANGED_BLOCKS)]
    blocks = (*list(record.blocks)[CHANGED_BLOCKS:], *others)
    changed = msgspec.structs.replace(record, blocks=blocks)
    return callers, {**callers, name: changed}


def _append(log: Any, wanted: list[Any]) -> None:
    """Apply some changes as the next entry."""
    from greengagepoint.config.entries import make_entry
    from greengagepoint.config.log import apply_entry

    entry = make_entry(
        generation=log.generation + 1,
        write_id="w",
        author="operator",
        at_ms=0,
        changes=wanted,
        previous_digest=log.digest,
    )
    apply_entry(log, entry)


def _fill_tables(kept: list[Any], configuration: Any) -> None:
    """Fill the tables of backend servers, caps, membership, look-ups and events."""
    from greengagepoint.balancing.rows import sync_rows
    from greengagepoint.balancing.tables import BackendTable
    from greengagepoint.membership import seeds
    from measure import capacity_hosts, capacity_parts

    backends = BackendTable()
    sync_rows(backends, configuration, 0.0, 0)
    run = capacity_hosts.watched_fleet(capacity_hosts.HOST_COUNTS[-1])
    tables = run.tables[f"{capacity_hosts.WATCHED_ZONE}-0"]
    seeds.apply_list(tables, capacity_hosts.listed(capacity_hosts.HOST_COUNTS[-1]))
    kept += [backends, tables, capacity_parts.contended(320)]
    kept.append(capacity_parts.filled_recorder(capacity_parts.EVENT_COUNTS[-1]))


def links() -> list[Step]:
    """Open links to a listener of the same process, so both ends are held."""
    return asyncio.run(_async_links())


async def _async_links() -> list[Step]:
    """Open more and more links."""
    from measure.peer_links import _async_pair, sample_message

    pair = await _async_pair()
    sender, receiver = pair.sender, pair.receiver
    address = receiver.bound_address
    sender.sender.address_of = lambda name: address
    steps = [Step("no links", 0, resident_mb(), 0.0)]
    opened = 0
    for count in LINK_COUNTS:
        while opened < count:
            sender.send(f"peer-{opened}", sample_message())
            opened += 1
        # They name another recipient and are refused; that they came is counted.
        async with asyncio.timeout(WAIT_SECONDS):
            while receiver.counters.envelopes_in < count:  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)
        steps.append(Step("links", count, resident_mb(), time.process_time()))
    await sender.async_stop()
    await receiver.async_stop()
    return steps


def main() -> None:
    """Run the steps that the command line names."""
    steps = links() if sys.argv[1:] == ["links"] else fill()
    print(msgspec.json.encode(steps).decode())


if __name__ == "__main__":
    main()
