"""LOST: some clients send bodies within `MaxBodyBytes` at once, and the node outgrows its memory.

The platform kills a process that goes over `MemoryMb`; here the platform is a thread that watches
the memory of the node and does the same. The requests that the node had accepted from kept
connections and handed to sound servers end without an answer.
"""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage import MEMORY_MB, Answer, Client, Deployment, Record, config, route_row, trouble

SENDERS = 10
BODY_BYTES = 14 << 20
"""Less than a quarter of `MaxBodyBytes` (64 MiB). One such request alone is served."""
QUIET_BODY_BYTES = 14 << 10
BYTES_PER_S = 6_000_000
"""Of one sender: all of them together take half of a link of 1,000 Mbit/s."""
STEADY = 40
"""Clients that send small requests on kept connections meanwhile."""
WORK_S = 0.6
SECONDS = 10.0
POLL_S = 0.01
MOST_LOST = 3


class Platform(threading.Thread):
    """Kills the node's process once it goes over its memory, as the platform does."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(daemon=True)
        self._node = deployment.nodes[0]
        self._record = deployment.record
        self.peak_mb = 0.0
        self.killed_at = 0.0

    def run(self) -> None:
        """Watch the memory until the process ends."""
        while self._node.is_running:
            used_mb = self._node.memory_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > MEMORY_MB:
                self._record.add(f"platform: {used_mb:.0f} MB of {MEMORY_MB}, process killed")
                self.killed_at = time.monotonic()
                self._node.process.kill()
                return
            time.sleep(POLL_S)


def play(deployment: Deployment, size: int) -> list[tuple[str, Answer, float]]:
    """Send the bodies and the small requests; return the small ones' answers and their ends."""
    node = deployment.nodes[0]
    until = time.monotonic() + SECONDS
    ended: list[tuple[str, Answer, float]] = []

    def steady(number: int) -> None:
        client = Client(node.callers, deployment.record)
        count = 0
        while time.monotonic() < until:
            request = f"steady-{number}-{count}"
            answer = client.ask("POST", "/pufi791/2f", request, body=b"x" * 300)
            ended.append((request, answer, time.monotonic()))
            if not answer.status:
                return
            count += 1

    def send(number: int) -> None:
        try:
            client = Client(node.callers, deployment.record)
        except OSError:
            return
        body = os.urandom(size)
        client.ask(
            "POST",
            "/pufi791/2f",
            f"body-{number}",
            body=body,
            deadline_ms=9000,
            pace=BYTES_PER_S,
        )

    threads = [threading.Thread(target=steady, args=(n,)) for n in range(STEADY)]
    for thread in threads:
        thread.start()
    time.sleep(1.5)
    senders = [threading.Thread(target=send, args=(n,)) for n in range(SENDERS)]
    for thread in senders:
        thread.start()
    for thread in [*threads, *senders]:
        thread.join()
    return ended


def main() -> int:
    """Play the case and return the exit code."""
    record = Record(Path(__file__).resolve().parent)
    deployment = Deployment(record, ["vitrine", "bancada", "bancada", "vitrine"])
    try:
        for backend in deployment.backends:
            backend.work_s = WORK_S
        rows = [route_row("r-1", "/pufi791/", "non_idempotent", "bancada", "10s")]
        if not deployment.start(config(7, rows, deployment.services)):
            record.write("could not run: the nodes did not become ready")
            return 2
        platform = Platform(deployment)
        platform.start()
        ended = play(deployment, BODY_BYTES if trouble() else QUIET_BODY_BYTES)
    finally:
        deployment.close()
    handed = {request for backend in deployment.backends for _, request, _ in backend.runs}
    lost = [
        request
        for request, answer, _ in ended
        if not answer.status and request in handed and not request.endswith("-0")
    ]
    verdict = (
        f"{len(ended)} small requests, {len(lost)} handed to a sound server from a kept connection "
        f"that closed without an answer; memory of the node {platform.peak_mb:.0f} MB at most"
    )
    record.write(verdict)
    if not any(answer.status == 200 for _, answer, _ in ended):
        return 2
    return 1 if len(lost) > MOST_LOST and platform.killed_at else 0


if __name__ == "__main__":
    sys.exit(main())
