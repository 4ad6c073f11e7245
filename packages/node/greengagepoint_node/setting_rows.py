"""The table of the daemon's settings: flags, environment variables, defaults."""

from typing import Final, NamedTuple

from greengagepoint_node.setting_checks import (
    Parser,
    number,
    one_of,
    parse_address,
    parse_advertised,
    parse_key_file,
    parse_name,
    parse_url,
    parse_urls,
    whole_number,
)

ENVIRONMENT_PREFIX: Final = "GREENGAGEPOINT_"


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
