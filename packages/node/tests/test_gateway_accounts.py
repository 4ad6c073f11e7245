"""Check authentication by key and the request limits of accounts."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import NAMES, async_environment, routes

from greengagepoint.accounts.bounds import STRICT
from greengagepoint.accounts.tables import Account
from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.routing.tables import RouteTableBuilder
from greengagepoint_node.gateway.store_types import Configuration, StoredItem

KEY, OTHER_KEY = "k3yofone4567890abcde", "0therk3yofone4567890"
ACCOUNTS = (
    (Account(name="one"), [KEY, OTHER_KEY]),
    (Account(name="two"), ["k3yoftwo4567890abcde"]),
)
UNLIMITED = (Account(name="large"), ["k3yoflarge67890abcde"])
SMALL = (
    Account(name="small", requests_per_second=5.0, burst=5.0),
    ["k3yofsmall67890abcde"],
)


def bearer(key, scheme="Bearer"):
    return {"Authorization": f"{scheme} {key}"}


def public_routes():
    rows = routes()
    return [type(row)(**{**as_fields(row), "public": True}) for row in rows]


def as_fields(row):
    return {name: getattr(row, name) for name in row.__struct_fields__}


def account_headers(env):
    return [
        {
            name: value
            for name, value in row.headers.items()
            if "tenant" in name or name == "authorization"
        }
        for backend in env.backends
        for row in backend.ran
    ]


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
@pytest.mark.parametrize(
    ("headers", "status", "relayed"),
    [
        (bearer(KEY), 200, "one"),
        (bearer(OTHER_KEY), 200, "one"),
        (bearer(KEY, "bEARER"), 200, "one"),
        ({}, 401, None),
        (bearer("nobody's"), 401, None),
        (bearer(KEY, "Basic"), 401, None),
        (bearer(f"{KEY} {KEY}"), 401, None),
        ({"Authorization": KEY}, 401, None),
        ({**bearer(KEY), NAMES.account: "two"}, 200, "one"),
        ({**bearer(KEY), NAMES.account.lower(): "two"}, 200, "one"),
        ({**bearer(KEY), "X_Greengagepoint_Tenant": "two"}, 200, "one"),
        ({**bearer(KEY), "Connection": NAMES.account}, 200, "one"),
        ({**bearer(KEY), "Connection": "Authorization"}, 200, "one"),
    ],
)
async def test_only_known_keys_are_served_under_their_account(
    headers, status, relayed, path
):
    """Guard against forged accounts and keys that reach a backend server."""
    async with async_environment(accounts=ACCOUNTS) as env:
        method = "POST" if path.startswith("/unsafe") else "GET"
        answer = await env.async_call(path, method, headers=headers)
        assert answer[0] == status
        seen = [{NAMES.account.lower(): relayed}] if relayed else []
        assert account_headers(env) == seen


async def test_a_request_with_two_keys_is_rejected():
    async with async_environment(accounts=ACCOUNTS) as env:
        headers = [*env.headers().items(), *2 * [*bearer(KEY).items()]]
        async with env.session.get(f"{env.url}/safe/1", headers=headers) as answer:
            assert answer.status == 401
        assert env.ran() == 0


@pytest.mark.parametrize(
    ("headers", "relayed"),
    [
        ({}, {}),
        (bearer("nobody's"), {}),
        (bearer(KEY), {NAMES.account.lower(): "one"}),
        ({NAMES.account: "two"}, {}),
    ],
)
async def test_a_public_route_needs_no_key_and_relays_none(headers, relayed):
    async with async_environment(accounts=ACCOUNTS, rows=public_routes()) as env:
        answer = await env.async_call("/safe/1", headers=headers)
        assert answer[0] == 200
        assert account_headers(env) == [relayed]


async def test_without_accounts_credentials_are_relayed():
    async with async_environment() as env:
        await env.async_call("/safe/1", headers=bearer(KEY))
        assert account_headers(env) == [{"authorization": f"Bearer {KEY}"}]


async def async_fetch_limit(env, key):
    """Send a request and wait until the host has received its account's limit."""
    await env.async_call("/safe/1", headers=bearer(key))
    await async_until(lambda: not env.daemon.gate.unanswered)


async def test_keys_are_not_in_log_lines_or_metrics():
    """Guard against keys in places that other people can read."""
    async with async_environment(accounts=(*ACCOUNTS, SMALL), metrics=True) as env:
        small = SMALL[1][0]
        await async_fetch_limit(env, small)
        for key in [KEY, "nobody's", *20 * [small]]:
            await env.async_call("/safe/1", headers=bearer(key))
        address = env.daemon.settings.metrics_address
        async with env.session.get(f"http://{address}/metrics") as answer:
            shown = await answer.text()
        assert 'account="small",outcome="refused"' in shown
        shown += repr(env.events.rows)
        assert not [key for key in (KEY, "nobody's", small) if key in shown]


