"""Checks of the history of a run against the invariants of the fleet."""

import bisect
import math
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from soak.body import changed_body
from soak.customer import BURST, EXCESS_REQUESTS, EXCESS_SHARE, LIMITED, RATE_PER_S, rotating_key
from soak.customer import WINDOW_S as QUOTA_WINDOW_S
from soak.history import (
    CLOSED,
    MALFORMED,
    STORE,
    TIMED_OUT,
    Arrival,
    History,
    Instance,
    NodeProcess,
    Request,
)
from soak.limit_checker import (
    lowest_limit,
    requests_beyond_limits,
    requests_to_leaving_targets,
)
from soak.target import POISON_PATH

IN_FORCE_S, SETTLE_S = 2.0, 3.0
"""The platform's time limit for a change and for a drain, and how long after the end of a
disturbance it starts to run."""
SLACK_S, CLOSE_RACE_S = 1.0, 0.1
"""A busy machine delays processes by some 100 ms. `SLACK_S` allows for that at both ends of a time
limit, as both are measured from outside. `CLOSE_RACE_S` allows for it where a node closes an idle
connection while a request is on its way, so that nobody reads the request; without load that takes
1 ms."""
WITHDRAWN_SLACK_S = 0.1
"""Slack for a target whose entry is gone: nodes stop sending to it a second or more before the time
limit, so a delay of a busy machine seldom shows."""
NOT_RUN_STATUSES, TARGET_STATUSES, NODE_STATUSES = (
    (400, 401, 404, 408, 413, 421, 429, 503),
    (200, 500),
    (503, 504),
)
"""Statuses that say "not run", and those that a valid request may get with the target's own body
and without it."""
FAILURE_FROM, EARLY_END_S = 500, 0.2
"""Lowest status of a failure, and how long before its deadline a request may be given up."""
ROUTE_TIMEOUT_S = dict.fromkeys("abcdnu", 2.0)
"""Timeouts of the routes whose timeout may end before their callers' deadline."""
GRACE_S = 6.0
"""Seconds from SIGTERM to SIGKILL, which is also the stop limit of the nodes."""
CUT_FROM_S, SENT_BY_S, MAX_PAUSE_S = GRACE_S * 5.0 / 6.0, 3.0, GRACE_S * 2.0 / 3.0
"""Seconds after SIGTERM. From the first on, a node may cut requests that a target is still working
on, if they were sent by the second. A pause that lasts beyond the third leaves too little time for
an orderly shutdown."""
MEMORY_MB = 200
"""Memory of a node in runs with bounds, that of the smallest VM; one that takes more is killed."""
SLOTS = 2
"""Requests that a target serves at once."""
POISON_THRESHOLD = 3
"""Targets that a request may crash before the nodes must quarantine it."""
MIN_SHARE, WINDOW_S, MIN_REQUESTS_PER_TARGET = 0.7, 2.0, 10
"""Share of the healthy targets that must get requests in a window with enough requests for all."""


class Violation(NamedTuple):
    """A violated invariant, at the time and on the node of the request that shows it."""

    at: float
    invariant: str
    node: str
    request: str
    text: str


def check(history: History) -> list[Violation]:
    """Return all violations by time."""
    violations = [*_exits(history), *_configurations(history), *_shares(history), *_poison(history)]
    violations += [*_withdrawn_keys(history), *_quota(history), *_statements(history)]
    violations += _memory(history)
    violations += [
        _violation(invariant, r)
        for r in history.requests.values()
        for invariant in _violations(history, r)
    ]
    return sorted(violations)


def in_force_by(history: History, at: float, *subjects: str, slack_s: float = SLACK_S) -> float:
    """Return when a change made at `at` must be in force, given the disturbances of `subjects`."""
    since = at
    for disturbance in history.disturbances:
        if disturbance.subject in subjects and disturbance.begin < since + IN_FORCE_S + slack_s:
            since = max(since, disturbance.end + SETTLE_S)
    return since + IN_FORCE_S + slack_s


