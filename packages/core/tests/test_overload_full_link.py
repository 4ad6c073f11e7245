"""Old news on a full link: when a host must not send, and when it must all the same."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.overload.full_link import (
    FULL_SECONDS,
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
    ids=["none", "few", "all slow", "one quick", "quick before", "long ago"],
)
def test_a_link_is_as_slow_as_its_quickest_connection_of_late(samples, seconds):
    # Servers of a lost zone take no connection, on whatever link. Only where none comes
    # about quickly is it the host's own link.
    link = LinkDelay()
    for ago, taken in sorted(samples, reverse=True):
        link.note(taken, NOW - ago)
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
        (float("inf"), FULL_SECONDS, 0.0, False),
    ],
    ids=[
        "fresh",
        "just in time",
        "too late",
        "too late on a kept connection",
        "this connection took longer",
        "one slow server",
        "store away",
        "never heard",
        "never heard, full",
    ],
)
def test_nothing_is_sent_that_may_come_after_a_server_left(age, link, connect, sent):
    assert may_send(age, link, connect, DRAIN) is sent


@given(
    age=st.floats(0, 10),
    left_after=st.floats(0, 10),
    link=st.floats(FULL_SECONDS, 3),
    connect=st.floats(0, 3),
    delay_share=st.floats(0, 1),
    drain=st.floats(1, 6),
)
def test_no_server_gets_a_request_later_than_it_may(
    age, left_after, link, connect, delay_share, drain
):
    # Whenever after the host's last word a server left, and however old that word is at
    # a send: over a full link, where a send takes no longer than a connection, a server
    # that the host does not know to have left gets nothing after its time.
    if not may_send(age, link, connect, drain):
        return
    arrives_after = age + delay_share * max(link, connect)
    assert arrives_after - left_after <= drain + 1e-9
