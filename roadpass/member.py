"""Member records as nodes gossip them, and requests to send datagrams."""

from enum import IntEnum
from typing import Any, NamedTuple

UNKNOWN_INCARNATION = 0
"""Incarnation of a node that has not been heard from; the one it announces is always higher."""


class MemberState(IntEnum):
    """States of a member; within one incarnation a higher state overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Member(NamedTuple):
    """The record of a node; also the serialized form of a rumor."""

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
        """Build a member from a rumor row that passed the schema check."""
        return cls(row[0], row[1], MemberState(row[2]), *row[3:])


class Send(NamedTuple):
    """A datagram to send.

    Args:
        to: IP address and port.
        type: Type of the datagram.
        number: Number of the probe that it belongs to, 0 for none.
        on: VM that is probed or acknowledged, empty for none.
        rows: Members to send instead of the latest rumors, empty to send those.
    """

    to: tuple[str, int]
    type: str
    number: int
    on: str = ""
    rows: tuple[Member, ...] = ()


def overrides(new: Member, old: Member) -> bool:
    """Return whether a rumor replaces a record: newer incarnation, or same one and higher state."""
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.state > old.state
