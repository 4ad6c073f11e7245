"""What a real daemon answers operators, against the types that the client needs."""

import msgspec
import pytest
from deployment import OPERATOR_KEY, async_deployment

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


async def test_answers_are_of_the_types_that_the_client_checks(two_hosts) -> None:
    daemon = two_hosts.daemons["attiki-host-0"]
    await two_hosts.async_request(daemon, "/s/booking/bays")
    for path, (answer_type, rows) in ANSWERS.items():
        answer = await two_hosts.async_request(daemon, path, headers=HEADERS)
        document = msgspec.json.decode(await answer.read(), type=answer_type)
        assert answer.status == 200
        assert document[rows], path


async def test_the_answers_hold_nothing_untyped(two_hosts) -> None:
    daemon = two_hosts.daemons["attiki-host-0"]
    for path in ("/v1/records", "/v1/history", "/v1/status", "/v1/timeline"):
        answer_type, rows = ANSWERS[path]
        answer = await two_hosts.async_request(daemon, path, headers=HEADERS)
        untyped = set(await answer.json()) - set(answer_type.__annotations__)
        assert not untyped, path