def _violations(history: History, request: Request) -> Iterator[str]:
    """Yield the invariants that one request shows to be violated."""
    process, error, took_s = request.process, request.error, request.ended_at - request.sent_at
    runs = sum(arrival.ran for arrival in request.arrivals)
    disturbed = _was_disturbed(history, request.sent_at, request.ended_at, process.node)
    if error == MALFORMED or (error == TIMED_OUT and not disturbed):
        yield "answer"
    if not error and request.status not in _expected_statuses(history, request):
        yield "answer"
    yield from changed_body(request)
    if any(a.key_forwarded or a.customer != request.customer for a in request.arrivals):
        yield "customer"
    if runs > 1 and not request.repeatable:
        yield "at most once"
    if runs and not error and request.status in NOT_RUN_STATUSES:
        yield "not run"
    reached_node = bool(request.arrivals or request.status) or took_s > CLOSE_RACE_S
    if error == CLOSED and reached_node and not _may_be_cut(history, request):
        yield "cut"
    if _is_replaced(history, request) and not _may_be_cut(history, request):
        yield "replaced"
    for arrival in request.arrivals:
        at, instance = arrival.at, arrival.instance
        if at > instance.draining_at and at > in_force_by(
            history, instance.draining_at, STORE, instance.node
        ):
            yield "leaving"
        if at > instance.withdrawn_at and at > in_force_by(
            history, instance.withdrawn_at, STORE, instance.node, slack_s=WITHDRAWN_SLACK_S
        ):
            yield "withdrawn"


def _may_be_cut(history: History, request: Request) -> bool:
    """Return whether a request that a node has read may end without its response."""
    process = request.process
    killed = process.killed and request.ended_at >= process.exited_at - SLACK_S
    if killed or _paused_at_stop(history, process):
        return True
    last = process.sigterm_at + CUT_FROM_S
    at_work = any(
        a.ran and a.at <= request.ended_at and a.finished_at >= last for a in request.arrivals
    )
    return (
        at_work and request.ended_at >= last and request.sent_at <= process.sigterm_at + SENT_BY_S
    )


def _paused_at_stop(history: History, process: NodeProcess) -> bool:
    """Return whether a pause left a node too little time for an orderly shutdown."""
    since = process.sigterm_at + MAX_PAUSE_S
    return _was_disturbed(history, since, process.exited_at, process.node, kind="pause")


def _is_replaced(history: History, request: Request) -> bool:
    """Return whether a stopping node sent a failure of its own while the target was at work.

    That is allowed only if the target's response, the request's deadline, or the loss of the node
    on the target's VM calls for it.
    """
    sigterm_at, ended_at = request.process.sigterm_at, request.ended_at
    deadline = request.sent_at + min(
        request.deadline_s, ROUTE_TIMEOUT_S.get(request.route, math.inf)
    )
    is_failure = request.status >= FAILURE_FROM and not request.body_matches
    if not is_failure or ended_at < sigterm_at or ended_at >= deadline - EARLY_END_S:
        return False
    return any(
        a.ran
        and (a.finished_at > ended_at or (a.cancelled and a.finished_at >= sigterm_at))
        and not _lost_with_peer(history, request, a)
        for a in request.arrivals
    )


def _lost_with_peer(history: History, request: Request, arrival: Arrival) -> bool:
    """Return whether either node was paused, or the one on the target's VM exited, meanwhile."""
    node, until = arrival.instance.node, request.ended_at + SLACK_S
    if _was_disturbed(history, arrival.at, until, node, request.process.node, kind="pause"):
        return True
    node_processes = [
        other
        for other in history.node_processes
        if other.node == node and other is not request.process
    ]
    return any(arrival.at <= process.exited_at <= until for process in node_processes)


def _expected_statuses(history: History, request: Request) -> tuple[int, ...]:
    """Return the statuses that a request may get, by its key and its customer's limit."""
    if not request.route:
        return (404, 503)
    if request.body_matches:
        return TARGET_STATUSES
    statuses: tuple[int, ...] = NODE_STATUSES
    if request.customer == LIMITED:
        statuses += (429,)
    if not request.customer:
        return (*statuses, 401)
    lifetime = _key_lifetime(history, request)
    if lifetime is not None and not _must_be_in_force(history, request, lifetime):
        return (*statuses, 401)
    return statuses


