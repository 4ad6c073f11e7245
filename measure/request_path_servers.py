"""Processes that the measurement of the request path sends to.

``python -m measure.request_path_servers platform`` serves the store and a backend
server; ``bare ADDRESS`` serves the baselines. Each prints its addresses as JSON.
"""

import asyncio
import contextlib
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from greengagepoint_node.http.const import HOP_BY_HOP_HEADERS
from greengagepoint_node.http.server import KEEPALIVE_SECONDS
from greengagepoint_node.proxy.sessions import (
    CONNECT_SECONDS,
    READ_BUFFER_BYTES,
)
from greengagepoint_node.proxy.sessions import (
    KEEPALIVE_SECONDS as BACKEND_KEEPALIVE_SECONDS,
)
from greengagepoint_standins.store import async_start_store
from greengagepoint_standins.store_control import StoreControl

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

ANSWER: Final = b'{"bay":"free","pad":"' + b"x" * 200 + b'"}'
SERVERS: Final = 4
SLOTS: Final = 100
WAIT_SECONDS: Final = 20.0
UNLIMITED: Final = 1e9
NANOSECONDS: Final = 1e9
OPERATOR_KEY: Final = "measure-operator-key-0"
PEER_KEY: Final = "measure-peer-key-000000"
CALLER_HEADERS: Final = (
    b"Host: 127.0.0.1\r\nUser-Agent: driver/1.0\r\nAccept: */*\r\n"
    b"Greengagepoint-Team: drivers\r\n"
)
LOOKUP_PATH: Final = "/v1/hosts?service=booking"


class Server(NamedTuple):
    """A listening port and the process behind it."""

    pid: int
    port: int

    def processor_seconds(self) -> float:
        """Return the time that all threads of the process have run."""
        nanoseconds = 0
        for path in Path(f"/proc/{self.pid}/task").iterdir():
            with contextlib.suppress(OSError):
                nanoseconds += int((path / "schedstat").read_text().split()[0])
        return nanoseconds / NANOSECONDS

    def resident_megabytes(self) -> float:
        """Return the memory that the process holds."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class BareServers(NamedTuple):
    """The baselines."""

    pass_through: Server
    pass_through_application: Server
    lookup: Server
    lookup_application: Server


class Deployment(NamedTuple):
    """The running processes and the requests that suit them."""

    daemon: Server
    bare: BareServers
    get_request: bytes
    post_request: bytes
    lookup_request: bytes

    async def async_copy_lookup(self) -> None:
        """Give the baseline the bytes that the daemon answers a look-up with."""
        async with aiohttp.ClientSession() as session:
            daemon = f"http://127.0.0.1:{self.daemon.port}{LOOKUP_PATH}"
            async with session.get(daemon) as answer:
                body = await answer.read()
            for server in (self.bare.lookup, self.bare.lookup_application):
                url = f"http://127.0.0.1:{server.port}/"
                async with session.put(url, data=body) as answer:
                    answer.raise_for_status()


async def async_pass_on(
    request: web.BaseRequest, session: aiohttp.ClientSession, address: str
) -> web.Response:
    """Forward a request and return the answer, without any decision."""
    url = URL(f"http://{address}{request.rel_url.raw_path_qs}", encoded=True)
    body = await request.read() if request.can_read_body else None
    async with session.request(
        request.method, url, headers=_kept(request.headers), data=body
    ) as upstream:
        answer = await upstream.read()
        return web.Response(
            status=upstream.status, headers=_kept(upstream.headers), body=answer
        )


def _kept(headers: Any) -> CIMultiDict[str]:
    """Return headers without those of one connection."""
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_BY_HOP_HEADERS and name != "Host":
            kept.add(name, value)
    return kept


class LookupBytes:
    """Answer with the bytes that were put there."""

    def __init__(self) -> None:
        self.body = b"{}"

    async def async_answer(self, request: web.BaseRequest) -> web.Response:
        """Return the bytes, or take them over."""
        if request.method == "PUT":
            self.body = await request.read()
        return web.Response(body=self.body, content_type="application/json")


async def async_serve_low_level(handler: Handler) -> int:
    """Serve with the options of the daemon's server; return the port."""
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
        keepalive_timeout=KEEPALIVE_SECONDS,
    )
    return await _async_listen(web.ServerRunner(server))


