"""The state of one request across its attempts."""

import math
from dataclasses import dataclass, field
from typing import Any

from roadpass import clock
from roadpass.call_class import class_of_request
from roadpass.fleet import Service, Target
from roadpass.message import Attempt
from roadpass.offer import FAR_OVERHEAD_KB, LATE_LOSS, Costs, Offer
from roadpass.outcome import NotRun, Outcome, Reason
from roadpass.request import Request
from roadpass.room import RoomReport
from roadpass.room_choice import accepted_risk
from roadpass.route import Route
from roadpass.route_stats import RouteStats
from roadpass.share_gate import ShareTicket
from roadpass.standing import FRESH
from roadpass.transport import FENCE_S

MAX_NEAR_PROBES = 6
MAX_FAR_PROBES = 2
"""Targets of the own data hall, and of other data halls, that are probed before a request accepts
an offer that falls short of its limits. A round trip takes far less time than one more request
ahead in a queue. Probes to other data halls also cost bytes, and rarely find a free target when the
fleet is overloaded."""
LAST_MAX_RISK = 0.04
"""Highest failure risk of a target that a request accepts without comparing offers, if a failure
would lose the request. A target that has just answered has about this risk."""
REPEATABLE_MAX_RISK = 0.4
"""The same limit for a request that would be repeated: a failure costs only a repeat, and the
result improves the estimate of the target's health."""
REPEATABLE_FAILURE_COST = 0.3
"""Cost of a failed attempt that is repeated, as a share of a lost request."""
LATE_REPEAT_MAX_RISK = 0.08
"""The same limit for a request whose repeat would finish after its latency objective."""
FAR_EXPECTED_COST = 0.1
"""Expected cost of a target in another data hall before it was probed, not counting the cost of the
transfer."""
MIN_WAIT_MS = 30.0
"""Shortest wait for a slot that a request accepts, however little is left of its objective."""
ASSUMED_SHARE = 0.3
"""Share of its latency objective that a request is assumed to take while no duration is known. With
it an unresponsive target is noticed from the first request of a fleet on, and one that hangs does
not receive all requests of the first seconds."""
GIVE_UP_SHARE = 0.45
"""Share of its time budget after which a request that found no free target is given up. Few
requests that wait longer are answered in time; the others would only wait longer for a refusal."""
LONG_SPREADS = 0.7
"""Spreads above the typical latency within which three of four requests of a route finish. A
request waits only as long as this much time is left of its objective. Reserving time for nearly all
requests would leave slow routes hardly any time to wait, and slots unused that they could have
had."""
TAIL_SPREADS = 1.65
"""Spreads above the typical latency within which 95 of 100 requests of a route finish."""
MIN_ATTEMPT_S = 0.005
"""Seconds; no attempt is made with less time left."""


