"""What a node reads of the fleet from outside: typed values, and the interface of a source.

A source is read by `snapshot` once and then by `watch`, which brings what has changed since a
position in its history. Where these values come from, and how they are written there, only the
source knows.
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol, TypeAlias

from roadpass.caller_limits import CallerLimits
from roadpass.customer import Customers
from roadpass.errors import PlatformError
from roadpass.position import Position
from roadpass.route import Route


class PublishedService(NamedTuple):
    """A service as it is published.

    Args:
        max_connections: Most connections that one of its targets takes from all callers together.
    """

    name: str
    max_connections: int


class PublishedConfig(NamedTuple):
    """One version of the configuration, in whole.

    Args:
        version: Rises with every version.
        routes: Their `traffic_class` is a priority as text, the most important first when sorted.
        limits: What callers may send.
        customers: Whose keys callers show; without any, nobody needs one.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, PublishedService]
    limits: CallerLimits
    customers: Customers = Customers()


class TargetEntry(NamedTuple):
    """A target as it says of itself.

    Args:
        instance: Its id, by which requests name the target that is meant.
        address: `ip:port`.
        hall: Its data hall.
        slots: Requests it works on at a time.
        leaving: Whether it takes no new work.
        born: Unix millisecond of its start, which tells apart its starts under one id; 0 where it
            tells none, which is neither earlier nor later than any.
    """

    instance: str
    service: str
    address: str
    hall: str
    slots: int
    leaving: bool
    born: int = 0

    @property
    def name(self) -> str:
        """The name of this incarnation, under which all is held that is known of it.

        A start under an id that was seen before has another name, so belief, door, limit, load,
        counts and connections begin anew, and attempts meant for the earlier one are refused.
        """
        return f"{self.instance}@{self.born}" if self.born else self.instance

    @property
    def vm(self) -> str:
        """The VM it lives on, which is named by its IP number."""
        return self.address.rpartition(":")[0]


class ConfigPublished(NamedTuple):
    """A configuration is in the source."""

    config: PublishedConfig


class TargetPublished(NamedTuple):
    """A target's entry is new or has changed."""

    entry: TargetEntry


class TargetWithdrawn(NamedTuple):
    """A target's entry is gone."""

    instance: str


class InvalidItem(NamedTuple):
    """An item that makes no sense.

    Args:
        key: Of the item.
        why: What is wrong with it.
        instance: The target of which it would be the entry, empty if of none. It names no target
            to use any more: an entry that somebody else wrote over tells nothing of its target.
    """

    key: str
    why: str
    instance: str = ""


Change: TypeAlias = ConfigPublished | TargetPublished | TargetWithdrawn | InvalidItem


class Changes(NamedTuple):
    """What happened up to a position in the source's history.

    Args:
        position: Where to go on from.
        changes: In the order in which they happened.
        full: Whether this is all there is, so that whatever it does not name is gone.
    """

    position: Position
    changes: tuple[Change, ...]
    full: bool = False


class HistoryLostError(PlatformError):
    """The source cannot tell what happened since a position: it forgot, or was restored since."""


class Source(Protocol):
    """Where a node reads the fleet."""

    def stale_snapshot(self) -> Changes:
        """Return what there was a while ago, at a small price; good only for finding peers.

        Raises:
            PlatformError: The source cannot be read.
        """

    def snapshot(self) -> Changes:
        """Return all that there is now.

        Raises:
            PlatformError: The source cannot be read.
        """

    def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for what happens after a position.

        Args:
            after: The position; what is returned is of the same era.
            wait_s: Seconds after which to return although nothing happened.

        Raises:
            HistoryLostError: Only a snapshot can tell now.
            PlatformError: The source cannot be read.
        """
