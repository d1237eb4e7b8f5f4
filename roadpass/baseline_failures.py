"""Baseline failure rates: how often a healthy target returns an error, by route and by customer.

An error counts against its target only as far as healthy targets rarely return one. Some routes
fail often, and some customers send requests that every target rejects; neither says anything about
the target. Whether the target was healthy when it failed is known a few responses later, since a
target in a failure period goes on failing. So failures are learned with a delay. Learned at once
with a fixed weight, five failures of one failure period made a fifth of all responses look like
baseline failures, and the next twenty proved nothing.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

BASELINE_SHARE = 0.02
"""Prior failure rate of a route or customer."""
BASELINE_WEIGHT = 10.0
"""Weight of the prior in responses: three failures of a route or customer that always fails are
enough to raise its baseline."""
MEMORY = 40.0
"""Maximum weight of the past in responses, for each route or customer."""
JUDGE_AFTER_ANSWERS = 2
"""Responses to wait for before a failure is learned: in a failure period in which three of four
requests fail, only one failure in sixteen is followed by two successes."""
UNJUDGED_MAX = 64
"""Maximum number of failures waiting to be judged; beyond it the oldest are judged early."""
CATEGORIES_MAX = 512
"""Routes and customers that are kept, 0.1 KB each; the oldest is dropped first."""


@dataclass(slots=True)
class _Count:
    answers: float = 0.0
    failures: float = 0.0

    @property
    def share(self) -> float:
        """Share of a healthy target's responses that are errors."""
        failures = self.failures + BASELINE_SHARE * BASELINE_WEIGHT
        return failures / (self.answers + BASELINE_WEIGHT)

    def add(self, failed: bool, weight: float) -> None:
        self.answers += weight
        self.failures += weight * failed
        if self.answers > MEMORY:
            self.failures *= MEMORY / self.answers
            self.answers = MEMORY


class BaselineFailures:
    """Learns one target's baseline failure rates; does no I/O, the caller holds a lock."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}
        self._unjudged: deque[tuple[int, tuple[str, ...]]] = deque()
        self._answers = 0

    def of(self, categories: Iterable[str]) -> float:
        """Return the baseline failure rate, the highest among a request's categories.

        Args:
            categories: Keys of the request, such as its route and its customer.
        """
        known = (self._counts[name].share for name in categories if name in self._counts)
        return max(known, default=BASELINE_SHARE)

    def succeeded(self, categories: tuple[str, ...], bad: float) -> float:
        """Learn from a successful response.

        Args:
            categories: Keys of its request.
            bad: Probability that its target is failing.

        Returns:
            Expected number of failures due to a failing target, among those judged now.
        """
        self._learn(categories, failed=False, weight=1.0 - bad)
        return self._judge(bad)

    def failed(self, categories: tuple[str, ...], bad: float) -> float:
        """Record a failure, which is learned later; see `succeeded`."""
        judged = self._judge(bad)
        self._unjudged.append((self._answers, categories))
        return judged

    def _judge(self, bad: float) -> float:
        """Learn from the failures that were followed by enough responses."""
        self._answers += 1
        judged = 0.0
        while self._unjudged:
            at, categories = self._unjudged[0]
            if self._answers - at <= JUDGE_AFTER_ANSWERS and len(self._unjudged) <= UNJUDGED_MAX:
                break
            self._unjudged.popleft()
            self._learn(categories, failed=True, weight=1.0 - bad)
            judged += bad
        return judged

    def _learn(self, categories: tuple[str, ...], *, failed: bool, weight: float) -> None:
        for name in categories:
            found = self._counts.get(name)
            if found is None:
                if len(self._counts) >= CATEGORIES_MAX:
                    del self._counts[next(iter(self._counts))]
                found = self._counts[name] = _Count()
            found.add(failed, weight)
