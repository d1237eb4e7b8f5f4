"""Checks of what targets received after they had named a limit, or had said that they leave."""

from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from soak.history import Arrival, History, Instance, NodeProcess, Request

CONTACT_S, TOLD_S, DRAIN_S = 3.0, 0.5, 2.0
"""Seconds until a limit binds the fleet; for which a node must have known of it for its requests to
count; and for which a leaving target may still get new requests of a node that was told."""
WINDOW_S, TOLERANCE, EXCESS_REQUESTS = 4.0, 1.5, 5
"""Requests that a target may receive in a window: this multiple of its limit, and some more."""


class LateArrival(NamedTuple):
    """A request that a target should not have received, with the reason."""

    request: Request
    at: float
    text: str


class _Spell(NamedTuple):
    """A time in which a target names limits without interruption; `first_at` is its first response
    with one.
    """

    begin: float
    end: float
    first_at: float


def requests_beyond_limits(history: History) -> Iterator[LateArrival]:
    """Yield the first request of each window in which a target received too many requests.

    Only requests of nodes that had passed on a response with the limit count. A node that was
    restarted since is another process, which was told nothing.
    """
    for instance in _instances(history):
        for spell in _spells(history, instance):
            yield from _beyond_limits(history, instance, spell)


def requests_to_leaving_targets(history: History) -> Iterator[LateArrival]:
    """Yield the requests that a node accepted after it was told that their target leaves."""
    for instance in _instances(history):
        told_at = _told_at(history, instance, -inf, leaving=True)
        for request, arrival in _arrivals(history, instance):
            since = told_at.get(request.process, inf) + DRAIN_S
            if request.sent_at > since:
                yield LateArrival(request, arrival.at, f"{instance.name} said that it leaves")


def _beyond_limits(history: History, instance: Instance, spell: _Spell) -> Iterator[LateArrival]:
    told_at = _told_at(history, instance, spell.begin, leaving=False)
    counted = sorted(
        (
            (arrival.at, request)
            for request, arrival in _arrivals(history, instance)
            if spell.first_at + CONTACT_S <= arrival.at < spell.end
            and told_at.get(request.process, inf) + TOLD_S <= arrival.at
        ),
        key=lambda one: one[0],
    )
    for begin, request in counted:
        count = sum(begin <= at < begin + WINDOW_S for at, _ in counted)
        limit_per_s = _highest_limit(instance, begin, begin + WINDOW_S)
        allowed = TOLERANCE * WINDOW_S * limit_per_s + EXCESS_REQUESTS
        if count > allowed:
            text = f"{instance.name}: {count} in {WINDOW_S} s, {allowed:g} are allowed"
            yield LateArrival(request, begin, text)


def _instances(history: History) -> list[Instance]:
    return list({id(instance): instance for instance in history.instances}.values())


def _arrivals(history: History, instance: Instance) -> list[tuple[Request, Arrival]]:
    return [
        (request, arrival)
        for request in history.requests.values()
        for arrival in request.arrivals
        if arrival.instance is instance
    ]


def _told_at(
    history: History, instance: Instance, since: float, *, leaving: bool
) -> dict[NodeProcess, float]:
    """Return when each node first passed on a response with the statement."""
    told: dict[NodeProcess, float] = {}
    for request in history.requests.values():
        states_it = request.told_leaving if leaving else request.told_limit
        if states_it and request.answered_by == instance.name and request.ended_at >= since:
            told[request.process] = min(told.get(request.process, inf), request.ended_at)
    return told


def _spells(history: History, instance: Instance) -> Iterator[_Spell]:
    """Yield the times in which a target names limits without interruption."""
    begin = inf
    for at, limit_per_s in [*instance.limits, (inf, inf)]:
        if limit_per_s < inf:
            begin = min(begin, at)
        elif begin < inf:
            named = [
                arrival.finished_at
                for _, arrival in _arrivals(history, instance)
                if arrival.named_limit and begin <= arrival.finished_at <= at
            ]
            yield _Spell(begin, at, min(named, default=inf))
            begin = inf


def lowest_limit(instance: Instance, begin: float, end: float) -> float:
    """Return the lowest limit that a target named at any time of an interval, inf for none."""
    return min(_limits(instance, begin, end), default=inf)


def _limits(instance: Instance, begin: float, end: float) -> list[float]:
    """Return the limits that a target named at any time of an interval."""
    limits = [limit_per_s for at, limit_per_s in instance.limits if at <= end]
    earlier = [number for number, (at, _) in enumerate(instance.limits) if at <= begin]
    return limits[earlier[-1] if earlier else 0 :]


def _highest_limit(instance: Instance, begin: float, end: float) -> float:
    """Return the highest limit that a target named at any time of an interval."""
    return max(_limits(instance, begin, end))
