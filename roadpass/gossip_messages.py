"""Messages that the gossip actor handles, and the callbacks it invokes on changes."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from roadpass.failure_detector import Scores
from roadpass.member import Member
from roadpass.position import Position
from roadpass.quota_coordinator import QuotaMessage
from roadpass.repeat_loans import LoanMessage
from roadpass.revision import Version
from roadpass.source_update import PeerPosition
from roadpass.view import PeerNode


class Begin(NamedTuple):
    """All components of the node have started; the actor may read datagrams now."""


class Tick(NamedTuple):
    """Sent by the ticker every `TICK_S` seconds."""


class DatagramReceived(NamedTuple):
    """A datagram was received; its content is not checked yet."""

    content: bytes
    source: tuple[str, int]


class Seed(NamedTuple):
    """Members listed by the platform, or derived from the targets of a source.

    Args:
        members: Listed members.
        leaving: VMs that are leaving.
        spread: Whether to gossip about them; `False` where all nodes read the same list.
    """

    members: tuple[Member, ...]
    leaving: frozenset[str]
    spread: bool = True


class InForce(NamedTuple):
    """A configuration version took effect on this node and is announced to peers at once."""

    version: Version


class PlatformSeen(NamedTuple):
    """The platform has just answered this node."""


class Confirmed(NamedTuple):
    """The source had nothing newer than a position.

    Args:
        position: Position in the history of the source; this node holds everything up to it.
        at: Clock seconds at which that was confirmed.
        tell: Whether to notify the data hall now, because this node read the source itself.
    """

    position: Position
    at: float
    tell: bool


class Leave(NamedTuple):
    """This node is leaving; peers are notified at once."""


class CrashUpdate(NamedTuple):
    """There are new crash records of requests; peers are notified at once."""


class NoticeUpdate(NamedTuple):
    """A target named or ended a limit, or said that it leaves; peers are notified at once."""


class PublishHint(NamedTuple):
    """Scores of one of this VM's targets from its sidecar, to be sent to peers as a hint."""

    target: str
    scores: Scores


class Events(NamedTuple):
    """Callbacks of the gossip actor; they run in its thread and must not block.

    Args:
        on_node: The record of a node changed.
        on_version: A peer holds a newer version than this node; with its stream address.
        on_hint: A hint on a target was received from another sidecar.
        on_leave: This node has entered the leaving state.
        on_peer_position: A peer reported its position in the source; `None` if this node follows no
            source.
        on_quota: A peer sent quota reports or allowances.
        on_capacity: A peer sent rows on the capacity of targets; with its VM and the rows by field.
        on_loans: A peer announced, requested or granted repeats.
    """

    on_node: Callable[[PeerNode], None]
    on_version: Callable[[Version, tuple[str, int]], None]
    on_hint: Callable[[str, Scores], None]
    on_leave: Callable[[], None]
    on_peer_position: Callable[[PeerPosition], None] | None = None
    on_quota: Callable[[QuotaMessage], None] = lambda message: None
    on_capacity: Callable[[str, Mapping[str, Sequence[Any]]], None] = lambda sender, fields: None
    on_loans: Callable[[LoanMessage], None] = lambda message: None
