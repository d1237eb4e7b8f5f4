"""The administration API: read-only HTTP on a separate port."""

import json
import logging
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias
from urllib.parse import parse_qs, urlsplit

from roadpass._actor import Actor
from roadpass.settings import Settings
from roadpass.web import WebGateway, WebServer

THREADS = 4
JSON = "application/json"
TEXT = "text/plain; version=0.0.4"

_log = logging.getLogger("roadpass.admin")


class Page(NamedTuple):
    """A response of the API."""

    status: int
    content_type: str
    body: bytes

    @classmethod
    def from_value(cls, value: Any, *, status: int = 200) -> "Page":
        """Serialize a value as a JSON page."""
        return cls(status, JSON, (json.dumps(value, indent=1) + "\n").encode())


Query: TypeAlias = Mapping[str, list[str]]
Handler: TypeAlias = Callable[[Query], Page]


class _AdminGateway(WebGateway):
    """Dispatches requests to the page handlers."""

    def answer(self) -> None:
        pages: Mapping[str, Handler] = self.req.server.owner
        page = self._page(pages)
        self.reply(page.status, [("Content-Type", page.content_type)], page.body)

    def _page(self, pages: Mapping[str, Handler]) -> Page:
        parts = urlsplit(self.uri)
        if self.method not in ("GET", "HEAD"):
            return Page.from_value({"error": "The API is read-only."}, status=405)
        handler = pages.get(parts.path)
        if handler is None:
            known = sorted(pages)
            return Page.from_value({"error": "No such page.", "pages": known}, status=404)
        try:
            return handler(parse_qs(parts.query))
        except ValueError as error:
            return Page.from_value({"error": f"The query is not valid: {error}."}, status=400)


class Admin(Actor):
    """Serves the administration API.

    Args:
        settings: Settings of this node.
        pages: Handlers by path, called from several server threads.
    """

    def __init__(self, settings: Settings, pages: Mapping[str, Handler]) -> None:
        super().__init__()
        address = (settings.address, settings.ports.admin)
        self._server = WebServer(address, _AdminGateway, pages, threads=THREADS)

    def on_start(self) -> None:
        """Start to listen."""
        self._server.start_thread()
        _log.info("listening for operators on %s:%d", *self._server.bind_addr)

    def on_stop(self) -> None:
        """Stop listening."""
        self._server.stop()
