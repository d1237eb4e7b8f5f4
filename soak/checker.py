"""The promises, checked on a history."""

import bisect
import math
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from soak.customer import BURST, LIMITED, OVER, RATE_PER_S, SLACK, passing_key
from soak.customer import WINDOW_S as WINDOW
from soak.history import CLOSED, GARBLED, LATE, STORE, Arrival, History, Instance, Life, Request
from soak.target import ENDING

IN_FORCE_S, SETTLED_S = 2.0, 3.0
"""The platform's bound for a change, and for a drain; it runs from so long after a disturbance."""
SLACK_S, CROSSING_S = 1.0, 0.1
"""A busy machine holds processes up by some 100 ms: seen from outside at both ends of a bound, and
where a close crosses a request, which takes 1 ms else, so that nobody reads it."""
NOT_RUN, OWN_BODY, NO_BODY = (400, 401, 404, 408, 413, 421, 429, 503), (200, 500), (503, 504)
"""Statuses that say "not run", and those of sound requests with the target's body or without."""
OWN_FROM, EARLY_S = 500, 0.2
"""Lowest status of a failure, and how long before the end of its time a request may be given up."""
ROUTE_LIMIT_S = dict.fromkeys("abcd", 2.0)
"""Seconds after which routes end requests, where these are not more patient than their callers."""
GRACE_S = 6.0
"""From SIGTERM to SIGKILL; the nodes' stop limit."""
LAST_S, SENT_S, PAUSED_S = GRACE_S * 5.0 / 6.0, 3.0, GRACE_S * 2.0 / 3.0
"""Seconds after SIGTERM: from the first on what a target is at work on may be cut, if it was sent
by the second; a pause that lasts beyond the third leaves too little time to end in order."""
SLOTS = 2
"""Of each target."""
ENDS = 3
"""Targets that a request may end before it must be known."""
MIN_SHARE, WINDOW_S, ENOUGH = 0.7, 2.0, 10
"""Share of the sound targets that must get requests in a window with enough for each of them."""


class Finding(NamedTuple):
    """A broken promise."""

    at: float
    promise: str
    node: str
    request: str
    text: str


def check(history: History) -> list[Finding]:
    """Return all findings by time."""
    found = [*_ends(history), *_configurations(history), *_share(history), *_spared(history)]
    found += [*_keys(history), *_quota(history)]
    found += [_finding(p, r) for r in history.requests.values() for p in _broken(history, r)]
    return sorted(found)


def due(history: History, at: float, *subjects: str) -> float:
    """Return when a change of `at` must be in force, whatever these were held up by."""
    since = at
    for trouble in history.troubles:
        if trouble.subject in subjects and trouble.begin < since + IN_FORCE_S + SLACK_S:
            since = max(since, trouble.end + SETTLED_S)
    return since + IN_FORCE_S + SLACK_S


def _broken(history: History, request: Request) -> Iterator[str]:
    """Yield the promises that one request shows to be broken."""
    life, lost, took_s = request.life, request.lost, request.told - request.asked
    runs = sum(arrival.ran for arrival in request.arrivals)
    disturbed = _disturbed(history, request.asked, request.told, life.node)
    if lost == GARBLED or (lost == LATE and not disturbed):
        yield "answer"
    if not lost and request.status not in _sound_statuses(history, request):
        yield "answer"
    if any(a.key_shown or a.customer != request.customer for a in request.arrivals):
        yield "customer"
    if runs > 1 and not request.repeatable:
        yield "at most once"
    if runs and not lost and request.status in NOT_RUN:
        yield "not run"
    was_read = bool(request.arrivals or request.status) or took_s > CROSSING_S
    if lost == CLOSED and was_read and not _may_cut(history, request):
        yield "cut"
    if _is_replaced(history, request) and not _may_cut(history, request):
        yield "replaced"
    for arrival in request.arrivals:
        at, instance = arrival.at, arrival.instance
        if at > instance.left and at > due(history, instance.left, STORE, instance.node):
            yield "leaving"


def _may_cut(history: History, request: Request) -> bool:
    """Tell whether a request that a node has read may end without its answer."""
    life = request.life
    killed = life.killed and request.told >= life.ended - SLACK_S
    if killed or _held_up(history, life):
        return True
    last = life.stopping + LAST_S
    at_work = any(a.ran and a.at <= request.told and a.done >= last for a in request.arrivals)
    return at_work and request.told >= last and request.asked <= life.stopping + SENT_S


