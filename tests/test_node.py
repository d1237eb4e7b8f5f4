"""How a node is put together: no part is told anything before those that it hands on to exist."""

from typing import Any

import pytest

from roadpass.gossip import Gossip
from roadpass.gossip_messages import Begin
from roadpass.node import Node
from roadpass.settings import Ports, Settings, StoreSettings


class Part:
    """Stands for an actor; notes what it is told, in a log that all parts share."""

    def __init__(self, name: str, log: list[str]) -> None:
        self._name = name
        self._log = log

    def tell(self, message: Any) -> None:
        """Note a message."""
        self._log.append(f"{self._name} told {type(message).__name__}")

    def proxy(self) -> "Part":
        """Return something to call."""
        return self


@pytest.mark.parametrize("store", [None, StoreSettings("127.0.0.1:1")])
def test_datagrams_are_read_only_once_all_that_hear_of_them_are_there(
    monkeypatch: pytest.MonkeyPatch, store: StoreSettings | None
) -> None:
    """A word on the source goes to its reader, a newer version to the puller."""
    log: list[str] = []

    def start(_: Node, kind: type, *__: Any, **___: Any) -> Part:
        log.append(kind.__name__)
        return Part(kind.__name__, log)

    monkeypatch.setattr(Node, "_start", start)
    ports = Ports(8101, 8102, 8102, 8103)
    settings = Settings("vm-1", "hall", "region", "127.0.0.1", "127.0.0.1", ports, "http://x")
    node = Node(settings._replace(store=store))
    node.start()
    begun = log.index(f"{Gossip.__name__} told {Begin.__name__}")
    reader = "Reader" if store is None else "StoreReader"
    assert {"HealthMonitor", "Puller", reader} <= set(log[:begun])
    node._pause.stop()
