"""The gossip actor: owns the UDP socket and the membership view of this node."""

import logging
import random
import socket
import threading
from collections.abc import Mapping
from typing import Any

import pykka

from roadpass import clock
from roadpass._actor import Actor
from roadpass._generated.message_types import Datagram
from roadpass._ticker import Ticker
from roadpass.audit import AuditTrail, Kind
from roadpass.capacity_messages import CapacityMessage, capacity_fields
from roadpass.datagram import seal, unseal
from roadpass.errors import FrameError
from roadpass.gossip_messages import (
    Begin,
    Confirmed,
    CrashUpdate,
    DatagramReceived,
    Events,
    InForce,
    Leave,
    NoticeUpdate,
    PlatformSeen,
    PublishHint,
    Seed,
    Tick,
)
from roadpass.hint import HintTable
from roadpass.member import Member, MemberState, Send
from roadpass.member_records import node_of
from roadpass.membership import Members
from roadpass.metric import Metrics
from roadpass.notice_table import NoticeTable
from roadpass.position import START, Position
from roadpass.quarantine import Quarantine
from roadpass.quota_coordinator import QuotaMessage
from roadpass.repeat_loans import LoanMessage
from roadpass.revision import NO_VERSION, Version
from roadpass.settings import Settings
from roadpass.source_update import PeerPosition
from roadpass.vm_size import VmSizes

TICK_S = 0.1
PAUSE_S = 1.0
"""A gap between ticks that is longer than this means that the process was paused."""
MAX_DATAGRAM = 1200
RECEIVE_BYTES = 2048
READ_POLL_S = 1.0
"""Receive timeout: a read without one would keep the address in use after the socket is closed."""
ANNOUNCE_FANOUT = 4
ANNOUNCE_REPEATS = 2
SYNC_PEERS = 3
MAX_AGREEING_PEERS = 8
UNKNOWN_AGE_S = 1e6
_LONG_ROWS = frozenset(("demand", "shares"))
_LEFT_OUT = frozenset(("hints", "crashes", "notices"))
"""Fields whose rows name a service, a class and a customer, and those that leave room for these:
other datagrams carry them as well."""

_log = logging.getLogger("roadpass.gossip")


