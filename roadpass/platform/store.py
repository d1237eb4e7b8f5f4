"""The platform's metadata store as a source: read-only, every call counted."""

import json
from typing import Any
from urllib.parse import urlencode

import urllib3

from roadpass import clock
from roadpass.decision import decided
from roadpass.errors import PlatformError
from roadpass.metric import Metrics
from roadpass.platform import decode
from roadpass.position import Position
from roadpass.source import Change, Changes, HistoryLostError

CALL_LIMIT_S = 1.0
"""Seconds to wait for an answer beyond what the store was asked to wait; bounds a call that hangs,
and is far more than the way and the store's work take."""
CALLS = "platform_calls"
"""Counter of calls; a waiting watch is one."""
MAX_PAGES = 200
"""Most pages of one reading, about 500 items each."""
HISTORY_LOST_STATUS = 410
ERA = "Store-Era"
"""Header of all answers; it rises by one whenever the store is restored from a backup."""
CHUNK_BYTES = 65536
"""Most bytes to read at a time."""


class StoreClient:
    """Reads the store at one address.

    Args:
        address: `ip:port`.
        metrics: Counts the calls.
    """

    def __init__(self, address: str, metrics: Metrics) -> None:
        self._url = f"http://{address}"
        self._metrics = metrics
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)
        self._era = 0

    def stale_snapshot(self) -> Changes:
        """Return what the store held some seconds ago, for a tenth of the price; see `Source`."""
        return self._range({"AllowStale": "1"})

    def snapshot(self) -> Changes:
        """Return all that the store holds for this fleet; see `Source`."""
        return self._range({})

    def _range(self, options: dict[str, str]) -> Changes:
        changes: list[Change] = []
        position: Position | None = None
        after = ""
        for _ in range(MAX_PAGES):
            fields = {"PathPrefix": "", **options}
            if after:
                fields["after"] = after
            page, era = self._get("/v1/kv-range", fields, CALL_LIMIT_S)
            try:
                items, at = page["items"], Position(era, int(page["AtRev"]))
                after = str(items[-1]["TlsKey"]) if page.get("HasMore") else ""
                changes += _changes(items)
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise PlatformError(f"The page makes no sense: {error!r}.") from error
            if position is not None and position.era != era:
                raise HistoryLostError("The store was restored between two pages.")
            position = at if position is None else min(position, at)
            if not after:
                return Changes(position, tuple(changes), full=True)
        raise PlatformError(f"The store has more than {MAX_PAGES} pages.")

    def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for what happens after a position; see `Source`."""
        wait_ms = str(int(wait_s * 1000.0))
        fields = {"PathPrefix": "", "after": str(after.revision), "WaitMs": wait_ms}
        answer, era = self._get("/v1/kv-watch", fields, wait_s + CALL_LIMIT_S)
        if era != after.era:
            raise HistoryLostError("The store was restored from a backup.")
        try:
            position = Position(era, int(answer["AtRev"]))
            return Changes(position, tuple(_changes(answer.get("events") or ())))
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"The events make no sense: {error!r}.") from error

    def _get(self, path: str, fields: dict[str, str], timeout_s: float) -> tuple[Any, int]:
        """Return the body of an answer and the era that it is of."""
        self._metrics.count(CALLS)
        url = f"{self._url}{path}?{urlencode(fields)}"
        deadline = clock.now() + timeout_s
        try:
            response = self._pool.request(
                "GET", url, timeout=timeout_s, redirect=False, preload_content=False
            )
            body = _body(response, deadline)
        except urllib3.exceptions.HTTPError as error:
            self._pool.clear()
            raise PlatformError(f"The store did not answer: {error}.") from error
        era = self._read_era(response.headers.get(ERA))
        if response.status == HISTORY_LOST_STATUS:
            raise HistoryLostError("The store has forgotten its history.")
        if response.status != 200:
            raise PlatformError(f"The store answered {response.status}.")
        try:
            return json.loads(body), era
        except ValueError as error:
            raise PlatformError(f"The store's answer cannot be read: {error}.") from error

    def _read_era(self, header: str | None) -> int:
        """Return the era of an answer; one without the header is of the latest that was seen.

        Raises:
            PlatformError: It is no number, or of an era that is over.
        """
        if header is None:
            return self._era
        try:
            era = int(header)
        except ValueError as error:
            raise PlatformError(f"The store's era is no number: {header:.40}.") from error
        if era < self._era:
            raise PlatformError(f"The store answered from era {era}, after era {self._era}.")
        if era > self._era:
            decided("reader", "store-era", era=era, era_before=self._era)
            self._era = era
        return era


def _body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Read a body until a moment: the library's limit is one for each piece of it.

    Raises:
        urllib3.exceptions.HTTPError: It is not whole by then, or the connection is lost.
    """
    chunks = []
    while chunk := response.read1(CHUNK_BYTES):
        chunks.append(chunk)
        if clock.now() > deadline:
            response.close()
            raise urllib3.exceptions.ProtocolError("The answer was not whole in time.")
    response.release_conn()
    return b"".join(chunks)


def _changes(items: Any) -> list[Change]:
    return [found for found in map(decode.change, items) if found is not None]
