"""What the gossip actor is told, and what it calls when something changes."""

from collections.abc import Callable
from typing import NamedTuple

from roadpass.detect import Scores
from roadpass.member import Member
from roadpass.news import PeerPosition
from roadpass.position import Position
from roadpass.quota_keeper import QuotaTalk
from roadpass.revision import Version
from roadpass.view import PeerNode


class Begin(NamedTuple):
    """All parts of the node are there: datagrams may come."""


class Tick(NamedTuple):
    """Time passes."""


class Arrival(NamedTuple):
    """A datagram came in."""

    content: bytes
    source: tuple[str, int]


class Seed(NamedTuple):
    """The platform's VM list came in.

    Args:
        members: On the list.
        leaving: VMs that leave.
        spread: Whether others are to hear of them; not where all read the same list.
    """

    members: tuple[Member, ...]
    leaving: frozenset[str]
    spread: bool = True


class InForce(NamedTuple):
    """A version is in force here; peers are to hear of it at once."""

    version: Version


class PlatformSeen(NamedTuple):
    """The platform answered this node just now."""


class Confirmed(NamedTuple):
    """The source had nothing newer than a position.

    Args:
        position: In the history of the source; this node holds all up to it.
        at: Clock seconds of that moment.
        tell: Whether the data hall is to hear of it now, since this node read it itself.
    """

    position: Position
    at: float
    tell: bool


class Leave(NamedTuple):
    """This node is leaving."""


class CrashUpdate(NamedTuple):
    """Something new is known of requests under which targets ended; peers are to hear of it."""


class PublishHint(NamedTuple):
    """A sidecar's word on one of its targets."""

    target: str
    scores: Scores


class Events(NamedTuple):
    """What the gossip actor calls when something changes; none of them may block.

    Args:
        on_node: A node changed.
        on_version: A peer has a version that differs from the own one; with its stream address.
        on_hint: A word on a target came in.
        on_leave: This node was told that it is leaving.
        on_peer_position: A peer told up to where it holds the source, if this node follows one.
        on_quota: A peer has told of customers' quotas.
    """

    on_node: Callable[[PeerNode], None]
    on_version: Callable[[Version, tuple[str, int]], None]
    on_hint: Callable[[str, Scores], None]
    on_leave: Callable[[], None]
    on_peer_position: Callable[[PeerPosition], None] | None = None
    on_quota: Callable[[QuotaTalk], None] = lambda talk: None
