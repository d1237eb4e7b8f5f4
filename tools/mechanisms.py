"""The mechanisms that hold the promises: where each stands, and which test must notice it gone."""

from typing import NamedTuple


class Mechanism(NamedTuple):
    """One mechanism, how to switch it off, and the test that must notice."""

    name: str
    file: str
    on: str
    off: str
    test: str


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

OF_CHOICE = (
    Mechanism(
        "silence counts against a target",
        "roadpass/belief.py",
        "        return silent / longer\n",
        "        return 1.0\n",
        "tests/test_belief.py",
    ),
    Mechanism(
        "losses shut a door",
        "roadpass/belief.py",
        "                return BAD_SHARE / SOUND_LOSS\n",
        "                return 1.0\n",
        "tests/test_door.py",
    ),
    Mechanism(
        "what is lost if it fails goes to a sure target",
        "roadpass/trip.py",
        "            return WANTED_BAD\n",
        "            return 1.0\n",
        "tests/test_trip.py",
    ),
    Mechanism(
        "the way to another data hall has a price",
        "roadpass/trip.py",
        "far_loss=service.far_loss_per_kb * size_kb,",
        "far_loss=0.0,",
        "tests/test_trip.py",
    ),
    Mechanism(
        "a full target is taken at its word",
        "roadpass/load.py",
        "        if wait_ms <= 0.0 and last:\n",
        "        if True:\n",
        "tests/test_load.py",
    ),
    Mechanism(
        "what would be late is refused",
        "roadpass/offer.py",
        "return offer.wait_ms <= self.most_wait_ms and self.of(offer) < REFUSED_LOSS",
        "return True",
        "tests/test_offer.py",
    ),
    Mechanism(
        "short requests wait before long ones",
        "roadpass/admission.py",
        "return 0.0 < own_ms <= SHORT_SHARE * self._service_ms",
        "return False",
        "tests/test_admission.py",
    ),
    Mechanism(
        "short requests may come later",
        "roadpass/trip.py",
        "            patience=patience,\n",
        "            patience=1.0,\n",
        "tests/test_trip.py",
    ),
    Mechanism(
        "a wait in another data hall costs its way twice",
        "roadpass/offer.py",
        "FAR_WAIT_FACTOR = 2.0\n",
        "FAR_WAIT_FACTOR = 1.0\n",
        "tests/test_offer.py",
    ),
    Mechanism(
        "requests wait while most of their kind would be in time",
        "roadpass/trip.py",
        "LONG_SPREADS = 0.7\n",
        "LONG_SPREADS = 1.5\n",
        "tests/test_trip.py",
    ),
    Mechanism(
        "what nobody knows is taken to last a share of its objective",
        "roadpass/trip.py",
        "        return USUAL_UNKNOWN_SHARE * (self.route.target_latency_ms or 0)\n",
        "        return 0.0\n",
        "tests/test_trip.py",
    ),
    Mechanism(
        "slow is measured by the kind of a request",
        "roadpass/dispatch.py",
        "            slow_ms = max(slow_ms, trip.slow_ms)\n",
        "            pass\n",
        "tests/test_dispatch.py",
    ),
    Mechanism(
        "a target is told to stop before its answer is no longer awaited",
        "roadpass/target.py",
        "    return left_s - min(ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * left_s)\n",
        "    return left_s\n",
        "tests/test_target.py",
    ),
    Mechanism(
        "doors share out the repeats",
        "roadpass/catalogue.py",
        "        retry_burst=math.inf,\n",
        "        retry_burst=max(1.0, slack / max(1, len(serving))),\n",
        "tests/test_crowd.py",
    ),
)
"""Mechanisms of the choice among targets, which docs/DECISIONS.md also measures one by one."""

