"""Runs every scenario in tests/scenarios with real processes."""

from pathlib import Path

import pytest

from tests.scenario import Run, Scenario

FOLDER = Path(__file__).parent / "scenarios"


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.scenario")), ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    """All checks of one scenario hold."""
    Run(Scenario.from_file(path)).run()
