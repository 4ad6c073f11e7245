"""Show operators which requests are suspected, and let them clear requests."""

from typing import Any, Final

import msgspec
from aiohttp import hdrs, web

from greengagepoint_node.gateway.request_quarantine import RequestQuarantine

PAGE_PATH: Final = "/quarantine"


class QuarantinePage:
    """Answer ``GET /quarantine`` and ``DELETE /quarantine/{content}``."""

    def __init__(self, quarantine: RequestQuarantine) -> None:
        self.quarantine = quarantine

    def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one request under the page's path."""
        content = request.rel_url.raw_path.removeprefix(PAGE_PATH).strip("/")
        if request.method == hdrs.METH_DELETE and content:
            found = self.quarantine.lift(content)
            return web.Response(status=204 if found else 404)
        if request.method == hdrs.METH_GET and not content:
            body = msgspec.json.encode(self._rows())
            return web.Response(body=body, content_type="application/json")
        return web.Response(status=404)

    def _rows(self) -> list[dict[str, Any]]:
        """Return each suspected request with the crashes that count against it."""
        now = self.quarantine.clock.monotonic()
        table = self.quarantine.table
        return [
            {
                "content": content,
                "refused_seconds": round(
                    max(0.0, table.quarantined_until(content) - now), 3
                ),
                "ends": [
                    {
                        "instance": key.incarnation.instance,
                        "caller": key.caller,
                        "age_seconds": round(now - end.at, 3),
                    }
                    for key, end in suspect.unsettled().items()
                ],
            }
            for content, suspect in table.suspects.items()
            if suspect.unsettled()
        ]
