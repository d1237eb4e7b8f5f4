"""The reader of a source, with a source in memory and peers that answer, fail or cannot be reached.

Seen on a fleet of 31 nodes: two nodes, each the first reader of its data hall, handled requests by
a configuration that had been replaced 5 s and 11 s before, though the source could be reached for
more than 3 s. Such a node hears by datagram that its peers hold more than it does. It asked for
that over a stream, for each word anew and in order; with the way to those peers cut, each question
took 0.35 s, more than it takes the next words to come. The queue of words grew, and the node's
own look at the source waited behind it. What proved it: the words that were asked about were up to
2.8 s old, and one peer was asked three times in a row, on a node that lagged.
"""

import logging
import random
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import pytest
from pykka import ActorRef

from roadpass import clock
from roadpass.audit import AuditTrail
from roadpass.caller_limits import CallerLimits
from roadpass.catalogue import Catalogue, Policy
from roadpass.errors import PlatformError, StreamError
from roadpass.fleet import Fleet
from roadpass.journal import Journal
from roadpass.news import FETCH_TIMEOUT_S, PeerPosition, SourceUpdate
from roadpass.peer import Address
from roadpass.position import START, Position
from roadpass.reading_turn import ReaderRank
from roadpass.source import Changes, ConfigPublished, HistoryLostError, PublishedConfig
from roadpass.store_reader import StoreEvents, StoreReader

BOUND_S = 2.0
LIMIT_S = 5.0
WORDS_PER_S = 20.0
"""What a node of a data hall of ten hears when something is new: two words a second from each."""
AWAY_S = 3.0
SOON_S = 0.6
"""Seconds to news of a peer that answers at once; far less than a call that hangs."""
IN_TOUCH_S = 3.0
"""Seconds after which a node that can reach the source again must know what it missed."""
SILENCE_S = 0.2
"""How long a call takes that the source does not answer."""
PEERS = [f"vm-{number}" for number in range(8)]
NO_LIMITS = CallerLimits(65536, 1 << 20, 3.0, 15.0)


def config(version: int) -> PublishedConfig:
    """Return a configuration without any routes."""
    return PublishedConfig(version, (), {}, NO_LIMITS)


class SourceInMemory:
    """A source whose revisions are its versions; `away` is when it answers nobody."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.version = 1
        self.away = False
        self.silence_s = SILENCE_S
        self.calls = 0
        self.lost: list[int] = []
        """Revisions from which nothing is known any more."""

    def publish(self) -> int:
        """Take the next version."""
        with self.changed:
            self.version += 1
            self.changed.notify_all()
            return self.version

    def stale_snapshot(self) -> Changes:
        """Know nobody."""
        return Changes(START, ())

    def snapshot(self) -> Changes:
        """Return the newest version."""
        return self._answer(0, 0.0, full=True)

    def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for a newer version."""
        return self._answer(after.revision, wait_s)

    def _answer(self, after: int, wait_s: float, *, full: bool = False) -> Changes:
        self.calls += 1
        if self.away:
            time.sleep(self.silence_s)
            raise PlatformError("Nobody answers.")
        if after in self.lost:
            time.sleep(self.silence_s)
            raise HistoryLostError("Nothing is known from there.")
        with self.changed:
            self.changed.wait_for(lambda: self.version > after, wait_s)
            found = [ConfigPublished(config(self.version))] if self.version > after else []
            return Changes(Position(0, self.version), tuple(found), full=full)


