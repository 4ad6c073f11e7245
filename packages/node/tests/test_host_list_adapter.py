"""Test the host list's adapter against the stand-in over real sockets."""

import aiohttp
import pytest
import pytest_asyncio

from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint.protocols import ListedHost
from greengagepoint_node.host_list import create_host_list
from greengagepoint_standins.host_list import async_start_host_list
from greengagepoint_standins.server import Down

HOST = ListedHost("h1", "127.0.0.1:1", "127.0.0.1:2", "attiki", "a", False)


@pytest_asyncio.fixture
async def platform():
    stand_in = await async_start_host_list()
    stand_in.server.put(HOST)
    yield stand_in
    await stand_in.async_stop()


@pytest_asyncio.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


async def test_list_tells_of_leaving_hosts(platform, session):
    hosts = create_host_list(platform.address, session, timeout_seconds=30)
    assert await hosts.read() == (HOST,)
    platform.server.mark_leaving("h1")
    assert await hosts.read() == (HOST._replace(leaving=True),)


async def test_lagging_and_frozen_list(platform, session):
    """A host leaves; the list lags by five seconds and then stops changing.

    Readers see the old list until the lag is over, and for ever when it is frozen.
    """
    hosts = create_host_list(platform.address, session, timeout_seconds=30)
    now = platform.server.clock()
    platform.server.clock = lambda: now
    assert await hosts.read() == (HOST,)
    platform.control.lag_seconds = 5.0
    platform.server.remove("h1")
    now += 4.9
    assert await hosts.read() == (HOST,)
    platform.control.frozen = True
    now += 0.2
    assert await hosts.read() == (HOST,)
    platform.control.frozen = False
    assert await hosts.read() == ()


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        ({"down": Down.REFUSE}, ErrorKind.STORE_UNAVAILABLE),
        ({"down": Down.HANG}, ErrorKind.STORE_UNAVAILABLE),
        ({"garbage_answers": 1}, ErrorKind.STORE_ANSWER_INVALID),
    ],
)
async def test_failing_list_gives_one_typed_error(platform, session, fault, kind):
    """The list is reset, silent or garbage; the caller gets one error of a kind."""
    hosts = create_host_list(platform.address, session, timeout_seconds=0.2)
    for field, value in fault.items():
        setattr(platform.control, field, value)
    with pytest.raises(StoreError) as caught:
        await hosts.read()
    assert caught.value.kind is kind


async def test_huge_list_is_refused_early(platform, session, monkeypatch):
    """The list is larger than its bound; it is not read into memory whole."""
    monkeypatch.setattr("greengagepoint_node.host_list.MAX_LIST_BYTES", 10)
    hosts = create_host_list(platform.address, session, timeout_seconds=30)
    with pytest.raises(StoreError) as caught:
        await hosts.read()
    assert caught.value.kind is ErrorKind.STORE_ANSWER_INVALID
