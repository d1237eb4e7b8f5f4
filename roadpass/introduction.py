"""Nodes as gossip and ingress know them: the own one, those a source tells of, and members."""

from collections.abc import Iterable

from roadpass.manifest import VmEntry
from roadpass.member import UNHEARD, Member, MemberState
from roadpass.settings import Settings
from roadpass.source import TargetEntry
from roadpass.view import PeerNode


def own_member(settings: Settings, incarnation: int) -> Member:
    """Return the node that has these settings."""
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
    """Return the nodes that the platform lists."""
    return tuple(
        Member(
            entry.vm,
            UNHEARD,
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
    """Return the nodes beside the targets that a store names, but the own one.

    A target's IP number is its VM's there, and all nodes of the fleet use the same ports.
    """
    ports = settings.ports
    halls = {entry.vm: entry.hall for entry in entries if entry.vm != settings.vm}
    return tuple(
        Member(
            vm,
            UNHEARD,
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
    """Return a member as the ingress knows it."""
    return PeerNode(
        member.vm,
        member.address,
        member.stream_port,
        member.hall,
        member.region,
        alive=member.state is not MemberState.DEAD,
        leaving=member.state is MemberState.LEAVING,
    )
