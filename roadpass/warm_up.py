"""Targets that are still cold: how much they bear while they warm up.

A target states how long it will still be cold, in its entry in the source and in responses. From
the statement on, its concurrency limit rises from one slot to all of them over that time. A target
may turn cold again at any moment: a statement that moves the end of the warm-up back by more than
rounding begins the rise anew.

Every node has a table of its own, by clock time. Sidecars limit their targets by it; ingresses
weigh targets by it, and do not count slowness against those that are cold.
"""

import math
import threading
from collections.abc import Iterable
from dataclasses import dataclass

from roadpass.decision import decided
from roadpass.failure_detector import Sample
from roadpass.source import Change, TargetPublished
from roadpass.target_notice import TargetNotice

RESTART_S = 1.0
"""Seconds by which a statement must move the end back to mean that the target is cold again. Less
is the delay of statements of one warm-up: a change in the source may be read 0.5 s after it was
written."""
MAX_TARGETS = 4096
"""Targets with statements that are kept, about 1 MB; the oldest statement is dropped first."""


@dataclass(slots=True)
class _WarmUp:
    """A target's latest statement; `began` and `until` are clock seconds."""

    began: float = -math.inf
    until: float = -math.inf
    invalid: str = ""

    def progress(self, now: float) -> float:
        """Return the share of the warm-up that has passed, 1 if the target is warm."""
        if now >= self.until:
            return 1.0
        return max(0.0, now - self.began) / (self.until - self.began)


_WARM = _WarmUp()


class WarmUps:
    """What is left of the warm-up of each target, as one node knows it; thread-safe.

    While it is not enabled, statements are kept and every target counts as warm.
    """

    def __init__(self) -> None:
        self._enabled = False
        self._targets: dict[str, _WarmUp] = {}
        self._lock = threading.Lock()

    @property
    def enabled(self) -> bool:
        """Whether warm-ups decide anything on this node."""
        return self._enabled

    def enable(self, now: float, enabled: bool) -> None:
        """Set whether warm-ups decide anything; logs the targets that are cold by then."""
        if enabled is self._enabled:
            return
        self._enabled = enabled
        for target, seconds in self.left_s(now).items():
            decided("warm-up", "target-cold", target=target, left_ms=round(seconds * 1000.0))

    def is_cold(self, now: float, target: str) -> bool:
        """Return whether a target is warming up."""
        return self._progress(now, target) < 1.0

    def cold_at(self, now: float, target: str) -> float:
        """Return the latest clock seconds up to now at which a target was cold, -inf if never."""
        known = self._targets.get(target) if self._enabled else None
        return -math.inf if known is None else min(now, known.until)

    def limit(self, now: float, target: str, slots: int) -> int:
        """Return how many requests a target bears at once: from one while cold to all its slots."""
        return max(1, int(1.0 + self._progress(now, target) * (slots - 1)))

    def weight(self, now: float, target: str, slots: int) -> float:
        """Return the traffic weight of a target relative to one that is warm, more than 0."""
        return self.limit(now, target, slots) / max(1, slots)

    def excused(self, at: float, target: str, sample: Sample, slow_ms: float) -> Sample | None:
        """Return a sample without the slowness of a target that was cold meanwhile.

        Args:
            at: Clock seconds at which the request ended.
            target: Name of the target.
            sample: The outcome.
            slow_ms: Service time that counts as slow, 0 if unknown.

        Returns:
            The sample that counts; `None` for a failure that came late, as on a time-out.
        """
        slow = 0.0 < slow_ms < sample.service_ms
        if not slow or self.cold_at(at, target) < at - sample.service_ms / 1000.0:
            return sample
        return None if sample.failed else sample._replace(service_ms=slow_ms)

    def left_s(self, now: float) -> dict[str, float]:
        """Return the seconds left by target, of those that are warming up."""
        if not self._enabled:
            return {}
        with self._lock:
            left = {name: round(one.until - now, 3) for name, one in self._targets.items()}
        return {name: seconds for name, seconds in left.items() if seconds > 0.0}

    def state(
        self, now: float, target: str, left_ms: float, *, source: str, request: str = ""
    ) -> None:
        """Record the statement of a target.

        Args:
            now: Clock seconds at which it applied.
            target: Name of the target.
            left_ms: Valid remaining milliseconds, 0 if it is warm.
            source: Where the statement came from, for the log.
            request: Id of the request in whose response it was, for the log.
        """
        with self._lock:
            known = self._targets.get(target, _WARM)
            was_cold = now < known.until
            if left_ms <= 0.0 and not was_cold:
                return
            until = now + left_ms / 1000.0 if left_ms > 0.0 else now
            begins = until > known.until + RESTART_S
            if not (begins or was_cold):  # a late statement of the warm-up that has just ended
                return
            self._put(target, _WarmUp(now if begins else known.began, until, known.invalid))
        if self._enabled and (begins or until <= now):
            what = "target-warm" if until <= now else "target-cold"
            what = "target-cold-again" if begins and was_cold else what
            decided(
                "warm-up",
                what,
                request=request,
                target=target,
                left_ms=round(left_ms),
                source=source,
            )

    def state_invalid(self, target: str, value: str, *, source: str) -> None:
        """Log an invalid statement, once until it changes; nothing else follows from it.

        Args:
            target: Name of the target.
            value: The statement as it is shown, empty for a valid one.
            source: Where it came from.
        """
        with self._lock:
            known = self._targets.get(target, _WARM)
            if known.invalid == value:
                return
            self._put(target, _WarmUp(known.began, known.until, value))
        if self._enabled and value:
            decided("warm-up", "warm-up-ignored", target=target, value=value, source=source)

    def hear(self, now: float, target: str, notice: TargetNotice, *, request: str = "") -> None:
        """Record what a response of a target states, if anything.

        Args:
            now: Clock seconds.
            target: Name of the target.
            notice: The statements of the response.
            request: Id of the request, for the log.
        """
        if notice.warm_up_invalid or notice.warm_up_ms is not None:
            self.state_invalid(target, notice.warm_up_invalid, source="response")
        if notice.warm_up_ms is not None:
            self.state(now, target, notice.warm_up_ms, source="response", request=request)

    def apply(self, now: float, changes: Iterable[Change], source: str) -> None:
        """Record the statements in an update of the source.

        An entry without a statement ends no warm-up: its target may state it in responses, and a
        node of an older release leaves it out.

        Args:
            now: Clock seconds as of which they apply.
            changes: The update.
            source: Where it came from.
        """
        for change in changes:
            match change:
                case TargetPublished(entry=entry):
                    self.state_invalid(entry.name, entry.warm_up_invalid, source=source)
                    if entry.warm_up_ms > 0.0:
                        self.state(now, entry.name, entry.warm_up_ms, source=source)
                case _:
                    pass

    def aged(self, now: float, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Return the changes of an update with what is left of the warm-ups now, for a peer."""
        left = self.left_s(now)
        return tuple(
            TargetPublished(
                change.entry._replace(warm_up_ms=left.get(change.entry.name, 0.0) * 1000.0)
            )
            if isinstance(change, TargetPublished)
            else change
            for change in changes
        )

    def _progress(self, now: float, target: str) -> float:
        known = self._targets.get(target) if self._enabled else None
        return 1.0 if known is None else known.progress(now)

    def _put(self, target: str, warm_up: _WarmUp) -> None:
        """Store a statement as the newest one; the caller must hold the lock."""
        self._targets.pop(target, None)
        self._targets[target] = warm_up
        if len(self._targets) > MAX_TARGETS:
            del self._targets[next(iter(self._targets))]
