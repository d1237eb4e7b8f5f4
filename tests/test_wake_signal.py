"""The signal on which a waiting request blocks its caller's thread."""

import socket
import threading

from roadpass import clock
from roadpass.wake_signal import WakeSignal

LIMIT_S = 10.0


class Watch:
    """Watches one end of a connection."""

    watchable = True

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def fileno(self) -> int:
        return self._sock.fileno()

    def gone(self) -> bool:
        return False


def waited_s(signal: WakeSignal, watch: Watch | None, wake: threading.Timer) -> float:
    """Return how long a wait took that another thread ends."""
    began = clock.now()
    wake.start()
    signal.wait(LIMIT_S, watch)
    return clock.now() - began


def test_signal_and_the_callers_connection_end_a_wait() -> None:
    """A waiter that only looked now and then would find its slot, or its caller's leave, late."""
    ours, theirs = socket.socketpair()
    signal = WakeSignal()
    with ours, theirs:
        watch = Watch(ours)
        assert waited_s(signal, watch, threading.Timer(0.02, theirs.close)) < LIMIT_S / 2.0
        assert waited_s(signal, None, threading.Timer(0.02, signal.set)) < LIMIT_S / 2.0
    signal.close()


def test_set_after_close_does_nothing() -> None:
    """The number of the descriptor may belong to a caller's connection by then."""
    signal = WakeSignal()
    number = signal._fd
    signal.close()
    ours, theirs = socket.socketpair()
    with ours, theirs:
        assert number in (ours.fileno(), theirs.fileno())
        signal.set()
        theirs.setblocking(False)
        ours.setblocking(False)
        for end in (ours, theirs):
            try:
                assert end.recv(8) == b"nothing arrives"
            except BlockingIOError:
                continue
