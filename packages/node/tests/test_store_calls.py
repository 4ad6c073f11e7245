"""Counts of calls to the key-value service."""

import asyncio
from collections import Counter
from contextlib import nullcontext

import pytest

from greengagepoint.errors import StoreError, StoreOutcomeUnknownError
from greengagepoint_node.store import create_store
from greengagepoint_node.store_calls import counting

TIMEOUT_SECONDS = 0.2


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (None, "ok"),
        (StoreError("down"), "store_unavailable"),
        (StoreOutcomeUnknownError("lost"), "store_outcome_unknown"),
        (asyncio.CancelledError(), "cancelled"),
        (ConnectionResetError(), "failed"),
    ],
)
def test_each_end_of_a_call_is_counted_once(error, outcome):
    calls = Counter()
    expected = nullcontext() if error is None else pytest.raises(type(error))
    with expected, counting(calls, "/v3/kv/txn"):
        if error is not None:
            raise error
    assert calls == {("txn", outcome): 1}


class Refusing:
    """A client session whose every call finds nobody listening."""

    async def post(self, *args, **kwargs):
        raise ConnectionRefusedError


async def test_a_watch_that_cannot_be_opened_is_counted():
    """The service is down and a watcher tries to open its watch: that call counts
    among those to a service which counts each call.
    """
    store = create_store("127.0.0.1:1", Refusing(), timeout_seconds=TIMEOUT_SECONDS)
    with pytest.raises(StoreError):
        await anext(store.watch("a", revision=1))
    assert store.calls == {("watch", "failed"): 1}
