"""Routes events between the components of a node."""

import logging
import threading
from collections.abc import Sequence
from typing import Any

import pykka

from roadpass import clock
from roadpass.audit import AuditTrail, Kind
from roadpass.capacity_messages import CapacityMessage
from roadpass.configuration import RevisionOffer, Store
from roadpass.errors import StreamError
from roadpass.failure_detector import Scores
from roadpass.fleet import Fleet
from roadpass.gossip_messages import (
    Confirmed,
    CrashUpdate,
    InForce,
    NoticeUpdate,
    PlatformSeen,
    PublishHint,
    Seed,
)
from roadpass.journal import Journal
from roadpass.manifest import VmEntry
from roadpass.member_records import listed_members, members_from_targets
from roadpass.message import Message
from roadpass.monitor import FleetChanged, HintReceived
from roadpass.patch import build_revision_reply
from roadpass.peer_pool import Address
from roadpass.position import Position
from roadpass.quota_coordinator import QuotaMessage
from roadpass.read_schedule import ReaderRank
from roadpass.reader import VersionAnnounced, choose_readers
from roadpass.repeat_loans import LoanMessage
from roadpass.revision import Version
from roadpass.settings import Settings
from roadpass.sidecar import Sidecar
from roadpass.source import PublishedConfig, TargetEntry
from roadpass.source_update import PeerPosition
from roadpass.view import PeerNode, View

_log = logging.getLogger("roadpass.node")


