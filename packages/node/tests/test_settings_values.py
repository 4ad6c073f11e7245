"""Settings: what is taken, what is refused, and what the operator reads."""

from pathlib import Path

import pytest
from typer.testing import CliRunner

import greengagepoint_node
from greengagepoint.errors import SettingError
from greengagepoint_node.command import EXIT_USAGE, command
from greengagepoint_node.setting_checks import Address
from greengagepoint_node.setting_rows import SETTINGS
from greengagepoint_node.settings import Settings, read_settings

KEY = "0123456789abcdef-secret"
NEEDED = {
    "host": "attiki-1",
    "region": "attiki",
    "zone": "attiki-a",
    "store": "http://127.0.0.1:2379",
}


def test_each_setting_is_used():
    """A setting was once read and checked, and nothing asked for it."""
    folder = Path(greengagepoint_node.__file__).parent
    code = "".join(
        page.read_text()
        for page in folder.rglob("*.py")
        if not page.name.startswith("setting")
    )
    unused = [name for name in Settings._fields if f"settings.{name}" not in code]
    assert not unused


def settings_of(environment=None, **values):
    return read_settings(NEEDED | values, environment or {})


def test_defaults_listen_on_loopback_without_keys():
    settings = settings_of()
    assert settings.listen_address.is_loopback
    assert settings.peer_listen_address.is_loopback
    assert (settings.peer_key, settings.operator_key) == (None, None)


@pytest.mark.parametrize(
    ("name", "text", "value"),
    [
        ("listen_address", "[::1]:0", Address("::1", 0)),
        (
            "store",
            "http://10.0.0.1:1, https://b/x/",
            ("http://10.0.0.1:1", "https://b/x"),
        ),
        ("tick_seconds", "0.5", 0.5),
        ("max_body_bytes", "0", 0),
        ("host_list", "", None),
        ("log_format", "json", "json"),
    ],
)
def test_values_that_are_taken(name, text, value):
    assert getattr(settings_of(**{name: text}), name) == value


@pytest.mark.parametrize(
    ("name", "text", "message"),
    [
        ("host", None, "--host (GREENGAGEPOINT_HOST) is missing"),
        ("host", "", "'' is not acceptable; accepted: 1 to 63 lower-case"),
        ("host", "Attiki 1", "'Attiki 1' is not acceptable"),
        ("host", "a\nb", r"'a\nb' is not acceptable"),
        ("host", "x" * 500, "…' is not acceptable"),
        ("listen_address", "8080", "accepted: an IP address with a port"),
        ("listen_address", "localhost:8080", "accepted: an IP address with a port"),
        ("listen_address", "::1:8080", "accepted: an IP address with a port"),
        ("listen_address", "127.0.0.1:99999", "accepted: a port from 0 to 65535"),
        ("advertised_address", "0.0.0.0:80", "by which others reach it"),
        ("advertised_address", "10.0.0.1:0", "by which others reach it"),
        ("store", "10.0.0.1:2379", "accepted: an http or https URL"),
        ("store", "http://a,", "accepted: an http or https URL"),
        ("store", "http://a:x", "accepted: an http or https URL"),
        ("store", "http://me:pw@a", "without query, fragment or password"),
        ("tick_seconds", "nan", "accepted: a number from 0.02 to 5"),
        ("tick_seconds", "9", "accepted: a number from 0.02 to 5"),
        ("max_header_bytes", "1e5", "accepted: a whole number from 1024"),
        ("log_level", "loud", "accepted: one of debug, info, warning, error"),
        ("peer_key_file", "/does/not/exist", "accepted: a readable file"),
        ("listen_address", "0.0.0.0:80", "so GREENGAGEPOINT_OPERATOR_KEY or"),
        ("peer_listen_address", "10.0.0.1:81", "so GREENGAGEPOINT_PEER_KEY or"),
        ("peer_listen_address", "127.0.0.1:8080", "are the same"),
    ],
)
def test_values_that_are_refused(name, text, message):
    with pytest.raises(SettingError) as caught:
        settings_of(**{name: text})
    assert message in caught.value.detail
    assert "\n" not in caught.value.detail


def test_unspecified_addresses_need_advertised_ones():
    environment = {"GREENGAGEPOINT_OPERATOR_KEY": KEY}
    with pytest.raises(SettingError, match="--advertised-address is missing"):
        settings_of(environment, listen_address="0.0.0.0:80")
    settings_of(
        environment, listen_address="0.0.0.0:80", advertised_address="10.0.0.1:80"
    )


@pytest.mark.parametrize("name", ["peer_key", "operator_key"])
def test_keys_come_from_file_or_environment_and_are_never_shown(name, tmp_path):
    path = tmp_path / "key"
    path.write_text(KEY + "\n")
    variable = f"GREENGAGEPOINT_{name.upper()}"
    for settings in (
        settings_of(**{f"{name}_file": str(path)}),
        settings_of({variable: KEY}),
    ):
        key = getattr(settings, name)
        assert key.matches(KEY)
        assert not key.matches(KEY[:-1])
        assert not key.matches("\udc80")
        assert KEY not in repr(settings)
    with pytest.raises(SettingError, match="are both set; use one"):
        settings_of({variable: KEY}, **{f"{name}_file": str(path)})
    for bad in ("short", KEY + " x", KEY + "é"):
        with pytest.raises(SettingError, match="accepted: ") as caught:
            settings_of({variable: bad})
        assert bad not in caught.value.detail


def run_command(run, arguments=(), environment=None):
    flags = [f"--{name}={value}" for name, value in NEEDED.items()]
    return CliRunner().invoke(command(run), [*flags, *arguments], env=environment)


def test_flags_go_before_environment_variables():
    taken = []

    def run(settings):
        taken.append((settings.tick_seconds, settings.log_level))
        return 7

    environment = {
        "GREENGAGEPOINT_TICK_SECONDS": "1",
        "GREENGAGEPOINT_LOG_LEVEL": "error",
    }
    result = run_command(run, ["--tick-seconds=2"], environment)
    assert (result.exit_code, taken) == (7, [(2.0, "error")])


def test_a_wrong_setting_stops_the_process_with_one_line():
    """An operator mistypes a limit. The daemon stops before it listens, prints one
    line that names flag, variable and what is accepted, and exits with code 2.
    """
    result = run_command(lambda settings: 0, ["--tick-seconds=fast"])
    assert result.exit_code == EXIT_USAGE
    assert result.stderr == (
        "greengagepointd: --tick-seconds (GREENGAGEPOINT_TICK_SECONDS): 'fast' is "
        "not acceptable; accepted: a number from 0.02 to 5\n"
    )


def test_every_setting_stands_in_the_help_and_on_the_page():
    shown = CliRunner().invoke(command(lambda settings: 0), ["--help"]).stdout
    page = (Path(__file__).parents[3] / "docs/operators/settings.md").read_text()
    for row in SETTINGS:
        default = f"| `{row.default}` |" if row.default else ""
        assert f"\n| `{row.flag}` | `{row.variable}` {default}" in page
        assert row.flag in shown
        assert row.variable in shown
