"""Collects decision lines while a load is simulated."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple


class Decision(NamedTuple):
    """A decision line: its part, what was decided, and its inputs."""

    part: str
    what: str
    inputs: dict[str, Any]


class _Collector(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.lines: list[Decision] = []

    def emit(self, record: logging.LogRecord) -> None:
        inputs = getattr(record, "decision", None)
        if inputs is not None:
            part = record.name.removeprefix("roadpass.")
            self.lines.append(Decision(part, record.getMessage(), inputs))


@contextmanager
def collected() -> Iterator[list[Decision]]:
    """Collect all decision lines of the code that runs inside."""
    logger = logging.getLogger("roadpass")
    level, collector = logger.level, _Collector()
    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    try:
        yield collector.lines
    finally:
        logger.removeHandler(collector)
        logger.setLevel(level)


def first_attempts(lines: list[Decision]) -> dict[str, dict[str, Any]]:
    """Return the inputs of the first attempt of each request, by its id."""
    found: dict[str, dict[str, Any]] = {}
    for line in lines:
        if (line.part, line.what) == ("dispatch", "attempt"):
            found.setdefault(line.inputs["request"], line.inputs)
    return found
