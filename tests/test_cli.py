"""The `roadpass` tool on documents; against running nodes it is tested in `test_path`."""

import json
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from roadpass.cli.application import application

EXAMPLES = Path(__file__).parent.parent / "examples"
GRANTHSETU = str(EXAMPLES / "granthsetu")


def run(command: str, arguments: str) -> tuple[int, str]:
    """Return the exit code and all output of a command."""
    tester = CommandTester(application().find(command))
    code = tester.execute(arguments)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


def test_check() -> None:
    """Both sample fleets and the sample settings are valid."""
    for arguments in (GRANTHSETU, str(EXAMPLES / "lisbon"), str(EXAMPLES / "settings.jsonc")):
        assert run("check", arguments) == (0, "valid\n")


def test_check_lists_every_error(tmp_path: Path) -> None:
    """With paths, and as JSON."""
    file = tmp_path / "bad.jsonc"
    file.write_text('{"services": {"s": {}}, "routs": {}}')
    code, text = run("check", str(file))
    assert code == 1
    assert "did you mean 'routes'" in text
    assert "$.services.s: 'floor_slots' is a required property" in text
    code, text = run("check", f"{file} --json")
    assert (code, len(json.loads(text)["problems"])) == (1, 2)


@pytest.mark.parametrize(
    ("at", "use"),
    [("2026-12-02T12:00:00+05:30", "spill 1"), ("2026-12-02T22:00:00+05:30", "first")],
)
def test_explain_follows_the_clock(at: str, use: str) -> None:
    """The spare target is a fallback in desk hours and equal at night."""
    code, text = run("explain", f"POST /circulation/issue {GRANTHSETU} --at {at} --json")
    assert code == 0
    rows = {row["target"]: row for row in json.loads(text)["targets"]}
    assert rows["circulation-3"]["use"] == use


def test_explain_without_route_or_documents(tmp_path: Path) -> None:
    """The answer is no, or the input is bad."""
    assert run("explain", f"GET /nothing {GRANTHSETU}")[0] == 1
    assert run("explain", f"GET /opac {tmp_path}")[0] == 2


def test_plan(tmp_path: Path) -> None:
    """A moved label shows in the target and in what routes get."""
    for path in (EXAMPLES / "granthsetu").glob("*.jsonc"):
        text = path.read_text()
        (tmp_path / path.name).write_text(text.replace('"tier": "spare"', '"tier": "main"'))
    assert run("plan", f"{GRANTHSETU} {GRANTHSETU}") == (0, "nothing changes\n")
    code, text = run("plan", f"{GRANTHSETU} {tmp_path} --at 2026-12-02T12:00:00+05:30")
    assert code == 0
    assert "circulation-3.labels" in text
    assert "route gets" in text


def test_node_that_does_not_answer_is_an_error() -> None:
    """Exit code 2 and a sentence."""
    code, text = run("status", "127.0.0.1:1")
    assert code == 2
    assert "No answer from 127.0.0.1:1" in text