async def async_serve_application(handler: Handler) -> int:
    """Serve with the ordinary application and its router; return the port."""
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", handler)
    return await _async_listen(web.AppRunner(application, access_log=None))


async def _async_listen(runner: web.BaseRunner) -> int:
    """Listen on a free port of loopback."""
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return site._server.sockets[0].getsockname()[1]


def create_plain_session() -> aiohttp.ClientSession:
    """Return a session with the daemon's options and none of its checks."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=BACKEND_KEEPALIVE_SECONDS
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        trust_env=False,
    )


async def async_bare(address: str) -> list[int]:
    """Serve the baselines."""
    session = create_plain_session()

    async def async_forward(request: web.BaseRequest) -> web.StreamResponse:
        return await async_pass_on(request, session, address)

    lookup = LookupBytes()
    return [
        await async_serve_low_level(async_forward),
        await async_serve_application(async_forward),
        await async_serve_low_level(lookup.async_answer),
        await async_serve_application(lookup.async_answer),
    ]


async def async_platform() -> list[int]:
    """Serve the store and a backend server that answers at once."""
    control = StoreControl(writes_per_second=UNLIMITED, reads_per_second=UNLIMITED)
    store = await async_start_store(control=control)
    load = msgspec.json.encode(
        {"in_flight": 0, "slots": SLOTS, "queued": 0, "leaving": False}
    ).decode()

    async def async_answer(request: web.BaseRequest) -> web.StreamResponse:
        if request.rel_url.raw_path == "/load":
            return web.Response(text=load, content_type="application/json")
        if request.can_read_body:
            await request.read()
        return web.Response(
            body=ANSWER,
            content_type="application/json",
            headers={"Greengagepoint-Load": load},
        )

    ports = [await async_serve_low_level(async_answer) for _ in range(SERVERS)]
    return [int(store.address.rpartition(":")[2]), *ports]


def main() -> None:
    """Serve what the command line asks for until the process is ended."""
    kind, *rest = sys.argv[1:]

    async def async_main() -> None:
        ports = await (async_platform() if kind == "platform" else async_bare(*rest))
        print(msgspec.json.encode(ports).decode(), flush=True)
        await asyncio.Event().wait()

    asyncio.run(async_main())


@contextlib.asynccontextmanager
async def async_deployment(hosts: int = 1) -> AsyncIterator[Deployment]:
    """Start all processes and put records in force."""
    with contextlib.ExitStack() as stack:
        _platform, (store_port, *backend_ports) = start_process(stack, "platform")
        backends = [f"127.0.0.1:{port}" for port in backend_ports]
        bare, bare_ports = start_process(stack, "bare", backends[0])
        daemon = start_daemon(stack, store_port)
        await async_apply(daemon, records(backends))
        yield Deployment(
            daemon,
            BareServers(*(Server(bare.pid, port) for port in bare_ports)),
            b"GET /s/booking/bays?near=1 HTTP/1.1\r\n" + CALLER_HEADERS + b"\r\n",
            b"POST /s/booking/reservations HTTP/1.1\r\n"
            + CALLER_HEADERS
            + b"Idempotency-Key: KEY\r\nContent-Length: 5\r\n\r\nbay 7",
            f"GET {LOOKUP_PATH} HTTP/1.1\r\n".encode() + CALLER_HEADERS + b"\r\n",
        )


def start_process(
    stack: contextlib.ExitStack, *arguments: str
) -> tuple[subprocess.Popen[bytes], list[int]]:
    """Start a process of this module; return it with its ports."""
    command = [sys.executable, "-m", "measure.request_path_servers", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    stack.callback(_end, process)
    return process, msgspec.json.decode(process.stdout.readline())


def start_daemon(stack: contextlib.ExitStack, store_port: int) -> Server:
    """Start the daemon as operators do; return its process and port."""
    command = [
        *(sys.executable, *_profiled(), "-m", "greengagepoint_node.main"),
        *("--host", "attiki-1", "--region", "attiki", "--zone", "attiki-a"),
        *("--listen-address", "127.0.0.1:0", "--peer-listen-address", "127.0.0.1:0"),
        *("--store", f"http://127.0.0.1:{store_port}", "--log-format", "json"),
    ]
    environment = {
        **os.environ,
        "GREENGAGEPOINT_PEER_KEY": PEER_KEY,
        "GREENGAGEPOINT_OPERATOR_KEY": OPERATOR_KEY,
        "GREENGAGEPOINT_STOP_GRACE_SECONDS": "0",
    }
    process = subprocess.Popen(command, stderr=subprocess.PIPE, env=environment)
    stack.callback(_end, process)
    for line in process.stderr:
        row = msgspec.json.decode(line)
        if row.get("name") == "daemon_started":
            port = int(row["fields"]["address"].rpartition(":")[2])
            _discard(process)
            return Server(process.pid, port)
    raise RuntimeError("The daemon has not started")


def _profiled() -> list[str]:
    """Return the interpreter's arguments that profile the daemon, where asked for."""
    path = os.environ.get("GREENGAGEPOINT_MEASURE_PROFILE")
    return ["-m", "cProfile", "-o", path] if path else []


