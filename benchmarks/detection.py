"""Detection on real processes: from a fault to its ejection at each ingress, both sample fleets."""

import argparse
import json
import statistics
import threading
import time
from typing import NamedTuple

from stand_ins.caller import Caller, Load
from stand_ins.launcher import Launcher

WARM_S = 8.0
WATCH_S = 12.0
CALLER_THREADS = 4


class Case(NamedTuple):
    """A fault of one target of a sample fleet."""

    fleet: str
    target: str
    name: str
    behaviour: dict[str, object]


class Found(NamedTuple):
    """Seconds from the fault to the ejection at the ingresses, and what callers got."""

    first_s: float
    median_s: float
    last_s: float
    ingresses: int
    of: int
    false_ejections: int
    lost: int
    requests: int


FAULTS: tuple[tuple[str, dict[str, object]], ...] = (
    ("hangs", {"hang": True}),
    ("fails half", {"fail_share": 0.5}),
    ("fails 30%", {"fail_share": 0.3}),
    ("5 times slower", {"slow_factor": 5.0}),
)
LOADS = {
    "granthsetu": [
        Load("GET", "/circulation/availability", 150.0),
        Load("POST", "/circulation/issue", 50.0),
    ],
    "lisbon": [
        Load("GET", "/bancada/experiment", 150.0),
        Load("POST", "/bancada/submission", 50.0),
    ],
}
SICK = {"granthsetu": "circulation-1", "lisbon": "bancada-1"}


def measure(case: Case) -> Found:
    """Run one fleet with traffic at every ingress, and one fault."""
    with Launcher.from_example(case.fleet) as fleet:
        caller = Caller([fleet.ingress(vm) for vm in fleet.vms], threads=CALLER_THREADS)
        run_s = WARM_S + WATCH_S
        traffic = threading.Thread(target=caller.run, args=(LOADS[case.fleet], run_s))
        traffic.start()
        time.sleep(WARM_S)
        fault_at = time.time()
        fleet.target_control(case.target, **case.behaviour)
        traffic.join()
        times, false = _ejections(fleet, case.target, fault_at)
    lost = sum(result.status != 200 for result in caller.results)
    counts = (len(times), len(fleet.vms), false, lost, len(caller.results))
    if not times:
        return Found(WATCH_S, WATCH_S, WATCH_S, *counts)
    return Found(min(times), statistics.median(times), max(times), *counts)


def _ejections(fleet: Launcher, target: str, fault_at: float) -> tuple[list[float], int]:
    times = []
    false = 0
    for vm in fleet.vms:
        own = [
            (event["at"], event["subject"])
            for event in fleet.admin(vm, "/audit")
            if event["kind"] == "target-state" and " to ejected" in event["evidence"]
        ]
        right = [at - fault_at for at, subject in own if subject == target and at >= fault_at]
        false += sum(subject != target or at < fault_at for at, subject in own)
        if right:
            times.append(min(right))
    return times, false


def main() -> None:
    """Print the table and the JSON line."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    found = {}
    heads = ("fleet", "fault", "first s", "median s", "last s", "ingresses", "false", "not 200")
    print("{:11} {:15} {:>8} {:>9} {:>7} {:>10} {:>6} {:>9}".format(*heads))
    for fleet, target in SICK.items():
        for name, behaviour in FAULTS:
            row = measure(Case(fleet, target, name, behaviour))
            found[f"{fleet}, {name}"] = row
            print(
                f"{fleet:11} {name:15} {row.first_s:8.2f} {row.median_s:9.2f} {row.last_s:7.2f} "
                f"{row.ingresses:>7}/{row.of:<2} {row.false_ejections:6d} "
                f"{row.lost:4d}/{row.requests}",
                flush=True,
            )
    print(
        json.dumps(
            {
                "detect_median_s": {k: round(row.median_s, 2) for k, row in found.items()},
                "detect_last_s": {k: round(row.last_s, 2) for k, row in found.items()},
                "false_ejections": sum(row.false_ejections for row in found.values()),
            }
        )
    )


if __name__ == "__main__":
    main()
