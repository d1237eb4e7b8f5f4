"""The state of one request on its way through attempts."""

import math
from dataclasses import dataclass, field

from roadpass import clock
from roadpass.fleet import Service, Target
from roadpass.kind import Kind
from roadpass.message import Attempt
from roadpass.offer import FAR_OVERHEAD_KB, LATE_LOSS, Costs, Offer
from roadpass.outcome import NotRun, Outcome, Reason
from roadpass.request import Request
from roadpass.route import Route
from roadpass.transport import FENCE_S

ASKS = 6
FAR_ASKS = 2
"""Targets of the own data hall, and of others, asked before a request takes one that is not as
wanted: a way there and back takes far less than one request ahead in a queue. Questions to other
data halls also cost bytes, and find little in a crowded moment."""
WANTED_BAD = 0.04
"""How probably bad a target may be that is taken at once by a request that is lost if it fails;
just after an answer a target is about so sure."""
SPARE_BAD = 0.4
"""The same for a request that would be repeated: what it costs is a repeat, what it shows helps."""
SPARE_LOSS = 0.3
"""What a failure of an attempt that is repeated costs, as a share of a lost request."""
SPARE_LATE_BAD = 0.08
"""How probably bad a target is taken by a request whose repeat would come late."""
FAR_HOPE = 0.1
"""What a target of another data hall is taken to cost, its way apart, before it was asked."""
WAIT_LEAST_MS = 30.0
"""Milliseconds that a request waits for a slot, however little is left of its objective."""
USUAL_UNKNOWN_SHARE = 0.3
"""Share of the objective that a request is taken to last while nobody knows. So the silence of a
target counts from the first request of a fleet on, and one that hangs is not given what comes in
the first seconds."""
GIVE_UP_SHARE = 0.45
"""Share of its time after which a request that no target was free for is given up: few that get so
far are answered in time, and the others would only wait for nothing."""
LONG_SPREADS = 0.7
"""Spreads above the typical time within which three of four requests of a kind are done: a request
waits no longer than leaves it so much of its objective. Time for nearly all of a kind would leave
long kinds hardly any wait, and slots free that they could have had."""
TAIL_SPREADS = 1.65
"""Spreads above the typical time within which 95 of 100 requests of a kind are done."""
MIN_ATTEMPT_S = 0.005
"""Seconds; with less time left no attempt is made."""


