"""Broken downloads go on whole, or break visibly."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.delivery import resume
from greengagepoint.delivery.resume import ResumeVerdict

SIZE = 200_000
WHOLE = {
    "Content-Length": str(SIZE),
    "ETag": '"v1"',
    "Accept-Ranges": "bytes",
}
PART = {
    "Content-Length": "100000",
    "ETag": '"v1"',
    "Content-Range": "bytes 50000-149999/200000",
}
REST = {
    "Content-Length": "150000",
    "ETag": '"v1"',
    "Content-Range": "bytes 50000-199999/200000",
}


@pytest.mark.parametrize(
    ("method", "status", "headers", "resumable"),
    [
        ("GET", 200, WHOLE, True),
        ("GET", 206, PART, True),
        ("HEAD", 200, WHOLE, False),
        ("POST", 200, WHOLE, False),
        ("GET", 404, WHOLE, False),
        ("GET", 200, WHOLE | {"ETag": 'W/"v1"'}, False),
        ("GET", 200, WHOLE | {"ETag": ""}, False),
        ("GET", 200, WHOLE | {"ETag": '"v1", "v2"'}, False),
        ("GET", 200, WHOLE | {"Accept-Ranges": "none"}, False),
        ("GET", 200, WHOLE | {"Content-Length": "1000"}, False),
        ("GET", 200, WHOLE | {"Content-Length": "-200000"}, False),
        ("GET", 200, WHOLE | {"Transfer-Encoding": "chunked"}, False),
        ("GET", 206, PART | {"Content-Range": "bytes 50000-149999/*"}, False),
        ("GET", 206, PART | {"Content-Range": "bytes 50000-149999/100"}, False),
    ],
)
def test_only_a_download_with_a_known_end_and_strong_tag_resumes(
    method, status, headers, resumable
):
    found = resume.begin(method, status, headers, repeatable=True)
    assert (found is not None) is resumable
    assert resume.begin(method, status, headers, repeatable=False) is None


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (206, REST, ResumeVerdict.CONTINUES),
        (200, WHOLE, ResumeVerdict.CHANGED),
        (416, {}, ResumeVerdict.CHANGED),
        (206, REST | {"ETag": '"v2"'}, ResumeVerdict.CHANGED),
        (206, REST | {"ETag": 'W/"v1"'}, ResumeVerdict.CHANGED),
        (503, {}, ResumeVerdict.UNAVAILABLE),
        (302, {}, ResumeVerdict.UNAVAILABLE),
        (206, PART, ResumeVerdict.INVALID),
        (206, REST | {"Content-Length": "149999"}, ResumeVerdict.INVALID),
        (206, REST | {"Content-Encoding": "gzip"}, ResumeVerdict.INVALID),
        (
            206,
            REST | {"Content-Range": "bytes 50000-199999/200001"},
            ResumeVerdict.INVALID,
        ),
        (
            206,
            REST
            | {"Content-Range": "bytes 49999-199999/200000"}
            | {"Content-Length": "150001"},
            ResumeVerdict.INVALID,
        ),
    ],
)
def test_the_rest_must_fit_exactly(status, headers, verdict):
    download = resume.begin("GET", 200, WHOLE, repeatable=True)
    download.received = 50_000
    assert resume.next_range(download) == {
        "Range": "bytes=50000-199999",
        "If-Range": '"v1"',
    }
    assert resume.check_rest(download, status, headers) is verdict


CUTS = st.lists(
    st.tuples(
        st.sampled_from([16_384, 0, 100, 20_000, 60_000]),
        st.sampled_from(["same", "same", "same", "new", "off_by_one"]),
    ),
    max_size=6,
)


@given(st.integers(0, 100_000), CUTS)
def test_the_caller_gets_the_whole_pack_or_sees_it_break(first, cuts):
    """The caller asked for a drawing pack from some byte on. The backend server
    breaks off again and again, sometimes the pack has changed meanwhile, sometimes
    the server answers with bytes that are off by one. What the caller has got at the
    end is right as far as it goes, and it is complete unless the answer broke.
    """
    packs = {"v1": bytes(range(251)) * 797, "v2": bytes(200_047)}
    total = len(packs["v1"])
    headers = {
        "Content-Length": str(total - first),
        "ETag": '"v1"',
        "Content-Range": f"bytes {first}-{total - 1}/{total}",
    }
    download = resume.begin("GET", 206, headers, repeatable=True)
    start, tag, got, asked = first, "v1", b"", 0
    plan = iter(cuts)
    while True:
        cut, after = next(plan, (SIZE * 2, "same"))
        got += packs[tag][start : start + cut]
        download.received = len(got)
        request = resume.next_range(download)
        if request is None:
            break
        asked += 1
        start = int(request["Range"].removeprefix("bytes=").partition("-")[0])
        tag = "v2" if after == "new" else "v1"
        start -= after == "off_by_one"
        answer = {
            "Content-Length": str(total - start),
            "ETag": f'"{tag}"',
            "Content-Range": f"bytes {start}-{total - 1}/{total}",
        }
        if resume.check_rest(download, 206, answer) is not ResumeVerdict.CONTINUES:
            break
    assert asked <= resume.RESUMES_MAX
    assert packs["v1"][first:].startswith(got)
    steady = all(cut >= 16_384 and after == "same" for cut, after in cuts)
    if steady and len(cuts) <= resume.RESUMES_MAX:
        assert len(got) == total - first
    if len(cuts) > 1 and cuts[1][0] <= 100:
        # The first resume brought next to nothing, so there is no second.
        assert asked <= 1
    assert (len(got) == total - first) is (resume.missing(download) == 0)
