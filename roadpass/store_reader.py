"""The reader of a source: an actor that follows the source and publishes the fleet built from it.

It reads the source itself when its schedule says so (`reading_turn`). Otherwise it relies on its
peers: each announces by datagram which position of the source it has reached and when that was last
confirmed, and the reader fetches what it lacks from them over a stream.

A request to an unreachable peer takes longer than the interval between datagrams, and a call to an
unavailable source takes seconds. No message may therefore block this actor: two other actors make
the calls to the source (`source_caller`) and to peers (`peer_asker`), one at a time each. The
newest position of each peer is stored outside the message queue, and a peer that did not answer is
skipped for a while. Otherwise the node's own reads would wait behind requests that time out.
"""

import logging
import math
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from roadpass import clock
from roadpass._actor import Actor
from roadpass._ticker import Ticker
from roadpass.audit import AuditTrail, Kind
from roadpass.catalogue import Catalogue, Policy
from roadpass.decision import decided
from roadpass.errors import PlatformError, StreamError
from roadpass.fleet import Fleet
from roadpass.invalid_items import InvalidItemAudit
from roadpass.journal import Journal
from roadpass.monotonic_reads import MonotonicReads
from roadpass.peer_fetcher import PeerFetcher, PeerRequest, PeerResult
from roadpass.peer_pool import Address
from roadpass.peer_positions import PeerPositions
from roadpass.position import START, Position
from roadpass.read_log import (
    log_peer_behind,
    log_peer_failed,
    log_read,
    log_read_superseded,
    log_source_failed,
    logged,
)
from roadpass.read_schedule import FIRST_REPLY_WAIT_S, MIN_WATCH_S, ReaderRank, ReadSchedule
from roadpass.source import (
    Change,
    Changes,
    HistoryLostError,
    PublishedConfig,
    Source,
    TargetEntry,
    TargetPublished,
)
from roadpass.source_fetcher import (
    SOURCE_GRACE_S,
    SourceFetcher,
    SourceRequest,
    SourceResult,
)
from roadpass.source_outage import OutageDetector
from roadpass.source_update import PeerPosition, SourceUpdate

TICK_S = 0.1
"""Seconds between checks whether a read is due."""
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.8
"""Back-off in seconds after a failed call, doubled up to the maximum. It is short, since changes
have to be in force within a bound that also runs while the source is unavailable."""
DEFAULT_BOUND_S = 2.0

_log = logging.getLogger("roadpass.reader")


class Tick(NamedTuple):
    """Sent by the ticker so that the reader does what is due."""


class StoreEvents(NamedTuple):
    """Callbacks of the reader; none of them may block, except `fetch_update`.

    Args:
        on_fleet: Called with each new fleet and the configuration that it was built from.
        on_peers: Called with targets that share their VM with a node, now or a while ago.
        on_confirmed: Called when the source is confirmed to have nothing newer than a position:
            with the position, the time in clock seconds, and whether this node read it itself,
            so that its peers need to be notified.
        fetch_update: Fetches what came after a position from a peer; called by a separate actor.
            May raise `StreamError`.
        reader_rank: Returns this node's place among the readers.
        on_changes: Called with each update before it is in force: as of when its times apply in
            clock seconds, its changes, and the peer that sent it or `source`.
    """

    on_fleet: Callable[[Fleet, PublishedConfig], None]
    on_peers: Callable[[Sequence[TargetEntry]], None]
    on_confirmed: Callable[[Position, float, bool], None]
    fetch_update: Callable[[Address, Position], SourceUpdate]
    reader_rank: Callable[[], ReaderRank]
    on_changes: Callable[[float, Sequence[Change], str], None] = lambda at, changes, origin: None


