"""The concurrency limit: what reduces it, and what does not."""

from roadpass.adaptive_limit import SUSTAINED_S, AdaptiveLimit

SLOTS = 5
SHORT_MS, SHORT_SLOW_MS = 3.0, 20.0
LONG_MS, LONG_SLOW_MS = 200.0, 600.0


def observe(limit: AdaptiveLimit, service_ms: float, slow_ms: float, *, from_s: float) -> float:
    """Report a request every tenth of a second for some seconds; return the time after them."""
    now = from_s
    while now < from_s + 5.0 * SUSTAINED_S:
        limit.observe(now, service_ms, slow_ms, SLOTS)
        now += 0.1
    return now


def test_a_target_that_stays_slow_gets_fewer_requests_until_it_recovers() -> None:
    """The limit falls to one, and returns to all slots."""
    limit = AdaptiveLimit(SLOTS)
    now = observe(limit, 2.0 * LONG_SLOW_MS, LONG_SLOW_MS, from_s=0.0)
    assert limit.value == 1
    observe(limit, LONG_MS, LONG_SLOW_MS, from_s=now)
    assert limit.value == SLOTS


def test_short_requests_after_long_ones_are_not_slow() -> None:
    """Each is compared to the threshold of its own kind, not to the mean of both."""
    limit = AdaptiveLimit(SLOTS)
    now = 0.0
    for service_ms, slow_ms in [(2000.0, 6000.0)] * 20 + [(SHORT_MS, SHORT_SLOW_MS)] * 60:
        limit.observe(now, service_ms, slow_ms, SLOTS)
        now += 0.1
        assert limit.value == SLOTS
