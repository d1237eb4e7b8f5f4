"""A small language for failure scenarios, and its runner with real processes.

One step per line; `#` starts a comment:

    fleet NAME [keyed]              documents under examples/NAME; keyed: with a MAC
    callers VM ...                  ingresses that callers use
    traffic METHOD PATH RATE        requests per second
    run SECONDS                     length of the traffic
    at SECONDS FAULT [for SECONDS]  a fault, undone after a while
    expect CHECK

Faults: `kill VM`, `restart VM`, `stop VM`, `freeze VM`, `cut VM,.. to VM,..`, `platform down`,
`platform stale N`, `target NAME FIELD=VALUE ..`, `label TARGET KEY VALUE`, `leaving TARGET`,
`broken` (publishes an invalid revision), `race` (two operators, one number), `vms-leaving VM`.
Checks: see `Run._check`.
"""

import json
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import jsonyx
import jsonyx.allow
from testtools.assertions import assert_that
from testtools.matchers import AnyMatch, Equals, GreaterThan, HasLength, LessThan, MatchesRegex, Not

from roadpass import clock
from stand_ins.caller import Caller, Load, Result
from stand_ins.launcher import Launcher
from tests.relay import Relay

RELAY_OFFSET = 100
SETTLE_S = 45.0
KEY = "a key for tests only"
CALLER_THREADS = 8


class Fault(NamedTuple):
    """A fault, undone after `length_s` unless that is `None`."""

    at_s: float
    words: tuple[str, ...]
    length_s: float | None


class Scenario(NamedTuple):
    """A parsed scenario."""

    fleet: str
    keyed: bool
    callers: tuple[str, ...]
    loads: tuple[Load, ...]
    run_s: float
    faults: tuple[Fault, ...]
    checks: tuple[tuple[str, ...], ...]

    @classmethod
    def from_file(cls, path: Path) -> "Scenario":
        """Parse a scenario; raise `ValueError` for an unknown step."""
        fields: dict[str, Any] = {"loads": [], "faults": [], "checks": [], "keyed": False}
        for line in path.read_text().splitlines():
            words = line.partition("#")[0].split()
            match words:
                case []:
                    pass
                case ["fleet", name, *options]:
                    fields["fleet"] = name
                    fields["keyed"] = "keyed" in options
                case ["callers", *vms]:
                    fields["callers"] = tuple(vms)
                case ["traffic", method, route, rate]:
                    fields["loads"].append(Load(method, route, float(rate)))
                case ["run", seconds]:
                    fields["run_s"] = float(seconds)
                case ["at", at, *rest, "for", seconds]:
                    fields["faults"].append(Fault(float(at), tuple(rest), float(seconds)))
                case ["at", at, *rest]:
                    fields["faults"].append(Fault(float(at), tuple(rest), None))
                case ["expect", *check]:
                    fields["checks"].append(tuple(check))
                case _:
                    raise ValueError(f"{path.name}: unknown step: {line}")
        for name in ("loads", "faults", "checks"):
            fields[name] = tuple(fields[name])
        return cls(**fields)