class Reading:
    """A running reader, what it puts in force, and the words of its peers."""

    def __init__(
        self,
        source: SourceInMemory,
        *,
        rank: int,
        ask: Callable[[Address, Position], SourceUpdate],
    ) -> None:
        self._source = source
        self._fleets: list[Fleet] = []
        self._changed = threading.Condition()
        self._silent = threading.Event()
        self.asked: list[str] = []
        self._ask = ask
        events = StoreEvents(
            on_fleet=self._on_fleet,
            on_peers=lambda entries: None,
            on_confirmed=lambda revision, at, own: None,
            fetch_update=self._note_question,
            reader_rank=lambda: ReaderRank(rank, len(PEERS)),
        )
        self._ref: ActorRef[StoreReader] = StoreReader.start(
            source,
            Catalogue(Policy()),
            Journal(),
            events,
            AuditTrail(),
            random.Random(1),
            bound_s=BOUND_S,
        )

    def hear(self, vms: Sequence[str], revision: int = 0) -> None:
        """Have peers tell, one after the other, that they hold a revision, or else all there is."""
        threading.Thread(target=self._tell, args=(vms, revision), daemon=True).start()

    def wait_for(self, version: int, limit_s: float) -> float:
        """Return the seconds until a version is in force."""
        began = clock.now()
        with self._changed:
            in_time = self._changed.wait_for(lambda: self.version >= version, limit_s)
        assert in_time, f"version {version} is not in force after {limit_s} s"
        return clock.now() - began

    @property
    def version(self) -> int:
        """The version in force."""
        return self._fleets[-1].revision if self._fleets else 0

    def stop(self) -> None:
        """End all."""
        self._silent.set()
        self._ref.stop(block=False)

    def _on_fleet(self, fleet: Fleet, _: PublishedConfig) -> None:
        with self._changed:
            self._fleets.append(fleet)
            self._changed.notify_all()

    def _note_question(self, address: Address, after: Position) -> SourceUpdate:
        self.asked.append(address[0])
        return self._ask(address, after)

    def _tell(self, vms: Sequence[str], revision: int) -> None:
        turn = 0
        while not self._silent.wait(1.0 / WORDS_PER_S):
            vm = vms[turn % len(vms)]
            position = Position(0, revision or self._source.version)
            self._ref.tell(PeerPosition(position, clock.now(), vm, (vm, 1)))
            turn += 1


def cut_off(_: Address, __: Position) -> SourceUpdate:
    """Stand for a peer to which no packet gets: a question to it lasts as long as it may."""
    time.sleep(FETCH_TIMEOUT_S)
    raise StreamError("No connection: timed out.")


@pytest.fixture
def started() -> Iterator[Callable[..., Reading]]:
    """Return what starts a reader; all are stopped in the end."""
    readings: list[Reading] = []

    def start(source: SourceInMemory, **options: Any) -> Reading:
        readings.append(Reading(source, **options))
        return readings[-1]

    yield start
    for reading in readings:
        reading.stop()


def test_each_reading_tells_what_it_asked_for_and_what_came(
    started: Callable[..., Reading], caplog: pytest.LogCaptureFixture
) -> None:
    """The revision before and after, the configuration in it, its age, and how long it took."""
    caplog.set_level(logging.INFO, "roadpass.reader")
    source = SourceInMemory()
    reading = started(source, rank=0, ask=cut_off)
    reading.wait_for(1, LIMIT_S)
    source.publish()
    reading.wait_for(2, LIMIT_S)
    lines = [r.__dict__["decision"] for r in caplog.records if r.getMessage() == "reading"]
    told = [line for line in lines if line["config"] == 2]
    assert [(line["after"], line["store_revision"], line["config_held"]) for line in told] == [
        (1, 2, 1)
    ]
    assert told[0]["told_by"] == "store"
    assert 0.0 <= told[0]["took_s"] <= BOUND_S


@pytest.mark.parametrize("rank", [0, 1, 5])
def test_words_of_peers_that_are_cut_off_hold_up_no_reading(
    started: Callable[..., Reading], rank: int
) -> None:
    """A node that hears peers and reaches none of them reads the source itself, in time."""
    source = SourceInMemory()
    reading = started(source, rank=rank, ask=cut_off)
    reading.wait_for(1, LIMIT_S)
    reading.hear(PEERS)
    source.away = True
    missed = source.publish()
    time.sleep(AWAY_S)
    source.away = False
    reading.wait_for(missed, IN_TOUCH_S)
    for _ in range(3):
        reading.wait_for(source.publish(), BOUND_S)


def test_a_peer_that_can_be_reached_is_found_among_others_that_cannot(
    started: Callable[..., Reading],
) -> None:
    """One of eight is enough for a node to which the source is away."""

    def ask(address: Address, _: Position) -> SourceUpdate:
        return full_update(source.version) if address[0] == PEERS[-1] else cut_off(address, START)

    source = SourceInMemory()
    reading = started(source, rank=1, ask=ask)
    reading.wait_for(1, LIMIT_S)
    source.away = True
    reading.hear(PEERS)
    for _ in range(3):
        reading.wait_for(source.publish(), LIMIT_S)


