"""Whose turn it is to read a source: few nodes of a data hall read, the others hear it from them.

The first node of a data hall, by an order that all agree on, always reads. Each further one reads
only when nobody has told it for a while that the source has nothing newer: that a reader is cut
off, frozen or gone then costs one call of the next in the order, and what the source took is in
force in time all the same. No node needs to know why it heard nothing.
"""

from typing import NamedTuple

TAKEOVER_SHARE = 0.62
"""Share of the bound after which the second in the order reads: a call, also one of a slow source,
and a lost datagram fit into what is left."""
TAKEOVER_STEP_SHARE = 0.035
"""Share of the bound that each further one waits longer: time for a call and for its word, which
spares the next one's call."""
MAX_STEPS = 5
"""From this place in the order on all wait alike, but for chance."""
JITTER_SHARE = 0.05
"""Share of the bound over which those are spread."""
MAX_READ_SHARE = 0.4
"""Share of the bound that one reading lasts at most; with it the word that nothing changed is
always younger than the patience of the second, even if one datagram in a row is late."""
PAUSE_SHARE = 0.25
"""Share of the bound to rest after changes, so that one call brings several."""
MIN_WATCH_S = 0.01
"""Seconds that a reading waits at least, where an answer is wanted at once."""
FIRST_REPLY_WAIT_S = 0.1
"""Seconds that a node which knows peers but holds nothing waits for their word: many times what one
takes, and short, since after a loss of all nodes there is nobody to give it."""


class ReaderRank(NamedTuple):
    """Where a node stands in its data hall.

    Args:
        rank: In the order of readers, 0 for the first.
        peers: How many other nodes it knows.
    """

    rank: int = 0
    peers: int = 0


class ReadSchedule:
    """Decides when one node reads; pure.

    Args:
        bound_s: Seconds within which what the source took must be in force here.
        jitter: From 0 to 1, this node's own.
    """

    def __init__(self, bound_s: float, jitter: float) -> None:
        self._bound_s = bound_s
        self._jitter = jitter

    @property
    def pause_s(self) -> float:
        """Seconds to rest after changes."""
        return PAUSE_SHARE * self._bound_s

    def takeover_age_s(self, reader_rank: ReaderRank) -> float:
        """Return how old the word that nothing is newer may be before this node reads."""
        if reader_rank.rank == 0:
            return 0.0
        late = JITTER_SHARE * self._jitter if reader_rank.rank > MAX_STEPS else 0.0
        steps = min(reader_rank.rank, MAX_STEPS)
        return (TAKEOVER_SHARE + TAKEOVER_STEP_SHARE * steps + late) * self._bound_s

    def is_due(self, reader_rank: ReaderRank, age_s: float) -> bool:
        """Tell whether to read now.

        Args:
            reader_rank: Of this node.
            age_s: Age of the word that nothing is newer.
        """
        return age_s >= self.takeover_age_s(reader_rank)

    def wait_s(self, age_s: float) -> float:
        """Return how long the reading may wait for changes: the staler the word, the shorter."""
        return max(MIN_WATCH_S, MAX_READ_SHARE * self._bound_s - age_s)
