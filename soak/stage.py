"""Everything of one soak: store, nodes, targets, callers, and the faults that befall them."""

import sched
import time
from collections.abc import Callable
from functools import partial
from math import inf
from pathlib import Path

from roadpass import clock
from soak import customer, plan
from soak.caller import (
    HOST,
    LONG_DEADLINE_S,
    LONG_ROUTES,
    ROUTES,
    Caller,
    EndingCaller,
    PatientCaller,
)
from soak.checker import GRACE_S, SLOTS
from soak.history import STORE, Configured, History, Instance, Trouble
from soak.node import SoakNode
from soak.plan import Step
from soak.store import FaultyStore
from soak.target import SoakTarget
from stand_ins.store import config, entry, store_server

SERVICES, CROWDED = ("red", "blue"), "green"
"""Routes move between two of them; a fourth of the targets has the third, with half of the long
routes and more requests than slots, so that they wait, here and beside other VMs."""
KINDS = {"GET": "idempotent", "POST": "non_idempotent"}
CALLERS, TICK_S, STORE_PORT = 12, 0.03, 8104
PATIENT = 2
"""Patient callers a target."""
LONG_TIMEOUT = f"{LONG_DEADLINE_S + 5.0:g}s"
OBJECTIVES = {"e": "12s", "f": "12s", "g": "4s", "h": "4s"}
"""Of long routes; requests wait for a slot for a share of it: more than a stop takes, and less."""
START_LIMIT_S, END_LIMIT_S = 30.0, GRACE_S + 6.0
"""A busy machine starts and ends processes late; what has not ended by then is a finding."""
REPEATS_S, TWICE_S, WITHDRAWN_S, LAPSE_S = (0.0, 0.2, 1.0), (0.0, 0.1), 1.2, 0.8
"""When signals are sent and configurations written, if repeated; and seconds from a target's
leaving, and from its crash, to the end of its entry."""


BACKUP_AGES_S, AGAIN_S = (0.5, 2.0, 4.0), (0.0, 0.3, 1.5)
"""How old a backup is from which the store is restored, and when what it lost is written again:
before it answers, so that revisions may be where they were, or later."""
BACK_S = 2.0
"""Seconds from the end of a target under a request to its next start."""