# Guards against a peer that is behind and is taken for a proof that nothing is newer.
def test_a_peer_that_holds_less_confirms_nothing(started: Callable[..., Reading]) -> None:
    """However fresh it says that is: this node reads the source when nobody else confirms it."""
    source = SourceInMemory()
    source.version = 3
    reading = started(source, rank=5, ask=cut_off)
    reading.wait_for(3, LIMIT_S)
    reading.hear(PEERS[:1], revision=2)
    for _ in range(2):
        reading.wait_for(source.publish(), BOUND_S)


def test_a_peer_that_does_not_answer_is_not_asked_for_each_of_its_words(
    started: Callable[..., Reading],
) -> None:
    """Left alone for a second, it takes a third of the reader's time at the most."""
    source = SourceInMemory()
    reading = started(source, rank=1, ask=cut_off)
    reading.wait_for(1, LIMIT_S)
    source.away = True
    source.publish()
    reading.hear(PEERS[:1])
    time.sleep(2.5)
    assert 1 <= len(reading.asked) <= 3


def full_update(version: int) -> SourceUpdate:
    """Return what a peer tells that holds a version."""
    found = ConfigPublished(config(version))
    return SourceUpdate(Changes(Position(0, version), (found,), full=True), clock.now())


@pytest.mark.parametrize("rank", [0, 1])
def test_a_call_that_hangs_holds_up_no_news_of_peers(
    started: Callable[..., Reading], rank: int
) -> None:
    """Whoever waits for the source hears, asks and puts in force what peers tell meanwhile."""
    source = SourceInMemory()
    reading = started(source, rank=rank, ask=lambda _, __: full_update(source.version))
    reading.wait_for(1, LIMIT_S)
    reading.hear(PEERS)
    source.away, source.silence_s = True, 2.0
    for _ in range(4):
        time.sleep(0.9)
        reading.wait_for(source.publish(), SOON_S)


def test_a_history_lost_behind_what_peers_told_meanwhile_loses_nothing(
    started: Callable[..., Reading], caplog: pytest.LogCaptureFixture
) -> None:
    """The call went out from an older revision; the newer one is gone on from."""
    caplog.set_level(logging.INFO, "roadpass.reader")
    source = SourceInMemory()
    reading = started(source, rank=0, ask=lambda _, __: full_update(source.version))
    reading.wait_for(1, LIMIT_S)
    source.lost, source.silence_s = [1], 1.5
    time.sleep(1.0)
    source.version = 2
    reading.hear(PEERS)
    reading.wait_for(2, LIMIT_S)
    time.sleep(2.0 * source.silence_s)
    assert reading.version == 2
    lines = [r.__dict__["decision"] for r in caplog.records if r.getMessage() == "reading"]
    assert not [line for line in lines[1:] if line["whole"] and line["told_by"] == "store"]
    overtaken = [r for r in caplog.records if r.getMessage() == "reading-overtaken"]
    assert [r.__dict__["decision"]["asked_after"] for r in overtaken] == [1]


def test_errors_that_nobody_foresaw_end_neither_calls_nor_questions(
    started: Callable[..., Reading], monkeypatch: pytest.MonkeyPatch
) -> None:
    """They count as failures, and the next call and the next question are made."""
    source = SourceInMemory()
    unforeseen = [RuntimeError("a call"), RuntimeError("a question")]

    def ask(_: Address, __: Position) -> SourceUpdate:
        if unforeseen:
            raise unforeseen.pop()
        return full_update(source.version)

    def watch(_: Position, __: float) -> Changes:
        if unforeseen:
            raise unforeseen.pop()
        raise PlatformError("Nobody answers.")

    reading = started(source, rank=0, ask=ask)
    reading.wait_for(1, LIMIT_S)
    monkeypatch.setattr(source, "watch", watch)
    reading.hear(PEERS)
    reading.wait_for(source.publish(), LIMIT_S)
    assert unforeseen == []
