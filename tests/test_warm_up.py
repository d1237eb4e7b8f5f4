"""Cold targets get what they bear, are not judged by their slowness, and serve all when warm."""

import logging
import math
import threading
from types import SimpleNamespace
from typing import Any

import pytest

from roadpass.audit import AuditTrail
from roadpass.catalogue import Catalogue, Policy
from roadpass.configuration import Store
from roadpass.event_router import EventRouter
from roadpass.failure_detector import Sample
from roadpass.fleet import TrafficClass
from roadpass.journal import Journal
from roadpass.message import check
from roadpass.monitor import HealthMonitor
from roadpass.pause import PauseWatch
from roadpass.platform.dialect import PLATFORM
from roadpass.position import Position
from roadpass.request import Observation
from roadpass.settings import Ports, Settings
from roadpass.sharing import Sharing
from roadpass.shutdown import Shutdown
from roadpass.slots import Slots
from roadpass.source import Changes, ConfigPublished, TargetEntry, TargetPublished
from roadpass.source_update import SourceUpdate
from roadpass.target_notice import MAX_SHOWN, TargetNotice, read_notice
from roadpass.view import PeerNode, View
from roadpass.warm_up import MAX_TARGETS, WarmUps
from tests.crowd import ENTRIES_S, FIRST_S, TICK_S, Crowd
from tests.load import ColdPeriod, Kind, Load
from tests.test_sharing import _config, _route

SLOTS = 5
NAME = "t"
NAN = float("nan")


def warm_ups(*, enabled: bool = True) -> WarmUps:
    """Return the table of a node."""
    table = WarmUps()
    table.enable(0.0, enabled)
    return table


