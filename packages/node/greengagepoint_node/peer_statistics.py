"""Read from NNG's own statistics how many connections it refused."""

from typing import Final

import pynng
from pynng import ffi, lib

# ``proto``: the first bytes were not those of a peer; ``reject``: another protocol.
# ``other`` also counts ordinary ends, so a message over the size bound, which ends
# its connection, cannot be told from them.
REFUSED_COUNTERS: Final = frozenset({b"proto", b"reject"})


def count_refused(listener: pynng.Listener) -> int:
    """Return how many connections a listener refused since it was opened.

    NNG closes a connection whose first bytes are garbage without telling the
    application; these counters are the only trace.
    """
    root = ffi.new("nng_stat **")
    if lib.nng_stats_get(root) != 0:
        return 0
    try:
        return _sum(lib.nng_stat_find_listener(root[0], listener._listener[0]))
    finally:
        lib.nng_stats_free(root[0])


def _sum(listener: object) -> int:
    """Add up the counters of one listener."""
    total = 0
    if listener == ffi.NULL:
        return total
    stat = lib.nng_stat_child(listener)
    while stat != ffi.NULL:
        if ffi.string(lib.nng_stat_name(stat)) in REFUSED_COUNTERS:
            total += lib.nng_stat_value(stat)
        stat = lib.nng_stat_next(stat)
    return total
