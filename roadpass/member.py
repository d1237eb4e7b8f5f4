"""Members of the fleet as nodes tell each other of them, and the datagrams that do."""

from enum import IntEnum
from typing import Any, NamedTuple

UNHEARD = 0
"""Incarnation of a node that was not heard yet; its own is always newer."""


class MemberState(IntEnum):
    """States in the order in which they override each other within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """What is known of a node; also the written form of a rumor."""

    vm: str
    incarnation: int
    state: MemberState
    address: str
    stream_port: int
    gossip_port: int
    hall: str
    region: str

    @classmethod
    def from_rumor(cls, row: Any) -> "Member":
        """Build a member from a checked rumor."""
        return cls(row[0], row[1], MemberState(row[2]), *row[3:])


class Send(NamedTuple):
    """A datagram to send.

    Args:
        to: IP and port.
        type: Of the datagram.
        number: Of the probe.
        on: VM that it is about, empty for none.
        rows: Members to tell in place of the latest rumors, none for those.
    """

    to: tuple[str, int]
    type: str
    number: int
    on: str = ""
    rows: tuple[Member, ...] = ()


def overrides(new: Member, old: Member) -> bool:
    """Tell whether a rumor replaces what is known: newer incarnation, or graver state."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.state > old.state
