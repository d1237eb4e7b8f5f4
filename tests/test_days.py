"""The days in deploy/days: each is valid, named as its file, and fits all of the users' sites."""

import re
import tomllib
from pathlib import Path
from typing import Any

import pytest

DAYS = sorted((Path(__file__).parent.parent / "deploy" / "days").glob("*.toml"))
PLACES = ("service", "class", "zone", "to_zone", "region")
LENGTH_S = 30.0
"""Length of traffic of the users' shortest days, in seconds."""


def read(path: Path) -> dict[str, Any]:
    """Return the one day of a file."""
    (day,) = tomllib.loads(path.read_text())["day"]
    assert isinstance(day, dict)
    return day


def test_days_exist() -> None:
    """The folder is the one in which the users' tools look for days."""
    assert len(DAYS) >= 10


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_is_valid_and_names_no_deployment(path: Path) -> None:
    """Every step has a kind and a time, and refers to places only by number."""
    day = read(path)
    assert day["name"] == path.stem
    steps = [*day["plan"], *day["faults"]]
    assert day["faults"]
    assert all(0.0 <= step["at"] < LENGTH_S and step["kind"] for step in steps)
    named = [step[place] for step in steps for place in PLACES if place in step]
    assert all(re.fullmatch(r"@[csz]\d", name) for name in named), named


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_is_documented(path: Path) -> None:
    """The README of the folder lists the day."""
    assert f"| `{path.stem}` |" in (path.parent / "README.md").read_text()
