"""Deterministic simulation: virtual time, sockets and scheduling for the real code.

Blocking code runs as a task. Exactly one task runs at any time, until it waits, so a run depends
only on what its driver decides: which task runs next, what is delivered, and when time passes.
Tasks are threads that run in turn, controlled by semaphores, because the code under test blocks.

A connection is a pair of byte pipes. As with TCP, the bytes of a connection arrive in order and
once, or are delayed, or are cut off at any byte; there is no order between connections.
"""

import itertools
import threading
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import ModuleType, SimpleNamespace
from typing import Any, TypeAlias

from roadpass.clock import STEP_S

EPOCH_S = 1_700_000_000.0
"""Seconds of the wall clock at virtual time zero."""
FIN = b""
"""Marks the end of a pipe on the wire."""
MAX_TURNS = 20_000
"""Limit of task turns and deliveries at one virtual time; more mean an endless loop."""
POLLIN = 1

Hold: TypeAlias = tuple[bytes, ...]
"""Byte strings: frames that contain one of them are held back; the empty one matches all."""


class Abandoned(BaseException):
    """Unwinds a task whose process was killed; it has no further effect."""


class Process:
    """A process on a VM, with a clock offset in seconds."""

    def __init__(self, vm: str, offset: float = 0.0) -> None:
        self.vm = vm
        self.offset = offset
        self.frozen = False
        self.dead = False


class Task:
    """A thread of a process that runs until it waits."""

    def __init__(self, world: "World", process: Process, work: Callable[[], None]) -> None:
        self.process = process
        self.ready: Callable[[], bool] = lambda: True
        self.until: float | None = None
        self.done = False
        self._world = world
        self._work = work
        self._resume = threading.Semaphore(0)
        self._yielded = threading.Semaphore(0)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def due(self) -> bool:
        """Whether it can run: its condition holds or its wait has timed out."""
        if self.process.frozen or self.process.dead:
            return False
        return self.ready() or (self.until is not None and self.until <= self._world.now)

    def turn(self) -> None:
        """Run the task until it waits or ends."""
        self._resume.release()
        self._yielded.acquire()
        if self.done:
            self._thread.join()

    def wait(self) -> None:
        """Return control to the scheduler; called by the task itself."""
        if self.process.dead:
            raise Abandoned
        self._yielded.release()
        self._resume.acquire()
        if self.process.dead:
            raise Abandoned

    def _run(self) -> None:
        self._resume.acquire()
        try:
            if not self.process.dead:
                self._work()
        except Abandoned:
            pass
        except BaseException as error:
            self._world.errors.append(error)
        self.done = True
        self._yielded.release()


class Pipe:
    """One direction of a connection.

    Attributes:
        wire: Writes in flight, in order.
        arrived: Delivered bytes that the receiver has not read yet.
        held: Whether the writes in flight are delayed.
        ended: Whether the receiver sees the end of the stream after the delivered bytes.
    """

    def __init__(self, source: str, sink: str) -> None:
        self.source = source
        self.sink = sink
        self.wire: deque[bytes] = deque()
        self.arrived = bytearray()
        self.held = False
        self.ended = False

    def deliver(self, size: int | None = None) -> None:
        """Deliver the first write, or only its first `size` bytes."""
        item = self.wire.popleft()
        if item == FIN:
            self.ended = True
            return
        if size is not None and 0 < size < len(item):
            self.wire.appendleft(item[size:])
            item = item[:size]
        if not self.ended:
            self.arrived += item

    def abort(self, size: int) -> None:
        """Deliver the first `size` bytes in flight, drop the others, and end the pipe."""
        if not self.ended:
            self.arrived += b"".join(self.wire)[:size]
        self.wire.clear()
        self.ended = True