def _discard(process: subprocess.Popen[bytes]) -> None:
    """Read what the process logs, so that it never waits for room in the pipe."""
    descriptor = process.stderr.fileno()
    os.set_blocking(descriptor, False)
    loop = asyncio.get_running_loop()

    def read() -> None:
        if not os.read(descriptor, 1 << 16):
            loop.remove_reader(descriptor)

    loop.add_reader(descriptor, read)


def _end(process: subprocess.Popen[bytes]) -> None:
    """End a process that was started here."""
    process.terminate()
    process.wait()
    for stream in (process.stdout, process.stderr):
        if stream is not None:
            stream.close()


async def async_apply(daemon: Server, changes: list[dict[str, Any]]) -> None:
    """Put records in force and wait until callers may be sent to the daemon."""
    base = f"http://127.0.0.1:{daemon.port}"
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    body = {"author": "measure", "changes": changes}
    async with aiohttp.ClientSession() as session, asyncio.timeout(WAIT_SECONDS):
        while True:
            async with session.post(
                f"{base}/v1/records/apply", json=body, headers=headers
            ) as answer:
                if answer.status == 200:
                    break
                detail = await answer.text()
            if "not_ready" not in detail:
                raise RuntimeError(detail)
            await asyncio.sleep(0.1)
        await _async_wait(session, base)


async def _async_wait(session: aiohttp.ClientSession, base: str) -> None:
    """Wait until the daemon answers a request."""
    headers = {"Greengagepoint-Team": "drivers"}
    while True:
        async with session.get(f"{base}/s/booking/bays", headers=headers) as answer:
            if answer.status == 200:
                return
        await asyncio.sleep(0.1)


def records(backends: list[str]) -> list[dict[str, Any]]:
    """Return the records of one region with one site."""
    servers = [
        {
            "name": f"server-{number}",
            "service": "booking",
            "address": address,
            "slots": SLOTS,
        }
        for number, address in enumerate(backends)
    ]
    routes = [
        {"path": "/bays", "request_class": "lookup", "repeatable": True},
        {"path": "/reservations", "request_class": "payment", "needs_key": True},
    ]
    return [
        _record("region", "attiki", zones=["attiki-a"], capacity=SERVERS * SLOTS),
        _record(
            "site",
            "attiki-1",
            region="attiki",
            zone="attiki-a",
            capacity=SERVERS * SLOTS,
            backend_servers=servers,
        ),
        _record(
            "service",
            "booking",
            2,
            sites=["attiki-1"],
            routes=routes,
            lookup_ttl_seconds=1,
        ),
        _record("team", "drivers", requests_per_second=1_000_000, burst=1_000_000),
    ]


def _record(kind: str, name: str, version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return the change that puts one record in force."""
    document = {"kind": kind, "name": name, "schema_version": version, "fields": fields}
    return {"kind": kind, "name": name, "document": document}


if __name__ == "__main__":
    main()
