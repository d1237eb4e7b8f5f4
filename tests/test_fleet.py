"""Fleet documents and settings: valid ones are accepted, others give clear errors."""

import contextlib
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from roadpass.errors import DocumentError, SettingsError
from roadpass.fleet import Fleet
from roadpass.settings import Settings

EXAMPLES = Path(__file__).parent.parent / "examples"


def problems(value: Any) -> str:
    """Return the problems of a document as one text."""
    text = value if isinstance(value, str) else json.dumps(value)
    with pytest.raises(DocumentError) as caught:
        Fleet.from_documents([("doc", text)])
    return "\n".join(caught.value.problems)


@pytest.mark.parametrize("name", ["granthsetu", "lisbon"])
def test_examples_are_valid(name: str) -> None:
    """In both sample fleets every route has targets at any hour of the week."""
    files = sorted((EXAMPLES / name).glob("*.jsonc"))
    fleet = Fleet.from_documents([(path.stem, path.read_text()) for path in files])
    for hour in range(0, 24 * 7, 5):
        for route in fleet.routes.values():
            assert fleet.groups(route, 1_796_000_000.0 + hour * 3600.0)


def test_errors_name_line_path_and_hint() -> None:
    """Syntax errors have a line, schema errors a hint, and all broken references are reported."""
    assert "line 2" in problems('{\n  "services": }')
    assert "did you mean 'floor_slots' for 'floor_slot'" in problems(
        {"services": {"s": {"floor_slot": 1}}}
    )
    value = {
        "services": {"s": {"floor_slots": 3}},
        "targets": {"t": {"service": "x", "vm": "v", "address": "127.0.0.1:1", "slots": 1}},
        "routes": {"r": {"path": "/", "service": "s", "class": "gold"}},
        "selectors": [
            {
                "name": "n",
                "targets": {},
                "when": [{"from": "08:00", "to": "09:00", "zone": "Asia/Kolkatta"}],
            }
        ],
    }
    text = problems(value)
    for part in (
        "$.targets.t.service",
        "no class 'gold'",
        "more than the 0 slots",
        "no time zone 'Asia/Kolkatta'",
    ):
        assert part in text


def test_duplicate_keys_and_names_are_errors() -> None:
    """Duplicates are rejected within one document and across documents."""
    assert "line 1" in problems('{"services": {}, "services": {}}')
    one = ("one", '{"services": {"s": {"floor_slots": 0}}}')
    with pytest.raises(DocumentError, match="another document"):
        Fleet.from_documents([one, ("two", one[1])])


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["services", "targets", "routes", "selectors", "s", "service", "path"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@given(JSON)
def test_any_json_is_valid_or_a_document_error(value: Any) -> None:
    """No JSON raises any other error."""
    with contextlib.suppress(DocumentError):
        Fleet.from_documents([("doc", json.dumps(value))])


@given(st.text(max_size=60))
def test_any_text_is_valid_or_a_document_error(text: str) -> None:
    """Text that is not JSON raises no other error either."""
    with contextlib.suppress(DocumentError):
        Fleet.from_documents([("doc", text)])


def test_settings(tmp_path: Path) -> None:
    """The sample is valid; an unknown key and a missing file are errors."""
    settings = Settings.from_config(EXAMPLES / "settings.jsonc")
    assert (settings.vm, settings.ports.stream) == ("vm-1", 8081)
    bad = tmp_path / "bad.jsonc"
    bad.write_text((EXAMPLES / "settings.jsonc").read_text().replace('"threads"', '"thread"'))
    with pytest.raises(SettingsError, match="did you mean 'threads'"):
        Settings.from_config(bad)
    with pytest.raises(SettingsError, match="cannot be read"):
        Settings.from_config(tmp_path / "none.jsonc")
