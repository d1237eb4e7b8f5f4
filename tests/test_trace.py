"""`roadpass trace` with the logs of several nodes."""

import json
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from roadpass.cli.application import application


def run(*arguments: str) -> tuple[int, str, str]:
    """Return the exit code, the output and the error output of the command."""
    tester = CommandTester(application().find("trace"))
    code = tester.execute(" ".join(arguments))
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def line(at: float, what: str, **fields: object) -> str:
    """Return a log line in the format of a node."""
    head = {"at": at, "mono": at - 90, "level": "info", "part": "dispatch", "what": what}
    return json.dumps({**head, **fields})


@pytest.fixture
def files(tmp_path: Path) -> list[str]:
    """Logs of three nodes, with other requests and lines that are not JSON log lines."""
    logs = {
        "one.log": [
            line(100.010, "send", request="r-1", attempt="a-1", load_age_s=0.25, revision="7.x"),
            line(100.000, "admit", request="r-1", vm="vm-1", slots=3),
            line(100.020, "other", request="r-2", attempt="b-1"),
            "Traceback: no JSON",
            "",
        ],
        "two.log": [
            "node-2  | " + line(100.0123, "serve", attempt="a-1", note="two <info>words</info>"),
            "node-2  | " + line(100.015, "serve", attempt="b-1"),
            "node-2  | {broken",
            "{}",
            '{"at": NaN, "request": "r-1"}',
            '{"at": 1' + "0" * 400 + ', "request": "r-1"}',
            "[1]",
        ],
        "three.log": [line(100.030, "\x1b[2Jdone", request="r-1", attempt=["no", "id"])],
    }
    for name, texts in logs.items():
        (tmp_path / name).write_text("\n".join(texts) + "\n", encoding="utf-8")
    return [str(tmp_path / name) for name in ("two.log", "one.log", "three.log")]


def test_one_request_over_all_nodes(files: list[str]) -> None:
    """Lines of the request and its attempts, sorted by time.

    Ages and revisions are in a column of their own; markup and control characters have no effect.
    """
    code, output, errors = run(*files, "--request r-1")
    assert (code, errors) == (0, "")
    assert output.splitlines() == [
        "ms  node       part      what             with" + " " * 39 + "rested on",
        "0   vm-1       dispatch  admit            slots=3",
        "10  one.log    dispatch  send             attempt=a-1"
        + " " * 32
        + "load_age_s=0.25 revision=7.x",
        '12  node-2     dispatch  serve            attempt=a-1 note="two <info>words</info>"',
        '30  three.log  dispatch  "\\u001b[2Jdone"  attempt=["no", "id"]',
        "skipped 6 lines that are not JSON log lines",
    ]


def test_as_json(files: list[str]) -> None:
    """The JSON output contains the complete lines."""
    code, output, _ = run(*files, "--request r-2 --json")
    value = json.loads(output)
    assert code == 0
    assert [(row["node"], row["what"]) for row in value["lines"]] == [
        ("node-2", "serve"),
        ("one.log", "other"),
    ]
    assert value["skipped"] == 6


def test_no_line_found(files: list[str]) -> None:
    """Exit code 1, an error and the number of skipped lines."""
    assert run(*files, "--request r-3") == (
        1,
        "skipped 6 lines that are not JSON log lines\n",
        "No log line found for request r-3.\n",
    )


def test_unreadable_file(files: list[str], tmp_path: Path) -> None:
    """The error names the file, and no lines are shown."""
    missing = tmp_path / "missing.log"
    code, output, errors = run(*files, str(missing), "--request r-1")
    assert (code, output) == (1, "")
    assert errors == f"Cannot read {missing}: No such file or directory.\n"
    assert run(str(tmp_path), "--request r-1")[0] == 1


def test_no_request_named(files: list[str]) -> None:
    """Exit code 2 and an error that names the option."""
    code, _, errors = run(*files)
    assert code == 2
    assert "--request" in errors
