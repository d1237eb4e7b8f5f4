"""Read-only client of the platform's metadata store, used as a source; every call is counted."""

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
"""Timeout of a call in seconds, beyond the time the store was asked to wait. It bounds calls that
hang and is far more than the network and the store need."""
CALLS = "platform_calls"
"""Counter of calls; a watch counts as one however long it waits."""
MAX_PAGES = 200
"""Limit on the pages of one snapshot; each has about 500 items."""
HISTORY_LOST_STATUS = 410
ERA = "Store-Era"
"""Header of all responses; increases by one whenever the store is restored from a backup."""
CHUNK_BYTES = 65536
"""Limit on the bytes read from a response at a time."""


class StoreClient:
    """A `Source` that reads the store at one address; not for concurrent calls.

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
        """Return a snapshot that is some seconds old, at a tenth of the cost; see `Source`."""
        return self._range({"AllowStale": "1"})

    def snapshot(self) -> Changes:
        """Return everything in the store for this fleet; see `Source`."""
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
                raise PlatformError(f"The page is invalid: {error!r}.") from error
            if position is not None and position.era != era:
                raise HistoryLostError("The store was restored between two pages.")
            position = at if position is None else min(position, at)
            if not after:
                return Changes(position, tuple(changes), full=True)
        raise PlatformError(f"The store has more than {MAX_PAGES} pages.")

    def watch(self, after: Position, wait_s: float) -> Changes:
        """Wait for changes after a position; see `Source`."""
        wait_ms = str(int(wait_s * 1000.0))
        fields = {"PathPrefix": "", "after": str(after.revision), "WaitMs": wait_ms}
        response, era = self._get("/v1/kv-watch", fields, wait_s + CALL_LIMIT_S)
        if era != after.era:
            raise HistoryLostError("The store was restored from a backup.")
        try:
            position = Position(era, int(response["AtRev"]))
            return Changes(position, tuple(_changes(response.get("events") or ())))
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"The events are invalid: {error!r}.") from error

    def _get(self, path: str, fields: dict[str, str], timeout_s: float) -> tuple[Any, int]:
        """Return the decoded body of a response and its era."""
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
            raise HistoryLostError("The store no longer has the history since that revision.")
        if response.status != 200:
            raise PlatformError(f"The store answered with status {response.status}.")
        try:
            return json.loads(body), era
        except ValueError as error:
            raise PlatformError(f"The store's response is not valid JSON: {error}.") from error

    def _read_era(self, header: str | None) -> int:
        """Return the era of a response; without the header it is the latest era seen.

        Raises:
            PlatformError: The header is not a number, or the era is older than the latest.
        """
        if header is None:
            return self._era
        try:
            era = int(header)
        except ValueError as error:
            raise PlatformError(f"The store's era is not a number: {header:.40}.") from error
        if era < self._era:
            raise PlatformError(f"The store answered from old era {era}, after era {self._era}.")
        if era > self._era:
            decided("reader", "store-era", era=era, era_before=self._era)
            self._era = era
        return era


def _body(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Read a body with a deadline for the whole of it; urllib3's timeout is for each read.

    Raises:
        urllib3.exceptions.HTTPError: It is incomplete at the deadline, or the connection is lost.
    """
    chunks = []
    while chunk := response.read1(CHUNK_BYTES):
        chunks.append(chunk)
        if clock.now() > deadline:
            response.close()
            raise urllib3.exceptions.ProtocolError("response body incomplete at the deadline")
    response.release_conn()
    return b"".join(chunks)


def _changes(items: Any) -> list[Change]:
    return [found for found in map(decode.change, items) if found is not None]
