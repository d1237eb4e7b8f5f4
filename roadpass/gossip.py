"""The gossip actor: owns the UDP socket and the membership view."""

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
from roadpass.datagram import seal, unseal
from roadpass.errors import FrameError
from roadpass.gossip_messages import (
    Arrival,
    Begin,
    Confirmed,
    CrashUpdate,
    Events,
    InForce,
    Leave,
    PlatformSeen,
    PublishHint,
    Seed,
    Tick,
)
from roadpass.hint import HintTable
from roadpass.introduction import node_of
from roadpass.member import Member, MemberState, Send
from roadpass.membership import Members
from roadpass.metric import Metrics
from roadpass.news import PeerPosition
from roadpass.position import START, Position
from roadpass.quarantine import Quarantine
from roadpass.quota import Allowance, Report
from roadpass.quota_keeper import QuotaTalk
from roadpass.revision import NO_VERSION, Version
from roadpass.settings import Settings

TICK_S = 0.1
PAUSE_S = 1.0
"""A tick this late means that the process was paused."""
MAX_DATAGRAM = 1200
RECEIVE_BYTES = 2048
READ_POLL_S = 1.0
"""A reader that waits for ever would keep the address in use after the socket was closed."""
ANNOUNCE_FANOUT = 4
ANNOUNCE_REPEATS = 2
SYNC_PEERS = 3
AGREEING_KEPT = 8
UNKNOWN_AGE_S = 1e6

_log = logging.getLogger("roadpass.gossip")


