"""`roadpass trace`: what did all nodes decide about one request, and on what did it rest?"""

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

MS_PER_S = 1000  # milliseconds
MAX_AT_S = 1e12  # seconds; a time beyond is none, and breaks arithmetic
HEADS = ("ms", "node", "part", "what", "with", "rested on")
BELIEF_SUFFIX = "_age_s"
BELIEF_NAME = "revision"
PREFIX_ENDS = " \t|:"  # what collectors put between a node's name and its line
HIDDEN = frozenset({"at", "mono", "level", "part", "what", "text", "request", "vm"})


@dataclass(frozen=True)
class LogLine:
    """One line of a node's log."""

    node: str
    fields: dict[str, Any]

    @property
    def at_s(self) -> float:
        """When it was written, by the node's clock."""
        return float(self.fields["at"])

    @property
    def request(self) -> str:
        """Id of its request; empty without one."""
        return _id(self.fields.get("request"))

    @property
    def attempt(self) -> str:
        """Id of its attempt; empty without one."""
        return _id(self.fields.get("attempt"))

    @property
    def what(self) -> str:
        """The decision or the sentence."""
        return str(self.fields.get("what", self.fields.get("text", "")))

    def pairs(self, *, beliefs: bool) -> str:
        """Return its own fields as `key=value`: either the beliefs or the others."""
        own = ((key, value) for key, value in self.fields.items() if key not in HIDDEN)
        return " ".join(pair(key, value) for key, value in own if _is_belief(key) == beliefs)


class TraceCommand(BaseCommand):
    """Shows the decisions about one request, from the logs of many nodes."""

    name = "trace"
    description = "What all nodes decided about one request, from their JSON logs."
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Logs with JSON lines, of one or many nodes each.", multiple=True)
    ]
    options: ClassVar[list[Option]] = [
        JSON_OPTION,
        option("request", None, "Id of the request.", flag=False),
    ]
    help = (
        "Lines are ordered by the clocks of the nodes, which may differ.\n"
        "Exit codes: 0 fine, 1 no line found or a file cannot be read, 2 no request given."
    )

    def run_command(self) -> int:
        """Read, choose and show."""
        request = self.option("request")
        if not request:
            raise ValueError("Name the request with --request ID.")
        try:
            lines, skipped = read_lines(self.argument("files"))
        except OSError as error:
            self._say_error(f"Cannot read {error.filename}: {error.strerror}.")
            return EXIT_FINDING
        chosen = of_request(lines, request)
        self._show(chosen, skipped)
        if not chosen:
            self._say_error(f"No line tells of request {request}.")
        return EXIT_OK if chosen else EXIT_FINDING

    def _show(self, lines: list[LogLine], skipped: int) -> None:
        if self.wants_json:
            shown = [{"node": line.node, **line.fields} for line in lines]
            self._say(as_json({"lines": shown, "skipped": skipped}))
            return
        for text in table(HEADS, rows(lines)) if lines else []:
            self._say(text)
        if skipped:
            self._say(f"skipped {skipped} lines that are no JSON log lines")

    def _say(self, text: str) -> None:
        # Raw, since logged text may look like cleo's markup.
        self.io.write_line(text, type=Type.RAW)

    def _say_error(self, text: str) -> None:
        self.io.write_error_line(text, type=Type.RAW)


def read_lines(files: Iterable[str]) -> tuple[list[LogLine], int]:
    """Read the lines of logs that name a request or an attempt.

    Args:
        files: Paths of logs.

    Returns:
        The lines, and how many others are no JSON log lines.

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
    """Return a line of a log.

    Args:
        text: A JSON object, after any prefix without an opening brace.
        name: The node's name if neither the object nor a prefix has one.

    Returns:
        The line; None if it is no JSON object with a time.
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
    """Return the lines of a request and of its attempts, ordered by time."""
    kept = list(lines)
    attempts = {line.attempt for line in kept if line.request == request} - {""}
    chosen = [line for line in kept if line.request == request or line.attempt in attempts]
    return sorted(chosen, key=lambda line: line.at_s)


def rows(lines: list[LogLine]) -> list[list[str]]:
    """Return the rows of the table, with times since the first line."""
    return [
        [
            f"{(line.at_s - lines[0].at_s) * MS_PER_S:.0f}",
            *map(_on_one_line, (line.node, str(line.fields.get("part", "")), line.what)),
            line.pairs(beliefs=False),
            line.pairs(beliefs=True),
        ]
        for line in lines
    ]


def _id(value: object) -> str:
    is_id = isinstance(value, str | int) and not isinstance(value, bool)
    return str(value) if is_id else ""


def _is_time(value: object) -> bool:
    is_number = isinstance(value, float | int) and not isinstance(value, bool)
    return is_number and -MAX_AT_S < value < MAX_AT_S  # type: ignore[operator]


def _is_belief(key: str) -> bool:
    return key.endswith(BELIEF_SUFFIX) or key == BELIEF_NAME


def _on_one_line(text: str) -> str:
    return text if text.isprintable() else json.dumps(text)