OF_CRASHES = (
    Mechanism(
        "three targets that ended under a request keep it from others",
        "roadpass/quarantine.py",
        "if self.count >= ENDS else 0.0",
        "if self.count < 0 else 0.0",
        "tests/test_crashing.py",
    ),
    Mechanism(
        "an answer voids the ends before it",
        "roadpass/quarantine.py",
        "            record.answered_at = now\n",
        "            pass\n",
        "tests/test_quarantine.py",
    ),
    Mechanism(
        "an answer lately seen speaks for a popular request",
        "roadpass/quarantine.py",
        "        record.answered_at = max(record.answered_at, answered_at)\n",
        "        pass\n",
        "tests/test_quarantine.py",
    ),
    Mechanism(
        "two in doubt are kept apart",
        "roadpass/crash_guard.py",
        "            return NotRun(Reason.KEPT_APART, RETRY_SOON_MS)\n",
        "            return None\n",
        "tests/test_crashed_target.py",
    ),
    Mechanism(
        "nothing is sent to a target that has ended",
        "roadpass/crash_guard.py",
        "return NotRun(Reason.REFUSED, RETRY_SOON_MS) if lasts else None",
        "return None",
        "tests/test_crashed_target.py",
    ),
    Mechanism(
        "a door tells of a request under which targets ended",
        "roadpass/learning.py",
        "            self._quarantine.hear(now, reply.crash)\n",
        "            pass\n",
        "tests/test_quarantined_request.py",
    ),
    Mechanism(
        "ends are told to other nodes",
        "roadpass/gossip.py",
        '            message["crashes"] = crashes\n',
        "            pass\n",
        "tests/test_gossip.py",
    ),
    Mechanism(
        "the clock counts suspension",
        "roadpass/clock.py",
        '"CLOCK_BOOTTIME", time',
        '"CLOCK_NONE", time',
        "tests/test_clock.py",
    ),
    Mechanism(
        "waits for a deadline end soon after a suspension",
        "roadpass/clock.py",
        "STEP_S = 0.5\n",
        "STEP_S = 100.0\n",
        "tests/test_clock.py",
    ),
)

OF_CUSTOMERS = (
    Mechanism(
        "what a caller says of its customer ends at the ingress",
        "roadpass/caller_head.py",
        "names += [dialect.expected_instance, dialect.customer]",
        "names += [dialect.expected_instance]",
        "tests/test_access.py",
    ),
    Mechanism(
        "a key ends at the ingress",
        "roadpass/caller_head.py",
        "        names.append(dialect.authorization)\n",
        "        pass\n",
        "tests/test_access.py",
    ),
    Mechanism(
        "a key is looked at again once a body has come",
        "roadpass/caller_connection.py",
        "if body:  # it may",
        "if False:  # it may",
        "tests/test_access.py",
    ),
    Mechanism(
        "an owner begins with nothing of a burst",
        "roadpass/quota_ledger.py",
        "    level: float = 0.0\n",
        "    level: float = 1e9\n",
        "tests/test_quota.py",
    ),
    Mechanism(
        "an ingress without a word admits its part of a limit only",
        "roadpass/quota_gate.py",
        "if now - demand.unheard_since > UNHEARD_S:",
        "if False:",
        "tests/test_quota.py",
    ),
    Mechanism(
        "a report without a word is repeated",
        "roadpass/quota_gate.py",
        "return age_s >= HOT_REPORT_S and 0.0 <= now",
        "return False and 0.0 <= now",
        "tests/test_quota.py",
    ),
    Mechanism(
        "failures are learnt from in hindsight",
        "roadpass/failure_share.py",
        "self._learn(names, failed=True, weight=1.0 - bad)",
        "self._learn(names, failed=True, weight=1.0)",
        "tests/test_failure_share.py",
    ),
    Mechanism(
        "a failure is a loss to the door",
        "roadpass/door.py",
        "if end in (End.LOST, End.SILENT, End.FAILED) and",
        "if end in (End.LOST, End.SILENT) and",
        "tests/test_door.py",
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
