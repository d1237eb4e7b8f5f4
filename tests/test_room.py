"""Free capacity of targets: the table of reports, when they are sent, and the choice by them."""

import random

from roadpass.room import IDLE_REPORT_TTL_S, REPORT_TTL_S, TRIPPED_RISK, RoomReport, RoomTable
from roadpass.room_choice import (
    RoomCosts,
    RoomOption,
    accepted_risk,
    choose,
    is_worth_waiting,
    least_cost,
)
from roadpass.room_publisher import BUSY_INTERVAL_S, IDLE_INTERVAL_S, RoomPublisher
from roadpass.room_relay import REFRESH_S, RoomRelay

COSTS = RoomCosts(failure=1.0, transfer=0.3, objective_ms=2000.0, may_be_trial=False)


def report(target: str = "a", free: int = 2, risk: float = 0.0, age_ms: float = 0.0) -> RoomReport:
    """Return a report."""
    return RoomReport(target, free, 0, 500.0, risk, age_ms)


def chosen(options: list[RoomOption], costs: RoomCosts = COSTS, draws: int = 200) -> set[str]:
    """Return the targets that are chosen in many draws."""
    rng = random.Random(1)
    found = (choose(options, costs, rng) for _ in range(draws))
    return {one.report.target for one in found if one is not None}


def test_own_attempts_are_subtracted_until_a_newer_report() -> None:
    """A burst at one ingress would otherwise fill a target whose report is some time old."""
    table = RoomTable()
    table.receive(10.0, report(free=2))
    table.begin(10.1, "a")
    table.begin(10.1, "a")
    known = table.get(10.2, "a")
    assert known is not None
    assert known.free == 0
    table.end("a", 10.1)
    known = table.get(10.2, "a")
    assert known is not None
    assert known.free == 1
    table.receive(10.3, report(free=2))
    known = table.get(10.3, "a")
    assert known is not None
    assert known.free == 2


def test_reports_become_void() -> None:
    """After lost datagrams, or in a cut, nobody may go on choosing by an old report."""
    table = RoomTable()
    table.receive(10.0, report("busy"))
    table.receive(10.0, report("idle"), idle=True)
    assert table.get(10.0 + REPORT_TTL_S, "busy") is not None
    assert table.get(10.1 + REPORT_TTL_S, "busy") is None
    assert table.get(10.1 + REPORT_TTL_S, "idle") is not None
    assert table.get(10.1 + IDLE_REPORT_TTL_S, "idle") is None


def test_overtaken_report_is_dropped() -> None:
    """A relayed report arrives later than a reply that is newer."""
    table = RoomTable()
    assert table.receive(10.0, report(free=0))
    assert not table.receive(10.1, report(free=3, age_ms=200.0))
    known = table.get(10.1, "a")
    assert known is not None
    assert known.free == 0


def test_two_unreachable_targets_cut_off_their_data_hall() -> None:
    """Free capacity behind a cut must not draw requests until its reports become void."""
    table = RoomTable()
    for name in "abc":
        table.receive(10.0, report(name), idle=True)
    assert not table.record_unreachable(10.1, "a", "hall", "abc")
    assert table.get(10.1, "a") is None
    assert table.get(10.1, "c") is not None
    assert table.record_unreachable(10.2, "b", "hall", "abc")
    assert table.get(10.2, "c") is None


def test_unreachable_targets_long_apart_cut_nothing_off() -> None:
    """Two VMs that end one after the other are not a cut."""
    table = RoomTable()
    table.receive(12.0, report("c"))
    table.record_unreachable(10.0, "a", "hall", "abc")
    assert not table.record_unreachable(12.0, "b", "hall", "abc")
    assert table.get(12.0, "c") is not None


