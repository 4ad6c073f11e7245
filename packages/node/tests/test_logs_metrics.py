"""Metrics as they are scraped."""

import pytest
from prometheus_client.parser import text_string_to_metric_families

from greengagepoint_node.metrics import MAX_SERVICES, Metrics, PeerTotals, Sources


@pytest.fixture
def metrics():
    peers = PeerTotals(0, 300, 0, 0, 0, 0)
    calls = {("txn", "store_outcome_unknown"): 1}
    made = Metrics(
        Sources(lambda: {"attiki": 12}, lambda: peers, lambda: 7, lambda: calls)
    )
    yield made
    made.close()


def scrape(metrics):
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name.removeprefix("greengagepoint_"), *sorted(sample.labels.items())): (
            sample.value
        )
        for family in families
        for sample in family.samples
    }


def test_requests_are_counted_by_service_kind_and_duration(metrics):
    for _ in range(3):
        metrics.start_request("booking")
    metrics.finish_request("booking", "ok", 0.004)
    metrics.finish_request("booking", "backend_reset", 0.005)
    metrics.refuse_request("booking", "overloaded")
    samples = scrape(metrics)
    service = ("service", "booking")
    assert samples["requests_total", ("kind", "ok"), service] == 1
    assert samples["requests_total", ("kind", "backend_reset"), service] == 1
    assert samples["requests_total", ("kind", "overloaded"), service] == 1
    assert samples["requests_in_flight", service] == 1
    bucket = "request_duration_seconds_bucket_total"
    counts = {
        bound: samples[bucket, ("le", bound), service]
        for bound in ("0.002", "0.005", "+Inf")
    }
    assert counts == {"0.002": 0, "0.005": 2, "+Inf": 2}
    assert samples["request_duration_seconds_sum_total", service] == pytest.approx(
        0.009
    )


def test_service_names_that_callers_invent_share_one_series(metrics):
    """Someone sends requests for thousands of services that no record names. The
    daemon keeps a hundred series and one for the rest, so its memory does not grow.
    """
    for number in range(5_000):
        metrics.refuse_request(f"invented-{number}", "unknown_service")
    assert len(metrics.requests) == MAX_SERVICES + 1
    key = ("requests_total", ("kind", "unknown_service"), ("service", "unknown"))
    assert scrape(metrics)[key] == 5_000 - MAX_SERVICES


def test_figures_of_other_parts_are_read_when_scraped(metrics):
    metrics.add_tick(0.003)
    metrics.add_lookup()
    samples = scrape(metrics)
    assert samples["headroom_requests", ("region", "attiki")] == 12
    assert samples["configuration_generation",] == 7
    assert samples["peer_traffic_bytes_total", ("direction", "out")] == 300
    assert samples["lookups_total",] == 1
    assert samples["tick_duration_seconds_bucket_total", ("le", "0.002")] == 0
    assert samples["tick_duration_seconds_bucket_total", ("le", "0.005")] == 1
    call = ("operation", "txn"), ("outcome", "store_outcome_unknown")
    assert samples["store_calls_total", *call] == 1
