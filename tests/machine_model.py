"""Nodes that run the real code in the virtual world, with targets that have gray failures."""

import functools
import json
import threading
from types import ModuleType
from typing import Any

from roadpass import (
    capacity_exchange,
    dispatch,
    exchange,
    local_target,
    pause,
    peer_pool,
    repeat_guide,
    request_log,
    request_order,
    request_state,
    sidecar,
    slot_offers,
    slot_wait,
    slots,
    stream,
    stream_server,
    target_admission,
    target_chooser,
    transport,
    view,
    wait_announcer,
    waiting_requests,
)
from roadpass.fleet import Fleet
from roadpass.request import Request
from roadpass.settings import Ports, Settings
from roadpass.view import PeerNode, View
from tests.gray_target import (
    MAX_ATTEMPTS,
    Ledger,
    ModelClient,
    ModelTarget,
    SentRequest,
    TargetMode,
    Watch,
)
from tests.virtual import Connection, Hold, Pipe, Process, Swap, World, virtual_modules

PLACES: dict[ModuleType, tuple[str, ...]] = {
    target_chooser: ("clock", "time"),
    dispatch: ("clock",),
    exchange: ("clock",),
    local_target: ("clock", "threading"),
    pause: ("clock", "time"),
    peer_pool: ("clock",),
    repeat_guide: ("clock",),
    sidecar: ("clock", "time"),
    slots: ("clock", "threading"),
    stream: ("clock", "select", "socket"),
    target_admission: ("clock",),
    transport: ("clock",),
    request_state: ("clock",),
    request_log: ("clock",),
    capacity_exchange: ("clock",),
    slot_offers: ("clock",),
    slot_wait: ("clock", "time"),
    wait_announcer: ("clock",),
    waiting_requests: ("clock", "WakeSignal"),
    view: ("clock",),
    request_order: ("clock",),
}
VMS = ("vm-1", "vm-2", "vm-3")
TARGETS = {"t1": "vm-1", "t2": "vm-2", "t3": "vm-2", "t4": "vm-3"}
RETRY_RATIO = 2.0
"""Repeats allowed per request: so many that the budget never prevents a wrong retry."""
PORT = 7000
KEYS = (b"k" * 16,)
CLOCK_OFFSET_S = 1000.0
"""Clock difference between one VM and the next, in seconds."""
FLEET_AGE_S = 200.0
"""Age of the fleet at the start: sidecars vouch for keys only once they are 180 s old."""
WINDOW_S = 170.0
"""Seconds within which a repeat with a key must reach dispatch to be covered by the guarantee.

Sidecars remember a key for 180 s. A repeat that an ingress dispatches later, after a pause of its
process, counts as new work.
"""


@functools.cache
def fleet() -> Fleet:
    """Return the fleet: one service with four targets on three VMs."""
    value = {
        "services": {"s": {"floor_slots": 1, "queue_limit": 2}},
        "targets": {
            name: {"service": "s", "vm": vm, "address": "127.0.0.1:1", "slots": 1}
            for name, vm in TARGETS.items()
        },
        "routes": {
            "get": {"path": "/", "methods": ["GET"], "service": "s", "repeatable": True},
            "post": {"path": "/", "methods": ["POST"], "service": "s"},
        },
    }
    made = Fleet.from_documents([("all", json.dumps(value))], revision=1, digest="d")
    routes = dict(made.routes)
    routes["get"] = routes["get"]._replace(max_attempts=MAX_ATTEMPTS)
    service = made.services["s"]._replace(retry_ratio=RETRY_RATIO)
    return Fleet({"s": service}, made.targets, routes, (), revision=1, digest="d")


class _StopAfterOneCheck(threading.Event):
    """Stop event that lets the loop of the pause watch run once."""

    def __init__(self) -> None:
        super().__init__()
        self._waits = 0

    def wait(self, timeout: float | None = None) -> bool:
        self._waits += 1
        return self._waits > 1


class Node:
    """One process with a real ingress and a real sidecar, connected as in `roadpass.node`."""

    def __init__(self, world: World, vm: str, incarnation: int, targets: list[ModelTarget]) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.process = Process(vm, CLOCK_OFFSET_S * VMS.index(vm))
        self.was_frozen = False
        self._world = world
        with world.acting(self.process):
            self._build(targets)
        world.listeners[vm] = (self.process, self._accept)

    def _build(self, targets: list[ModelTarget]) -> None:
        self.pause = pause.PauseWatch()
        self.sidecar = sidecar.Sidecar(
            self.vm,
            self.incarnation,
            self.pause,
            pull=lambda message: message,
            behind=lambda vm, revision: None,
        )
        self.sidecar.configure(fleet())
        for target in targets:
            if TARGETS[target.name] == self.vm:
                client = ModelClient(self._world, target)
                self.sidecar.targets[target.name]._exchange._client = client
        ports = Ports(callers=1, stream=PORT, gossip=2, admin=3)
        settings = Settings(self.vm, "hall", "region", self.vm, self.vm, ports, "", keys=KEYS)
        self._server = stream_server.StreamServer(settings, self.sidecar)
        self.dispatcher = dispatch.Dispatcher(
            _view(self.vm),
            self.incarnation,
            self.sidecar,
            peer_pool.PeerPool(self.sidecar.hello(), KEYS),
            self.pause,
            behind=lambda vm, revision: None,
            seed=self.incarnation,
        )

    def tick(self) -> None:
        """Do the work of the node's periodic tasks: detect pauses, and drop expired fences."""
        if self.process.frozen:
            return
        with self._world.acting(self.process):
            if self.was_frozen:
                self.pause._stopped = _StopAfterOneCheck()
                self.pause._run()
            self.was_frozen = False
            self.pause._last_tick = self._world.now + self.process.offset
            self.sidecar.expire()

    def freeze(self) -> None:
        """Freeze the process; its kernel still accepts bytes and connections."""
        self.process.frozen = self.was_frozen = True

    def wake(self, ticker_first: bool) -> None:
        """Resume the process; its periodic tasks run before or after its other threads."""
        self.process.frozen = False
        if ticker_first:
            self.tick()

    def _accept(self, end: Any) -> None:
        self._world.spawn(self.process, lambda: self._server._serve(end))