def _held_up(history: History, life: Life) -> bool:
    """Tell whether a pause left a node too little time to stop in order."""
    since = life.stopping + PAUSED_S
    return _disturbed(history, since, life.ended, life.node, what="pause")


def _is_replaced(history: History, request: Request) -> bool:
    """Tell whether a node that stops has put an answer in place of a target's that is at work.

    Only the target's word, the request's own deadline, or the loss of the node beside the target
    make that right.
    """
    stopping, told = request.life.stopping, request.told
    over = request.asked + min(request.limit_s, ROUTE_LIMIT_S.get(request.route, math.inf))
    own = request.status >= OWN_FROM and not request.whole
    if not own or told < stopping or told >= over - EARLY_S:
        return False
    return any(
        a.ran
        and (a.done > told or (a.cut and a.done >= stopping))
        and not _is_lost(history, request, a)
        for a in request.arrivals
    )


def _is_lost(history: History, request: Request, arrival: Arrival) -> bool:
    """Tell whether the node beside a target was away while that was at work for another node."""
    node, until = arrival.instance.node, request.told + SLACK_S
    if _disturbed(history, arrival.at, until, node, request.life.node, what="pause"):
        return True
    lives = [o for o in history.lives if o.node == node and o is not request.life]
    return any(arrival.at <= life.ended <= until for life in lives)


def _sound_statuses(history: History, request: Request) -> tuple[int, ...]:
    """Return the statuses that a request may be told, by its key and its customer's limit."""
    if request.whole:
        return OWN_BODY
    statuses: tuple[int, ...] = NO_BODY
    if request.customer == LIMITED:
        statuses += (429,)
    if not request.customer:
        return (*statuses, 401)
    held = _held(history, request)
    if held is not None and not _is_due(history, request, held):
        return (*statuses, 401)
    return statuses


def _held(history: History, request: Request) -> tuple[float, float] | None:
    """Return from when until when a key that passes is held, `None` for one that stays."""
    for number, written in enumerate(history.configurations):
        if request.key == passing_key(written.version):
            later = history.configurations[number + 1 : number + 2]
            return written.at, later[0].at if later else math.inf
    return None


def _is_due(history: History, request: Request, held: tuple[float, float]) -> bool:
    """Tell whether a key that passes must be in force all the while that a request is looked at."""
    begin, end = held
    return due(history, begin, STORE, request.life.node) <= request.asked and request.told < end


def _keys(history: History) -> Iterator[Finding]:
    """A key is good for nothing once a version without it must be in force."""
    for request in history.requests.values():
        held = _held(history, request)
        if held is None or held[1] == math.inf:
            continue
        over = due(history, held[1], STORE, request.life.node)
        if request.arrivals and request.asked > over:
            yield _finding("withdrawn key", request)


def _quota(history: History) -> Iterator[Finding]:
    """A customer's requests that run stay within its limit, whatever happens to the nodes."""
    times = sorted(
        arrival.at
        for request in history.requests.values()
        if request.customer == LIMITED
        for arrival in request.arrivals[:1]
    )
    bound = (RATE_PER_S * WINDOW + BURST) * (1.0 + OVER) + SLACK
    for number, begin in enumerate(times):
        count = bisect.bisect_left(times, begin + WINDOW) - number
        if count > bound:
            yield Finding(begin, "quota", "", "", f"{count} in {WINDOW} s, {bound} are borne")


def _ends(history: History) -> Iterator[Finding]:
    """A node ends only when told to, cleanly and in time."""
    for life in history.lives:
        held_up = _held_up(history, life)
        if life.overdue:  # a node gives its work the time back in which it stood still
            held_up = _disturbed(history, life.stopping, life.ended, life.node, what="pause")
        in_order = life.code == 0 or (life.code == 1 and _has_work(history, life))
        clean = life.stopping <= life.ended < math.inf and (in_order or held_up)
        if not (life.killed or clean):
            what = "was still there after its grace time" if life.overdue else "ended"
            after = f"{life.ended - life.stopping:.2f} s after SIGTERM"
            yield Finding(life.ended, "end", life.node, "", f"{what}, {life.code}, {after}")


