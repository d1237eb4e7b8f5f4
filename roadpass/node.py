"""A node: creates and connects all components of one `roadpassd` process."""

import logging
import random
import threading
import time
from typing import Any

import pykka

from roadpass import __version__, clock
from roadpass._ticker import Ticker
from roadpass.admin import Admin
from roadpass.audit import AuditTrail, Kind
from roadpass.byte_budget import ByteBudget
from roadpass.byte_gate import ByteGate
from roadpass.capacity_exchange import TICK_S as CAPACITY_TICK_S
from roadpass.capacity_exchange import CapacityExchange
from roadpass.catalogue import Catalogue, Policy
from roadpass.configuration import Configuration, Store
from roadpass.decision import decided
from roadpass.dialect import OWN
from roadpass.dispatch import Dispatcher
from roadpass.event_router import EventRouter
from roadpass.gossip import Gossip
from roadpass.gossip_messages import Begin, Events, Leave
from roadpass.ingress import Ingress
from roadpass.journal import Journal
from roadpass.manifest import Platform
from roadpass.member_records import own_member
from roadpass.metric import Gauge, Metrics
from roadpass.monitor import HealthMonitor
from roadpass.pages import Pages, PageSources
from roadpass.pause import PauseWatch
from roadpass.peer_pool import PeerPool
from roadpass.platform.dialect import PLATFORM
from roadpass.platform.store import StoreClient
from roadpass.platform.terms import sharing_of
from roadpass.quota import QuotaPolicy
from roadpass.quota_coordinator import QuotaCoordinator, Quotas
from roadpass.reader import Puller, Reader, ReaderEvents, Status
from roadpass.repeat_coordinator import RepeatCoordinator, repeat_gauges
from roadpass.settings import Settings, StoreSettings
from roadpass.sidecar import Sidecar
from roadpass.source_update import fetch_update
from roadpass.stop import LEAVE_MIN_S, STORE_LEAVE_S, PlannedStop
from roadpass.store_reader import StoreEvents, StoreReader
from roadpass.stream_server import StreamServer
from roadpass.view import View

READY_PEERS = 2
"""Number of peers without a newer revision after which a starting node is ready."""
READY_WAIT_S = 2.0
"""Seconds after which a starting node is ready with fewer such peers."""
COUNTERS_S = 10.0
"""Seconds between logs of the plain counters, for operators who have only the logs."""


