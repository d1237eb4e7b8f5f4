"""Requests before targets that name limits: what an ingress tells callers, sidecars and its log."""

import pytest

from roadpass.message import LoadReport, Reply
from roadpass.outcome import Answered, NotRun, Reason
from tests.fake_sidecar import FakeSidecar, dispatcher, request

LOAD = LoadReport(0, 0, 1, 0.0, 0.0, 20.0, 1, wait_ms=4000.0)
LIMITED = Reply(NotRun(Reason.LIMITED, 4000), LOAD, notice=[1.0, False, 0.0])


def test_callers_are_told_to_return_one_after_the_other() -> None:
    """Later than the shortest wait; no retry is spent, and the second asks nobody."""
    sidecar = FakeSidecar([LIMITED] * 4)
    one = dispatcher(sidecar)
    first, second = (one.dispatch(request("POST")).outcome for _ in range(2))
    assert first == NotRun(Reason.LIMITED, 4000)
    assert isinstance(second, NotRun)
    assert second.reason is Reason.LIMITED
    assert second.retry_after_ms > 4000
    assert len(sidecar.attempts) == 4


def test_the_next_attempt_tells_the_sidecar_what_the_target_stated() -> None:
    """A sidecar that was restarted does not know it."""
    sidecar = FakeSidecar([Reply(Answered(200, [], b""), LOAD, notice=[1.0, True, 0.0])] * 9)
    one = dispatcher(sidecar)
    one._view.notices.merge(0.0, "t0", [2.0, False, 0.0], "gossip")
    for _ in range(9):
        one.dispatch(request("GET"))
    told = {attempt.target: attempt.notice for attempt in sidecar.attempts}
    assert told["t0"] is not None
    assert told["t0"][:2] == [2.0, False]
    assert {name: notice for name, notice in told.items() if name != "t0"}.get("t1") is None


def test_the_log_names_the_targets_whose_limits_refused_a_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Also those that were not asked, as they had told other requests."""
    one = dispatcher(FakeSidecar([LIMITED] * 4))
    one.dispatch(request("POST"))
    with caplog.at_level("INFO", logger="roadpass.dispatch"):
        one.dispatch(request("POST", id="r-2"))
    (ended,) = [line.decision for line in caplog.records if line.message == "ended"]  # type: ignore[attr-defined]
    assert ended["outcome"] == "not-run target-limit"
    assert ended["limit_waits"] == dict.fromkeys(("t0", "t1", "t2", "t3"), 4000)
