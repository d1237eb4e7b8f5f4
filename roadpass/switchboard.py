"""What the parts of a node tell each other: each word goes on to the part that it concerns."""

import logging
from collections.abc import Sequence
from typing import Any

import pykka

from roadpass import clock
from roadpass.audit import AuditTrail, Kind
from roadpass.configuration import Offer, Store
from roadpass.detect import Scores
from roadpass.errors import StreamError
from roadpass.fleet import Fleet
from roadpass.gossip_messages import (
    Confirmed,
    CrashUpdate,
    InForce,
    PlatformSeen,
    PublishHint,
    Seed,
)
from roadpass.introduction import listed_members, members_from_targets
from roadpass.journal import Journal
from roadpass.manifest import VmEntry
from roadpass.message import Message
from roadpass.monitor import FleetChanged, HintHeard
from roadpass.news import PeerPosition
from roadpass.patch import offer
from roadpass.peer import Address
from roadpass.position import Position
from roadpass.quota_keeper import QuotaTalk
from roadpass.reader import VersionHeard, choose_readers
from roadpass.reading_turn import Standing
from roadpass.revision import Version
from roadpass.settings import Settings
from roadpass.sidecar import Sidecar
from roadpass.source import PublishedConfig, TargetEntry
from roadpass.view import PeerNode, View

_log = logging.getLogger("roadpass.node")


class Switchboard:
    """The callbacks that a node gives its parts; called by the threads of all of them.

    The parts are told of each other here only, since each is started with its callbacks. Whoever
    starts them sets them as attributes, and lets none be called before those it concerns are there.

    Args:
        settings: Of the node; what it takes over while it runs is not read here.
        view: What the ingress routes by.
        store: The configuration that this node holds.
        journal: What it read of the source.
        audit: Told when the node is ready.

    Attributes:
        sidecar: Told of each fleet.
        configuration: The actor that takes revisions.
        gossip: The actor that speaks with all nodes.
        monitor: The actor that judges targets.
        puller: The actor that fetches revisions from peers.
        quota_keeper: The actor that speaks of customers.
        store_reader: The actor that reads the source; only with a store.
        readers: VMs of the own data hall that read the platform.
        standing: Place of this node in the order of those that read the source.
    """

    sidecar: Sidecar
    configuration: Any
    gossip: Any
    monitor: Any
    puller: Any
    quota_keeper: Any
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
        self.standing = Standing()

    def on_fleet(self, fleet: Fleet) -> None:
        """Put a fleet in force."""
        self._view.fleet = fleet
        self.sidecar.configure(fleet)
        self.monitor.tell(FleetChanged(fleet))
        if self._settings.store is None:
            self.gossip.tell(InForce(Version(fleet.revision, fleet.digest)))

    def on_published(self, fleet: Fleet, config: PublishedConfig) -> None:
        """Put the fleet of a source in force."""
        self._view.limits = config.limits
        self.on_fleet(fleet)
        if not self._view.ready:
            self._view.ready = True
            self._audit.record(Kind.READY, self._settings.vm, f"revision {fleet.revision}")

    def on_peers(self, entries: Sequence[TargetEntry]) -> None:
        """Know the nodes beside the targets that a source names."""
        members = members_from_targets(self._settings, entries)
        self.gossip.tell(Seed(members, frozenset(), spread=False))

    def on_confirmed(self, position: Position, at: float, own: bool) -> None:
        """Tell the others that the source had nothing newer than a position, and when."""
        self.gossip.tell(Confirmed(position, at, tell=own))

    def on_peer_position(self, peer: PeerPosition) -> None:
        """Hand on up to where a peer holds the source."""
        self.store_reader.tell(peer)

    def on_quota(self, talk: QuotaTalk) -> None:
        """Hand on what another node tells of customers."""
        self.quota_keeper.tell(talk)

    def tell_quota(self, talk: QuotaTalk) -> None:
        """Tell other nodes of customers."""
        self.gossip.tell(talk)

    def on_node(self, node: PeerNode) -> None:
        """Know a node, and who reads the platform or the source beside this one."""
        self._view.nodes[node.vm] = node
        nodes = self._view.nodes.values()
        hall = {n.vm for n in nodes if n.alive and n.hall == self._settings.hall and not n.leaving}
        order = choose_readers({*hall, self._settings.vm}, len(hall) + 1)
        self.readers = order[: self._settings.readers_per_hall]
        self.standing = Standing(order.index(self._settings.vm), len(nodes))

    def on_version(self, version: Version, address: Address) -> None:
        """Pull a version that a peer is heard to hold, if it is newer."""
        if self._settings.store is not None:
            return
        self.puller.tell(VersionHeard(version, address))

    def on_behind(self, vm: str, revision: int) -> None:
        """Pull from a node that was seen to hold a newer revision."""
        peer = self._view.nodes.get(vm)
        if peer is not None and self._settings.store is None:
            self.puller.tell(VersionHeard(Version(revision, ""), (peer.address, peer.stream_port)))

    def on_hint(self, target: str, scores: Scores) -> None:
        """Hand on another sidecar's word on its target."""
        self.monitor.tell(HintHeard(target, scores))

    def on_crash_news(self) -> None:
        """Tell others what is new of requests under which targets end."""
        try:
            self.gossip.tell(CrashUpdate())
        except pykka.ActorDeadError:  # the request's answer is delivered all the same
            _log.debug("nobody is told of a crash any more: the node has stopped")

    def on_platform(self) -> None:
        """Tell the others that the platform was seen."""
        self.gossip.tell(PlatformSeen())

    def on_vms(self, entries: list[VmEntry]) -> None:
        """Know the nodes that the platform lists."""
        leaving = frozenset(entry.vm for entry in entries if entry.leaving)
        self.gossip.tell(Seed(listed_members(entries), leaving))

    def on_pull(self, message: Message) -> Message:
        """Tell a peer what it lacks.

        Raises:
            StreamError: This node knows nothing of the source yet.
        """
        if message["t"] == "pull":
            return offer(self._store.held, message["have"])
        news = self._journal.since(Position(message.get("era", 0), message["after"]))
        if news is None:
            raise StreamError("Nothing is known of the source yet.")
        return news.to_message(clock.now())

    def on_offer(self, revision: Offer) -> None:
        """Hand on a revision that was read or pulled."""
        self.configuration.tell(revision)

    def tell_scores(self, target: str, scores: Scores) -> None:
        """Tell the others of the evidence against this VM's target."""
        self.gossip.tell(PublishHint(target, scores))
