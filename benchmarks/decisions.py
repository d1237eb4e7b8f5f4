"""Compares roadpass with the naive policy under faults and overload, in virtual time."""

import argparse
import json
import math
import multiprocessing
import random
import time
from collections.abc import Sequence
from typing import NamedTuple

from benchmarks._driver import Driver, Fault, Spec, Tally
from benchmarks._naive_driver import NaiveDriver
from benchmarks._roadpass_driver import RoadpassDriver
from roadpass.admission import Admission
from roadpass.balance import Candidate, Load, Picker
from roadpass.ejector import State
from roadpass.failure_detector import (
    FAILURE_BASE,
    Detector,
    Sample,
    threshold,
    wald_samples,
)
from roadpass.fleet import TrafficClass
from roadpass.health import Presence, ServiceHealth

PROCESSES = 4
SEEDS = 24
LOAD = 0.4
FAULT_AT_S = 4.0
DETECTION_LIMIT_S = 40.0
"""Detection time that counts for a fault not detected by then, so that the figures of the naive
policy are lower bounds."""
SETTLE_S = 4.0
WEEK_S = 7 * 24 * 3600.0

OPAC = Spec(
    name="opac",
    targets=6,
    slots=10,
    halls=3,
    floor_slots=30,
    false_ejection_rate=1.0,
    classes=(TrafficClass("members", 0.5), TrafficClass("internal", 0.1)),
    shares=(0.8, 0.2),
    post_share=0.1,
    timeout_s=2.0,
    attempt_timeout_s=0.8,
)
BANCADA = Spec(
    name="bancada",
    targets=4,
    slots=6,
    halls=4,
    floor_slots=18,
    false_ejection_rate=0.01,
    classes=(TrafficClass("submission", 0.5), TrafficClass("simulation", 0.2)),
    shares=(0.4, 0.6),
    post_share=0.4,
    timeout_s=5.0,
    attempt_timeout_s=2.0,
)


class Row(NamedTuple):
    """One fault scenario.

    Args:
        name: Label in the table.
        fault: The fault; a `count` of -1 stands for all targets but one.
        partial: Whether the naive policy is slow to detect the fault.
        detects: Whether the time to detection is measured.
        load: Load as a share of the capacity.
    """

    name: str
    fault: Fault
    partial: bool = False
    detects: bool = True
    load: float = LOAD


ROWS = (
    Row("dead", Fault(1, refuse=True)),
    Row("times out, probes answer", Fault(1, hang=True)),
    Row("fails half", Fault(1, fail=0.5), partial=True),
    Row("fails 30%", Fault(1, fail=0.3), partial=True),
    Row("5 times slower", Fault(1, slow=5.0), partial=True),
    Row("sick for one ingress", Fault(1, ingress=0)),
    Row("flapping 2 s / 2 s", Fault(1, hang=True, flap_s=2.0), detects=False),
    Row("all slow together", Fault(99, slow=3.0), detects=False, load=0.25),
    Row("most targets sick", Fault(-1, fail=0.6), detects=False),
    Row("whole service down", Fault(99, hang=True), detects=False, load=0.1),
)


class Result(NamedTuple):
    """Figures of one row for one policy and service, over all seeds."""

    p50_s: float
    p99_s: float
    false_ejections: int
    lost_percent: float
    good: dict[str, float]
    retry_ratio: float
    floor_breaches: int
    ejections: int


class Job(NamedTuple):
    """One seeded run."""

    policy: type[Driver]
    spec: Spec
    row: Row
    seed: int


def run_job(job: Job) -> Tally:
    """Run a job until the fault is detected, or for a fixed time."""
    fault = job.row.fault
    if fault.count == -1:
        fault = Fault(job.spec.targets - 1, fail=fault.fail)
    rate = job.spec.capacity * job.row.load
    driver = job.policy(job.spec, rate, fault, fault_at=FAULT_AT_S, seed=job.seed)
    until = FAULT_AT_S + (DETECTION_LIMIT_S if job.row.detects else 4.0 * SETTLE_S)
    return driver.run(until, stop_when_detected=job.row.detects)


