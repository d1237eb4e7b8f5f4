"""Conversions between settings, platform lists, source entries, members and peer nodes."""

from collections.abc import Iterable

from roadpass.manifest import VmEntry
from roadpass.member import UNKNOWN_INCARNATION, Member, MemberState
from roadpass.settings import Settings
from roadpass.source import TargetEntry
from roadpass.view import PeerNode


def own_member(settings: Settings, incarnation: int) -> Member:
    """Return this node's own member record."""
    return Member(
        settings.vm,
        incarnation,
        MemberState.ALIVE,
        settings.advertise,
        settings.ports.stream,
        settings.ports.gossip,
        settings.hall,
        settings.region,
    )


def listed_members(entries: Iterable[VmEntry]) -> tuple[Member, ...]:
    """Return member records of the nodes that the platform lists."""
    return tuple(
        Member(
            entry.vm,
            UNKNOWN_INCARNATION,
            MemberState.ALIVE,
            entry.address,
            entry.stream_port,
            entry.gossip_port,
            entry.hall,
            entry.region,
        )
        for entry in entries
    )


def members_from_targets(settings: Settings, entries: Iterable[TargetEntry]) -> tuple[Member, ...]:
    """Return member records of the nodes on the VMs of a store's targets, except this node.

    In a store, a target's IP address is that of its VM. All nodes of a fleet use the same ports.
    """
    ports = settings.ports
    halls = {entry.vm: entry.hall for entry in entries if entry.vm != settings.vm}
    return tuple(
        Member(
            vm,
            UNKNOWN_INCARNATION,
            MemberState.ALIVE,
            vm,
            ports.stream,
            ports.gossip,
            hall,
            settings.region,
        )
        for vm, hall in halls.items()
    )


def node_of(member: Member) -> PeerNode:
    """Return the ingress's view of a member."""
    return PeerNode(
        member.vm,
        member.address,
        member.stream_port,
        member.hall,
        member.region,
        alive=member.state is not MemberState.DEAD,
        leaving=member.state is MemberState.LEAVING,
    )
