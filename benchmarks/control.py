"""Measures what control costs a node: CPU, memory and bytes; idle, under changes, at full scale."""

import argparse
import contextlib
import importlib
import json
import os
import random
import socket
import subprocess
import sys
import threading
import time
from typing import Any, NamedTuple

from benchmarks._process import Usage
from benchmarks._synthetic import documents
from benchmarks.configuration import NET, NodeLauncher
from roadpass import clock
from roadpass.admission import Admission
from roadpass.errors import StreamError
from roadpass.fence import FenceTable
from roadpass.fleet import Fleet, Service, Target, TrafficClass
from roadpass.member import Member, MemberState
from roadpass.membership import Members
from roadpass.route import Route
from roadpass.stream import Stream
from roadpass.view import PeerNode
from stand_ins.launcher import Launcher

SIZES = (10, 20, 40)
TABLES = ("imports", "services", "targets", "routes", "customers", "members", "streams", "fences")
IDLE_S = 20.0
CHANGE_S = 2.0
CHANGES = 8
SERVICES, TARGETS, ROUTES = 4_000, 130_000, 37_000
CUSTOMERS_PER_NODE = 1_400_000 // 4_200
MEMBERS = 4_200
STREAMS = 200
FENCES = 180 * 452
"""Attempts in the fence table of a sidecar at full scale: 180 s of window times 452 a second."""
PARSED_TARGETS = 20_000
"""Targets in the documents whose parsing is timed, 4000 a document: a document has at most 1 MB."""


class Size(NamedTuple):
    """Figures of one node at a size of fleet: means, and the largest memory of any."""

    idle_percent: float
    change_percent: float
    rss_mb: float
    idle_bytes_per_s: float
    change_bytes_per_s: float


class Reading(NamedTuple):
    """Sums over all nodes, except `rss_mb`, which is the largest of any."""

    at: float
    cpu_s: float
    rss_mb: float
    bytes: float


def read_usage(fleet: Launcher) -> Reading:
    """Read processes and counters of all nodes; the cost of the queries is included."""
    usages = [Usage.from_pid(fleet.processes[vm].pid) for vm in fleet.vms]
    total = 0.0
    for vm in fleet.vms:
        counters = fleet.admin(vm, "/metrics.json")["counters"]
        names = ("gossip_sent_bytes", "gossip_received_bytes", "pull_bytes")
        total += sum(counters.get(name, 0) for name in names)
    return Reading(
        clock.now(),
        sum(usage.cpu_s for usage in usages),
        max(usage.rss_mb for usage in usages),
        total,
    )


def measure(nodes: int) -> Size:
    """Run a fleet idle, then with a change every `CHANGE_S`."""
    with NodeLauncher(documents(NET, nodes), net=NET) as fleet:
        time.sleep(5.0)
        begin = read_usage(fleet)
        time.sleep(IDLE_S)
        idle = read_usage(fleet)
        for number in range(CHANGES):
            fleet.publish(documents(NET, nodes, mark=f"m{number}"))
            time.sleep(CHANGE_S)
        changed = read_usage(fleet)
    return Size(
        idle_percent=_percent(begin, idle, nodes),
        change_percent=_percent(idle, changed, nodes),
        rss_mb=round(changed.rss_mb, 1),
        idle_bytes_per_s=_rate(begin, idle, nodes),
        change_bytes_per_s=_rate(idle, changed, nodes),
    )


def _percent(begin: Reading, end: Reading, nodes: int) -> float:
    return round(100.0 * (end.cpu_s - begin.cpu_s) / (end.at - begin.at) / nodes, 2)


def _rate(begin: Reading, end: Reading, nodes: int) -> float:
    return round((end.bytes - begin.bytes) / (end.at - begin.at) / nodes, 1)


def table_bytes() -> dict[str, float]:
    """Measure the memory per entry of each table, with a new process for each table."""
    found = {}
    for kind in TABLES:
        command = [sys.executable, "-m", "benchmarks.control", "--table", kind]
        output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        found[kind] = json.loads(output)["rss_mb"]
    base = found["imports"]
    mb = 1024.0 * 1024.0
    return {
        "interpreter_mb": round(bare_rss_mb(), 1),
        "imports_mb": round(base, 1),
        "bytes_per_service": round((found["services"] - base) * mb / SERVICES),
        "bytes_per_target": round((found["targets"] - found["services"]) * mb / TARGETS),
        "bytes_per_route": round((found["routes"] - found["services"]) * mb / ROUTES),
        "bytes_per_customer": round((found["customers"] - base) * mb / CUSTOMERS_PER_NODE),
        "bytes_per_member": round((found["members"] - base) * mb / MEMBERS),
        "bytes_per_fence": round((found["fences"] - base) * mb / FENCES),
        "bytes_per_stream": round((found["streams"] - base) * mb / STREAMS),
    }


def bare_rss_mb() -> float:
    """Return the resident memory of an interpreter that has imported nothing, in MB."""
    code = "print(next(l for l in open('/proc/self/status') if l.startswith('VmRSS')).split()[1])"
    output = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True).stdout
    return int(output) / 1024.0