class Gossip(Actor):
    """Keeps the membership view and spreads what is new.

    Args:
        settings: Of this node.
        own: This node's record.
        events: What to call on changes.
        audit: The audit trail.
        metrics: Counts datagrams and bytes.
        rng: Source of randomness.
        quarantine: What the node knows of requests under which targets ended.
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
    ) -> None:
        super().__init__()
        self._quarantine = quarantine
        self._tells_of_crashes = False
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
        self._tells_on = False
        self._platform_seen_at = float("-inf")
        self._last_tick = clock.now()
        self._told_leaving = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._ticker = Ticker("gossip-tick", TICK_S, lambda: self.actor_ref.tell(Tick()))

    @property
    def platform_age_s(self) -> float:
        """Seconds since the platform is known to have answered anybody."""
        return min(UNKNOWN_AGE_S, clock.now() - self._platform_seen_at)

    @property
    def agreeing_peers(self) -> int:
        """Peers heard since this node's version went into force that hold nothing newer."""
        return len(self._agreeing)

    def on_start(self) -> None:
        """Bind the socket."""
        address = (self._settings.address, self._settings.ports.gossip)
        self._socket.bind(address)
        self._socket.settimeout(READ_POLL_S)
        _log.info("gossiping on %s:%d", *address)

    def _begin(self) -> None:
        threading.Thread(target=self._read, name="gossip-read", daemon=True).start()
        for seed in self._settings.seeds:
            self._send(Send(seed, "sync", 0))
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop to tick and close the socket."""
        self._ticker.stop()
        self._socket.close()

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Begin():
                self._begin()
            case Tick():
                self._on_tick()
            case Arrival(content=content):
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
            case CrashUpdate():
                self._tells_of_crashes = True
            case QuotaTalk():
                self._talk(message)
            case PublishHint(target=target, scores=scores):
                if self._hints.say(clock.now(), target, scores):
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
        if self._announcements > 0 or self._tells_of_crashes:
            self._announce()
        elif self._tells_on:
            self._announce(far=False)
        self._tells_on = self._tells_of_crashes = False
        if self._members.size == 1:
            for seed in self._settings.seeds:
                self._send(Send(seed, "sync", 0))
        for send in self._members.tick(now):
            self._send(send)

    def _on_datagram(self, content: bytes) -> None:
        try:
            message = unseal(content, self._settings.keys)
            self._take(message)
        except (FrameError, ValueError, TypeError, OverflowError) as error:
            self._metrics.count("gossip_dropped")
            _log.debug("datagram dropped: %s", error)

    def _take(self, message: Datagram) -> None:
        now = clock.now()
        answers = self._members.receive(
            now,
            message["t"],
            message["sender"],
            message["n"],
            message.get("on", ""),
            message["news"],
        )
        for row in message.get("hints", ()):
            hint = self._hints.hear(now, row)
            if hint is not None:
                self._events.on_hint(hint.target, hint.scores)
                self._tells_on = True
        for crash in message.get("crashes", ()):
            self._quarantine.hear(now, crash)
        reports = tuple(Report(*row) for row in message.get("usage", ()))
        words = tuple(Allowance(*row) for row in message.get("allowances", ()))
        if reports or words:
            self._events.on_quota(QuotaTalk(message["sender"], reports, words))
        self._hear_of_source(now, message)
        for answer in answers:
            self._send(answer)

    def _hear_of_source(self, now: float, message: Datagram) -> None:
        """Note what the sender holds of the platform, and how fresh that is."""
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
        elif len(self._agreeing) < AGREEING_KEPT:
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
        """Tell some of the own data hall, and one of any, who tells on in its own."""
        self._announcements = max(0, self._announcements - 1)
        near = self._members.sample(ANNOUNCE_FANOUT - far, hall=self._settings.hall)
        for member in {*near, *self._members.sample(int(far))}:
            self._send(Send((member.address, member.gossip_port), "announce", 0))

    def _talk(self, talk: QuotaTalk) -> None:
        """Tell a node of customers' quotas."""
        member = self._members.get(talk.vm)
        if member is not None:
            told = {"usage": talk.reports} if talk.reports else {"allowances": talk.words}
            to = (member.address, member.gossip_port)
            self._send(Send(to, "announce", 0), brief=True, extra=told)

    def _publish(self) -> None:
        for member in self._members.changes():
            self._events.on_node(node_of(member))
            if member.state is not MemberState.ALIVE or member.incarnation > 0:
                evidence = f"{member.state.name.lower()}, incarnation {member.incarnation}"
                self._audit.record(Kind.MEMBER_STATE, member.vm, evidence)
        own = self._members.own
        if own.state is MemberState.LEAVING and not self._told_leaving:
            self._told_leaving = True
            self._events.on_leave()

    def _send(
        self, send: Send, *, brief: bool = False, extra: Mapping[str, Any] | None = None
    ) -> None:
        """Send a datagram with what it is to tell, else the latest rumors, or the own one only."""
        news = self._news(send, brief=brief)
        message = {**self._message(send), **(extra or {}), "news": news}
        while len(content := seal(message, self._settings.keys)) > MAX_DATAGRAM and len(news) > 1:
            news.pop()
        try:
            self._socket.sendto(content, send.to)
        except OSError as error:
            _log.debug("datagram not sent: %s", error)
            return
        self._metrics.count("gossip_sent")
        self._metrics.count("gossip_sent_bytes", len(content))
        if self._members.hall_at(send.to) not in ("", self._settings.hall):
            self._metrics.count(f"far_{send.type}s")
            self._metrics.count(f"far_{send.type}_bytes", len(content))

    def _news(self, send: Send, *, brief: bool) -> list[Member]:
        if brief or send.rows:
            return [self._members.own, *send.rows]
        return self._members.rumors()

    def _message(self, send: Send) -> dict[str, Any]:
        """Return a datagram without its members."""
        now = clock.now()
        message: dict[str, Any] = {
            "t": send.type,
            "sender": self._settings.vm,
            "n": send.number,
            **self._held(),
            "digest": self._version.digest,
            "platform_age_s": round(self.platform_age_s, 3),
        }
        if send.on:
            message["on"] = send.on
        hints = self._hints.rows(now)
        if hints:
            message["hints"] = hints
        crashes = self._quarantine.rows(now)
        if crashes:
            message["crashes"] = crashes
        return message

    def _held(self) -> dict[str, int]:
        """Return the fields that tell what this node holds of the platform."""
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
                self.actor_ref.tell(Arrival(content, source))
            except pykka.ActorDeadError:
                return