@dataclass(slots=True)
class Trip:
    """One request, where it has been, and what became of it there.

    Args:
        request: The caller's.
        route: By which it goes.
        service: To which it goes.
        started: Clock seconds at which it came.
        deadline: Clock seconds by which it must have an outcome.
        key: Idempotency key as sidecars know it, empty for none.
        usual_ms: Milliseconds that one of its kind usually takes, 0 if unknown.
        long_ms: Milliseconds that nearly all of its kind take at the most, 0 if unknown.
        slow_ms: Milliseconds from which on one of its kind is slow, 0 if unknown.
        lost_ms: Milliseconds after which an attempt of its kind is usually known to be lost.
        patience: How many times its objective it may take: more for what is short beside other
            requests, since it delays them by little, and often one of them waits for it.
        far_loss: What its way to another data hall costs, as a share of a lost request.
        tried: Targets that are not asked again.
        offers: What targets said that had no free slot, or are doubtful.
        refused: Why targets refused before the request reached them.
        arrivals: Attempts that reached a target.
        moves: Attempts refused before that.
        settles: Whether it takes the best of those that were asked, as none is as wanted.
        waits_ms: Milliseconds that it is expected to wait there; its attempt lasts longer by them.
        pressing: All targets have refused it: those that might yet take it are asked again.
        may_have_run: Latest outcome that is no proof that the request did not run.
        attempt_id: Of the attempt that was sent last, empty before the first.
    """

    request: Request
    route: Route
    service: Service
    started: float
    deadline: float
    key: str
    usual_ms: float = 0.0
    long_ms: float = 0.0
    slow_ms: float = 0.0
    lost_ms: float = 0.0
    patience: float = 1.0
    far_loss: float = 0.0
    tried: set[str] = field(default_factory=set)
    offers: dict[str, Offer] = field(default_factory=dict)
    refused: dict[str, Reason] = field(default_factory=dict)
    arrivals: int = 0
    moves: int = 0
    settles: bool = False
    waits_ms: float = 0.0
    pressing: bool = False
    may_have_run: Outcome | None = None
    attempt_id: str = ""

    @classmethod
    def begin(
        cls,
        request: Request,
        route: Route,
        service: Service,
        started: float,
        kind: Kind,
        patience: float,
    ) -> "Trip":
        """Return the state of a request before its first attempt.

        Args:
            request: The caller's.
            route: By which it goes.
            service: To which it goes.
            started: Clock seconds at which it came.
            kind: What is known of its kind.
            patience: How many times its objective it may take.
        """
        deadline = started + (route.timeout_ms or service.timeout_ms) / 1000.0
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        key = f"{service.name}:{request.key}" if request.key and not route.repeatable else ""
        size_kb = max(kind.size_kb, len(request.body) / 1000.0) + FAR_OVERHEAD_KB
        return cls(
            request,
            route,
            service,
            started,
            deadline,
            key,
            usual_ms=kind.latency.typical_ms,
            long_ms=kind.latency.upper_ms(LONG_SPREADS),
            slow_ms=service.judgement.slow_margin * kind.latency.upper_ms(TAIL_SPREADS),
            lost_ms=kind.lost_ms,
            patience=patience,
            far_loss=service.far_loss_per_kb * size_kb,
        )

    @property
    def traffic_class(self) -> str:
        """The class it is counted and queued in."""
        return self.service.class_of(self.route, self.request.customer)

    @property
    def may_arrive(self) -> bool:
        """Whether the route lets the request be sent to another target."""
        most = self.route.max_attempts
        return most is None or self.arrivals < most

    @property
    def repeats_in_time(self) -> bool:
        """Whether a repeat of a lost attempt would still meet the objective."""
        objective_ms = self.route.target_latency_ms
        if objective_ms is None:
            return True
        return self.lost_ms + self.usual_ms <= objective_ms * self.patience

    @property
    def expired(self) -> bool:
        """Whether too little time is left for an attempt."""
        return self.deadline - clock.now() < MIN_ATTEMPT_S

    @property
    def asks_near(self) -> bool:
        """Whether more targets of the own data hall are asked."""
        asked = sum(not offer.far for offer in self.offers.values())
        return not self.settles and asked < ASKS

    def asks_far(self, has_repeat: bool) -> bool:
        """Whether a target of another data hall is asked: it may well be worth the way."""
        asked = sum(offer.far for offer in self.offers.values())
        costs = self._costs(has_repeat)
        least = min(map(costs.of, self.offers.values()), default=math.inf)
        if self.settles or asked >= FAR_ASKS:
            return False
        return least > FAR_HOPE + self.far_loss

    def most_wait_ms(self) -> float:
        """Return how long it would wait for a slot at the most: longer, and it is often late.

        A queue as long as the objective less the typical time makes half of those late that it
        holds, and serves no more than a short one.

        One that reached a target already is late in any case where that failed: what is left of
        its time is what bounds it.
        """
        now = clock.now()
        objective_ms = self.route.target_latency_ms
        left_ms = (self.deadline - now) * 1000.0 - self.usual_ms
        if objective_ms is not None and self.arrivals == 0:
            long_ms = self.long_ms or self._assumed_ms
            aim_ms = objective_ms * self.patience - (now - self.started) * 1000.0 - long_ms
            left_ms = min(left_ms, aim_ms)
        return max(WAIT_LEAST_MS, left_ms)

    @property
    def waits_in_vain(self) -> bool:
        """Whether no target took it for so long that its caller is better told now."""
        patience_s = GIVE_UP_SHARE * (self.deadline - self.started)
        return self.arrivals == 0 and clock.now() - self.started > patience_s

    def note_arrival(self) -> None:
        """Note that it reached a target: for another attempt all are asked again."""
        self.arrivals += 1
        self._ask_anew()

    def note_offer(self, name: str, offer: Offer) -> None:
        """Note a target that had no free slot or is doubtful."""
        if self.settles:
            self._ask_anew()
        self.offers[name] = offer

    def settle(self, has_repeat: bool) -> str | None:
        """Take the best of the targets that were asked; `None` if a refusal costs less."""
        costs = self._costs(has_repeat)
        left = {
            name: offer
            for name, offer in self.offers.items()
            if name not in self.tried and costs.bears(offer)
        }
        if not left:
            return None
        self.settles = True
        name = min(left, key=lambda name: costs.of(left[name]))
        self.waits_ms = self.offers[name].wait_ms
        return name

    def least_wait_ms(self) -> float:
        """Return the shortest wait that a target told, 0 without any."""
        return min((offer.wait_ms for offer in self.offers.values()), default=0.0)

    def press(self) -> bool:
        """Let targets that refused for failing, or were cut off, be asked once more.

        A failing one may run what it then loses, so only what may repeat goes there.

        Returns:
            Whether that is new; targets to which the way was cut are asked now, too.
        """
        if self.pressing:
            return False
        again = {Reason.UNREACHABLE}
        if self.route.repeatable and self.arrivals == 0:
            again.add(Reason.SICK)
        names = {name for name, reason in self.refused.items() if reason in again}
        self.pressing = True
        self.tried -= names
        return True

    def final(self, outcome: Outcome) -> Outcome:
        """Return what to tell the caller: "not run" only if no attempt may have run."""
        match outcome:
            case NotRun():
                return self.may_have_run or outcome
            case _:
                return outcome

    def attempt(
        self,
        attempt_id: str,
        target: Target,
        now: float,
        *,
        revision: int,
        slow_ms: float,
        has_repeat: bool,
    ) -> Attempt:
        """Return the next attempt.

        Args:
            attempt_id: Unique in the fleet.
            target: To which it goes.
            now: Clock seconds.
            revision: Of the configuration that it is routed by.
            slow_ms: From where on an answer of the target counts as slow, zero if unknown.
            has_repeat: Whether the budget has a repeat to spend after it.
        """
        return Attempt(
            id=attempt_id,
            target=target.name,
            route=self.route.name,
            method=self.request.method,
            path=self.request.path,
            headers=self.request.headers,
            body=self.request.body,
            remaining_ms=self._attempt_s(now, has_repeat) * 1000.0,
            traffic_class=self.traffic_class,
            caller=self.request.caller,
            repeatable=self.route.repeatable,
            retry=self.arrivals > 0,
            revision=revision,
            slow_ms=slow_ms,
            key=self.key,
            repeat=bool(self.key) and self.request.repeat,
            request_id=self.request.id,
            origin=self.request.origin,
            may_wait=self.settles,
            pressing=self.pressing,
            last=self.is_last(has_repeat),
            most_bad=self._most_bad(has_repeat),
            most_wait_ms=self.most_wait_ms(),
            usual_ms=self.told_usual_ms,
            fingerprint=self.request.fingerprint,
            customer=self.request.customer.name if self.request.customer else "",
        )

    @property
    def told_usual_ms(self) -> int:
        """Milliseconds that its target is told that one of its kind takes, 0 if nobody knows."""
        return round(self.usual_ms or self._assumed_ms)

    @property
    def _assumed_ms(self) -> float:
        """What a request of the kind is taken to last while nobody knows, 0 without objective."""
        return USUAL_UNKNOWN_SHARE * (self.route.target_latency_ms or 0)

    def _ask_anew(self) -> None:
        """Ask all targets again after a wait in the queue of one, or where the best has changed."""
        self.offers.clear()
        self.settles = False
        self.waits_ms = 0.0

    def _most_bad(self, has_repeat: bool) -> float:
        """Return how probably bad a target the next attempt takes."""
        if self.settles or self.pressing:
            return 1.0
        if self.is_last(has_repeat):
            return WANTED_BAD
        return SPARE_BAD if self.repeats_in_time else SPARE_LATE_BAD

    def _costs(self, has_repeat: bool) -> Costs:
        return Costs(self._loss(has_repeat), self.most_wait_ms(), self.far_loss)

    def _loss(self, has_repeat: bool) -> float:
        """Return what a failure of the next attempt costs, as a share of a lost request."""
        if self.is_last(has_repeat):
            return 1.0
        return SPARE_LOSS if self.repeats_in_time else LATE_LOSS

    def is_last(self, has_repeat: bool) -> bool:
        """Tell whether the request is lost with the next attempt."""
        return not (self.route.repeatable and self.arrivals == 0 and has_repeat)

    def _attempt_s(self, now: float, has_repeat: bool) -> float:
        """Return the seconds that the next attempt may take.

        After a repeatable one another must have time, if there may be one; after any other its
        fence.
        """
        left = self.deadline - now
        if not self.route.repeatable:
            return max(MIN_ATTEMPT_S, left - FENCE_S)
        limit_s = self.service.attempt_timeout_ms / 1000.0
        repeats = has_repeat and self.may_arrive and self.arrivals == 0
        if self.route.target_latency_ms is not None and repeats:
            aim_ms = self.route.target_latency_ms + self.waits_ms
            limit_s = min(limit_s, aim_ms / 1000.0)
        return min(left, limit_s)
