"""`python -m soak --seed N --seconds S --processes P`: exits 1 if a promise was broken."""

import argparse
import shutil
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from soak.checker import Finding, check
from soak.history import History
from soak.plan import plan
from soak.stage import Stage


def play(
    seed: int,
    seconds: float,
    processes: int,
    net: int = 60,
    logs: Path | None = None,
    *,
    ending: bool = False,
    restorations: bool = False,
) -> list[Finding]:
    """Play one soak and print findings and counts; logs stay if there are any, or as told."""
    folder = logs or Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    history, steps = History(), plan(seed, seconds, processes, restorations=restorations)
    stage = Stage(folder, history, processes, net, seed, ending=ending)
    try:
        stage.play(steps, seconds)
    finally:
        stage.close()
    findings = check(history)
    for at, promise, node, request, text in findings:
        print(f"{at:.3f} (+{at - history.began:.3f}) {promise}: {node} {request} {text}")
    if ending:
        print(f"targets ended under one request: {len(history.ends)}")
    told = Counter(str(request.status or request.lost) for request in history.requests.values())
    print(f"seed {seed}: {len(findings)} broken, {len(steps)} faults, told {dict(told)}, {folder}")
    if not (findings or logs):
        shutil.rmtree(folder)
    return findings


def main() -> int:
    """Play one soak; told to stop, it ends the nodes as well."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    for name, kind, value in (
        ("seed", int, 1),
        ("seconds", float, 15.0),
        ("processes", int, 5),
        ("net", int, 60),
    ):
        parser.add_argument(f"--{name}", type=kind, default=value)
    parser.add_argument("--ending", action="store_true", help="with a request that ends targets")
    parser.add_argument("--restorations", action="store_true", help="of the store from a backup")
    parser.add_argument("--logs", type=Path, help="folder for logs, kept in any case")
    return 1 if play(**vars(parser.parse_args())) else 0


if __name__ == "__main__":
    sys.exit(main())
