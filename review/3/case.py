"""DRAIN: one machine's watch is cut, then a server's entry goes, and all send to it for too long.

The server never says `draining`: its entry goes, and it serves on for `Drain` and a little longer.
The store is up all the time and answers every call but that one. Only requests count that neither
came in at the machine whose watch was cut, nor went to its server: all other machines had no
disruption of any kind.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage import (
    DRAIN_S,
    Client,
    Deployment,
    Node,
    Record,
    config,
    route_row,
    trouble,
)

CALM_S = 5.0
"""Before the entry goes: longer than `Contact`, so all machines are in touch."""
CUT_BEFORE_S = 0.05
LITTLE_LONGER_S = 0.4
"""Beyond `Drain` after which the server ends."""
SECONDS_AFTER = 4.0
WORK_S = 0.2
GAP_S = 0.01
FIND_LIMIT_S = 5.0


def only_watch(deployment: Deployment) -> tuple[int, str]:
    """Wait until one watch waits; return the port of its client, and the machine that it is of."""
    until = time.monotonic() + FIND_LIMIT_S
    while time.monotonic() < until:
        ports = list(deployment.store.watches)
        owners = [n.ip for n in deployment.nodes if ports and n.has_connection(ports[0])]
        if len(ports) == 1 and len(owners) == 1 and ports == list(deployment.store.watches):
            return ports[0], owners[0]
        time.sleep(0.01)
    return 0, ""


class Load:
    """Clients at every node, with non-idempotent requests one after the other."""

    def __init__(self, deployment: Deployment, threads: int) -> None:
        self._deployment = deployment
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number, node))
            for node in deployment.nodes
            for number in range(threads)
        ]
        self.statuses: dict[str, int] = {}
        self.nodes: dict[str, str] = {}
        """The machine at which each request came in."""

    def start(self) -> None:
        """Start the clients."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the clients and wait for their last answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, node: Node) -> None:
        client = Client(node.callers, self._deployment.record)
        count = 0
        while not self._stopped.is_set():
            request = f"{node.ip.rpartition('.')[2]}-{number}-{count}"
            self.nodes[request] = node.ip
            answer = client.ask("POST", "/pufi791/2f", request, body=b"x" * 400)
            self.statuses[request] = answer.status
            if answer.status != 200:
                client.close()
                client = Client(node.callers, self._deployment.record)
            count += 1
            time.sleep(GAP_S)


def main() -> int:
    """Play the case and return the exit code."""
    record = Record(Path(__file__).resolve().parent)
    deployment = Deployment(record, ["vitrine", "vitrine", "vitrine", "vitrine", "bancada"])
    rows = [route_row("r-1", "/pufi791/", "non_idempotent", "vitrine")]
    is_cut = False
    try:
        for backend in deployment.backends:
            backend.work_s = WORK_S
        if not deployment.start(config(7, rows, deployment.services)):
            record.write("could not run: the nodes did not become ready")
            return 2
        load = Load(deployment, threads=8)
        load.start()
        time.sleep(CALM_S)
        port, reader = only_watch(deployment)
        server = next(b for b in deployment.backends if b.ip != reader and b.service == "vitrine")
        if trouble():
            is_cut = deployment.store.cut_watch(port)
            record.add(f"store: the waiting watch of {reader} is cut")
            time.sleep(CUT_BEFORE_S)
        gone_at = deployment.store.delete(f"servers/{server.instance}")
        record.add(f"store: the entry of {server.instance} is gone, acknowledged")
        time.sleep(gone_at + DRAIN_S + LITTLE_LONGER_S - time.monotonic())
        server.end()
        record.add(f"{server.instance} has ended")
        time.sleep(SECONDS_AFTER)
        load.stop()
    finally:
        deployment.close()
    if trouble() and not is_cut:
        record.write("could not run: no single watch was waiting")
        return 2
    after = {
        request: at - gone_at
        for at, request, _ in server.runs
        if at > gone_at and load.nodes[request] != reader
    }
    late = {request: at for request, at in after.items() if at > DRAIN_S}
    lost = sorted(request for request in late if load.statuses[request] != 200)
    record.write(
        f"{len(load.statuses)} requests; {len(after)} reached {server.instance} after its entry "
        f"was gone, the last after {max(after.values(), default=0.0):.3f} s; {len(late)} later "
        f"than Drain, 2 s, of which {len(lost)} were lost when it ended"
    )
    if 200 not in load.statuses.values():
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
