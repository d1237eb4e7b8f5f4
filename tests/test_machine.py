"""Model checking of "runs at most once" and "not run is true" with the real decision code.

Real ingresses, transports, streams, sidecars, fences, circuit breakers and admission run in a
virtual world (tests/virtual.py, tests/machine_model.py) with model targets and a ledger
(tests/gray_target.py). A frame cannot be duplicated: TCP delivers each byte once, and a frame's MAC
covers its number on its connection. So the model has delays, resets of a connection at any byte,
for one side or both, and cuts in one direction.

`tools/mechanism_off --test test_machine` shows which mechanisms can be off without a failure here.

Hypothesis derives its random choices from the source of the machine classes at the end, their doc
comments included, and from the names of rules and arguments: an edit there changes which examples
are run.
"""

import os

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.gray_target import TargetMode
from tests.machine_model import TARGETS, VMS, WINDOW_S, Model
from tests.virtual import Hold

VM = st.integers(0, len(VMS) - 1)
TARGET = st.integers(0, len(TARGETS) - 1)
ANY_INDEX = st.integers(0, 50)
"""Selects one of the current items."""
INDEX_FROM_END = st.integers(0, 3)
"""Selects one of the newest items."""
HOLD = st.sampled_from(
    [
        (),
        (),
        (b"attempt",),
        (b"attempt",),
        (b"answered",),
        (b"answered",),
        (b"answered", b"fence"),
        (b"fenced",),
        (b"accepted",),
        (b"",),
    ]
)
"""Frames that contain any of these bytes are delayed: none, some kinds, all."""
METHOD = st.sampled_from(["POST", "GET"])
MODE = st.sampled_from(
    [TargetMode.RUN, TargetMode.RUN, TargetMode.HANG, TargetMode.HANG, *TargetMode]
)
END = st.sampled_from(
    [TargetMode.RUN, TargetMode.FAIL, TargetMode.LOSE_BEFORE, TargetMode.LOSE_AFTER]
)
BYTES = st.sampled_from([0, 1, 5, 40, 100_000])
"""Bytes in flight that are delivered before a reset."""
SIDES = st.sampled_from([(True, False), (False, True), (True, True)])
"""Whether the client and the server see a reset."""
PARTIAL_BYTES = st.sampled_from([None, None, 1, 5, 40])
SECONDS = st.sampled_from([0.01, 0.1, 0.3, 2.5, 6.0])
FROZEN_S = st.sampled_from([181.0, 181.0, 0.6])
"""Seconds that a process is frozen; after the longest a sidecar drops its fences."""
LOSS = st.sampled_from(["caller", "connection", "time", "process"])
CONCURRENT_REQUESTS = 3
"""Concurrent requests, so that one uses the connection on which something is delayed."""
REPLY_S = 2.5
"""Seconds after which no ingress waits for a reply."""
OUTCOME_WITHIN_S = 5.0
"""Seconds until every request has an outcome once all faults end; the route timeout is 2 s."""

EXAMPLES = {"late": 100, "shared": 35, "gray": 25, "key": 110, "full": 20}
STEPS = 30
"""8,700 steps in all. With SHRINK in the environment a failure is shrunk, which takes minutes."""


class Promises(RuleBasedStateMachine):
    """The world, time, and the invariants checked at every step."""

    def __init__(self) -> None:
        super().__init__()
        self.model = Model()
        self.world = self.model.world

    @initialize(modes=st.lists(MODE, min_size=len(TARGETS), max_size=len(TARGETS)))
    def begin(self, modes: list[TargetMode]) -> None:
        for target, mode in zip(self.model.targets, modes, strict=True):
            target.mode = mode

    @rule(seconds=SECONDS)
    def advance(self, seconds: float) -> None:
        self.model.advance(seconds)

    @invariant()
    def promises_hold(self) -> None:
        self.model.ledger.check()
        assert self.world.errors == []

    def teardown(self) -> None:
        try:
            self.model.clear_faults()
            self.model.run_all_held()
            self.model.advance(OUTCOME_WITHIN_S)
            self.promises_hold()
            assert self.model.unanswered() == []
        finally:
            self.model.close()

    def _awaiting(self, vm: int) -> int:
        """Return a VM to which something is delayed, or `vm` if there is none."""
        found = sorted({VMS.index(pipe.sink) for pipe in self.model.delayed()}) or [vm]
        return found[vm % len(found)]


class Traffic(Promises):
    """Requests, and losses of their callers, connections and processes."""

    @rule(vm=VM, method=METHOD, hold=HOLD)
    def send(self, vm: int, method: str, hold: Hold) -> None:
        self.model.send(vm, method, "", None, hold)

    @rule(vm=VM, method=METHOD, hold=HOLD, loss=LOSS)
    def send_and_lose(self, vm: int, method: str, hold: Hold, loss: str) -> None:
        """Send a request; lose its caller, connection, process or time while frames are delayed."""
        one = self.model.send(vm, method, "", None, hold)
        match loss:
            case "caller":
                self.model.watches[one.id].left = True
            case "connection" if self.world.connections:
                self.model.reset(self.world.connections[-1], None, 0)
            case "process" if self.model.reached():
                self.model.restart(VMS.index(self.model.reached()[-1]))
            case _:
                self.model.advance(REPLY_S)
        self.world.settle()

    @rule(which=ANY_INDEX, hold=HOLD)
    def leave(self, which: int, hold: Hold) -> None:
        waiting = self.model.unanswered()
        if waiting:
            self.model.watches[waiting[which % len(waiting)].id].left = True
            self.world.settle(hold)


