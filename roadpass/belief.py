"""One belief per target: how probable it is that it fails what it is given now.

A gray target has bad spells: for some seconds it loses most of what it gets, by a reset at once or
by saying nothing at all, while its health check stays good. The filter here has two hidden states,
sound and bad, and learns how often spells begin and how long they last. Every request is evidence
for the moment at which it was given to the target: an answer, a failure, a loss at once, and also
the silence so far, measured against the usual time of that kind of request. Silence counts from
the first moment on, graded, and by kind: nothing has to time out before the next request goes
elsewhere.
"""

import math
from dataclasses import dataclass
from enum import Enum, auto

from roadpass.failure_share import FailureShare
from roadpass.usual import UsualTime

BAD_SHARE = 0.75
"""Share of its requests that a target is taken to fail in a bad spell; the higher, the more a good
answer proves."""
SOUND_LOSS = 0.001
"""Share of its requests that a sound target loses at once: so rare that the first loss shuts the
door even of a target that has just answered."""
SETTLED_S = 0.03
"""Seconds after which a request was not lost at once: several times what a reset takes to come."""
LATE_S = 0.1
"""Seconds after which a loss tells nothing of whether the next request is taken: more than
`SETTLED_S`, since a node that gets little processor time notices a loss at once late."""
BEGIN_PRIOR_S = 15.0
LAST_PRIOR_S = 4.0
"""Seconds from spell to spell, and of a spell, that are assumed before any was seen."""
IN_SPELL = 0.7
OUT_OF_SPELL = 0.2
"""Beliefs from which on a spell is counted as begun, and as over, to learn how often and long."""
CERTAIN = 0.93
"""The belief never goes beyond this and its opposite, so that a few good answers turn it."""
SURE = 0.01
OPEN_MAX = 64
"""Requests whose evidence is kept apart; beyond, the oldest count by what they showed so far."""
KINDS_MAX = 512
"""Kinds of requests whose usual time is kept, 0.1 KB each; the oldest goes first."""
RESETS_PRIOR = 0.1
SILENCES_PRIOR = 0.9
"""Losses at once, and in silence, that are taken to have been seen before any was: so few that the
first reset tells how the target fails; until then a request that is kept proves nothing."""
FAILURES_PRIOR = 0.5
"""The same for answers that are failures: until some were seen, a quarter of a spell's work is
expected to end so."""
MODE_MEMORY = 20.0
"""Losses of which it is remembered how they came."""


class End(Enum):
    """How a request at a target ended, as far as it tells of the target.

    An excused one failed because a call that its target made for it has failed.
    """

    ANSWERED = auto()
    FAILED = auto()
    LOST = auto()
    SILENT = auto()
    EXCUSED = auto()
    NOTHING = auto()


@dataclass(slots=True, eq=False)
class Visit:
    """A request that the target has or had.

    Args:
        kind: Of the request, such as its route.
        started: Clock seconds.
        trial: Whether it was let in although the target was believed bad.
        seen_from: From when on its silence counts, clock seconds.
        told_ms: What its ingress says is typical for its kind, 0 for nothing.
        customer: Whose it is, empty if nobody's in particular.
        ratio: How many times more probable what it showed is at a bad target; `None` while it runs.
        silent: Whether it was counted as lost in silence.
    """

    kind: str
    started: float
    trial: bool
    seen_from: float
    told_ms: float = 0.0
    customer: str = ""
    ratio: float | None = None
    silent: bool = False

    @property
    def names(self) -> tuple[str, ...]:
        """By which it is known how often its like fail at sound targets."""
        route = f"route {self.kind}"
        return (route, f"customer {self.customer}") if self.customer else (route,)


