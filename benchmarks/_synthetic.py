"""Synthetic fleets on loopback: one VM a target, four data halls."""

import json

HALLS = ("hall-a", "hall-b", "hall-c", "hall-d")


def documents(net: int, nodes: int, *, mark: str = "") -> dict[str, str]:
    """Return the documents of a fleet of some nodes, one target each.

    Args:
        net: Third number of the addresses.
        nodes: How many.
        mark: Put into a label, so that two revisions differ.
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
