"""The rate that all hosts together send to a cold backend server.

A zone comes back with cold servers. Each host has callers for them and does not know
what its peers send. A server that receives a burst crashes, and its requests are lost.
The limit also covers hosts that restarted or have an outdated view of the fleet.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.placing.cold_start import STARTUP_SECONDS, ColdStartLimiter
from greengagepoint.placing.tables import Incarnation

RATE = 5.8
SERVER = Incarnation("i-1", 7, "10.0.0.1:1")
# The bound in any second is 1.5 times the rate plus five requests.
BOUND = RATE * 1.5 + 5


def max_sends_in_a_second(
    views, *, seconds=6.0, attempts_per_second=50, started_at=-100.0
):
    """Let all hosts ask constantly; return the most sends in any sliding second."""
    limiters = {name: ColdStartLimiter(name, started_at) for name in views}
    sent = []
    for tick in range(int(seconds * attempts_per_second)):
        now = tick / attempts_per_second
        for name, limiter in limiters.items():
            if limiter.may_send(SERVER, RATE, views[name], now):
                sent.append(now)
    return max(
        (sum(at <= other < at + 1.0 for other in sent) for at in sent), default=0
    )


@pytest.mark.parametrize("count", [1, 2, 5, 12, 83])
def test_all_hosts_together_stay_within_the_bound_of_a_cold_server(count):
    hosts = [f"h{number}" for number in range(count)]
    most = max_sends_in_a_second(dict.fromkeys(hosts, hosts))
    assert 1 <= most <= BOUND


@given(missing=st.sets(st.integers(0, 11), max_size=4))
def test_hosts_with_different_membership_views_stay_within_the_bound(missing):
    hosts = [f"h{number}" for number in range(12)]
    fewer = [name for number, name in enumerate(hosts) if number not in missing]
    views = {name: hosts if number % 2 else fewer for number, name in enumerate(hosts)}
    assert max_sends_in_a_second(views) <= BOUND


def test_hosts_that_start_together_send_nothing_before_membership_spreads():
    hosts = [f"h{number}" for number in range(12)]
    alone = {name: [name] for name in hosts}
    assert max_sends_in_a_second(alone, seconds=STARTUP_SECONDS, started_at=0.0) == 0


def test_the_state_of_removed_servers_is_dropped():
    limiter = ColdStartLimiter("h", -100.0)
    limiter.may_send(SERVER, RATE, ["h"], 0.0)
    limiter.keep(set())
    assert not limiter.buckets
