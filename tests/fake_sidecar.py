"""A dispatcher with a fake sidecar that returns scripted outcomes."""

import json
import time
from collections.abc import Sequence

from roadpass.dispatch import Dispatcher
from roadpass.failed_calls import CallLog
from roadpass.fence import Verdict
from roadpass.fleet import Fleet
from roadpass.load_table import OFFER_TTL_S
from roadpass.message import Attempt, LoadReport, Reply
from roadpass.outcome import NotRun, Outcome, Reason
from roadpass.parent_requests import ParentRequests
from roadpass.pause import PauseWatch
from roadpass.peer_pool import PeerPool
from roadpass.quarantine import Quarantine
from roadpass.request import CallerWatch, Request
from roadpass.sidecar import Sidecar
from roadpass.view import View

VM = "vm-1"
BEHIND: dict[str, int] = {}
"""Newer revisions that were reported, by VM."""


class FakeSidecar(Sidecar):
    """Returns scripted outcomes, then refuses; records the attempts."""

    def __init__(self, script: Sequence[Outcome | Reply]) -> None:
        self.script: list[Outcome | Reply] = list(script)
        self.attempts: list[Attempt] = []
        self.verdict = Verdict.NEVER_STARTS
        self.load: LoadReport | None = None
        self._quarantine = Quarantine()
        self.calls = CallLog()
        self.parents = ParentRequests()

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        self.attempts.append(attempt)
        refused = NotRun(Reason.QUEUE_FULL)
        scripted = self.script.pop(0) if self.script else refused
        return scripted if isinstance(scripted, Reply) else Reply(scripted, self.load)

    def fence_key(self, key: str, token: str) -> Verdict:
        return self.verdict


class SlowSidecar(FakeSidecar):
    """Takes 5 ms for each attempt."""

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        time.sleep(0.005)
        return super().run(attempt, age_s, watch)


class WaitingSidecar(FakeSidecar):
    """Takes longer for an attempt that may wait than the load report of a full target is valid."""

    def run(self, attempt: Attempt, age_s: float = 0.0, watch: CallerWatch | None = None) -> Reply:
        if attempt.may_wait:
            time.sleep(1.5 * OFFER_TTL_S)
        return super().run(attempt, age_s, watch)


def fleet(**service: object) -> Fleet:
    """Return a fleet with one service of four targets, all on one VM."""
    value = {
        "services": {"s": {"floor_slots": 1, "retry_ratio": 0.5, **service}},
        "targets": {
            f"t{n}": {"service": "s", "vm": VM, "address": f"127.0.0.1:{9000 + n}", "slots": 1}
            for n in range(4)
        },
        "routes": {
            "get": {"path": "/", "methods": ["GET"], "service": "s", "repeatable": True},
            "post": {"path": "/", "methods": ["POST"], "service": "s"},
        },
    }
    return Fleet.from_documents([("all", json.dumps(value))], revision=1, digest="d")


def dispatcher(sidecar: Sidecar, **service: object) -> Dispatcher:
    """Return a ready dispatcher for `fleet(**service)`."""
    view = View(VM, "hall", "region")
    view.fleet = fleet(**service)
    view.ready = True
    return Dispatcher(
        view, 1, sidecar, PeerPool({}, ()), PauseWatch(), behind=BEHIND.__setitem__, seed=1
    )


def request(method: str = "POST", **fields: object) -> Request:
    """Return a request with an empty body; `fields` are set on it."""
    return Request("h", method, "/x", [], b"", "c", **fields)  # type: ignore[arg-type]
