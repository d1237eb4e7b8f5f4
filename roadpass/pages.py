"""The pages of the administration API."""

from collections.abc import Callable
from typing import Any, NamedTuple

from roadpass import __version__, clock
from roadpass.admin import TEXT, Handler, Page, Query
from roadpass.audit import AuditTrail
from roadpass.metric import Metrics
from roadpass.pause import PauseWatch
from roadpass.settings import Settings
from roadpass.view import View


class PageSources(NamedTuple):
    """The components of a node that its pages read.

    Args:
        settings: Settings of the node.
        incarnation: Incarnation of its process.
        started_at: Clock seconds at which it started.
        view: Its routing data.
        pause: Its pause watch.
        audit: Its audit trail.
        metrics: Its metrics.
        gossip: Proxy of its gossip actor.
        monitor: Reference of its health monitor actor.
        readers: Returns the VMs of its data hall that read the platform.
        in_flight: Returns the number of requests and attempts in flight.
    """

    settings: Settings
    incarnation: int
    started_at: float
    view: View
    pause: PauseWatch
    audit: AuditTrail
    metrics: Metrics
    gossip: Any
    monitor: Any
    readers: Callable[[], list[str]]
    in_flight: Callable[[], int]


class Pages:
    """Builds the pages; called by the threads of the administration server.

    Args:
        sources: Components that the pages read.
    """

    def __init__(self, sources: PageSources) -> None:
        self._sources = sources

    def handlers(self) -> dict[str, Handler]:
        """Return the page handlers by path."""
        return {
            "/status": self._status,
            "/targets": self._targets,
            "/members": self._members,
            "/audit": self._audit,
            "/metrics": self._metrics,
            "/metrics.json": lambda _: Page.from_value(self._sources.metrics.summary()),
            "/health": lambda _: Page.from_value({"healthy": True}),
            "/ready": self._ready,
        }

    def _status(self, _: Query) -> Page:
        sources = self._sources
        view, fleet = sources.view, sources.view.fleet
        return Page.from_value(
            {
                "vm": sources.settings.vm,
                "hall": sources.settings.hall,
                "version": __version__,
                "incarnation": sources.incarnation,
                "uptime_s": round(clock.now() - sources.started_at, 1),
                "ready": view.ready,
                "leaving": view.leaving,
                "revision": fleet.revision,
                "digest": fleet.digest,
                "readers": sources.readers(),
                "members": sum(1 for node in view.nodes.values() if node.alive) + 1,
                "in_flight": sources.in_flight(),
                "platform_age_s": round(sources.gossip.platform_age_s.get(), 1),
                "pauses": sources.pause.pauses,
            }
        )

    def _targets(self, _: Query) -> Page:
        statuses = self._sources.monitor.proxy().statuses().get()
        return Page.from_value([row._asdict() for row in statuses])

    def _members(self, _: Query) -> Page:
        return Page.from_value(
            [node._asdict() for node in self._sources.view.nodes.copy().values()]
        )

    def _audit(self, query: Query) -> Page:
        after = int(query.get("after", ["0"])[0])
        return Page.from_value([event._asdict() for event in self._sources.audit.since(after)])

    def _metrics(self, _: Query) -> Page:
        return Page(200, TEXT, self._sources.metrics.prometheus().encode())

    def _ready(self, _: Query) -> Page:
        """Return status 200 if the node accepts callers, else 503."""
        ready = self._sources.view.ready and not self._sources.view.leaving
        return Page.from_value({"ready": ready}, status=200 if ready else 503)
