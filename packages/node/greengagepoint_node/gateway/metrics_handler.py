"""Answer scrapes of the request path's metrics."""

import asyncio
import importlib
from collections.abc import Callable
from typing import Any, Final

from aiohttp import web

from greengagepoint_node.gateway.counters import GatewayCounters, Gauges

METRICS_PATH: Final = "/metrics"
PAGE_MODULE: Final = "greengagepoint_node.gateway.metrics_page"


class MetricsHandler:
    """Serve the metrics page, which is created at the first scrape."""

    def __init__(self, counters: GatewayCounters, gauges: Callable[[], Gauges]) -> None:
        self.counters = counters
        self.gauges = gauges
        self.page: Any = None

    async def async_answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one scrape."""
        if request.rel_url.raw_path != METRICS_PATH:
            return web.Response(status=404)
        if self.page is None:
            # The import takes about 0.2 s and would block the event loop.
            module = await asyncio.to_thread(importlib.import_module, PAGE_MODULE)
            self.page = module.MetricsPage(self.counters, self.gauges)
        return web.Response(
            body=self.page.render(), content_type="text/plain", charset="utf-8"
        )
