"""Measures the latency that roadpass adds to requests sent directly to the target.

One caller process sends to the ingress of one node, and the target runs on the other node, so that
every request takes both hops. With `--both-roles` a second caller does the same in the opposite
direction, so that each node is ingress and sidecar at the given rate. Each caller alternates
one-second turns sent directly, through the plumbing alone (`benchmarks/_plumbing.py`) and through
roadpass. Latencies count from the intended time of sending.
"""

import argparse
import json
import subprocess
import sys
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks._process import Usage, stolen_s
from stand_ins.caller import Caller, Load
from stand_ins.launcher import ROOT, Launcher

NET = 21
TURN_S = 1.0
THREADS = 8
HISTOGRAM_MAX_US = 60_000_000
SERVICE_MS = 2.0
PAIRS = (("vm-1", "near-2"), ("vm-2", "near-1"))
VARIANTS = ("direct", "plumbing", "through")
FRONT_PORT, BACK_PORT = 8090, 8091
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def documents() -> dict[str, str]:
    """Return the documents of the two-node fleet."""
    service = {"floor_slots": 16, "slow_start_s": 0, "waiting_limit": 48}
    targets = {
        name: {
            "service": name,
            "vm": vm,
            "address": f"127.0.{NET}.{vm[-1]}:9000",
            "slots": 32,
            "hall": "hall-a",
        }
        for name, vm in (("near-2", "vm-2"), ("near-1", "vm-1"))
    }
    routes = {name: {"path": f"/{name}", "service": name, "repeatable": True} for name in targets}
    whole = {
        "services": dict.fromkeys(targets, service),
        "targets": targets,
        "routes": routes,
    }
    return {"all": json.dumps(whole)}


def worker(ingress: str, plumbing: str, target: str, path: str, rate: float, turns: int) -> None:
    """Send in turns by each variant, and print the histograms as JSON."""
    callers = {
        variant: Caller([address], threads=THREADS)
        for variant, address in zip(VARIANTS, (target, plumbing, ingress), strict=True)
    }
    load = Load("GET", path, rate)
    for caller in callers.values():
        caller.run([load], TURN_S)
        caller.results.clear()
    for _ in range(turns):
        for caller in callers.values():
            caller.run([load], TURN_S)
    figures = {}
    for name, caller in callers.items():
        histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
        for result in caller.results:
            histogram.record_value(max(1, int(result.latency_s * 1e6)))
        figures[name] = {
            "histogram": histogram.encode().decode(),
            "bad": sum(result.status != 200 for result in caller.results),
        }
    print(json.dumps(figures))


def measure(rate: float, turns: int, *, both_roles: bool) -> dict[str, Any]:
    """Run the fleet and the callers.

    Args:
        rate: Requests per second of one caller process.
        turns: Turns of `TURN_S` for each variant.
        both_roles: Whether each node is ingress and sidecar.

    Returns:
        Histograms by variant, failed requests, and resource usage of the nodes.
    """
    pairs = PAIRS if both_roles else PAIRS[:1]
    with Launcher(documents(), net=NET) as fleet:
        for name in fleet.fleet.targets:
            fleet.target_control(name, median_ms=SERVICE_MS, spread=0.0)
        plumbing = [_start_plumbing(fleet, vm, name) for vm, name in pairs]
        stolen = stolen_s()
        before = {vm: Usage.from_pid(fleet.processes[vm].pid) for vm in fleet.vms}
        workers = [
            subprocess.Popen(
                [
                    *(sys.executable, "-m", "benchmarks.path", "--worker"),
                    *(fleet.ingress(vm), f"{fleet.address(vm)}:{FRONT_PORT}"),
                    *(fleet.fleet.targets[name].address, f"/{name}"),
                    *(f"--rate={rate}", f"--turns={turns}"),
                ],
                stdout=subprocess.PIPE,
                cwd=ROOT,
            )
            for vm, name in pairs
        ]
        outputs = [json.loads(process.communicate()[0]) for process in workers]
        for process in (process for pair in plumbing for process in pair):
            process.kill()
            process.wait()
        after = {vm: Usage.from_pid(fleet.processes[vm].pid) for vm in fleet.vms}
    stolen = stolen_s() - stolen
    histograms = {}
    for variant in VARIANTS:
        histograms[variant] = HdrHistogram(1, HISTOGRAM_MAX_US, 3)
        for output in outputs:
            histograms[variant].decode_and_add(output[variant]["histogram"])
    cpu_s = sum(after[vm].cpu_s - before[vm].cpu_s for vm in after)
    return {
        "histograms": histograms,
        "bad": sum(output[variant]["bad"] for output in outputs for variant in output),
        "cpu_s": cpu_s,
        "stolen_s": stolen,
        "rss_mb": max(usage.rss_mb for usage in after.values()),
    }


def _start_plumbing(fleet: Launcher, vm: str, target: str) -> list[subprocess.Popen[bytes]]:
    """Start front and back of the plumbing on the addresses of the two nodes on the path."""
    entry = fleet.fleet.targets[target]
    front, back = f"{fleet.address(vm)}:{FRONT_PORT}", f"{fleet.address(entry.vm)}:{BACK_PORT}"
    module = [sys.executable, "-m", "benchmarks._plumbing"]
    return [
        subprocess.Popen([*module, "back", back], cwd=ROOT),
        subprocess.Popen([*module, "front", front, back, entry.address], cwd=ROOT),
    ]


def main() -> None:
    """Print the table and the JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=450.0, help="requests/s a node")
    parser.add_argument("--turns", type=int, default=10, help="turns of a second each way")
    parser.add_argument("--both-roles", action="store_true", help="each node in both roles")
    parser.add_argument("--worker", nargs=4, metavar=("INGRESS", "PLUMBING", "TARGET", "PATH"))
    options = parser.parse_args()
    if options.worker:
        ingress, plumbing, target, path = options.worker
        worker(ingress, plumbing, target, path, options.rate, options.turns)
        return
    measured = measure(options.rate, options.turns, both_roles=options.both_roles)
    histograms = measured["histograms"]
    print("{:>10} {:>10} {:>12} {:>11} {:>14}".format("percentile", *VARIANTS, "added, of this"))
    added, baseline = {}, {}
    for percentile in PERCENTILES:
        values = [
            histograms[variant].get_value_at_percentile(percentile) / 1e3 for variant in VARIANTS
        ]
        baseline[percentile] = round(values[1] - values[0], 3)
        added[percentile] = round(values[2] - values[0], 3)
        print(
            f"{percentile:>10g} {values[0]:>10.3f} {values[1]:>12.3f} {values[2]:>11.3f} "
            f"{added[percentile]:>6.3f} {baseline[percentile]:>7.3f}"
        )
    requests = histograms["through"].get_total_count()
    print(f"{requests} requests through roadpass, {measured['bad']} not answered with 200")
    print(f"{measured['stolen_s']:.1f} s of processor time were kept from the machine meanwhile")
    result = {
        "added_p50_ms": added[50.0],
        "added_p99_ms": added[99.0],
        "plumbing_p50_ms": baseline[50.0],
        "plumbing_p99_ms": baseline[99.0],
        "rate": options.rate,
        "rps_per_core": round(requests / measured["cpu_s"], 1),
        "rss_mb": round(measured["rss_mb"], 1),
        "stolen_s": round(measured["stolen_s"], 1),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