class Stage:
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
    ) -> None:
        self._history = history
        self._log = (folder / "faults.log").open("w", buffering=1)
        self._scheduler = sched.scheduler(clock.now, time.sleep)
        self._store = FaultyStore()
        self._server = store_server((f"127.0.{net}.250", STORE_PORT), self._store)
        self._server.start_thread()
        self._routes = ROUTES | LONG_ROUTES
        self._services = dict.fromkeys(self._routes, "blue") | {"b": "red", "g": "red"}
        self._services |= {"e": CROWDED, "f": CROWDED}
        self._moving = [name for name, service in self._services.items() if service in SERVICES]
        self._write_config(0)
        self._targets: list[SoakTarget] = []
        for number in range(1, processes + 1):
            instance = Instance(f"i-{number}-1", _service(number), f"node-{number}")
            self._targets.append(SoakTarget(f"127.0.{net}.{number}", instance, history))
            self._targets[-1].on_end = self._on_end
            self._publish(self._targets[-1])
        store = f"127.0.{net}.250:{STORE_PORT}"
        self._nodes = [SoakNode(target, folder, store, history) for target in self._targets]
        self._callers = [Caller(f"c{n}", history, self._nodes, seed) for n in range(CALLERS)]
        patient = range(PATIENT * processes)
        self._callers += [PatientCaller(f"p{n}", history, self._nodes, seed) for n in patient]
        if ending:
            self._callers.append(EndingCaller("e", history, self._nodes, seed))

    def play(self, steps: list[Step], seconds: float) -> None:
        """Start callers, apply the faults, and stop all nodes under the callers' load."""
        self._wait(lambda: not any(node.down for node in self._nodes), START_LIMIT_S)
        self._history.began = clock.now()
        self._store.fail("")
        for step in steps:
            self._later(step.at, self._apply, step)
        self._later(seconds, time.sleep, 0.0)
        for caller in self._callers:
            caller.start()
        self._wait(self._scheduler.empty, inf)
        self._wait(lambda: not any(node.down for node in self._nodes), START_LIMIT_S)
        for node in self._nodes:
            node.restarts = False
            node.stop()
        self._wait(lambda: all(node.life.ended < inf for node in self._nodes), END_LIMIT_S)
        for caller in self._callers:
            caller.stopped.set()
            caller.join()

    def close(self) -> None:
        """End what was started."""
        for node, target in zip(self._nodes, self._targets, strict=True):
            node.close()
            target.shutdown()
            target.server_close()
        self._store.fail("")
        self._server.stop()
        self._log.close()

    def _apply(self, step: Step) -> None:
        node, target = self._nodes[step.node], self._targets[step.node]
        self._log.write(f"{clock.now():.3f} {step.fault} {node.name} {step.lasts_s:.2f} s\n")
        if target.down and step.fault in ("drain", "crash"):
            return
        match step.fault:
            case "term" | "term-repeated":
                for delay_s in REPEATS_S if step.fault == "term-repeated" else (0.0,):
                    self._later(delay_s, node.stop)
            case "kill":
                node.kill()
            case "pause":
                self._fail(node.name, node.hold, step)
            case "drain":
                self._store.put(*_item(target, "draining"))
                target.instance.left = clock.now()
                self._later(WITHDRAWN_S, self._store.delete, _item(target)[0])
                self._later(step.lasts_s, target.crash)
                self._later(step.lasts_s, self._publish, target)
            case "crash":
                self._history.trouble(target.instance.name, "crash")
                self._later(LAPSE_S, self._store.delete, _item(target)[0])
                target.crash()
                self._later(LAPSE_S, self._publish, target)
            case "move" | "move-twice":
                for number, delay_s in enumerate(TWICE_S if step.fault == "move-twice" else (0.0,)):
                    self._later(delay_s, self._write_config, step.pick >> 2 * number)
            case plan.RESTORED:
                trouble = self._history.trouble(STORE, step.fault)
                self._store.fail(step.fault)
                self._later(step.lasts_s, self._restore_store, step, trouble)
            case fault if fault.startswith(STORE):
                self._fail(STORE, self._store.fail, step)
            case _:
                self._fail(target.instance.name, partial(setattr, target, "fault"), step)

    def _later(self, delay_s: float, what: Callable[..., None], *args: object) -> None:
        self._scheduler.enter(delay_s, 1, what, args)

    def _fail(self, subject: str, fail: Callable[[str], None], step: Step) -> None:
        trouble = self._history.trouble(subject, step.fault)
        fail(step.fault)
        self._later(step.lasts_s, fail, "")
        self._later(step.lasts_s, lambda: setattr(trouble, "end", clock.now()))

    def _restore_store(self, step: Step, trouble: Trouble) -> None:
        """Bring the store back from a backup; what that lost is written again, then or later."""
        self._store.restore_from(BACKUP_AGES_S[step.pick % len(BACKUP_AGES_S)])
        delay_s = AGAIN_S[step.pick // len(BACKUP_AGES_S) % len(AGAIN_S)]
        if not delay_s:
            self._store.write_again()
        self._store.fail("")
        self._later(delay_s, self._store.write_again)
        self._later(delay_s, lambda: setattr(trouble, "end", clock.now()))

    def _publish(self, target: SoakTarget) -> None:
        self._store.put(*_item(target))
        target.instance.born = clock.now()
        self._history.instances.append(target.instance)

    def _on_end(self, target: SoakTarget) -> None:
        """Have a target that has ended start again once its entry has lapsed."""
        self._history.trouble(target.instance.name, "crash")
        self._later(LAPSE_S, self._store.delete, _item(target)[0])
        self._later(BACK_S, target.start_again)
        self._later(BACK_S, self._publish, target)

    def _write_config(self, moved: int) -> None:
        """Write the next version, with one of the routes moved to the other service."""
        route = self._moving[moved % len(self._moving)]
        self._services[route] = SERVICES[self._services[route] == SERVICES[0]]
        version = len(self._history.configurations) + 1
        of, methods = self._services, self._routes.items()
        rows = [[r, HOST, f"/{r}/", KINDS[m], of[r], None] for r, m in methods]
        written = Configured(clock.now(), version, dict(self._services))
        self._history.configurations.append(written)
        value = config(version, rows, (*SERVICES, CROWDED), customer.rows(version))
        columns = value["Routes"]["Columns"]
        for row in value["Routes"]["Rows"]:
            if row[0] in LONG_ROUTES:
                row[columns.index("Timeout")] = LONG_TIMEOUT
                row[columns.index("TargetLatency")] = OBJECTIVES[row[0]]
        self._store.put("op/config", value)

    def _wait(self, done: Callable[[], bool], limit_s: float) -> None:
        """Do what is due until all is done, or for so long."""
        until = clock.now() + limit_s
        while not done() and clock.now() < until:
            self._scheduler.run(blocking=False)
            for node in self._nodes:
                node.tick()
            time.sleep(TICK_S)


def _service(number: int) -> str:
    """Return the service of a node's target."""
    return CROWDED if number % 4 == 3 else SERVICES[number % 2]


def _item(target: SoakTarget, state: str = "ready") -> tuple[str, object]:
    """Return key and value of a target's entry in the store."""
    value = entry(target.address, service=target.instance.service, state=state)
    value["Info"]["Capacity"] = SLOTS
    return f"servers/{target.instance.name}", value
