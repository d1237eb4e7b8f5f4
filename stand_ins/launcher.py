"""Starts a sample fleet as separate processes on loopback, for the demo, tests and benchmarks."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import jsonyx
import jsonyx.allow
import urllib3

from roadpass import clock
from roadpass.fleet import Fleet

ROOT = Path(__file__).parent.parent
PORTS = {"callers": 8080, "stream": 8081, "gossip": 8082, "admin": 8083}
PLATFORM_PORT = 7000
START_LIMIT_S = 30.0
STOP_LIMIT_S = 15.0


class Launcher:
    """Processes of one fleet; every VM has its own address, `127.0.<net>.<number>`.

    Args:
        documents: Documents of the first revision by name.
        net: Third number of the addresses.
        settings: Additional settings for every node.
        advertise_net: Third number of the addresses that peers use, if a relay is in between.
    """

    def __init__(
        self,
        documents: Mapping[str, str],
        *,
        net: int,
        settings: Mapping[str, Any] | None = None,
        advertise_net: int | None = None,
    ) -> None:
        self.documents = dict(documents)
        self.net = net
        self._settings = dict(settings or {})
        self._advertise_net = advertise_net
        self._folder = Path(tempfile.mkdtemp(prefix="roadpass-"))
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fleet = Fleet.from_documents(self.documents.items())
        self.vms = sorted({t.vm for t in self.fleet.targets.values()}, key=_number)
        self.platform = f"127.0.{net}.250:{PLATFORM_PORT}"

    @classmethod
    def from_example(cls, name: str, **options: Any) -> "Launcher":
        """Build a launcher for a folder of documents under `examples/`."""
        folder = ROOT / "examples" / name
        documents = {path.stem: path.read_text() for path in sorted(folder.glob("*.jsonc"))}
        net = int(next(iter(_targets(documents).values()))["address"].split(".")[2])
        return cls(documents, net=net, **options)

    def __enter__(self) -> "Launcher":
        try:
            self.start_platform()
            for target in self.fleet.targets.values():
                self.start_target(target.name)
            for vm in self.vms:
                self.start_node(vm)
            self.wait_ready()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def address(self, vm: str) -> str:
        """Return the IP address of a VM."""
        return f"127.0.{self.net}.{_number(vm)}"

    def ingress(self, vm: str) -> str:
        """Return the callers' address of a node."""
        return f"{self.address(vm)}:{PORTS['callers']}"

    def start_platform(self) -> None:
        """Start the platform with the first revision and the VM list."""
        host, _, port = self.platform.rpartition(":")
        self._spawn("platform", "stand_ins.platform", "--address", host, "--port", port)
        self._wait_for(f"http://{self.platform}/_calls")
        self.publish(self.documents)
        self.set_vms([])

    def start_target(self, name: str) -> None:
        """Start one target's process."""
        target = self.fleet.targets[name]
        self._spawn(
            name,
            "stand_ins.target",
            f"--name={name}",
            f"--address={target.address}",
            f"--slots={target.slots}",
        )

    def start_node(self, vm: str) -> None:
        """Start one node's process."""
        path = self._folder / f"{vm}.jsonc"
        path.write_text(json.dumps(self.node_settings(vm)))
        self._spawn(vm, "roadpass.daemon", f"--settings={path}")

    def node_settings(self, vm: str) -> dict[str, Any]:
        """Return the settings of a node."""
        seeds = [other for other in self.vms if other != vm][:2]
        settings = {
            "vm": vm,
            "hall": self.hall(vm),
            "region": f"region-{self.net}",
            "address": self.address(vm),
            "advertise": self._advertised(vm),
            "ports": PORTS,
            "platform": {"url": f"http://{self.platform}", "watch_s": 5},
            "seeds": [f"{self._advertised(seed)}:{PORTS['gossip']}" for seed in seeds],
            "log": {"level": "info"},
        }
        return {**settings, **self._settings}

    def hall(self, vm: str) -> str:
        """Return the data hall of a VM, "hall" if no target names one."""
        for target in self.fleet.targets.values():
            if target.vm == vm and target.hall:
                return target.hall
        return "hall"

    def wait_ready(self, vms: Sequence[str] | None = None) -> None:
        """Wait until these nodes, by default all, report ready."""
        for vm in vms or self.vms:
            self._wait_for(f"http://{self.address(vm)}:{PORTS['admin']}/ready")

    def set_vms(self, leaving: Sequence[str]) -> None:
        """Publish the VM list; VMs in `leaving` are marked as leaving."""
        rows = [
            {
                "vm": vm,
                "address": self._advertised(vm),
                "stream_port": PORTS["stream"],
                "gossip_port": PORTS["gossip"],
                "hall": self.hall(vm),
                "region": f"region-{self.net}",
                "leaving": vm in leaving,
            }
            for vm in self.vms
        ]
        self.post(f"http://{self.platform}/_vms", rows)

    def publish(self, documents: Mapping[str, str], *, revision: int | None = None) -> int:
        """Publish a revision and return its number; `revision` overrides the next number."""
        body: dict[str, Any] = {"documents": dict(documents)}
        if revision is not None:
            body["revision"] = revision
        number: int = self.post(f"http://{self.platform}/_publish", body)["revision"]
        return number

    def platform_control(self, **changes: Any) -> None:
        """Set faults of the platform: `down`, `slow_s`, `stale`."""
        self.post(f"http://{self.platform}/_control", changes)

    def platform_calls(self) -> int:
        """Return the number of calls that the platform has received."""
        calls: int = self.get(f"http://{self.platform}/_calls")["calls"]
        return calls

    def target_control(self, name: str, **behaviour: Any) -> None:
        """Set the behaviour of a target to the defaults with these changes."""
        self.post(f"http://{self.fleet.targets[name].address}/_control", behaviour)

    def ledger(self, name: str) -> dict[str, Any]:
        """Return the ledger of a target, with its counts of runs by request id."""
        ledger: dict[str, Any] = self.get(f"http://{self.fleet.targets[name].address}/_ledger")
        return ledger

    def admin(self, vm: str, page: str) -> Any:
        """Read a page of a node's administration API."""
        return self.get(f"http://{self.address(vm)}:{PORTS['admin']}{page}")

    def kill(self, name: str) -> None:
        """Kill a process that this launcher started."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this launcher started."""
        self.processes[name].send_signal(number)

    def stop(self, name: str, limit_s: float = 40.0) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(limit_s)

    def log(self, name: str) -> str:
        """Return the output of a process."""
        return (self._folder / f"{name}.log").read_text()

    def get(self, url: str) -> Any:
        """Get a JSON value from a URL."""
        return json.loads(self._http.request("GET", url).data)

    def post(self, url: str, value: Any) -> Any:
        """Post a JSON value to a URL and return the JSON of the response."""
        return json.loads(self._http.request("POST", url, body=json.dumps(value)).data)

    def close(self) -> None:
        """Kill all processes, paused ones too."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(STOP_LIMIT_S)
        self.processes.clear()

    def _advertised(self, vm: str) -> str:
        net = self.net if self._advertise_net is None else self._advertise_net
        return f"127.0.{net}.{_number(vm)}"

    def _spawn(self, name: str, module: str, *arguments: str) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )

    def _wait_for(self, url: str) -> None:
        deadline = clock.now() + START_LIMIT_S
        while clock.now() < deadline:
            ended = [name for name, process in self.processes.items() if process.poll()]
            if ended:
                raise ChildProcessError(f"{ended[0]} exited early: {self.log(ended[0])[-2000:]}")
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if self._http.request("GET", url, timeout=2.0).status == 200:
                    return
            time.sleep(0.05)
        raise TimeoutError(f"{url} did not return 200 in time; logs are in {self._folder}")


def _number(vm: str) -> int:
    return int(vm.rpartition("-")[2])


def _targets(documents: Mapping[str, str]) -> dict[str, Any]:
    allow = jsonyx.allow.COMMENTS | jsonyx.allow.TRAILING_COMMA
    found: dict[str, Any] = jsonyx.loads(documents["targets"], allow=allow)["targets"]
    return found
