"""Rows about shares between nodes: who sends what to whom, and in which datagrams."""

import socket
from typing import Any

import pytest

from roadpass import clock
from roadpass.access import Access
from roadpass.customer import Customer, Customers
from roadpass.dispatch import Dispatcher
from roadpass.fair_share import Demand, Share, ShareKey
from roadpass.fleet import Fleet
from roadpass.gossip import MAX_DATAGRAM
from roadpass.gossip_messages import Begin, Seed
from roadpass.member import Member, MemberState
from roadpass.message import check_gossip
from roadpass.metric import Metrics
from roadpass.notice_table import NoticeTable
from roadpass.outcome import Answered
from roadpass.packing import pack, unpack
from roadpass.parent_requests import Parent
from roadpass.quarantine import Quarantine
from roadpass.quota_coordinator import QuotaCoordinator, QuotaMessage, Quotas
from roadpass.standing import ABOVE_SHARE, CALL, FRESH
from roadpass.target_notice import TargetNotice
from roadpass.view import PeerNode, View
from tests.fake_sidecar import FakeSidecar, dispatcher, fleet, request
from tests.test_gossip import datagram, start

CUSTOMERS = Customers.from_keys([(Customer(name), (f"{name}-key-0123456789",)) for name in "abc"])
KEY = ShareKey("s", "default")
WAITED_S = 0.06
"""Longer than requests must have waited before anything is reported."""
LIMIT_S = 5.0


def with_shares(value: Fleet, *, on: bool = True) -> Fleet:
    """Return a fleet with customers, and shares if `on`."""
    sharing = value.sharing._replace(fair_shares=on)
    return Fleet(
        value.services,
        value.targets,
        {name: route._replace(public=True) for name, route in value.routes.items()},
        (),
        revision=1,
        customers=CUSTOMERS,
        sharing=sharing,
    )


class Pair:
    """Two nodes whose messages are carried at once, as datagrams that are packed and checked."""

    def __init__(self, *, on: bool = True) -> None:
        self.sent: list[tuple[str, dict[str, Any]]] = []
        self.quotas = {vm: Quotas() for vm in ("vm-1", "vm-2")}
        self.nodes: dict[str, QuotaCoordinator] = {}
        for vm, other in (("vm-1", "vm-2"), ("vm-2", "vm-1")):
            view = View(vm, "hall", "region")
            view.fleet = with_shares(fleet(), on=on)
            view.nodes[other] = PeerNode(other, "127.0.0.1", 1, "hall", "region", alive=True)
            self.nodes[vm] = QuotaCoordinator(self.quotas[vm], view, self._carrier(vm))

    def _carrier(self, vm: str) -> Any:
        def carry(message: QuotaMessage) -> None:
            fields = {name: list(map(list, rows)) for name, rows in message.fields.items()}
            self.sent.append((vm, fields))
            whole = {**unpack(datagram(vm)), **fields}
            read = QuotaMessage.from_datagram(check_gossip(unpack(pack(whole))))
            self.nodes[message.vm].handle(read)

        return carry

    def tick(self) -> None:
        """Have both nodes send what is due."""
        for node in self.nodes.values():
            node._on_tick()


def test_owner_hears_of_demand_and_answers_with_shares() -> None:
    """An ingress by itself knows nothing of a hot customer's requests at others."""
    pair = Pair()
    entered = clock.now() - WAITED_S
    for quotas in pair.quotas.values():
        for _ in range(8):
            quotas.shares.enter(entered, KEY, "a", call=False)
        quotas.shares.enter(entered, KEY, "b", call=False)
    pair.tick()
    assert [sorted(fields) for _, fields in pair.sent] == [["demand"], ["shares"]]
    (rows,), (shares,) = (list(fields.values()) for _, fields in pair.sent)
    assert rows == [["s", "default", "a", 0, 8], ["s", "default", "b", 0, 1]]
    assert [share[2] for share in shares] == ["a", "b"]
    for quotas in pair.quotas.values():
        assert quotas.shares.enter(clock.now(), KEY, "a", call=False).standing == ABOVE_SHARE


