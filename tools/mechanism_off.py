"""Shows that the tests of the promises see faults: each must fail with its mechanism off.

A copy of the tree is changed in one place, the named test runs there, and the verdict is printed.
A test that passes without its mechanism proves nothing; then this tool exits with 1.
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
from tools.mechanisms_of_service import OF_CHOICE

ROOT = Path(__file__).parent.parent
COPIED = ("roadpass", "stand_ins", "tests", "examples", "pyproject.toml")
LIMIT_S = 180


def switch_off(mechanism: Mechanism, tree: Path) -> None:
    """Change a tree so that it lacks a mechanism.

    Raises:
        ValueError: The mechanism's place is not there exactly once.
    """
    file = tree / mechanism.file
    text = file.read_text()
    if text.count(mechanism.on) != 1:
        raise ValueError(f"{mechanism.name}: its place is not there exactly once")
    file.write_text(text.replace(mechanism.on, mechanism.off))


def fails_without(mechanism: Mechanism) -> bool:
    """Run a mechanism's test with it off and tell whether the test fails."""
    with tempfile.TemporaryDirectory(prefix="mechanism-off-") as folder:
        copy = Path(folder)
        for name in COPIED:
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
            timeout=LIMIT_S,
            check=False,
        )
    return run.returncode == 1


def main() -> int:
    """Switch every mechanism off in turn; print a line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="only mechanisms whose name contains this")
    parser.add_argument("--test", default="", help="only those whose test's name contains this")
    parser.add_argument(
        "--in", dest="tree", type=Path, help="switch the only one off in this tree, to measure it"
    )
    options = parser.parse_args()
    if options.tree is not None:
        (mechanism,) = (one for one in OF_CHOICE if options.only in one.name)
        switch_off(mechanism, options.tree)
        return 0
    unseen = 0
    for mechanism in MECHANISMS:
        if options.only not in mechanism.name or options.test not in mechanism.test:
            continue
        seen = fails_without(mechanism)
        unseen += not seen
        print(f"{'fails as it should' if seen else 'PASSES WITHOUT IT'}: {mechanism.name}")
        print(f"    {mechanism.test}", flush=True)
    return 1 if unseen else 0


if __name__ == "__main__":
    sys.exit(main())
