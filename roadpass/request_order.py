"""Order of an ingress's requests: the parents of calls, and the shares of customers."""

from collections.abc import Iterator
from contextlib import contextmanager

from roadpass import clock
from roadpass.call_records import CallRecords
from roadpass.fair_share import ShareKey
from roadpass.message import Attempt
from roadpass.metric import Metrics
from roadpass.outcome import Outcome
from roadpass.parent_requests import ParentRequests
from roadpass.request import Request
from roadpass.request_state import RequestState
from roadpass.share_exchange import FairShares
from roadpass.standing import ABOVE_SHARE, CALL, FRESH


class RequestOrder:
    """Decides on the standing of requests, and follows them to their end; thread-safe.

    Args:
        parents: The requests that run at the targets of this VM.
        shares: Shares of the customers at this node.
        metrics: Counts calls, and requests above their customer's share.
    """

    def __init__(self, parents: ParentRequests, shares: FairShares, metrics: Metrics) -> None:
        self._calls = CallRecords(parents, metrics)
        self._shares = shares
        self._metrics = metrics

    def with_parent(self, now: float, request: Request) -> Request:
        """Return a request with its parent, if it is a call."""
        return self._calls.with_parent(now, request)

    def begin(self, state: RequestState, *, fair_shares: bool) -> None:
        """Decide on the standing of a request that begins.

        Args:
            state: State of the request.
            fair_shares: Whether customers have shares.
        """
        parent = state.request.parent
        call = parent is not None
        state.standing = CALL if call else FRESH
        if self._calls.enabled:
            state.parent_repeat = parent is not None and parent.repeat
        if not fair_shares:
            return
        key = ShareKey(state.service.name, state.traffic_class)
        state.share = self._shares.enter(clock.now(), key, state.request.shared_by, call=call)
        state.standing = state.share.standing
        if state.standing == ABOVE_SHARE:
            self._metrics.count("above_share_requests")

    @contextmanager
    def attempting(self, state: RequestState, attempt: Attempt) -> Iterator[None]:
        """Count a request as running during an attempt that does not wait for a slot."""
        self._set_running(state, running=not attempt.may_wait)
        try:
            yield
        finally:
            self._set_running(state, running=False)

    def end(self, state: RequestState, outcome: Outcome) -> None:
        """Record the end of a request."""
        now = clock.now()
        if state.share is not None:
            self._shares.leave(now, state.share)
        self._calls.record_end(
            now,
            state.request,
            state.service.name,
            outcome,
            state.started,
            latest_start=state.deadline - state.typical_ms / 1000.0,
        )

    def _set_running(self, state: RequestState, *, running: bool) -> None:
        if state.share is not None:
            self._shares.set_running(clock.now(), state.share, running=running)
