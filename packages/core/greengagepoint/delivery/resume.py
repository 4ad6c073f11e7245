"""Go on with a broken download by a range request, or not at all."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Final, NamedTuple

RESUMES_MAX: Final = 3
RESUMABLE_BYTES_MIN: Final = 64 * 1024
PROGRESS_BYTES_MIN: Final = 16 * 1024

# The caller's own conditions were met by the first answer. Sent again they could
# turn the rest of the download into a 304 or 412.
REPLACED_HEADERS: Final = frozenset(
    {
        "range",
        "if-range",
        "if-match",
        "if-none-match",
        "if-modified-since",
        "if-unmodified-since",
    }
)

_CONTENT_RANGE: Final = re.compile(r"bytes (\d{1,18})-(\d{1,18})/(\d{1,18})")
_STRONG_ETAG: Final = re.compile(r'"[\x21\x23-\x7e\x80-\xff]*"')
_DIGITS: Final = re.compile(r"\d{1,18}")


class ByteRange(NamedTuple):
    """Bytes ``first`` to ``last``, both included, of ``total``."""

    first: int
    last: int
    total: int

    @property
    def length(self) -> int:
        """Return the number of bytes."""
        return self.last - self.first + 1


class ResumeVerdict(StrEnum):
    """What an answer to a range request means for the download."""

    CONTINUES = "continues"
    CHANGED = "changed"
    UNAVAILABLE = "unavailable"
    INVALID = "invalid"


@dataclass(slots=True)
class Download:
    """An answer on its way to the caller; ``received`` counts bytes passed on."""

    etag: str
    encoding: str
    span: ByteRange
    received: int = 0
    resumes: int = 0
    received_at_resume: int = -PROGRESS_BYTES_MIN


def begin(
    method: str, status: int, headers: Mapping[str, str], *, repeatable: bool
) -> Download | None:
    """Return the download if its rest could be asked for, else None.

    ``headers`` is the answer's, a mapping that ignores case. Only a strong entity
    tag promises equal bytes, and only a known length tells where the end is.
    """
    if method != "GET" or not repeatable:
        return None
    etag = headers.get("ETag", "")
    span = _span(status, headers)
    if span is None or span.length < RESUMABLE_BYTES_MIN:
        return None
    if not _STRONG_ETAG.fullmatch(etag):
        return None
    return Download(etag, headers.get("Content-Encoding", ""), span)


def missing(download: Download) -> int:
    """Return how many bytes the caller has not got yet."""
    return download.span.length - download.received


def next_range(download: Download) -> dict[str, str] | None:
    """Count a resume and return the headers to ask for the rest, or None.

    The number is bounded and each has to have brought something: a backend server
    that breaks off at once would otherwise be asked for ever.
    """
    progress = download.received - download.received_at_resume
    if download.resumes >= RESUMES_MAX or progress < PROGRESS_BYTES_MIN:
        return None
    if missing(download) <= 0:
        return None
    download.resumes += 1
    download.received_at_resume = download.received
    first = download.span.first + download.received
    return {
        "Range": f"bytes={first}-{download.span.last}",
        "If-Range": download.etag,
    }


def check_rest(
    download: Download, status: int, headers: Mapping[str, str]
) -> ResumeVerdict:
    """Decide whether an answer's bytes may follow those passed on already.

    A single wrong byte range would give the caller a file that looks whole and is
    not, so everything that the answer says of itself has to fit.
    """
    if status == HTTPStatus.OK or status in (
        HTTPStatus.PRECONDITION_FAILED,
        HTTPStatus.REQUESTED_RANGE_NOT_SATISFIABLE,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.GONE,
    ):
        return ResumeVerdict.CHANGED
    if status != HTTPStatus.PARTIAL_CONTENT:
        return ResumeVerdict.UNAVAILABLE
    if headers.get("ETag") != download.etag:
        return ResumeVerdict.CHANGED
    first = download.span.first + download.received
    expected = ByteRange(first, download.span.last, download.span.total)
    if _span(status, headers) != expected:
        return ResumeVerdict.INVALID
    if headers.get("Content-Encoding", "") != download.encoding:
        return ResumeVerdict.INVALID
    return ResumeVerdict.CONTINUES


def _span(status: int, headers: Mapping[str, str]) -> ByteRange | None:
    """Return the bytes that an answer says it holds, if it says so in full."""
    length = headers.get("Content-Length", "")
    if not _DIGITS.fullmatch(length) or "Transfer-Encoding" in headers:
        return None
    if status == HTTPStatus.OK:
        if headers.get("Accept-Ranges", "").lower() != "bytes":
            return None
        return ByteRange(0, int(length) - 1, int(length))
    if status != HTTPStatus.PARTIAL_CONTENT:
        return None
    match = _CONTENT_RANGE.fullmatch(headers.get("Content-Range", ""))
    if match is None:
        return None
    span = ByteRange(*map(int, match.groups()))
    fits = span.first <= span.last < span.total and span.length == int(length)
    return span if fits else None
