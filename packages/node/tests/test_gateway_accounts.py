"""Check who may ask, as whom, and how much."""

import asyncio

import pytest
from deployment import async_until
from gateway_world import NAMES, async_world, routes

from greengagepoint.accounts.bounds import STRICT
from greengagepoint.accounts.tables import Account
from greengagepoint.errors import ErrorKind
from greengagepoint.events import Event
from greengagepoint.routing.tables import RouteTableBuilder
from greengagepoint_node.gateway.store_types import Configuration

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


def account_headers(world):
    return [
        {
            name: value
            for name, value in row.headers.items()
            if "tenant" in name or name == "authorization"
        }
        for backend in world.backends
        for row in backend.ran
    ]


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
@pytest.mark.parametrize(
    ("headers", "status", "told"),
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
async def test_only_keys_that_an_account_holds_run_and_as_that_account(
    headers, status, told, path
):
    """Guards against forged accounts, and keys that reach a backend server."""
    async with async_world(accounts=ACCOUNTS) as world:
        method = "POST" if path.startswith("/unsafe") else "GET"
        answer = await world.async_call(path, method, headers=headers)
        assert answer[0] == status
        seen = [{NAMES.account.lower(): told}] if told else []
        assert account_headers(world) == seen


async def test_a_request_with_two_keys_is_nobodys():
    async with async_world(accounts=ACCOUNTS) as world:
        headers = [*world.headers().items(), *2 * [*bearer(KEY).items()]]
        async with world.session.get(f"{world.url}/safe/1", headers=headers) as answer:
            assert answer.status == 401
        assert world.ran() == 0


@pytest.mark.parametrize(
    ("headers", "told"),
    [
        ({}, {}),
        (bearer("nobody's"), {}),
        (bearer(KEY), {NAMES.account.lower(): "one"}),
        ({NAMES.account: "two"}, {}),
    ],
)
async def test_a_public_route_needs_no_key_and_passes_none_on(headers, told):
    async with async_world(accounts=ACCOUNTS, rows=public_routes()) as world:
        answer = await world.async_call("/safe/1", headers=headers)
        assert answer[0] == 200
        assert account_headers(world) == [told]


async def test_without_accounts_a_callers_credentials_are_passed_on():
    async with async_world() as world:
        await world.async_call("/safe/1", headers=bearer(KEY))
        assert account_headers(world) == [{"authorization": f"Bearer {KEY}"}]


async def async_be_told(world, key):
    """Ask once, and wait until the host has heard of its account's limit."""
    await world.async_call("/safe/1", headers=bearer(key))
    await async_until(lambda: not world.daemon.gate.unanswered)


async def test_keys_stand_in_no_log_line_and_no_metric():
    """Guards against keys that can be read or searched for where others look."""
    async with async_world(accounts=(*ACCOUNTS, SMALL), metrics=True) as world:
        small = SMALL[1][0]
        await async_be_told(world, small)
        for key in [KEY, "nobody's", *20 * [small]]:
            await world.async_call("/safe/1", headers=bearer(key))
        address = world.daemon.settings.metrics_address
        async with world.session.get(f"http://{address}/metrics") as answer:
            shown = await answer.text()
        assert 'account="small",outcome="refused"' in shown
        shown += repr(world.events.rows)
        assert not [key for key in (KEY, "nobody's", small) if key in shown]


@pytest.mark.parametrize(
    ("rows", "status"), [(None, 503), (public_routes(), 200)], ids=["keyed", "public"]
)
async def test_a_host_that_hears_of_nothing_serves_no_keys(rows, status):
    """Guards against a key that works on where its removal can't be heard of."""
    async with async_world(accounts=ACCOUNTS, rows=rows) as world:
        assert (await world.async_call("/safe/1", headers=bearer(KEY)))[0] == 200
        await world.async_stop_news()
        world.clock.ahead += world.daemon.settings.revoke_seconds
        ran = world.ran()
        answer = await world.async_call("/safe/1", headers=bearer(KEY))
        assert answer[0] == status
        assert world.ran() - ran == (status == 200)
        refused = world.events.of(Event.REQUEST_REFUSED)
        assert [row["kind"] for row in refused] == [ErrorKind.NOT_READY] * (
            status == 503
        )


async def test_look_ups_do_not_name_a_host_that_can_serve_no_keys():
    async with async_world(accounts=ACCOUNTS) as world:
        own = world.daemon.settings.front_address
        assert world.daemon.directory.addresses("north") == [own]
        await world.async_stop_news()
        world.clock.ahead += world.daemon.settings.revoke_seconds
        assert world.daemon.directory.addresses("north") == []


async def test_a_key_that_an_old_configuration_lacks_is_tried_elsewhere():
    """Guards against a final 401 from a host that has yet to hear of a new key."""
    async with async_world(accounts=ACCOUNTS) as world:
        await world.async_stop_news()
        world.clock.ahead += 3.0
        status, _, headers = await world.async_call("/safe/1", headers=bearer("new"))
        assert (status, "Retry-After" in headers) == (503, True)


async def test_a_key_taken_away_while_a_slow_body_comes_does_not_run():
    async with async_world(accounts=ACCOUNTS) as world:
        sent = asyncio.Event()

        async def async_body():
            yield b"a"
            await sent.wait()
            yield b"b"

        call = asyncio.create_task(
            world.async_call(
                "/unsafe/1", "POST", headers=bearer(KEY), data=async_body()
            )
        )
        await async_until(lambda: world.daemon.gateway.in_flight)
        take_away(world, KEY)
        sent.set()
        assert (await call)[0] == 401
        assert world.ran() == 0


def take_away(world, key):
    """Put a configuration in force in which nobody holds a key."""
    view = world.daemon.view
    builder = RouteTableBuilder(view.routes.version + 1, view.routes.limits)
    for host, rows in view.routes.hosts.items():
        for route in rows.prefixes.values():
            builder.add_route(host, route)
    for policy in view.routes.services.values():
        builder.add_service(policy)
    for account, keys in ACCOUNTS:
        builder.add_account(account, [row for row in keys if row != key])
    view.apply_loaded(Configuration(builder.table()), world.clock.monotonic())


async def test_an_account_over_its_limit_does_not_touch_another():
    """Guards against one account's flood that uses up what others are owed."""
    async with async_world(servers=4, accounts=(SMALL, UNLIMITED)) as world:
        await async_be_told(world, SMALL[1][0])
        flood = [
            world.async_call("/safe/1", headers=bearer(SMALL[1][0])) for _ in range(60)
        ]
        other = [
            world.async_call(f"/safe/{number}", headers=bearer(UNLIMITED[1][0]))
            for number in range(20)
        ]
        answers = await asyncio.gather(*flood, *other)
        refused = [headers for status, _, headers in answers[:60] if status == 429]
        assert {status for status, *_ in answers[:60]} == {200, 429}
        assert [status for status, *_ in answers[60:]] == [200] * 20
        assert all(float(headers["Retry-After"]) > 0 for headers in refused)
        ran = [row for row in account_headers(world) if "small" in row.values()]
        assert len(ran) == 1 + 60 - len(refused)
        assert len(ran) <= 1 + STRICT.max_requests(SMALL[0])
        lines = world.events.of(Event.REQUEST_REFUSED)
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
async def test_home_regions_of_route_and_account_both_bind(route, account, expected):
    accounts = ((Account(name="one", home_regions=frozenset(account)), [KEY]),)
    regions = frozenset(route)
    async with async_world(accounts=accounts, home_regions=regions) as world:
        answer = await world.async_call("/safe/1", headers=bearer(KEY))
        assert answer[0] == expected
        assert world.ran() == (expected == 200)