class Run:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        options: dict[str, Any] = {}
        if scenario.keyed:
            options["settings"] = {"keys": [KEY]}
        self._fleet = Launcher.from_example(scenario.fleet, **options)
        self._relay: Relay | None = None
        if any(fault.words[0] == "cut" for fault in scenario.faults):
            net = self._fleet.net + RELAY_OFFSET
            self._fleet = Launcher.from_example(scenario.fleet, advertise_net=net, **options)
            self._relay = Relay(self._fleet.net, net, len(self._fleet.vms))
        self._results: list[Result] = []
        self._exits: dict[str, int] = {}
        self._stops: list[threading.Thread] = []
        self._down: set[str] = set()
        self._started = 0.0

    def run(self) -> None:
        """Run the traffic and the faults, then all checks."""
        if self._relay:
            self._relay.start()
        try:
            with self._fleet:
                self._go()
                for check in self._scenario.checks:
                    self._check(check)
        finally:
            if self._relay:
                self._relay.stop()

    def _go(self) -> None:
        addresses = [self._fleet.ingress(vm) for vm in self._scenario.callers]
        caller = Caller(addresses, threads=CALLER_THREADS)
        self._started = clock.now()
        traffic = threading.Thread(
            target=caller.run, args=(self._scenario.loads, self._scenario.run_s)
        )
        traffic.start()
        for at_s, action in self._timeline():
            time.sleep(max(0.0, self._started + at_s - clock.now()))
            action()
        traffic.join()
        for stop in self._stops:
            stop.join()
        self._results = caller.results

    def _timeline(self) -> list[tuple[float, Callable[[], None]]]:
        steps: list[tuple[float, Callable[[], None]]] = []
        for fault in self._scenario.faults:
            begin, undo = self._fault(fault.words)
            steps.append((fault.at_s, begin))
            if fault.length_s is not None:
                steps.append((fault.at_s + fault.length_s, undo))
        return sorted(steps, key=lambda step: step[0])

    def _fault(self, words: tuple[str, ...]) -> tuple[Callable[[], None], Callable[[], None]]:
        fleet = self._fleet
        match words:
            case ("kill", vm):
                return lambda: self._kill(vm), lambda: self._restart(vm)
            case ("stop", vm):
                return lambda: self._stop(vm), lambda: self._restart(vm)
            case ("freeze", vm):
                return (
                    lambda: fleet.signal(vm, signal.SIGSTOP),
                    lambda: fleet.signal(vm, signal.SIGCONT),
                )
            case ("cut", sources, "to", destinations):
                return self._cut(sources.split(","), destinations.split(","))
            case ("platform", "down"):
                return (
                    lambda: fleet.platform_control(down=True),
                    lambda: fleet.platform_control(down=False),
                )
            case ("platform", "stale", number):
                return (
                    lambda: fleet.platform_control(stale=int(number)),
                    lambda: fleet.platform_control(stale=None),
                )
            case ("target", name, *changes):
                behaviour = {k: json.loads(v) for k, _, v in (c.partition("=") for c in changes)}
                return (
                    lambda: fleet.target_control(name, **behaviour),
                    lambda: fleet.target_control(name),
                )
            case ("label", name, key, value):
                return self._publish(lambda t: t[name]["labels"].update({key: value})), _nothing
            case ("leaving", name):
                return self._publish(lambda t: t[name].update(leaving=True)), _nothing
            case ("broken",):
                return self._broken, _nothing
            case ("race",):
                return self._race, _nothing
            case ("vms-leaving", vm):
                return lambda: fleet.set_vms([vm]), lambda: fleet.set_vms([])
        raise ValueError(f"unknown fault: {' '.join(words)}")

    def _kill(self, name: str) -> None:
        self._down.add(name)
        self._fleet.kill(name)

    def _restart(self, name: str) -> None:
        if name in self._fleet.fleet.targets:
            self._fleet.start_target(name)
        else:
            self._fleet.start_node(name)
        self._down.discard(name)

    def _stop(self, vm: str) -> None:
        self._down.add(vm)

        def stop() -> None:
            self._exits[vm] = self._fleet.stop(vm)

        thread = threading.Thread(target=stop)
        thread.start()
        self._stops.append(thread)

    def _cut(
        self, sources: list[str], destinations: list[str]
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        assert self._relay is not None
        relay = self._relay
        one = [self._fleet.address(vm) for vm in sources]
        other = [self._fleet.address(vm) for vm in destinations]
        return lambda: relay.cut(one, other), lambda: relay.heal(one, other)

    def _publish(self, change: Callable[[dict[str, Any]], Any]) -> Callable[[], None]:
        def publish() -> None:
            documents = self._changed(change)
            self._fleet.documents = documents
            self._fleet.publish(documents)

        return publish

    def _changed(self, change: Callable[[dict[str, Any]], Any]) -> dict[str, str]:
        allow = jsonyx.allow.COMMENTS | jsonyx.allow.TRAILING_COMMA
        value = jsonyx.loads(self._fleet.documents["targets"], allow=allow)
        change(value["targets"])
        return {**self._fleet.documents, "targets": json.dumps(value)}

    def _broken(self) -> None:
        self._fleet.publish({"all": '{"services": 7}'})

    def _race(self) -> None:
        """Publish different contents under one revision number, one after the other."""
        for value in ("one", "two"):
            documents = self._changed(partial(_set_race, value))
            self._fleet.publish(documents, revision=2)
            time.sleep(0.7)

    def _check(self, check: tuple[str, ...]) -> None:
        """Run one check; raise `AssertionError` with the values found if it fails."""
        match check:
            case ("promises",):
                self._check_promises()
            case ("answered", ">=", percent):
                answered = sum(result.outcome == "answered" for result in self._results)
                share = 100.0 * answered / len(self._results)
                assert_that(share, Not(LessThan(float(percent))), str(self._outcomes()))
            case ("lost", count):
                lost = sum(result.outcome == "lost" for result in self._results)
                assert_that(lost, Equals(int(count)), str(self._outcomes()))
            case ("outcome", name, "<=", count):
                found = sum(result.outcome == name for result in self._results)
                assert_that(found, Not(GreaterThan(int(count))), str(self._outcomes()))
            case ("outcome", name, ">=", count):
                found = sum(result.outcome == name for result in self._results)
                assert_that(found, Not(LessThan(int(count))), str(self._outcomes()))
            case ("exit", vm, code):
                assert_that(self._exits[vm], Equals(int(code)), self._fleet.log(vm)[-2000:])
            case ("revision", number):
                self._eventually(lambda: self._revisions() == {int(number)}, self._revisions)
            case ("one-digest",):
                self._eventually(lambda: len(self._digests()) == 1, self._digests)
            case ("members", count):
                wanted = {int(count)}
                self._eventually(lambda: self._statuses("members") == wanted, self._members)
            case ("quiet", name, "after", seconds):
                after = self._started + float(seconds)
                late = [r for r in self._results if r.target == name and r.started > after]
                assert_that(late, HasLength(0), f"{len(late)} requests reached {name} late")
            case ("share", name, "<=", percent, "after", seconds):
                self._check_share(name, float(percent), self._started + float(seconds))
            case ("audit", vm, kind, *words):
                pattern = " ".join(words)
                events = self._fleet.admin(vm, "/audit")
                lines = [f"{e['subject']} {e['evidence']}" for e in events if e["kind"] == kind]
                assert_that(lines, AnyMatch(MatchesRegex(f".*{pattern}")))
            case _:
                raise ValueError(f"unknown check: {' '.join(check)}")

    def _check_promises(self) -> None:
        begun: Counter[str] = Counter()
        for name in self._fleet.fleet.targets:
            if name not in self._down:
                begun.update(self._fleet.ledger(name)["begun"])
        methods = {load.path: load.method for load in self._scenario.loads}
        twice = [r for r in self._results if methods[r.path] == "POST" and begun[r.id] > 1]
        assert_that(twice, HasLength(0), "not repeatable, but ran twice")
        ran = [r for r in self._results if r.outcome == "not-run" and begun[r.id]]
        assert_that(ran, HasLength(0), "reported as not run, but ran")
        wrong = [result for result in self._results if result.wrong]
        assert_that(wrong, HasLength(0), "wrong answers")
        assert_that(self._results, Not(HasLength(0)), "no traffic")

    def _check_share(self, name: str, percent: float, after: float) -> None:
        fleet = self._fleet.fleet
        service = fleet.targets[name].service
        peers = {target.name for target in fleet.targets_of(service)}
        late = [r for r in self._results if r.started > after and r.target in peers]
        share = 100.0 * sum(r.target == name for r in late) / max(1, len(late))
        assert_that(share, Not(GreaterThan(percent)), f"share of {name} in {len(late)} answers")

    def _eventually(self, condition: Callable[[], bool], found: Callable[[], Any]) -> None:
        deadline = clock.now() + SETTLE_S
        while not condition():
            assert clock.now() < deadline, f"condition not met in time, last value: {found()}"
            time.sleep(0.1)

    def _statuses(self, field: str) -> set[Any]:
        live = [vm for vm in self._fleet.vms if vm not in self._down]
        return {self._fleet.admin(vm, "/status")[field] for vm in live}

    def _revisions(self) -> set[Any]:
        return self._statuses("revision")

    def _digests(self) -> set[Any]:
        return self._statuses("digest")

    def _members(self) -> set[Any]:
        return self._statuses("members")

    def _outcomes(self) -> Counter[str]:
        return Counter(f"{r.path} {r.status} {r.outcome} {r.reason}" for r in self._results)


def _nothing() -> None:
    """Do nothing: the fault cannot be undone."""


def _set_race(value: str, targets: dict[str, Any]) -> None:
    first = next(iter(targets.values()))
    first["labels"]["race"] = value
