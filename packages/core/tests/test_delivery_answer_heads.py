"""Which heads of answers can be written to a caller."""

import pytest
from aiohttp import http_writer
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from greengagepoint.delivery.answer_heads import (
    HeadFault,
    HeadPart,
    find_head_fault,
)

TEXT = st.text(st.characters(max_codepoint=0x17F) | st.sampled_from("\udc80\udcff"))
NAMES = st.text("aZ09-_~", min_size=1)


@pytest.mark.parametrize(
    ("status", "reason", "headers", "fault"),
    [
        (200, "OK", {"X-Note": "a\tb c"}, None),
        (200, None, {}, None),
        (200, "", {"X": ""}, None),
        (599, "\udc80\xe9", {"X": "\udcff\xe9"}, None),
        (101, "Switch", {}, HeadFault(HeadPart.STATUS, "101")),
        (199, "", {}, HeadFault(HeadPart.STATUS, "199")),
        (205, "", {"Content-length": "0"}, None),
        (205, "", {"Content-Length": "4"}, HeadFault(HeadPart.LENGTH, "205")),
        (205, "", {}, HeadFault(HeadPart.LENGTH, "205")),
        (600, "Odd", {}, HeadFault(HeadPart.STATUS, "600")),
        (200, "O\x01K", {"X": "\x02"}, HeadFault(HeadPart.REASON, "", "01")),
        (200, "OK", {"A": "a", "X": "a\x7f"}, HeadFault(HeadPart.VALUE, "X", "7f")),
        (200, "OK", {"X": "\xe9\x01"}, HeadFault(HeadPart.VALUE, "X", "01")),
        (200, "OK", {"X": "a\r\nB: c"}, HeadFault(HeadPart.VALUE, "X", "0d")),
        (200, "OK", {"A B": "a"}, HeadFault(HeadPart.NAME, "A B", "20")),
        (200, "OK", {"A\udc80": ""}, HeadFault(HeadPart.NAME, r"A\udc80", "80")),
        (200, "OK", {"A:": ""}, HeadFault(HeadPart.NAME, "A:", "3a")),
        (200, "OK", {"": "a"}, HeadFault(HeadPart.NAME)),
    ],
)
def test_the_first_fault_of_a_head_is_told(status, reason, headers, fault):
    assert find_head_fault(status, reason, CIMultiDict(headers).items()) == fault


@given(TEXT, st.lists(st.tuples(NAMES, TEXT)))
def test_what_has_no_fault_is_what_the_library_writes(reason, headers):
    # An answer that the host accepted could not be written.
    fields = CIMultiDict(headers)
    try:
        http_writer._serialize_headers(f"HTTP/1.1 200 {reason}", fields)
        is_written = True
    except ValueError:
        is_written = False
    assert (find_head_fault(200, reason, fields.items()) is None) == is_written


@given(TEXT, st.lists(st.tuples(TEXT, TEXT)))
def test_each_fault_names_a_part_and_can_be_logged(reason, headers):
    fault = find_head_fault(200, reason, CIMultiDict(headers).items())
    if fault is not None:
        assert str(fault).isascii()
        assert str(fault).isprintable()
