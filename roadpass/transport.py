"""Carries attempts from an ingress to the sidecar of their target and determines the outcome."""

import logging
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from roadpass import clock
from roadpass._generated.message_types import Fence, FenceKey, Keep, Recall
from roadpass.body_source import BodyBrokenError
from roadpass.body_stream import CallerBody, send_body, with_body
from roadpass.decision import decided
from roadpass.errors import ConnectError, ReplyTimeoutError, StreamError
from roadpass.fence import Verdict
from roadpass.fleet import Target
from roadpass.message import AdmissionCheck, Attempt, Message, Reply
from roadpass.metric import Metrics
from roadpass.outcome import RETRY_SOON_MS, NotRun, Outcome, Reason, Unknown
from roadpass.peer_pool import Address, PeerPool
from roadpass.request import CallerWatch
from roadpass.sidecar import Sidecar
from roadpass.stream import CallerDisconnectedError, Stream
from roadpass.view import View

FENCE_S = 0.1
"""Seconds reserved before a request's deadline to fence an attempt that got no reply."""
REPLY_GRACE_S = 0.02
"""Extra seconds to wait for a reply that the sidecar sends at its own deadline."""
REPLY_READ_GRACE_S = 0.3
"""Seconds that a reply may take from its first byte to its last after the timeout has passed. A
finished answer is still delivered, and the route's timeout is exceeded by less than 0.5 s."""
RECALL_TIMEOUT_S = 0.25
"""Timeout of a recall request: it takes 3 ms, and about ten times as long on busy nodes."""
CONNECT_TIMEOUT_S = 0.12
"""Connect timeout: many times the connect time within a region, but far below the 1 s until a lost
SYN is retransmitted, so that another target can be tried instead."""
CHECK_TIMEOUT_S = 0.09
"""Timeout of an admission check: many times the round trip within a region, so a longer delay means
a network partition or a lost packet."""
LAST_RESORT_TIMEOUT_S = 0.6
"""Timeout for connecting and for the admission check when no other target is left. It allows for
recovery from two lost packets."""

_log = logging.getLogger("roadpass.transport")


class _Refusal(NamedTuple):
    """Why no stream could be opened for an attempt.

    Args:
        reply: Reply to return to the ingress.
        byte_count: Bytes transferred by the admission check.
        no_reply: Whether the connection was established but the check got no reply.
    """

    reply: Reply
    byte_count: int = 0
    no_reply: bool = False


@dataclass(slots=True)
class _PendingAttempt:
    """An attempt whose reply is still outstanding.

    Args:
        stream: Stream that will carry the reply.
        recall_answered: Whether the sidecar has answered a recall of the attempt.
        never_starts: Whether that answer guarantees that the attempt never starts.
        is_abandoned: Whether the stream was shut down while the reply was outstanding.
        is_extended: Whether the sidecar has confirmed that the attempt runs until its deadline.
    """

    stream: Stream
    recall_answered: bool = False
    never_starts: bool = False
    is_abandoned: bool = False
    is_extended: bool = False


