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
    loads.cache_offer(0.0, "near", 0.0, 90.0, far=False, last=True)
    loads.cache_offer(0.0, "far", 0.2, 200.0, far=True, last=True)
    loads.cache_offer(0.0, "soon", 0.2, 10.0, far=True, last=True)
    loads.cache_offer(0.0, "later", 0.2, 300.0, far=True, last=True)
    loads.cache_offer(0.0, "sure", 0.1, 0.0, far=True, last=True)
    assert [name for name, _ in loads.cached_offers(OFFER_TTL_S / 2)] == [
        "near",
        "far",
        "soon",
        "later",
    ]
    assert [name for name, _ in loads.cached_offers(2 * OFFER_TTL_S)] == ["far", "soon", "later"]
    assert [(name, cached.failure_risk) for name, cached in loads.cached_offers(0.25)] == [
        ("later", 0.2)
    ]
    assert loads.cached_offers(FAR_OFFER_TTL_MAX_S) == []
    loads.cache_offer(1.0, "near", 0.0, 90.0, far=False, last=True)
    loads.discard_offer("near")
    assert loads.cached_offers(1.0) == []


def test_replies_of_removed_targets_are_dropped() -> None:
    """The table does not grow with replaced targets."""
    loads = LoadTable()
    loads.cache_offer(0.0, "t", 0.0, 90.0, far=True, last=True)
    loads.keep_only({"other"})
    assert loads.cached_offers(0.0) == []
