"""How often a sound target answers with a failure, learnt by route and by customer.

A failure speaks against its target only as far as sound targets seldom answer so. Some routes fail
often, and some customers send what every target fails; neither says anything of a target. Whether a
failure was a sound target's is known a few answers later: a target in a bad spell goes on failing.
So failures are learnt from in hindsight. Learnt at once, by a fixed weight, five failures of one
spell made a fifth of all answers look like usual failures, and the next twenty proved nothing.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

BASELINE_SHARE = 0.02
"""Share of its answers that are taken to be failures before any was seen."""
BASELINE_WEIGHT = 10.0
"""Answers that this counts for: three failures of a kind that always fails make them usual."""
MEMORY = 40.0
"""Answers that are remembered of each kind."""
JUDGE_AFTER_ANSWERS = 2
"""Answers to wait for before a failure is learnt from: in a spell in which three of four fail, one
failure in sixteen is followed by two successes."""
UNJUDGED_MAX = 64
"""Failures that wait for that; the oldest are judged earlier."""
CATEGORIES_MAX = 512
"""Routes, and customers, that are known, 0.1 KB each; the oldest goes first."""


@dataclass(slots=True)
class _Count:
    answers: float = 0.0
    failures: float = 0.0

    @property
    def share(self) -> float:
        """Share of a sound target's answers that are failures."""
        failures = self.failures + BASELINE_SHARE * BASELINE_WEIGHT
        return failures / (self.answers + BASELINE_WEIGHT)

    def add(self, failed: bool, weight: float) -> None:
        self.answers += weight
        self.failures += weight * failed
        if self.answers > MEMORY:
            self.failures *= MEMORY / self.answers
            self.answers = MEMORY


class BaselineFailures:
    """What is known of one target's usual failures; pure, the caller's lock guards it."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}
        self._unjudged: deque[tuple[int, tuple[str, ...]]] = deque()
        self._answers = 0

    def of(self, categories: Iterable[str]) -> float:
        """Return the share of sound answers that are failures, of whoever fails most often.

        Args:
            categories: By which a request is known, such as its route and its customer.
        """
        known = (self._counts[name].share for name in categories if name in self._counts)
        return max(known, default=BASELINE_SHARE)

    def succeeded(self, categories: tuple[str, ...], bad: float) -> float:
        """Learn from an answer that is none.

        Args:
            categories: By which its request is known.
            bad: How probably bad its target is.

        Returns:
            How many failures were a bad target's, of those that can be judged by now.
        """
        self._learn(categories, failed=False, weight=1.0 - bad)
        return self._judge(bad)

    def failed(self, categories: tuple[str, ...], bad: float) -> float:
        """Note a failure, to be learnt from later; see `succeeded`."""
        judged = self._judge(bad)
        self._unjudged.append((self._answers, categories))
        return judged

    def _judge(self, bad: float) -> float:
        """Learn from the failures that enough answers came after."""
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