def test_changes_are_reported_at_once_and_others_by_heartbeat() -> None:
    """Without the heartbeat a quiet target becomes unknown; with more, small VMs do little else."""
    publisher = RoomPublisher()
    assert publisher.is_due(0.0, report(free=2), idle=False)
    assert not publisher.is_due(0.1, report(free=1), idle=False)
    assert publisher.is_due(0.11, report(free=0), idle=False)
    assert not publisher.is_due(0.12, report(free=1), idle=False)
    assert publisher.is_due(0.17, report(free=1), idle=False)
    assert publisher.is_due(0.25, report(free=1, risk=0.45), idle=False)
    assert not publisher.is_due(0.25 + BUSY_INTERVAL_S - 0.01, report(risk=0.45), idle=False)
    assert publisher.is_due(0.25 + BUSY_INTERVAL_S, report(risk=0.45), idle=False)
    assert not publisher.is_due(0.8 + BUSY_INTERVAL_S, report(risk=0.45), idle=True)
    assert publisher.is_due(0.8 + IDLE_INTERVAL_S, report(risk=0.45), idle=True)


def test_risk_around_a_threshold_is_not_reported_with_every_answer() -> None:
    """The risk of a healthy target is about the lowest threshold."""
    publisher = RoomPublisher()
    publisher.is_due(0.0, report(risk=0.035), idle=False)
    assert not publisher.is_due(0.1, report(risk=0.045), idle=False)


def test_relay_sends_changes_and_refreshes() -> None:
    """A relay that repeats all rows four times a second takes three times the bytes."""
    relay = RoomRelay()
    assert relay.is_due(0.0)
    assert not relay.is_due(0.2)
    assert relay.select(0.0, [report()]) == [report()]
    assert relay.select(0.3, [report()]) == []
    assert relay.select(0.6, [report(free=0)]) == [report(free=0)]
    assert relay.select(0.6 + REFRESH_S, [report(free=0)]) == [report(free=0)]


def test_relay_does_not_repeat_a_report_that_is_not_newer() -> None:
    """A target that is gone would seem to live on."""
    relay = RoomRelay()
    relay.select(0.0, [report()])
    assert relay.select(0.9, [report(age_ms=900.0)]) == []


def test_near_targets_with_room_come_first() -> None:
    """Bytes between data halls are expensive."""
    near, far = RoomOption(report("near", free=1), 0), RoomOption(report("far", free=5), 1)
    assert chosen([near, far]) == {"near"}
    full = near._replace(report=report("near", free=0))
    assert chosen([full, far]) == {"far"}


def test_equal_targets_share_the_requests() -> None:
    """If all ingresses took the best target, it would be full until its next report."""
    options = [RoomOption(report(name, free=free), 0) for name, free in (("a", 2), ("b", 3))]
    assert chosen(options) == {"a", "b"}


def test_risk_is_weighed_before_the_probe() -> None:
    """A target that sheds costs more than the path, unless all do; then it is taken at once."""
    near, far = RoomOption(report("near", risk=0.4), 0), RoomOption(report("far"), 1)
    assert chosen([near, far]) == {"far"}
    assert chosen([near]) == {"near"}
    assert accepted_risk(near.report) >= 0.4


def test_path_time_is_weighed_against_the_objective() -> None:
    """A transfer that costs more than a refusal is not worth a free slot."""
    far = RoomOption(report("far"), 2)
    assert chosen([far], COSTS._replace(transfer=0.995)) == set()
    assert chosen([far], COSTS._replace(transfer=0.5)) == {"far"}


def test_tripped_target_gets_trials_only() -> None:
    """It must neither take what would be lost, nor stay without any request for ever."""
    options = [RoomOption(report("bad", risk=TRIPPED_RISK), 0), RoomOption(report("good"), 0)]
    assert chosen(options) == {"good"}
    assert chosen(options[:1]) == set()
    assert chosen(options, COSTS._replace(may_be_trial=True)) == {"bad", "good"}


def test_request_waits_for_a_healthy_target_rather_than_take_a_failing_one() -> None:
    """A target that fails at once has free slots while the healthy ones are full."""
    costs = RoomCosts(failure=1.0, transfer=0.0, objective_ms=2000.0, may_be_trial=False)
    full = RoomOption(RoomReport("healthy", 0, 2, 500.0, 0.02), 0)
    failing = RoomOption(RoomReport("failing", 3, 0, 500.0, 0.5), 0)
    least = least_cost([full, failing], costs)
    assert is_worth_waiting(costs.of(failing), least, wait_cost=0.1)
    assert not is_worth_waiting(costs.of(failing), least, wait_cost=0.6)
    alone = least_cost([failing], costs)
    assert not is_worth_waiting(costs.of(failing), alone, wait_cost=0.0)
