"""Read and check the daemon's settings."""

import os
from collections.abc import Mapping
from typing import Any, NamedTuple

from greengagepoint.errors import SettingError
from greengagepoint_node.setting_checks import (
    Address,
    InvalidValueError,
    SharedKey,
    parse_key,
)
from greengagepoint_node.setting_rows import (
    ENVIRONMENT_PREFIX,
    KEYS,
    SETTINGS,
    Setting,
)


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
