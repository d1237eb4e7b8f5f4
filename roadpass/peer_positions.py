"""Up to where peers hold a source, and which of them to ask for it next."""

from roadpass.news import PeerPosition
from roadpass.position import Position
from roadpass.unanswered import Unanswered


class PeerPositions:
    """The newest position of each peer that holds more than this node; pure."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerPosition] = {}
        self._unanswered = Unanswered()

    def record(self, peer: PeerPosition) -> None:
        """Note a peer's position in the place of its last one."""
        self._peers[peer.vm] = peer

    def best(self, now: float, watermark: Position) -> PeerPosition | None:
        """Return the peer to ask.

        First come peers that answered when they were asked last, then those of the own data hall:
        where only some can be reached, they are found soon. Of these the one that holds the most.

        Args:
            now: Clock seconds.
            watermark: What this node holds; peers that do not hold more are dropped.

        Returns:
            `None` if no peer holds more, or none of those has answered lately.
        """
        self._peers = {vm: p for vm, p in self._peers.items() if p.position > watermark}
        can_be_asked = [p for vm, p in self._peers.items() if not self._unanswered.holds(vm, now)]
        return max(can_be_asked, key=self._rank, default=None)

    def fetch_succeeded(self, vm: str) -> None:
        """Note that a peer told all that it held."""
        self._peers.pop(vm, None)
        self._unanswered.answered(vm)

    def fetch_failed(self, vm: str, now: float) -> None:
        """Note that a peer could not be asked at a moment."""
        self._unanswered.note(vm, now)

    def _rank(self, peer: PeerPosition) -> tuple[int, bool, Position, float]:
        return (-self._unanswered.times(peer.vm), peer.near, peer.position, peer.confirmed_at)
