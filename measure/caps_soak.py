"""Run caps through random faults for long and count steps over a limit."""

import random
import sys
import time
from typing import Final, NamedTuple

from greengagepoint_standins.caps_layout import Layout
from greengagepoint_standins.caps_store import LedgerFault
from greengagepoint_standins.caps_world import World
from measure.figure import Figure

LAYOUT: Final = Layout(
    hosts=("a-1", "a-2", "a-3", "a-4", "b-1", "b-2"),
    region_of_site={"a1": "a", "a2": "a", "b1": "b"},
    capacity={"a": 8, "b": 5},
    limits={"a1": 6, "a2": 5, "b1": 5},
    request_seconds=4,
)
WANTED: Final = 6
WORLD_SECONDS: Final = 300
FAULTS_MAX: Final = 4
SHORT_RUN_SECONDS: Final = 6.0


class Soak(NamedTuple):
    """Steps of 0.25 s that were checked, how many were over, and requests started."""

    steps: int
    over: int
    worlds: int


def disturb(world: World, source: random.Random) -> None:
    """Cause one fault, or put one thing right."""
    name = source.choice(LAYOUT.hosts)
    other = source.choice(LAYOUT.hosts)
    host = world.hosts.get(name)
    match source.randrange(12):
        case 0:
            world.kill(name)
        case 1 | 2:
            world.kill(name)
            world.start(name)
            world.hosts[name].wanted.update(dict.fromkeys(LAYOUT.limits, WANTED))
        case 3 if host is not None:
            host.paused = not host.paused
        case 4 if host is not None:
            host.store_cut = not host.store_cut
        case 5:
            world.cut ^= {(name, other)}
        case 6:
            world.cut ^= {(name, each) for each in LAYOUT.hosts}
            world.cut ^= {(each, name) for each in LAYOUT.hosts}
        case 7 if host is not None:
            host.suspects ^= {other}
        case 8:
            world.store.fault = source.choice(list(LedgerFault))
            world.store.land_late_writes()
        case 9:
            world.loss = source.choice([0.0, 0.0, 0.3, 0.8])
            world.delay = source.choice([0.0, 0.0, 1.5, 12.0])
            world.redeliver()
        case 10:
            limits = {site: source.randrange(12) for site in LAYOUT.limits}
            world.change_limits(limits)
        case 11:
            for each in LAYOUT.hosts:
                world.adopt(each)


def heal(world: World) -> None:
    """Put everything right but lost hosts."""
    world.cut.clear()
    world.loss = world.delay = 0.0
    world.store.fault = LedgerFault.NONE
    for name in LAYOUT.hosts:
        if name not in world.hosts or world.hosts[name].table.leaving:
            world.kill(name)
            world.start(name)
    for host in world.hosts.values():
        host.paused = host.store_cut = False
        host.suspects.clear()
        host.wanted.update(dict.fromkeys(LAYOUT.limits, WANTED))
        host.duration = 4.0


def soak(seconds: float, seed: int) -> Soak:
    """Run worlds one after another for a processor time."""
    source = random.Random(seed)
    steps = over = worlds = 0
    end = time.process_time() + seconds
    while time.process_time() < end:
        world = World(LAYOUT, source.randrange(2**32))
        worlds += 1
        heal(world)
        while world.now < WORLD_SECONDS:
            for _ in range(source.randrange(FAULTS_MAX)):
                disturb(world, source)
            if source.random() < 0.1:
                heal(world)
            for _ in range(source.choice([1, 4, 12, 30, 70])):
                world.step()
                steps += 1
                over += bool(world.excess())
    return Soak(steps, over, worlds)


def run() -> list[Figure]:
    """Check a few thousand steps; ``python -m measure.caps_soak 600`` runs longer."""
    result = soak(SHORT_RUN_SECONDS, seed=1)
    return [
        Figure("caps_soak_steps", result.steps, "1"),
        Figure("caps_soak_steps_over", result.over, "1", limit=0),
    ]


if __name__ == "__main__":
    print(soak(float(sys.argv[1]), seed=int(sys.argv[2])))