class EventRouter:
    """The callbacks between the components of a node; called from the threads of all of them.

    Every component needs its callbacks when it is started, so components refer to each other only
    through this class. The code that starts them sets them as attributes here, before anything can
    trigger a callback that uses them.

    Args:
        settings: Settings at the start of the node; later changes are not seen here.
        view: Routing data of the ingress.
        store: The configuration that this node holds.
        journal: Updates read from the source.
        audit: Audit trail; records when the node becomes ready.

    Attributes:
        sidecar: Configured with each fleet.
        configuration: Actor that accepts revisions.
        gossip: Actor that exchanges datagrams with the other nodes.
        monitor: Actor that judges the health of targets.
        puller: Actor that fetches revisions from peers.
        quota_coordinator: Actor that exchanges quota reports and allowances.
        repeat_coordinator: Actor that exchanges loans of repeats.
        store_reader: Actor that reads the source; only with a store.
        readers: VMs of the local data hall that read the platform.
        reader_rank: Rank of this node among those that read the source.
    """

    sidecar: Sidecar
    configuration: Any
    gossip: Any
    monitor: Any
    puller: Any
    quota_coordinator: Any
    repeat_coordinator: Any
    store_reader: Any

    def __init__(
        self,
        settings: Settings,
        view: View,
        store: Store,
        journal: Journal,
        audit: AuditTrail,
    ) -> None:
        self._settings = settings
        self._view = view
        self._store = store
        self._journal = journal
        self._audit = audit
        self.readers: list[str] = []
        self.reader_rank = ReaderRank()
        self._order_lock = threading.Lock()
        view.sizes.on_change = self._update_reader_order

    def on_fleet(self, fleet: Fleet) -> None:
        """Put a new fleet configuration in force."""
        self._view.fleet = fleet
        self._view.sizes.enabled = fleet.sharing.vm_sizes
        self._view.warm_ups.enable(clock.now(), fleet.sharing.warm_up)
        self.sidecar.configure(fleet)
        self.monitor.tell(FleetChanged(fleet))
        if self._settings.store is None:
            self.gossip.tell(InForce(Version(fleet.revision, fleet.digest)))

    def on_published(self, fleet: Fleet, config: PublishedConfig) -> None:
        """Put the fleet read from the source in force; the first one makes the node ready."""
        self._view.limits = config.limits
        self.on_fleet(fleet)
        if not self._view.ready:
            self._view.ready = True
            self._audit.record(Kind.READY, self._settings.vm, f"revision {fleet.revision}")

    def on_peers(self, entries: Sequence[TargetEntry]) -> None:
        """Add the nodes on the VMs of the targets that the source lists."""
        members = members_from_targets(self._settings, entries)
        self.gossip.tell(Seed(members, frozenset(), spread=False))

    def on_confirmed(self, position: Position, at: float, own: bool) -> None:
        """Announce that the source had nothing newer than a position, and when.

        Args:
            position: Position up to which this node holds the source.
            at: Clock seconds of the confirmation.
            own: Whether this node read the source itself.
        """
        self.sidecar.repeats.confirm(at)
        self.gossip.tell(Confirmed(position, at, tell=own))

    def on_peer_position(self, peer: PeerPosition) -> None:
        """Forward the position in the source up to which a peer is current."""
        self.store_reader.tell(peer)

    def on_quota(self, message: QuotaMessage) -> None:
        """Forward quota reports or allowances received from another node."""
        self.quota_coordinator.tell(message)

    def send_quota(self, message: QuotaMessage) -> None:
        """Send quota reports or allowances to another node."""
        self.gossip.tell(message)

    def send_capacity(self, message: CapacityMessage) -> None:
        """Send rows on the capacity of targets to other nodes."""
        try:
            self.gossip.tell(message)
        except pykka.ActorDeadError:  # the node stops; the rows would lapse soon anyway
            _log.debug("capacity not announced to other nodes: gossip has stopped")

    def on_loans(self, message: LoanMessage) -> None:
        """Forward what another node announced, requested or granted."""
        self.repeat_coordinator.tell(message)

    def send_loans(self, message: LoanMessage) -> None:
        """Send announcements, requests or grants of repeats to another node."""
        self.gossip.tell(message)

    def on_node(self, node: PeerNode) -> None:
        """Update a node, the readers of the platform and this node's rank among the readers."""
        self._view.nodes[node.vm] = node
        self._update_reader_order()

    def _update_reader_order(self) -> None:
        """Update the order of the readers; called from several threads."""
        own, hall = self._settings.vm, self._settings.hall
        with self._order_lock:
            nodes = list(self._view.nodes.copy().values())
            vms = {n.vm for n in nodes if n.alive and n.hall == hall and not n.leaving}
            order = choose_readers({*vms, own}, len(vms) + 1)
            order = self._view.sizes.reader_order(order)
            self.readers = order[: self._settings.readers_per_hall]
            self.reader_rank = ReaderRank(order.index(own), len(nodes))

    def on_version(self, version: Version, address: Address) -> None:
        """Pull a version that a peer announced, if it is newer."""
        if self._settings.store is not None:
            return
        self.puller.tell(VersionAnnounced(version, address))

    def on_behind(self, vm: str, revision: int) -> None:
        """Pull from a node that mentioned a newer revision in an attempt or a load report."""
        peer = self._view.nodes.get(vm)
        if peer is not None and self._settings.store is None:
            self.puller.tell(
                VersionAnnounced(Version(revision, ""), (peer.address, peer.stream_port))
            )

    def on_hint(self, target: str, scores: Scores) -> None:
        """Forward the health scores that another sidecar reported for its target."""
        self.monitor.tell(HintReceived(target, scores))

    def on_crash_update(self) -> None:
        """Announce new crash records of requests to the other nodes."""
        try:
            self.gossip.tell(CrashUpdate())
        except pykka.ActorDeadError:  # the request's response is delivered all the same
            _log.debug("crash not announced to other nodes: gossip has stopped")

    def on_notice_update(self) -> None:
        """Announce what a target has stated about itself to the other nodes."""
        try:
            self.gossip.tell(NoticeUpdate())
        except pykka.ActorDeadError:  # the target's response is delivered all the same
            _log.debug("statement of a target not announced to other nodes: gossip has stopped")

    def on_platform(self) -> None:
        """Announce that the platform was read successfully."""
        self.gossip.tell(PlatformSeen())

    def on_vms(self, entries: list[VmEntry]) -> None:
        """Add the nodes that the platform lists."""
        leaving = frozenset(entry.vm for entry in entries if entry.leaving)
        self.gossip.tell(Seed(listed_members(entries), leaving))

    def on_pull(self, message: Message) -> Message:
        """Build the response to a peer's pull: the documents or source updates that it lacks.

        Raises:
            StreamError: This node has not read anything from the source yet.
        """
        if message["t"] == "pull":
            return build_revision_reply(self._store.held, message["have"])
        news = self._journal.since(Position(message.get("era", 0), message["after"]))
        if news is None:
            raise StreamError("This node has no data from the source yet.")
        now = clock.now()
        aged = self._view.warm_ups.aged(now, news.changes.changes)
        return news._replace(changes=news.changes._replace(changes=aged)).to_message(now)

    def on_offer(self, revision: RevisionOffer) -> None:
        """Forward a revision that was read from the platform or pulled from a peer."""
        self.configuration.tell(revision)

    def send_scores(self, target: str, scores: Scores) -> None:
        """Announce the health scores of this VM's target to the other nodes."""
        self.gossip.tell(PublishHint(target, scores))
