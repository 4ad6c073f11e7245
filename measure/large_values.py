"""Measure what one change of a large configuration sends, by the way that it takes.

The baseline is the value as it stands. A region has 20 hosts, one of which watches the
store and tells the others; the smallest link carries 5 Mbit/s. Half of a link is left
for news, the other half for callers.
"""

import base64
import time
from collections.abc import Callable
from statistics import median
from typing import Final

from greengagepoint_node.gateway.gossip_messages import encode
from greengagepoint_node.gateway.packing import ItemPacker, PackedItem
from greengagepoint_node.gateway.store_types import StoredItem
from greengagepoint_platform.names import KEY_CONFIGURATION
from measure.figure import Figure
from measure.large_configuration import configuration
from measure.runner import is_quick

SIZES: Final = (500, 2_000, 5_000, 10_000)
HOSTS_A_REGION: Final = 20
SMALLEST_LINK_BYTES: Final = 5_000_000 / 8
LINK_SHARE: Final = 0.5
# Users expect a version to be in force everywhere in 2 s to 3 s.
IN_FORCE_SECONDS: Final = 2.0
LIMIT_ROUTES: Final = 5_000
ROUNDS: Final = 3 if is_quick() else 9
KILOBYTE: Final = 1e3
MILLISECONDS: Final = 1e3


def run() -> list[Figure]:
    """Return the figures for each size."""
    return [figure for routes in SIZES for figure in _figures(routes)]


def _figures(routes: int) -> list[Figure]:
    """Return what one version of so many routes sends and costs."""
    value = configuration(routes)
    item = StoredItem(KEY_CONFIGURATION, value, 7)
    packed = ItemPacker().pack(item)
    sent = len(encode(packed))
    limited = routes == LIMIT_ROUTES
    name = f"large values, {routes} routes"
    fan_out = HOSTS_A_REGION - 1
    return [
        Figure(
            f"{name}: a copy from a peer",
            sent / KILOBYTE,
            "kB",
            len(value) / KILOBYTE,
            "not packed",
        ),
        Figure(
            f"{name}: a copy from the store",
            len(base64.b64encode(value)) / KILOBYTE,
            "kB",
            sent / KILOBYTE,
            "a copy from a peer",
        ),
        Figure(
            f"{name}: a copy over the smallest link",
            _link_seconds(sent),
            "s",
            _link_seconds(len(value)),
            "not packed",
            IN_FORCE_SECONDS if limited else None,
        ),
        Figure(
            f"{name}: all copies of a watcher on the smallest link",
            fan_out * _link_seconds(sent),
            "s",
            fan_out * _link_seconds(len(value)),
            "not packed",
        ),
        Figure(
            f"{name}: processor time to pack",
            MILLISECONDS * _seconds(lambda: ItemPacker().pack(item)),
            "ms",
        ),
        Figure(
            f"{name}: processor time to unpack",
            MILLISECONDS * _seconds(lambda: _unpack(packed)),
            "ms",
        ),
    ]


def _unpack(packed: PackedItem | StoredItem) -> StoredItem:
    """Return the item as a host takes it in."""
    assert isinstance(packed, PackedItem)
    return ItemPacker().unpack(packed)


def _link_seconds(size: int) -> float:
    """Return how long so many bytes take over the part of the link for news."""
    return size / (SMALLEST_LINK_BYTES * LINK_SHARE)


def _seconds(call: Callable[[], object]) -> float:
    """Return the median processor time of a call."""
    times = []
    for _ in range(ROUNDS):
        started = time.thread_time()
        call()
        times.append(time.thread_time() - started)
    return median(times)
