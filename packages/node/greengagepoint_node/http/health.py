"""Routes for health, readiness and metrics."""

from collections.abc import Callable
from typing import Final, NamedTuple

from aiohttp import web

from greengagepoint_node.http.operators import OperatorRoute
from greengagepoint_node.http.problems import json_response

METRICS_CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"


class HealthSources(NamedTuple):
    """Functions that provide the state and metrics of the daemon."""

    is_ready: Callable[[], bool]
    state: Callable[[], str]
    render_metrics: Callable[[], bytes]


def create_health_routes(sources: HealthSources) -> list[OperatorRoute]:
    """Return the routes for health, readiness and metrics, which require no key."""

    async def async_health(request: web.BaseRequest) -> web.StreamResponse:
        return json_response({"state": sources.state()})

    async def async_ready(request: web.BaseRequest) -> web.StreamResponse:
        status = 200 if sources.is_ready() else 503
        return json_response({"state": sources.state()}, status)

    async def async_metrics(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(
            body=sources.render_metrics(),
            headers={"Content-Type": METRICS_CONTENT_TYPE},
        )

    return [
        OperatorRoute("GET", "/healthz", async_health),
        OperatorRoute("GET", "/readyz", async_ready),
        OperatorRoute("GET", "/metrics", async_metrics),
    ]