class Transport:
    """Sends attempts to sidecars; shared by the threads of all callers.

    Args:
        view: Addresses of the nodes.
        sidecar: The sidecar of this VM, which is called directly.
        peers: Streams to the other sidecars.
        metrics: Counts traffic to and from other data halls; `None` to discard the counts.
    """

    def __init__(
        self, view: View, sidecar: Sidecar, peers: PeerPool, *, metrics: Metrics | None = None
    ) -> None:
        self._metrics = metrics or Metrics()
        self._view = view
        self._sidecar = sidecar
        self._peers = peers
        self._pending_attempts: dict[str, _PendingAttempt] = {}
        self._lock = threading.Lock()

    def send(self, target: Target, attempt: Attempt, watch: CallerWatch | None) -> Reply:
        """Send one attempt and return its outcome; failures are reported in the reply, not raised.

        Args:
            target: Target that runs the attempt.
            attempt: The attempt to send.
            watch: Reports when the caller has disconnected.
        """
        body = watch if isinstance(watch, CallerBody) else None
        if body is not None:
            attempt = with_body(attempt, body)
        if target.vm == self._view.vm:
            reply = self._sidecar.run(attempt, watch=watch)
            if body is not None and body.passed_on:
                self._log_upload(attempt, target, takes_parts=True)
            return reply
        address = self._address(target.vm)
        if address is None:
            return Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))
        started = clock.now()
        far = self._view.tier(target) > 0
        opened = self._open(address, attempt)
        self._count("question", opened.byte_count, far=far)
        if isinstance(opened, _Refusal):
            return opened.reply
        if clock.now() >= self._view.shutdown.last_start(attempt.usual_ms):  # the check was slow
            self._peers.release(address, opened)
            return Reply(NotRun(Reason.LEAVING, RETRY_SOON_MS))
        check_bytes = opened.byte_count
        self._log_upload(attempt, target, takes_parts=opened.takes_parts)
        if body is not None and attempt.body_follows and not opened.takes_parts:
            try:
                until = started + attempt.remaining_ms / 1000.0
                body.read_whole(min(until, self._view.shutdown.last_start(attempt.usual_ms)))
            except BodyBrokenError:
                opened.close()
                return Reply(NotRun(Reason.CANCELLED, RETRY_SOON_MS))
            attempt = with_body(attempt, body)
        spent_ms = (clock.now() - started) * 1000.0
        attempt = attempt._replace(remaining_ms=attempt.remaining_ms - spent_ms)
        reply = self._exchange(opened, address, attempt, watch)
        self._count("attempt", opened.byte_count - check_bytes, far=far)
        return reply

    def _log_upload(self, attempt: Attempt, target: Target, *, takes_parts: bool) -> None:
        """Log and count how the body of an upload is sent, if it is not kept whole already."""
        if attempt.body_follows:
            self._metrics.count("uploads_streamed" if takes_parts else "uploads_sent_whole")
            decided(
                "upload",
                "streamed" if takes_parts else "sent-whole",
                request=attempt.request_id,
                attempt=attempt.id,
                target=target.name,
                length=attempt.body_length,
            )

    def _count(self, kind: str, byte_count: int, *, far: bool) -> None:
        """Count a message and its bytes in both directions if it went to another data hall."""
        if far:
            self._metrics.count(f"far_{kind}s")
            self._metrics.count(f"far_{kind}_bytes", byte_count)

    def keep(self, vm: str, deadlines: Mapping[str, float]) -> None:
        """Let attempts that run at a VM continue until their deadlines, in clock seconds."""
        if vm == self._view.vm:
            self._sidecar.keep(deadlines)
            return
        extended: dict[str, float] = {}
        with self._lock:
            for attempt_id, until in deadlines.items():
                pending = self._pending_attempts.get(attempt_id)
                if pending is not None and not pending.is_extended:
                    pending.stream.extended_deadline = until + REPLY_GRACE_S
                    extended[attempt_id] = until
        address = self._address(vm)
        if address is not None and extended:
            self._in_thread(self._keep, address, extended)

    def _keep(self, address: Address, extended: Mapping[str, float]) -> None:
        now = clock.now()
        left_ms = [(until - now) * 1000.0 for until in extended.values()]
        message: Keep = {"t": "keep", "ids": list(extended), "left_ms": left_ms}
        try:
            response = self._peers.exchange(address, message, timeout_s=RECALL_TIMEOUT_S)
        except StreamError as error:
            _log.info("peer %s did not extend %d attempts: %s", address, len(extended), error)
            return
        for attempt_id in response.get("ids", ()):
            pending = self._pending_attempts.get(attempt_id)
            if pending is not None:
                pending.is_extended = True

    @staticmethod
    def _in_thread(action: Callable[..., None], address: Address, argument: object) -> None:
        """Call a function that queries a peer in a new thread."""
        thread = threading.Thread(target=action, args=(address, argument), daemon=True)
        try:
            thread.start()
        except RuntimeError as error:  # out of threads; the query is repeated later
            _log.warning("no thread to query peer %s about attempts: %s", address, error)

    def recall(self, vm: str, attempt_ids: list[str]) -> None:
        """Ask a VM's sidecar not to start attempts, and stop waiting for those that will not run.

        A reply that an attempt never starts is proof, regardless of the attempt's own reply. For an
        attempt that has started, the reply is awaited until the end. Without an answer to the
        recall in time, the caller is told that the attempt may have run.
        """
        unanswered = [name for name in attempt_ids if self._awaits_recall(name)]
        if clock.now() >= self._view.shutdown.peer_requests_until:
            self._abandon(unanswered)
        address = self._address(vm)
        if address is None or not unanswered:
            return
        self._in_thread(self._recall, address, unanswered)

    def _awaits_recall(self, attempt_id: str) -> bool:
        pending = self._pending_attempts.get(attempt_id)
        return pending is None or not pending.recall_answered

    def _abandon(self, attempt_ids: list[str]) -> None:
        """Stop waiting for the replies to attempts by shutting down their streams."""
        with self._lock:
            for attempt_id in attempt_ids:
                pending = self._pending_attempts.get(attempt_id)
                if pending is not None:
                    pending.is_abandoned = True
                    pending.stream.shutdown()

    def _recall(self, address: Address, asked: list[str]) -> None:
        message: Recall = {"t": "recall", "ids": asked}
        try:
            response = self._peers.exchange(address, message, timeout_s=RECALL_TIMEOUT_S)
        except StreamError as error:
            _log.info("peer %s did not recall %d attempts: %s", address, len(asked), error)
            return
        never_start = [
            name for name in response.get("ids", ()) if self._is_same_process(response, name)
        ]
        decided("transport", "recalled", asked=len(asked), never_start=len(never_start))
        for attempt_id in asked:
            pending = self._pending_attempts.get(attempt_id)
            if pending is not None and self._is_same_process(response, attempt_id):
                pending.never_starts = attempt_id in never_start
                pending.recall_answered = True
        self._abandon(never_start)

    def _is_same_process(self, response: Message, attempt_id: str) -> bool:
        """Return whether a response comes from the process that received the attempt."""
        pending = self._pending_attempts.get(attempt_id)
        return pending is None or pending.stream.peer_incarnation == response.get("incarnation")

    def fence_key(self, vm: str, key: str, token: str, timeout_s: float) -> Verdict:
        """Ask a VM's sidecar to guarantee that only the attempt `token` may start with a key.

        A peer that does not answer counts as `CANNOT_VOUCH`.
        """
        if vm == self._view.vm:
            return self._sidecar.fence_key(key, token)
        address = self._address(vm)
        if address is None:
            return Verdict.CANNOT_VOUCH
        message: FenceKey = {"t": "fence_key", "key": key, "id": token}
        try:
            response = self._peers.exchange(address, message, timeout_s=timeout_s)
            return Verdict(response.get("verdict", Verdict.CANNOT_VOUCH))
        except (StreamError, ValueError):
            return Verdict.CANNOT_VOUCH

    def _open(self, address: Address, attempt: Attempt) -> "Stream | _Refusal":
        """Return a stream on which the sidecar has just accepted the attempt, or a refusal.

        Nothing of the attempt has been sent yet: a broken path, even in one direction only, costs
        one short timeout, and the request can still go to another target. A connection may hang
        for good while new ones work, so a timeout on a reused connection proves no partition:
        the check is repeated on a new one.
        """
        opened, reused = self._try_open(address, attempt)
        if not (reused and isinstance(opened, _Refusal) and opened.no_reply):
            return opened
        self._peers.drop(address)
        return self._try_open(address, attempt)[0]

    def _try_open(self, address: Address, attempt: Attempt) -> "tuple[Stream | _Refusal, bool]":
        """Open a stream and run the admission check; also return whether the stream was reused."""
        left_s = min(
            attempt.remaining_ms / 1000.0, self._view.shutdown.peer_requests_until - clock.now()
        )  # an unresponsive peer must not hold the request until this node has shut down
        connect_s = min(LAST_RESORT_TIMEOUT_S if attempt.pressing else CONNECT_TIMEOUT_S, left_s)
        check_s = min(LAST_RESORT_TIMEOUT_S if attempt.pressing else CHECK_TIMEOUT_S, left_s)
        try:
            stream = self._peers.acquire(address, timeout_s=connect_s)
        except ConnectError:
            return _Refusal(Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))), False
        reused = stream.idle_since > 0.0
        stream.byte_count = 0
        try:
            stream.send(AdmissionCheck.of(attempt).to_message(), timeout_s=check_s)
            response = stream.receive(check_s).message
            if response["t"] == "accepted":
                stream.takes_parts = response.get("takes_parts", False)
                return stream, reused
            refusal = Reply.from_message(response)
        except StreamError:
            stream.close()
            unreachable = Reply(NotRun(Reason.UNREACHABLE, RETRY_SOON_MS))
            return _Refusal(unreachable, stream.byte_count, no_reply=True), reused
        self._peers.release(address, stream)
        return _Refusal(refusal, stream.byte_count), reused

    def _exchange(
        self, stream: Stream, address: Address, attempt: Attempt, watch: CallerWatch | None
    ) -> Reply:
        wait_s = attempt.remaining_ms / 1000.0 + REPLY_GRACE_S
        until = clock.now() + wait_s
        pending = self._pending_attempts[attempt.id] = _PendingAttempt(stream)
        try:
            stream.send(attempt.to_message(), timeout_s=wait_s)
            whole = not attempt.body_follows
            message = self._receive(stream, until, watch)
            if isinstance(watch, CallerBody) and message["t"] == "accepted":
                whole = send_body(stream, watch, until)
                message = self._receive(stream, until, watch)
            reply = Reply.from_message(message)
        except StreamError as error:
            stream.close()
            if pending.never_starts:
                return Reply(NotRun(Reason.LEAVING, RETRY_SOON_MS))
            return Reply(self._outcome_after_loss(address, attempt, stream.peer_incarnation, error))
        finally:
            with self._lock:  # after this the stream is not shut down: the pool may reuse it
                del self._pending_attempts[attempt.id]
                stream.extended_deadline = 0.0
        if pending.is_abandoned or not whole:
            stream.close()
        else:
            self._peers.release(address, stream)
        return reply

    @staticmethod
    def _receive(stream: Stream, until: float, watch: CallerWatch | None) -> Message:
        """Wait for a message about an attempt until a moment in clock seconds."""
        left_s = max(0.0, until - clock.now())
        return stream.receive(left_s, caller=watch, frame_timeout_s=REPLY_READ_GRACE_S).message

    def _outcome_after_loss(
        self, address: Address, attempt: Attempt, incarnation: int, error: StreamError
    ) -> Outcome:
        """Determine the outcome of an attempt without a reply by fencing it at its sidecar."""
        match error:
            case CallerDisconnectedError():
                reason = Reason.CANCELLED
            case ReplyTimeoutError():
                reason = Reason.TIMEOUT
            case _:
                reason = Reason.STREAM_LOST
        if attempt.repeatable and reason is not Reason.CANCELLED:
            return Unknown(reason)
        message: Fence = {"t": "fence", "id": attempt.id}
        try:
            response = self._peers.exchange(address, message, timeout_s=FENCE_S)
        except StreamError:
            return Unknown(reason)
        is_fenced = response["t"] == "fenced" and response["verdict"] == Verdict.NEVER_STARTS.value
        if is_fenced and response["incarnation"] == incarnation:
            why = Reason.CANCELLED if reason is Reason.CANCELLED else Reason.FENCED
            return NotRun(why, RETRY_SOON_MS)
        return Unknown(reason)

    def _address(self, vm: str) -> Address | None:
        node = self._view.nodes.get(vm)
        return (node.address, node.stream_port) if node is not None else None
