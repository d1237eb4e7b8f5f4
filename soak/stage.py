"""Runs one soak: its store, nodes, targets and callers, and the injected faults."""

import sched
import time
from collections.abc import Callable
from functools import partial
from math import inf
from pathlib import Path

from roadpass import clock
from soak import customer, plan
from soak.bounds import (
    LARGE_ROUTES,
    MAX_BODY_BYTES,
    NESTED_PREFIX,
    NESTED_ROUTE,
    LargeCaller,
    NearPathCaller,
)
from soak.caller import (
    HOST,
    LONG_DEADLINE_S,
    LONG_ROUTES,
    ROUTES,
    Caller,
    LongRouteCaller,
    PoisonCaller,
)
from soak.checker import GRACE_S, SLOTS
from soak.history import STORE, ConfigWrite, Disturbance, History, Instance
from soak.node import SoakNode
from soak.plan import PlannedFault
from soak.store import FaultyStore
from soak.target import SoakTarget
from soak.upload import BODY_BYTES, UPLOAD_ROUTES, UploadCaller
from stand_ins.store import config, entry, store_server

SERVICES, OVERLOADED = ("red", "blue"), "green"
"""Routes move between the first two services. A fourth of the targets runs the third one, which
gets half of the long routes and more requests than slots, so that requests queue at their own node
and at nodes of other VMs."""
KIND_BY_METHOD = {"GET": "idempotent", "POST": "non_idempotent"}
CALLERS, TICK_S, STORE_PORT = 12, 0.03, 8104
LONG_ROUTE_CALLERS = 2
"""Callers of long routes for each target."""
LARGE_CALLERS, NEAR_PATH_CALLERS = 6, 3
"""Callers of large bodies and of near paths, in runs with bounds."""
UPLOAD_CALLERS = 6
"""Callers of the upload route, in runs whose nodes share capacity under pressure."""
LONG_TIMEOUT = f"{LONG_DEADLINE_S + 5.0:g}s"
OBJECTIVES = {"e": "12s", "f": "12s", "g": "4s", "h": "4s", "l": "12s", "m": "12s"}
"""Latency objectives of long routes. Requests queue for a slot for a share of them: longer than a
stop takes on the first two routes, shorter on the others."""
START_LIMIT_S, END_LIMIT_S = 30.0, GRACE_S + 6.0
"""A busy machine starts and stops processes late; a process that is still running after the second
limit is a violation."""
SIGTERM_DELAYS_S, MOVE_DELAYS_S, REMOVAL_DELAY_S, EXPIRY_DELAY_S = (
    (0.0, 0.2, 1.0),
    (0.0, 0.1),
    1.2,
    0.8,
)
"""Delays of repeated signals and of repeated configuration writes; seconds from the start of a
target's drain, and from its crash, to the removal of its entry."""


BACKUP_AGES_S, REWRITE_DELAYS_S = (0.5, 2.0, 4.0), (0.0, 0.3, 1.5)
"""Ages of the backups from which the store is restored, and the delays until lost writes are
repeated. Without delay they are repeated before the store answers, so that it may be back at its
earlier revision; otherwise later."""
LIMITS_PER_S = (0.5, 3.0, 0.2, 1.1)
"""Limits that targets name, in requests a second."""
RESTART_DELAY_S = 2.0
"""Seconds from a crash by the poison request to the next start of the target."""


