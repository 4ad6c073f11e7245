"""Stale state on a saturated link: when a host must not send, and when it may."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.overload.full_link import (
    FULL_LINK_SECONDS,
    SAMPLES_MIN,
    WINDOW_SECONDS,
    LinkDelay,
    may_send,
)

NOW = 100.0
DRAIN = 3.0


@pytest.mark.parametrize(
    ("samples", "seconds"),
    [
        ([], 0.0),
        ([(0.1, 0.5)] * (SAMPLES_MIN - 1), 0.0),
        ([(0.1, 0.5)] * SAMPLES_MIN, 0.5),
        ([(0.1, 0.5)] * SAMPLES_MIN + [(0.2, 0.002)], 0.002),
        ([(0.1, 0.5)] * SAMPLES_MIN + [(WINDOW_SECONDS + 0.1, 0.002)], 0.5),
        ([(WINDOW_SECONDS + 0.1, 0.5)] * SAMPLES_MIN, 0.0),
    ],
    ids=["none", "too few", "all slow", "one fast", "expired fast", "all expired"],
)
def test_link_delay_is_the_fastest_recent_connection(samples, seconds):
    # Servers of a failed zone accept no connections, whatever the link. The host's own
    # link is the cause only if no connection is made quickly.
    link = LinkDelay()
    for ago, taken in sorted(samples, reverse=True):
        link.record(taken, NOW - ago)
    assert link.seconds(NOW) == seconds


@pytest.mark.parametrize(
    ("age", "link", "connect", "sent"),
    [
        (0.5, 0.5, 0.6, True),
        (2.3, 0.5, 0.6, True),
        (2.6, 0.5, 0.6, False),
        (2.6, 0.5, 0.0, False),
        (2.3, 0.3, 0.8, False),
        (2.9, 0.01, 0.6, True),
        (60.0, 0.01, 0.0, True),
        (float("inf"), 0.0, 0.0, True),
        (float("inf"), FULL_LINK_SECONDS, 0.0, False),
    ],
    ids=[
        "fresh",
        "just in time",
        "too late",
        "too late on a reused connection",
        "this connection took longer",
        "one slow server",
        "store unreachable",
        "no update yet",
        "no update yet, saturated",
    ],
)
def test_no_request_is_sent_that_may_arrive_after_a_server_exits(
    age, link, connect, sent
):
    assert may_send(age, link, connect, DRAIN) is sent


@given(
    age=st.floats(0, 10),
    left_after=st.floats(0, 10),
    link=st.floats(FULL_LINK_SECONDS, 3),
    connect=st.floats(0, 3),
    delay_share=st.floats(0, 1),
    drain=st.floats(1, 6),
)
def test_no_request_arrives_after_the_drain_time(
    age, left_after, link, connect, delay_share, drain
):
    # A server leaves at any time after the host's last update, whose age at the send is
    # arbitrary. Over a saturated link, where a send takes no longer than a connect, a
    # server that the host still lists gets no request after its drain time.
    if not may_send(age, link, connect, drain):
        return
    arrives_after = age + delay_share * max(link, connect)
    assert arrives_after - left_after <= drain + 1e-9
