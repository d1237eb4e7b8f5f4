"""The platform's configuration service: read-only, every call counted."""

import json
from typing import Any, NamedTuple

import urllib3

from roadpass.errors import PlatformError
from roadpass.metric import Metrics
from roadpass.revision import MAX_DOCUMENT_BYTES, DocumentEntry, Manifest

CALL_LIMIT_S = 2.0
CALLS = "platform_calls"
"""Counter of calls; a waiting watch is one."""


class VmEntry(NamedTuple):
    """One VM of the platform's list."""

    vm: str
    address: str
    stream_port: int
    gossip_port: int
    hall: str
    region: str
    leaving: bool


class Platform:
    """Reads manifest, documents and VM list.

    Args:
        url: `http://ip:port` of the service.
        metrics: Counts the calls.
    """

    def __init__(self, url: str, metrics: Metrics) -> None:
        self._url = url
        self._metrics = metrics
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=2, retries=False)

    def manifest(self) -> Manifest:
        """Return the newest manifest the platform shows.

        Raises:
            PlatformError: It cannot be read.
            DocumentError: It is not valid.
        """
        return Manifest.from_text(self._get("/manifest", CALL_LIMIT_S).decode("utf-8", "replace"))

    def watch(self, after: int, wait_s: float) -> Manifest | None:
        """Wait for a manifest newer than a revision.

        Returns:
            It, or `None` if the wait passed without one.

        Raises:
            PlatformError: It cannot be read.
            DocumentError: It is not valid.
        """
        body = self._get(f"/watch?after={after}&wait={wait_s:g}", wait_s + CALL_LIMIT_S)
        return Manifest.from_text(body.decode("utf-8", "replace")) if body else None

    def document(self, entry: DocumentEntry) -> bytes:
        """Return a document's content; its hash is checked by whoever takes it over.

        Raises:
            PlatformError: It cannot be read.
        """
        return self._get(f"/documents/{entry.name}?hash={entry.hash}", CALL_LIMIT_S)

    def vms(self) -> list[VmEntry]:
        """Return the VM list; it lags.

        Raises:
            PlatformError: It cannot be read.
        """
        body = self._get("/vms", CALL_LIMIT_S)
        try:
            return [_entry(row) for row in json.loads(body)]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformError(f"The VM list is not usable: {error}.") from error

    def _get(self, path: str, timeout_s: float) -> bytes:
        self._metrics.count(CALLS)
        try:
            response = self._pool.request(
                "GET", self._url + path, timeout=timeout_s, redirect=False
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformError(f"The platform did not answer: {error}.") from error
        if response.status == 204:
            return b""
        if response.status != 200:
            raise PlatformError(f"The platform answered {response.status} to {path}.")
        if len(response.data) > MAX_DOCUMENT_BYTES:
            raise PlatformError(f"The platform's answer to {path} is over a megabyte.")
        return response.data


def _entry(row: Any) -> VmEntry:
    return VmEntry(
        str(row["vm"]),
        str(row["address"]),
        int(row["stream_port"]),
        int(row["gossip_port"]),
        str(row["hall"]),
        str(row["region"]),
        bool(row.get("leaving", False)),
    )