class VirtualSocket:
    """One end of a connection."""

    def __init__(self, world: "World", inbound: Pipe, outbound: Pipe) -> None:
        self.inbound = inbound
        self.outbound = outbound
        self._world = world
        self._limit_s = 0.0
        self._closed = False
        self._number = next(world.numbers)
        world.readable[self._number] = self._is_readable

    def fileno(self) -> int:
        return self._number

    def setsockopt(self, *_: int) -> None:
        """Accept an option without effect."""

    def settimeout(self, limit_s: float) -> None:
        self._limit_s = limit_s

    def sendall(self, data: bytes) -> None:
        if self._closed or self.inbound.ended:
            raise ConnectionResetError("The connection is closed.")
        self.outbound.wire.append(bytes(data))

    def recv(self, size: int) -> bytes:
        if not self._world.park(self._is_readable, self._limit_s):
            raise TimeoutError("No data in time.")
        if self._closed:
            raise ConnectionResetError("The connection is closed.")
        data = bytes(self.inbound.arrived[:size])
        del self.inbound.arrived[:size]
        return data

    def shutdown(self, _how: int) -> None:
        self.close()

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self.outbound.wire.append(FIN)

    def _is_readable(self) -> bool:
        return bool(self.inbound.arrived) or self.inbound.ended or self._closed


class Connection:
    """A connection: two ends, and a pipe in each direction."""

    def __init__(self, world: "World", client: Process, server: Process) -> None:
        self.client, self.server = client, server
        self.up = Pipe(client.vm, server.vm)
        self.down = Pipe(server.vm, client.vm)
        self.client_end = VirtualSocket(world, self.down, self.up)
        self.server_end = VirtualSocket(world, self.up, self.down)

    @property
    def over(self) -> bool:
        """Whether both directions have ended."""
        return self.up.ended and self.down.ended and not (self.up.wire or self.down.wire)


class World:
    """The virtual time, the tasks and the connections.

    Attributes:
        readable: Checks of whether descriptors are readable, by number.
        listeners: Processes that listen and their accept functions, by VM.
        cut: Blocked directions between VMs, as (from, to).
        errors: Unexpected exceptions that ended tasks.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.numbers = itertools.count(10)
        self.readable: dict[int, Callable[[], bool]] = {}
        self.tasks: list[Task] = []
        self.connections: list[Connection] = []
        self.listeners: dict[str, tuple[Process, Callable[[Any], None]]] = {}
        self.cut: set[tuple[str, str]] = set()
        self.errors: list[BaseException] = []
        self._task: Task | None = None
        self._acting: Process | None = None

    @property
    def process(self) -> Process:
        """The process whose code runs now."""
        found = self._task.process if self._task is not None else self._acting
        assert found is not None
        return found

    @contextmanager
    def acting(self, process: Process) -> Iterator[None]:
        """Run code that does not block as part of a process."""
        self._acting = process
        try:
            yield
        finally:
            self._acting = None

    def spawn(self, process: Process, work: Callable[[], None]) -> None:
        """Start a task."""
        self.tasks.append(Task(self, process, work))

    def park(self, ready: Callable[[], bool], limit_s: float | None) -> bool:
        """Block the task until `ready` holds or the time limit passes; return whether it holds."""
        if ready() or (limit_s is not None and limit_s <= 0.0):
            return ready()
        task = self._task
        assert task is not None
        task.ready = ready
        task.until = None if limit_s is None else self.now + limit_s
        task.wait()
        return ready()

    def kill(self, process: Process) -> None:
        """Kill a process at once; its connections end after the data already sent."""
        process.dead = True
        for connection in self.connections:
            if connection.client is process:
                connection.client_end.close()
            if connection.server is process:
                connection.server_end.close()
        for task in [task for task in self.tasks if task.process is process]:
            self._turn(task)

    def settle(self, hold: Hold = ()) -> None:
        """Run all tasks and deliver all writes until the world is idle.

        Args:
            hold: Writes that contain one of these are delayed, with all later ones of their pipe.
        """
        for _ in range(MAX_TURNS):
            due = next((task for task in self.tasks if task.due), None)
            if due is not None:
                self._turn(due)
            elif not self._deliver(hold):
                return
        raise AssertionError("The world does not become idle: probably an endless loop.")

    def advance(self, seconds: float, tick: Callable[[], None]) -> None:
        """Advance time from one timeout to the next; `tick` is called at each."""
        end = self.now + seconds
        while self.now < end:
            waits = [task.until for task in self.tasks if task.until and not task.process.frozen]
            self.now = min([end, *(until for until in waits if until > self.now)])
            tick()
            self.settle()

    def connect(self, address: tuple[str, int], timeout: float, **_: Any) -> VirtualSocket:
        """Open a connection; a frozen process accepts it too, as its kernel does."""
        vm, client = address[0], self.process
        path = {(client.vm, vm), (vm, client.vm)}
        if not self.park(lambda: not path & self.cut, timeout):
            raise TimeoutError("No connection in time.")
        server, accept = self.listeners[vm]
        connection = Connection(self, client, server)
        self.connections.append(connection)
        accept(connection.server_end)
        return connection.client_end

    def pipes(self) -> list[Pipe]:
        """Return the pipes with data in flight; forget connections that are over."""
        self.connections = [one for one in self.connections if not one.over]
        directions = [(one.up, one.down) for one in self.connections]
        return [pipe for pair in directions for pipe in pair if pipe.wire]

    def _turn(self, task: Task) -> None:
        self._task, task.until, task.ready = task, None, lambda: False
        task.turn()
        self._task = None
        if task.done:
            self.tasks.remove(task)

    def _deliver(self, hold: Hold) -> bool:
        for pipe in self.pipes():
            if pipe.wire[0] != FIN and any(part in pipe.wire[0] for part in hold):
                pipe.held = True
            if not pipe.held and (pipe.source, pipe.sink) not in self.cut:
                pipe.deliver()
                return True
        return False


class _Poll:
    """Replaces `select.poll`."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._numbers: list[int] = []

    def register(self, of: Any, _events: int) -> None:
        self._numbers.append(of if isinstance(of, int) else of.fileno())

    def poll(self, timeout_ms: float) -> list[tuple[int, int]]:
        self._world.park(lambda: bool(self._ready()), timeout_ms / 1000.0)
        return [(number, POLLIN) for number in self._ready()]

    def _ready(self) -> list[int]:
        return [number for number in self._numbers if self._world.readable[number]()]


