"""What the threads of an ingress read: immutable views that their owners swap in."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from roadpass.balance import Candidate, Picker
from roadpass.caller_limits import CallerLimits
from roadpass.ending import Shutdown
from roadpass.fleet import Fleet, Target

Groups: TypeAlias = tuple[tuple[str, ...], ...]


class PeerNode(NamedTuple):
    """How to reach a node; `alive` is false if it is believed dead, `leaving` if it said so."""

    vm: str
    address: str
    stream_port: int
    hall: str
    region: str
    alive: bool = True
    leaving: bool = False


class ServiceView:
    """The targets of one service with their weights, at one moment.

    Args:
        candidates: By target name.
        slow_ms: Service time that counts as slow, by target name.
        revision: Of the fleet it was made from; `None` once it has been judged.
    """

    def __init__(
        self,
        candidates: Mapping[str, Candidate],
        *,
        slow_ms: Mapping[str, float] | None = None,
        revision: int | None = None,
    ) -> None:
        self.candidates = candidates
        self.slow_ms = slow_ms or {}
        self.revision = revision
        self._pickers: dict[Groups, Picker] = {}

    def picker(self, groups: Groups) -> Picker:
        """Return the picker of a route's groups."""
        found = self._pickers.get(groups)
        if found is None:
            members = [
                [self.candidates[name] for name in group if name in self.candidates]
                for group in groups
            ]
            found = self._pickers[groups] = Picker(members)
        return found


class View:
    """Everything a worker needs to route: swapped in parts by their owners.

    Args:
        vm: This node's VM.
        hall: Its data hall.
        region: Its region.

    A node that is `leaving` says so and closes its callers' connections; once it is `refusing` it
    takes no new request of theirs either.
    """

    def __init__(self, vm: str, hall: str, region: str) -> None:
        self._vm = vm
        self._hall = hall
        self._region = region
        self.fleet = Fleet.empty()
        self.nodes: dict[str, PeerNode] = {}
        self.services: dict[str, ServiceView] = {}
        self.limits = CallerLimits()
        self.ready = False
        self.leaving = False
        self.refusing = False
        self.shutdown = Shutdown()

    @property
    def vm(self) -> str:
        """Name of this node's VM."""
        return self._vm

    def tier(self, target: Target) -> int:
        """Return the distance of a target: 0 same data hall, 1 same region, 2 elsewhere."""
        node = self.nodes.get(target.vm)
        hall = target.hall or (node.hall if node else None)
        if target.vm == self._vm or hall == self._hall:
            return 0
        return 1 if node is not None and node.region == self._region else 2

    def service(self, name: str) -> ServiceView:
        """Return the view of a service; one not judged yet has every target at full weight."""
        found = self.services.get(name)
        if found is None or found.revision not in (None, self.fleet.revision):
            revision = self.fleet.revision
            found = ServiceView(self._unjudged(name), revision=revision)
            self.services[name] = found
        return found

    def _unjudged(self, service: str) -> dict[str, Candidate]:
        candidates = {}
        for target in self.fleet.targets_of(service):
            node = self.nodes.get(target.vm)
            leaving = target.leaving or (node is not None and node.leaving)
            if not leaving:
                candidates[target.name] = Candidate(target.name, self.tier(target), 1.0)
        return candidates