class Amid(Promises):
    """Requests on connections with delayed data."""

    @rule(vm=VM, method=METHOD)
    def send_amid_late_frames(self, vm: int, method: str) -> None:
        """Send requests, and deliver all delayed data while they are in flight."""
        for _ in range(CONCURRENT_REQUESTS):
            self.model.send(self._awaiting(vm), method, "", None, ())
        self.model.release()


class Keys(Promises):
    """Requests with a key, and their declared repeats."""

    @rule(vm=VM, hold=HOLD)
    def send_with_key(self, vm: int, hold: Hold) -> None:
        self.model.send(vm, "POST", f"key-{len(self.model.ledger.sent)}", None, hold)

    @rule(vm=VM, back=INDEX_FROM_END, hold=HOLD, release=st.booleans())
    def repeat(self, vm: int, back: int, hold: Hold, release: bool) -> None:
        """Repeat a request; delayed data is delivered right after, or stays delayed."""
        since = self.world.now - WINDOW_S
        keyed = [one for one in self.model.ledger.sent.values() if one.key and one.at > since]
        if keyed:
            first = keyed[-1 - back % len(keyed)]
            self.model.send(vm, "POST", first.key, first, hold)
        if release:
            self.model.release()


class Targets(Promises):
    """Targets that change their mode, and end the requests that they hold late."""

    @rule(which=TARGET, every=st.booleans(), mode=MODE)
    def turn(self, which: int, every: bool, mode: TargetMode) -> None:
        for target in self.model.targets if every else [self.model.targets[which]]:
            target.mode = mode

    @rule(which=ANY_INDEX, how=END, hold=HOLD)
    def end_held(self, which: int, how: TargetMode, hold: Hold) -> None:
        held = [(target, one) for target in self.model.targets for one in target.held]
        if held:
            target, arrival = held[which % len(held)]
            target.held.remove(arrival)
            target.end(arrival, how)
            self.world.settle(hold)


class Network(Promises):
    """Connections that are delayed, reset, or cut in one direction."""

    @rule(back=INDEX_FROM_END, size=PARTIAL_BYTES, hold=HOLD)
    def deliver(self, back: int, size: int | None, hold: Hold) -> None:
        pipes = self.model.delayed()
        if pipes:
            pipe = pipes[-1 - back % len(pipes)]
            pipe.deliver(size)
            pipe.held = size is not None
            self.world.settle(hold)

    @rule(back=INDEX_FROM_END, up=BYTES, down=BYTES, sides=SIDES, hold=HOLD)
    def reset(self, back: int, up: int, down: int, sides: tuple[bool, bool], hold: Hold) -> None:
        connections = self.world.connections
        if connections:
            client, server = sides
            connection = connections[-1 - back % len(connections)]
            self.model.reset(connection, up if server else None, down if client else None)
            self.world.settle(hold)

    @rule(vm=VM, ways=st.sampled_from([(0, 1), (1, 0), (1, 1)]))
    def cut_or_heal(self, vm: int, ways: tuple[int, int]) -> None:
        one = VMS[vm]
        away = [(one, other) for other in VMS if other != one]
        back = [(other, one) for other in VMS if other != one]
        if self.world.cut:
            self.world.cut.clear()
        else:
            self.world.cut |= {*away * ways[0], *back * ways[1]}
        self.world.settle()


class Nodes(Promises):
    """Processes that freeze or restart."""

    @rule(vm=VM, ticker_first=st.booleans(), hold=HOLD)
    def freeze_or_wake(self, vm: int, ticker_first: bool, hold: Hold) -> None:
        node = self.model.nodes[vm]
        if node.process.frozen:
            node.wake(ticker_first)
            self.world.settle(hold)
        else:
            node.freeze()

    @rule(vm=VM, seconds=FROZEN_S, ticker_first=st.booleans())
    def stand_still(self, vm: int, seconds: float, ticker_first: bool) -> None:
        self.model.stand_still(self._awaiting(vm), seconds, ticker_first)
        self.world.settle()

    @rule(vm=VM, aimed=st.booleans(), hold=HOLD)
    def restart(self, vm: int, aimed: bool, hold: Hold) -> None:
        """Restart a process; with `aimed`, the one that got the newest request."""
        reached = self.model.reached()
        self.model.restart(VMS.index(reached[-1]) if aimed and reached else vm)
        self.world.settle(hold)


class LateMachine(Traffic, Nodes):
    """Frames that arrive late, at processes that stood still or are others by then."""


class SharedMachine(Traffic, Amid):
    """Connections that several requests use in turn."""


class GrayMachine(Traffic, Targets, Network):
    """Targets that fail gray behind connections that do."""


class KeyMachine(Keys, Nodes):
    """Declared repeats while sidecars lose what they know."""


class FullMachine(Traffic, Amid, Keys, Targets, Network, Nodes):
    """Everything at once."""


def _settings(machine: str) -> settings:
    return settings(
        max_examples=EXAMPLES[machine],
        stateful_step_count=STEPS,
        phases=[Phase.generate, Phase.shrink] if "SHRINK" in os.environ else [Phase.generate],
        report_multiple_bugs=False,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


TestLate = LateMachine.TestCase
TestLate.settings = _settings("late")
TestShared = SharedMachine.TestCase
TestShared.settings = _settings("shared")
TestGray = GrayMachine.TestCase
TestGray.settings = _settings("gray")
TestKey = KeyMachine.TestCase
TestKey.settings = _settings("key")
TestFull = FullMachine.TestCase
TestFull.settings = _settings("full")
