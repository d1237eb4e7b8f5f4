"""Synthetic fleets on loopback addresses: one target per VM, four data halls."""

import json

HALLS = ("hall-a", "hall-b", "hall-c", "hall-d")


def documents(net: int, nodes: int, *, mark: str = "") -> dict[str, str]:
    """Return the configuration documents of a fleet with one target per node.

    Args:
        net: Third byte of the addresses.
        nodes: Number of nodes.
        mark: Value of a label of every target, which makes two revisions differ.
    """
    services = {f"s{n}": {"floor_slots": 1} for n in range(max(1, nodes // 5))}
    targets = {
        f"t{n}": {
            "service": f"s{(n - 1) % len(services)}",
            "vm": f"vm-{n}",
            "address": f"127.0.{net}.{n}:9000",
            "slots": 10,
            "hall": HALLS[n % len(HALLS)],
            "labels": {"tier": "main", "mark": mark},
        }
        for n in range(1, nodes + 1)
    }
    routes = {
        f"r{n}": {"path": f"/{name}", "service": name, "repeatable": True}
        for n, name in enumerate(services)
    }
    return {
        "services": json.dumps({"services": services}, indent=1),
        "targets": json.dumps({"targets": targets}, indent=1),
        "routes": json.dumps({"routes": routes}, indent=1),
    }
