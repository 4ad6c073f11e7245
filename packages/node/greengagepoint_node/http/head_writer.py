"""Write the heads of responses without changing a byte."""

from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict


class HeadWriter(StreamWriter):
    """Write header values and reason phrases as they were read.

    The HTTP library reads bytes that are not UTF-8 as lone surrogates, and drops these
    without an error when it writes them.
    """

    async def write_headers(self, status_line: str, headers: CIMultiDict[str]) -> None:
        """Check and buffer a head."""
        await super().write_headers(status_line, headers)
        if status_line.isascii() and "".join(headers.values()).isascii():
            return
        lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
        head = "\r\n".join([*lines, "", ""])
        self._headers_buf = head.encode("utf-8", "surrogateescape")
