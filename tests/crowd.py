"""Simulates many callers of faulty targets, in virtual time and one process.

The nodes run the real code: ingresses choose targets, query sidecars and retry; sidecars admit
requests, estimate failures and count. Only the network and the targets are modelled: links have a
fixed latency; targets have slots, a distribution of service times, scheduled faults, and calls to
other services that they make while they hold a slot. Tests measure which requests are served,
refused or delayed, and by which targets.
"""

import math
import random
from collections import defaultdict
from collections.abc import Iterable
from functools import partial
from typing import Any, NamedTuple, cast

from roadpass.caller_limits import CallerLimits
from roadpass.capacity_exchange import TICK_S as CAPACITY_TICK_S
from roadpass.capacity_exchange import CapacityExchange
from roadpass.capacity_messages import CapacityMessage
from roadpass.catalogue import Policy, build_fleet
from roadpass.dispatch import Dispatcher
from roadpass.errors import ConnectError
from roadpass.fingerprint import fingerprint
from roadpass.fleet import Fleet
from roadpass.fleet_repeats import FleetRepeats
from roadpass.message import Message
from roadpass.metric import Metrics
from roadpass.outcome import Outcome
from roadpass.pause import PauseWatch
from roadpass.peer_pool import Address, PeerPool
from roadpass.reader import choose_readers
from roadpass.request import Request
from roadpass.route import Route
from roadpass.sidecar import Sidecar
from roadpass.source import PublishedConfig, PublishedService, TargetEntry
from roadpass.view import PeerNode, View
from tests.crowd_repeats import LoanCarrier
from tests.crowd_target import CrowdClient, CrowdTarget
from tests.load import ColdPeriod, Kind, Load, RequestResult
from tests.machine_model import PLACES
from tests.virtual import Process, Swap, World, virtual_modules

PORT = 7000
TICK_S = 0.1
"""Seconds between scans of a node for requests that its target has run for long."""
ENTRIES_S = 0.5
"""Seconds between two readings of the entries of targets that warm up."""
GOSSIP_NEAR_PEERS = 3
"""Nodes of its own data hall to which a node sends each update; one of any hall gets it too."""
FIRST_S = 100.0
"""Virtual time of the first request, in seconds."""


class _Frame(NamedTuple):
    message: Message


class _Stream:
    """A stream to a peer; its sidecar replies after one round trip."""

    idle_since = 0.0
    peer_incarnation = 1

    def __init__(self, crowd: "Crowd", node: "CrowdNode", one_way_s: float) -> None:
        self.carried = 0
        self._crowd = crowd
        self._node = node
        self._one_way_s = one_way_s
        self._message: Message = {}

    def send(self, message: Message, **_: Any) -> None:
        self._message = message

    def receive(self, *_: Any, **__: Any) -> _Frame:
        self._crowd.sleep(self._one_way_s)
        reply = self._node.sidecar.answer(self._message, 0.0)
        self._crowd.sleep(self._one_way_s)
        return _Frame(reply)

    def close(self) -> None:
        """Do nothing: the stream holds no resources."""


class _Peers:
    """Replaces the pool of streams to other nodes."""

    def __init__(self, crowd: "Crowd", node: "CrowdNode") -> None:
        self._crowd = crowd
        self._node = node

    def acquire(self, address: Address, **_: Any) -> _Stream:
        peer = self._crowd.nodes.get(address[0])
        if peer is None or not self._crowd.reaches(self._node, peer):
            raise ConnectError("No such node.")
        return _Stream(self._crowd, peer, one_way_s(self._node, peer))

    def exchange(self, address: Address, message: Message, **_: Any) -> Message:
        stream = self.acquire(address)
        stream.send(message)
        return stream.receive().message

    def release(self, *_: Any) -> None:
        """Do nothing: streams are not pooled."""

    def drop(self, *_: Any) -> None:
        """Do nothing: streams are not pooled."""


def one_way_s(node: "CrowdNode", peer: "CrowdNode") -> float:
    """Return the seconds that a message takes from one node to another."""
    return 0.0014 if peer.hall != node.hall else 0.0002


class LeavingCaller:
    """A caller that disconnects after a time; implements `CallerWatch`."""

    watchable = True

    def __init__(self, crowd: "Crowd", after_s: float) -> None:
        self._crowd = crowd
        self._at = crowd.world.now + after_s

    def fileno(self) -> int:
        return -1

    def gone(self) -> bool:
        return self._crowd.world.now >= self._at


