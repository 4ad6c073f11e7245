"""A caller that writes requests on a connection as bytes."""

import asyncio
import contextlib

from gateway_world import HOST, NAMES


@contextlib.asynccontextmanager
async def async_connection(world):
    host, _, port = world.daemon.settings.front_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


def request(number, method="GET", path="/safe/", deadline_ms=90000, body=b""):
    lines = [
        f"{method} {path}{number} HTTP/1.1",
        f"Host: {HOST}",
        f"{NAMES.request_id}: id-{number}",
        f"{NAMES.deadline_ms}: {deadline_ms}",
        *([f"Content-Length: {len(body)}"] if method == "POST" else []),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def async_read_answer(reader):
    received = await reader.readuntil(b"\r\n\r\n")
    head = received.decode(errors="surrogateescape").lower()
    status, *lines = head.split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines if ": " in line)
    headers[":status"] = status.split(" ")[1]
    body = await reader.readexactly(int(headers["content-length"]))
    return headers, body.decode()


def targets(world):
    return [row.target for backend in world.backends for row in backend.ran]
