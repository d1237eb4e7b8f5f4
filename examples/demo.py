"""`make demo`: both sample fleets as processes; a target goes gray and loses its traffic."""

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


class Show(NamedTuple):
    """What one fleet shows."""

    fleet: str
    loads: tuple[Load, ...]
    target: str
    behaviour: dict[str, object]
    words: str


SHOWS = (
    Show(
        "granthsetu",
        (
            Load("GET", "/opac/search", 60.0),
            Load("GET", "/circulation/availability", 30.0),
            Load("POST", "/circulation/issue", 30.0),
        ),
        "circulation-1",
        {"hang": True},
        "it answers probes and times out all work",
    ),
    Show(
        "lisbon",
        (
            Load("GET", "/vitrine/catalogue", 60.0),
            Load("POST", "/vitrine/booking", 20.0),
            Load("POST", "/bancada/submission", 40.0),
        ),
        "bancada-2",
        {"fail_share": 0.5},
        "it fails half of its work",
    ),
)


def run(show: Show) -> bool:
    """Run one fleet.

    Returns:
        Whether no promise was broken.
    """
    launcher = Launcher.from_example(show.fleet)
    nodes, targets = len(launcher.vms), len(launcher.fleet.targets)
    print(f"\n== {show.fleet}: {nodes} nodes, {targets} targets, one platform, all processes")
    with launcher as fleet:
        print("   all nodes are ready; traffic starts")
        caller = Caller([fleet.ingress(vm) for vm in fleet.vms[:4]], threads=8)
        started = clock.now()
        traffic = threading.Thread(target=caller.run, args=(show.loads, WARM_S + GRAY_S))
        traffic.start()
        time.sleep(WARM_S)
        print(f"   {show.target} goes gray: {show.words}")
        fleet.target_control(show.target, **show.behaviour)
        traffic.join()
        _print_share(show, caller.results, fleet, started)
        _print_trail(show, fleet)
        return _print_promises(show, caller.results, fleet)


def _print_share(show: Show, results: Sequence[Result], fleet: Launcher, started: float) -> None:
    service = fleet.fleet.targets[show.target].service
    peers = {target.name for target in fleet.fleet.targets_of(service)}
    total: Counter[int] = Counter()
    own: Counter[int] = Counter()
    for result in results:
        if result.target in peers:
            second = int((result.started - started) / BUCKET_S)
            total[second] += 1
            own[second] += result.target == show.target
    print(f"   answers of {service} that came from {show.target}, second by second:")
    for second in sorted(total):
        share = own[second] / total[second]
        mark = "  <- gray" if second == int(WARM_S) else ""
        print(f"   {second:3d} s {100 * share:5.1f}% {'#' * int(40 * share)}{mark}")


def _print_trail(show: Show, fleet: Launcher) -> None:
    print("   the audit trail of the nodes that sent to it:")
    for vm in fleet.vms[:4]:
        for event in fleet.admin(vm, "/audit"):
            if event["subject"] == show.target and "ejected" in event["evidence"]:
                print(f"   {vm}: {event['kind']} {event['subject']}: {event['evidence']}")
                break


def _print_promises(show: Show, results: Sequence[Result], fleet: Launcher) -> bool:
    begun: Counter[str] = Counter()
    for name in fleet.fleet.targets:
        begun.update(fleet.ledger(name)["begun"])
    methods = {load.path: load.method for load in show.loads}
    twice = sum(begun[r.id] > 1 for r in results if methods[r.path] == "POST")
    after = sum(begun[r.id] > 0 for r in results if r.outcome == "not-run")
    wrong = sum(result.wrong for result in results)
    outcomes = Counter(f"{r.status} {r.outcome} {r.reason}".strip() for r in results)
    print(f"   outcomes: {dict(outcomes)}")
    print(
        f"   by the targets' own ledgers: {twice} not repeatable run twice, "
        f"{after} run after not-run, {wrong} wrong answers"
    )
    return not twice and not after and not wrong


def main() -> int:
    """Run both shows."""
    kept = [run(show) for show in SHOWS]
    print("\nevery promise was kept" if all(kept) else "\nA PROMISE WAS BROKEN")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
