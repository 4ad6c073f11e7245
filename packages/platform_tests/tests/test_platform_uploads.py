"""Large uploads on a daemon with the memory of a small host."""

import asyncio
import contextlib
import socket
from pathlib import Path

import aiohttp

from greengagepoint_standins.users_platform.daemons import HOST, async_fleet

ROOT = Path(__file__).parents[3]
MEMORY_MB = 300
UPLOADS = 4
# The host can never hold the first, and two of the second.
SIZES_BYTES = (60_000_000, 25_000_000)
UPLOAD_STATUSES = {200, 413, 503}
SLOW_READERS = 40
SLOW_ANSWER_BYTES = 540_000
SLOW_PIECE_BYTES = 16_384
SLOW_PIECE_SECONDS = 0.03
REQUESTS = 300
REQUEST_INTERVAL_SECONDS = 0.01
SERVED_MIN = 0.99


def peak_resident_mb(process):
    """Return the largest resident memory of a process so far, in MiB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


async def async_upload(fleet, node, body):
    """Return the status and id of an upload."""
    status, _, request_id = await fleet.async_call(
        node, "/bays/", method="POST", body=body
    )
    return status, request_id


async def async_small_requests(fleet, node):
    """Return the statuses of ordinary requests at a steady rate, 0 if it broke."""

    async def async_call(number):
        with contextlib.suppress(aiohttp.ClientError):
            return (await fleet.async_call(node, "/bays/", str(number)))[0]
        return 0

    calls = []
    for number in range(REQUESTS):
        calls.append(asyncio.create_task(async_call(number)))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    return await asyncio.gather(*calls)


async def async_read_slowly(fleet, node):
    """Return the status of a large answer and its length, read in small pieces."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_PIECE_BYTES)
    connection.setblocking(False)
    host, _, port = node.listen["front"].rpartition(":")
    await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
    reader, writer = await asyncio.open_connection(
        sock=connection, limit=SLOW_PIECE_BYTES
    )
    head = (
        f"GET /bays/?bytes={SLOW_ANSWER_BYTES} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Greengagepoint-Request-Id: {fleet.next_id()}\r\n"
        "X-Greengagepoint-Deadline-Ms: 3000\r\n\r\n"
    )
    writer.write(head.encode())
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        size = 0
        while size < SLOW_ANSWER_BYTES:
            piece = await reader.read(SLOW_PIECE_BYTES)
            if not piece:
                break
            size += len(piece)
            await asyncio.sleep(SLOW_PIECE_SECONDS)
    finally:
        writer.close()
    return int(head.split(b" ")[1]), size


async def test_uploads_that_exceed_a_small_host_leave_it_alive(tmp_path):
    # The host was ended above its memory, and all requests that it held with it.
    def prepare(node, backends):
        node.document["limits"] = {"memoryMb": MEMORY_MB}

    async with async_fleet(
        ROOT, tmp_path, hosts=(("n1", "z-a"),), prepare=prepare
    ) as fleet:
        (node,) = fleet.nodes
        await fleet.async_until(fleet.async_all_know)
        small = asyncio.create_task(async_small_requests(fleet, node))
        slow = [
            asyncio.create_task(async_read_slowly(fleet, node))
            for _ in range(SLOW_READERS)
        ]
        for size in SIZES_BYTES:
            body = bytes(size)
            uploads = await asyncio.gather(
                *[async_upload(fleet, node, body) for _ in range(UPLOADS)]
            )
            assert {status for status, _ in uploads} <= UPLOAD_STATUSES
            ran = {
                row.headers["x-greengagepoint-request-id"]
                for backend in fleet.backends
                for row in backend.ran
            }
            for status, request_id in uploads:
                assert (request_id in ran) == (status == 200)
        assert 200 in {status for status, _ in uploads}
        statuses = await small
        assert statuses.count(200) >= SERVED_MIN * REQUESTS
        answers = await asyncio.gather(*slow)
        assert answers == [(200, SLOW_ANSWER_BYTES)] * SLOW_READERS
        assert peak_resident_mb(node.process) < MEMORY_MB