def _has_work(history: History, life: Life) -> bool:
    """Tell whether a target was at work at the end of a stop, beside a node or for its callers."""
    last = life.stopping + LAST_S
    return any(
        arrival.ran and arrival.at <= life.ended and arrival.done >= last
        for request in history.requests.values()
        for arrival in request.arrivals
        if life in (request.life, _beside(history, arrival))
    )


def _beside(history: History, arrival: Arrival) -> Life | None:
    """Return the process beside the target of an arrival, `None` if there was none."""
    lives = [life for life in history.lives if life.node == arrival.instance.node]
    return next((life for life in lives if life.ended >= arrival.at), None)


def _configurations(history: History) -> Iterator[Finding]:
    """A configuration is in force in time, and no node goes back to an older one in one life."""
    seen: Counter[Life] = Counter()
    before: dict[Request, int] = {}
    requests = history.requests.values()
    moments = [(r.asked, False, r) for r in requests] + [(r.told, True, r) for r in requests]
    for _, told, request in sorted(moments, key=lambda moment: moment[:2]):
        life, asked = request.life, request.asked
        if not told:
            dues = [(due(history, c.at, STORE, life.node), c) for c in history.configurations]
            before[request] = max([seen[life], *(c.version for by, c in dues if by <= asked)])
            continue
        oldest = before[request]
        for arrival in request.arrivals:
            at, instance = arrival.at, arrival.instance
            written = [c for c in history.configurations if c.version >= oldest and c.at <= at]
            versions = [c.version for c in written if c.services[request.route] == instance.service]
            seen[life] = max([seen[life], *versions[:1]])
            if not versions:
                yield _finding(f"in force ({oldest})", request)


def _share(history: History) -> Iterator[Finding]:
    """Most of the sound targets of a service get requests, if there are enough of these."""
    arrivals = [arrival for r in history.requests.values() for arrival in r.arrivals]
    last = max((arrival.at for arrival in arrivals), default=0.0)
    at = history.began
    while (at := at + WINDOW_S / 2.0) + WINDOW_S <= last:
        counts = Counter(a.instance for a in arrivals if at <= a.at < at + WINDOW_S)
        for service in sorted({instance.service for instance in history.instances}):
            sound = [i for i in history.instances if _is_sound(history, i, service, at)]
            at_work = Counter(a.instance for a in arrivals if a.at < at + WINDOW_S and a.done >= at)
            silent = [i.name for i in sound if not counts[i] and at_work[i] < SLOTS]
            enough = sum(counts[instance] for instance in sound) >= ENOUGH * len(sound)
            if enough and len(sound) - len(silent) < math.ceil(MIN_SHARE * len(sound)):
                yield Finding(at, "share", "", "", f"{service}: nothing for {silent}")


def _spared(history: History) -> Iterator[Finding]:
    """A request under which three targets ended reaches few more, from nodes that are in order."""
    if len(history.ends) < ENDS:
        return
    known = sorted(history.ends)[ENDS - 1] + SETTLED_S + SLACK_S
    for request in history.requests.values():
        if ENDING not in request.path:
            continue
        node, since = request.life.node, request.asked - SETTLED_S
        arrivals = [arrival for arrival in request.arrivals if arrival.at > known]
        if arrivals and not _disturbed(history, since, request.told, node):
            yield _finding("ends", request)


def _is_sound(history: History, instance: Instance, service: str, at: float) -> bool:
    """Tell whether a target of a service was sound in a window and for a time before."""
    since, until = at - SETTLED_S, at + WINDOW_S
    there = instance.service == service and instance.born <= since and instance.left > until
    return there and not _disturbed(history, since, until, instance.name, instance.node, STORE)


def _disturbed(history: History, begin: float, end: float, *subjects: str, what: str = "") -> bool:
    """Tell whether anything of these was in trouble at some moment of a time."""
    troubles = [t for t in history.troubles if t.subject in subjects and what in ("", t.what)]
    return any(trouble.begin <= end and trouble.end >= begin for trouble in troubles)


def _finding(promise: str, request: Request) -> Finding:
    told = f"{request.route}, {request.status} {request.lost}, asked at {request.asked:.3f}"
    text = f"{told}, {[f'{a.instance.name} {a.at:.3f} {a.ran}' for a in request.arrivals]}"
    return Finding(request.told, promise, request.life.node, request.id, text)
