"""Member records built from settings, platform lists and store targets."""

from roadpass.manifest import VmEntry
from roadpass.member import Member, MemberState
from roadpass.member_records import listed_members, members_from_targets, own_member
from roadpass.settings import Ports, Settings
from roadpass.source import TargetEntry

ALIVE = MemberState.ALIVE
PORTS = Ports(callers=8080, stream=8081, gossip=8082, admin=8083)
SETTINGS = Settings("10.0.0.1", "hall-1", "region", "0.0.0.0", "10.0.0.1", PORTS, "")


def entry(instance: str, ip: str, hall: str) -> TargetEntry:
    """Return a target entry with the given instance, IP address and data hall."""
    return TargetEntry(instance, "a", f"{ip}:80", hall, 4, False)


def test_own_member_record() -> None:
    """Its address is the advertised one."""
    settings = SETTINGS._replace(vm="vm-1", advertise="10.9.9.9")
    own = Member("vm-1", 7, ALIVE, "10.9.9.9", 8081, 8082, "hall-1", "region")
    assert own_member(settings, 7) == own


def test_members_listed_by_the_platform() -> None:
    """All listed nodes are returned, including those that are leaving."""
    entries = [VmEntry(f"vm-{n}", f"10.0.0.{n}", 81, 82, "hall", "far", n == 2) for n in (1, 2)]
    assert listed_members(entries) == (
        Member("vm-1", 0, ALIVE, "10.0.0.1", 81, 82, "hall", "far"),
        Member("vm-2", 0, ALIVE, "10.0.0.2", 81, 82, "hall", "far"),
    )


def test_members_from_store_targets() -> None:
    """One for each IP address except this node's; ports and region are those of this node."""
    entries = [
        entry("t1", "10.0.0.1", "hall-1"),
        entry("t2", "10.0.0.2", "hall-2"),
        entry("t3", "10.0.0.2", "hall-2"),
    ]
    assert members_from_targets(SETTINGS, entries) == (
        Member("10.0.0.2", 0, ALIVE, "10.0.0.2", 8081, 8082, "hall-2", "region"),
    )