def _view(vm: str) -> View:
    view = View(vm, "hall", "region")
    view.fleet = fleet()
    view.nodes = {one: PeerNode(one, one, PORT, "hall", "region") for one in VMS}
    view.ready = True
    return view


class Model:
    """The fleet, its callers and the faults; each step runs until the world is idle."""

    def __init__(self) -> None:
        self.world = World()
        self._swap = Swap(PLACES, virtual_modules(self.world))
        self.ledger = Ledger()
        self.targets = [ModelTarget(name, self.ledger) for name in TARGETS]
        self.nodes = [Node(self.world, vm, 1, self.targets) for vm in VMS]
        self.watches: dict[str, Watch] = {}
        self.advance(FLEET_AGE_S)

    def send(
        self, vm: int, method: str, key: str, first: SentRequest | None, hold: Hold
    ) -> SentRequest:
        """Send a caller's request, as a declared repeat of `first` if that is given."""
        node = self.nodes[vm]
        name = f"request-{len(self.ledger.sent)}"
        work = first.work if first is not None else name
        at = first.at if first is not None else self.world.now
        one = SentRequest(name, work, method == "GET", node.process, at, key)
        self.ledger.sent[name] = one
        watch = self.watches[name] = Watch(self.world)
        request = Request(
            "h", method, "/", [], b"", "c", key=key, repeat=first is not None, watch=watch, id=name
        )

        def dispatch_it() -> None:
            if self.world.now - at > WINDOW_S:
                one.work = name
            one.outcome = node.dispatcher.dispatch(request).outcome

        self.world.spawn(node.process, dispatch_it)
        self.world.settle(hold)
        return one

    def advance(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.world.advance(seconds, self._tick)

    def restart(self, vm: int) -> None:
        """Kill a node's process and start a new one, without its fences."""
        old = self.nodes[vm]
        self.world.kill(old.process)
        self.nodes[vm] = Node(self.world, old.vm, old.incarnation + 1, self.targets)

    def stand_still(self, vm: int, seconds: float, ticker_first: bool) -> None:
        """Freeze a node for a time, and deliver all that is in flight to it meanwhile."""
        node = self.nodes[vm]
        node.freeze()
        for pipe in self.world.pipes():
            if pipe.sink == node.vm:
                pipe.held = False
        self.world.settle()
        self.advance(seconds)
        node.wake(ticker_first)

    def reset(self, connection: Connection, up: int | None, down: int | None) -> None:
        """Reset a connection for its server (`up`) or client (`down`), after so many bytes each."""
        if up is not None:
            connection.up.abort(up)
        if down is not None:
            connection.down.abort(down)

    def clear_faults(self) -> None:
        """Undo all delays, cuts and freezes."""
        self.world.cut.clear()
        for pipe in self.world.pipes():
            pipe.held = False
        for node in self.nodes:
            node.wake(ticker_first=True)

    def delayed(self) -> list[Pipe]:
        """Return the pipes in which data is delayed, oldest connection first."""
        return [pipe for pipe in self.world.pipes() if pipe.held]

    def release(self) -> None:
        """Deliver all delayed data."""
        for pipe in self.delayed():
            pipe.held = False
        self.world.settle()

    def reached(self) -> list[str]:
        """Return the VMs whose targets the newest request reached, in order."""
        newest = next(reversed(self.ledger.sent.values()), None)
        return [TARGETS[name] for name in newest.arrived] if newest is not None else []

    def run_all_held(self) -> None:
        """Make every target run the requests that it holds and all later ones."""
        for target in self.targets:
            target.mode = TargetMode.RUN
            while target.held:
                target.end(target.held.pop(), TargetMode.RUN)

    def unanswered(self) -> list[SentRequest]:
        """Return the requests without an outcome whose ingress process is alive."""
        return [
            one for one in self.ledger.sent.values() if one.outcome is None and not one.process.dead
        ]

    def close(self) -> None:
        """Kill all processes and restore the modules."""
        try:
            for node in self.nodes:
                self.world.kill(node.process)
        finally:
            self._swap.undo()

    def _tick(self) -> None:
        for node in self.nodes:
            node.tick()
