"""Runs `roadpassd` processes of one node, and the signals sent to them as faults."""

import contextlib
import json
import signal
import socket
import subprocess
import sys
from math import inf
from pathlib import Path

from roadpass import clock
from roadpass.sharing import Sharing
from soak.checker import GRACE_S, MEMORY_MB, MIN_SHARE
from soak.history import Disturbance, History, NodeProcess
from soak.target import SoakTarget

PORTS = {"callers": 8101, "stream": 8102, "gossip": 8102, "admin": 8103}
LOG, CONNECT_TIMEOUT_S = {"format": "json"}, 0.05
ROTATION_DELAY_S = 1.0
"""Seconds after SIGTERM in which a node still gets new connections, as from callers that learn of
its shutdown by readiness checks."""


class SoakNode:
    """A node whose process is started again after each exit while `restarts` is set.

    `downtime` is the current disturbance from a stop or kill to the next start, `None` while the
    node serves.
    """

    def __init__(
        self,
        target: SoakTarget,
        folder: Path,
        store: str,
        history: History,
        *,
        pressure: bool = False,
        bounds: bool = False,
    ) -> None:
        self._memory_mb = MEMORY_MB if bounds else 0
        self.name = name = target.instance.node
        self.restarts = True
        self._ip = ip = target.ip
        self._history = history
        self._settings = folder / f"{name}.jsonc"
        settings = _settings(ip, store, pressure=pressure) | {"memory_mb": self._memory_mb}
        self._settings.write_text(json.dumps(settings))
        self._log = (folder / f"{name}.log").open("ab")
        self.downtime: Disturbance | None = None
        self._start()

    @property
    def in_rotation(self) -> bool:
        """Whether new connections should go to the node."""
        return self.downtime is None or clock.now() - self.process.sigterm_at < ROTATION_DELAY_S

    def stop(self) -> None:
        """Send SIGTERM, unless the node has not finished starting."""
        if self.downtime is None:
            self.process.sigterm_at = clock.now()
            self.downtime = self._history.begin_disturbance(self.name, "stop")
        if self.process.sigterm_at < inf:
            self._popen.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process with SIGKILL, as a fault."""
        self.process.killed = True
        self.downtime = self.downtime or self._history.begin_disturbance(self.name, "kill")
        self._popen.kill()

    def set_paused(self, fault: str) -> None:
        """Pause the node with SIGSTOP, or resume it if `fault` is empty."""
        self._popen.send_signal(signal.SIGSTOP if fault else signal.SIGCONT)

    def tick(self) -> None:
        """Record exits and starts.

        Starts the node again after an exit, and kills it at the end of the grace period.
        """
        self._enforce_memory()
        if self._popen.poll() is not None:
            self.process.exited_at = min(clock.now(), self.process.exited_at)
            self.process.exit_code = self._popen.returncode
            if self.restarts:
                self._start()
        elif clock.now() - self.process.sigterm_at >= GRACE_S and not self.process.overdue:
            self.process.overdue = True
            self._popen.kill()
        elif self.downtime and not self.process.killed and self.process.sigterm_at == inf:
            with (
                contextlib.suppress(OSError),
                socket.create_connection(self.process.address, CONNECT_TIMEOUT_S),
            ):
                self.downtime.end = clock.now()
                self.downtime = None

    def _enforce_memory(self) -> None:
        """Kill the process if it has more memory than a run with bounds allows."""
        if self._memory_mb and not self.process.killed:
            used_mb = _memory_mb(self._popen.pid)
            if used_mb > self._memory_mb:
                self.process.over_memory_mb = used_mb
                self.kill()

    def close(self) -> None:
        """Kill the process, whatever its state."""
        self._popen.kill()
        self._popen.wait()
        self._log.close()

    def _start(self) -> None:
        self.downtime = self.downtime or self._history.begin_disturbance(self.name, "start")
        self.process = NodeProcess(self.name, (self._ip, PORTS["callers"]))
        self._history.node_processes.append(self.process)
        command = [sys.executable, "-m", "roadpass.daemon", f"--settings={self._settings}"]
        self._popen = subprocess.Popen(command, stdout=self._log, stderr=subprocess.STDOUT)


def _memory_mb(pid: int) -> float:
    """Return the memory of a process without shared files, 0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024.0
    return 0.0


def _settings(ip: str, store: str, *, pressure: bool) -> dict[str, object]:
    store_settings: dict[str, object] = {
        "address": store,
        "floor_share": MIN_SHARE,
        "retry_ratio": 0.2,
        "retry_slack": 10,
    }
    if pressure:
        store_settings["sharing"] = dict.fromkeys(Sharing._fields, True)
    return {
        **{"vm": ip, "address": ip, "hall": "h", "region": "r", "origin_service": "soak"},
        **{"ports": PORTS, "store": store_settings, "stop_limit_s": GRACE_S, "log": LOG},
    }