class CrowdNode:
    """A node with a real ingress, a real sidecar and one target."""

    def __init__(
        self, crowd: "Crowd", vm: str, hall: str, target: CrowdTarget, fleet: Fleet
    ) -> None:
        self.hall = hall
        self.process = Process(vm)
        self.target = target
        self._crowd = crowd
        self._seed = crowd.rng.randrange(1 << 30)
        self._incarnation = 0
        self.view = View(vm, hall, "region")
        self.start(fleet)

    def start(self, fleet: Fleet) -> None:
        """Start the process, or restart it: what it was told is lost."""
        crowd, vm = self._crowd, self.process.vm
        self._incarnation += 1
        nodes, self.view = self.view.nodes, View(vm, self.hall, "region")
        self.view.nodes = nodes
        with crowd.world.acting(self.process):
            self.pause = PauseWatch()
            self.sidecar = Sidecar(
                vm,
                self._incarnation,
                self.pause,
                pull=lambda message: message,
                behind=lambda vm, revision: None,
                notices=self.view.notices,
                repeats=FleetRepeats(vm, self._incarnation, random.Random(self._seed)),
                warm_ups=self.view.warm_ups,
            )
            self.view.warm_ups.enable(crowd.world.now, crowd.load.warm_up)
            self.has_updates = False
            self.sidecar.quarantine.on_change = self._set_has_updates
            self.configure(fleet)
            self.view.ready = True
            peers = cast("PeerPool", _Peers(crowd, self))
            self._dispatcher = Dispatcher(
                self.view,
                self._incarnation,
                self.sidecar,
                peers,
                self.pause,
                behind=lambda vm, revision: None,
                seed=self._seed,
                repeats=self.sidecar.repeats,
            )

            self.capacity = CapacityExchange(
                self.view,
                self.sidecar,
                self._dispatcher.waits,
                self._send_capacity,
                is_relay=self._is_relay,
                metrics=Metrics(),
                rng=crowd.gossip_rng,
            )
        if any(fleet.sharing):
            crowd.world.spawn(self.process, self._exchange_capacity)

    def configure(self, fleet: Fleet) -> None:
        """Apply a fleet, in which the node's own target may have restarted."""
        self.sidecar.configure(fleet)
        self.local._exchange._client = CrowdClient(self._crowd, self.target, self)
        self.view.fleet = fleet

    @property
    def local(self) -> Any:
        """The sidecar's state of its target."""
        return self.sidecar.targets[self.target.name]

    def dispatch(
        self, kind: str, deadline: float, *, called_by_repeat: bool | None = None
    ) -> Outcome:
        """Dispatch one request.

        Args:
            kind: Its kind.
            deadline: Its deadline in clock seconds.
            called_by_repeat: Whether a repeated request of the node's target calls it; `None` if
                a caller does.
        """
        one = self._crowd.load.kinds[kind]
        method = "GET" if one.repeatable else "POST"
        name = self._crowd.next_id()
        if called_by_repeat:
            self._crowd.called_by_repeats.add(name)
        path = f"/{one.route or kind}/{one.path or name}"
        self._crowd.names[path, one.body] = kind
        request = Request(
            "h",
            method,
            path,
            [],
            one.body,
            "c" if called_by_repeat is None else self.process.vm,
            deadline=deadline,
            watch=None if math.isinf(one.leaves_s) else LeavingCaller(self._crowd, one.leaves_s),
            id=name,
            fingerprint=fingerprint("h", method, path, "", one.body),
        )
        return self._dispatcher.dispatch(request).outcome

    def _exchange_capacity(self) -> None:
        """Call the exchange as its ticker does, until the load ends."""
        while self._crowd.world.now < self._crowd.end_at:
            self.capacity.tick()
            self._crowd.sleep(CAPACITY_TICK_S)

    def _is_relay(self) -> bool:
        near = [vm for vm, node in self._crowd.nodes.items() if node.hall == self.hall]
        return choose_readers(near, 1) == [self.process.vm]

    def _send_capacity(self, message: CapacityMessage) -> None:
        """Deliver rows to other nodes after the latency of the link, unless they are lost."""
        for vm in message.vms:
            peer, crowd = self._crowd.nodes[vm], self._crowd
            lost = crowd.gossip_rng.random() < crowd.load.datagrams_lost
            if not lost and crowd.reaches(self, peer):
                crowd.datagrams += 1
                crowd.world.spawn(peer.process, partial(peer.receive, self, message))

    def receive(self, sender: "CrowdNode", message: CapacityMessage) -> None:
        """Process rows that another node sent."""
        self._crowd.sleep(one_way_s(sender, self))
        self.capacity.receive(sender.process.vm, message.fields)

    def _set_has_updates(self) -> None:
        self.has_updates = True

    def tick(self) -> None:
        """Do the work of the node's periodic tasks."""
        with self._crowd.world.acting(self.process):
            self.pause._last_tick = self._crowd.world.now
            self.local.scan_running(self._crowd.world.now)


