"""Two nodes in one process, with raw targets, for tests of streamed uploads over real sockets."""

import json
import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from roadpass.byte_budget import ByteBudget
from roadpass.byte_gate import ByteGate
from roadpass.caller_limits import CallerLimits
from roadpass.dispatch import Dispatcher
from roadpass.fleet import Fleet
from roadpass.ingress import Ingress
from roadpass.message import AdmissionCheck, Message
from roadpass.metric import Metrics
from roadpass.pause import PauseWatch
from roadpass.peer_pool import PeerPool
from roadpass.settings import Ports, Settings
from roadpass.sidecar import Sidecar
from roadpass.stream_server import StreamServer
from roadpass.view import PeerNode, View
from tests.calling import Caller

ADDRESS = "127.0.0.1"
LIMIT_BYTES = 4 * 1024 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
Handler = Callable[["Received"], None]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Received:
    """One connection to a target: what arrived on it, and how it ended."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.head = b""
        self.data = b""
        self.closed = threading.Event()

    def read_head(self) -> None:
        """Read up to the end of a head; what follows it is the start of the body."""
        while b"\r\n\r\n" not in self.data:
            self._read()
        self.head, _, self.data = self.data.partition(b"\r\n\r\n")

    def read_body(self) -> bytes:
        """Read the body, as its head frames it."""
        if b"chunked" in self.head:
            while not self.data.endswith(b"0\r\n\r\n"):
                self._read()
            return joined(self.data)
        length = int(self.head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        while len(self.data) < length:
            self._read()
        return self.data

    def read_rest(self) -> None:
        """Read until the connection ends."""
        try:
            while True:
                self._read()
        except EOFError:
            return

    def _read(self) -> None:
        try:
            data = self.sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.closed.set()
            raise EOFError
        self.data += data


def joined(chunks: bytes) -> bytes:
    """Return a chunked body without its framing."""
    body, rest = b"", chunks
    while True:
        size, _, rest = rest.partition(b"\r\n")
        if not int(size, 16):
            return body
        body, rest = body + rest[: int(size, 16)], rest[int(size, 16) + 2 :]


def answer_all(received: Received) -> None:
    """Read requests and answer each once its body is complete."""
    while True:
        received.read_head()
        received.data = received.read_body()
        received.sock.sendall(OK)
        received.data = b""


class RawTarget:
    """A target that handles each connection in a thread, as the test has set."""

    def __init__(self, address: tuple[str, int] = (ADDRESS, 0)) -> None:
        self.handle: Handler = answer_all
        self.connections: list[Received] = []
        self.bodies: list[bytes] = []
        self._listener = socket.create_server(address, backlog=64)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            received = Received(sock)
            self.connections.append(received)
            threading.Thread(target=self._serve, args=(received,), daemon=True).start()

    def _serve(self, received: Received) -> None:
        with received.sock:
            try:
                self.handle(received)
            except (EOFError, OSError):
                received.closed.set()


def free_port() -> int:
    """Return a port on which nothing listens now."""
    with socket.create_server((ADDRESS, 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def fleet_of(
    targets: dict[str, tuple[str, int]],
    *,
    streamed: bool,
    upload: bool = True,
    slots: int = 4,
    **service: Any,
) -> Fleet:
    """Return a fleet of targets, by name their VM and port, whose route takes uploads or not."""
    value = {
        "services": {"s": {"floor_slots": 1, "retry_ratio": 0.5, **service}},
        "targets": {
            name: {"service": "s", "vm": vm, "address": f"{ADDRESS}:{port}", "slots": slots}
            for name, (vm, port) in targets.items()
        },
        "routes": {"put": {"path": "/", "service": "s", "upload": upload, "timeout_ms": 4000}},
        "sharing": {"streamed_bodies": streamed},
    }
    return Fleet.from_documents([("all", json.dumps(value))], revision=1, digest="d")


class OldSidecar(Sidecar):
    """A sidecar of an earlier release, which takes no body in parts."""

    def check(self, check: AdmissionCheck) -> Message:
        return {
            name: value for name, value in super().check(check).items() if name != "takes_parts"
        }


class Path:
    """An ingress on one VM, and the sidecar of another.

    Args:
        targets: By name, their VM (`vm-1` is that of the ingress) and port.
        old: Whether the sidecar knows nothing of streamed bodies.
        upload: Whether the route is one of uploads.
        limit: Most bytes that each node keeps.
        service: Further settings of the service.
    """

    def __init__(
        self,
        targets: dict[str, tuple[str, int]],
        *,
        old: bool = False,
        upload: bool = True,
        limit: int = LIMIT_BYTES,
        **service: Any,
    ) -> None:
        self.metrics = Metrics()
        self.budgets = [ByteBudget(limit), ByteBudget(limit)]
        self._fleet = fleet_of(targets, streamed=upload, upload=upload, **service)
        port = free_port()
        self._refs: list[Any] = []
        near, self.view = self._sidecar("vm-1", self._fleet)
        kind = OldSidecar if old else Sidecar
        far, _ = self._sidecar(
            "vm-2", fleet_of(targets, streamed=upload and not old, upload=upload, **service), kind
        )
        self.sidecars = [near, far]
        gates = [ByteGate(budget, self.metrics) for budget in self.budgets]
        far_gate = None if old else gates[1]
        self._start(StreamServer, self._settings("vm-2", 0, port), far, far_gate)
        self.view.nodes = {"vm-2": PeerNode("vm-2", ADDRESS, port, "hall", "region")}
        self.peers = PeerPool(near.hello(), ())
        self.dispatcher = Dispatcher(
            self.view,
            1,
            near,
            self.peers,
            PauseWatch(),
            behind=lambda *_: None,
            metrics=self.metrics,
            seed=1,
        )
        settings = self._settings("vm-1", 0, 0)
        self._ingress = self._start(
            Ingress, settings, self.dispatcher, self.view, self.metrics, gate=gates[0]
        ).proxy()
        self.address: tuple[str, int] = self._ingress.address.get()
        self._callers: list[Caller] = []

    @property
    def active(self) -> int:
        """Requests in progress at the ingress."""
        active: int = self._ingress.active.get()
        return active

    def caller(self) -> Caller:
        """Open a connection; `close` closes it."""
        caller = Caller(self.address)
        self._callers.append(caller)
        return caller

    def close(self) -> None:
        """Stop everything."""
        for caller in self._callers:
            caller.close()
        self.peers.close()
        for ref in self._refs:
            ref.stop()

    def _sidecar(
        self, vm: str, fleet: Fleet, kind: type[Sidecar] = Sidecar
    ) -> tuple[Sidecar, View]:
        view = View(vm, "hall", "region")
        view.fleet, view.ready = fleet, True
        view.limits = CallerLimits(max_body_bytes=MAX_BODY_BYTES)
        sidecar = kind(
            vm, 7, PauseWatch(), pull=dict, behind=lambda *_: None, shutdown=view.shutdown
        )
        sidecar.configure(fleet)
        return sidecar, view

    def _settings(self, vm: str, callers: int, stream: int) -> Settings:
        ports = Ports(callers, stream, 0, 0)
        return Settings(vm, "hall", "region", ADDRESS, ADDRESS, ports, "")

    def _start(self, kind: Any, *args: Any, **options: Any) -> Any:
        ref = kind.start(*args, **options)
        ref.proxy().actor_urn.get()  # it listens once it handles messages
        self._refs.append(ref)
        return ref


@contextmanager
def opened(vm: str, *, old: bool = False, upload: bool = True) -> Iterator[tuple[Path, RawTarget]]:
    """Run a path to one target on a VM."""
    target = RawTarget()
    path = Path({"t1": (vm, target.port)}, old=old, upload=upload)
    try:
        yield path, target
    finally:
        path.close()
        target.close()
