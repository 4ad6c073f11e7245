"""The load header of backend servers, well-formed or not."""

import pytest

from greengagepoint_node.gateway.load_reports import LoadReport
from greengagepoint_platform.load import decode_load

VALID = {
    "without slots": ("2,0", LoadReport(2, 0)),
    "without pace": ("2,0,3", LoadReport(2, 0, 3)),
    "usual pace": ("2,1,3,100", LoadReport(2, 1, 3, 1.0)),
    "stalled": ("3,4,3,250", LoadReport(3, 4, 3, 2.5)),
    "fraction": ("3,4,3,112.5", LoadReport(3, 4, 3, 1.125)),
    "more figures": ("3,4,3,250,1,2,3,4", LoadReport(3, 4, 3, 2.5)),
    "pace of 0 ignored": ("3,4,3,0", LoadReport(3, 4, 3)),
    "pace too low ignored": ("3,4,3,9", LoadReport(3, 4, 3)),
    "pace too high ignored": ("3,4,3,10001", LoadReport(3, 4, 3)),
    "lowest pace": ("3,4,3,10", LoadReport(3, 4, 3, 0.1)),
    "highest pace": ("3,4,3,10000", LoadReport(3, 4, 3, 100.0)),
}
INVALID = {
    "empty": "",
    "one figure": "2",
    "nan": "2,nan",
    "nan as pace": "2,0,3,nan",
    "negative": "-1,0",
    "negative pace": "2,0,3,-100",
    "infinite": "2,0,3,inf",
    "exponent": "2,0,3,1e2",
    "running is a fraction": "2.5,0",
    "slots are a fraction": "2,0,3.5",
    "seven digits": "1000000,0",
    "nine figures": "1,2,3,4,5,6,7,8,9",
    "a thousand figures": ",".join(["1"] * 1000),
    "digits of another script": "\u0663,0",
    "superscript": "\u00b2,0",
    "trailing comma": "2,0,",
    "line break": "2,0\n",
}


@pytest.mark.parametrize(("text", "report"), VALID.values(), ids=VALID)
def test_a_report_is_decoded(text, report):
    assert decode_load(text) == report


@pytest.mark.parametrize("text", INVALID.values(), ids=INVALID)
def test_a_malformed_header_gives_no_report(text):
    # A figure that is nan or huge would exclude a server, or attract all requests.
    assert decode_load(text) is None