class StoreReader(Actor):
    """Follows a source, directly or through peers, and owns the state read from it.

    Args:
        source: The source to read.
        catalogue: The current state.
        journal: Recent updates, from which peers are served.
        events: Callbacks.
        audit: The audit trail.
        rng: Source of randomness.
        bound_s: Seconds within which a change in the source must be in force on this node.
    """

    def __init__(
        self,
        source: Source,
        catalogue: Catalogue,
        journal: Journal,
        events: StoreEvents,
        audit: AuditTrail,
        rng: random.Random,
        *,
        bound_s: float = DEFAULT_BOUND_S,
    ) -> None:
        super().__init__()
        self._source = source
        self._catalogue = catalogue
        self._journal = journal
        self._events = events
        self._audit = audit
        self._rng = rng
        self._schedule = ReadSchedule(bound_s, rng.random())
        self._peers = PeerPositions()
        self._reads = MonotonicReads()
        self._outages = OutageDetector()
        self._position: Position | None = None
        self._history_lost_at = START
        self._confirmed_at = -math.inf
        self._pause_until = -math.inf
        self._failures = 0
        self._source_request: SourceRequest | None = None
        self._peer_request: PeerRequest | None = None
        self._behind_since = math.inf
        self._behind_logged_at = START
        self._invalid_items = InvalidItemAudit(audit)
        self._tick_queued = False
        self._ticker = Ticker("reader-tick", TICK_S, self._queue_tick)

    def on_start(self) -> None:
        """Start the actors that make calls, find peers and start the ticker."""
        self._source_fetcher = SourceFetcher.start(self._source, self.actor_ref)
        self._peer_fetcher = PeerFetcher.start(self._events.fetch_update, self.actor_ref)
        self._find_peers()
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop the ticker and the actors that make calls."""
        self._ticker.stop()
        self._source_fetcher.stop(block=False)
        self._peer_fetcher.stop(block=False)

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Tick():
                self._on_tick()
            case SourceResult():
                self._on_source_result(message)
            case PeerResult():
                self._on_peer_result(message)
            case PeerPosition():
                self._on_peer_position(message)
            case Policy():
                self._catalogue.set_policy(message)
                self._publish(True)
            case _:
                _log.error("unknown message %r", message)

    def _queue_tick(self) -> None:
        """Send a tick unless one is still queued; called by the ticker's thread."""
        if not self._tick_queued:
            self._tick_queued = True
            self.actor_ref.tell(Tick())

    def _find_peers(self) -> None:
        """Find nodes by a cheap, possibly stale snapshot; they know what is newest."""
        try:
            changes = self._source.stale_snapshot()
        except PlatformError as error:
            _log.info("no peers found: %s", error)
            return
        if self._report_peers(changes):
            self._pause_until = clock.now() + FIRST_REPLY_WAIT_S

    def _report_peers(self, changes: Changes) -> bool:
        """Report the targets whose VMs run a node; return whether there are any."""
        entries = [c.entry for c in changes.changes if isinstance(c, TargetPublished)]
        if entries:
            self._events.on_peers(entries)
        return bool(entries)

    def _on_tick(self) -> None:
        self._tick_queued = False
        now = clock.now()
        if self._is_due(now):
            self._start_read(now)
        self._catch_up(now)
        self._publish(False)

    def _is_due(self, now: float) -> bool:
        """Return whether a read of the source is due; false while one is in flight."""
        if self._source_request is not None or now < self._pause_until:
            return False
        return self._schedule.is_due(self._events.reader_rank(), now - self._confirmed_at)

    def _on_peer_position(self, peer: PeerPosition) -> None:
        """Process a peer's announced position: fetch what is newer, or take it as confirmation."""
        if peer.position > self._watermark:
            now = clock.now()
            self._behind_since = min(self._behind_since, now)
            self._peers.record(peer)
            self._catch_up(now)
        elif peer.confirmed_at <= self._confirmed_at:
            return
        elif peer.position == self._position:
            self._confirm(peer.confirmed_at, own=False)
        else:
            self._log_behind(peer)

    def _log_behind(self, peer: PeerPosition) -> None:
        """Log the first peer that is behind this node, once per position of this node."""
        if self._position is not None and self._position != self._behind_logged_at:
            self._behind_logged_at = self._position
            log_peer_behind(peer, held=self._position)

    @property
    def _watermark(self) -> Position:
        """The position that an update must exceed.

        After the source has lost its history, what peers read before that is of no use. Only a full
        snapshot, read by this node or by a peer, continues from there.
        """
        return self._history_lost_at if self._position is None else self._position

    def _catch_up(self, now: float) -> None:
        """Fetch what this node lacks from a peer, unless it will soon read that from the source."""
        if self._peer_request is not None or not self._should_ask_peer(now):
            return
        peer = self._peers.best(now, self._watermark)
        if peer is not None:
            self._peer_request = PeerRequest(peer, self._position or START, now)
            self._peer_fetcher.tell(self._peer_request)

    def _should_ask_peer(self, now: float) -> bool:
        """Return whether peers are likely to answer sooner than the source."""
        if self._is_due(now):
            return False
        if self._source_request is None or self._failures:
            return True
        return now - self._behind_since > SOURCE_GRACE_S

    def _on_peer_result(self, response: PeerResult) -> None:
        """Apply a peer's update, unless the source has returned as much in the meantime."""
        self._peer_request = None
        peer = response.request.peer
        match response.result:
            case StreamError() as error:
                self._peers.fetch_failed(peer.vm, response.at)
                log_peer_failed(
                    peer, error, after=self._position, requested_at=response.request.requested_at
                )
            case update:
                self._peers.fetch_succeeded(peer.vm)
                if update.changes.position > self._watermark:
                    self._apply(
                        update.changes,
                        update.confirmed_at,
                        origin=peer.vm,
                        requested_at=response.request.requested_at,
                    )
        self._catch_up(clock.now())

    def _start_read(self, now: float) -> None:
        """Start a call to the source; its result arrives as a message."""
        wait_s = self._schedule.wait_s(now - self._confirmed_at)
        if self._failures:  # an answer at once shows whether the source is available
            wait_s = MIN_WATCH_S
        self._source_request = SourceRequest(
            self._position, 0.0 if self._position is None else wait_s, now
        )
        self._source_fetcher.tell(self._source_request)

    def _on_source_result(self, response: SourceResult) -> None:
        """Apply the result of a call, unless peers have sent more in the meantime."""
        self._source_request = None
        request = response.request
        match response.result:
            case HistoryLostError() as error if request.after == self._position:
                self._record_answer(response.at)
                self._history_lost_at = self._position or self._history_lost_at
                self._position = None
                self._failed(error, request.requested_at)
            case HistoryLostError():
                self._log_superseded(response)
            case PlatformError() as error:
                if request.is_immediate:
                    self._outages.record_failure(request.requested_at)
                self._failed(error, request.requested_at)
            case changes:
                self._succeeded()
                if changes.changes:
                    self._pause_until = clock.now() + self._schedule.pause_s
                if changes.position < (self._position or START):
                    self._log_superseded(response)
                else:
                    self._apply(changes, response.at, origin="", requested_at=request.requested_at)

    def _log_superseded(self, response: SourceResult) -> None:
        log_read_superseded(
            response.result,
            asked_after=response.request.after,
            after=self._position,
            requested_at=response.request.requested_at,
        )

    def _apply(self, changes: Changes, at: float, *, origin: str, requested_at: float) -> None:
        """Apply an update of the source or of a peer; an empty `origin` is the source."""
        self._record_answer(at)
        confirmed_at = self._confirmed_at
        config = self._catalogue.config
        log_read(
            changes,
            told_by=origin,
            after=self._position,
            config_held=config.version if config else None,
            update_confirmed_at=at,
            confirmed_at=confirmed_at,
            requested_at=requested_at,
        )
        self._position = changes.position
        self._behind_since = math.inf
        changes = self._reads.apply(changes)
        self._journal.record(changes, at)
        self._report_peers(changes)
        as_of = requested_at if origin else clock.now()
        self._events.on_changes(as_of, changes.changes, origin or "source")
        changed, invalid = self._catalogue.apply(clock.now(), changes, confirmed_at=confirmed_at)
        self._invalid_items.report(changes.changes, invalid, full=changes.full and not origin)
        self._publish(changed, origin)
        self._confirm(at, own=not origin)

    def _record_answer(self, at: float) -> None:
        """Record that the source answered this node or a peer, and find out whether it was away."""
        call = self._source_request
        if call is not None and call.is_overdue(clock.now()):
            self._outages.record_failure(call.requested_at)
        if self._outages.record_answer(at):
            self._catalogue.mark_source_unavailable(at)
            decided("reader", "outage-ended", away_s=round(at - self._confirmed_at, 3))

    def _confirm(self, at: float, *, own: bool) -> None:
        """Record that the source had nothing newer at a given time, and report it."""
        self._record_answer(at)
        if self._position is None:
            return
        self._confirmed_at = max(self._confirmed_at, at)
        self._journal.confirm(at)
        self._events.on_confirmed(self._position, self._confirmed_at, own)

    def _failed(self, error: PlatformError, requested_at: float) -> None:
        self._failures += 1
        if self._failures == 1:
            self._audit.record(Kind.PLATFORM, "store", f"cannot be read: {error}")
        log_source_failed(
            error,
            failures=self._failures,
            after=self._position,
            confirmed_at=self._confirmed_at,
            requested_at=requested_at,
        )
        pause = min(RETRY_MAX_S, RETRY_MIN_S * 2.0 ** min(8, self._failures - 1))
        self._pause_until = clock.now() + pause * self._rng.uniform(0.7, 1.3)

    def _succeeded(self) -> None:
        if self._failures:
            evidence = f"can be read again after {self._failures} failures"
            self._audit.record(Kind.PLATFORM, "store", evidence)
        self._failures = 0

    def _publish(self, changed: bool, origin: str = "") -> None:
        """Publish the fleet if it changed, which includes the expiry of withdrawn targets."""
        changed |= self._catalogue.expire(clock.now())
        config = self._catalogue.config
        if not changed or config is None:
            return
        fleet = self._catalogue.fleet()
        self._events.on_fleet(fleet, config)
        decided(
            "reader",
            "fleet-in-force",
            revision=fleet.revision,
            **logged(self._position, "store_revision"),
            told_by=origin or "store",
            before_s=round(clock.now() - self._confirmed_at, 3),
            targets=len(fleet.targets),
            leaving=sum(target.leaving for target in fleet.targets.values()),
            routes=len(fleet.routes),
        )
