"""`make demo`: runs both sample fleets; in each a target fails gray and loses its traffic."""

import sys
import threading
import time
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from roadpass import clock
from stand_ins.caller import Caller, Load, Result
from stand_ins.launcher import Launcher

WARM_S = 6.0
GRAY_S = 6.0
BUCKET_S = 1.0


class Demo(NamedTuple):
    """The demonstration of one fleet: its load, and the target that fails and how."""

    fleet: str
    loads: tuple[Load, ...]
    target: str
    behaviour: dict[str, object]
    description: str


DEMOS = (
    Demo(
        "granthsetu",
        (
            Load("GET", "/opac/search", 60.0),
            Load("GET", "/circulation/availability", 30.0),
            Load("POST", "/circulation/issue", 30.0),
        ),
        "circulation-1",
        {"hang": True},
        "it answers health checks but times out all requests",
    ),
    Demo(
        "lisbon",
        (
            Load("GET", "/vitrine/catalogue", 60.0),
            Load("POST", "/vitrine/booking", 20.0),
            Load("POST", "/bancada/submission", 40.0),
        ),
        "bancada-2",
        {"fail_share": 0.5},
        "it fails half of its requests",
    ),
)


def run(demo: Demo) -> bool:
    """Run one fleet.

    Returns:
        Whether all invariants held.
    """
    launcher = Launcher.from_example(demo.fleet)
    nodes, targets = len(launcher.vms), len(launcher.fleet.targets)
    print(f"\n== {demo.fleet}: {nodes} nodes, {targets} targets, one platform, each a process")
    with launcher as fleet:
        print("   all nodes are ready; starting traffic")
        caller = Caller([fleet.ingress(vm) for vm in fleet.vms[:4]], threads=8)
        started = clock.now()
        traffic = threading.Thread(target=caller.run, args=(demo.loads, WARM_S + GRAY_S))
        traffic.start()
        time.sleep(WARM_S)
        print(f"   {demo.target} starts to fail gray: {demo.description}")
        fleet.target_control(demo.target, **demo.behaviour)
        traffic.join()
        _print_share(demo, caller.results, fleet, started)
        _print_audit(demo, fleet)
        return _print_invariants(demo, caller.results, fleet)


def _print_share(demo: Demo, results: Sequence[Result], fleet: Launcher, started: float) -> None:
    service = fleet.fleet.targets[demo.target].service
    peers = {target.name for target in fleet.fleet.targets_of(service)}
    total: Counter[int] = Counter()
    own: Counter[int] = Counter()
    for result in results:
        if result.target in peers:
            second = int((result.started - started) / BUCKET_S)
            total[second] += 1
            own[second] += result.target == demo.target
    print(f"   responses of {service} that came from {demo.target}, by second:")
    for second in sorted(total):
        share = own[second] / total[second]
        mark = "  <- gray" if second == int(WARM_S) else ""
        print(f"   {second:3d} s {100 * share:5.1f}% {'#' * int(40 * share)}{mark}")


def _print_audit(demo: Demo, fleet: Launcher) -> None:
    print("   the audit log of the nodes that sent to it:")
    for vm in fleet.vms[:4]:
        for event in fleet.admin(vm, "/audit"):
            if event["subject"] == demo.target and "ejected" in event["evidence"]:
                print(f"   {vm}: {event['kind']} {event['subject']}: {event['evidence']}")
                break


def _print_invariants(demo: Demo, results: Sequence[Result], fleet: Launcher) -> bool:
    runs: Counter[str] = Counter()
    for name in fleet.fleet.targets:
        runs.update(fleet.ledger(name)["begun"])
    methods = {load.path: load.method for load in demo.loads}
    repeated = sum(runs[r.id] > 1 for r in results if methods[r.path] == "POST")
    ran_after_refusal = sum(runs[r.id] > 0 for r in results if r.outcome == "not-run")
    wrong = sum(result.wrong for result in results)
    outcomes = Counter(f"{r.status} {r.outcome} {r.reason}".strip() for r in results)
    print(f"   outcomes: {dict(outcomes)}")
    print(
        f"   by the targets' own ledgers: {repeated} not repeatable requests run twice, "
        f"{ran_after_refusal} run after not-run, {wrong} wrong responses"
    )
    return not repeated and not ran_after_refusal and not wrong


def main() -> int:
    """Run both demonstrations; return 1 if an invariant was violated."""
    passed = [run(demo) for demo in DEMOS]
    print("\nall invariants held" if all(passed) else "\nAN INVARIANT WAS VIOLATED")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
