"""Log lines of events, as text and as JSON."""

import io
import json
import logging

import pytest

from greengagepoint.events import CATALOGUE, Event, Occurrence
from greengagepoint_node.logs import configure_logs, log_event


@pytest.fixture
def lines():
    stream = io.StringIO()
    handlers = list(logging.root.handlers)
    level = logging.root.level

    def read(log_format, log_level="info"):
        configure_logs(
            "attiki-1", level=log_level, log_format=log_format, stream=stream
        )
        return lambda: stream.getvalue().splitlines()

    yield read
    logging.root.handlers[:] = handlers
    logging.root.setLevel(level)


FORGED = Occurrence(
    (1700, 2), "attiki-1", Event.REQUEST_MALFORMED, {"path": "/x\nERROR forged"}
)


def test_an_event_is_one_line_of_json(lines):
    read = lines("json")
    log_event(FORGED)
    (line,) = read()
    row = json.loads(line)
    assert row.pop("time").endswith("Z")
    assert row == {
        "level": CATALOGUE[Event.REQUEST_MALFORMED].level,
        "host": "attiki-1",
        "number": 2009,
        "name": "request_malformed",
        "clock": [1700, 2],
        "fields": {"path": "/x\nERROR forged"},
    }


def test_a_line_break_from_outside_forges_no_line_of_text(lines):
    """A caller sends a path with a line break. The log shows it escaped, in the one
    line of its event.
    """
    read = lines("text")
    log_event(FORGED)
    (line,) = read()
    assert line.endswith(
        r'2009 request_malformed path="/x\nERROR forged" clock=[1700,2]'
    )


@pytest.mark.parametrize("log_format", ["text", "json"])
def test_other_messages_and_exceptions_take_one_line_each(lines, log_format):
    read = lines(log_format)
    try:
        raise RuntimeError("first\nsecond")
    except RuntimeError:
        logging.getLogger("library").exception("it\nfailed")
    logging.getLogger("library").warning("later")
    assert len(read()) == 2


def test_events_below_the_level_are_left_out(lines):
    read = lines("text", "error")
    log_event(FORGED)
    log_event(Occurrence((1, 0), "attiki-1", Event.STORE_ANSWER_INVALID, {}))
    assert ["7003" in line for line in read()] == [True]


def test_long_values_are_cut(lines):
    read = lines("json")
    log_event(FORGED._replace(fields={"deep": [{"text": "x" * 100_000}]}))
    assert len(read()[0]) < 3_000
