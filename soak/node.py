"""One `roadpassd` process after another, and what befalls them."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
from math import inf
from pathlib import Path

from roadpass import clock
from soak.checker import GRACE_S, MIN_SHARE
from soak.history import History, Life, Trouble
from soak.target import SoakTarget

PORTS = {"callers": 8101, "stream": 8102, "gossip": 8102, "admin": 8103}
LOG, LOOK_S = {"format": "json"}, 0.05
OFFERED_S = 1.0
"""Seconds that new connections go to a node after it was told to stop; callers check readiness."""


class SoakNode:
    """A node that is started again whenever it ends, while it `restarts`; `down` if not started."""

    def __init__(self, target: SoakTarget, folder: Path, store: str, history: History) -> None:
        self.name = name = target.instance.node
        self.restarts = True
        self._ip = ip = target.ip
        self._history = history
        self._settings = folder / f"{name}.jsonc"
        self._settings.write_text(json.dumps(_settings(ip, store)))
        self._log = (folder / f"{name}.log").open("ab")
        self.down: Trouble | None = None
        self._start()

    @property
    def offered(self) -> bool:
        """Whether new connections should go to the node."""
        return self.down is None or clock.now() - self.life.stopping < OFFERED_S

    def stop(self) -> None:
        """Tell the node to stop, once it has started."""
        if self.down is None:
            self.life.stopping = clock.now()
            self.down = self._history.trouble(self.name, "stop")
        if self.life.stopping < inf:
            self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the node at once."""
        self.life.killed = True
        self.down = self.down or self._history.trouble(self.name, "kill")
        self._process.kill()

    def hold(self, fault: str) -> None:
        """Pause the node, or let it go on if there is no fault."""
        self._process.send_signal(signal.SIGSTOP if fault else signal.SIGCONT)

    def tick(self) -> None:
        """Note an end and start again; end what is there after its grace time; note a start."""
        if self._process.poll() is not None:
            self.life.ended = min(clock.now(), self.life.ended)
            self.life.code = self._process.returncode
            if self.restarts:
                self._start()
        elif clock.now() - self.life.stopping >= GRACE_S and not self.life.overdue:
            self.life.overdue = True
            self._process.kill()
        elif self.down and not self.life.killed and self.life.stopping == inf:
            with contextlib.suppress(OSError), socket.create_connection(self.life.address, LOOK_S):
                self.down.end = clock.now()
                self.down = None

    def close(self) -> None:
        """End the process, whatever its state."""
        self._process.kill()
        self._process.wait()
        self._log.close()

    def _start(self) -> None:
        self.down = self.down or self._history.trouble(self.name, "start")
        self.life = Life(self.name, (self._ip, PORTS["callers"]))
        self._history.lives.append(self.life)
        command = [sys.executable, "-m", "roadpass.daemon", f"--settings={self._settings}"]
        self._process = subprocess.Popen(command, stdout=self._log, stderr=subprocess.STDOUT)


def _settings(ip: str, store: str) -> dict[str, object]:
    source = {"address": store, "floor_share": MIN_SHARE, "retry_ratio": 0.2, "retry_slack": 10}
    return {
        **{"vm": ip, "address": ip, "hall": "h", "region": "r", "origin_service": "soak"},
        **{"ports": PORTS, "store": source, "stop_limit_s": GRACE_S, "log": LOG},
    }
