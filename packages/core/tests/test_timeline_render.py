"""What operators see of the time line."""

from html.parser import HTMLParser

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.events import Event, Occurrence
from greengagepoint.timeline import (
    decode,
    encode,
    from_lines,
    parse_kind,
    render_html,
    render_text,
)
from greengagepoint.timeline.wire import line, time_text

EVENTS = [
    Occurrence(
        (1_790_000_000_000, 0),
        "attiki-1",
        Event.REQUEST_ADMITTED,
        {"request_id": "r1", "team": "fleet"},
    ),
    Occurrence(
        (1_790_000_000_000, 1),
        "sfax-1",
        Event.HOST_GONE,
        {"subject": "gabes-2", "site": "<b>&\"'"},
    ),
]


class Reader(HTMLParser):
    """Collect tags and data attributes."""

    def __init__(self):
        super().__init__()
        self.tags, self.rows = [], []

    def handle_starttag(self, tag, attrs):
        self.tags.append(tag)
        if tag == "tr":
            self.rows.append(dict(attrs))


def read(page):
    reader = Reader()
    reader.feed(page)
    return reader


def test_text(snapshot):
    assert render_text(EVENTS) == snapshot


def test_page(snapshot):
    assert render_html(EVENTS) == snapshot


def test_page_needs_nothing_else():
    page = render_html(EVENTS)
    assert not any(mark in page for mark in ("http:", "https:", "src=", "@import"))


@given(st.text(), st.text(), st.text())
def test_hostile_values_stay_values(host, value, name):
    """A caller sends a request id that is a script, or a line break and a forged line.

    The operator's browser and terminal show it as it is; nothing of it runs.
    """
    plain = read(render_html([Occurrence((1, 0), "h", Event.HOST_GONE, {"n": "v"})]))
    fields = {"request_id": value, f"n{name}": "</script><script>alert(1)</script>"}
    event = Occurrence((1, 0), host, Event.HOST_GONE, fields)
    page = read(render_html([event]))
    extra = ["span", "b"]
    assert sorted(page.tags) == sorted([*plain.tags, *extra])
    assert render_text([event]).count("\n") == 1
    assert render_text([event]).rstrip("\n").isprintable()


def test_many_hosts_share_one_column():
    events = [Occurrence((n, 0), f"h{n}", Event.HOST_ALIVE, {}) for n in range(20)]
    page = render_html(events, missing=["<h20>"])
    assert "No answer from: &lt;h20&gt;." in page
    assert page.count("<th>") == 2
    assert "h19: <i>host_alive</i>" in page


def test_json_round_trip_keeps_events_of_newer_versions():
    newer = Occurrence((5, 0), "h", 9999, {"x": 1})
    assert decode(encode([*EVENTS, newer])) == [*EVENTS, newer]
    assert from_lines([line(newer)]) == [newer]
    assert "9999" in render_text([newer]) and "9999" in render_html([newer])
    with pytest.raises(msgspec.MsgspecError):
        decode(b'[{"host": 1}]')


@pytest.mark.parametrize("text", ["host_gone", "HOST_GONE", " 4003"])
def test_kind_by_name_or_number(text):
    assert parse_kind(text) is Event.HOST_GONE


def test_unknown_kind_tells_what_would_do():
    with pytest.raises(
        ValueError, match="no event is named 'gon'; did you mean host_gone"
    ):
        parse_kind("gon")


def test_time_of_a_mad_clock():
    assert time_text(10**18) == str(10**18)
