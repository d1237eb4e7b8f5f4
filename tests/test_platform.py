"""The platform's formats and calls, tested against a stand-in for its store."""

import logging
import socket
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from roadpass import clock
from roadpass.errors import PlatformError
from roadpass.metric import Metrics
from roadpass.platform import decode
from roadpass.platform.store import CALL_LIMIT_S, CALLS, StoreClient
from roadpass.position import Position
from roadpass.route import Part
from roadpass.source import (
    ConfigPublished,
    HistoryLostError,
    InvalidItem,
    TargetPublished,
    TargetWithdrawn,
)
from stand_ins.store import config, entry
from tests.store_bench import ROW, Bench

SPLIT = [{"Service": "s", "Weight": 90}, {"Service": "z", "Weight": 10}]


def test_a_configuration_in_columns() -> None:
    """Kind, durations, priority and split of routes are read; a null cell counts as missing."""
    rows = [ROW, ["w", "h", "/b/", "non_idempotent", None, SPLIT]]
    read = decode.config(config(7, rows, ("s", "z")))
    one, two = read.routes
    assert (read.version, one.host, one.path, one.repeatable) == (7, "one.example", "/a/", True)
    assert (one.timeout_ms, one.target_latency_ms, one.max_attempts) == (2000, 800, 2)
    assert (one.traffic_class, one.service, one.split) == ("p001", "s", ())
    assert not two.repeatable
    assert two.parts == (Part("s", 90.0), Part("z", 10.0))
    assert read.services["z"].max_connections == 330
    assert (read.limits.header_timeout_s, read.limits.idle_timeout_s) == (3.0, 15.0)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda value: value.pop("Limits"),
        lambda value: value.update(Version="new"),
        lambda value: value["Routes"]["Rows"].append(["short"]),
        lambda value: value["Routes"]["Rows"][0].__setitem__(6, "soon"),
        lambda value: value["Routes"].update(Rows=3),
        lambda value: value["Limits"].update(IdleTimeout=15),
        lambda value: value["Limits"].update(IdleTimeout="infs"),
        lambda value: value["Routes"]["Rows"][0].__setitem__(6, "infs"),
        lambda value: value["Routes"]["Rows"][0].__setitem__(6, "-1s"),
    ],
)
def test_an_invalid_configuration(spoil: Callable[[Any], Any]) -> None:
    """It raises a `PlatformError`, whatever is wrong."""
    value = config(7, [list(ROW)])
    spoil(value)
    with pytest.raises(PlatformError):
        decode.config(value)


def test_a_target_entry() -> None:
    """Address, data hall, slots and state are read."""
    read = decode.target("i-1", entry("10.0.0.1:80", zone="z", state="draining"))
    assert (read.instance, read.service, read.address) == ("i-1", "s", "10.0.0.1:80")
    assert (read.hall, read.slots, read.leaving) == ("z", 4, True)


@pytest.mark.parametrize(
    "item",
    [
        {},
        {"TlsKey": "servers/i-1", "Value": "%%%"},
        {"TlsKey": "servers/i-1", "Value": "e30="},
        {"TlsKey": "op/config", "Value": "bm9uc2Vuc2U="},
        "nonsense",
    ],
)
def test_an_invalid_item_is_reported(item: Any) -> None:
    """It is returned as such and raises nothing."""
    assert isinstance(decode.change(item), InvalidItem)


