"""Which nodes get the reports of free capacity, and that nothing is sent without the switches."""

import random
from types import SimpleNamespace

import pytest

from roadpass import capacity_exchange, clock
from roadpass.caller_limits import CallerLimits
from roadpass.capacity_exchange import CapacityExchange
from roadpass.capacity_messages import MAX_ROWS, CapacityMessage, batches
from roadpass.catalogue import Policy, build_fleet
from roadpass.datagram import seal, unseal
from roadpass.gossip import MAX_DATAGRAM
from roadpass.message import AdmissionCheck
from roadpass.metric import Metrics
from roadpass.pause import PauseWatch
from roadpass.return_schedule import ReturnSchedule
from roadpass.revision import NO_VERSION
from roadpass.route import Route
from roadpass.sharing import OFF, Sharing
from roadpass.sidecar import Sidecar
from roadpass.source import PublishedConfig, PublishedService, TargetEntry
from roadpass.view import PeerNode, View
from roadpass.waiting_requests import WaitingRequests

OWN, NEAR, FAR = "10.0.0.1", "10.0.0.2", "10.9.0.1"
HALLS = {OWN: "a", NEAR: "a", FAR: "b"}


class Stage:
    """The exchange of one node with a target, whose time is set by the test."""

    def __init__(self, sharing: Sharing, *, is_relay: bool = False) -> None:
        self.now = clock.now()
        self.sent: list[CapacityMessage] = []
        route = Route("r", "h", "/", frozenset(), "s", None, True, {}, 9000)
        config = PublishedConfig(1, (route,), {"s": PublishedService("s", 100)}, CallerLimits())
        entries = [
            TargetEntry(f"t-{vm}", "s", f"{vm}:80", hall, 2, leaving=False)
            for vm, hall in HALLS.items()
        ]
        self.view = View(OWN, "a", "region")
        self.view.fleet = build_fleet(config, entries, Policy(sharing=sharing))
        self.view.nodes = {
            vm: PeerNode(vm, vm, 7000, hall, "region") for vm, hall in HALLS.items() if vm != OWN
        }
        sidecar = Sidecar(
            OWN,
            1,
            PauseWatch(),
            pull=lambda message: message,
            behind=lambda vm, revision: None,
        )
        sidecar.configure(self.view.fleet)
        self.exchange = CapacityExchange(
            self.view,
            sidecar,
            WaitingRequests(self.view, ReturnSchedule()),
            self.sent.append,
            is_relay=lambda: is_relay,
            metrics=Metrics(),
            rng=random.Random(1),
        )

    def receivers(self, target: str) -> set[str]:
        """Return the nodes to which rows on a target were sent."""
        return {
            vm
            for message in self.sent
            for vm in message.vms
            if any(row[0] == target for row in message.fields["room"])
        }


@pytest.fixture(autouse=True)
def _time(monkeypatch: pytest.MonkeyPatch) -> None:
    began = clock.now()
    monkeypatch.setattr(capacity_exchange, "clock", SimpleNamespace(now=lambda: began))


def test_reports_go_to_the_own_data_hall_and_by_its_relay_to_the_others() -> None:
    """Sent to all nodes by each target, they would be most of the bytes between data halls."""
    stage = Stage(Sharing(room=True))
    stage.exchange.tick()
    assert stage.receivers(f"t-{OWN}") == {NEAR}
    relay = Stage(Sharing(room=True), is_relay=True)
    relay.exchange.tick()
    assert relay.receivers(f"t-{OWN}") == {NEAR, FAR}


def test_relayed_reports_are_passed_on_within_the_data_hall_only() -> None:
    """Rows from the own data hall that were passed on again would go round for ever."""
    stage = Stage(Sharing(room=True))
    row = [f"t-{FAR}", 1, 0, 700.0, 0.0, 5.0]
    stage.exchange.receive(FAR, {"room": [row]})
    assert stage.receivers(f"t-{FAR}") == {NEAR}
    stage.sent.clear()
    stage.exchange.receive(NEAR, {"room": [row]})
    assert stage.sent == []
    known = stage.view.room.get(stage.now, f"t-{FAR}")
    assert known is not None
    assert known.free == 1


def test_nothing_is_sent_or_learnt_without_the_switches() -> None:
    """A fleet that does not call for the parts must not change in any byte or decision."""
    stage = Stage(OFF, is_relay=True)
    stage.exchange.tick()
    stage.exchange.receive(NEAR, {"room": [[f"t-{FAR}", 1, 0, 700.0, 0.0, 5.0]]})
    stage.exchange.receive(NEAR, {"waiting": [["s", 1, 0, 1, 500.0]]})
    assert stage.sent == []
    assert stage.view.room.get(stage.now, f"t-{FAR}") is None
    check = AdmissionCheck(f"t-{OWN}", "", True, False, False).to_message()
    assert not {"slot", "wait"} & check.keys()


def test_rows_fit_into_datagrams() -> None:
    """A datagram that is too long is lost on its way."""
    rows = [[f"target-{number:032x}", 4, 12, 1700, 0.123, 250] for number in range(200)]
    sizes = []
    for batch in batches(rows):
        message = CapacityMessage((NEAR,), {"room": batch})
        content = seal(message.datagram(OWN, NO_VERSION), [b"k" * 16])
        assert len(unseal(content, [b"k" * 16])["room"]) == len(batch) <= MAX_ROWS
        sizes.append(len(content))
    assert sum(len(batch) for batch in batches(rows)) == len(rows)
    assert max(sizes) <= MAX_DATAGRAM