def test_nothing_is_sent_or_answered_while_switched_off() -> None:
    """Deployments that do not call for the part must send the bytes that they sent before."""
    pair = Pair(on=False)
    entered = clock.now() - WAITED_S
    pair.quotas["vm-1"].shares.enter(entered, KEY, "a", call=False)
    pair.tick()
    pair.nodes["vm-1"].handle(QuotaMessage("vm-2", demands=(Demand(*KEY, "a", 1, 1),)))
    assert pair.sent == []


def test_long_names_stay_within_a_datagram() -> None:
    """A larger datagram is split on its way and lost with any of its parts."""
    quarantine, notices = Quarantine(), NoticeTable()
    names = [f"target-{number}-{'n' * 40}" for number in range(16)]
    notices.configure(clock.now(), set(names))
    for name in names:
        notices.hear(clock.now(), name, TargetNotice(2.0), clock.now())
        quarantine.record_crash(clock.now(), name, f"{name}/1")
    ref = start(Metrics(), [], quarantine=quarantine, notices=notices, address="127.0.41.6")
    ref.tell(Begin())
    ref.proxy().agreeing_peers.get()  # returns once the socket is bound and read
    peer = Member("vm-9", 1, MemberState.ALIVE, "127.0.41.12", 8081, 8082, "hall", "region")
    long = ("s" * 200, "c" * 200, "n" * 200)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((peer.address, peer.gossip_port))
        sock.settimeout(LIMIT_S)
        ref.tell(Seed((peer,), frozenset()))
        for message in (
            QuotaMessage("vm-9", demands=(Demand(*long, 3, 4),)),
            QuotaMessage("vm-9", shares=(Share(*long, 1.5),)),
        ):
            (field,) = message.fields
            ref.tell(message)
            received = next(one for _ in range(50) if field in unpack(one := sock.recv(4096)))
            assert len(received) <= MAX_DATAGRAM
            assert QuotaMessage.from_datagram(unpack(received)).fields == message.fields
    ref.stop()


def stage(*, on: bool = True) -> tuple[Dispatcher, FakeSidecar]:
    """Return a dispatcher at which customer "a" waits with eight requests."""
    sidecar = FakeSidecar([Answered(200, [], b"")] * 9)
    one = dispatcher(sidecar)
    one._view.fleet = with_shares(one._view.fleet, on=on)
    entered = clock.now() - WAITED_S
    for _ in range(8):
        one._quotas.shares.enter(entered, KEY, "a", call=False)
    one._quotas.shares.enter(entered, KEY, "b", call=False)
    one._quotas.shares.due(clock.now(), ["vm-9"])
    return one, sidecar


@pytest.mark.parametrize(
    ("on", "customer", "standing"),
    [(True, "a", ABOVE_SHARE), (True, "c", FRESH), (False, "a", FRESH)],
)
def test_attempt_of_a_customer_above_its_share(on: bool, customer: str, standing: int) -> None:
    """Without the mark the sidecar would queue it before the others."""
    one, sidecar = stage(on=on)
    one.dispatch(request("GET", access=Access(Customer(customer))))
    (sent,) = sidecar.attempts
    assert sent.standing == standing
    assert ("standing" in sent.to_message()) is (standing != FRESH)


def test_call_is_counted_in_the_share_of_its_parents_customer() -> None:
    """A customer could get more slots than its share by requests that make calls."""
    one, sidecar = stage()
    parent = Parent("p", "read", "default", "b", repeat=False)
    one.dispatch(request("GET", access=Access(), parent=parent))
    assert sidecar.attempts[0].standing == CALL
    assert request(access=Access(Customer("a")), parent=parent).shared_by == "b"


def test_finished_requests_leave_nothing_behind() -> None:
    """A request that is counted forever takes its customer's share from the next ones."""
    one, _ = stage()
    before = one._quotas.shares._gate.size
    for _ in range(5):
        one.dispatch(request("GET", access=Access(Customer("c"))))
    ((_, rows),) = one._quotas.shares.due(clock.now() + 1.0, ["vm-9"]).items()
    assert {row.customer: row.total for row in rows}.get("c", 0) == 0
    assert one._quotas.shares._gate.size == before + 1
