"""The daemon's settings: flags, environment variables and their checks."""

import inspect
import os
from collections.abc import Callable, Mapping
from typing import Annotated, Any, Final, NamedTuple

import typer

from greengagepoint.errors import SettingError
from greengagepoint_node.setting_checks import (
    Address,
    InvalidValueError,
    Parser,
    SharedKey,
    number,
    one_of,
    parse_address,
    parse_advertised,
    parse_key,
    parse_key_file,
    parse_name,
    parse_url,
    parse_urls,
    whole_number,
)

ENVIRONMENT_PREFIX: Final = "GREENGAGEPOINT_"
EXIT_USAGE: Final = 2
PROGRAM: Final = "greengagepointd"


class Settings(NamedTuple):
    """All settings, checked.

    An advertised address is None when it is the one listened on. ``store`` holds
    the URLs of the key-value service in the order in which they are tried; the host
    list's URL is None when there is none.
    """

    host: str
    region: str
    zone: str
    listen_address: Address
    peer_listen_address: Address
    advertised_address: Address | None
    advertised_peer_address: Address | None
    store: tuple[str, ...]
    store_prefix: str
    host_list: str | None
    peer_key: SharedKey | None
    operator_key: SharedKey | None
    log_level: str
    log_format: str
    tick_seconds: float
    max_header_bytes: int
    max_body_bytes: int
    max_connections: int
    slow_sender_seconds: float
    stop_grace_seconds: float


