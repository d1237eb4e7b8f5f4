"""Days of our own: a site's traffic with planned work and faults, as one day that can be read."""

import tomllib
from pathlib import Path

import pytest

from tools.day import compose, main

DAYS = sorted((Path(__file__).parent.parent / "days").glob("*.toml"))
SITE = """
name = "one"
[[day]]
name = "quiet"
traffic = [{ zone = "z", mix = { read = 1.5 }, per_s = 20.0, shape = { kind = "wave" } }]
"""


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_a_day_keeps_its_faults_and_takes_the_traffic(path: Path) -> None:
    """Written and read again it is the same; every fault has a kind and a time."""
    site, part = tomllib.loads(SITE), tomllib.loads(path.read_text())
    (day,) = tomllib.loads(compose(path.stem, 7, site, part))["day"]
    assert (day["name"], day["seed"]) == (path.stem, 7)
    assert day["traffic"] == site["day"][0]["traffic"]
    assert (day["plan"], day["faults"]) == (part["plan"], part["faults"])
    assert all({"kind", "at"} <= set(step) for step in (*day["plan"], *day["faults"]))


@pytest.mark.parametrize("content", ["plan = []", "plan = [", None])
def test_what_makes_no_day_is_said(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], content: str | None
) -> None:
    """A part that is missing, a file that cannot be parsed, and one that is not there."""
    site, day = tmp_path / "site.toml", tmp_path / "day.toml"
    site.write_text(SITE)
    if content is not None:
        day.write_text(content)
    assert main([str(site), str(day)]) == 2
    assert "No day can be made" in capsys.readouterr().err
