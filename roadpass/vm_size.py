"""Duties of nodes by the size of their VMs: weighted rendezvous hashing.

The node with the highest score for a key has the duty. A score is -weight / ln(h), with h uniform
between 0 and 1, so that each node wins with a probability proportional to its weight. A node's
score depends on its own weight alone: if that grows, keys move only to this node, and if it
shrinks, only from it. With equal weights the order is that of the hash itself, which is what nodes
without sizes use, so that both kinds of node agree until the first size is known.

Nodes may disagree on sizes for some time, as sizes travel with membership datagrams. No promise
depends on their agreement: see `docs/design/uneven-vms.md`.
"""

import hashlib
import math
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from roadpass.decision import decided
from roadpass.member import Member

MAX_CORES = 4096.0
"""Largest size in cores that is accepted; the largest machines on the market have fewer."""
MAX_NODES = 4096
"""Nodes whose sizes are kept, about 0.5 MB; the one heard from least recently is dropped first."""
PROBES = ("ping", "ack")
"""Datagrams that always carry this node's size: about one a second, to one node each."""
INTRODUCTIONS = 2
"""Datagrams that each process of a peer gets with this node's size besides probes, so that the loss
of one does not delay agreement until the next probe, which is minutes away in another data hall."""
MAX_SHOWN = 40
"""Characters of an invalid value that are logged."""
INTRODUCTION_TICKS = 50
"""Ticks of 0.1 s in which all peers get one of them."""
SETTLE_S = 15.0
"""Seconds without a change of a size until it decides on owners: more than the 10 s in which all
peers get it twice. Used at once, sizes that 20 nodes learn within 4 s let a customer exceed the
tolerated excess by up to 64 requests in five seconds, at a limit of 40 a second."""
HANDOVER_S = 15.0
"""Seconds after the change in which the previous owner gets reports as well: other nodes learnt of
it up to as much later, and follow that owner until then."""
_HASH_BITS = 52
"""Bits of the hash that are used: so many that h is exact as a float, and never 0 or 1."""


def score(hashed: bytes, weight: float) -> float:
    """Return the score of a node for a key.

    Args:
        hashed: Hash of node and key, at least 8 bytes; with equal weights the highest wins.
        weight: Of the node, positive.
    """
    bits = int.from_bytes(hashed[:8], "big") >> (64 - _HASH_BITS)
    return -weight / math.log((bits + 0.5) / 2.0**_HASH_BITS)


def weights_of(nodes: Iterable[str], sizes: Mapping[str, float]) -> dict[str, float]:
    """Return the weights of nodes: their cores; an unknown size counts as the mean of the known.

    Args:
        nodes: Names of the nodes.
        sizes: Known sizes in cores, positive.
    """
    names = list(nodes)
    known = [sizes[name] for name in names if name in sizes]
    mean = math.fsum(known) / len(known) if known else 1.0
    return {name: sizes.get(name, mean) for name in names}


def weighted_owner(key: str, nodes: Iterable[str], sizes: Mapping[str, float]) -> str:
    """Return the owner of a key, empty without nodes; with equal weights as `quota.owner_of`."""
    weights = weights_of(nodes, sizes)
    name = key.encode()

    def rank(node: str) -> tuple[float, str]:
        hashed = hashlib.blake2b(name, digest_size=8, key=node.encode()[:64]).digest()
        return score(hashed, weights[node]), node

    return max(weights, key=rank, default="")


def weighted_order(vms: Iterable[str], sizes: Mapping[str, float]) -> list[str]:
    """Return the order of the readers; with equal weights as `reader.choose_readers`."""
    weights = weights_of(vms, sizes)

    def rank(vm: str) -> tuple[float, str]:
        digest = hashlib.sha256(vm.encode()).digest()
        inverted = bytes(255 - byte for byte in digest[:8])  # the lowest hash comes first there
        return -score(inverted, weights[vm]), vm

    return sorted(weights, key=rank)