def decisions(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return what was decided about warm-ups."""
    return [one.getMessage() for one in caplog.records if one.name == "roadpass.warm-up"]


def test_limit_and_weight_rise_from_one_slot_to_all() -> None:
    """A target that gets all its slots' work while cold fails or sheds it."""
    table = warm_ups()
    table.state(10.0, NAME, 4000.0, source="source")
    limits = [table.limit(10.0 + seconds, NAME, SLOTS) for seconds in range(5)]
    assert limits == [1, 2, 3, 4, 5]
    assert table.limit(9.0, NAME, SLOTS) == 1
    assert table.weight(10.0, NAME, SLOTS) == pytest.approx(0.2)
    assert table.weight(14.0, NAME, SLOTS) == 1.0
    assert [table.is_cold(at, NAME) for at in (10.0, 13.9, 14.0)] == [True, True, False]
    assert table.limit(10.0, "other", SLOTS) == SLOTS


def test_statements_of_one_warm_up_do_not_begin_it_anew() -> None:
    """Entries are written again and again, and are read some time after that."""
    table = warm_ups()
    for at, left_ms in ((0.0, 4000.0), (1.0, 3000.0), (2.4, 2000.0), (3.1, 1100.0)):
        table.state(at, NAME, left_ms, source="source")
    assert table.limit(3.1, NAME, SLOTS) == 3
    table.state(4.3, NAME, 400.0, source="source")  # read late, when the target is warm
    assert table.limit(4.3, NAME, SLOTS) >= 4


@pytest.mark.parametrize("at", [2.0, 4.0, 60.0])
def test_target_turns_cold_again_at_any_moment(at: float, caplog: pytest.LogCaptureFixture) -> None:
    """It bears one request again, also in the middle of its warm-up."""
    caplog.set_level(logging.INFO)
    table = warm_ups()
    table.state(0.0, NAME, 4000.0, source="source")
    table.state(at, NAME, 4000.0, source="response")
    assert [table.limit(at + s, NAME, SLOTS) for s in (0.0, 2.0, 4.0)] == [1, 3, 5]
    again = "target-cold-again" if at < 4.0 else "target-cold"
    assert decisions(caplog) == ["target-cold", again]


def test_response_ends_a_warm_up_and_entry_without_one_does_not() -> None:
    """Nodes of an older release pass entries on without it, and a target may state it elsewhere."""
    table = warm_ups()
    table.state(0.0, NAME, 4000.0, source="source")
    entry = TargetEntry(NAME, "s", "10.0.0.1:80", "a", SLOTS, leaving=False)
    table.apply(1.0, [TargetPublished(entry)], "peer")
    assert table.limit(1.0, NAME, SLOTS) == 2
    table.hear(1.0, NAME, TargetNotice())
    assert table.limit(1.0, NAME, SLOTS) == 2
    table.hear(1.0, NAME, TargetNotice(warm_up_ms=0.0))
    assert table.limit(1.0, NAME, SLOTS) == SLOTS


@pytest.mark.parametrize(
    ("values", "left_ms"),
    [
        ((), None),
        (("1500",), 1500.0),
        (("0",), 0.0),
        (("12.5", " 40 "), 40.0),
        (("86400000",), 86_400_000.0),
    ],
)
def test_header_is_read(values: tuple[str, ...], left_ms: float | None) -> None:
    """The coldest of several statements counts, as the target bears no more by any reading."""
    notice = read_notice([("warmup-ms", value) for value in values], PLATFORM)
    assert notice == TargetNotice(warm_up_ms=left_ms)


@pytest.mark.parametrize(
    "value", ["-1", "nan", "inf", "1e3", "86400001", "99999999999", "1500ms", "", "7,x", "x" * 99]
)
def test_impossible_header_leaves_the_other_statements(value: str) -> None:
    """A bad warm-up must not hide that the target names a limit or leaves."""
    headers = [("Warmup-Ms", value), ("Server-Limit", "2"), ("Server-Leaving", "1")]
    notice = read_notice(headers, PLATFORM)
    assert (notice.rate_per_s, notice.leaving, notice.invalid) == (2.0, True, ())
    assert notice.warm_up_ms is None
    assert notice.warm_up_invalid == value[:MAX_SHOWN]


def test_impossible_warm_up_is_logged_once_for_each_change(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A bad header in each response must not fill the log, and must not end a warm-up."""
    caplog.set_level(logging.INFO)
    table = warm_ups()
    table.hear(0.0, NAME, TargetNotice(warm_up_ms=4000.0))
    for value in ("-1", "-1", "x", "x"):
        table.hear(1.0, NAME, TargetNotice(warm_up_invalid=value))
    assert table.limit(1.0, NAME, SLOTS) == 2
    assert decisions(caplog) == ["target-cold", "warm-up-ignored", "warm-up-ignored"]
    table.hear(1.0, NAME, TargetNotice(warm_up_ms=3000.0))
    table.hear(1.0, NAME, TargetNotice(warm_up_invalid="x"))
    assert len(decisions(caplog)) == 4


def test_nothing_is_decided_while_the_switch_is_off(caplog: pytest.LogCaptureFixture) -> None:
    """Deployments without the switch treat all targets as before."""
    caplog.set_level(logging.INFO)
    table = warm_ups(enabled=False)
    table.state(0.0, NAME, 4000.0, source="source")
    table.hear(0.0, NAME, TargetNotice(warm_up_invalid="x"))
    sample = Sample(True, 900.0)
    assert table.limit(0.0, NAME, SLOTS) == SLOTS
    assert table.weight(0.0, NAME, SLOTS) == 1.0
    assert table.cold_at(0.0, NAME) == -math.inf
    assert table.excused(0.9, NAME, sample, 100.0) is sample
    assert table.left_s(0.0) == {}
    assert decisions(caplog) == []
    table.enable(1.0, True)
    assert table.limit(1.0, NAME, SLOTS) == 2
    assert decisions(caplog) == ["target-cold"]


def test_table_is_bounded() -> None:
    """Starts of targets have names of their own, and must not add up in memory."""
    table = warm_ups()
    for number in range(MAX_TARGETS + 50):
        table.state(0.0, f"i@{number}", 1000.0, source="source")
    assert len(table.left_s(0.0)) == MAX_TARGETS


@pytest.mark.parametrize(
    ("sample", "at", "expected"),
    [
        (Sample(False, 900.0), 2.0, Sample(False, 300.0)),
        (Sample(True, 900.0), 2.0, None),
        (Sample(True, 20.0), 2.0, Sample(True, 20.0)),
        (Sample(False, 200.0), 2.0, Sample(False, 200.0)),
        (Sample(False, 900.0), 4.5, Sample(False, 300.0)),
        (Sample(False, 900.0), 4.95, Sample(False, 900.0)),
    ],
)
def test_only_slowness_of_cold_targets_is_excused(
    sample: Sample, at: float, expected: Sample | None
) -> None:
    """A cold target must not be ejected as slow, but one that fails at once must be."""
    table = warm_ups()
    table.state(0.0, NAME, 4000.0, source="source")
    assert table.excused(at, NAME, sample, 300.0) == expected


def test_slots_added_by_time_go_to_waiting_requests() -> None:
    """No response tells the sidecar that more slots are there, as it would on a release."""
    limit = [1]
    slots = Slots(
        [TrafficClass("", 0.0)],
        slots=2,
        queue_limit=4,
        lock=threading.Lock(),
        shutdown=Shutdown(),
        bearable=lambda now: limit[0],
    )
    slots._admission.set_limit(1, 100.0)
    one = slots._admission.offer(0.0, "", "c", 9.0, retry=False, typical_ms=0.0)
    two: Any = slots._admission.offer(0.0, "", "c", 9.0, retry=False, typical_ms=0.0)
    assert type(one).__name__ == "Admitted"
    assert not two.ticket.granted
    limit[0] = 2
    slots.apply_limit(0.1)
    assert two.ticket.granted
    assert slots.limit == 2


def update(table: WarmUps | None, left_ms: float = 4000.0) -> dict[str, Any]:
    """Return the source update that a node sends 1 s after it read the entry of a cold target."""
    settings = Settings("vm", "hall", "r", "vm", "vm", Ports(1, 2, 3, 4), "")
    view = View("vm", "hall", "r")
    journal = Journal()
    router = EventRouter(settings, view, Store(), journal, AuditTrail())
    entry = TargetEntry("i", "desk", "10.0.0.1:80", "a", SLOTS, False, 7, left_ms)
    changes = Changes(Position(0, 3), (TargetPublished(entry),), full=True)
    journal.record(changes, 0.0)
    if table is not None:
        view.warm_ups = table
    return dict(check(router.on_pull({"t": "catch_up", "after": 0})))


def test_update_between_nodes_carries_what_is_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer that read the time of another moment as that of now would keep the target cold."""
    monkeypatch.setattr("roadpass.event_router.clock.now", lambda: 1.0)
    table = warm_ups()
    table.state(0.0, "i@7", 4000.0, source="source")
    message = update(table)
    assert message["warm_up"] == [[0, 3000.0]]
    assert message["targets"] == [["i", "desk", "10.0.0.1:80", "a", SLOTS, False, 7]]
    (change,) = SourceUpdate.from_message(message, 1.0).changes.changes
    assert isinstance(change, TargetPublished)
    assert change.entry.warm_up_ms == 3000.0
    peer = warm_ups()
    peer.apply(1.0, [change], "vm")
    assert peer.left_s(1.0) == {"i@7": 3.0}


@pytest.mark.parametrize("table", [None, warm_ups(enabled=False), warm_ups()])
def test_update_is_as_before_without_cold_targets_and_with_the_switch_off(
    table: WarmUps | None,
) -> None:
    """Older nodes reject longer rows of targets, and off not a byte may change."""
    if table is not None and not table.enabled:
        table.state(0.0, "i@7", 4000.0, source="source")
    message = update(table)
    assert "warm_up" not in message
    assert [len(row) for row in message["targets"]] == [7]


def test_row_without_a_start_has_the_length_that_older_nodes_read() -> None:
    """The warm-up must lengthen neither form of the row."""
    entry = TargetEntry("i", "desk", "10.0.0.1:80", "a", SLOTS, False, 0, 4000.0, "bad")
    changes = Changes(Position(0, 3), (TargetPublished(entry),))
    message = check(SourceUpdate(changes, 0.0).to_message(0.0))
    assert message["targets"] == [["i", "desk", "10.0.0.1:80", "a", SLOTS, False]]


@pytest.mark.parametrize("value", [-1, NAN, math.inf, 86_400_001, "1500", None, True, [1]])
def test_impossible_time_of_a_peer_leaves_the_rest_of_the_update(value: Any) -> None:
    """One bad row must not keep a node from all targets."""
    message = {**update(None), "warm_up": [[0, value], [9, 5]]}
    (change,) = SourceUpdate.from_message(check(message), 0.0).changes.changes
    assert isinstance(change, TargetPublished)
    assert (change.entry.instance, change.entry.warm_up_ms) == ("i", 0.0)
    assert change.entry.warm_up_invalid


def test_update_of_an_older_node_leaves_targets_warm() -> None:
    """In a roll-out, updates come from nodes that know no warm-ups."""
    message = update(None)
    (change,) = SourceUpdate.from_message(message, 0.0).changes.changes
    table = warm_ups()
    table.apply(0.0, [change], "vm")
    assert table.limit(0.0, "i@7", SLOTS) == SLOTS


def test_rewritten_entry_of_a_cold_target_does_not_rebuild_the_fleet() -> None:
    """Its time differs in every writing, and a new fleet costs each node milliseconds."""
    catalogue = Catalogue(Policy(sharing=Sharing(warm_up=True)))
    entry = TargetEntry("i", "desk", "10.0.0.1:80", "a", SLOTS, False, 7, 4000.0)
    config = ConfigPublished(_config(_route("lookup")))
    first = Changes(Position(0, 1), (config, TargetPublished(entry)), full=True)
    assert catalogue.apply(0.0, first) == (True, [])
    again = TargetPublished(entry._replace(warm_up_ms=3000.0, warm_up_invalid="x"))
    assert catalogue.apply(1.0, Changes(Position(0, 2), (again,))) == (False, [])


def test_view_weighs_cold_targets_and_keeps_one_that_is_alone() -> None:
    """A cold target with nobody else to serve must still serve."""
    view = View("vm", "hall", "r")
    catalogue = Catalogue(Policy(sharing=Sharing(warm_up=True)))
    entry = TargetEntry("i", "desk", "10.0.0.1:80", "a", SLOTS, False, 7)
    config = ConfigPublished(_config(_route("lookup")))
    catalogue.apply(0.0, Changes(Position(0, 1), (config, TargetPublished(entry)), full=True))
    view.fleet = catalogue.fleet()
    view.warm_ups.enable(0.0, True)
    view.warm_ups.state(1e12, "i@7", 4000.0, source="source")
    (candidate,) = view.service("desk").candidates.values()
    assert candidate.weight == pytest.approx(1.0 / SLOTS)


MONITORED = ("a@7", "b@7", "c@7")


def monitor(*, enabled: bool) -> HealthMonitor:
    """Return the health monitor of an ingress before three targets, the first of them cold."""
    view = View("10.9.9.9", "hall", "r")
    catalogue = Catalogue(Policy(sharing=Sharing(warm_up=True)))
    entries = [
        TargetPublished(TargetEntry(name[0], "desk", f"10.0.0.{n}:80", "hall", SLOTS, False, 7))
        for n, name in enumerate(MONITORED)
    ]
    config = ConfigPublished(_config(_route("lookup")))
    catalogue.apply(0.0, Changes(Position(0, 1), (config, *entries), full=True))
    view.fleet = catalogue.fleet()
    for target in view.fleet.targets.values():
        view.nodes[target.vm] = PeerNode(target.vm, target.vm, 1, "hall", "r")
    view.warm_ups.enable(0.0, enabled)
    view.warm_ups.state(100.0, "a@7", 20_000.0, source="source")
    parts: Any = SimpleNamespace(targets={}, pending={}, observations=[])
    return HealthMonitor(view, parts, parts, PauseWatch(), lambda *args: None, AuditTrail())


def slow_score(made: HealthMonitor) -> float:
    """Return the evidence against the cold target after slow answers of it beside fast ones."""
    at = 100.0
    for _ in range(40):
        at += 0.2
        for name in MONITORED:
            sample = Sample(False, 2000.0 if name == "a@7" else 100.0)
            made._observe(at, Observation("desk", name, sample, None, at=at))
        made._step(at, "desk", made._services["desk"])
    return made._services["desk"].health.scores(at, "a@7").slow


def test_ingress_does_not_take_a_cold_target_for_slow() -> None:
    """It would be ejected for the sake of a slowness that ends by itself."""
    assert slow_score(monitor(enabled=True)) < 0.1
    assert slow_score(monitor(enabled=False)) > 0.3


def test_ingress_weighs_a_cold_target_by_its_warm_up() -> None:
    """More than its share would only be refused by its sidecar, after a way there and back."""
    made = monitor(enabled=True)
    slow_score(made)
    health = made._services["desk"].health
    weights = {}
    for at in (108.0, 114.0, 120.0):
        made._publish(at, "desk", health)
        weights[at] = made._view.services["desk"].candidates["a@7"].weight
    assert [weights[at] for at in weights] == pytest.approx([0.4, 0.6, 1.0])
    assert made._view.services["desk"].candidates["b@7"].weight == 1.0


COLD = "shop-0"
BEGIN_S, WARM_UP_S = 4.0, 6.0
KINDS = {"browse": Kind("shop", 220.0, 900, 2500, True, 62.0)}


def load(*periods: tuple[float, float], targets: int = 5, per_s: float = 62.0) -> Load:
    """Return a load of about seven tenths of the slots, with warm-ups of one target."""
    return Load(
        {"browse": KINDS["browse"]._replace(per_s=per_s)},
        {"shop": targets},
        slots=4,
        seconds=16.0,
        cold=tuple(ColdPeriod(at, seconds, 5.0, frozenset({COLD})) for at, seconds in periods),
        warm_up=True,
    )


def most_in_use(crowd: Crowd, begin: float, end: float) -> int:
    """Return the most slots of the cold target in use at the start of a request."""
    seen = [n for at, n in crowd.in_use[COLD] if begin <= at - FIRST_S < end]
    return max(seen, default=0)


def check_limit(crowd: Crowd, begin: float, seconds: float) -> None:
    """Check that no request started beyond the limit once the sidecar can know of the warm-up."""
    table = warm_ups()
    table.state(begin, NAME, seconds * 1000.0, source="test")
    late_s = ENTRIES_S + 2.0 * TICK_S
    for at, in_use in crowd.in_use[COLD]:
        since = at - FIRST_S
        if begin + late_s <= since < begin + seconds:
            assert in_use <= table.limit(since, NAME, crowd.load.slots), since


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_target_gets_no_more_than_its_limit_and_all_its_slots_when_warm(seed: int) -> None:
    """Under load each free slot is taken, so a wrong limit shows in either direction."""
    crowd = Crowd.run(load((BEGIN_S, WARM_UP_S)), seed)
    check_limit(crowd, BEGIN_S, WARM_UP_S)
    end = BEGIN_S + WARM_UP_S
    assert most_in_use(crowd, BEGIN_S + 1.0, end) >= 1
    assert most_in_use(crowd, end, end + 3.0) == crowd.load.slots
    assert crowd.nodes["10.0.0.0"].local._slots.limit == crowd.load.slots


def test_target_that_turns_cold_again_in_its_warm_up_falls_back_to_one_slot() -> None:
    """A restarted cache in the middle of a warm-up makes the target as slow as at first."""
    crowd = Crowd.run(load((BEGIN_S, 5.0), (BEGIN_S + 3.0, 5.0)), 1)
    check_limit(crowd, BEGIN_S + 3.0, 5.0)
    assert most_in_use(crowd, BEGIN_S + 8.0, BEGIN_S + 11.0) == crowd.load.slots


def worst_risk(crowd: Crowd) -> float:
    """Return the highest failure probability of the cold target while it was cold."""
    return max(risk for _, risk in crowd.failure_risk[COLD])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_target_is_not_taken_for_failing(seed: int) -> None:
    """Its requests take five times as long: as silence, that trips its circuit breaker."""
    crowd = Crowd.run(load((BEGIN_S, WARM_UP_S)), seed)
    assert worst_risk(crowd) < 0.2
    assert crowd.nodes["10.0.0.0"].local.scores.worst < 0.5
    assert crowd.share("served", between=(BEGIN_S, BEGIN_S + WARM_UP_S)) >= 0.97


def test_cold_target_is_taken_for_failing_without_the_switch() -> None:
    """The simulation shows the fault that the switch prevents, else it would prove nothing."""
    crowd = Crowd.run(load((BEGIN_S, WARM_UP_S))._replace(warm_up=False), 1)
    assert worst_risk(crowd) > 0.6


def test_cold_target_that_is_alone_still_serves() -> None:
    """A service whose only target warms up must not refuse everybody until it is warm."""
    crowd = Crowd.run(load((BEGIN_S, WARM_UP_S), targets=1, per_s=1.0), 1)
    assert crowd.share("served", between=(BEGIN_S, BEGIN_S + WARM_UP_S)) >= 0.5