def test_items_with_other_keys_are_ignored() -> None:
    """They are no errors."""
    assert decode.change({"TlsKey": "other/key", "Value": "e30="}) is None


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Return a started store and a client of it."""
    made = Bench()
    made.start()
    yield made
    made.server.stop()


def test_a_snapshot_over_several_pages(bench: Bench) -> None:
    """It has the items of all pages, and the lowest revision that a page reported."""
    for number in range(2, 9):
        bench.state.put(f"servers/i-{number}", entry("10.0.0.1:80"))
    got = bench.client.snapshot()
    assert got.full
    assert got.position == Position(0, 9)
    assert isinstance(got.changes[0], ConfigPublished)
    assert sum(isinstance(change, TargetPublished) for change in got.changes) == 8
    assert bench.metrics.get(CALLS) == bench.state.calls == 3


def test_a_watch_returns_changes_and_withdrawals(bench: Bench) -> None:
    """It returns at once if there are any, otherwise after its wait."""
    assert bench.client.watch(Position(0, 2), 0.05).changes == ()
    bench.state.delete("servers/i-1")
    got = bench.client.watch(Position(0, 2), 5.0)
    assert (got.position, got.changes, got.full) == (
        Position(0, 3),
        (TargetWithdrawn("i-1"),),
        False,
    )


def test_an_invalid_page_is_a_platform_error(bench: Bench) -> None:
    """The items are not even a list."""
    bench.state.items.clear()
    bench.state.range = lambda prefix, after: {"items": None, "AtRev": 3}  # type: ignore[method-assign]
    with pytest.raises(PlatformError):
        bench.client.snapshot()


def test_a_lost_history_and_a_refused_call_are_distinguished(bench: Bench) -> None:
    """A lost history requires a new snapshot; a refused call only has to be retried later."""
    bench.state.put("op/config", config(5, [ROW]))
    bench.state.discard_history()
    with pytest.raises(HistoryLostError):
        bench.client.watch(Position(0, 1), 0.05)
    bench.state.status = 429
    with pytest.raises(PlatformError) as raised:
        bench.client.watch(Position(0, 3), 0.05)
    assert not isinstance(raised.value, HistoryLostError)


def test_each_era_of_the_store_is_logged_once(
    bench: Bench, caplog: pytest.LogCaptureFixture
) -> None:
    """Also if an error response is the first to report it; a store without eras logs none."""
    caplog.set_level(logging.INFO, "roadpass.reader")

    def logged_eras() -> list[tuple[int, int]]:
        lines = [r.__dict__["decision"] for r in caplog.records if r.getMessage() == "store-era"]
        return [(line["era_before"], line["era"]) for line in lines]

    bench.state.era = None
    bench.client.snapshot()
    assert logged_eras() == []
    bench.state.era = 4
    bench.client.snapshot()
    bench.client.watch(Position(4, 2), 0.01)
    bench.state.restore(bench.state.backup())
    bench.state.discard_history()
    with pytest.raises(HistoryLostError):
        bench.client.watch(Position(4, 9), 0.01)
    assert logged_eras() == [(0, 4), (4, 5)]


def test_a_watch_from_an_earlier_era_returns_no_events(bench: Bench) -> None:
    """Its revision exists again, but now belongs to other changes."""
    held = bench.client.snapshot().position
    bench.state.restore(bench.state.backup())
    bench.state.put("servers/i-2", entry("10.0.0.2:80"))
    with pytest.raises(HistoryLostError):
        bench.client.watch(held, 0.01)
    assert bench.client.snapshot().position == Position(1, 3)


def test_pages_of_two_eras_are_not_combined(bench: Bench) -> None:
    """The store is restored after the first page was read."""
    for number in range(2, 9):
        bench.state.put(f"servers/i-{number}", entry("10.0.0.1:80"))
    read_page = bench.state.range

    def restore_and_read(prefix: str, after: str) -> dict[str, Any]:
        if after and not bench.state.era:
            bench.state.restore(bench.state.backup())
        return read_page(prefix, after)

    bench.state.range = restore_and_read  # type: ignore[method-assign]
    with pytest.raises(HistoryLostError):
        bench.client.snapshot()
    assert bench.client.snapshot().position == Position(1, 9)


@pytest.mark.parametrize("era", ["", "new", "3"])
def test_an_invalid_or_old_era_is_an_error(bench: Bench, era: str) -> None:
    """An old era may come from a replica of the store that is no longer in service."""
    bench.state.era = 4
    held = bench.client.snapshot()
    bench.state.era = era  # type: ignore[assignment]
    with pytest.raises(PlatformError) as raised:
        bench.client.snapshot()
    assert not isinstance(raised.value, HistoryLostError)
    bench.state.era = None
    assert bench.client.snapshot() == held


def test_a_response_that_arrives_byte_by_byte_times_out() -> None:
    """The timeout of a call covers the whole body, as no other call is made meanwhile."""
    listener = socket.create_server(("127.0.0.1", 0))

    def send_slowly() -> None:
        sock, _ = listener.accept()
        with sock:
            sock.recv(4096)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n")
            try:
                for _ in range(400):
                    sock.sendall(b" ")
                    time.sleep(0.02)
            except OSError:
                return

    threading.Thread(target=send_slowly, daemon=True).start()
    host, port = listener.getsockname()
    client = StoreClient(f"{host}:{port}", Metrics())
    started_at = clock.now()
    with pytest.raises(PlatformError, match="did not answer"):
        client.watch(Position(0, 1), 0.0)
    assert clock.now() - started_at < CALL_LIMIT_S + 1.0
    listener.close()
