"""Read-only client of the platform's configuration service; every call is counted."""

import json
from typing import Any, NamedTuple

import urllib3

from roadpass.errors import PlatformError
from roadpass.metric import Metrics
from roadpass.revision import MAX_DOCUMENT_BYTES, DocumentEntry, Manifest

CALL_LIMIT_S = 2.0
CALLS = "platform_calls"
"""Counter of calls; a watch counts as one however long it waits."""


class VmEntry(NamedTuple):
    """One VM in the platform's list, with the address and ports of its node."""

    vm: str
    address: str
    stream_port: int
    gossip_port: int
    hall: str
    region: str
    leaving: bool


class Platform:
    """Reads the manifest, the documents and the VM list of one service.

    Args:
        url: `http://ip:port` of the service.
        metrics: Counts the calls.
    """

    def __init__(self, url: str, metrics: Metrics) -> None:
        self._url = url
        self._metrics = metrics
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=2, retries=False)

    def manifest(self) -> Manifest:
        """Return the platform's current manifest.

        Raises:
            PlatformError: It cannot be read.
            DocumentError: It is not valid.
        """
        return Manifest.from_text(self._get("/manifest", CALL_LIMIT_S).decode("utf-8", "replace"))

    def watch(self, after: int, wait_s: float) -> Manifest | None:
        """Wait for a manifest newer than a revision.

        Returns:
            The manifest, or `None` if there was none within the wait.

        Raises:
            PlatformError: It cannot be read.
            DocumentError: It is not valid.
        """
        body = self._get(f"/watch?after={after}&wait={wait_s:g}", wait_s + CALL_LIMIT_S)
        return Manifest.from_text(body.decode("utf-8", "replace")) if body else None

    def document(self, entry: DocumentEntry) -> bytes:
        """Return a document's content; the caller has to check its hash.

        Raises:
            PlatformError: It cannot be read.
        """
        return self._get(f"/documents/{entry.name}?hash={entry.hash}", CALL_LIMIT_S)

    def vms(self) -> list[VmEntry]:
        """Return the VM list, which may lag behind the fleet.

        Raises:
            PlatformError: It cannot be read.
        """
        body = self._get("/vms", CALL_LIMIT_S)
        try:
            return [_entry(row) for row in json.loads(body)]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformError(f"The VM list is invalid: {error}.") from error

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
            raise PlatformError(f"The platform answered with status {response.status} to {path}.")
        if len(response.data) > MAX_DOCUMENT_BYTES:
            raise PlatformError(f"The platform's response to {path} is larger than 1 MiB.")
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