def summarize(tallies: Sequence[Tally]) -> Result:
    """Aggregate the runs of one row."""
    times = sorted(DETECTION_LIMIT_S if t.detected_s is None else t.detected_s for t in tallies)
    offered = sum(sum(t.offered.values()) for t in tallies)
    good = sum(sum(t.good.values()) for t in tallies)
    classes = {name for t in tallies for name in t.offered}
    return Result(
        p50_s=times[len(times) // 2],
        p99_s=times[min(len(times) - 1, math.ceil(0.99 * len(times)) - 1)],
        false_ejections=sum(t.false_ejections for t in tallies),
        lost_percent=100.0 * (1.0 - good / offered),
        good={
            name: sum(t.good[name] for t in tallies) / sum(t.offered[name] for t in tallies)
            for name in sorted(classes)
        },
        retry_ratio=sum(t.retries for t in tallies) / sum(t.attempts for t in tallies),
        floor_breaches=sum(t.floor_breaches for t in tallies),
        ejections=sum(t.ejections for t in tallies),
    )


def measure_rows(seeds: int) -> dict[tuple[str, str, str], Result]:
    """Run every row for both services and policies.

    Returns:
        Results by service, row and policy.
    """
    jobs = [
        Job(policy, spec, row, seed)
        for spec in (OPAC, BANCADA)
        for row in ROWS
        for policy in (RoadpassDriver, NaiveDriver)
        for seed in range(seeds)
    ]
    with multiprocessing.Pool(PROCESSES) as pool:
        tallies = pool.map(run_job, jobs, chunksize=4)
    grouped: dict[tuple[str, str, str], list[Tally]] = {}
    for job, tally in zip(jobs, tallies, strict=True):
        key = (job.spec.name, job.row.name, job.policy.__name__.removesuffix("Driver").lower())
        grouped.setdefault(key, []).append(tally)
    return {key: summarize(found) for key, found in grouped.items()}


def measure_overload(seconds: float = 12.0) -> tuple[float, float, float]:
    """Offer 1.5 times the capacity: 0.8 times from members, 0.7 times from internal traffic.

    Returns:
        Members' goodput over what capacity allows them, internal goodput over what it offered,
        and the retry ratio.
    """
    spec = OPAC._replace(shares=(0.8, 0.7))
    driver = RoadpassDriver(spec, spec.capacity * 1.5, Fault(), fault_at=1e9, seed=5)
    tally = driver.run(seconds)
    members = tally.good["members"] / tally.offered["members"]
    internal = tally.good["internal"] / tally.offered["internal"]
    return members, internal, tally.retries / tally.attempts


def measure_wald(runs: int = 300) -> dict[str, float]:
    """Return mean samples to detection over Wald's bound, by share of failing requests."""
    h = threshold(BANCADA.false_ejection_rate)
    ratios = {}
    for failing in (0.3, 0.5, 1.0):
        counts = []
        for seed in range(runs):
            rng = random.Random(seed)
            detector = Detector(h)
            while detector.scores.worst < 1.0:
                detector.observe(Sample(rng.random() < failing, 20.0))
            counts.append(detector.samples)
        bound = wald_samples(h, FAILURE_BASE, failing)
        ratios[f"{failing:g}"] = sum(counts) / runs / bound
    return ratios


def measure_week(spec: Spec, rate: float = 0.5) -> float:
    """Return false ejections per target-week at one ingress, at a low rate and with no fault."""
    rng = random.Random(11)
    health = ServiceHealth(spec.service())
    present = {f"t{n}": Presence(spec.slots) for n in range(spec.targets)}
    ejections = 0
    step_s = 4.0
    for step in range(int(WEEK_S / step_s)):
        for name in present:
            for _ in range(int(rate * step_s)):
                sample = Sample(rng.random() < 0.001, 20.0 * rng.lognormvariate(0.0, 0.35))
                health.record(name, sample)
        changes = health.step(step * step_s, present).changes
        ejections += sum(change.new is State.EJECTED for change in changes)
    return ejections / spec.targets


def measure_cost(rounds: int = 20000) -> dict[str, float]:
    """Return microseconds of one decision at 32 targets."""
    names = [f"t{n}" for n in range(32)]
    loads = {name: Load(0.3, 20.0) for name in names}
    picker = Picker([[Candidate(name, n % 3, 1.0) for n, name in enumerate(names)]])
    rng = random.Random(1)
    detector = Detector(threshold(0.1))
    admission = Admission(OPAC.classes, slots=10, queue_limit=20)
    costs = {}
    begin = time.perf_counter()
    for _ in range(rounds):
        picker.pick(loads.__getitem__, rng, repeatable=True)
    costs["pick_us"] = time.perf_counter() - begin
    begin = time.perf_counter()
    for _ in range(rounds):
        detector.observe(Sample(False, 20.0), slow_ms=50.0)
    costs["record_us"] = time.perf_counter() - begin
    begin = time.perf_counter()
    for _ in range(rounds):
        admission.offer(0.0, "members", "c", 1.0, retry=False)
        admission.release(0.0, "members")
    costs["admit_us"] = time.perf_counter() - begin
    return {name: round(spent / rounds * 1e6, 2) for name, spent in costs.items()}


def print_rows(results: dict[tuple[str, str, str], Result]) -> None:
    """Print the table to read."""
    print(
        f"{'service':8} {'fault':26} {'policy':9} {'p50 s':>6} {'p99 s':>6} {'false':>5} "
        f"{'lost %':>7} {'retry %':>7} {'floor':>6}  goodput by class"
    )
    for (service, row, policy), r in results.items():
        good = " ".join(f"{name} {share:.3f}" for name, share in r.good.items())
        detects = next(one.detects for one in ROWS if one.name == row)
        times = f"{r.p50_s:6.2f} {r.p99_s:6.2f}" if detects else f"{'-':>6} {'-':>6}"
        print(
            f"{service:8} {row:26} {policy:9} {times} {r.false_ejections:5d} "
            f"{r.lost_percent:7.2f} {100 * r.retry_ratio:7.2f} {r.floor_breaches:6d}  {good}"
        )


def ratios(results: dict[tuple[str, str, str], Result]) -> tuple[float, float, float, bool]:
    """Compare the policies.

    Returns:
        Worst detection p99 to naive over partial faults, worst over full ones, false ejections
        to naive in all, and whether any row has more false ejections than naive.
    """
    partial, full = 0.0, 0.0
    own_false, naive_false, any_worse = 0, 0, False
    for row in ROWS:
        for spec in (OPAC, BANCADA):
            own = results[(spec.name, row.name, "roadpass")]
            naive = results[(spec.name, row.name, "naive")]
            own_false += own.false_ejections
            naive_false += naive.false_ejections
            any_worse = any_worse or own.false_ejections > naive.false_ejections
            if row.detects and row.partial:
                partial = max(partial, own.p99_s / naive.p99_s)
            elif row.detects:
                full = max(full, own.p99_s / naive.p99_s)
    return partial, full, own_false / max(1, naive_false), any_worse


def main() -> None:
    """Print the tables and the JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--plot", help="write an SVG of detection times to this file")
    options = parser.parse_args()
    results = measure_rows(options.seeds)
    print_rows(results)
    partial, full, false_ratio, any_worse = ratios(results)
    wald = measure_wald()
    members, internal, overload_retries = measure_overload()
    weeks = {spec.name: measure_week(spec) for spec in (OPAC, BANCADA)}
    costs = measure_cost()
    print(f"samples over Wald's bound by failing share: {wald}")
    print(f"1.5 times capacity: members {members:.3f} of allowed, internal {internal:.3f} served")
    print(f"false ejections a target-week, none sick: {weeks}")
    print(f"one decision at 32 targets: {costs}")
    print(f"full faults, worst p99 to naive: {full:.2f}; any row with more false: {any_worse}")
    if options.plot:
        from benchmarks._plot import write_detection

        write_detection(options.plot, results)
    own = [result for key, result in results.items() if key[2] == "roadpass"]
    retry_max = max(*(result.retry_ratio for result in own), overload_retries)
    print(
        json.dumps(
            {
                "detect_p99_ratio_to_naive": round(partial, 3),
                "detect_p99_ratio_full": round(full, 3),
                "false_ejections_ratio_to_naive": round(false_ratio, 3),
                "any_row_more_false_ejections": any_worse,
                "false_ejections_target_week": weeks,
                "wald_ratio": round(max(wald.values()), 3),
                "floor_breaches": sum(result.floor_breaches for result in own),
                "overload_member_goodput": round(members, 3),
                "retry_ratio_max": round(retry_max, 4),
                **costs,
            }
        )
    )


if __name__ == "__main__":
    main()
