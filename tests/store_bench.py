"""A store with one configuration and one target, and a client of it."""

from typing import Any

from roadpass.metric import Metrics
from roadpass.platform.store import StoreClient
from stand_ins.store import StoreState, config, entry, store_server

ROW: list[Any] = ["r", "One.example", "/a/", "idempotent", "s", None]


class Bench:
    """A store with one configuration and one target; `start` also makes a client of it."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.state.put("op/config", config(4, [ROW]))
        self.state.put("servers/i-1", entry("10.0.0.1:80"))
        self.server = store_server(("127.0.43.1", 0), self.state)
        self.metrics = Metrics()

    def start(self) -> None:
        """Listen, and create the client."""
        self.server.start_thread()
        host, port = self.server.bind_addr
        self.client = StoreClient(f"{host}:{port}", self.metrics)
