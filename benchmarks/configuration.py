"""Configuration in force: from publication to the last node, platform calls, bytes, patches."""

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
LIMIT_S = 30.0
POLL_S = 0.02
CALLS_S = 30.0
DAY_CHANGES = 400
"""Changes of the simulated day; small ones of one document of a megabyte's tenth."""


class Size(NamedTuple):
    """Figures at one size of fleet."""

    p50_s: float
    max_s: float
    halved_s: float
    calls_a_minute: float
    pull_bytes: float


def in_force_s(fleet: Launcher, nodes: int, mark: str) -> float:
    """Publish a revision and return the seconds until the last node has it in force."""
    started = time.time()
    revision = fleet.publish(documents(NET, nodes, mark=mark))
    waiting = set(fleet.vms) & set(fleet.processes)
    last = 0.0
    deadline = clock.now() + LIMIT_S
    while waiting:
        if clock.now() > deadline:
            return LIMIT_S
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
    """Run a fleet of some nodes."""
    with _fleet(nodes) as fleet:
        time.sleep(3.0)
        calls = fleet.platform_calls()
        time.sleep(CALLS_S)
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
        halved_s=round(halved, 3),
        calls_a_minute=calls * 60.0 / CALLS_S,
        pull_bytes=pulled / REVISIONS / nodes,
    )


def _fleet(nodes: int) -> Launcher:
    return NodesOnly(documents(NET, nodes), net=NET)


class NodesOnly(Launcher):
    """A fleet without targets' processes."""

    def start_target(self, name: str) -> None:
        """Start nothing."""


def _pulled(fleet: Launcher) -> float:
    total = 0.0
    for vm in fleet.vms:
        total += fleet.admin(vm, "/metrics.json")["counters"].get("pull_bytes", 0)
    return total


def patch_ratio() -> tuple[float, int, int]:
    """Send a simulated day of small changes as patches and as whole documents.

    Returns:
        Bytes of patches over bytes of whole compressed documents, and both sums.
    """
    rng = random.Random(4)
    targets = json.loads(documents(NET, 240)["targets"])["targets"]
    many = {f"{name}-{n}": dict(value) for name, value in targets.items() for n in range(4)}
    text = json.dumps({"targets": many}, indent=1).encode()
    patched, whole = 0, 0
    for change in range(DAY_CHANGES):
        name = rng.choice(list(many))
        many[name] = {**many[name], "labels": {"tier": rng.choice("abc"), "at": str(change)}}
        new = json.dumps({"targets": many}, indent=1).encode()
        patched += len(make_patch(text, new))
        whole += len(zstandard.ZstdCompressor().compress(new))
        text = new
    assert hashlib.sha256(text).digest()
    return patched / whole, patched, whole


def main() -> None:
    """Print the table and the JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    options = parser.parse_args()
    found: dict[str, Any] = {}
    heads = ("nodes", "p50 s", "max s", "half readers s", "calls/min", "B/node")
    print("{:>6} {:>7} {:>7} {:>15} {:>10} {:>8}".format(*heads))
    for nodes in options.sizes:
        size = measure(nodes)
        found[str(nodes)] = size
        print(
            f"{nodes:>6} {size.p50_s:>7.3f} {size.max_s:>7.3f} {size.halved_s:>15.3f} "
            f"{size.calls_a_minute:>10.1f} {size.pull_bytes:>8.0f}"
        )
    ratio, patched, whole = patch_ratio()
    print(f"a day of {DAY_CHANGES} changes: {patched} bytes as patches, {whole} whole, compressed")
    print(
        json.dumps(
            {
                "last_node_s": {nodes: size.max_s for nodes, size in found.items()},
                "last_node_half_readers_killed_s": {n: s.halved_s for n, s in found.items()},
                "platform_calls_per_min": {n: s.calls_a_minute for n, s in found.items()},
                "pull_bytes_per_node": {n: round(s.pull_bytes) for n, s in found.items()},
                "patch_to_full_bytes": round(ratio, 4),
            }
        )
    )


if __name__ == "__main__":
    main()