class Crowd:
    """One simulation of a load; use `run`.

    Attributes:
        results: Results of the callers' requests, in order of completion.
        arrivals: Times at which each request reached a target, by service and id.
        called_by_repeats: Ids of requests that targets sent while they ran a repeated request.
        reached: Times at which requests with a path and body were sent to a target, whatever
            their ids.
        names: Names of the kinds of requests, by path and body.
        crashed: Times at which a target crashed while running a request, by path and body.
        starts: Times at which requests reached each target.
        end_at: Virtual time at which the last request has ended.
        datagrams: Number of datagrams on capacity that were delivered.
        in_use: The same with the slots in use by then, each target's own sidecar counting.
        failure_risk: Failure probability of each target that warms up, at times of the load.
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.gossip_rng = random.Random(seed)
        self.world = World()
        self.world.now = FIRST_S
        self.end_at = FIRST_S + load.seconds + max(k.timeout_ms for k in load.kinds.values()) / 1e3
        self.datagrams = 0
        self.results: list[RequestResult] = []
        self.arrivals: dict[tuple[str, str], list[float]] = defaultdict(list)
        self.called_by_repeats: set[str] = set()
        self.reached: dict[tuple[str, bytes], list[float]] = defaultdict(list)
        self.crashed: dict[tuple[str, bytes], list[float]] = defaultdict(list)
        self.names: dict[tuple[str, bytes], str] = {}
        self.starts: dict[str, list[float]] = defaultdict(list)
        self.in_use: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.failure_risk: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._next_entries = FIRST_S
        self.nodes: dict[str, CrowdNode] = {}
        self.loans = LoanCarrier(self, seed)
        self._number = 0

    @classmethod
    def run(cls, load: Load, seed: int) -> "Crowd":
        """Simulate a load to its end."""
        crowd = cls(load, seed)
        places = {module: names for module, names in PLACES.items() if "socket" not in names}
        swap = Swap(places, virtual_modules(crowd.world))
        try:
            crowd._build()
            crowd._play()
        finally:
            swap.undo()
        assert not crowd.world.errors, crowd.world.errors
        return crowd

    def share(
        self, result: str, kinds: Iterable[str] = (), *, between: tuple[float, float] = (0.0, 1e9)
    ) -> float:
        """Return the share of the callers' requests that had a result.

        Args:
            result: A value of `RequestResult.result`.
            kinds: Kinds of requests to count; all by default.
            between: Only requests sent in this interval, in seconds since the first request.
        """
        chosen = set(kinds) or set(self.load.kinds)
        begin, end = between
        asked = [one for one in self.results if one.kind in chosen and begin <= one.at < end]
        return sum(one.result == result for one in asked) / len(asked)

    def repeats_over(self, service: str, ratio: float, slack: float, window_s: float) -> float:
        """Return the largest excess of a service's repeats over its budget in any window.

        Repeats are all arrivals of a request but the first, and all arrivals of requests that a
        repeated request called. The budget of a window is a share of the requests that arrived in
        it or in the window before, plus a slack. A negative result means that it was never used up.
        """
        repeats, firsts = [], []
        for (to, name), times in self.arrivals.items():
            if to == service:
                firsts.append(times[0])
                repeats += times if name in self.called_by_repeats else times[1:]
        over = -math.inf
        for begin in repeats:
            count = sum(begin <= at < begin + window_s for at in repeats)
            asked = max(
                sum(since <= at < since + window_s for at in firsts)
                for since in (begin, begin - window_s / 2.0, begin - window_s)
            )
            over = max(over, count - ratio * asked - slack)
        return over

    @property
    def seconds(self) -> float:
        """Seconds since the first request."""
        return self.world.now - FIRST_S

    def sleep(self, seconds: float) -> None:
        """Let the current task wait."""
        self.world.park(lambda: False, seconds)

    def next_id(self) -> str:
        """Return a new request id."""
        self._number += 1
        return f"request-{self._number}"

    def draw_work_s(self, kind: Kind) -> float:
        """Draw the service time of a request."""
        mean = math.log(kind.work_ms / 1000.0) - kind.spread**2 / 2.0
        return self.rng.lognormvariate(mean, kind.spread)

    def kind_of(self, path: str, body: bytes) -> Kind:
        """Return the kind of a request by its path and body."""
        return self.load.kinds[self.names[path, body]]

    def draw_fault(self, target: CrowdTarget) -> str:
        """Draw the fault for a request that reaches a target now, empty if it runs normally."""
        now = self.world.now - FIRST_S
        for one in self.load.faults:
            hit = target.name in one.targets or (not one.targets and one.service == target.service)
            if hit and one.begin <= now < one.end and self.rng.random() < one.share:
                return one.how
        return ""

    def named_limit(self, target: CrowdTarget) -> float | None:
        """Return the limit that a target names in its responses now, in requests a second."""
        now = self.world.now - FIRST_S
        for one in self.load.limits:
            named = target.name in one.targets or (
                not one.targets and one.service == target.service
            )
            if named and one.begin <= now < one.end:
                return one.rate_per_s
        return None

    def warm_up_ms(self, target: str) -> float | None:
        """Return what is left of the warm-up of a target in milliseconds, `None` if it is warm."""
        ends = [FIRST_S + one.begin + one.seconds for one in self._cold_periods(target)]
        return max(ends) * 1000.0 - self.world.now * 1000.0 if ends else None

    def slowness(self, target: str) -> float:
        """Return the factor on the service times of a target now."""
        factors = [1.0]
        for one in self._cold_periods(target):
            passed = (self.world.now - FIRST_S - one.begin) / one.seconds
            factors.append(one.slowness - passed * (one.slowness - 1.0))
        return max(factors)

    def _cold_periods(self, target: str) -> list[ColdPeriod]:
        now = self.world.now - FIRST_S
        return [
            one
            for one in self.load.cold
            if target in one.targets and one.begin <= now < one.begin + one.seconds
        ]

    def _publish_entries(self) -> None:
        """Let all nodes read the warm-ups in the targets' entries, twice a second."""
        if not self.load.cold or self.world.now < self._next_entries:
            return
        self._next_entries = self.world.now + ENTRIES_S
        for target in {name for one in self.load.cold for name in one.targets}:
            left_ms = self.warm_up_ms(target)
            if left_ms is not None:
                for node in self.nodes.values():
                    warm_ups = node.view.warm_ups
                    warm_ups.state(self.world.now, target, left_ms, source="source")

    def most_starts(self, target: str, begin: float, end: float, window_s: float) -> int:
        """Return the most requests that reached a target in any window.

        Args:
            target: Name of the target.
            begin: Begin of the time in which they are counted, in seconds since the first request.
            end: End of that time.
            window_s: Length of the windows in seconds.
        """
        times = [at for at in self.starts[target] if begin <= at - FIRST_S < end]
        return max(
            (sum(since <= at < since + window_s for at in times) for since in times), default=0
        )

    def restart(self, target: CrowdTarget) -> None:
        """Restart a crashed target under a new name, and configure it on all nodes."""
        target.start()
        starts = {vm: node.target.starts for vm, node in self.nodes.items()}
        fleet = _fleet(self.load, starts)
        for vm, node in self.nodes.items():
            node.target.name = next(one.name for one in fleet.targets_on(vm))
            with self.world.acting(node.process):
                node.configure(fleet)

    def _build(self) -> None:
        fleet = _fleet(self.load, {})
        for target in fleet.targets.values():
            made = CrowdTarget(target.name, target.service, target.slots)
            self.nodes[target.vm] = CrowdNode(self, target.vm, target.hall or "", made, fleet)
        known = {vm: PeerNode(vm, vm, PORT, node.hall, "region") for vm, node in self.nodes.items()}
        for vm, node in self.nodes.items():
            node.view.nodes = {name: peer for name, peer in known.items() if name != vm}

    def _play(self) -> None:
        nodes = list(self.nodes.values())
        scheduled = sorted(self._scheduled_requests())
        next_tick = FIRST_S
        for at, name in scheduled:
            while next_tick <= at:
                self._advance_to(next_tick)
                next_tick += TICK_S
            self._advance_to(at)
            self._send(self.rng.choice(nodes), name)
            self.world.settle()
        longest_s = max(kind.timeout_ms for kind in self.load.kinds.values()) / 1000.0 + 1.0
        for _ in range(int(longest_s / TICK_S)):
            self._advance_to(self.world.now + TICK_S)

    def _advance_to(self, at: float) -> None:
        self.world.advance(at - self.world.now, lambda: None)
        if any(self.load.crash_records_lost):
            self._clear_crash_records()
        for node in self.nodes.values():
            if self.loans.is_restart_due(node):
                node.start(node.view.fleet)
            if node.target.is_due(self.world.now):
                self.restart(node.target)
            node.tick()
            self._gossip(node)
            self.loans.tick(node)
            if self._cold_periods(node.target.name):
                risk = node.local._estimator.bad(self.world.now)
                self.failure_risk[node.target.name].append((self.world.now, risk))
        self._publish_entries()

    def reaches(self, node: CrowdNode, peer: CrowdNode) -> bool:
        """Return whether two nodes can reach each other now."""
        begin, end = self.load.cut_off_s
        cut_off = {node.process.vm, peer.process.vm} & self.load.cut_off
        if cut_off and begin <= self.world.now - FIRST_S < end:
            return False
        begin, end = self.load.partition
        return node.hall == peer.hall or not begin <= self.world.now - FIRST_S < end

    def _clear_crash_records(self) -> None:
        """Clear the crash records of the nodes that are due for it now."""
        begin, end = self.load.crash_records_lost
        nodes = list(self.nodes.values())
        for number, node in enumerate(nodes):
            at = FIRST_S + begin + (end - begin) * (number + 1) / len(nodes)
            if at - TICK_S / 2.0 <= self.world.now < at + TICK_S / 2.0:
                node.sidecar.quarantine._records.clear()
                node.sidecar.quarantine._answers.clear()

    def _gossip(self, node: CrowdNode) -> None:
        """Send a node's crash records to a few other nodes, as gossip does."""
        if not node.has_updates and self.gossip_rng.random() > TICK_S:
            return
        node.has_updates = False
        now = self.world.now
        near = [one for one in self.nodes.values() if one.hall == node.hall and one is not node]
        peers = self.gossip_rng.sample(near, min(GOSSIP_NEAR_PEERS, len(near)))
        for peer in (*peers, self.gossip_rng.choice(list(self.nodes.values()))):
            if not self.reaches(node, peer):
                continue
            for row in node.sidecar.quarantine.rows(now):
                with self.world.acting(peer.process):
                    peer.sidecar.quarantine.merge(now, row)

    def _longest_free_s(self, service: str) -> float:
        """Return the longest time for which a target of a service has had a free slot."""
        targets = [node.target for node in self.nodes.values() if node.target.service == service]
        return max(0.0, *(self.world.now - target.free_since for target in targets))

    def _scheduled_requests(self) -> Iterable[tuple[float, str]]:
        for name, kind in self.load.kinds.items():
            at = FIRST_S
            while kind.per_s and (at := at + self.rng.expovariate(kind.per_s)) < min(
                self._end, FIRST_S + kind.until_s
            ):
                yield at, name

    @property
    def _end(self) -> float:
        return FIRST_S + self.load.seconds

    def _send(self, node: CrowdNode, name: str) -> None:
        kind, at = self.load.kinds[name], self.world.now
        for other, one in self.load.kinds.items():
            if one.triggered_by == name:
                self._send(node, other)

        def dispatch_and_record() -> None:
            outcome = node.dispatch(name, at + kind.timeout_ms / 1000.0)
            took_ms = (self.world.now - at) * 1000.0
            free_s = self._longest_free_s(kind.service)
            self.results.append(RequestResult(name, at - FIRST_S, took_ms, outcome, free_s))

        self.world.spawn(node.process, dispatch_and_record)


