"""`python -m soak --seed N --seconds S --processes P`: exits 1 on a violation."""

import argparse
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from soak.checker import Violation, check
from soak.history import History
from soak.plan import plan
from soak.stage import Harness


def run_soak(
    seed: int,
    seconds: float,
    processes: int,
    net: int = 60,
    logs: Path | None = None,
    *,
    ending: bool = False,
    restorations: bool = False,
    limits: bool = False,
    pressure: bool = False,
    bounds: bool = False,
) -> list[Violation]:
    """Run one soak and print its violations and a summary.

    The logs are deleted if there are no violations, unless `logs` names a folder for them.
    """
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    history = History()
    faults = plan(seed, seconds, processes, restorations=restorations, limits=limits, bounds=bounds)
    harness = Harness(
        folder,
        history,
        processes,
        net,
        seed,
        ending=ending,
        pressure=pressure,
        bounds=bounds,
    )
    try:
        harness.run(faults, seconds)
    finally:
        harness.close()
    violations = check(history)
    for at, invariant, node, request, text in violations:
        print(f"{at:.3f} (+{at - history.started_at:.3f}) {invariant}: {node} {request} {text}")
    if ending:
        print(f"targets crashed by the poison request: {len(history.poison_crashes)}")
    outcomes = Counter(
        str(request.status or request.error) for request in history.requests.values()
    )
    print(
        f"seed {seed}: {len(violations)} violations, {len(faults)} faults, "
        f"outcomes {dict(outcomes)}, {folder}"
    )
    if not (violations or logs):
        shutil.rmtree(folder)
    return violations


def main() -> int:
    """Run one soak; SIGTERM raises `SystemExit`, so that the node processes are killed as well."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    for name, kind, value in (
        ("seed", int, 1),
        ("seconds", float, 15.0),
        ("processes", int, 5),
        ("net", int, 60),
    ):
        parser.add_argument(f"--{name}", type=kind, default=value)
    parser.add_argument(
        "--ending", action="store_true", help="send a poison request that crashes the targets"
    )
    parser.add_argument(
        "--restorations", action="store_true", help="also restore the store from backups"
    )
    parser.add_argument(
        "--limits",
        action="store_true",
        help="also let targets name limits, and say that they leave",
    )
    parser.add_argument(
        "--pressure",
        action="store_true",
        help="also send uploads, to nodes that share capacity under pressure",
    )
    parser.add_argument(
        "--bounds",
        action="store_true",
        help="also bound the nodes' memory, send large bodies and paths near a prefix, fail single "
        "watches and withdraw targets",
    )
    parser.add_argument("--logs", type=Path, help="folder for the logs, which are then always kept")
    return 1 if run_soak(**vars(parser.parse_args())) else 0


if __name__ == "__main__":
    sys.exit(main())
