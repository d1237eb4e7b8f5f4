"""ROUTE: a version adds a longer prefix, and requests that it doesn't begin go to its service.

The paths have no slash behind their last part, as those that the wire's examples show. The added
prefix ends with a slash, so it doesn't begin them: the first route's service is still theirs.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stage import Client, Deployment, Record, config, route_row, trouble

PATH = "/pufi791/2f"
FIRST = route_row("r-1", "/pufi791/", "non_idempotent", "vitrine")
ADDED = route_row("r-2", "/pufi791/2f/", "non_idempotent", "bancada")
NEVER = "/lohu930"
"""Begun by no prefix of any version; `/lohu930/` is one."""
OTHER = route_row("r-3", "/lohu930/", "non_idempotent", "bancada")
SECONDS = 8.0
CHANGE_AT_S = 2.0
GAP_S = 0.05


def services_allowed(path: str, rows: list[list[object]]) -> set[object]:
    """Return the service of the longest prefix that begins a path, as the pages choose it."""
    found = [row for row in rows if path.startswith(str(row[2]))]
    return {max(found, key=lambda row: len(str(row[2])))[7]} if found else set()


def main() -> int:
    """Play the case and return the exit code."""
    record = Record(Path(__file__).resolve().parent)
    deployment = Deployment(record, ["vitrine", "vitrine", "bancada"])
    rows = [FIRST, OTHER]
    versions = [rows]
    answers: dict[str, int] = {}
    try:
        if not deployment.start(config(7, rows, deployment.services)):
            record.write("could not run: the nodes did not become ready")
            return 2
        until = time.monotonic() + SECONDS

        def load(number: int) -> None:
            client = Client(deployment.nodes[number].callers, record)
            count = 0
            while time.monotonic() < until:
                path = NEVER if trouble() and count % 10 == 9 else PATH
                request = f"c{number}-{count}"
                answer = client.ask("POST", path, request, body=b"x" * 400)
                answers[request] = answer.status
                if answer.status != 200:
                    client.close()
                    client = Client(deployment.nodes[number].callers, record)
                count += 1
                time.sleep(GAP_S)

        threads = [threading.Thread(target=load, args=(n,)) for n in range(len(deployment.nodes))]
        for thread in threads:
            thread.start()
        time.sleep(CHANGE_AT_S)
        if trouble():
            versions.append([FIRST, ADDED, OTHER])
            deployment.store.put("op/config", config(11, versions[-1], deployment.services))
            record.add("operator: version 11 with /pufi791/2f/ to bancada is acknowledged")
        for thread in threads:
            thread.join()
    finally:
        deployment.close()
    wrong: dict[str, int] = {}
    for backend in deployment.backends:
        for _, _, path in backend.runs:
            if not any(backend.service in services_allowed(path, each) for each in versions):
                wrong[path] = wrong.get(path, 0) + 1
    served = sum(status == 200 for status in answers.values())
    record.write(
        f"{len(answers)} requests, {served} answered with success; run by a service to which no "
        f"version lets them go, by path: {wrong or 'none'}"
    )
    if not served:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
