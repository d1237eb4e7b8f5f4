"""Logging of sentences and decisions, as text or JSON lines, that never blocks the caller.

The logging thread only formats a line and puts it into a bounded queue. A separate thread writes
the queue to standard output; if the reader stalls, lines are dropped and counted.
"""

import atexit
import bisect
import json
import logging
import math
import os
import select
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

from roadpass import clock

PREFIX = "roadpass."
STDOUT = 1  # file descriptor
MAX_LINES = 20_000  # lines; with MAX_LINE_BYTES at most 40 MB are queued for a stalled reader
MAX_LINE_BYTES = 2_000  # bytes without the line break; a decision needs a few hundred
EXIT_LIMIT_S = 0.2  # seconds; an active reader takes milliseconds for the remaining lines
ROUNDED = 3  # decimals; clocks of several nodes do not agree beyond milliseconds
CUT = "..."  # marks truncated text
RESERVED = frozenset({"at", "mono", "level", "part", "what", "request"})


class TextFormatter(logging.Formatter):
    """`time level part: sentence`, or `time level part: what request=... key=value`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line, followed by the traceback of an exception if there is one."""
        at = self.formatTime(record, "%Y-%m-%dT%H:%M:%S")
        line = f"{at}.{int(record.msecs):03d} {record.levelname.lower()} {_part(record)}: "
        line += record.getMessage()
        for key, value in _fields(record).items():
            line += " " + pair(key, value)
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


class JsonFormatter(logging.Formatter):
    """One JSON object a line, shortened before encoding so that a cut does not make it invalid."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line with the keys `at`, `mono`, `level`, `part`, and `what` or `text`."""
        value: dict[str, Any] = {
            "at": round(record.created, ROUNDED),
            "mono": round(clock.now(), ROUNDED),
            "level": record.levelname.lower(),
            "part": _part(record),
            "what" if hasattr(record, "decision") else "text": record.getMessage(),
            **_fields(record),
        }
        if record.exc_info:
            value["error"] = self.formatException(record.exc_info)
        return _short_json(value)


class LineWriter:
    """A bounded queue of lines and the thread that writes them to a file descriptor."""

    def __init__(self, descriptor: int, drop_notice: Callable[[int], str]) -> None:
        """Start the thread.

        Args:
            descriptor: File descriptor to write to.
            drop_notice: Returns a line reporting the given number of dropped lines.
        """
        self._descriptor = descriptor
        self._drop_notice = drop_notice
        lock = threading.RLock()  # a finalizer may log while its own thread holds it
        self._filled = threading.Condition(lock)
        self._emptied = threading.Condition(lock)
        # Each line with the number of lines that are lost with it, several for a drop notice.
        self._queue: deque[tuple[bytes, int]] = deque()
        self._unwritten = 0  # lines in the queue and in the batch being written
        self._dropped = 0
        self._closed = False
        threading.Thread(target=self._run, name="log-writer", daemon=True).start()

    def put(self, line: str) -> None:
        """Queue a line, or drop and count it if the queue is full. Never waits for the reader."""
        data = _encoded(line)
        with self._filled:
            if self._closed or self._unwritten >= MAX_LINES:
                self._dropped += 1
            else:
                self._append(data, 1)

    def flush(self, timeout_s: float) -> bool:
        """Wait until all lines are written.

        Args:
            timeout_s: Maximum wait in seconds.

        Returns:
            Whether all lines were written in time.
        """
        with self._emptied:
            return self._emptied.wait_for(lambda: not self._unwritten, timeout_s)

    def close(self) -> None:
        """Drop further lines, and end the thread once it has written the queued ones."""
        with self._filled:
            self._closed = True
            self._filled.notify()

    def _append(self, data: bytes, line_count: int) -> None:
        if not self._queue:
            self._filled.notify()
        self._queue.append((data, line_count))
        self._unwritten += 1

    def _run(self) -> None:
        while batch := self._take():
            self._finish(batch, self._write(b"".join(data for data, _ in batch)))

    def _take(self) -> deque[tuple[bytes, int]]:
        with self._filled:
            self._filled.wait_for(lambda: self._queue or self._closed)
            batch, self._queue = self._queue, deque()
            return batch

    def _write(self, data: bytes) -> int:
        written = 0
        view = memoryview(data)
        while written < len(data):
            try:
                written += os.write(self._descriptor, view[written:])
            except BlockingIOError:
                _wait_writable(self._descriptor)
            except OSError:
                break
        return written

    def _finish(self, batch: deque[tuple[bytes, int]], written: int) -> None:
        lost = _lost(batch, written)
        with self._filled:
            self._unwritten -= len(batch)
            self._dropped += lost
            # After a failed write the notice waits for the next line, as it would fail again now.
            if self._dropped and not lost:
                self._append(_encoded(self._drop_notice(self._dropped)), self._dropped)
                self._dropped = 0
            if not self._unwritten:
                self._emptied.notify_all()