class Gossip(Actor):
    """Maintains the membership view and exchanges updates with peers over UDP.

    Args:
        settings: Settings of this node.
        own: Member record of this node.
        events: Callbacks for changes.
        audit: The audit trail.
        metrics: Counts datagrams and bytes.
        rng: Source of randomness.
        quarantine: Crash records of this node.
        notices: What targets state about themselves, as this node knows it.
        sizes: Sizes of the VMs, as this node knows them.
    """

    def __init__(
        self,
        settings: Settings,
        own: Member,
        events: Events,
        audit: AuditTrail,
        metrics: Metrics,
        rng: random.Random,
        quarantine: Quarantine,
        notices: NoticeTable,
        sizes: VmSizes | None = None,
    ) -> None:
        super().__init__()
        self._sizes = sizes or VmSizes()
        self._quarantine = quarantine
        self._notices = notices
        self._records_changed = False
        self._settings = settings
        self._members = Members(own, rng)
        self._events = events
        self._audit = audit
        self._metrics = metrics
        self._hints = HintTable()
        self._version = NO_VERSION
        self._position = START
        self._agreeing: set[str] = set()
        self._announcements = 0
        self._hints_changed = False
        self._platform_seen_at = float("-inf")
        self._last_tick = clock.now()
        self._leave_reported = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._ticker = Ticker("gossip-tick", TICK_S, lambda: self.actor_ref.tell(Tick()))

    @property
    def platform_age_s(self) -> float:
        """Seconds since the platform last answered any node, as far as this node knows."""
        return min(UNKNOWN_AGE_S, clock.now() - self._platform_seen_at)

    @property
    def agreeing_peers(self) -> int:
        """Number of peers heard from since this node's version took effect that hold no newer one.

        Counted up to `MAX_AGREEING_PEERS`.
        """
        return len(self._agreeing)

    def on_start(self) -> None:
        """Bind the socket; datagrams are read only once `Begin` arrives."""
        address = (self._settings.address, self._settings.ports.gossip)
        self._socket.bind(address)
        self._socket.settimeout(READ_POLL_S)
        _log.info("gossip listening on %s:%d", *address)

    def _begin(self) -> None:
        threading.Thread(target=self._read, name="gossip-read", daemon=True).start()
        for seed in self._settings.seeds:
            self._send(Send(seed, "sync", 0))
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop the ticker and close the socket."""
        self._ticker.stop()
        self._socket.close()

    def handle(self, message: Any) -> None:
        """Handle one message, then publish the resulting membership changes."""
        match message:
            case Begin():
                self._begin()
            case Tick():
                self._on_tick()
            case DatagramReceived(content=content):
                self._on_datagram(content)
            case Seed():
                self._on_seed(message)
            case InForce(version=version):
                self._version = version
                self._agreeing.clear()
                self._announcements = ANNOUNCE_REPEATS
                self._announce()
            case PlatformSeen():
                self._platform_seen_at = clock.now()
            case Confirmed():
                self._on_confirmed(message)
            case Leave():
                self._members.leave()
                self._announcements = ANNOUNCE_REPEATS
                self._announce()
            case CrashUpdate() | NoticeUpdate():
                self._records_changed = True
            case QuotaMessage():
                self._send_quota(message)
            case CapacityMessage():
                self._send_capacity(message)
            case LoanMessage(vm=vm, rows=rows):
                self._send_fields(vm, {"loans": rows})
            case PublishHint(target=target, scores=scores):
                if self._hints.report(clock.now(), target, scores):
                    self._announce()
            case _:
                _log.error("unknown message %r", message)
        self._publish()

    def _on_tick(self) -> None:
        now = clock.now()
        if now - self._last_tick > PAUSE_S:
            self._audit.record(
                Kind.PAUSE, self._settings.vm, f"did not run for {now - self._last_tick:.1f} s"
            )
            self._members.resume(now)
            for member in self._members.sample(SYNC_PEERS, hall=self._settings.hall):
                self._send(Send((member.address, member.gossip_port), "sync", 0))
        self._last_tick = now
        if self._announcements > 0 or self._records_changed:
            self._announce()
        elif self._hints_changed:
            self._announce(far=False)
        self._hints_changed = self._records_changed = False
        if self._members.size == 1:
            for seed in self._settings.seeds:
                self._send(Send(seed, "sync", 0))
        for send in self._members.tick(now):
            self._send(send)
        for peer in self._sizes.to_introduce(self._members.alive()):
            to = (peer.address, peer.gossip_port)
            self._send(Send(to, "announce", 0), brief=True, extra={"size": self._sizes.own})

    def _on_datagram(self, content: bytes) -> None:
        try:
            message = unseal(content, self._settings.keys)
            self._process_datagram(message)
        except (FrameError, ValueError, TypeError, OverflowError) as error:
            self._metrics.count("gossip_dropped")
            _log.debug("datagram dropped: %s", error)

    def _process_datagram(self, message: Datagram) -> None:
        fields = capacity_fields(message)
        if fields:
            self._events.on_capacity(message["sender"], fields)
            if not message["news"]:
                return
        now = clock.now()
        answers = self._members.receive(
            now,
            message["t"],
            message["sender"],
            message["n"],
            message.get("on", ""),
            message["news"],
        )
        if self._members.get(message["sender"]) is not None:
            self._sizes.hear(message)
        for row in message.get("hints", ()):
            hint = self._hints.receive(now, row)
            if hint is not None:
                self._events.on_hint(hint.target, hint.scores)
                self._hints_changed = True
        for crash in message.get("crashes", ()):
            self._quarantine.merge(now, crash)
        for target, *notice in message.get("notices", ()):
            self._notices.merge(now, target, notice, "gossip")
        if message.get("loans"):
            self._events.on_loans(LoanMessage.from_rows(message["sender"], message["loans"]))
        quota = QuotaMessage.from_datagram(message)
        if quota.fields:
            self._events.on_quota(quota)
        self._update_source_position(now, message)
        for answer in answers:
            self._send(answer)

    def _update_source_position(self, now: float, message: Datagram) -> None:
        """Record which platform revision or source position the sender holds, and its age."""
        age_s = message.get("platform_age_s", UNKNOWN_AGE_S)
        seen_at = now - max(0.0, age_s)
        if self._events.on_peer_position is None:
            self._platform_seen_at = max(self._platform_seen_at, seen_at)
            self._compare_version(message)
            return
        member = self._members.get(message["sender"])
        if member is not None and message["revision"]:
            address = (member.address, member.stream_port)
            near = member.hall == self._settings.hall
            self._events.on_peer_position(
                PeerPosition(Position.from_message(message), seen_at, member.vm, address, near)
            )

    def _on_confirmed(self, confirmed: Confirmed) -> None:
        self._position = confirmed.position
        self._platform_seen_at = confirmed.at
        if confirmed.tell:
            for member in self._members.in_hall(self._settings.hall):
                self._send(Send((member.address, member.gossip_port), "announce", 0), brief=True)

    def _compare_version(self, message: Datagram) -> None:
        theirs = Version(message["revision"], message["digest"])
        member = self._members.get(message["sender"])
        if member is None:
            return
        if theirs > self._version:
            self._agreeing.discard(member.vm)
            self._events.on_version(theirs, (member.address, member.stream_port))
        elif len(self._agreeing) < MAX_AGREEING_PEERS:
            self._agreeing.add(member.vm)

    def _on_seed(self, seed: Seed) -> None:
        now = clock.now()
        alone = self._members.size == 1
        self._members.seed(now, seed.members, spread=seed.spread)
        for vm in seed.leaving:
            if vm == self._settings.vm:
                self._members.leave()
            else:
                self._members.mark_leaving(now, vm)
        if alone:
            for member in self._members.sample(SYNC_PEERS, hall=self._settings.hall):
                self._send(Send((member.address, member.gossip_port), "sync", 0))

    def _announce(self, *, far: bool = True) -> None:
        """Announce to some peers in this data hall and, if `far`, to one peer in any hall.

        That peer forwards the announcement within its own data hall.
        """
        self._announcements = max(0, self._announcements - 1)
        near = self._members.sample(ANNOUNCE_FANOUT - far, hall=self._settings.hall)
        for member in {*near, *self._members.sample(int(far))}:
            self._send(Send((member.address, member.gossip_port), "announce", 0))

    def _send_quota(self, quota: QuotaMessage) -> None:
        """Send rows about quotas and shares to one node."""
        self._send_fields(quota.vm, quota.fields)

    def _send_fields(self, vm: str, fields: Mapping[str, Any]) -> None:
        """Send a datagram with additional fields to one node."""
        member = self._members.get(vm)
        if member is not None:
            to = (member.address, member.gossip_port)
            self._send(Send(to, "announce", 0), brief=True, extra=fields)

    def _send_capacity(self, message: CapacityMessage) -> None:
        """Send rows on the capacity of targets to some nodes, in one datagram sealed once."""
        version = self._version if self._events.on_peer_position is None else NO_VERSION
        content = seal(message.datagram(self._settings.vm, version), self._settings.keys)
        for vm in message.vms:
            member = self._members.get(vm)
            if member is not None:
                self._send_content((member.address, member.gossip_port), content, "capacity")

    def _publish(self) -> None:
        for member in self._members.changes():
            self._events.on_node(node_of(member))
            if member.state is not MemberState.ALIVE or member.incarnation > 0:
                evidence = f"{member.state.name.lower()}, incarnation {member.incarnation}"
                self._audit.record(Kind.MEMBER_STATE, member.vm, evidence)
        own = self._members.own
        if own.state is MemberState.LEAVING and not self._leave_reported:
            self._leave_reported = True
            self._events.on_leave()

    def _send(
        self, send: Send, *, brief: bool = False, extra: Mapping[str, Any] | None = None
    ) -> None:
        """Send a datagram with its own member rows, or else the latest rumors.

        With `brief`, only this node's record is added. Rows that do not fit are dropped.
        """
        rows = self._member_rows(send, brief=brief)
        message = {**self._message(send), **(extra or {}), "news": rows}
        while len(content := seal(message, self._settings.keys)) > MAX_DATAGRAM and len(rows) > 1:
            rows.pop()
        if len(content) > MAX_DATAGRAM and extra and extra.keys() & _LONG_ROWS:
            kept = {name: value for name, value in message.items() if name not in _LEFT_OUT}
            content = seal(kept, self._settings.keys)
        self._send_content(send.to, content, send.type)

    def _send_content(self, to: tuple[str, int], content: bytes, kind: str) -> None:
        """Send a sealed datagram, and count it."""
        try:
            self._socket.sendto(content, to)
        except OSError as error:
            _log.debug("datagram not sent: %s", error)
            return
        self._metrics.count("gossip_sent")
        self._metrics.count("gossip_sent_bytes", len(content))
        if self._members.hall_at(to) not in ("", self._settings.hall):
            self._metrics.count(f"far_{kind}s")
            self._metrics.count(f"far_{kind}_bytes", len(content))

    def _member_rows(self, send: Send, *, brief: bool) -> list[Member]:
        if brief or send.rows:
            return [self._members.own, *send.rows]
        return self._members.rumors()

    def _message(self, send: Send) -> dict[str, Any]:
        """Return the fields of a datagram, except its member rows."""
        now = clock.now()
        message: dict[str, Any] = {
            "t": send.type,
            "sender": self._settings.vm,
            "n": send.number,
            **self._position_fields(),
            "digest": self._version.digest,
            "platform_age_s": round(self.platform_age_s, 3),
            **self._sizes.fields(send.type),
        }
        if send.on:
            message["on"] = send.on
        hints = self._hints.rows(now)
        if hints:
            message["hints"] = hints
        crashes = self._quarantine.rows(now)
        if crashes:
            message["crashes"] = crashes
        notices = self._notices.rows(now)
        if notices:
            message["notices"] = notices
        return message

    def _position_fields(self) -> dict[str, int]:
        """Return the fields with the platform revision or source position that this node holds."""
        if self._events.on_peer_position is None:
            return {"revision": self._version.revision}
        return self._position.to_message()

    def _read(self) -> None:
        while True:
            try:
                content, source = self._socket.recvfrom(RECEIVE_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return
            self._metrics.count("gossip_received_bytes", len(content))
            try:
                self.actor_ref.tell(DatagramReceived(content, source))
            except pykka.ActorDeadError:
                return
