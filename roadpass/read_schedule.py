"""Decides when a node reads the source itself instead of learning of changes from its peers.

All nodes of a data hall agree on an order. The first one always reads the source. Each later one
reads only if no peer has confirmed for some time that the source has nothing newer. A reader that
is cut off, frozen or gone therefore costs one call by the next node in the order, and a change is
still in force in time. No node needs to know why the confirmations stopped.
"""

from typing import NamedTuple

TAKEOVER_SHARE = 0.62
"""Age of the last confirmation at which a node takes over reading, as a share of the bound and
before the steps below are added. The rest of the bound has room for one call, even to a slow
source, and a lost datagram."""
TAKEOVER_STEP_SHARE = 0.035
"""Share of the bound added for each place in the order: time for a call and for the confirmation
that follows from it, which makes the next node's call unnecessary."""
MAX_STEPS = 5
"""Nodes beyond this place in the order all wait equally long, apart from the jitter."""
JITTER_SHARE = 0.05
"""Share of the bound over which the reads of those nodes are spread."""
MAX_READ_SHARE = 0.4
"""Longest read, as a share of the bound. It keeps confirmations more frequent than the takeover age
of the second node, even if one datagram is late."""
PAUSE_SHARE = 0.25
"""Pause after a read with changes, as a share of the bound, so that one call returns several."""
MIN_WATCH_S = 0.01
"""Shortest wait of a watch in seconds, used when a reply is needed at once."""
FIRST_REPLY_WAIT_S = 0.1
"""Seconds that a node without data waits for its known peers before it reads the source. This is
many times what a peer's message takes, but short, since no peer has data after all nodes were
lost."""


class ReaderRank(NamedTuple):
    """A node's place among the readers of its data hall.

    Args:
        rank: In the order of readers, 0 for the first.
        peers: Number of other nodes that it knows.
    """

    rank: int = 0
    peers: int = 0


class ReadSchedule:
    """Decides when one node reads; has no side effects.

    Args:
        bound_s: Seconds within which a change in the source must be in force on this node.
        jitter: From 0 to 1; differs between nodes.
    """

    def __init__(self, bound_s: float, jitter: float) -> None:
        self._bound_s = bound_s
        self._jitter = jitter

    @property
    def pause_s(self) -> float:
        """Seconds to pause after a read that returned changes."""
        return PAUSE_SHARE * self._bound_s

    def takeover_age_s(self, reader_rank: ReaderRank) -> float:
        """Return the age in seconds of the last confirmation at which this node reads itself."""
        if reader_rank.rank == 0:
            return 0.0
        late = JITTER_SHARE * self._jitter if reader_rank.rank > MAX_STEPS else 0.0
        steps = min(reader_rank.rank, MAX_STEPS)
        return (TAKEOVER_SHARE + TAKEOVER_STEP_SHARE * steps + late) * self._bound_s

    def is_due(self, reader_rank: ReaderRank, age_s: float) -> bool:
        """Return whether this node is to read now.

        Args:
            reader_rank: Of this node.
            age_s: Seconds since the source was last confirmed to have nothing newer.
        """
        return age_s >= self.takeover_age_s(reader_rank)

    def wait_s(self, age_s: float) -> float:
        """Return how long a read may wait for changes: shorter if the last confirmation is old."""
        return max(MIN_WATCH_S, MAX_READ_SHARE * self._bound_s - age_s)
