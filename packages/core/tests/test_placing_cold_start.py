"""What a cold backend server gets from all hosts together.

A zone comes back with empty servers. Each host sees callers for it and knows nothing of
what the others send just now; a server that gets a burst crashes, and its callers are
lost with it. Hosts that were restarted, or whose view of the fleet is old, count too.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.placing.cold_start import STARTUP_SECONDS, ColdStartLimiter
from greengagepoint.placing.tables import Incarnation

RATE = 5.8
SERVER = Incarnation("i-1", 7, "10.0.0.1:1")
# Users allow half as much again and five requests more in any second.
BOUND = RATE * 1.5 + 5


def most_in_a_second(views, *, seconds=6.0, asks_per_second=50, started_at=-100.0):
    """Let each host ask as often as it likes; return the worst sliding second."""
    limiters = {name: ColdStartLimiter(name, started_at) for name in views}
    sent = []
    for tick in range(int(seconds * asks_per_second)):
        now = tick / asks_per_second
        for name, limiter in limiters.items():
            if limiter.may_send(SERVER, RATE, views[name], now):
                sent.append(now)
    return max(
        (sum(at <= other < at + 1.0 for other in sent) for at in sent), default=0
    )


@pytest.mark.parametrize("count", [1, 2, 5, 12, 83])
def test_all_hosts_together_stay_within_what_a_cold_server_bears(count):
    hosts = [f"h{number}" for number in range(count)]
    most = most_in_a_second(dict.fromkeys(hosts, hosts))
    assert 1 <= most <= BOUND


@given(missing=st.sets(st.integers(0, 11), max_size=4))
def test_two_views_of_who_lives_stay_within_it_too(missing):
    hosts = [f"h{number}" for number in range(12)]
    fewer = [name for number, name in enumerate(hosts) if number not in missing]
    views = {name: hosts if number % 2 else fewer for number, name in enumerate(hosts)}
    assert most_in_a_second(views) <= BOUND


def test_hosts_that_start_together_send_nothing_before_they_know_each_other():
    hosts = [f"h{number}" for number in range(12)]
    alone = {name: [name] for name in hosts}
    assert most_in_a_second(alone, seconds=STARTUP_SECONDS, started_at=0.0) == 0


def test_what_is_kept_of_gone_servers_is_forgotten():
    limiter = ColdStartLimiter("h", -100.0)
    limiter.may_send(SERVER, RATE, ["h"], 0.0)
    limiter.keep(set())
    assert not limiter.buckets
