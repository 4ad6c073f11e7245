"""Callers of the gateway that send malformed cookies and deadlines."""

import pytest
from gateway_world import HOST, NAMES, async_environment
from raw_caller import async_connection, async_read_answer
from test_gateway_arrival import approx_deadlines, deadlines_sent

from greengagepoint.key_placement.usage import KeyUsage, is_reportable
from greengagepoint.placing.ranking import find_candidates, unit_hash
from greengagepoint.placing.tables import Server
from greengagepoint.quarantine.fingerprint import hash_caller
from greengagepoint_node.gateway.call import DEADLINE_DEFAULT_SECONDS

COOKIE = b"caf\xe9"


def request(*lines: bytes, path: bytes = b"/pack/1") -> bytes:
    head = (
        b"GET %s HTTP/1.1" % path,
        f"Host: {HOST}".encode(),
        f"{NAMES.request_id}: id-1".encode(),
        *lines,
    )
    return b"\r\n".join(head) + b"\r\n\r\n"


async def async_send(world, data: bytes) -> str:
    """Return the status of the answer to a request."""
    async with async_connection(world) as (reader, writer):
        writer.write(data)
        headers, _ = await async_read_answer(reader)
        return headers[":status"]


@pytest.mark.parametrize("is_on", [True, False])
async def test_a_cookie_that_is_not_utf_8_is_a_key(is_on):
    # A client in Latin-1 sets the cookie. Its bytes are read as lone surrogates, which
    # cannot be encoded without an error handler: each of its requests got a 500.
    async with async_environment(servers=4, affinity=True) as world:
        world.daemon.view.servers.demand.uneven_servers = is_on
        cookie = f"Cookie: {NAMES.affinity_cookie}=".encode() + COOKIE
        for _ in range(4):
            assert await async_send(world, request(cookie)) == "200"
        ran = [backend.instance for backend in world.backends if backend.ran]
        assert len(ran) == 1


def test_keys_that_are_not_utf_8_hash_by_their_bytes():
    # If all such keys had one hash, one server would have to keep all of them warm.
    hashes = {
        unit_hash(bytes([byte]).decode(errors="surrogateescape"))
        for byte in range(128, 256)
    }
    assert len(hashes) == 128
    server = Server("i", "booking", "", "z", "north", 3)
    assert find_candidates("caf\udce9", [server]).servers == (server,)


def test_a_key_that_is_not_utf_8_is_not_reported():
    # A message cannot hold it: the report would fail, with the other keys in it.
    usage = KeyUsage()
    for key in ("caf\udce9", "café"):
        usage.note("north", "booking", key, is_cold=True)
    assert [row.key for row in usage.take("north")] == ["café"]
    assert not is_reportable("é" * 33)
    assert is_reportable("é" * 32)


def test_credentials_that_are_not_utf_8_are_hashed_by_their_bytes():
    # A request that crashed its server would get a 500 in place of its quarantine.
    hashes = {hash_caller("a", text) for text in ("\udce9", "\udce8", "")}
    assert len(hashes) == 3


@pytest.mark.parametrize(
    "text",
    [b"\xc2\xb2", b"\xd9\xa3", b"9" * 5_000, b"9" * 400, b"-1", b"1.5", b"", b"\xe9"],
    ids=["superscript", "Arabic", "5,000", "400", "negative", "decimal", "", "bytes"],
)
async def test_a_malformed_deadline_counts_as_the_default(text):
    # A caller's library writes the deadline in a wrong way. The request got a 500.
    async with async_environment(timeout_seconds=None) as world:
        world.clock.stop()
        line = NAMES.deadline_ms.encode() + b": " + text
        assert await async_send(world, request(line, path=b"/safe/1")) == "200"
        assert deadlines_sent(world) == approx_deadlines(DEADLINE_DEFAULT_SECONDS)


async def test_a_request_id_that_is_not_utf_8_is_refused_before_it_runs():
    # It cannot be sent on unchanged, so the server's answer would be taken for that to
    # another request: the caller got a 500 after its request had been sent to one.
    async with async_environment() as world:
        data = request(path=b"/safe/1").replace(b": id-1", b": id-\xe9")
        async with async_connection(world) as (reader, writer):
            writer.write(data)
            headers, _ = await async_read_answer(reader)
        assert headers[":status"] == "400"
        assert headers[NAMES.request_id.lower()] == "id-\udce9"
        assert not any(backend.received for backend in world.backends)
