"""The order in which waiting requests get slots."""

from typing import Any, NamedTuple

MIN_WAIT_S = 0.03
"""Shortest time in seconds that a request waits for a slot, however little of its objective is
left: the wait of one round trip costs less than a refusal."""


class WaitOrder(NamedTuple):
    """Place of a waiting request; the smallest goes first.

    Args:
        rank: Index of its traffic class among those of the service.
        standing: Its order within the class, see `roadpass.standing`.
        latest_start: Clock seconds of its latest useful start.
    """

    rank: int
    standing: int
    latest_start: float

    @classmethod
    def from_row(cls, now: float, row: Any) -> "WaitOrder":
        """Build an order from rank, standing and milliseconds to the latest start."""
        return cls(row[0], row[1], now + row[2] / 1000.0)

    def to_row(self, now: float) -> list[Any]:
        """Return rank, standing and milliseconds to the latest start."""
        return [self.rank, self.standing, round((self.latest_start - now) * 1000.0)]


def latest_start(
    now: float,
    *,
    started: float,
    deadline: float,
    objective_ms: float | None,
    typical_ms: float,
) -> float:
    """Return the clock seconds after which a request is no longer worth starting.

    Args:
        now: Clock seconds.
        started: Clock seconds at which it was received.
        deadline: Clock seconds of its deadline.
        objective_ms: Its latency objective in milliseconds. `None` if there is none or it can no
            longer be met, as after an attempt that failed; then its deadline counts.
        typical_ms: Milliseconds that such requests take, 0 if unknown. Under load nearly all that
            wait start as late as they may, so it is the time in which most of them are answered.
    """
    end = deadline if objective_ms is None else min(deadline, started + objective_ms / 1000.0)
    return min(deadline, max(end - typical_ms / 1000.0, now + MIN_WAIT_S))
