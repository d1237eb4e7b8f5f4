"""Guards the cost of parts that are off: their ticks must not wake the process."""

import threading

import pytest

from roadpass import _ticker
from roadpass._ticker import Ticker


def test_disabled_ticker_calls_nothing_until_it_is_enabled(monkeypatch: pytest.MonkeyPatch) -> None:
    """A ticker of 25 ms would wake a node forty times a second for a part that is off."""
    monkeypatch.setattr(_ticker, "DISABLED_CHECK_S", 0.01)
    enabled, checks, called = threading.Event(), threading.Semaphore(0), threading.Event()

    def is_enabled() -> bool:
        checks.release()
        return enabled.is_set()

    ticker = Ticker("test-tick", 0.001, called.set, enabled=is_enabled)
    ticker.start()
    for _ in range(6):
        assert checks.acquire(timeout=5.0)
    assert not called.is_set()
    enabled.set()
    assert called.wait(5.0)
    ticker.stop()
