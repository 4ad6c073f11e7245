"""Write numbered events as log lines, as text or as JSON."""

import datetime
import json
import logging
import sys
import traceback
from typing import Any, Final, TextIO

from absl import flags
from absl import logging as absl_logging

from greengagepoint.events import CATALOGUE, Level, Occurrence

LEVELS: Final[dict[Level, int]] = {
    Level.DEBUG: logging.DEBUG,
    Level.INFO: logging.INFO,
    Level.WARNING: logging.WARNING,
    Level.ERROR: logging.ERROR,
}
ABSL_LEVELS: Final[dict[Level, int]] = {
    Level.DEBUG: absl_logging.DEBUG,
    Level.INFO: absl_logging.INFO,
    Level.WARNING: absl_logging.WARNING,
    Level.ERROR: absl_logging.ERROR,
}
MAX_FIELD_CHARACTERS: Final = 2_000


class EventFormatter(logging.Formatter):
    """Format one log record as a line of text.

    Values are written as JSON: a line break in a value that came from outside would
    otherwise forge a log line.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self.host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without a line break."""
        row = self.members(record)
        head = [row.pop("time"), row.pop("level").upper(), row.pop("host")]
        if "number" in row:
            head += [str(row.pop("number")), row.pop("name")]
        fields = row.pop("fields", {})
        rest = [f"{name}={_as_json(value)}" for name, value in fields.items()]
        rest += [f"{name}={_as_json(value)}" for name, value in row.items()]
        return " ".join([*head, *rest])

    def members(self, record: logging.LogRecord) -> dict[str, Any]:
        """Return the members of a line, for an event or for another message."""
        level = logging.getLevelName(record.levelno).lower()
        row: dict[str, Any] = {
            "time": _as_time(record.created),
            "level": level,
            "host": self.host,
        }
        occurrence: Occurrence | None = getattr(record, "occurrence", None)
        if occurrence is None:
            row["message"] = record.getMessage()
        else:
            row["number"] = int(occurrence.event)
            row["name"] = occurrence.event.name.lower()
            row["clock"] = list(occurrence.clock)
            row["fields"] = occurrence.fields
        if record.exc_info:
            row["exception"] = "".join(traceback.format_exception(*record.exc_info))
        return row


class JsonFormatter(EventFormatter):
    """Format one log record as a line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without a line break."""
        return _as_json(self.members(record))


def configure_logs(
    host: str, *, level: str, log_format: str, stream: TextIO = sys.stderr
) -> None:
    """Send all logs of the process to a stream."""
    # Flags are read by typer; absl would warn before each start that it saw none.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(ABSL_LEVELS[Level(level)])
    handler = absl_logging.get_absl_handler()
    handler.python_handler.stream = stream
    formatter = JsonFormatter if log_format == "json" else EventFormatter
    handler.setFormatter(formatter(host))


def log_event(occurrence: Occurrence) -> None:
    """Log one event at its level in the catalogue."""
    level = CATALOGUE[occurrence.event].level
    logger = absl_logging.get_absl_logger()
    number = LEVELS[level]
    if logger.isEnabledFor(number):
        extra = {"occurrence": occurrence}
        logger.log(number, occurrence.event.name, extra=extra)


def _as_time(seconds: float) -> str:
    """Return a time as RFC 3339 in UTC with milliseconds."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _as_json(value: Any) -> str:
    """Return a value as JSON in one line; cut texts that are too long."""
    return json.dumps(_cut(value), default=str, separators=(",", ":"))


def _cut(value: Any) -> Any:
    """Shorten texts, also nested ones."""
    if isinstance(value, str):
        return str(value)[:MAX_FIELD_CHARACTERS]
    if isinstance(value, dict):
        return {str(name): _cut(item) for name, item in value.items()}
    if isinstance(value, list | tuple):
        return [_cut(item) for item in value]
    return value
