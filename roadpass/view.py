"""Routing data read by the threads of an ingress: immutable parts that their owners replace."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from roadpass import clock
from roadpass.balance import Candidate, Picker
from roadpass.caller_limits import CallerLimits
from roadpass.fleet import Fleet, Target
from roadpass.notice_table import NoticeTable
from roadpass.room import RoomTable
from roadpass.shutdown import Shutdown
from roadpass.vm_size import VmSizes
from roadpass.warm_up import WarmUps

Groups: TypeAlias = tuple[tuple[str, ...], ...]


class PeerNode(NamedTuple):
    """How to reach a node; not `alive` if believed dead, `leaving` if it announced that."""

    vm: str
    address: str
    stream_port: int
    hall: str
    region: str
    alive: bool = True
    leaving: bool = False


class ServiceView:
    """Snapshot of the targets of one service with their weights.

    Args:
        candidates: Candidates by target name.
        slow_ms: Service time that counts as slow, by target name.
        revision: Revision of the fleet that it was built from without health data; `None` once the
            health monitor has built it.
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
        """Return the picker for a route's groups of target names, cached per groups."""
        found = self._pickers.get(groups)
        if found is None:
            members = [
                [self.candidates[name] for name in group if name in self.candidates]
                for group in groups
            ]
            found = self._pickers[groups] = Picker(members)
        return found


class View:
    """Everything a worker thread needs for routing; each part is replaced by its owner.

    Args:
        vm: This node's VM.
        hall: Data hall of the VM.
        region: Region of the VM.
        cores: Processor cores of the VM, 0 if unknown.

    A node that is `leaving` announces it and closes its callers' connections; once it is `refusing`
    it also refuses their new requests.
    """

    def __init__(self, vm: str, hall: str, region: str, cores: float = 0.0) -> None:
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
        self.notices = NoticeTable()
        self.room = RoomTable()
        self.sizes = VmSizes(vm, cores)
        self.warm_ups = WarmUps()

    @property
    def vm(self) -> str:
        """Name of this node's VM."""
        return self._vm

    @property
    def hall(self) -> str:
        """Data hall of this node's VM."""
        return self._hall

    def tier(self, target: Target) -> int:
        """Return the distance of a target: 0 same data hall, 1 same region, 2 elsewhere."""
        node = self.nodes.get(target.vm)
        hall = target.hall or (node.hall if node else None)
        if target.vm == self._vm or hall == self._hall:
            return 0
        return 1 if node is not None and node.region == self._region else 2

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target is shutting down, by the source, itself or the node beside it."""
        if target.leaving or self.notices.is_leaving(target.name):
            return True
        node = self.nodes.get(target.vm)
        return node is not None and node.leaving

    def service(self, name: str) -> ServiceView:
        """Return the view of a service, with all targets at full weight until they are judged."""
        found = self.services.get(name)
        if found is None or found.revision not in (None, self.fleet.revision):
            revision = self.fleet.revision
            found = ServiceView(self._unjudged(name), revision=revision)
            self.services[name] = found
        return found

    def _unjudged(self, service: str) -> dict[str, Candidate]:
        candidates = {}
        now = clock.now()
        for target in self.fleet.targets_of(service):
            if not self.is_leaving(target):
                weight = self.warm_ups.weight(now, target.name, target.slots)
                candidates[target.name] = Candidate(target.name, self.tier(target), weight)
        return candidates