def valid_size(value: Any) -> bool:
    """Return whether a value is a size in cores; 0 stands for an unknown one."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0.0 <= value <= MAX_CORES  # also false for NaN


@dataclass(slots=True)
class _Peer:
    """What is known of a peer: its size, 0 if unknown, and the invalid value that it sent last."""

    cores: float = 0.0
    invalid: str = ""


class VmSizes:
    """The sizes of the VMs that a node knows; thread-safe.

    Args:
        vm: This node's VM.
        cores: Cores of this VM, 0 if unknown.

    Attributes:
        on_change: Called after a change of a size or of `enabled`; it must not block.
    """

    def __init__(self, vm: str = "", cores: float = 0.0) -> None:
        self._vm = vm
        self._cores = cores if valid_size(cores) else 0.0
        self._enabled = False
        self._peers: dict[str, _Peer] = {}
        self._introduced: dict[str, tuple[int, int]] = {}
        self._lock = threading.Lock()
        self.on_change: Callable[[], None] = lambda: None
        if not valid_size(cores):
            _log_invalid(vm, _shown(cores))

    @property
    def enabled(self) -> bool:
        """Whether duties depend on sizes, and this node sends its own."""
        return self._enabled

    @enabled.setter
    def enabled(self, enabled: bool) -> None:
        if enabled is self._enabled:
            return
        self._enabled = enabled
        with self._lock:
            self._introduced.clear()
        decided("membership", "sizes-in-use" if enabled else "sizes-not-in-use", cores=self._cores)
        self.on_change()

    @property
    def own(self) -> float:
        """Cores of this VM, 0 if unknown."""
        return self._cores

    def known(self) -> dict[str, float]:
        """Return the known sizes in cores by VM, this one's included; none while not enabled."""
        if not self._enabled:
            return {}
        with self._lock:
            sizes = {vm: peer.cores for vm, peer in self._peers.items() if peer.cores > 0.0}
        return {**sizes, self._vm: self._cores} if self._cores > 0.0 else sizes

    def agreed(self, vms: Iterable[str]) -> dict[str, float]:
        """Return the known sizes if the nodes on all these VMs send theirs, else none.

        A node of an older release chooses owners without sizes, and all must follow one owner.
        """
        return self.known() if self._all_send(vms) else {}

    def reader_order(self, unweighted: Sequence[str]) -> list[str]:
        """Return the order of the readers of a data hall as one of its nodes follows it.

        A node of an older release follows the order without sizes. While there is one, this node
        takes its place in whichever order it comes first: else each of two nodes might take the
        other one for the first.

        Args:
            unweighted: VMs of the data hall, this one included, in the order without sizes.
        """
        sizes = self.known()
        if not sizes:
            return list(unweighted)
        order = weighted_order(unweighted, sizes)
        if self._all_send(unweighted):
            return order
        place = min(order.index(self._vm), unweighted.index(self._vm))
        order.remove(self._vm)
        order.insert(place, self._vm)
        return order

    def hear(self, message: Mapping[str, Any]) -> None:
        """Record the size in a peer's datagram, or that its node sends none any more."""
        vm = message["sender"]
        if "size" in message:
            self.learn(vm, message["size"])
        elif message["t"] in PROBES:
            self._forget(vm)

    def learn(self, vm: str, value: Any) -> None:
        """Record the size that a peer sent; an invalid one makes the size unknown.

        Args:
            vm: The peer's VM.
            value: As received.
        """
        if not self._enabled or vm == self._vm:
            return
        valid = valid_size(value)
        invalid = "" if valid else _shown(value)
        with self._lock:
            before = self._peers.pop(vm, None)
            new = before is None
            peer = before or _Peer()
            cores = float(value) if valid else 0.0
            log_invalid = bool(invalid) and invalid != peer.invalid
            old, changed = peer.cores, new or cores != peer.cores
            peer.cores, peer.invalid = cores, invalid
            self._peers[vm] = peer  # at the end: in the order in which they were heard from
            if len(self._peers) > MAX_NODES:
                del self._peers[next(iter(self._peers))]
        if log_invalid:
            _log_invalid(vm, invalid)
        if changed:
            decided("membership", "size-known", vm=vm, cores=cores, before=None if new else old)
            self.on_change()

    def fields(self, datagram_type: str) -> dict[str, float]:
        """Return the fields of a datagram with this node's size, none where it is not sent."""
        return {"size": self._cores} if self._enabled and datagram_type in PROBES else {}

    def to_introduce(self, peers: Iterable[Member]) -> list[Member]:
        """Return the peers that are to get this node's size now, and count it as sent to them.

        Args:
            peers: All peers that are alive.
        """
        if not self._enabled:
            return []
        alive = {peer.vm: peer for peer in peers}
        with self._lock:
            counts = {vm: self._introductions(peer) for vm, peer in alive.items()}
            due = sorted((n, vm) for vm, n in counts.items() if n < INTRODUCTIONS)
            chosen = [vm for _, vm in due[: math.ceil(len(alive) / INTRODUCTION_TICKS)]]
            self._introduced = {
                vm: (peer.incarnation, counts[vm] + (vm in chosen)) for vm, peer in alive.items()
            }
        return [alive[vm] for vm in chosen]

    def _all_send(self, vms: Iterable[str]) -> bool:
        return all(vm == self._vm or vm in self._peers for vm in vms)

    def _forget(self, vm: str) -> None:
        """Forget the size of a VM, whose node has gone back to an older release."""
        with self._lock:
            known = self._peers.pop(vm, None)
        if known is not None:
            decided("membership", "size-withdrawn", vm=vm, before=known.cores)
            self.on_change()

    def _introductions(self, peer: Member) -> int:
        """Return how often this process of a peer got this node's size."""
        known, count = self._introduced.get(peer.vm, (peer.incarnation, 0))
        return count if known == peer.incarnation else 0


class OwnerSizes(NamedTuple):
    """Sizes by which owners are chosen; empty ones weigh all nodes alike.

    Args:
        current: Decide on the owner.
        other: Those that will soon decide, or did until recently; the owner by them is told as
            much as the current one. `None` if no change is under way.
    """

    current: Mapping[str, float] = {}
    other: Mapping[str, float] | None = None


NO_SIZES = OwnerSizes()


class SizeHandover:
    """Delays changes of size until all nodes know of them, so that owners are never in the dark.

    A change decides only `SETTLE_S` after it was learnt. Until then, and for `HANDOVER_S` after,
    the owner by the other sizes gets all reports as well. So whichever of the two an ingress
    follows, both know the whole demand and all that was admitted.
    """

    def __init__(self) -> None:
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._latest: dict[str, float] = {}
        self._learnt_at = -math.inf
        self._moved_at = -math.inf

    def update(self, now: float, known: dict[str, float]) -> OwnerSizes:
        """Return the sizes that decide now; called at least once a second.

        Args:
            now: Clock seconds.
            known: The sizes that are known now.
        """
        if known != self._latest:
            self._latest, self._learnt_at = known, now
        if self._latest != self._current:
            if now - self._learnt_at < SETTLE_S:
                return OwnerSizes(self._current, self._latest)
            self._previous, self._current, self._moved_at = self._current, self._latest, now
            decided("quota", "owner-sizes", known=len(known), before=len(self._previous))
        moving = now - self._moved_at < HANDOVER_S
        return OwnerSizes(self._current, self._previous if moving else None)


def _shown(value: Any) -> str:
    return repr(value)[:MAX_SHOWN]


def _log_invalid(vm: str, value: str) -> None:
    decided("membership", "size-ignored", vm=vm, value=value)
