"""`roadpass trace`: shows what all nodes decided about one request, and on which information."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type

from roadpass.cli._command import EXIT_FINDING, EXIT_OK, JSON_OPTION, BaseCommand
from roadpass.cli._output import as_json, table
from roadpass.log import pair

MS_PER_S = 1000
MAX_AT_S = 1e12  # a larger value is not a time, and overflows in arithmetic
HEADS = ("ms", "node", "part", "what", "with", "rested on")
AGE_SUFFIX = "_age_s"
REVISION_FIELD = "revision"
PREFIX_ENDS = " \t|:"  # separators that log collectors put between a node's name and its line
HIDDEN = frozenset({"at", "mono", "level", "part", "what", "text", "request", "vm"})


@dataclass(frozen=True)
class LogLine:
    """One JSON line of a node's log."""

    node: str
    fields: dict[str, Any]

    @property
    def at_s(self) -> float:
        """Time at which the line was written, in seconds on the node's clock."""
        return float(self.fields["at"])

    @property
    def request(self) -> str:
        """Request id, empty if the line has none."""
        return _id(self.fields.get("request"))

    @property
    def attempt(self) -> str:
        """Attempt id, empty if the line has none."""
        return _id(self.fields.get("attempt"))

    @property
    def what(self) -> str:
        """Name of the decision, or else the log message."""
        return str(self.fields.get("what", self.fields.get("text", "")))

    def pairs(self, *, basis: bool) -> str:
        """Return event-specific fields as `key=value`.

        Args:
            basis: Whether to return the fields with the information that the decision was based on
                (the revision and the ages of data), or the others.
        """
        own = ((key, value) for key, value in self.fields.items() if key not in HIDDEN)
        return " ".join(pair(key, value) for key, value in own if _is_basis(key) == basis)


class TraceCommand(BaseCommand):
    """Shows the decisions about one request, collected from the logs of many nodes."""

    name = "trace"
    description = "What all nodes decided about one request, from their JSON logs."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "JSON log files, each from one or more nodes.", multiple=True)
    ]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("request", None, "Id of the request.", flag=False),
    ]
    help = (
        "Lines are sorted by time; the clocks of the nodes may differ.\n"
        "Exit codes: 0 success, 1 no line found or a file cannot be read, 2 no request given."
    )

    def run_command(self) -> int:
        """Read the logs and print the lines of the request."""
        request = self.option("request")
        if not request:
            raise ValueError("Specify the request with --request ID.")
        try:
            lines, skipped = read_lines(self.argument("files"))
        except OSError as error:
            self._print_error(f"Cannot read {error.filename}: {error.strerror}.")
            return EXIT_FINDING
        chosen = of_request(lines, request)
        self._show(chosen, skipped)
        if not chosen:
            self._print_error(f"No log line found for request {request}.")
        return EXIT_OK if chosen else EXIT_FINDING

    def _show(self, lines: list[LogLine], skipped: int) -> None:
        if self.wants_json:
            shown = [{"node": line.node, **line.fields} for line in lines]
            self._print(as_json({"lines": shown, "skipped": skipped}))
            return
        for text in table(HEADS, rows(lines)) if lines else []:
            self._print(text)
        if skipped:
            self._print(f"skipped {skipped} lines that are not JSON log lines")

    def _print(self, text: str) -> None:
        # Raw output, because logged text may look like cleo markup.
        self.io.write_line(text, type=Type.RAW)

    def _print_error(self, text: str) -> None:
        self.io.write_error_line(text, type=Type.RAW)


def read_lines(files: Iterable[str]) -> tuple[list[LogLine], int]:
    """Read the log lines that contain a request id or an attempt id.

    Args:
        files: Paths of the logs.

    Returns:
        The lines, and the number of lines skipped because they are not JSON log lines.

    Raises:
        OSError: A file cannot be read.
    """
    found: list[LogLine] = []
    skipped = 0
    for file in map(Path, files):
        with file.open(encoding="utf-8", errors="replace") as texts:
            for text in filter(str.strip, texts):
                line = parse_line(text, file.name)
                skipped += line is None
                if line and (line.request or line.attempt):
                    found.append(line)
    return found, skipped


def parse_line(text: str, name: str) -> LogLine | None:
    """Parse one line of a log.

    Args:
        text: A JSON object, optionally after a prefix without an opening brace.
        name: Node name to use if neither the object nor the prefix has one.

    Returns:
        The line, `None` if it is not a JSON object with a time.
    """
    prefix, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict) or not _is_time(fields.get("at")):
        return None
    return LogLine(str(fields.get("vm") or prefix.strip(PREFIX_ENDS) or name), fields)


def of_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request and of its attempts, sorted by time."""
    kept = list(lines)
    attempts = {line.attempt for line in kept if line.request == request} - {""}
    chosen = [line for line in kept if line.request == request or line.attempt in attempts]
    return sorted(chosen, key=lambda line: line.at_s)


def rows(lines: list[LogLine]) -> list[list[str]]:
    """Return the rows of the table, with times in milliseconds since the first line."""
    return [
        [
            f"{(line.at_s - lines[0].at_s) * MS_PER_S:.0f}",
            *map(_on_one_line, (line.node, str(line.fields.get("part", "")), line.what)),
            line.pairs(basis=False),
            line.pairs(basis=True),
        ]
        for line in lines
    ]


def _id(value: object) -> str:
    is_id = isinstance(value, str | int) and not isinstance(value, bool)
    return str(value) if is_id else ""


def _is_time(value: object) -> bool:
    is_number = isinstance(value, float | int) and not isinstance(value, bool)
    return is_number and -MAX_AT_S < value < MAX_AT_S  # type: ignore[operator]


def _is_basis(key: str) -> bool:
    return key.endswith(AGE_SUFFIX) or key == REVISION_FIELD


def _on_one_line(text: str) -> str:
    return text if text.isprintable() else json.dumps(text)
