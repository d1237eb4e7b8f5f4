"""Mutation check of the tests behind the guarantees: each must fail with its mechanism disabled.

For each mechanism a copy of the tree is changed in one place, and the named test runs there. A test
that still passes does not protect its mechanism; the tool then exits with 1.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from tools.mechanism import Mechanism
from tools.mechanisms import MECHANISMS
from tools.mechanisms_of_service import TARGET_CHOICE

ROOT = Path(__file__).parent.parent
COPIED_PATHS = ("roadpass", "stand_ins", "tests", "examples", "pyproject.toml")
TEST_TIMEOUT_S = 180


def switch_off(mechanism: Mechanism, tree: Path) -> None:
    """Disable a mechanism in a copy of the tree.

    Raises:
        ValueError: The code of the mechanism does not occur exactly once in its file.
    """
    file = tree / mechanism.file
    text = file.read_text()
    if text.count(mechanism.on) != 1:
        raise ValueError(f"{mechanism.name}: its code does not occur exactly once in the file")
    file.write_text(text.replace(mechanism.on, mechanism.off))


def fails_without(mechanism: Mechanism) -> bool:
    """Run the test of a mechanism with it disabled and return whether the test fails."""
    with tempfile.TemporaryDirectory(prefix="mechanism-off-") as folder:
        copy = Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        switch_off(mechanism, copy)
        run = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", mechanism.test],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": str(copy)},
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    return run.returncode == 1


def main() -> int:
    """Disable every selected mechanism in turn and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="only mechanisms whose name contains this text")
    parser.add_argument(
        "--test", default="", help="only mechanisms whose test name contains this text"
    )
    parser.add_argument(
        "--in",
        dest="tree",
        type=Path,
        help="only disable the selected one in this tree, to measure it",
    )
    options = parser.parse_args()
    if options.tree is not None:
        (mechanism,) = (one for one in TARGET_CHOICE if options.only in one.name)
        switch_off(mechanism, options.tree)
        return 0
    undetected = 0
    for mechanism in MECHANISMS:
        if options.only not in mechanism.name or options.test not in mechanism.test:
            continue
        detected = fails_without(mechanism)
        undetected += not detected
        print(f"{'fails as it should' if detected else 'PASSES WITHOUT IT'}: {mechanism.name}")
        print(f"    {mechanism.test}", flush=True)
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
