"""The `roadpass` tool on documents; `test_path` tests it against running nodes."""

import json
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from roadpass.cli.application import application

EXAMPLES = Path(__file__).parent.parent / "examples"
GRANTHSETU = str(EXAMPLES / "granthsetu")


def run(command: str, arguments: str) -> tuple[int, str]:
    """Return the exit code of a command, and its output and error output together."""
    tester = CommandTester(application().find(command))
    code = tester.execute(arguments)
    return code, tester.io.fetch_output() + tester.io.fetch_error()


def test_check() -> None:
    """Both sample fleets and the sample settings are valid."""
    for arguments in (GRANTHSETU, str(EXAMPLES / "lisbon"), str(EXAMPLES / "settings.jsonc")):
        assert run("check", arguments) == (0, "valid\n")


def test_check_lists_every_error(tmp_path: Path) -> None:
    """Errors are listed with their JSON paths, and as JSON."""
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
    """The spare target is a fallback during office hours and an equal choice at night."""
    code, text = run("explain", f"POST /circulation/issue {GRANTHSETU} --at {at} --json")
    assert code == 0
    rows = {row["target"]: row for row in json.loads(text)["targets"]}
    assert rows["circulation-3"]["use"] == use


def test_explain_without_route_or_documents(tmp_path: Path) -> None:
    """Exit code 1 without a route, 2 without documents."""
    assert run("explain", f"GET /nothing {GRANTHSETU}")[0] == 1
    assert run("explain", f"GET /opac {tmp_path}")[0] == 2


def test_plan(tmp_path: Path) -> None:
    """A changed label shows in the target and in the targets of routes."""
    for path in (EXAMPLES / "granthsetu").glob("*.jsonc"):
        text = path.read_text()
        (tmp_path / path.name).write_text(text.replace('"tier": "spare"', '"tier": "main"'))
    assert run("plan", f"{GRANTHSETU} {GRANTHSETU}") == (0, "nothing changes\n")
    code, text = run("plan", f"{GRANTHSETU} {tmp_path} --at 2026-12-02T12:00:00+05:30")
    assert code == 0
    assert "circulation-3.labels" in text
    assert "route gets" in text


def test_unreachable_node_is_an_error() -> None:
    """Exit code 2 and a message that names the node."""
    code, text = run("status", "127.0.0.1:1")
    assert code == 2
    assert "No answer from 127.0.0.1:1" in text


SECRET = "a828m82thhkmgjqnirth"


def with_customers(folder: Path, *names: str, key: str = SECRET) -> str:
    """Write a small fleet with customers, the first of which owns the key; return its path."""
    folder.mkdir(exist_ok=True)
    (folder / "key").write_text(f"{key}\n")
    salt = "00" * 16
    code, text = run("digest-key", f"{folder / 'key'} --salt {salt} --json")
    assert code == 0
    assert key not in text
    digests: dict[str, list[str]] = {name: [] for name in names}
    digests[names[0]] = [json.loads(text)["key_digest"]]
    document = {
        "services": {"s": {"floor_slots": 1}},
        "targets": {"t": {"service": "s", "vm": "v", "address": "10.0.0.1:80", "slots": 1}},
        "routes": {
            "r": {"path": "/r", "service": "s"},
            "free": {"path": "/free", "service": "s", "public": True},
        },
        "customer_salt": salt,
        "customers": {
            name: {"key_digests": digest, "rate_per_s": 5} for name, digest in digests.items()
        },
    }
    file = folder / "fleet.jsonc"
    file.write_text(json.dumps(document))
    return str(file)


def test_explain_names_the_customer_of_a_key(tmp_path: Path) -> None:
    """It also reports a missing key; the key is read from a file and never printed."""
    fleet = with_customers(tmp_path, "library")
    code, text = run("explain", f"GET /r {fleet} --key-file {tmp_path / 'key'}")
    assert (code, "customer library" in text, SECRET in text) == (0, True, False)
    assert run("explain", f"GET /r {fleet}")[0] == 1
    assert run("explain", f"GET /free {fleet}")[0] == 0
    (tmp_path / "odd").write_text("two words")
    code, text = run("explain", f"GET /r {fleet} --key-file {tmp_path / 'odd'}")
    assert (code, "two words" in text) == (2, False)


def test_plan_counts_changed_keys(tmp_path: Path) -> None:
    """The customer and the number of keys are shown, but no key or digest."""
    old = with_customers(tmp_path / "old", "library", "school")
    new = with_customers(tmp_path / "new", "library", "museum", key="another")
    code, text = run("plan", f"{old} {new} --json")
    assert code == 0
    found = {(row["what"], row["name"]): row["after"] for row in json.loads(text)}
    assert found["customers", "school"] == "-"
    assert found["customers", "museum"] == "there"
    assert found["keys of", "library"] == "1: 1 new, 1 withdrawn"
    assert SECRET not in text


def test_check_of_customers(tmp_path: Path) -> None:
    """Errors: a key shared by two, digests without salt, different salts, negative rates."""
    file = Path(with_customers(tmp_path, "library", "school"))
    good = json.loads(file.read_text())
    assert run("check", str(file)) == (0, "valid\n")
    customers = good["customers"]
    digests = customers["library"]["key_digests"]
    shared = {**good, "customers": {**customers, "school": {"key_digests": digests}}}
    saltless = {name: value for name, value in good.items() if name != "customer_salt"}
    below = {**good, "customers": {"library": {"rate_per_s": -1}}}
    for value, words in ((shared, "share a key"), (saltless, "customer_salt"), (below, "rate")):
        file.write_text(json.dumps(value))
        code, text = run("check", str(file))
        assert code == 1
        assert words in text
    file.write_text(json.dumps(good))
    other = tmp_path / "other.jsonc"
    other.write_text(json.dumps({"customer_salt": "11" * 16}))
    assert "$.customer_salt" in run("check", f"{file} {other}")[1]