class Harness:
    """The processes and stand-ins of one soak, on addresses 127.0.<net>.x."""

    def __init__(
        self,
        folder: Path,
        history: History,
        processes: int,
        net: int,
        seed: int,
        *,
        ending: bool = False,
        pressure: bool = False,
        bounds: bool = False,
    ) -> None:
        self._history, self._bounds = history, bounds
        self._log = (folder / "faults.log").open("w", buffering=1)
        self._scheduler = sched.scheduler(clock.now, time.sleep)
        self._store = FaultyStore()
        self._server = store_server((f"127.0.{net}.250", STORE_PORT), self._store)
        self._server.start_thread()
        self._routes = ROUTES | LONG_ROUTES | (UPLOAD_ROUTES if pressure else {})
        self._routes |= LARGE_ROUTES if bounds else {}
        self._services = dict.fromkeys(self._routes, "blue") | {"b": "red", "g": "red"}
        self._services |= {"e": OVERLOADED, "f": OVERLOADED}
        self._movable_routes = [
            name for name, service in self._services.items() if service in SERVICES
        ]
        self._write_config(0)
        self._targets: list[SoakTarget] = []
        for number in range(1, processes + 1):
            instance = Instance(f"i-{number}-1", _service(number), f"node-{number}")
            self._targets.append(SoakTarget(f"127.0.{net}.{number}", instance, history))
            self._targets[-1].on_crash = self._on_crash
            self._publish(self._targets[-1])
        store = f"127.0.{net}.250:{STORE_PORT}"
        self._nodes = [
            SoakNode(target, folder, store, history, pressure=pressure, bounds=bounds)
            for target in self._targets
        ]
        self._callers = [Caller(f"c{n}", history, self._nodes, seed) for n in range(CALLERS)]
        long_route_callers = range(LONG_ROUTE_CALLERS * processes)
        self._callers += [
            LongRouteCaller(f"p{n}", history, self._nodes, seed) for n in long_route_callers
        ]
        if pressure:
            self._callers += [
                UploadCaller(f"u{n}", history, self._nodes, seed) for n in range(UPLOAD_CALLERS)
            ]
        if bounds:
            self._callers += [
                LargeCaller(f"l{n}", history, self._nodes, seed) for n in range(LARGE_CALLERS)
            ]
            self._callers += [
                NearPathCaller(f"n{n}", history, self._nodes, seed)
                for n in range(NEAR_PATH_CALLERS)
            ]
        if ending:
            self._callers.append(PoisonCaller("e", history, self._nodes, seed))

    def run(self, faults: list[PlannedFault], seconds: float) -> None:
        """Start the callers, inject the faults, and stop all nodes under load."""
        self._wait(lambda: not any(node.downtime for node in self._nodes), START_LIMIT_S)
        self._history.started_at = clock.now()
        self._store.set_fault("")
        for planned in faults:
            self._schedule(planned.at, self._apply, planned)
        self._schedule(seconds, time.sleep, 0.0)
        for caller in self._callers:
            caller.start()
        self._wait(self._scheduler.empty, inf)
        self._wait(lambda: not any(node.downtime for node in self._nodes), START_LIMIT_S)
        for node in self._nodes:
            node.restarts = False
            node.stop()
        self._wait(lambda: all(node.process.exited_at < inf for node in self._nodes), END_LIMIT_S)
        for caller in self._callers:
            caller.stopped.set()
            caller.join()

    def close(self) -> None:
        """Stop all nodes, targets and the store."""
        for node, target in zip(self._nodes, self._targets, strict=True):
            node.close()
            target.shutdown()
            target.server_close()
        self._store.set_fault("")
        self._server.stop()
        self._log.close()

    def _apply(self, planned: PlannedFault) -> None:
        node, target = self._nodes[planned.node], self._targets[planned.node]
        self._log.write(
            f"{clock.now():.3f} {planned.fault} {node.name} {planned.duration_s:.2f} s\n"
        )
        ends_target = planned.fault in ("drain", "crash", plan.LEAVE, plan.WITHDRAW)
        ends_at = min(target.instance.leaving_at, target.instance.withdrawn_at)
        if ends_target and (target.down or ends_at < inf):
            return
        match planned.fault:
            case "term" | "term-repeated":
                for delay_s in SIGTERM_DELAYS_S if planned.fault == "term-repeated" else (0.0,):
                    self._schedule(delay_s, node.stop)
            case "kill":
                node.kill()
            case "pause":
                self._inject(node.name, node.set_paused, planned)
            case "drain":
                self._store.put(*_entry(target, "draining"))
                target.instance.draining_at = clock.now()
                self._schedule(REMOVAL_DELAY_S, self._store.delete, _entry(target)[0])
                self._schedule(planned.duration_s, target.restart)
                self._schedule(planned.duration_s, self._publish, target)
            case plan.WITHDRAW if target.instance.is_listed:
                self._store.delete(_entry(target)[0])
                target.instance.withdrawn_at = clock.now()
                self._schedule(planned.duration_s, target.restart)
                self._schedule(planned.duration_s, self._publish, target)
            case plan.WITHDRAW:
                pass
            case fault if fault in plan.WATCH_FAULTS:
                self._store.fail_watch(fault)
            case "crash":
                self._history.begin_disturbance(target.instance.name, "crash")
                self._schedule(EXPIRY_DELAY_S, self._store.delete, _entry(target)[0])
                target.restart()
                self._schedule(EXPIRY_DELAY_S, self._publish, target)
            case plan.LIMIT | plan.LIMIT_CHANGES:
                self._name_limits(target, planned)
            case plan.LEAVE if target.instance.draining_at == inf:
                target.instance.leaving_at = clock.now()
                self._schedule(planned.duration_s, self._end_leaving, target)
            case plan.LEAVE:
                pass
            case "move" | "move-twice":
                for number, delay_s in enumerate(
                    MOVE_DELAYS_S if planned.fault == "move-twice" else (0.0,)
                ):
                    self._schedule(delay_s, self._write_config, planned.variant >> 2 * number)
            case plan.STORE_RESTORED:
                disturbance = self._history.begin_disturbance(STORE, planned.fault)
                self._store.set_fault(planned.fault)
                self._schedule(planned.duration_s, self._restore_store, planned, disturbance)
            case fault if fault.startswith(STORE):
                self._inject(STORE, self._store.set_fault, planned)
            case _:
                self._inject(target.instance.name, partial(setattr, target, "fault"), planned)

    def _name_limits(self, target: SoakTarget, planned: PlannedFault) -> None:
        """Let a target name a limit for a time, which may change in between."""
        first, instance = planned.variant % len(LIMITS_PER_S), target.instance
        limits = [LIMITS_PER_S[first]]
        if planned.fault == plan.LIMIT_CHANGES:
            limits.append(LIMITS_PER_S[(first + 1) % len(LIMITS_PER_S)])

        def set_limit(limit_per_s: float) -> None:
            if target.instance is instance:
                target.set_limit(limit_per_s)

        for number, limit_per_s in enumerate([*limits, inf]):
            delay_s = planned.duration_s * number / len(limits)
            self._schedule(delay_s, set_limit, limit_per_s)

    def _end_leaving(self, target: SoakTarget) -> None:
        """End a target that has said that it leaves, and start it as another instance."""
        if target.down:
            return
        self._store.delete(_entry(target)[0])
        self._history.begin_disturbance(target.instance.name, "crash")
        target.restart()
        self._publish(target)

    def _schedule(self, delay_s: float, action: Callable[..., None], *args: object) -> None:
        self._scheduler.enter(delay_s, 1, action, args)

    def _inject(
        self, subject: str, set_fault: Callable[[str], None], planned: PlannedFault
    ) -> None:
        disturbance = self._history.begin_disturbance(subject, planned.fault)
        set_fault(planned.fault)
        self._schedule(planned.duration_s, set_fault, "")
        self._schedule(planned.duration_s, lambda: setattr(disturbance, "end", clock.now()))

    def _restore_store(self, planned: PlannedFault, disturbance: Disturbance) -> None:
        """Restore the store from a backup, and repeat the lost writes at once or after a delay."""
        self._store.restore_from(BACKUP_AGES_S[planned.variant % len(BACKUP_AGES_S)])
        delay_s = REWRITE_DELAYS_S[planned.variant // len(BACKUP_AGES_S) % len(REWRITE_DELAYS_S)]
        if not delay_s:
            self._store.rewrite_lost()
        self._store.set_fault("")
        self._schedule(delay_s, self._store.rewrite_lost)
        self._schedule(delay_s, lambda: setattr(disturbance, "end", clock.now()))

    def _publish(self, target: SoakTarget) -> None:
        self._store.put(*_entry(target))
        target.instance.published_at = clock.now()
        self._history.instances.append(target.instance)

    def _on_crash(self, target: SoakTarget) -> None:
        """Start a crashed target again after its entry has expired."""
        self._history.begin_disturbance(target.instance.name, "crash")
        self._schedule(EXPIRY_DELAY_S, self._store.delete, _entry(target)[0])
        self._schedule(RESTART_DELAY_S, target.start)
        self._schedule(RESTART_DELAY_S, self._publish, target)

    def _write_config(self, route_number: int) -> None:
        """Write the next version, with one of the routes moved to the other service."""
        route = self._movable_routes[route_number % len(self._movable_routes)]
        self._services[route] = SERVICES[self._services[route] == SERVICES[0]]
        version = len(self._history.configurations) + 1
        services, methods = dict(self._services), self._routes.items()
        rows = [[r, HOST, f"/{r}/", _kind(r, m), services[r], None] for r, m in methods]
        services[NESTED_ROUTE] = services["a"]  # that takes its paths while there is no such route
        if self._bounds and version % 2 == 0:
            services[NESTED_ROUTE] = SERVICES[services["a"] == SERVICES[0]]
            nested = [NESTED_ROUTE, HOST, NESTED_PREFIX, "idempotent", services[NESTED_ROUTE], None]
            rows.append(nested)
        written = ConfigWrite(clock.now(), version, services)
        self._history.configurations.append(written)
        value = config(version, rows, (*SERVICES, OVERLOADED), customer.rows(version))
        value["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES if self._bounds else 2 * BODY_BYTES[1]
        columns = value["Routes"]["Columns"]
        for row in value["Routes"]["Rows"]:
            if row[0] in LONG_ROUTES | LARGE_ROUTES:
                row[columns.index("Timeout")] = LONG_TIMEOUT
                row[columns.index("TargetLatency")] = OBJECTIVES[row[0]]
        self._store.put("op/config", value)

    def _wait(self, done: Callable[[], bool], limit_s: float) -> None:
        """Run scheduled faults and watch the nodes until `done` holds, at most for `limit_s`."""
        until = clock.now() + limit_s
        while not done() and clock.now() < until:
            self._scheduler.run(blocking=False)
            for node in self._nodes:
                node.tick()
            time.sleep(TICK_S)


def _kind(route: str, method: str) -> str:
    return "upload" if route in UPLOAD_ROUTES else KIND_BY_METHOD[method]


def _service(number: int) -> str:
    """Return the service of a node's target."""
    return OVERLOADED if number % 4 == 3 else SERVICES[number % 2]


def _entry(target: SoakTarget, state: str = "ready") -> tuple[str, object]:
    """Return key and value of a target's entry in the store."""
    value = entry(target.address, service=target.instance.service, state=state)
    value["Info"]["Capacity"] = SLOTS
    return f"servers/{target.instance.name}", value
