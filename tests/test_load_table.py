"""Estimated load of targets: back-off from unreachable ones, and reuse of their replies."""

from roadpass.load_table import (
    AVOIDED,
    FAR_OFFER_TTL_MAX_S,
    OFFER_TTL_S,
    UNREACHABLE_GROWTH,
    UNREACHABLE_MAX_S,
    UNREACHABLE_S,
    LoadTable,
)
from roadpass.message import LoadReport
from roadpass.offer import Offer


def test_the_back_off_from_an_unreachable_target_grows() -> None:
    """Each request that probes the target loses time."""
    loads = LoadTable()
    now, backoffs = 0.0, []
    for _ in range(5):
        loads.record_unreachable(now, "t")
        start = now
        while loads.unreachable(now):
            assert loads.load("t", now) is AVOIDED
            now += 0.01
        backoffs.append(round(now - start, 1))
    assert backoffs[:2] == [UNREACHABLE_S, UNREACHABLE_S * UNREACHABLE_GROWTH]
    assert backoffs[-1] == UNREACHABLE_MAX_S


def test_a_reply_resets_the_back_off() -> None:
    """The next failure starts with the shortest back-off."""
    loads = LoadTable()
    loads.record_unreachable(0.0, "t")
    loads.record_unreachable(1.0, "t")
    loads.record_reachable("t")
    loads.record_unreachable(10.0, "t")
    assert loads.unreachable(10.0 + UNREACHABLE_S - 0.01) == {"t"}
    assert loads.unreachable(10.0 + UNREACHABLE_S + 0.01) == set()


def test_only_unreachable_targets_are_reported() -> None:
    """A target that refuses requests for a moment is reachable."""
    loads = LoadTable()
    loads.avoid(0.0, "t")
    loads.record_reachable("other")
    assert loads.unreachable(0.5) == set()


def test_the_reply_of_a_full_target_is_reused_for_a_moment() -> None:
    """Longer if a probe costs bytes between data halls; the next answer ends it."""
    loads = LoadTable()
    loads.cache_offer(0.0, "near", Offer(0.0, 90.0, False), last=True)
    loads.cache_offer(0.0, "far", Offer(0.2, 200.0, True), last=True)
    loads.cache_offer(0.0, "soon", Offer(0.2, 10.0, True), last=True)
    loads.cache_offer(0.0, "later", Offer(0.2, 300.0, True), last=True)
    loads.cache_offer(0.0, "sure", Offer(0.1, 0.0, True), last=True)
    assert [name for name, _ in loads.cached_offers(OFFER_TTL_S / 2)] == [
        "near",
        "far",
        "soon",
        "later",
    ]
    assert [name for name, _ in loads.cached_offers(2 * OFFER_TTL_S)] == ["far", "soon", "later"]
    assert loads.cached_offers(0.25) == [("later", Offer(0.2, 300.0, True))]
    assert loads.cached_offers(FAR_OFFER_TTL_MAX_S) == []
    loads.cache_offer(1.0, "near", Offer(0.0, 90.0, False), last=True)
    loads.discard_offer("near")
    assert loads.cached_offers(1.0) == []


def test_replies_of_removed_targets_are_dropped() -> None:
    """The table does not grow with replaced targets."""
    loads = LoadTable()
    loads.cache_offer(0.0, "t", Offer(0.0, 90.0, True), last=True)
    loads.keep_only({"other"})
    assert loads.cached_offers(0.0) == []


def test_a_target_that_names_a_limit_counts_as_full_until_its_next_start() -> None:
    """However few requests it runs; another one with a free slot is preferred."""
    loads = LoadTable()
    report = LoadReport(0, 0, 3, 0.0, 0.0, 20.0, 1, wait_ms=400.0)
    loads.report(0.0, "limited", report, limited=True)
    loads.report(0.0, "free", report, limited=False)
    assert loads.load("limited", 0.39).utilization >= 1.0 > loads.load("free", 0.39).utilization
    assert loads.load("limited", 0.41).utilization < 1.0


def test_the_reply_of_a_near_target_with_a_limit_is_reused_until_its_next_start() -> None:
    """A slot would be free sooner than the wait tells; a start is not."""
    loads = LoadTable()
    loads.cache_offer(0.0, "limited", Offer(0.0, 300.0, False, limited=True), last=True)
    loads.cache_offer(0.0, "slow", Offer(0.0, 900.0, False, limited=True), last=True)
    assert [name for name, _ in loads.cached_offers(0.29)] == ["limited", "slow"]
    assert [name for name, _ in loads.cached_offers(0.31)] == ["slow"]
    assert loads.cached_offers(FAR_OFFER_TTL_MAX_S) == []
