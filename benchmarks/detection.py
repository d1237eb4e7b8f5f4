"""Measures the time from a fault to its ejection at each ingress, on processes of both examples."""

import argparse
import json
import statistics
import threading
import time
from typing import NamedTuple

from stand_ins.caller import Caller, Load
from stand_ins.launcher import Launcher

WARM_UP_S = 8.0
OBSERVATION_S = 12.0
CALLER_THREADS = 4


class Case(NamedTuple):
    """A fault of one target of a sample fleet."""

    fleet: str
    target: str
    name: str
    behaviour: dict[str, object]


class Detection(NamedTuple):
    """Seconds from the fault to the ejection at the ingresses, and the results of the callers.

    Args:
        first_s: Seconds until the first ingress ejected the target.
        median_s: Median over the ingresses that ejected it.
        last_s: Seconds until the last of them did.
        ingresses: How many ingresses ejected it.
        of: How many ingresses there are.
        false_ejections: Ejections of other targets, or before the fault.
        lost: Requests not answered with status 200.
        requests: All requests.
    """

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
FAULTY_TARGETS = {"granthsetu": "circulation-1", "lisbon": "bancada-1"}


def measure(case: Case) -> Detection:
    """Run one fleet with traffic at every ingress and inject one fault.

    Times of a fault that no ingress detects are `OBSERVATION_S`.
    """
    with Launcher.from_example(case.fleet) as fleet:
        caller = Caller([fleet.ingress(vm) for vm in fleet.vms], threads=CALLER_THREADS)
        run_s = WARM_UP_S + OBSERVATION_S
        traffic = threading.Thread(target=caller.run, args=(LOADS[case.fleet], run_s))
        traffic.start()
        time.sleep(WARM_UP_S)
        fault_at = time.time()
        fleet.target_control(case.target, **case.behaviour)
        traffic.join()
        times, false = _ejections(fleet, case.target, fault_at)
    lost = sum(result.status != 200 for result in caller.results)
    counts = (len(times), len(fleet.vms), false, lost, len(caller.results))
    if not times:
        return Detection(OBSERVATION_S, OBSERVATION_S, OBSERVATION_S, *counts)
    return Detection(min(times), statistics.median(times), max(times), *counts)


def _ejections(fleet: Launcher, target: str, fault_at: float) -> tuple[list[float], int]:
    times = []
    false = 0
    for vm in fleet.vms:
        own = [
            (event["at"], event["subject"])
            for event in fleet.admin(vm, "/audit")
            if event["kind"] == "target-state" and " to ejected" in event["evidence"]
        ]
        detected_after_s = [
            at - fault_at for at, subject in own if subject == target and at >= fault_at
        ]
        false += sum(subject != target or at < fault_at for at, subject in own)
        if detected_after_s:
            times.append(min(detected_after_s))
    return times, false


def main() -> None:
    """Print the table and the JSON line."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    detections = {}
    columns = ("fleet", "fault", "first s", "median s", "last s", "ingresses", "false", "not 200")
    print("{:11} {:15} {:>8} {:>9} {:>7} {:>10} {:>6} {:>9}".format(*columns))
    for fleet, target in FAULTY_TARGETS.items():
        for name, behaviour in FAULTS:
            row = measure(Case(fleet, target, name, behaviour))
            detections[f"{fleet}, {name}"] = row
            print(
                f"{fleet:11} {name:15} {row.first_s:8.2f} {row.median_s:9.2f} {row.last_s:7.2f} "
                f"{row.ingresses:>7}/{row.of:<2} {row.false_ejections:6d} "
                f"{row.lost:4d}/{row.requests}",
                flush=True,
            )
    print(
        json.dumps(
            {
                "detect_median_s": {k: round(row.median_s, 2) for k, row in detections.items()},
                "detect_last_s": {k: round(row.last_s, 2) for k, row in detections.items()},
                "false_ejections": sum(row.false_ejections for row in detections.values()),
            }
        )
    )


if __name__ == "__main__":
    main()
