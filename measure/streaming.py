"""Measure the memory that a daemon needs while packs stream through it.

The baseline passes requests on with aiohttp alone and reads each answer whole first.
Callers stall after the first bytes, so that whatever a process takes in before they
read on stays in its memory. Peaks are the kernel's own for each process.
"""

import asyncio
import contextlib
import socket
from pathlib import Path
from typing import Final

from aiohttp import web

from greengagepoint_standins.store import async_start_store
from measure import request_path_servers as servers
from measure.figure import Figure
from measure.request_path_servers import Server

PACK_BYTES: Final = 100_000_000
SHORT_PACK_BYTES: Final = 5_000_000
TOGETHER: Final = 20
PIECE: Final = bytes(range(256)) * 256
STALL_SECONDS: Final = 1.0
RECEIVE_BUFFER_BYTES: Final = 64 * 1024
KILOBYTE: Final = 1e3
MEGABYTE: Final = 1e6
# For one pack: the client's read buffer, filled up to twice its size, the server's
# write buffer, and the pieces on their way between them.
PACK_LIMIT_MEGABYTES: Final = 1.5


async def async_send_pack(request: web.BaseRequest) -> web.StreamResponse:
    """Send as many bytes as the query says, or a short answer."""
    size = int(request.rel_url.query.get("bytes", 2))
    response = web.StreamResponse()
    response.content_length = size
    await response.prepare(request)
    while size > 0:
        piece = PIECE[:size]
        await response.write(piece)
        size -= len(piece)
    return response


async def async_download(server: Server, size: int) -> int:
    """Read one pack, stalling after its first bytes; return how many bytes came."""
    receiver = socket.socket()
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    receiver.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(receiver, ("127.0.0.1", server.port))
    reader, writer = await asyncio.open_connection(sock=receiver)
    writer.write(
        f"GET /s/booking/pack?bytes={size} HTTP/1.1\r\n".encode()
        + servers.CALLER_HEADERS
        + b"Greengagepoint-Deadline-Ms: 25000\r\nConnection: close\r\n\r\n"
    )
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(STALL_SECONDS)
    received = 0
    while piece := await reader.read(RECEIVE_BUFFER_BYTES):
        received += len(piece)
    writer.close()
    return received


def peak_bytes(server: Server) -> float:
    """Return the most memory that a process has held so far."""
    status = Path(f"/proc/{server.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return float(line.split()[1]) * 1024


async def async_growth(server: Server, downloads: int, size: int) -> float:
    """Return by how much the peak grew over what the process held before."""
    before = server.resident_megabytes() * MEGABYTE
    tasks = [async_download(server, size) for _ in range(downloads)]
    received = await asyncio.gather(*tasks)
    if received != [size] * downloads:
        raise RuntimeError(f"Not all bytes came: {received}")
    return max(0.0, peak_bytes(server) - before)


async def async_measure() -> list[Figure]:
    """Run packs through the daemon and through the baseline."""
    with contextlib.ExitStack() as stack:
        store = await async_start_store()
        ports = [
            await servers.async_serve_low_level(async_send_pack)
            for _ in range(servers.SERVERS)
        ]
        backends = [f"127.0.0.1:{port}" for port in ports]
        bare_process, bare_ports = servers.start_process(stack, "bare", backends[0])
        bare = Server(bare_process.pid, bare_ports[0])
        daemon = servers.start_daemon(stack, int(store.address.rpartition(":")[2]))
        await servers.async_apply(daemon, servers.records(backends))
        for server in (daemon, bare):
            await async_download(server, SHORT_PACK_BYTES)
        # A peak never falls again, so the smaller one is measured first.
        one = await async_growth(daemon, 1, PACK_BYTES)
        bare_one = await async_growth(bare, 1, PACK_BYTES)
        together = await async_growth(daemon, TOGETHER, SHORT_PACK_BYTES)
        await store.async_stop()
    whole = "reads each answer whole"
    return [
        Figure(
            "memory for a pack of 100 MB to a stalling caller",
            one / MEGABYTE,
            "MB",
            bare_one / MEGABYTE,
            whole,
            limit=PACK_LIMIT_MEGABYTES,
        ),
        Figure(
            f"memory for each of {TOGETHER} packs of 5 MB at once",
            together / TOGETHER / KILOBYTE,
            "kB",
            limit=PACK_LIMIT_MEGABYTES * KILOBYTE,
        ),
    ]


def run() -> list[Figure]:
    """Return the figures."""
    return asyncio.run(async_measure())


if __name__ == "__main__":
    for figure in run():
        print(figure)