def _fleet(load: Load, starts: dict[str, int]) -> Fleet:
    """Return the fleet of a load, built as from the store.

    Args:
        load: The load; its kinds and targets give the routes and services.
        starts: Number of restarts of the target on each VM.
    """
    routes = tuple(
        Route(
            name,
            "h",
            f"/{name}/",
            frozenset(),
            kind.service,
            kind.traffic_class,
            kind.repeatable,
            {},
            kind.timeout_ms,
            max_attempts=2,
            target_latency_ms=kind.objective_ms,
        )
        for name, kind in load.kinds.items()
        if not kind.route
    )
    services = {name: PublishedService(name, 1000) for name in load.targets}
    names = [(service, n) for service, count in load.targets.items() for n in range(count)]
    entries = [
        TargetEntry(
            f"{service}-{n}" + (f".{starts[vm]}" if starts.get(vm) else ""),
            service,
            f"{vm}:80",
            f"hall-{number % load.halls}",
            load.slots,
            leaving=False,
        )
        for number, (service, n) in enumerate(names)
        for vm in (_vm(number),)
    ]
    policy = Policy(0.7, 0.2, load.slack, 10.0, sharing=load.sharing)
    config = PublishedConfig(1 + sum(starts.values()), routes, services, CallerLimits())
    return build_fleet(config, entries, policy)


def _vm(number: int) -> str:
    return f"10.0.{number // 200}.{number % 200}"
