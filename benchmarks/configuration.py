"""Measures how fast a revision is in force on all nodes, and what its distribution costs."""

import argparse
import hashlib
import json
import random
import statistics
import time
from typing import Any, NamedTuple

import zstandard

from benchmarks._synthetic import documents
from roadpass import clock
from roadpass.patch import make_patch
from stand_ins.launcher import Launcher

NET = 31
SIZES = (10, 20, 40)
REVISIONS = 8
IN_FORCE_TIMEOUT_S = 30.0
POLL_S = 0.02
CALL_COUNT_S = 30.0
DAY_CHANGES = 400
"""Changes in the simulated day, each a small one to a document of about 0.1 MB."""


class Size(NamedTuple):
    """Figures at one size of fleet.

    Args:
        p50_s: Median of the seconds from publication until the last node has a revision in force.
        max_s: Their maximum.
        half_readers_s: The same for one revision after half of the readers were killed.
        calls_a_minute: Platform calls per minute of the whole fleet while nothing changes.
        pull_bytes: Bytes that a node pulls for one revision.
    """

    p50_s: float
    max_s: float
    half_readers_s: float
    calls_a_minute: float
    pull_bytes: float


def in_force_s(fleet: Launcher, nodes: int, mark: str) -> float:
    """Publish a revision and return the seconds until it is in force on the last node.

    Returns `IN_FORCE_TIMEOUT_S` if some node does not have it by then.
    """
    started = time.time()
    revision = fleet.publish(documents(NET, nodes, mark=mark))
    waiting = set(fleet.vms) & set(fleet.processes)
    last = 0.0
    deadline = clock.now() + IN_FORCE_TIMEOUT_S
    while waiting:
        if clock.now() > deadline:
            return IN_FORCE_TIMEOUT_S
        for vm in list(waiting):
            accepted = _accepted_at(fleet, vm, revision)
            if accepted is not None:
                waiting.discard(vm)
                last = max(last, accepted - started)
        time.sleep(POLL_S)
    return last


def _accepted_at(fleet: Launcher, vm: str, revision: int) -> float | None:
    if fleet.admin(vm, "/status")["revision"] < revision:
        return None
    for event in reversed(fleet.admin(vm, "/audit")):
        if event["kind"] == "revision-accepted" and event["subject"] == f"revision {revision}":
            return float(event["at"])
    return None


def measure(nodes: int) -> Size:
    """Run a fleet of the given number of nodes and measure it."""
    with _fleet(nodes) as fleet:
        time.sleep(3.0)
        calls = fleet.platform_calls()
        time.sleep(CALL_COUNT_S)
        calls = fleet.platform_calls() - calls
        pulled = _pulled(fleet)
        times = [in_force_s(fleet, nodes, f"m{n}") for n in range(REVISIONS)]
        pulled = _pulled(fleet) - pulled
        readers = sorted({r for vm in fleet.vms for r in fleet.admin(vm, "/status")["readers"]})
        for vm in readers[::2]:
            fleet.kill(vm)
        halved = in_force_s(fleet, nodes, "halved")
    return Size(
        p50_s=round(statistics.median(times), 3),
        max_s=round(max(times), 3),
        half_readers_s=round(halved, 3),
        calls_a_minute=calls * 60.0 / CALL_COUNT_S,
        pull_bytes=pulled / REVISIONS / nodes,
    )


def _fleet(nodes: int) -> Launcher:
    return NodeLauncher(documents(NET, nodes), net=NET)


class NodeLauncher(Launcher):
    """Launches a fleet without the processes of its targets."""

    def start_target(self, name: str) -> None:
        """Skip the process: only the nodes are measured."""


def _pulled(fleet: Launcher) -> float:
    total = 0.0
    for vm in fleet.vms:
        total += fleet.admin(vm, "/metrics.json")["counters"].get("pull_bytes", 0)
    return total


def patch_ratio() -> tuple[float, int, int]:
    """Compare a simulated day of small changes as patches with the same changes as whole documents.

    Returns:
        Total bytes of the patches over those of the compressed documents, and the two totals.
    """
    rng = random.Random(4)
    targets = json.loads(documents(NET, 240)["targets"])["targets"]
    entries = {f"{name}-{n}": dict(value) for name, value in targets.items() for n in range(4)}
    old_document = json.dumps({"targets": entries}, indent=1).encode()
    patched, whole = 0, 0
    for change in range(DAY_CHANGES):
        name = rng.choice(list(entries))
        entries[name] = {**entries[name], "labels": {"tier": rng.choice("abc"), "at": str(change)}}
        new_document = json.dumps({"targets": entries}, indent=1).encode()
        patched += len(make_patch(old_document, new_document))
        whole += len(zstandard.ZstdCompressor().compress(new_document))
        old_document = new_document
    assert hashlib.sha256(old_document).digest()
    return patched / whole, patched, whole


def main() -> None:
    """Print the table and the JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    options = parser.parse_args()
    found: dict[str, Any] = {}
    columns = ("nodes", "p50 s", "max s", "half readers s", "calls/min", "B/node")
    print("{:>6} {:>7} {:>7} {:>15} {:>10} {:>8}".format(*columns))
    for nodes in options.sizes:
        size = measure(nodes)
        found[str(nodes)] = size
        print(
            f"{nodes:>6} {size.p50_s:>7.3f} {size.max_s:>7.3f} {size.half_readers_s:>15.3f} "
            f"{size.calls_a_minute:>10.1f} {size.pull_bytes:>8.0f}"
        )
    ratio, patched, whole = patch_ratio()
    print(f"a day of {DAY_CHANGES} changes: {patched} bytes as patches, {whole} whole, compressed")
    print(
        json.dumps(
            {
                "last_node_s": {nodes: size.max_s for nodes, size in found.items()},
                "last_node_half_readers_killed_s": {n: s.half_readers_s for n, s in found.items()},
                "platform_calls_per_min": {n: s.calls_a_minute for n, s in found.items()},
                "pull_bytes_per_node": {n: round(s.pull_bytes) for n, s in found.items()},
                "patch_to_full_bytes": round(ratio, 4),
            }
        )
    )


if __name__ == "__main__":
    main()
