"""Positions that peers have reached in a source, and the choice of the peer to ask next."""

from roadpass.peer_backoff import PeerBackoff
from roadpass.position import Position
from roadpass.source_update import PeerPosition


class PeerPositions:
    """The newest position of each peer that is ahead of this node; does no I/O."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerPosition] = {}
        self._unanswered = PeerBackoff()

    def record(self, peer: PeerPosition) -> None:
        """Store a peer's position, replacing its previous one."""
        self._peers[peer.vm] = peer

    def best(self, now: float, watermark: Position) -> PeerPosition | None:
        """Return the peer to ask.

        Peers with the fewest consecutive failures come first, then those of this data hall, so that
        a reachable peer is found soon if others are not. Among equals the most advanced peer wins.

        Args:
            now: Clock seconds.
            watermark: Position of this node; peers that are not ahead of it are dropped.

        Returns:
            The peer, or `None` if no peer is ahead or all of those failed recently.
        """
        self._peers = {vm: p for vm, p in self._peers.items() if p.position > watermark}
        can_be_asked = [p for vm, p in self._peers.items() if not self._unanswered.avoids(vm, now)]
        return max(can_be_asked, key=self._rank, default=None)

    def fetch_succeeded(self, vm: str) -> None:
        """Record that a peer has sent all that it announced."""
        self._peers.pop(vm, None)
        self._unanswered.record_reply(vm)

    def fetch_failed(self, vm: str, now: float) -> None:
        """Record a failed request to a peer; it is skipped for a while."""
        self._unanswered.record_failure(vm, now)

    def _rank(self, peer: PeerPosition) -> tuple[int, bool, Position, float]:
        return (-self._unanswered.failures(peer.vm), peer.near, peer.position, peer.confirmed_at)