def parse_us_per_target() -> float:
    """Return the microseconds per target of parsing and checking a revision."""
    texts = []
    for part in range(0, PARSED_TARGETS, 4000):
        targets = {f"t{n}": _target(n) for n in range(part, part + 4000)}
        texts.append((f"targets-{part}", json.dumps({"targets": targets})))
    services = {f"service-{n}": {"floor_slots": 1} for n in range(SERVICES)}
    texts.append(("services", json.dumps({"services": services})))
    begin = time.perf_counter()
    Fleet.from_documents(texts)
    return (time.perf_counter() - begin) / PARSED_TARGETS * 1e6


def build_table(kind: str) -> float:
    """Build one table and return the resident memory of this process in MB."""
    kept: list[Any] = []
    importlib.import_module("roadpass.daemon")
    if kind in ("services", "targets", "routes"):
        kept.append(_fleet(kind))
    if kind == "customers":
        kept.append(_customers())
    if kind == "members":
        kept.append(_members())
    if kind == "fences":
        kept.append(_fences())
    if kind == "streams":
        kept.append(_streams())
    return Usage.from_pid(os.getpid()).rss_mb


def _fleet(kind: str) -> Fleet:
    services = {
        f"service-{n}": Service.from_config(f"service-{n}", {"floor_slots": 1})
        for n in range(SERVICES)
    }
    targets: dict[str, Target] = {}
    routes: dict[str, Route] = {}
    if kind == "targets":
        for n in range(TARGETS):
            targets[f"target-{n}"] = Target.from_config(f"target-{n}", _target(n))
    if kind == "routes":
        for n in range(ROUTES):
            value = {"path": f"/service-{n % SERVICES}/{n}", "service": f"service-{n % SERVICES}"}
            routes[f"route-{n}"] = Route.from_config(f"route-{n}", value)
    return Fleet(services, targets, routes, ())


def _target(number: int) -> dict[str, Any]:
    return {
        "service": f"service-{number % SERVICES}",
        "vm": f"vm-{number % MEMBERS}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
        "slots": 10,
        "hall": "hall-a",
        "labels": {"tier": "main"},
    }


def _member(number: int) -> Member:
    address = f"10.0.{number >> 8}.{number & 255}"
    return Member(f"vm-{number}", 1, MemberState.ALIVE, address, 1, 1, "hall-a", "region")


def _members() -> tuple[Members, dict[str, PeerNode]]:
    members = Members(_member(0), random.Random(1))
    members.seed(0.0, (_member(number) for number in range(1, MEMBERS)))
    nodes = {
        m.vm: PeerNode(m.vm, m.address, m.stream_port, m.hall, m.region) for m in members.all()
    }
    return members, nodes


def _fences() -> FenceTable:
    table = FenceTable(started_at=0.0)
    for n in range(FENCES):
        table.claim(0.0, f"vm-{n % MEMBERS}/1796213467315/{n}")
    return table


def _streams() -> list[Stream]:
    """Open streams to a server in this process, so that both ends are counted."""
    hello = {"t": "hello", "vm": "vm-1", "incarnation": 1}
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        sock, _ = listener.accept()
        with contextlib.suppress(StreamError):
            Stream.accept(sock, (), hello).receive(60.0)

    streams = []
    for _ in range(STREAMS):
        threading.Thread(target=serve, daemon=True).start()
        streams.append(Stream.connect(listener.getsockname(), (), hello))
    return streams


def _customers() -> Admission:
    admission = Admission((TrafficClass("c", 0.0),), slots=1, queue_limit=10**6)
    for n in range(CUSTOMERS_PER_NODE):
        admission.offer(0.0, "c", f"customer-{n}", 60.0, retry=False)
    return admission


def main() -> None:
    """Print the tables and the JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--table", help="only build this table and print the memory")
    options = parser.parse_args()
    if options.table:
        print(json.dumps({"rss_mb": build_table(options.table)}))
        return
    sizes: dict[str, Size] = {}
    columns = ("nodes", "idle %", "change %", "rss MB", "idle B/s", "change B/s")
    print("{:>6} {:>7} {:>9} {:>7} {:>9} {:>11}".format(*columns))
    for nodes in options.sizes:
        size = sizes[str(nodes)] = measure(nodes)
        print(
            f"{nodes:>6} {size.idle_percent:>7.2f} {size.change_percent:>9.2f} "
            f"{size.rss_mb:>7.1f} {size.idle_bytes_per_s:>9.1f} {size.change_bytes_per_s:>11.1f}"
        )
    tables = {**table_bytes(), "parse_us_per_target": round(parse_us_per_target(), 1)}
    print(f"tables: {tables}")
    print(
        json.dumps(
            {
                "core_percent": {n: [s.idle_percent, s.change_percent] for n, s in sizes.items()},
                "rss_mb": {n: s.rss_mb for n, s in sizes.items()},
                "bytes_per_s": {
                    n: [s.idle_bytes_per_s, s.change_bytes_per_s] for n, s in sizes.items()
                },
                **tables,
            }
        )
    )


if __name__ == "__main__":
    main()