def _key_lifetime(history: History, request: Request) -> tuple[float, float] | None:
    """Return when a rotating key was added and withdrawn; `None` for a permanent key."""
    for number, written in enumerate(history.configurations):
        if request.key == rotating_key(written.version):
            later = history.configurations[number + 1 : number + 2]
            return written.at, later[0].at if later else math.inf
    return None


def _must_be_in_force(history: History, request: Request, lifetime: tuple[float, float]) -> bool:
    """Return whether a rotating key must be valid during the whole request."""
    begin, end = lifetime
    return (
        in_force_by(history, begin, STORE, request.process.node) <= request.sent_at
        and request.ended_at < end
    )


def _withdrawn_keys(history: History) -> Iterator[Violation]:
    """Check that no request with a withdrawn key runs once its withdrawal must be in force."""
    for request in history.requests.values():
        lifetime = _key_lifetime(history, request)
        if lifetime is None or lifetime[1] == math.inf:
            continue
        withdrawn_by = in_force_by(history, lifetime[1], STORE, request.process.node)
        if request.arrivals and request.sent_at > withdrawn_by:
            yield _violation("withdrawn key", request)


def _quota(history: History) -> Iterator[Violation]:
    """Check that a customer's requests stay within its limit, whatever faults the nodes have."""
    times = sorted(
        arrival.at
        for request in history.requests.values()
        if request.customer == LIMITED
        for arrival in request.arrivals[:1]
    )
    bound = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1.0 + EXCESS_SHARE) + EXCESS_REQUESTS
    for number, begin in enumerate(times):
        count = bisect.bisect_left(times, begin + QUOTA_WINDOW_S) - number
        if count > bound:
            yield Violation(
                begin, "quota", "", "", f"{count} in {QUOTA_WINDOW_S} s, {bound} are allowed"
            )


def _statements(history: History) -> Iterator[Violation]:
    """Check that targets get what their responses allow: limits, and nothing new while leaving."""
    for late in requests_beyond_limits(history):
        yield Violation(late.at, "limit", late.request.process.node, late.request.id, late.text)
    for late in requests_to_leaving_targets(history):
        yield Violation(
            late.at, "leaving-named", late.request.process.node, late.request.id, late.text
        )


def _exits(history: History) -> Iterator[Violation]:
    """Check that a node exits only after SIGTERM, cleanly and within its grace period."""
    for process in history.node_processes:
        paused = _paused_at_stop(history, process)
        if process.overdue:  # a node extends its stop limit by the time for which it was paused
            paused = _was_disturbed(
                history, process.sigterm_at, process.exited_at, process.node, kind="pause"
            )
        expected_code = process.exit_code == 0 or (
            process.exit_code == 1 and _has_work(history, process)
        )
        clean = process.sigterm_at <= process.exited_at < math.inf and (expected_code or paused)
        if not (process.killed or clean):
            problem = "still running after its grace period" if process.overdue else "exited"
            after = f"{process.exited_at - process.sigterm_at:.2f} s after SIGTERM"
            yield Violation(
                process.exited_at,
                "end",
                process.node,
                "",
                f"{problem}, code {process.exit_code}, {after}",
            )


def _memory(history: History) -> Iterator[Violation]:
    """Check that no node takes more memory than its VM has."""
    for process in history.node_processes:
        if process.over_memory_mb:
            text = f"{process.over_memory_mb:.0f} MB, {MEMORY_MB} MB are allowed"
            yield Violation(process.exited_at, "memory", process.node, "", text)


def _has_work(history: History, process: NodeProcess) -> bool:
    """Return whether a target on the node's VM, or one for its callers, worked until the cut."""
    last = process.sigterm_at + CUT_FROM_S
    return any(
        arrival.ran and arrival.at <= process.exited_at and arrival.finished_at >= last
        for request in history.requests.values()
        for arrival in request.arrivals
        if process in (request.process, _node_process(history, arrival))
    )


def _node_process(history: History, arrival: Arrival) -> NodeProcess | None:
    """Return the process of the node on the VM of the target; `None` if none ran since."""
    node_processes = [
        process for process in history.node_processes if process.node == arrival.instance.node
    ]
    return next((process for process in node_processes if process.exited_at >= arrival.at), None)


