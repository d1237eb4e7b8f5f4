"""The interface of a source of fleet data, and the typed values read from it.

A source is read by `snapshot` once and then by `watch`, which returns what has changed since a
position in its history. Where the values are stored, and in which format, is up to the source.
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol, TypeAlias

from roadpass.caller_limits import CallerLimits
from roadpass.customer import Customers
from roadpass.errors import PlatformError
from roadpass.position import Position
from roadpass.route import Route
from roadpass.sharing import Sharing, sharing_of_routes


class PublishedService(NamedTuple):
    """A service in the published configuration.

    Args:
        max_connections: Limit on the connections of one of its targets, over all callers.
    """

    name: str
    max_connections: int


class PublishedConfig(NamedTuple):
    """One complete version of the configuration.

    Args:
        version: Increases with every version.
        routes: Their `traffic_class` is a priority as text that sorts the most important first.
        limits: Limits on requests of callers.
        customers: Customers whose API keys callers present; if empty, no key is needed.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, PublishedService]
    limits: CallerLimits
    customers: Customers = Customers()

    @property
    def sharing(self) -> Sharing:
        """Ways of sharing capacity that its content calls for."""
        return sharing_of_routes(self.routes)


class TargetEntry(NamedTuple):
    """A target's own description of itself.

    Args:
        instance: Its id, by which requests name the target they are meant for.
        address: `ip:port`.
        hall: Its data hall.
        slots: Number of requests that it processes concurrently.
        leaving: Whether it accepts no new requests.
        born: Unix milliseconds of its start, which distinguish starts under one id; 0 if unknown,
            which is neither earlier nor later than any other.
        warm_up_ms: Milliseconds for which it is still cold as of the read, 0 if it is warm or that
            is unknown.
        warm_up_invalid: An invalid warm-up as it is logged, empty if there is none.
    """

    instance: str
    service: str
    address: str
    hall: str
    slots: int
    leaving: bool
    born: int = 0
    warm_up_ms: float = 0.0
    warm_up_invalid: str = ""

    @property
    def name(self) -> str:
        """The name of this start, under which all state about it is kept.

        Each start of an instance id has its own name, so health estimate, circuit breaker, limit,
        load, counters and connections begin anew, and attempts meant for an earlier start are
        refused.
        """
        return f"{self.instance}@{self.born}" if self.born else self.instance

    @property
    def vm(self) -> str:
        """The target's VM, which is identified by its IP address."""
        return self.address.rpartition(":")[0]


class ConfigPublished(NamedTuple):
    """The source has a configuration, new or not."""

    config: PublishedConfig


class TargetPublished(NamedTuple):
    """A target's entry was written; its content may be unchanged."""

    entry: TargetEntry


class TargetWithdrawn(NamedTuple):
    """A target's entry was deleted or has lapsed."""

    instance: str


class InvalidItem(NamedTuple):
    """An item that cannot be interpreted.

    Args:
        key: Of the item.
        why: What is wrong with it.
        instance: The target whose entry it would be, empty if none. That target is no longer used:
            an overwritten entry says nothing about it.
    """

    key: str
    why: str
    instance: str = ""


Change: TypeAlias = ConfigPublished | TargetPublished | TargetWithdrawn | InvalidItem


class Changes(NamedTuple):
    """The result of a read, up to a position in the source's history.

    Args:
        position: Where the next read continues.
        changes: In the order in which they happened.
        full: Whether this is a full snapshot, so that anything it does not contain is gone.
    """

    position: Position
    changes: tuple[Change, ...]
    full: bool = False


class HistoryLostError(PlatformError):
    """The history since a position is lost: it was discarded, or the source was restored since."""


class Source(Protocol):
    """A read-only source of fleet data; its calls may block."""

    def stale_snapshot(self) -> Changes:
        """Return a cheap snapshot that may be stale; use it only to find peers.

        Raises:
            PlatformError: The source cannot be read.
        """

    def snapshot(self) -> Changes:
        """Return a full snapshot of the current content.

        Raises:
            PlatformError: The source cannot be read.
        """

    def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for changes after a position.

        Args:
            after: The position; the result is of the same era.
            wait_s: Seconds after which to return even without changes.

        Raises:
            HistoryLostError: A new snapshot is needed.
            PlatformError: The source cannot be read.
        """