class Belief:
    """A filter over all that one target shows; pure, the caller's lock guards it.

    Args:
        now: Clock seconds.
    """

    def __init__(self, now: float) -> None:
        self._at = now
        self._usual: dict[str, UsualTime] = {}
        self._visits: list[Visit] = []
        self._usual_failures = FailureShare()
        self._resets = RESETS_PRIOR
        self._silences = SILENCES_PRIOR
        self._failures = 0.0
        self._in_spell = False
        self._begun = 1.0
        self._over = 1.0
        self._sound_s = BEGIN_PRIOR_S
        self._bad_s = LAST_PRIOR_S
        self._looked_at = now
        self._bad = self._usually_bad

    @property
    def running(self) -> list[Visit]:
        """The requests that the target has."""
        return [visit for visit in self._visits if visit.ratio is None]

    def usual(self, kind: str) -> UsualTime:
        """Return the usual time of a kind of request at this target."""
        found = self._usual.get(kind)
        if found is None:
            if len(self._usual) >= KINDS_MAX:
                del self._usual[next(iter(self._usual))]
            found = self._usual[kind] = UsualTime()
        return found

    def bad(self, now: float) -> float:
        """Return how probable it is that the target is in a bad spell, from 0 to 1."""
        bad, at = self._bad, self._at
        for visit in self._visits:
            bad = _weighed(self._drift(bad, visit.started - at), self.ratio(now, visit))
            at = max(at, visit.started)
        return self._drift(bad, now - at)

    def ratio(self, now: float, visit: Visit) -> float:
        """Return how many times more probable what a request shows so far is at a bad target."""
        if visit.ratio is not None:
            return visit.ratio
        age_s = now - visit.seen_from
        if age_s < SETTLED_S:
            return 1.0
        longer = self.usual(visit.kind).longer(age_s * 1000.0, visit.told_ms)
        silent = BAD_SHARE * self._silent_share + (1.0 - BAD_SHARE) * longer
        return silent / longer

    def begin(
        self,
        now: float,
        kind: str,
        *,
        trial: bool = False,
        told_ms: float = 0.0,
        customer: str = "",
    ) -> Visit:
        """Note that the target gets a request; what is returned is to be handed to `end`.

        Args:
            now: Clock seconds.
            kind: Of the request.
            trial: Whether it is let in although the target is believed bad.
            told_ms: What its ingress says is typical for its kind, 0 for nothing.
            customer: Whose it is, empty if nobody's in particular.
        """
        visit = Visit(kind, now, trial, now, told_ms, customer)
        self._visits.append(visit)
        if len(self._visits) > OPEN_MAX:
            self._count(now, self._visits.pop(0))
        return visit

    def end(self, now: float, visit: Visit, end: End, *, stalled_at: float = -math.inf) -> None:
        """Note how a request ended.

        Args:
            now: Clock seconds.
            visit: What `begin` returned.
            end: How it ended.
            stalled_at: When this process last stood still: silence before that tells nothing.
        """
        visit.seen_from = max(visit.seen_from, min(now, stalled_at))
        self._learn(now, visit, end, stalled=stalled_at >= visit.started)
        visit.ratio = self._final_ratio(now, visit, end)
        while self._visits and self._visits[0].ratio is not None:
            self._count(now, self._visits.pop(0))
        self._look(now)
        self._learn_failures(now, visit, end)

    def stall(self, now: float) -> None:
        """Note that this process stood still until now: silence up to here tells nothing."""
        for visit in self._visits:
            visit.seen_from = max(visit.seen_from, now)

    def watch(self, now: float) -> None:
        """Count what is probably lost in silence as soon as it is, not when its time is over."""
        for visit in self.running:
            self._count_silence(now, visit)

    def _count_silence(self, now: float, visit: Visit) -> None:
        if not visit.silent and self.ratio(now, visit) > 1.0 / (1.0 - BAD_SHARE):
            visit.silent = True
            self._silences += 1.0

    @property
    def _usually_bad(self) -> float:
        begin, over = self._rates()
        return begin / (begin + over)

    @property
    def _silent_share(self) -> float:
        return self._silences / self._losses

    @property
    def _failed_share(self) -> float:
        """Share of its requests that the target answers with a failure in a spell."""
        return BAD_SHARE * (self._failures + FAILURES_PRIOR) / (self._losses + FAILURES_PRIOR)

    @property
    def _losses(self) -> float:
        return self._silences + self._resets + self._failures

    def _rates(self) -> tuple[float, float]:
        """Return how many spells begin, and are over, a second of being sound or bad."""
        return self._begun / self._sound_s, self._over / self._bad_s

    def _drift(self, bad: float, for_s: float) -> float:
        """Return the belief after so many seconds without evidence."""
        if for_s <= 0.0:
            return bad
        begin, over = self._rates()
        usually = begin / (begin + over)
        return usually + (bad - usually) * math.exp(-(begin + over) * for_s)

    def _final_ratio(self, now: float, visit: Visit, end: End) -> float:
        match end:
            case End.ANSWERED:
                return 1.0 - BAD_SHARE
            case End.FAILED:
                usual = self._usual_failures.of(visit.names)
                return max(1.0, self._failed_share / usual)
            case End.LOST if now - visit.started < LATE_S:
                return BAD_SHARE / SOUND_LOSS
            case End.SILENT:
                return self.ratio(now, visit)
            case _:
                return 1.0

    def _learn(self, now: float, visit: Visit, end: End, *, stalled: bool) -> None:
        """Learn usual times and shares from a request's end."""
        match end:
            case End.ANSWERED | End.FAILED:
                self._silences = max(SILENCES_PRIOR, self._silences - visit.silent)
                if end is End.ANSWERED and not stalled:
                    self.usual(visit.kind).add((now - visit.started) * 1000.0)
            case End.LOST if now - visit.started < LATE_S:
                self._resets += 1.0
            case End.SILENT:
                self._count_silence(now, visit)
            case _:
                return
        self._forget_losses()

    def _learn_failures(self, now: float, visit: Visit, end: End) -> None:
        """Learn whose failures are usual, and whether those of spells are by answers."""
        match end:
            case End.ANSWERED:
                self._failures += self._usual_failures.succeeded(visit.names, self.bad(now))
            case End.FAILED:
                self._failures += self._usual_failures.failed(visit.names, self.bad(now))
            case _:
                return
        self._forget_losses()

    def _forget_losses(self) -> None:
        if self._losses > MODE_MEMORY:
            self._resets *= 0.5
            self._silences *= 0.5
            self._failures *= 0.5

    def _count(self, now: float, visit: Visit) -> None:
        """Make a request's evidence part of the belief for good."""
        ratio = self.ratio(now, visit)
        self._bad = _weighed(self._drift(self._bad, visit.started - self._at), ratio)
        self._at = max(self._at, visit.started)

    def _look(self, now: float) -> None:
        """Learn how often spells begin and how long they last."""
        passed_s = max(0.0, now - self._looked_at)
        self._looked_at = now
        if self._in_spell:
            self._bad_s += passed_s
        else:
            self._sound_s += passed_s
        bad = self.bad(now)
        if not self._in_spell and bad >= IN_SPELL:
            self._in_spell = True
            self._begun += 1.0
        elif self._in_spell and bad <= OUT_OF_SPELL:
            self._in_spell = False
            self._over += 1.0


def _weighed(bad: float, ratio: float) -> float:
    """Return the belief after evidence that is so many times more probable at a bad target."""
    weighed = bad * ratio / (bad * ratio + 1.0 - bad)
    return min(CERTAIN, max(SURE, weighed))