def _configurations(history: History) -> Iterator[Violation]:
    """Check that configurations are in force in time, and that no process goes back to an older."""
    seen: Counter[NodeProcess] = Counter()
    before: dict[Request, int] = {}
    requests = history.requests.values()
    moments = [(r.sent_at, False, r) for r in requests] + [(r.ended_at, True, r) for r in requests]
    for _, is_end, request in sorted(moments, key=lambda moment: moment[:2]):
        process, sent_at = request.process, request.sent_at
        if not is_end:
            deadlines = [
                (in_force_by(history, c.at, STORE, process.node), c) for c in history.configurations
            ]
            before[request] = max(
                [seen[process], *(c.version for deadline, c in deadlines if deadline <= sent_at)]
            )
            continue
        oldest = before[request]
        for arrival in request.arrivals:
            if not request.route:
                yield _violation("route", request)
                continue
            at, instance = arrival.at, arrival.instance
            written = [c for c in history.configurations if c.version >= oldest and c.at <= at]
            versions = [c.version for c in written if c.services[request.route] == instance.service]
            seen[process] = max([seen[process], *versions[:1]])
            if not versions:
                yield _violation(f"in force ({oldest})", request)


def _shares(history: History) -> Iterator[Violation]:
    """Check that most healthy targets of a service get requests, if there are enough requests."""
    arrivals = [arrival for r in history.requests.values() for arrival in r.arrivals]
    last = max((arrival.at for arrival in arrivals), default=0.0)
    at = history.started_at
    while (at := at + WINDOW_S / 2.0) + WINDOW_S <= last:
        counts = Counter(a.instance for a in arrivals if at <= a.at < at + WINDOW_S)
        for service in sorted({instance.service for instance in history.instances}):
            healthy = [i for i in history.instances if _is_healthy(history, i, service, at)]
            at_work = Counter(
                a.instance for a in arrivals if a.at < at + WINDOW_S and a.finished_at >= at
            )
            idle = [i.name for i in healthy if not counts[i] and at_work[i] < SLOTS]
            enough = sum(counts[instance] for instance in healthy) >= MIN_REQUESTS_PER_TARGET * len(
                healthy
            )
            if enough and len(healthy) - len(idle) < math.ceil(MIN_SHARE * len(healthy)):
                yield Violation(at, "share", "", "", f"{service}: no requests for {idle}")


def _poison(history: History) -> Iterator[Violation]:
    """Check that a request that crashed three targets reaches no more by undisturbed nodes."""
    if len(history.poison_crashes) < POISON_THRESHOLD:
        return
    known = sorted(history.poison_crashes)[POISON_THRESHOLD - 1] + SETTLE_S + SLACK_S
    for request in history.requests.values():
        if POISON_PATH not in request.path:
            continue
        node, since = request.process.node, request.sent_at - SETTLE_S
        arrivals = [arrival for arrival in request.arrivals if arrival.at > known]
        if arrivals and not _was_disturbed(history, since, request.ended_at, node):
            yield _violation("ends", request)


def _is_healthy(history: History, instance: Instance, service: str, at: float) -> bool:
    """Return whether a target of a service was healthy in a window and for `SETTLE_S` before it."""
    since, until = at - SETTLE_S, at + WINDOW_S
    registered = (
        instance.service == service
        and instance.published_at <= since
        and min(instance.draining_at, instance.leaving_at, instance.withdrawn_at) > until
        and lowest_limit(instance, since, until) == math.inf
    )
    return registered and not _was_disturbed(
        history, since, until, instance.name, instance.node, STORE
    )


def _was_disturbed(
    history: History, begin: float, end: float, *subjects: str, kind: str = ""
) -> bool:
    """Return whether any of the subjects had a disturbance that overlaps the interval."""
    disturbances = [
        disturbance
        for disturbance in history.disturbances
        if disturbance.subject in subjects and kind in ("", disturbance.kind)
    ]
    return any(
        disturbance.begin <= end and disturbance.end >= begin for disturbance in disturbances
    )


def _violation(invariant: str, request: Request) -> Violation:
    summary = f"{request.route}, {request.status} {request.error}, sent at {request.sent_at:.3f}"
    text = f"{summary}, {[f'{a.instance.name} {a.at:.3f} {a.ran}' for a in request.arrivals]}"
    return Violation(request.ended_at, invariant, request.process.node, request.id, text)
