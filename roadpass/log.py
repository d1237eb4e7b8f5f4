"""Logs: short sentences with a prefix for each part, as text or as JSON lines."""

import json
import logging
import sys

PREFIX = "roadpass."


class TextFormatter(logging.Formatter):
    """`time level part: sentence`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        at = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        line = f"{at}.{int(record.msecs):03d} {record.levelname.lower()} {_part(record)}: "
        line += record.getMessage()
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class JsonFormatter(logging.Formatter):
    """One JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        value = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": _part(record),
            "text": record.getMessage(),
        }
        if record.exc_info:
            value["error"] = self.formatException(record.exc_info)
        return json.dumps(value)


def set_up(level: str, form: str) -> None:
    """Send all logs to standard error.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        form: `text` or `json`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter() if form == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger("roadpass").setLevel(level.upper())


def _part(record: logging.LogRecord) -> str:
    return record.name.removeprefix(PREFIX)
