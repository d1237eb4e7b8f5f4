"""Stand-in for callers: an open-loop load of bounded concurrency that checks every response."""

import argparse
import itertools
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

import urllib3
from hdrh.histogram import HdrHistogram

from roadpass import clock
from roadpass.outcome import OUTCOME_HEADER, REASON_HEADER

TIMEOUT_S = 20.0
HIGHEST_US = 60_000_000


class Result(NamedTuple):
    """The outcome of one request as its caller sees it; times in seconds.

    `started` is the intended send time, from which the latency counts. A request without a response
    has status 0 and the outcome "lost"; `wrong` is set if the response belongs to another request.
    """

    id: str
    path: str
    status: int
    outcome: str
    reason: str
    target: str
    started: float
    latency_s: float
    wrong: bool


class Load(NamedTuple):
    """One stream of requests at a constant rate per second."""

    method: str
    path: str
    rate: float
    headers: tuple[tuple[str, str], ...] = ()


class Caller:
    """Sends requests at scheduled times, each to a random one of several addresses.

    Round robin would not do: loads whose rates have a common divisor would each use the same few
    addresses all the time.

    Args:
        addresses: `ip:port` of ingresses.
        threads: Requests of each load in flight at once.
    """

    def __init__(self, addresses: Sequence[str], *, threads: int = 16) -> None:
        self._pools = [
            urllib3.HTTPConnectionPool(
                *_split(address), maxsize=threads, retries=False, timeout=TIMEOUT_S
            )
            for address in addresses
        ]
        self._rng = random.Random(1)
        self._threads = threads
        self._numbers = itertools.count()
        self._prefix = f"r{time.time_ns()}-"
        self.results: list[Result] = []

    def run(self, loads: Sequence[Load], duration_s: float) -> list[Result]:
        """Send all loads for `duration_s` and return the results of all runs so far."""
        stop_at = clock.now() + duration_s
        threads = []
        for load in loads:
            for index in range(self._threads):
                sender = self._sender(load, index, stop_at)
                threads.append(threading.Thread(target=sender, daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(duration_s + TIMEOUT_S + 10.0)
        return self.results

    def send(self, load: Load, *, intended: float | None = None) -> Result:
        """Send one request; `intended` is its scheduled time, by default now."""
        request_id = f"{self._prefix}{next(self._numbers)}"
        pool = self._rng.choice(self._pools)
        started = intended if intended is not None else clock.now()
        headers = {"X-Request": request_id, **dict(load.headers)}
        body = b"payload" if load.method == "POST" else None
        path = f"{load.path}?q={request_id}"
        try:
            response = pool.request(
                load.method, path, body=body, headers=headers, retries=False, redirect=False
            )
        except urllib3.exceptions.HTTPError as error:
            result = _failed(request_id, load.path, started, type(error).__name__)
        else:
            result = _check_response(request_id, load.path, path, started, response)
        self.results.append(result)
        return result

    def _sender(self, load: Load, index: int, stop_at: float) -> Callable[[], None]:
        interval = self._threads / load.rate

        def send_all() -> None:
            next_at = clock.now() + interval * index / self._threads
            while next_at < stop_at:
                delay = next_at - clock.now()
                if delay > 0.0:
                    time.sleep(delay)
                self.send(load, intended=next_at)
                next_at += interval

        return send_all


def summarize(results: Sequence[Result]) -> dict[str, object]:
    """Return counts by outcome and latency percentiles in milliseconds."""
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    for result in results:
        histogram.record_value(max(1, int(result.latency_s * 1e6)))
    return {
        "requests": len(results),
        "outcomes": dict(Counter(f"{r.status} {r.outcome} {r.reason}".strip() for r in results)),
        "wrong": sum(result.wrong for result in results),
        "p50_ms": histogram.get_value_at_percentile(50) / 1e3,
        "p99_ms": histogram.get_value_at_percentile(99) / 1e3,
    }


def _check_response(
    request_id: str, route: str, path: str, started: float, response: urllib3.BaseHTTPResponse
) -> Result:
    latency_s = clock.now() - started
    outcome = response.headers.get(OUTCOME_HEADER, "direct")
    target, wrong = "", False
    if response.status == 200:
        try:
            answer = json.loads(response.data)
            target = answer["target"]
            wrong = answer["id"] != request_id or answer["path"] != path
        except (ValueError, KeyError):
            wrong = True
    reason = response.headers.get(REASON_HEADER, "")
    return Result(
        request_id, route, response.status, outcome, reason, target, started, latency_s, wrong
    )


def _failed(request_id: str, route: str, started: float, error: str) -> Result:
    latency_s = clock.now() - started
    return Result(request_id, route, 0, "lost", error, "", started, latency_s, False)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> None:
    """Run one load and print its summary as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("addresses", nargs="+", help="ip:port of ingresses")
    parser.add_argument("--method", default="GET")
    parser.add_argument("--path", default="/opac/search")
    parser.add_argument("--rate", type=float, default=50.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    caller = Caller(options.addresses)
    load = Load(options.method, options.path, options.rate)
    print(json.dumps(summarize(caller.run([load], options.seconds))))


if __name__ == "__main__":
    main()
