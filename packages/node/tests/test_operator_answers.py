"""A real daemon's answers to operators match the types that the client uses."""

import msgspec
import pytest
from deployment import OPERATOR_KEY, async_deployment
from prometheus_client.parser import text_string_to_metric_families

from greengagepoint.operator_api import (
    HistoryAnswer,
    LookupAnswer,
    RecordsAnswer,
    StatusAnswer,
    TimelineAnswer,
    UsageAnswer,
)

ANSWERS = {
    "/v1/records": (RecordsAnswer, "documents"),
    "/v1/history": (HistoryAnswer, "entries"),
    "/v1/status": (StatusAnswer, "hosts"),
    "/v1/timeline": (TimelineAnswer, "events"),
    "/v1/usage": (UsageAnswer, "rows"),
    "/v1/hosts?service=booking": (LookupAnswer, "hosts"),
}
HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}


@pytest.fixture
async def two_hosts():
    async with async_deployment() as deployment:
        yield deployment


async def test_answers_can_be_decoded_to_the_types_of_the_client(two_hosts) -> None:
    daemon = two_hosts.daemons["attiki-host-0"]
    await two_hosts.async_request(daemon, "/s/booking/bays")
    for path, (answer_type, rows) in ANSWERS.items():
        answer = await two_hosts.async_request(daemon, path, headers=HEADERS)
        document = msgspec.json.decode(await answer.read(), type=answer_type)
        assert answer.status == 200
        assert document[rows], path


async def test_metrics_count_lookups_requests_and_store_calls(two_hosts) -> None:
    daemon = two_hosts.daemons["attiki-host-0"]
    await two_hosts.async_request(daemon, "/s/booking/bays")
    await two_hosts.async_request(daemon, "/v1/hosts?service=booking")
    await two_hosts.async_request(daemon, "/v1/hosts?service=unknown")
    answer = await two_hosts.async_request(daemon, "/metrics")
    families = text_string_to_metric_families(await answer.text())
    samples = {
        (sample.name, *sample.labels.values()): sample.value
        for family in families
        for sample in family.samples
    }
    assert samples["greengagepoint_lookups_total",] == 1
    assert samples["greengagepoint_requests_total", "ok", "booking"] == 1
    assert samples["greengagepoint_store_calls_total", "range", "ok"] >= 1


async def test_answers_contain_no_fields_unknown_to_their_type(two_hosts) -> None:
    daemon = two_hosts.daemons["attiki-host-0"]
    for path in ("/v1/records", "/v1/history", "/v1/status", "/v1/timeline"):
        answer_type, rows = ANSWERS[path]
        answer = await two_hosts.async_request(daemon, path, headers=HEADERS)
        unknown_fields = set(await answer.json()) - set(answer_type.__annotations__)
        assert not unknown_fields, path
