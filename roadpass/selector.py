"""Selectors: which labelled capacity may serve which traffic, and when."""

from collections.abc import Iterable, Sequence
from datetime import datetime
from functools import lru_cache
from typing import Any, NamedTuple
from zoneinfo import ZoneInfo

from roadpass.label import Labels, Match, match_from_config, matches

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")


class Window(NamedTuple):
    """Days of the week and minutes of the day in an IANA time zone; it may run past midnight."""

    days: frozenset[int]
    start: int
    end: int
    zone: str

    @classmethod
    def from_config(cls, value: Any) -> "Window":
        """Build a window from its validated configuration."""
        days = value.get("days", DAYS)
        return cls(
            days=frozenset(DAYS.index(day) for day in days),
            start=_minutes(value["from"]),
            end=_minutes(value["to"]),
            zone=value["zone"],
        )

    def contains(self, instant: datetime) -> bool:
        """Return whether an instant (with time zone) lies in the window; its end is excluded."""
        local = instant.astimezone(_zone(self.zone))
        minute = local.hour * 60 + local.minute
        today = local.weekday()
        if self.start < self.end:
            return today in self.days and self.start <= minute < self.end
        if minute >= self.start:
            return today in self.days
        return minute < self.end and (today - 1) % 7 in self.days


class Selector(NamedTuple):
    """One rule; rules are evaluated in the order of the document."""

    name: str
    service: str | None
    routes: Match
    targets: Match
    windows: tuple[Window, ...]
    spill: bool

    @classmethod
    def from_config(cls, value: Any) -> "Selector":
        """Build a selector from its validated configuration."""
        return cls(
            name=value["name"],
            service=value.get("service"),
            routes=match_from_config(value.get("routes", {})),
            targets=match_from_config(value["targets"]),
            windows=tuple(Window.from_config(window) for window in value.get("when", ())),
            spill=value.get("spill", False),
        )

    def applies(self, service: str, labels: Labels) -> bool:
        """Return whether the selector applies to a route, regardless of its time windows."""
        return self.service in (None, service) and matches(self.routes, labels)

    def active(self, instant: datetime) -> bool:
        """Return whether an instant (with time zone) lies in one of its windows, or it has none."""
        return not self.windows or any(window.contains(instant) for window in self.windows)


class Labelled(NamedTuple):
    """The name and labels of a target."""

    name: str
    labels: Labels


def select(
    selectors: Sequence[Selector],
    service: str,
    route_labels: Labels,
    targets: Iterable[Labelled],
    instant: datetime,
) -> tuple[tuple[str, ...], ...]:
    """Choose the groups of targets that may serve a route, in the order they are to be used.

    If no selector applies to the route, all targets may serve it. Otherwise the first active
    selector that matches a target provides the first group. If it has `spill` set, the next such
    selector adds a group to fall back on.

    Args:
        selectors: In the order of the document.
        service: The route's service.
        route_labels: The route's labels.
        targets: The service's targets.
        instant: When, with a time zone.

    Returns:
        Groups of target names; empty if no capacity is selected.
    """
    candidates = list(targets)
    matching = [rule for rule in selectors if rule.applies(service, route_labels)]
    if not matching:
        all_names = tuple(target.name for target in candidates)
        return (all_names,) if all_names else ()
    groups: list[tuple[str, ...]] = []
    seen: set[str] = set()
    for rule in matching:
        if not rule.active(instant):
            continue
        group = tuple(
            target.name
            for target in candidates
            if target.name not in seen and matches(rule.targets, target.labels)
        )
        if not group:
            continue
        groups.append(group)
        seen.update(group)
        if not rule.spill:
            break
    return tuple(groups)


def known_zone(name: str) -> bool:
    """Return whether a name is an IANA time zone."""
    try:
        _zone(name)
    except (KeyError, ValueError, OSError):
        return False
    return True


@lru_cache(maxsize=256)
def _zone(name: str) -> ZoneInfo:
    return ZoneInfo(name)


def _minutes(text: str) -> int:
    hours, minutes = text.split(":")
    return int(hours) * 60 + int(minutes)
