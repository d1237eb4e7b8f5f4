"""The mechanisms that hold the promises: where each stands, and which test must notice it gone."""

from tools.mechanism import Mechanism
from tools.mechanisms_of_service import OF_CHOICE, OF_CRASHES, OF_CUSTOMERS

ELSEWHERE = (
    Mechanism(
        "a question to a peer makes the reader wait for nothing",
        "roadpass/store_reader.py",
        "self._asker.tell(self._asking)",
        "self._asker.ask(self._asking)",
        "tests/test_store_reader.py",
    ),
    Mechanism(
        "a call to the source makes the reader wait for nothing",
        "roadpass/store_reader.py",
        "self._caller.tell(self._calling)",
        "self._caller.ask(self._calling)",
        "tests/test_store_reader.py",
    ),
    Mechanism(
        "peers that do not answer are left alone by the reader",
        "roadpass/heard.py",
        "if not self._unanswered.holds(vm, now)]",
        "]",
        "tests/test_store_reader.py",
    ),
    Mechanism(
        "peers that do not answer are left alone by the puller",
        "roadpass/reader.py",
        "if self._unanswered.holds(news.address, now):",
        "if False:",
        "tests/test_reader.py",
    ),
    Mechanism(
        "an exchange with a peer is bounded as a whole",
        "roadpass/stream.py",
        "settimeout(max(READ_MIN_S, deadline - clock.now()))\n            chunk",
        "settimeout(FRAME_LIMIT_S)\n            chunk",
        "tests/test_peer.py",
    ),
    Mechanism(
        "a call to the store is bounded as a whole",
        "roadpass/platform/store.py",
        "if clock.now() > until:",
        "if False:",
        "tests/test_platform.py",
    ),
    Mechanism(
        "a node that starts is told of all members",
        "roadpass/membership.py",
        "number, self._own.vm), *self._introduce(back)]",
        "number, self._own.vm)]",
        "tests/test_membership.py",
    ),
    Mechanism(
        "floor of ejection",
        "roadpass/eject.py",
        "if serving - fact.slots >= self._floor:",
        "if True:",
        "tests/test_eject.py",
    ),
    Mechanism(
        "not repeatable is not retried after unknown",
        "roadpass/dispatch.py",
        "        case Unknown():\n            return route.repeatable",
        "        case Unknown():\n            return True",
        "tests/test_scenario.py::test_scenario[gray_hang]",
    ),
    Mechanism(
        "unknown is not told as not-run",
        "roadpass/transport.py",
        "            return Unknown(reason)\n        vouched",
        "            return NotRun(reason)\n        vouched",
        "tests/test_dispatch.py",
    ),
    Mechanism(
        "fence is taken only from the table",
        "roadpass/fence.py",
        "if entry is not None and entry.started:\n"
        "                return Verdict.STARTED\n            self._attempts",
        "if False:\n                return Verdict.STARTED\n            self._attempts",
        "tests/test_fence.py",
    ),
    Mechanism(
        "claims and fences are atomic",
        "roadpass/fence.py",
        "        self._lock = threading.Lock()\n",
        "        import contextlib\n\n        self._lock = contextlib.nullcontext()\n",
        "tests/test_sidecar.py",
    ),
    Mechanism(
        "an answer is whole or an error",
        "roadpass/target_connection.py",
        "            raise TargetLostError("
        '"The target\'s connection ended before its answer was whole.")',
        "            return self._finish()",
        "tests/test_scenario.py::test_scenario[gray_cut_answers]",
    ),
    Mechanism(
        "work that must not repeat stays out of a shut door",
        "roadpass/door.py",
        "        if not trial:\n            return False",
        "        if False:\n            return False",
        "tests/test_door.py",
    ),
    Mechanism(
        "a stream that was given up is closed",
        "roadpass/transport.py",
        "            stream.close()\n            return Reply(self._after_loss",
        "            self._peers.release(address, stream)\n"
        "            return Reply(self._after_loss",
        "tests/test_dispatch.py",
    ),
    Mechanism(
        "the label of a leaving target counts",
        "roadpass/fleet.py",
        'leaving=value.get("leaving", False),',
        "leaving=False,",
        "tests/test_scenario.py::test_scenario[leaving_target]",
    ),
    Mechanism(
        "the sidecar of a leaving target refuses",
        "roadpass/sidecar.py",
        "if self.leaving or (local is not None and local.leaving):",
        "if False:",
        "tests/test_sidecar.py",
    ),
    Mechanism(
        "the age of a frame counts against its deadline",
        "roadpass/sidecar.py",
        "deadline = clock.now() + attempt.remaining_ms / 1000.0 - age_s",
        "deadline = clock.now() + attempt.remaining_ms / 1000.0",
        "tests/test_sidecar.py",
    ),
    Mechanism(
        "a stale ingress is refused",
        "roadpass/sidecar.py",
        "if local is None or not self._selected(fleet, attempt):",
        "if local is None:",
        "tests/test_sidecar.py",
    ),
    Mechanism(
        "a stop waits for work in flight",
        "roadpass/drain.py",
        "clean = now - self._quiet_since >= QUIET_S",
        "clean = True",
        "tests/test_drain.py",
    ),
    Mechanism(
        "a pause is no quiet time",
        "roadpass/drain.py",
        "            self._paused_s += since_look_s\n            self._quiet_since = now\n",
        "            self._paused_s += since_look_s\n",
        "tests/test_drain.py",
    ),
    Mechanism(
        "an older revision is refused",
        "roadpass/revision.py",
        "return Order.OLDER",
        "return Order.NEWER",
        "tests/test_revision.py",
    ),
    Mechanism(
        "racing contents settle by hash",
        "roadpass/revision.py",
        "return Order.CONFLICT_WINS if offered.digest > current.digest else Order.CONFLICT_LOSES",
        "return Order.CONFLICT_WINS",
        "tests/test_revision.py",
    ),
    Mechanism(
        "a bad revision is not taken",
        "roadpass/revision.py",
        "if content is None:\n                raise IncompleteError("
        'entry.name, ["is missing or does not match its hash"])',
        "if content is None:\n                continue",
        "tests/test_revision.py",
    ),
    Mechanism(
        "a dead member may refute",
        "roadpass/membership.py",
        "self._set_own(member.incarnation + 1, self._own.state)",
        "pass",
        "tests/test_membership.py",
    ),
    Mechanism(
        "frames carry a MAC that is checked",
        "roadpass/stream.py",
        "if not self._authentic(payload, mac):",
        "if False:",
        "tests/test_stream.py",
    ),
)