class Node:
    """One process of the fleet.

    Args:
        settings: Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._started_at = clock.now()
        self._incarnation = int(time.time() * 1000)
        self._rng = random.Random()
        self.audit = AuditTrail()
        self.metrics = Metrics()
        self._pause = PauseWatch()
        self._dialect = PLATFORM if settings.store else OWN
        self._view = View(settings.vm, settings.hall, settings.region, settings.cores)
        self._gate = ByteGate(
            ByteBudget.of_memory(settings.memory_mb),
            self.metrics,
            resumed_at=self._pause.resumed_at,
        )
        self._store = Store()
        self._journal = Journal()
        self._router = EventRouter(settings, self._view, self._store, self._journal, self.audit)
        self._sidecar = Sidecar(
            settings.vm,
            self._incarnation,
            self._pause,
            pull=self._router.on_pull,
            behind=self._router.on_behind,
            dialect=self._dialect,
            shutdown=self._view.shutdown,
            notices=self._view.notices,
            warm_ups=self._view.warm_ups,
            metrics=self.metrics,
        )
        self.metrics.add_gauge(Gauge("target_limit_per_s", "target", self._view.notices.limits))
        for gauge in repeat_gauges(self._sidecar.repeats):
            self.metrics.add_gauge(gauge)
        self.metrics.add_gauge(Gauge("vm_cores", "vm", self._view.sizes.known))
        self.metrics.add_gauge(
            Gauge("target_warm_up_s", "target", lambda: self._view.warm_ups.left_s(clock.now()))
        )
        self._router.sidecar = self._sidecar
        self._peers = PeerPool(self._sidecar.hello(), settings.keys, source=settings.address)
        policy = settings.store.quota_policy if settings.store else QuotaPolicy()
        self._quotas = Quotas(self._incarnation, policy)
        self.metrics.add_gauge(Gauge("share_level_slots", "class", self._quotas.shares.levels))
        self._dispatcher = Dispatcher(
            self._view,
            self._incarnation,
            self._sidecar,
            self._peers,
            self._pause,
            behind=self._router.on_behind,
            metrics=self.metrics,
            quotas=self._quotas,
            repeats=self._sidecar.repeats,
        )
        self._capacity = CapacityExchange(
            self._view,
            self._sidecar,
            self._dispatcher.waits,
            self._router.send_capacity,
            is_relay=lambda: self._router.reader_rank.rank == 0,
            metrics=self.metrics,
            rng=self._rng,
        )
        self._capacity_ticker = Ticker(
            "capacity-tick",
            CAPACITY_TICK_S,
            self._capacity.tick,
            enabled=lambda: self._view.fleet.sharing.room,
        )
        self._platform = Platform(settings.platform_url, self.metrics)
        self._platform_queried = threading.Event()
        self._actors: list[pykka.ActorRef[Any]] = []
        self._next_counters = self._started_at + COUNTERS_S

    def start(self) -> None:
        """Start all components; the node becomes ready once it has the newest configuration.

        Gossip begins only after the components that handle its datagrams have been started.
        """
        self.audit.record(Kind.START, self._settings.vm, f"version {__version__}")
        self._pause.start()
        self._router.configuration = self._start(
            Configuration, self._store, self.audit, self._router.on_fleet
        )
        self._router.gossip = self._start_gossip()
        self._gossip_proxy = self._router.gossip.proxy()
        self._router.quota_coordinator = self._start(
            QuotaCoordinator, self._quotas, self._view, self._router.send_quota
        )
        self._router.repeat_coordinator = self._start(
            RepeatCoordinator,
            self._sidecar.repeats,
            self._view,
            self._settings.hall,
            self._router.send_loans,
        )
        self._sidecar.quarantine.on_change = self._router.on_crash_update
        self._view.notices.on_change = self._router.on_notice_update
        self._router.monitor = self._start_monitor()
        self._router.puller = self._start(
            Puller, self._peers, self._store, self._router.on_offer, self.metrics
        )
        self._start(StreamServer, self._settings, self._sidecar, self._gate)
        if self._settings.store is not None:
            self._start_store_reader(self._settings.store)
        else:
            self._start_reader()
        self._capacity_ticker.start()
        self._router.gossip.tell(Begin())
        self._start(Admin, self._settings, self._pages().handlers())
        self._ingress_proxy = self._start_ingress().proxy()

    def _start_gossip(self) -> Any:
        return self._start(
            Gossip,
            self._settings,
            own_member(self._settings, self._incarnation),
            Events(
                self._router.on_node,
                self._router.on_version,
                self._router.on_hint,
                self.leave,
                self._router.on_peer_position if self._settings.store else None,
                self._router.on_quota,
                self._capacity.receive,
                self._router.on_loans,
            ),
            self.audit,
            self.metrics,
            self._rng,
            self._sidecar.quarantine,
            self._view.notices,
            self._view.sizes,
        )

    def _start_monitor(self) -> Any:
        return self._start(
            HealthMonitor,
            self._view,
            self._dispatcher,
            self._sidecar,
            self._pause,
            self._router.send_scores,
            self.audit,
        )

    def _start_ingress(self) -> Any:
        return self._start(
            Ingress,
            self._settings,
            self._dispatcher,
            self._view,
            self.metrics,
            dialect=self._dialect,
            origin=self._settings.origin_service,
            gate=self._gate,
        )

    def _start_store_reader(self, store: StoreSettings) -> None:
        self._router.store_reader = self._start(
            StoreReader,
            StoreClient(store.address, self.metrics),
            Catalogue(_policy(store)),
            self._journal,
            StoreEvents(
                on_fleet=self._router.on_published,
                on_peers=self._router.on_peers,
                on_confirmed=self._router.on_confirmed,
                fetch_update=lambda address, after: fetch_update(self._peers, address, after),
                reader_rank=lambda: self._router.reader_rank,
                on_changes=self._view.warm_ups.apply,
            ),
            self.audit,
            self._rng,
            bound_s=store.in_force_s,
        )

    def _start_reader(self) -> None:
        self._start(
            Reader,
            self._settings,
            self._platform,
            self._store,
            self._status,
            ReaderEvents(self._router.on_offer, self._router.on_platform, self._router.on_vms),
            self.audit,
            self._rng,
            self._platform_queried,
        )

    def tick(self) -> None:
        """Run periodic work; called a few times a second by the main thread."""
        if not self._view.ready:
            self._check_ready()
        self._peers.expire()
        now = clock.now()
        if now >= self._next_counters:
            self._next_counters = now + COUNTERS_S
            decided("node", "counters", vm=self._settings.vm, counters=self.metrics.counters())

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed settings; those that need a restart are logged and not applied."""
        logging.getLogger("roadpass").setLevel(settings.log_level.upper())
        own = self._settings
        applied = own._replace(stop_limit_s=settings.stop_limit_s, log_level=settings.log_level)
        if own.store is not None and settings.store is not None:
            applied = applied._replace(store=settings.store._replace(address=own.store.address))
            self._router.store_reader.tell(_policy(settings.store))
            self._quotas.set_policy(settings.store.quota_policy)
        self._settings = applied
        pending = [
            name for name in own._fields if getattr(applied, name) != getattr(settings, name)
        ]
        decided("node", "settings-in-force", vm=own.vm, after_a_restart=pending)

    def leave(self) -> None:
        """Announce that this node leaves, and refuse new requests; those in flight go on.

        With a store no other node can serve the callers of this VM until they are redirected, so
        new requests are refused later, by `drain`.
        """
        if self._view.leaving:
            return
        self._view.leaving = True
        if self._settings.store is None:
            self._refuse()
        self._router.gossip.tell(Leave())
        self.audit.record(Kind.STOP, self._settings.vm, "leaving, takes no new work")

    def _refuse(self) -> None:
        """Refuse new requests of callers and new attempts of peers from now on."""
        self._view.refusing = True
        self._sidecar.leaving = True

    def drain(self) -> bool:
        """Wait until nothing is in flight, or the stop limit passes.

        Returns:
            Whether nothing was left in flight.
        """
        stop = PlannedStop(
            self._view,
            self,
            self._dispatcher,
            self._sidecar,
            limit_s=self._settings.stop_limit_s,
            serve_s=LEAVE_MIN_S if self._settings.store is None else STORE_LEAVE_S,
        )
        return stop.run(self._refuse)

    def active(self) -> int:
        """Return the number of callers' requests in progress."""
        active: int = self._ingress_proxy.active.get()
        return active

    def unread(self) -> int:
        """Return the number of callers' connections with unread data."""
        unread: int = self._ingress_proxy.unread.get()
        return unread

    def stop(self) -> None:
        """Stop all components without waiting for them."""
        for actor in reversed(self._actors):
            actor.stop(block=False)
        self._capacity_ticker.stop()
        self._pause.stop()
        self._peers.close()
        self.audit.record(Kind.STOP, self._settings.vm, "stopped")

    def _start(self, kind: Any, *args: Any, **options: Any) -> Any:
        ref = kind.start(*args, **options)
        self._actors.append(ref)
        return ref

    def _in_flight(self) -> int:
        return self.active() + self._dispatcher.in_flight + self._sidecar.in_flight

    def _check_ready(self) -> None:
        if self._settings.store is not None:
            return
        if self._view.fleet.revision == 0 or not self._platform_queried.is_set():
            return
        waited = clock.now() - self._started_at
        agreeing = self._gossip_proxy.agreeing_peers.get()
        if agreeing >= READY_PEERS or waited >= READY_WAIT_S:
            self._view.ready = True
            evidence = f"revision {self._view.fleet.revision} after {waited:.2f} s"
            self.audit.record(Kind.READY, self._settings.vm, evidence)

    def _status(self) -> Status:
        return Status(
            is_reader=not self._view.leaving
            and (self._settings.vm in self._router.readers or not self._router.readers),
            platform_age_s=self._gossip_proxy.platform_age_s.get(),
            fleet_size=len(self._view.nodes) + 1,
        )

    def _pages(self) -> Pages:
        return Pages(
            PageSources(
                self._settings,
                self._incarnation,
                self._started_at,
                self._view,
                self._pause,
                self.audit,
                self.metrics,
                gossip=self._gossip_proxy,
                monitor=self._router.monitor,
                readers=lambda: self._router.readers,
                in_flight=self._in_flight,
            )
        )


def _policy(store: StoreSettings) -> Policy:
    """Return the policy in a node's store settings, with the switches that these call for."""
    return Policy.from_settings(store, sharing_of(store.terms).union(store.sharing))