@dataclass(slots=True)
class RequestState:
    """One request, the targets it was sent to, and how those attempts ended.

    Args:
        request: As the caller sent it.
        route: The route that matched.
        service: The service it goes to.
        started: Clock seconds at which it was received.
        deadline: Clock seconds by which it must have an outcome.
        key: Idempotency key as sidecars know it, empty for none.
        typical_ms: Typical latency on this route in milliseconds, 0 if unknown.
        long_ms: Milliseconds within which three of four requests of the route finish, 0 if unknown.
        slow_ms: Milliseconds above which a request of the route counts as slow, 0 if unknown.
        lost_ms: Milliseconds after which a lost attempt of the route is usually detected.
        objective_factor: Multiple of the latency objective that it may take. More than 1 for a
            request that is short compared to the others: it delays them little, and often one of
            them is waiting for it.
        far_cost: Cost of its transfer to another data hall, as a share of a lost request.
        tried: Targets that are not probed again.
        offers: Replies of targets that had no free slot or were likely to fail.
        refused: Why targets refused before the request reached them.
        arrivals: Attempts that reached a target.
        redirects: Attempts that were refused before they reached a target.
        accepts_best: Whether it takes the best offer received, since no target meets its limits.
        accepted_wait_ms: Wait that this offer announced; the attempt may take longer by it.
        last_resort: Whether all targets have refused it and those that might still accept it are
            probed once more.
        room: What is known of the target that the next attempt goes to, `None` if it was not chosen
            by its free capacity.
        queues: Whether it waits at the ingress for a slot instead of at a target.
        slot: Slot that a sidecar holds for its next attempt, `None` for none.
        wait: Its place in the waiting order as the next attempt tells it.
        may_have_run: Latest outcome that does not prove that the request did not run.
        attempt_id: Id of the attempt that was sent last, empty before the first.
        standing: Its order within its class, see `roadpass.standing`.
        parent_repeat: Whether a retry makes it as a call, `None` if parents are not looked for.
        share: Its part of its customer's share, `None` without shares.
    """

    request: Request
    route: Route
    service: Service
    started: float
    deadline: float
    key: str
    typical_ms: float = 0.0
    long_ms: float = 0.0
    slow_ms: float = 0.0
    lost_ms: float = 0.0
    objective_factor: float = 1.0
    far_cost: float = 0.0
    tried: set[str] = field(default_factory=set)
    offers: dict[str, Offer] = field(default_factory=dict)
    refused: dict[str, Reason] = field(default_factory=dict)
    arrivals: int = 0
    redirects: int = 0
    accepts_best: bool = False
    accepted_wait_ms: float = 0.0
    last_resort: bool = False
    room: RoomReport | None = None
    queues: bool = False
    slot: int | None = None
    wait: list[Any] | None = None
    may_have_run: Outcome | None = None
    attempt_id: str = ""
    standing: int = FRESH
    parent_repeat: bool | None = None
    share: ShareTicket | None = None

    @classmethod
    def begin(
        cls,
        request: Request,
        route: Route,
        service: Service,
        started: float,
        stats: RouteStats,
        objective_factor: float,
    ) -> "RequestState":
        """Return the state of a request before its first attempt.

        Args:
            request: As the caller sent it.
            route: The route that matched.
            service: The service it goes to.
            started: Clock seconds at which it was received.
            stats: Statistics of the route.
            objective_factor: Multiple of the latency objective that it may take.
        """
        deadline = started + (route.timeout_ms or service.timeout_ms) / 1000.0
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        key = f"{service.name}:{request.key}" if request.key and not route.repeatable else ""
        size_kb = max(stats.size_kb, request.body_bytes / 1000.0) + FAR_OVERHEAD_KB
        return cls(
            request,
            route,
            service,
            started,
            deadline,
            key,
            typical_ms=stats.duration.typical_ms,
            long_ms=stats.duration.upper_ms(LONG_SPREADS),
            slow_ms=service.judgement.slow_margin * stats.duration.upper_ms(TAIL_SPREADS),
            lost_ms=stats.lost_ms,
            objective_factor=objective_factor,
            far_cost=service.far_loss_per_kb * size_kb,
        )

    @property
    def traffic_class(self) -> str:
        """The class under which it is counted and queued."""
        return class_of_request(self.service, self.route, self.request)

    @property
    def below_attempt_limit(self) -> bool:
        """Whether the route allows the request to be sent to another target."""
        most = self.route.max_attempts
        return most is None or self.arrivals < most

    @property
    def repeat_meets_objective(self) -> bool:
        """Whether a repeat of a lost attempt would still meet the latency objective."""
        objective_ms = self.route.target_latency_ms
        if objective_ms is None:
            return True
        return self.lost_ms + self.typical_ms <= objective_ms * self.objective_factor

    @property
    def expired(self) -> bool:
        """Whether too little time is left for an attempt."""
        return self.deadline - clock.now() < MIN_ATTEMPT_S

    @property
    def may_probe_near(self) -> bool:
        """Whether to probe more targets of the own data hall."""
        probed = sum(not offer.far for offer in self.offers.values())
        return not self.accepts_best and probed < MAX_NEAR_PROBES

    def may_probe_far(self, has_repeat: bool) -> bool:
        """Whether to probe a target of another data hall.

        Only if its expected cost, with the transfer, is below that of the best offer so far.
        """
        probed = sum(offer.far for offer in self.offers.values())
        costs = self._costs(has_repeat)
        least = min(map(costs.of, self.offers.values()), default=math.inf)
        if self.accepts_best or probed >= MAX_FAR_PROBES:
            return False
        return least > FAR_EXPECTED_COST + self.far_cost

    def most_wait_ms(self) -> float:
        """Return the longest wait for a slot that it accepts, in milliseconds.

        After a longer wait its answer is often late. A queue that may grow to the objective minus
        the typical latency makes half of its requests late, and serves no more than a short one.

        A request whose attempt failed after it reached a target is late in any case, so only its
        deadline bounds the wait.
        """
        now = clock.now()
        objective_ms = self.route.target_latency_ms
        left_ms = (self.deadline - now) * 1000.0 - self.typical_ms
        if objective_ms is not None and self.arrivals == 0:
            long_ms = self.long_ms or self._assumed_ms
            aim_ms = objective_ms * self.objective_factor - (now - self.started) * 1000.0 - long_ms
            left_ms = min(left_ms, aim_ms)
        return max(MIN_WAIT_MS, left_ms)

    @property
    def should_give_up(self) -> bool:
        """Whether it has found no free target for so long that it is better refused now."""
        if self.queues:
            return False  # its latest useful start limits its waiting
        limit_s = GIVE_UP_SHARE * (self.deadline - self.started)
        return self.arrivals == 0 and clock.now() - self.started > limit_s

    def times_refused(self, reason: Reason) -> int:
        """Return how many targets refused it for a reason before it reached them."""
        return sum(one is reason for one in self.refused.values())

    def record_arrival(self) -> None:
        """Count an attempt that reached a target; for another attempt all are probed again."""
        self.arrivals += 1
        self.reset_offers()

    def add_offer(self, name: str, offer: Offer) -> None:
        """Record the reply of a target that has no free slot or is likely to fail."""
        if self.accepts_best:
            self.reset_offers()
        self.offers[name] = offer

    def accept_best(self, has_repeat: bool) -> str | None:
        """Accept the best offer and return its target; `None` if a refusal costs less.

        One that waits at its ingress accepts a wait at a target only for a start, not for a slot.
        """
        costs = self._costs(has_repeat)
        left = {
            name: offer
            for name, offer in self.offers.items()
            if name not in self.tried
            and costs.accepts(offer)
            and not (self.queues and offer.wait_ms > 0.0 and not offer.limited)
        }
        if not left:
            return None
        self.accepts_best = True
        name = min(left, key=lambda name: costs.of(left[name]))
        self.accepted_wait_ms = self.offers[name].wait_ms
        return name

    def shortest_wait_ms(self) -> float:
        """Return the shortest wait that a target announced, 0 without any offer."""
        return min((offer.wait_ms for offer in self.offers.values()), default=0.0)

    def start_last_resort(self) -> bool:
        """Allow one more probe of targets that refused as failing, or were unreachable.

        A failing target may run the request and then lose the answer, so only a request that may be
        repeated is sent to one.

        Returns:
            Whether this was the first call. From then on unreachable targets are probed, too.
        """
        if self.last_resort:
            return False
        again = {Reason.UNREACHABLE}
        if self.route.repeatable and self.arrivals == 0:
            again.add(Reason.FAILING)
        names = {name for name, reason in self.refused.items() if reason in again}
        self.last_resort = True
        self.tried -= names
        return True

    def final_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome to report: "not run" only if no attempt may have run."""
        match outcome:
            case NotRun(reason=Reason.HELD_BACK, retry_after_ms=retry_after_ms):
                return self.may_have_run or NotRun(Reason.BUSY, retry_after_ms)
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
        notice: list[Any] | None = None,
    ) -> Attempt:
        """Return the next attempt.

        Args:
            attempt_id: Unique in the fleet.
            target: Target to which it goes.
            now: Clock seconds.
            revision: Revision of the configuration that it is routed by.
            slow_ms: Above which an answer of the target counts as slow, zero if unknown.
            has_repeat: Whether the retry budget allows a repeat after it.
            notice: What the target is known to have stated about itself, `None` for nothing.
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
            may_wait=self.accepts_best,
            pressing=self.last_resort,
            last=self.is_last_attempt(has_repeat),
            most_bad=self._max_risk(has_repeat),
            most_wait_ms=self.most_wait_ms(),
            usual_ms=self.typical_or_assumed_ms,
            fingerprint=self.request.fingerprint,
            customer=self.request.customer.name if self.request.customer else "",
            notice=notice,
            slot=self.slot,
            wait=self.wait,
            parent_repeat=self.parent_repeat,
            standing=self.standing,
        )

    @property
    def typical_or_assumed_ms(self) -> int:
        """Expected duration in milliseconds that its target is sent, 0 if unknown."""
        return round(self.typical_ms or self._assumed_ms)

    @property
    def _assumed_ms(self) -> float:
        """Duration assumed while none is known on the route, 0 without a latency objective."""
        return ASSUMED_SHARE * (self.route.target_latency_ms or 0)

    def reset_offers(self) -> None:
        """Probe all targets again: after a wait in a queue, or where the best target changed."""
        self.offers.clear()
        self.accepts_best = False
        self.accepted_wait_ms = 0.0

    def _max_risk(self, has_repeat: bool) -> float:
        """Return the highest failure risk of a target that the next attempt accepts."""
        if self.accepts_best or self.last_resort:
            return 1.0
        known = accepted_risk(self.room) if self.room is not None else 0.0
        if self.is_last_attempt(has_repeat):
            return max(known, LAST_MAX_RISK)
        limit = REPEATABLE_MAX_RISK if self.repeat_meets_objective else LATE_REPEAT_MAX_RISK
        return max(known, limit)

    def _costs(self, has_repeat: bool) -> Costs:
        return Costs(self.failure_cost(has_repeat), self.most_wait_ms(), self.far_cost)

    def failure_cost(self, has_repeat: bool) -> float:
        """Return the cost of a failure of the next attempt, as a share of a lost request."""
        if self.is_last_attempt(has_repeat):
            return 1.0
        return REPEATABLE_FAILURE_COST if self.repeat_meets_objective else LATE_LOSS

    def is_last_attempt(self, has_repeat: bool) -> bool:
        """Return whether a failure of the next attempt loses the request."""
        return not (self.route.repeatable and self.arrivals == 0 and has_repeat)

    def _attempt_s(self, now: float, has_repeat: bool) -> float:
        """Return the seconds that the next attempt may take.

        If it may be repeated, time is left for the repeat; after a request that must not be
        repeated, time is left for its fence.
        """
        left = self.deadline - now
        if not self.route.repeatable:
            return max(MIN_ATTEMPT_S, left - FENCE_S)
        limit_s = self.service.attempt_timeout_ms / 1000.0
        repeats = has_repeat and self.below_attempt_limit and self.arrivals == 0
        if self.route.target_latency_ms is not None and repeats:
            aim_ms = self.route.target_latency_ms + self.accepted_wait_ms
            limit_s = min(limit_s, aim_ms / 1000.0)
        return min(left, limit_s)