class LineHandler(logging.Handler):
    """Formats records and passes the lines to a `LineWriter`."""

    def __init__(self, formatter: logging.Formatter, descriptor: int) -> None:
        """Start a writer for the descriptor."""
        super().__init__()
        self.setFormatter(formatter)
        self._writer = LineWriter(descriptor, self._drop_notice)

    def emit(self, record: logging.LogRecord) -> None:
        """Format a record and queue its line."""
        try:
            self._writer.put(self.format(record))
        except Exception:
            self.handleError(record)

    def wait_flushed(self, timeout_s: float) -> bool:
        """Wait until all lines are written; return whether they were in time."""
        return self._writer.flush(timeout_s)

    def close(self) -> None:
        """Close the writer after it has written the queued lines."""
        self._writer.close()
        super().close()

    def _drop_notice(self, dropped: int) -> str:
        text = f"dropped {dropped} lines because the log reader is too slow or gone"
        fields = {"name": PREFIX + "log", "levelno": logging.WARNING, "levelname": "WARNING"}
        return self.format(logging.makeLogRecord({**fields, "msg": text}))


def set_up(level: str, form: str, descriptor: int = STDOUT) -> None:
    """Send all logs to standard output without blocking on its reader.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        form: `text` or `json`.
        descriptor: File descriptor to write to instead.
    """
    root = logging.getLogger()
    for old in _handlers():
        old.close()
    formatter = JsonFormatter() if form == "json" else TextFormatter()
    root.handlers = [LineHandler(formatter, descriptor)]
    root.setLevel(logging.WARNING)
    logging.getLogger("roadpass").setLevel(level.upper())


def flush(timeout_s: float) -> bool:
    """Wait until all lines are written; called before the process exits.

    Args:
        timeout_s: Maximum wait in seconds, over all handlers.

    Returns:
        Whether all lines were written in time.
    """
    end = clock.now() + timeout_s
    return all(h.wait_flushed(max(0.0, end - clock.now())) for h in _handlers())


def pair(key: str, value: object) -> str:
    """Return `key=value` on one line; a text is quoted unless it is a single printable word."""
    plain = json_value(value)
    is_word = isinstance(plain, str) and plain.isprintable() and not set(plain) & set(' "=')
    return f"{key}={plain if is_word and plain else json.dumps(plain)}"


def json_value(value: object) -> Any:
    """Convert a value to JSON types; floats are rounded, other types become their `str`."""
    if isinstance(value, float):
        return round(value, ROUNDED) if math.isfinite(value) else str(value)
    if value is None or isinstance(value, str | int):
        return value
    if isinstance(value, dict):
        return {str(key): json_value(inner) for key, inner in value.items()}
    if isinstance(value, list | tuple):
        return [json_value(inner) for inner in value]
    return str(value)


def _handlers() -> list[LineHandler]:
    return [h for h in logging.getLogger().handlers if isinstance(h, LineHandler)]


def _part(record: logging.LogRecord) -> str:
    return record.name.removeprefix(PREFIX)


def _fields(record: logging.LogRecord) -> dict[str, Any]:
    """Return the request and inputs of a decision, empty for other records."""
    decision: dict[str, Any] = getattr(record, "decision", {})
    request = decision.get("request")
    fields = {"request": request} if request else {}
    for key, value in decision.items():
        if key not in RESERVED and value is not None:
            fields[key] = json_value(value)
    return fields


def _short_json(value: dict[str, Any]) -> str:
    """Return JSON of at most MAX_LINE_BYTES, if truncating the longest text suffices."""
    line = json.dumps(value)
    excess = len(line) - MAX_LINE_BYTES
    if excess <= 0:
        return line
    key = max(value, key=lambda k: len(value[k]) if isinstance(value[k], str) else 0)
    text = value[key]
    if not isinstance(text, str):
        return line
    room = _json_length(text) - excess - len(CUT)
    if room < _json_length(""):
        return line
    # A traceback ends with the error itself; of other texts the beginning is more useful.
    at_end = key == "error"
    kept = _fitting(text[-room:] if at_end else text[:room], room, at_end)
    value[key] = CUT + kept if at_end else kept + CUT
    return json.dumps(value)


def _fitting(text: str, room: int, at_end: bool) -> str:
    """Return the longest end or beginning of a text whose JSON fits into `room` characters."""
    ends = [len(text) - n if at_end else n for n in range(len(text) + 1)]
    parts = [slice(end, None) if at_end else slice(0, end) for end in ends]
    fits = bisect.bisect_right(parts, room, key=lambda part: _json_length(text[part]))
    return text[parts[fits - 1]]


def _json_length(text: str) -> int:
    return len(json.dumps(text))


def _encoded(line: str) -> bytes:
    data = line.encode("utf-8", "backslashreplace")
    if len(data) > MAX_LINE_BYTES:
        room = MAX_LINE_BYTES - len(CUT)
        data = data[:room].decode("utf-8", "ignore").encode() + CUT.encode()
    return data + b"\n"


def _lost(batch: deque[tuple[bytes, int]], written: int) -> int:
    """Return how many lines of a batch were not written completely."""
    end = lost = 0
    for data, line_count in batch:
        end += len(data)
        lost += line_count if end > written else 0
    return lost


def _wait_writable(descriptor: int) -> None:
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    poll.poll()


atexit.register(flush, EXIT_LIMIT_S)
