"""Which ways of sharing capacity under load a fleet's configuration and settings call for."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from roadpass.route import Route


class Sharing(NamedTuple):
    """Switches of the parts that share capacity under load; all are off unless called for.

    Args:
        room: Sidecars announce the free room of their targets, and ingresses choose by it.
        queue: Requests that find no room wait at their ingress for a slot.
        fair_shares: Customers of one class share too little room by max-min fairness.
        parents: Calls of targets have the class and customer of the request that makes them.
        fleet_repeats: Sidecars lend each other repeats within the retry budget of the fleet.
        streamed_bodies: Bodies of uploads are streamed whatever their length.
        vm_sizes: Duties of a node depend on the size of its VM.
        warm_up: A target's limit depends on what is left of its warm-up.
    """

    room: bool = False
    queue: bool = False
    fair_shares: bool = False
    parents: bool = False
    fleet_repeats: bool = False
    streamed_bodies: bool = False
    vm_sizes: bool = False
    warm_up: bool = False

    @classmethod
    def from_config(cls, value: Mapping[str, bool]) -> "Sharing":
        """Build the switches from the validated section of a document."""
        return cls(**value)

    def union(self, other: "Sharing") -> "Sharing":
        """Return the switches that are on in either."""
        return Sharing(*(one or two for one, two in zip(self, other, strict=True)))


OFF = Sharing()
STREAMED = Sharing(streamed_bodies=True)
"""What routes of uploads call for. The other parts are turned on by name: on whole fleets none has
been shown to serve more requests, nor to stay within the processor time of a node."""


def sharing_of_routes(routes: Iterable[Route]) -> Sharing:
    """Return the switches that published routes call for.

    An upload is never repeated, so nothing is gained by keeping its body.
    """
    return STREAMED if any(route.upload for route in routes) else OFF