@pytest.mark.parametrize(
    ("rows", "status"), [(None, 503), (public_routes(), 200)], ids=["keyed", "public"]
)
async def test_a_host_without_updates_rejects_keys(rows, status):
    """Guard against a revoked key that stays valid on a partitioned host."""
    async with async_environment(accounts=ACCOUNTS, rows=rows) as env:
        assert (await env.async_call("/safe/1", headers=bearer(KEY)))[0] == 200
        await env.async_stop_updates()
        env.clock.ahead += env.daemon.settings.revoke_seconds
        ran = env.ran()
        answer = await env.async_call("/safe/1", headers=bearer(KEY))
        assert answer[0] == status
        assert env.ran() - ran == (status == 200)
        refused = env.events.of(Event.REQUEST_REFUSED)
        assert [row["kind"] for row in refused] == [ErrorKind.NOT_READY] * (
            status == 503
        )


async def test_lookups_leave_out_a_host_that_rejects_keys():
    async with async_environment(accounts=ACCOUNTS) as env:
        own = env.daemon.settings.front_address
        assert env.daemon.directory.addresses("north") == [own]
        await env.async_stop_updates()
        env.clock.ahead += env.daemon.settings.revoke_seconds
        assert env.daemon.directory.addresses("north") == []


async def test_an_unknown_key_gets_503_while_the_view_may_be_outdated():
    """Guard against a final 401 from a host that does not have a new key yet."""
    async with async_environment(accounts=ACCOUNTS) as env:
        await env.async_stop_updates()
        env.clock.ahead += 3.0
        status, _, headers = await env.async_call("/safe/1", headers=bearer("new"))
        assert (status, "Retry-After" in headers) == (503, True)


async def test_a_key_revoked_while_receiving_a_slow_body_is_rejected():
    async with async_environment(accounts=ACCOUNTS) as env:
        sent = asyncio.Event()

        async def async_body():
            yield b"a"
            await sent.wait()
            yield b"b"

        call = asyncio.create_task(
            env.async_call("/unsafe/1", "POST", headers=bearer(KEY), data=async_body())
        )
        await async_until(lambda: env.daemon.gateway.in_flight)
        revoke(env, KEY)
        sent.set()
        assert (await call)[0] == 401
        assert env.ran() == 0


def revoke(env, key):
    """Activate a configuration without a key."""
    view = env.daemon.view
    builder = RouteTableBuilder(view.routes.version + 1, view.routes.limits)
    for host, rows in view.routes.hosts.items():
        for route in rows.prefixes.values():
            builder.add_route(host, route)
    for policy in view.routes.services.values():
        builder.add_service(policy)
    for account, keys in ACCOUNTS:
        builder.add_account(account, [row for row in keys if row != key])
    item = StoredItem(view.configuration_key, b"", view.revision + 1)
    view.apply_loaded(item, Configuration(builder.table()), env.clock.monotonic())


async def test_an_account_over_its_limit_does_not_affect_others():
    """Guard against a flood of one account that uses up the capacity of others."""
    async with async_environment(servers=4, accounts=(SMALL, UNLIMITED)) as env:
        await async_fetch_limit(env, SMALL[1][0])
        flood = [
            env.async_call("/safe/1", headers=bearer(SMALL[1][0])) for _ in range(60)
        ]
        other = [
            env.async_call(f"/safe/{number}", headers=bearer(UNLIMITED[1][0]))
            for number in range(20)
        ]
        answers = await asyncio.gather(*flood, *other)
        refused = [headers for status, _, headers in answers[:60] if status == 429]
        assert {status for status, *_ in answers[:60]} == {200, 429}
        assert [status for status, *_ in answers[60:]] == [200] * 20
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        ran = [row for row in account_headers(env) if "small" in row.values()]
        assert len(ran) == 1 + 60 - len(refused)
        assert len(ran) <= 1 + STRICT.max_requests(SMALL[0])
        lines = env.events.of(Event.REQUEST_REFUSED)
        assert {row["account"] for row in lines} == {"small"}


@pytest.mark.parametrize(
    ("route", "account", "expected"),
    [
        (set(), set(), 200),
        (set(), {"north"}, 200),
        ({"north", "south"}, {"north"}, 200),
        ({"south"}, {"north"}, 503),
        (set(), {"south"}, 503),
    ],
)
async def test_home_regions_of_route_and_account_both_apply(route, account, expected):
    accounts = ((Account(name="one", home_regions=frozenset(account)), [KEY]),)
    regions = frozenset(route)
    async with async_environment(accounts=accounts, home_regions=regions) as env:
        answer = await env.async_call("/safe/1", headers=bearer(KEY))
        assert answer[0] == expected
        assert env.ran() == (expected == 200)
