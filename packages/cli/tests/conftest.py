"""A small operators' API over core's own change log, on a thread of its own."""

import asyncio
import threading

import msgspec
import pytest
from aiohttp import web
from typer.testing import CliRunner

from greengagepoint.config.entries import Change
from greengagepoint.config.log import ConfigLog, apply_entry
from greengagepoint.config.preparing import prepare
from greengagepoint.errors import ANSWERS, ErrorKind, RecordError
from greengagepoint_cli.main import create_app

AT_MS = 1_764_698_400_000
KEY = "0123456789abcdef"


class FakeHost:
    """One entry host.

    ``losing`` replies are cut after the write took effect; ``race`` is a change that
    another operator gets in before the next one; ``foreign`` documents are in force
    and written by a newer version.
    """

    def __init__(self, name="attiki-1"):
        self.name = name
        self.log = ConfigLog()
        self.losing = 0
        self.not_ready = 0
        self.status = {}
        self.events = []
        self.usage = []
        self.peers = []
        self.problem = None
        self.race = None
        self.asked = {}
        self.foreign = []
        self.known = []
        self.incarnation = 1
        self.bodies = []
        self.address = ""

    @property
    def url(self):
        return f"http://{self.address}"

    @property
    def identity(self):
        return {
            "name": self.name,
            "address": self.address,
            "incarnation": self.incarnation,
        }

    def write(self, changes, author, write_id):
        entry = prepare(self.log, changes, author, write_id, AT_MS)
        apply_entry(self.log, entry)
        return entry

    @web.middleware
    async def async_check(self, request, handler):
        if request.headers.get("Authorization") != f"Bearer {KEY}":
            return problem(ErrorKind.UNAUTHENTICATED, "The shared key is needed")
        if self.problem is not None:
            return problem(*self.problem)
        return await handler(request)

    async def async_records(self, request):
        rows = [
            {
                "kind": row.document.kind,
                "name": row.document.name,
                "schema_version": row.document.schema_version,
                "fields": row.document.fields,
                "generation": row.generation,
            }
            for row in self.log.rows.values()
        ] + self.foreign
        return web.json_response({"generation": self.log.generation, "documents": rows})

    async def async_apply(self, request):
        body = await request.json()
        self.bodies.append(body)
        if self.not_ready:
            self.not_ready -= 1
            return problem(ErrorKind.NOT_READY, "no other host has been heard yet")
        if self.race is not None:
            self.write([self.race], "nikos", "race")
            self.race = None
        done = [one for one in self.log.tail if one.write_id == body["write_id"]]
        if not done:
            changes = msgspec.convert(body["changes"], list[Change])
            try:
                done = [self.write(changes, body["author"], body["write_id"])]
            except RecordError as error:
                return problem(
                    error.kind,
                    error.detail,
                    field=error.field,
                    line=error.line,
                    accepted=error.accepted,
                    record=error.record,
                )
        if self.losing:
            self.losing -= 1
            request.transport.abort()
        return web.json_response({"generation": done[0].generation})

    async def async_history(self, request):
        limit = int(request.query["limit"])
        entries = [msgspec.to_builtins(one) for one in reversed(self.log.tail)]
        for entry in entries:
            entry.pop("encoded")
        return web.json_response({"entries": entries[:limit]})

    async def async_status(self, request):
        hosts = [host.identity for host in self.peers] + self.known
        return web.json_response(
            {
                "host": self.name,
                "region": "attiki",
                "zone": "attiki-a",
                "state": "serving",
                "generation": self.log.generation,
                "digest": self.log.digest,
                "in_flight": 2,
                "hosts": [self.identity, *hosts],
                "shifts": [],
                "drains": [],
                **self.status,
            }
        )

    async def async_timeline(self, request):
        self.asked = dict(request.query)
        events = [one | {"host": self.name} for one in self.events]
        return web.json_response({"host": self.name, "events": events})

    async def async_usage(self, request):
        return web.json_response({"rows": self.usage})

    async def async_hosts(self, request):
        row = {"name": "attiki-1", "address": "10.0.0.1:80", "region": "attiki"}
        row |= {"zone": "attiki-a", "priority": 0, "weight": 1}
        return web.json_response({"generation": 1, "ttl_seconds": 5, "hosts": [row]})


def problem(kind, detail, **members):
    document = {"kind": kind, "detail": detail, **members}
    return web.json_response(document, status=ANSWERS[kind].status)


async def async_serve(host):
    app = web.Application(middlewares=[host.async_check])
    app.add_routes(
        [
            web.get("/v1/records", host.async_records),
            web.post("/v1/records/apply", host.async_apply),
            web.get("/v1/history", host.async_history),
            web.get("/v1/status", host.async_status),
            web.get("/v1/timeline", host.async_timeline),
            web.get("/v1/usage", host.async_usage),
            web.get("/v1/hosts", host.async_hosts),
        ]
    )
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    ip, port = runner.addresses[0]
    host.address = f"{ip}:{port}"
    return runner


@pytest.fixture
def start_host():
    """Return a function that starts a fake host."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    runners = []

    def call(coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, loop).result()

    def start(name="attiki-1"):
        host = FakeHost(name)
        runners.append(call(async_serve(host)))
        return host

    yield start
    for runner in runners:
        call(runner.cleanup())
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture
def host(start_host):
    return start_host()


@pytest.fixture
def invoke(monkeypatch):
    """Return a function that runs the client."""
    monkeypatch.setenv("GREENGAGEPOINT_OPERATOR_KEY", KEY)
    monkeypatch.setenv("GREENGAGEPOINT_AUTHOR", "eleni")

    def run(*arguments, servers=(), text=None):
        flags = [
            f"--server={one if isinstance(one, str) else one.url}" for one in servers
        ]
        return CliRunner().invoke(create_app(), [*arguments, *flags], input=text)

    return run


@pytest.fixture
def refused_url():
    """Return a URL at which nothing listens."""
    return "http://127.0.0.1:1"