class Setting(NamedTuple):
    """One row of the table of settings; ``default`` None: none is taken."""

    name: str
    parse: Parser
    default: str | None
    help: str
    required: bool = False

    @property
    def flag(self) -> str:
        """Return the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


SETTINGS: Final = (
    Setting("host", parse_name, None, "Name of this host.", required=True),
    Setting("region", parse_name, None, "Region of this host.", required=True),
    Setting("zone", parse_name, None, "Availability zone of this host.", required=True),
    Setting(
        "listen_address",
        parse_address,
        "127.0.0.1:8080",
        "IP address and port for callers and operators; port 0 takes a free one.",
    ),
    Setting(
        "peer_listen_address",
        parse_address,
        "127.0.0.1:8081",
        "IP address and port for other daemons; port 0 takes a free one.",
    ),
    Setting(
        "advertised_address",
        parse_advertised,
        None,
        "IP address and port that callers are told; by default the one listened on.",
    ),
    Setting(
        "advertised_peer_address",
        parse_advertised,
        None,
        "IP address and port that daemons are told; by default the one listened on.",
    ),
    Setting(
        "store",
        parse_urls,
        None,
        "URLs of the key-value service, separated by commas.",
        required=True,
    ),
    Setting(
        "store_prefix",
        parse_name,
        "greengagepoint",
        "First part of all keys in the key-value service.",
    ),
    Setting("host_list", parse_url, None, "URL of the host list; none by default."),
    Setting(
        "peer_key_file",
        parse_key_file,
        None,
        "File that holds the key shared by all daemons; "
        "GREENGAGEPOINT_PEER_KEY may hold the key itself.",
    ),
    Setting(
        "operator_key_file",
        parse_key_file,
        None,
        "File that holds the key of the operators' API; "
        "GREENGAGEPOINT_OPERATOR_KEY may hold the key itself.",
    ),
    Setting(
        "log_level",
        one_of("debug", "info", "warning", "error"),
        "info",
        "Least urgent level that is logged: debug, info, warning or error.",
    ),
    Setting("log_format", one_of("text", "json"), "text", "Log lines: text or json."),
    Setting(
        "tick_seconds",
        number(0.02, 5),
        "0.25",
        "Seconds between two runs of the periodic systems, 0.02 to 5.",
    ),
    Setting(
        "max_header_bytes",
        whole_number(1024, 1_048_576),
        "16384",
        "Most bytes of a request's headers, 1024 to 1048576.",
    ),
    Setting(
        "max_body_bytes",
        whole_number(0, 2**40),
        "67108864",
        "Most bytes of a request's body, up to 1 TiB.",
    ),
    Setting(
        "max_connections",
        whole_number(1, 1_000_000),
        "4000",
        "Most connections of callers at a time.",
    ),
    Setting(
        "slow_sender_seconds",
        number(0.1, 600),
        "10",
        "Longest wait for the next part of a request, 0.1 to 600.",
    ),
    Setting(
        "stop_grace_seconds",
        number(0, 86_400),
        "60",
        "Longest time that a graceful stop waits for requests, 0 to 86400.",
    ),
)

KEYS: Final = ("peer_key", "operator_key")


def read_settings(
    values: Mapping[str, str | None], environment: Mapping[str, str] = os.environ
) -> Settings:
    """Check the values of all rows and the keys of the environment.

    Raise SettingError on the first that is not acceptable.
    """
    parsed = {row.name: _parse_row(row, values.get(row.name)) for row in SETTINGS}
    for name in KEYS:
        from_file = parsed.pop(f"{name}_file")
        parsed[name] = _read_key(name, from_file, environment)
    settings = Settings(**parsed)
    _check_together(settings)
    return settings


def _parse_row(row: Setting, text: str | None) -> Any:
    """Return the value of one setting."""
    text = row.default if text is None else text
    if text is None or (text == "" and not row.required):
        if row.required:
            raise SettingError(f"{row.flag} ({row.variable}) is missing")
        return None
    try:
        return row.parse(text)
    except InvalidValueError as error:
        raise SettingError(
            f"{row.flag} ({row.variable}): {_shown(text)} is not acceptable; "
            f"accepted: {error}"
        ) from None


def _read_key(
    name: str, from_file: SharedKey | None, environment: Mapping[str, str]
) -> SharedKey | None:
    """Return a key from its file or its environment variable; never show it."""
    variable = ENVIRONMENT_PREFIX + name.upper()
    text = environment.get(variable)
    if not text:
        return from_file
    if from_file is not None:
        raise SettingError(f"{variable} and {variable}_FILE are both set; use one")
    try:
        return parse_key(text)
    except InvalidValueError as error:
        raise SettingError(
            f"{variable}: the key is not acceptable; accepted: {error}"
        ) from None


def _check_together(settings: Settings) -> None:
    """Refuse settings that are good alone and not together."""
    for address, key, name, flag in (
        (settings.listen_address, settings.operator_key, "operator_key", "listen"),
        (settings.peer_listen_address, settings.peer_key, "peer_key", "peer-listen"),
    ):
        variable = ENVIRONMENT_PREFIX + name.upper()
        if key is None and not address.is_loopback:
            raise SettingError(
                f"--{flag}-address: {address} is not a loopback address, so "
                f"{variable} or {variable}_FILE must be set"
            )
    for address, advertised, flag in (
        (settings.listen_address, settings.advertised_address, "address"),
        (
            settings.peer_listen_address,
            settings.advertised_peer_address,
            "peer-address",
        ),
    ):
        if advertised is None and address.is_unspecified:
            raise SettingError(
                f"--advertised-{flag} is missing; {address} tells others nothing"
            )
    same = settings.listen_address == settings.peer_listen_address
    if same and settings.listen_address.port:
        raise SettingError("--listen-address and --peer-listen-address are the same")


def _shown(text: str) -> str:
    """Return a value for an error line, short and without control characters."""
    return repr(text if len(text) <= 60 else text[:60] + "…")


def command(run: Callable[[Settings], int]) -> typer.Typer:
    """Return the daemon's command line; ``run`` returns the exit code."""
    app = typer.Typer(
        add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None
    )

    def start(**values: str | None) -> None:
        """Run the daemon of one entry host."""
        try:
            code = run(read_settings(values))
        except SettingError as error:
            typer.echo(f"{PROGRAM}: {error.detail}", err=True)
            raise typer.Exit(EXIT_USAGE) from None
        raise typer.Exit(code)

    # typer reads the signature: one parameter for each row of the table.
    parameters = [_parameter(row) for row in SETTINGS]
    start.__signature__ = inspect.Signature(parameters)
    start.__annotations__ = {one.name: one.annotation for one in parameters}
    app.command()(start)
    return app


def _parameter(row: Setting) -> inspect.Parameter:
    """Return the typer parameter of one row."""
    shown = f"{row.help} [default: {row.default}]" if row.default else row.help
    option = typer.Option(row.flag, envvar=row.variable, help=shown, show_default=False)
    return inspect.Parameter(
        row.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )
