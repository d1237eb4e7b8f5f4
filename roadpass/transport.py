"""One attempt's way from an ingress to the sidecar of its target, and what became of it."""

import logging
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from roadpass import clock
from roadpass._generated.message_types import Fence, FenceKey, Keep, Recall
from roadpass.decision import decided
from roadpass.errors import ConnectError, ReplyTimeoutError, StreamError
from roadpass.fence import Verdict
from roadpass.fleet import Target
from roadpass.message import AdmissionCheck, Attempt, Message, Reply
from roadpass.metric import Metrics
from roadpass.outcome import RETRY_SOON_MS, NotRun, Outcome, Reason, Unknown
from roadpass.peer import Address, PeerPool
from roadpass.request import CallerWatch
from roadpass.sidecar import Sidecar
from roadpass.stream import CallerGoneError, Stream
from roadpass.view import View

FENCE_S = 0.1
"""Seconds kept at the end of a request's deadline to fence an attempt without an answer."""
REPLY_GRACE_S = 0.02
"""Seconds that the sidecar's answer at its own deadline is awaited longer."""
REPLY_REST_S = 0.3
"""Seconds from its first byte to its last that a reply may take although its time is over: a ready
answer is delivered, and its route's time is passed by less than half a second."""
RECALL_S = 0.25
"""Seconds to a word on attempts that are asked back: busy nodes take some ten times 3 ms."""
CONNECT_TIMEOUT_S = 0.12
"""Seconds to connect: many times what it takes within a region, and far less than the second that
a lost first packet costs, in which another target can be asked."""
CHECK_S = 0.09
"""Seconds to a word: many times the way there and back within a region, so silence for longer tells
of a cut or a loss."""
PRESSING_S = 0.6
"""Seconds to a connection or a word where no other target is left: two losses are mended then."""

_log = logging.getLogger("roadpass.transport")


class _Refusal(NamedTuple):
    """Why there is no stream for an attempt.

    Args:
        reply: What the ingress is told.
        carried: Bytes that asking took.
        silent: Whether a stream was there, and no word came over it.
    """

    reply: Reply
    carried: int = 0
    silent: bool = False


@dataclass(slots=True)
class _Waiting:
    """An attempt whose reply is awaited.

    Args:
        stream: On which.
        is_spoken_for: Whether its sidecar has said a word when it was asked back.
        never_starts: Whether that was the promise that it never starts.
        is_given_up: Whether the stream was ended under the wait.
        is_kept: Whether its sidecar has said that it runs, and has all its time.
    """

    stream: Stream
    is_spoken_for: bool = False
    never_starts: bool = False
    is_given_up: bool = False
    is_kept: bool = False


class Transport:
    """Carries attempts; used by the threads of all callers at once.

    Args:
        view: Where the nodes are.
        sidecar: This VM's own.
        peers: Streams to the other sidecars.
        metrics: Counts bytes to and from other data halls, `None` for not at all.
    """

    def __init__(
        self, view: View, sidecar: Sidecar, peers: PeerPool, *, metrics: Metrics | None = None
    ) -> None:
        self._metrics = metrics or Metrics()
        self._view = view
        self._sidecar = sidecar
        self._peers = peers
        self._waiting: dict[str, _Waiting] = {}
        self._lock = threading.Lock()

    def send(self, target: Target, attempt: Attempt, watch: CallerWatch | None) -> Reply:
        """See one attempt to its end; whatever fails, the reply says what is known.

        Args:
            target: Where it goes.
            attempt: What is sent.
            watch: Tells when the caller has left.
        """
        if target.vm == self._view.vm:
            return self._sidecar.run(attempt, watch=watch)
        address = self._address(target.vm)
        if address is None:
            return Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))
        started = clock.now()
        far = self._view.tier(target) > 0
        opened = self._open(address, attempt)
        self._count("question", opened.carried, far=far)
        if isinstance(opened, _Refusal):
            return opened.reply
        if clock.now() >= self._view.ending.last_start(attempt.usual_ms):  # the word took long
            self._peers.release(address, opened)
            return Reply(NotRun(Reason.LEAVING, RETRY_SOON_MS))
        asked = opened.carried
        spent_ms = (clock.now() - started) * 1000.0
        attempt = attempt._replace(remaining_ms=attempt.remaining_ms - spent_ms)
        reply = self._exchange(opened, address, attempt, watch)
        self._count("attempt", opened.carried - asked, far=far)
        return reply

    def _count(self, kind: str, carried: int, *, far: bool) -> None:
        """Count what a message of a kind carried to another data hall and back."""
        if far:
            self._metrics.count(f"far_{kind}s")
            self._metrics.count(f"far_{kind}_bytes", carried)

    def keep(self, vm: str, deadlines: Mapping[str, float]) -> None:
        """Have attempts that run at a VM take until a moment each, in clock seconds."""
        if vm == self._view.vm:
            self._sidecar.keep(deadlines)
            return
        asked: dict[str, float] = {}
        with self._lock:
            for attempt_id, until in deadlines.items():
                waiting = self._waiting.get(attempt_id)
                if waiting is not None and not waiting.is_kept:
                    waiting.stream.kept_until = until + REPLY_GRACE_S
                    asked[attempt_id] = until
        address = self._address(vm)
        if address is not None and asked:
            self._in_thread(self._keep, address, asked)

    def _keep(self, address: Address, asked: Mapping[str, float]) -> None:
        now = clock.now()
        left_ms = [(until - now) * 1000.0 for until in asked.values()]
        message: Keep = {"t": "keep", "ids": list(asked), "left_ms": left_ms}
        try:
            word = self._peers.exchange(address, message, timeout_s=RECALL_S)
        except StreamError as error:
            _log.info("nobody at %s keeps %d attempts: %s", address, len(asked), error)
            return
        for attempt_id in word.get("ids", ()):
            waiting = self._waiting.get(attempt_id)
            if waiting is not None:
                waiting.is_kept = True

    @staticmethod
    def _in_thread(action: Callable[..., None], address: Address, asked: object) -> None:
        """Ask a peer something in a thread of its own."""
        thread = threading.Thread(target=action, args=(address, asked), daemon=True)
        try:
            thread.start()
        except RuntimeError as error:  # the machine has no thread left; it is asked again
            _log.warning("%s is not asked about attempts: %s", address, error)

    def recall(self, vm: str, attempt_ids: list[str]) -> None:
        """Ask a VM's sidecar not to start attempts; what is waited for in vain is given up.

        The word on an attempt that never starts is proof, whatever becomes of its own reply. Of one
        that has started the reply is awaited to the end; where nothing was heard in time, its
        caller is told that it may have run.
        """
        unheard = [name for name in attempt_ids if self._is_unheard(name)]
        if clock.now() >= self._view.ending.asks_until:
            self._give_up(unheard)
        address = self._address(vm)
        if address is None or not unheard:
            return
        self._in_thread(self._recall, address, unheard)

    def _is_unheard(self, attempt_id: str) -> bool:
        waiting = self._waiting.get(attempt_id)
        return waiting is None or not waiting.is_spoken_for

    def _give_up(self, attempt_ids: list[str]) -> None:
        """End the wait for the replies to attempts."""
        with self._lock:
            for attempt_id in attempt_ids:
                waiting = self._waiting.get(attempt_id)
                if waiting is not None:
                    waiting.is_given_up = True
                    waiting.stream.shutdown()

    def _recall(self, address: Address, asked: list[str]) -> None:
        message: Recall = {"t": "recall", "ids": asked}
        try:
            word = self._peers.exchange(address, message, timeout_s=RECALL_S)
        except StreamError as error:
            _log.info("nobody at %s takes %d attempts back: %s", address, len(asked), error)
            return
        never_start = [name for name in word.get("ids", ()) if self._vouches(word, name)]
        decided("transport", "recalled", asked=len(asked), never_start=len(never_start))
        for attempt_id in asked:
            waiting = self._waiting.get(attempt_id)
            if waiting is not None and self._vouches(word, attempt_id):
                waiting.never_starts = attempt_id in never_start
                waiting.is_spoken_for = True
        self._give_up(never_start)

    def _vouches(self, word: Message, attempt_id: str) -> bool:
        """Tell whether a word is that of the process that was given an attempt."""
        waiting = self._waiting.get(attempt_id)
        return waiting is None or waiting.stream.peer_incarnation == word.get("incarnation")

    def fence_key(self, vm: str, key: str, token: str, timeout_s: float) -> Verdict:
        """Have a VM's sidecar promise that only the attempt `token` may start with a key."""
        if vm == self._view.vm:
            return self._sidecar.fence_key(key, token)
        address = self._address(vm)
        if address is None:
            return Verdict.CANNOT_VOUCH
        message: FenceKey = {"t": "fence_key", "key": key, "id": token}
        try:
            word = self._peers.exchange(address, message, timeout_s=timeout_s)
            return Verdict(word.get("verdict", Verdict.CANNOT_VOUCH))
        except (StreamError, ValueError):
            return Verdict.CANNOT_VOUCH

    def _open(self, address: Address, attempt: Attempt) -> "Stream | _Refusal":
        """Return a stream on which the sidecar has just agreed, or why there is none.

        Until here nothing of the attempt was sent: a way that is cut, be it in one direction,
        costs a moment, and the request is free to go elsewhere. A connection may fall silent for
        good while new ones work: silence on one that was used before proves no cut.
        """
        opened, reused = self._try_open(address, attempt)
        if not (reused and isinstance(opened, _Refusal) and opened.silent):
            return opened
        self._peers.drop(address)
        return self._try_open(address, attempt)[0]

    def _try_open(self, address: Address, attempt: Attempt) -> "tuple[Stream | _Refusal, bool]":
        """Open one stream, and tell whether it was used before."""
        left_s = min(
            attempt.remaining_ms / 1000.0, self._view.ending.asks_until - clock.now()
        )  # a peer that is silent must not hold the request until this node has ended
        connect_s = min(PRESSING_S if attempt.pressing else CONNECT_TIMEOUT_S, left_s)
        check_s = min(PRESSING_S if attempt.pressing else CHECK_S, left_s)
        try:
            stream = self._peers.acquire(address, timeout_s=connect_s)
        except ConnectError:
            return _Refusal(Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))), False
        reused = stream.idle_since > 0.0
        stream.carried = 0
        try:
            stream.send(AdmissionCheck.of(attempt).to_message(), timeout_s=check_s)
            word = stream.receive(check_s).message
            if word["t"] == "accepted":
                return stream, reused
            refusal = Reply.from_message(word)
        except StreamError:
            stream.close()
            unreachable = Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))
            return _Refusal(unreachable, stream.carried, silent=True), reused
        self._peers.release(address, stream)
        return _Refusal(refusal, stream.carried), reused

    def _exchange(
        self, stream: Stream, address: Address, attempt: Attempt, watch: CallerWatch | None
    ) -> Reply:
        wait_s = attempt.remaining_ms / 1000.0 + REPLY_GRACE_S
        until = clock.now() + wait_s
        waiting = self._waiting[attempt.id] = _Waiting(stream)
        try:
            stream.send(attempt.to_message(), timeout_s=wait_s)
            left_s = max(0.0, until - clock.now())
            received = stream.receive(left_s, caller=watch, frame_timeout_s=REPLY_REST_S)
            reply = Reply.from_message(received.message)
        except StreamError as error:
            stream.close()
            if waiting.never_starts:
                return Reply(NotRun(Reason.LEAVING, RETRY_SOON_MS))
            return Reply(self._after_loss(address, attempt, stream.peer_incarnation, error))
        finally:
            with self._lock:  # from here on nobody ends the stream, which may be lent again
                del self._waiting[attempt.id]
                stream.kept_until = 0.0
        if waiting.is_given_up:
            stream.close()
        else:
            self._peers.release(address, stream)
        return reply

    def _after_loss(
        self, address: Address, attempt: Attempt, incarnation: int, error: StreamError
    ) -> Outcome:
        """Find out what became of an attempt without a reply: the sidecar's word or unknown."""
        match error:
            case CallerGoneError():
                reason = Reason.CANCELLED
            case ReplyTimeoutError():
                reason = Reason.TIMEOUT
            case _:
                reason = Reason.STREAM_LOST
        if attempt.repeatable and reason is not Reason.CANCELLED:
            return Unknown(reason)
        message: Fence = {"t": "fence", "id": attempt.id}
        try:
            word = self._peers.exchange(address, message, timeout_s=FENCE_S)
        except StreamError:
            return Unknown(reason)
        vouched = word["t"] == "fenced" and word["verdict"] == Verdict.NEVER_STARTS.value
        if vouched and word["incarnation"] == incarnation:
            why = Reason.CANCELLED if reason is Reason.CANCELLED else Reason.FENCED
            return NotRun(why, RETRY_SOON_MS)
        return Unknown(reason)

    def _address(self, vm: str) -> Address | None:
        node = self._view.nodes.get(vm)
        return (node.address, node.stream_port) if node is not None else None
