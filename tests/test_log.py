"""Logging: callers never wait for the reader of the log, and decisions keep their fields."""

import json
import logging
import os
import threading
import time
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import pytest

from roadpass import clock, log
from roadpass.decision import decided

CALLS = 50_000
FAST_S = 20.0  # generous for slow machines; a blocked call would never return
LIMIT_S = 30.0


class Pipe:
    """A pipe of which the test controls the reading end."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()

    def fill(self) -> int:
        """Fill the pipe, and return the number of bytes written."""
        os.set_blocking(self.writer, False)
        filled = 0
        for size in (4096, 1):
            try:
                while True:
                    filled += os.write(self.writer, b"x" * size)
            except BlockingIOError:
                pass
        return filled

    def read(self, end: bytes, skip: int = 0) -> list[str]:
        """Return the lines after `skip` bytes, up to the one that contains `end`."""
        data = b""
        while end not in data[skip:] or not data.endswith(b"\n"):
            data += os.read(self.reader, 1 << 20)
        return data[skip:].decode().splitlines()

    def close(self) -> None:
        """Close the ends that are still open."""
        for descriptor in (self.reader, self.writer):
            if descriptor >= 0:
                os.close(descriptor)


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    """A pipe; afterwards the logging setup is restored and the writer thread has ended."""
    root, own = logging.getLogger(), logging.getLogger("roadpass")
    before = root.handlers, root.level, own.level
    made = Pipe()
    yield made
    handlers = [handler for handler in root.handlers if isinstance(handler, log.LineHandler)]
    root.handlers = before[0]
    root.setLevel(before[1])
    own.setLevel(before[2])
    if made.reader >= 0:
        os.close(made.reader)  # unblocks a writer thread that waits in a write
        made.reader = -1
    for handler in handlers:
        handler.close()
    for thread in _writers():
        thread.join(LIMIT_S)
    assert not _writers()
    made.close()


def _writers() -> list[threading.Thread]:
    return [thread for thread in threading.enumerate() if thread.name == "log-writer"]


@pytest.mark.parametrize("blocking", [True, False])
def test_stalled_reader_blocks_no_caller(pipe: Pipe, blocking: bool) -> None:
    """50,000 calls return although nobody reads; the number of dropped lines is exact."""
    filled = pipe.fill()
    os.set_blocking(pipe.writer, blocking)
    log.set_up("info", "json", pipe.writer)
    logger = logging.getLogger("roadpass.test")
    start = clock.now()
    for number in range(CALLS):
        logger.info("%d", number)
    assert clock.now() - start < FAST_S
    assert not log.flush(0.01)
    values = [json.loads(line) for line in pipe.read(b"dropped", filled)]
    assert [value["text"] for value in values[:-1]] == [str(n) for n in range(log.MAX_LINES)]
    assert values[-1]["text"].startswith(f"dropped {CALLS - log.MAX_LINES} lines")
    assert (values[-1]["level"], values[-1]["part"]) == ("warning", "log")
    logger.info("after")
    assert len(pipe.read(b"after")) == 1
    assert log.flush(LIMIT_S)


def test_closed_reader_raises_no_error(pipe: Pipe) -> None:
    """Lines are lost without an error."""
    os.close(pipe.reader)
    pipe.reader = -1
    log.set_up("info", "text", pipe.writer)
    for _ in range(3):
        logging.getLogger("roadpass.test").info("lost")
        assert log.flush(LIMIT_S)


def test_lost_lines_are_reported(pipe: Pipe) -> None:
    """Once a write succeeds again, the count includes lines of drop notices that were lost."""
    spare = os.dup(pipe.reader)  # no descriptor to write to, until it is replaced
    writer = log.LineWriter(spare, lambda count: f"dropped {count}")
    for _ in range(3):
        writer.put("lost")
        assert writer.flush(LIMIT_S)
    os.dup2(pipe.writer, spare)
    writer.put("kept")
    assert pipe.read(b"dropped") == ["kept", "dropped 3"]
    writer.close()
    for thread in _writers():
        thread.join(LIMIT_S)
    os.close(spare)


def test_idle_writer_thread_sleeps(pipe: Pipe) -> None:
    """The thread is not scheduled at all."""
    log.set_up("info", "text", pipe.writer)
    logging.getLogger("roadpass.test").info("one")
    assert log.flush(LIMIT_S)
    (thread,) = _writers()
    status = Path(f"/proc/self/task/{thread.native_id}/status")
    time.sleep(0.2)
    before = _switches(status)
    time.sleep(0.5)
    assert _switches(status) == before


def _switches(status: Path) -> list[str]:
    return [line for line in status.read_text().splitlines() if "ctxt_switches" in line]


def test_queued_lines_go_out_in_one_write(pipe: Pipe, monkeypatch: pytest.MonkeyPatch) -> None:
    """Lines queued during a write go out together in the next one."""
    entered, leave, sizes = threading.Event(), threading.Event(), []

    real_write = os.write

    def write(descriptor: int, data: bytes) -> int:
        if descriptor != pipe.writer:
            return real_write(descriptor, data)
        sizes.append(len(data))
        entered.set()
        leave.wait(LIMIT_S)
        return len(data)

    monkeypatch.setattr(os, "write", write)
    writer = log.LineWriter(pipe.writer, str)
    writer.put("a")
    assert entered.wait(LIMIT_S)
    for _ in range(10):
        writer.put("b")
    leave.set()
    assert writer.flush(LIMIT_S)
    writer.close()
    assert sizes == [2, 20]


def test_long_lines_are_truncated(pipe: Pipe) -> None:
    """The limit is in bytes, characters stay whole, and JSON lines stay valid JSON."""
    log.set_up("info", "text", pipe.writer)
    logging.getLogger("roadpass.test").info("é" * 3000)
    logging.getLogger("roadpass.test").info("end")
    long, _ = pipe.read(b"end")
    assert log.MAX_LINE_BYTES - 1 <= len(long.encode()) <= log.MAX_LINE_BYTES
    assert long.endswith("é" + log.CUT)
    log.set_up("info", "json", pipe.writer)
    decided("test", "x", request="r", long='é"' * 3000, other="kept")
    decided("test", "end")
    line, _ = pipe.read(b'"end"')
    assert len(line) <= log.MAX_LINE_BYTES
    value = json.loads(line)
    assert value["other"] == "kept"
    assert value["long"].startswith('é"é"')
    assert value["long"].endswith(log.CUT)
    assert len(line) > log.MAX_LINE_BYTES - 10


def test_long_error_keeps_its_end(pipe: Pipe) -> None:
    """A traceback is truncated at its beginning, as the error itself is at its end."""
    log.set_up("info", "json", pipe.writer)
    try:
        raise ValueError("x" * 5000 + " the end")
    except ValueError:
        logging.getLogger("roadpass.test").exception("failed")
    (line,) = pipe.read(b"the end")
    error = json.loads(line)["error"]
    assert error.startswith(log.CUT)
    assert error.endswith("x the end")


def test_long_json_without_long_text_is_truncated(pipe: Pipe) -> None:
    """If truncating the longest text does not suffice, the line is cut like any other."""
    log.set_up("info", "json", pipe.writer)
    decided("test", "x", many=list(range(2000)))
    decided("test", "end")
    line, _ = pipe.read(b'"end"')
    assert len(line) == log.MAX_LINE_BYTES
    assert line.endswith(log.CUT)


class Color(Enum):
    """A type that JSON does not have."""

    RED = 1


def _line(pipe: Pipe, form: str) -> str:
    log.set_up("info", form, pipe.writer)
    inputs: dict[str, Any] = {"at": 5, "level": "no", "mono": "no"}
    decided(
        "eject",
        "keep target",
        request="r-1",
        share=0.123456,
        none=None,
        color=Color.RED,
        many=(1, 0.55555),
        infinite=float("inf"),
        says="two words",
        good=True,
        **inputs,
    )
    (line,) = pipe.read(b"keep")
    return line


def test_decision_as_json(pipe: Pipe) -> None:
    """Fields are flat and rounded; the standard keys of a line take precedence."""
    before, mono = time.time(), clock.now()
    value = json.loads(_line(pipe, "json"))
    assert before - 0.001 <= value.pop("at") <= time.time() + 0.001
    assert mono - 0.001 <= value.pop("mono") <= clock.now() + 0.001
    assert value == {
        "level": "info",
        "part": "eject",
        "what": "keep target",
        "request": "r-1",
        "share": 0.123,
        "color": "Color.RED",
        "many": [1, 0.556],
        "infinite": "inf",
        "says": "two words",
        "good": True,
    }


def test_decision_as_text(pipe: Pipe) -> None:
    """The same as `key=value`."""
    _, _, rest = _line(pipe, "text").partition(" ")
    assert rest == (
        "info eject: keep target request=r-1 share=0.123 color=Color.RED many=[1, 0.556]"
        ' infinite=inf says="two words" good=true'
    )


def test_plain_records_as_json(pipe: Pipe) -> None:
    """Their text is under `text`, without the keys of a decision."""
    log.set_up("info", "json", pipe.writer)
    logging.getLogger("roadpass.test").warning("a %s", "sentence")
    value = json.loads(pipe.read(b"sentence")[0])
    assert set(value) == {"at", "mono", "level", "part", "text"}
    assert value["text"] == "a sentence"


def test_disabled_level_formats_nothing(pipe: Pipe) -> None:
    """Inputs are not formatted if the level is disabled."""

    class Costly:
        def __str__(self) -> str:
            raise AssertionError("the input was formatted")

    log.set_up("warning", "json", pipe.writer)
    decided("test", "nothing", value=Costly())
    logging.getLogger("roadpass.test").warning("end")
    assert len(pipe.read(b"end")) == 1