def virtual_modules(world: World) -> dict[str, Any]:
    """Return replacements of the modules `clock`, `time`, `select`, `socket` and `threading`."""

    class Event:
        """Replaces `threading.Event`."""

        def __init__(self) -> None:
            self._set = False

        def set(self) -> None:
            self._set = True

        def wait(self, limit_s: float) -> bool:
            return world.park(lambda: self._set, limit_s)

    class WakeSignal(Event):
        """Replaces `roadpass.wake_signal.WakeSignal`."""

        def wait(self, limit_s: float, watch: Any = None) -> bool:
            return world.park(lambda: self._set or (watch is not None and watch.gone()), limit_s)

        def close(self) -> None:
            """Do nothing: it holds no descriptor."""

    def now() -> float:
        return world.now + world.process.offset

    def sleep(seconds: float) -> None:
        world.park(lambda: False, seconds)

    clock = SimpleNamespace(now=now, now_ns=lambda: int(now() * 1e9), STEP_S=STEP_S)
    wall = SimpleNamespace(time=lambda: EPOCH_S + world.now, sleep=sleep)
    sockets = SimpleNamespace(
        create_connection=world.connect,
        socket=Any,
        IPPROTO_TCP=0,
        TCP_NODELAY=0,
        SOL_SOCKET=0,
        SO_RCVBUF=0,
        SHUT_RDWR=0,
    )
    return {
        "clock": clock,
        "time": wall,
        "select": SimpleNamespace(poll=lambda: _Poll(world), POLLIN=POLLIN),
        "socket": sockets,
        "WakeSignal": WakeSignal,
        "threading": SimpleNamespace(Event=Event, Lock=threading.Lock),
    }


class Swap:
    """Replaces names that modules have imported; `undo` restores them.

    Args:
        places: Modules, each with the names to replace in it.
        replacements: Replacements by name.
    """

    def __init__(
        self, places: dict[ModuleType, tuple[str, ...]], replacements: dict[str, Any]
    ) -> None:
        self._originals: list[tuple[ModuleType, str, Any]] = []
        for module, names in places.items():
            for name in names:
                self._originals.append((module, name, getattr(module, name)))
                setattr(module, name, replacements[name])

    def undo(self) -> None:
        """Restore the original values."""
        for module, name, original in self._originals:
            setattr(module, name, original)