MACHINE = "tests/test_machine.py"
SEEN_TWICE = (
    "not repeatable is not retried after unknown",
    "unknown is not told as not-run",
    "fence is taken only from the table",
    "the age of a frame counts against its deadline",
)
"""Mechanisms that the machine must miss too, beside the tests named above."""

OF_MACHINE = (
    Mechanism(
        "a fenced attempt is not started",
        "roadpass/fence.py",
        "if entry is not None:\n                return Reason.DUPLICATE",
        "if entry is not None and entry.started:\n                return Reason.DUPLICATE",
        MACHINE,
    ),
    Mechanism(
        "only the process that got an attempt vouches for it",
        "roadpass/transport.py",
        'if vouched and word["incarnation"] == incarnation:',
        "if vouched:",
        MACHINE,
    ),
    Mechanism(
        "not-run is told only if no earlier attempt may have run",
        "roadpass/trip.py",
        "return self.may_have_run or outcome",
        "return outcome",
        MACHINE,
    ),
    Mechanism(
        "a route's most attempts",
        "roadpass/trip.py",
        "return most is None or self.arrivals < most",
        "return True",
        MACHINE,
    ),
    Mechanism(
        "a started key is not vouched for",
        "roadpass/fence.py",
        "                return Verdict.STARTED\n            if now",
        "                pass\n            if now",
        MACHINE,
    ),
    Mechanism(
        "a young sidecar does not vouch for a key",
        "roadpass/fence.py",
        "if now - self._started_at < self._window_s:",
        "if False:",
        MACHINE,
    ),
    Mechanism(
        "of a fenced key only the repeat that fenced it starts",
        "roadpass/fence.py",
        "if repeat and entry.token == attempt_id:",
        "if True:",
        MACHINE,
    ),
)

MECHANISMS = (
    *ELSEWHERE,
    *OF_CUSTOMERS,
    *OF_CRASHES,
    *OF_CHOICE,
    *(one._replace(test=MACHINE) for one in ELSEWHERE if one.name in SEEN_TWICE),
    *OF_MACHINE,
)
