"""Start order of a node: no component gets a message before those it forwards to have started."""

from typing import Any

import pytest

from roadpass.gossip import Gossip
from roadpass.gossip_messages import Begin
from roadpass.node import Node
from roadpass.settings import Ports, Settings, StoreSettings


class FakeActor:
    """Fake actor that records the messages it receives in a log shared by all fakes."""

    def __init__(self, name: str, log: list[str]) -> None:
        self._name = name
        self._log = log

    def tell(self, message: Any) -> None:
        """Record a message."""
        self._log.append(f"{self._name} received {type(message).__name__}")

    def proxy(self) -> "FakeActor":
        """Return itself, as a fake proxy."""
        return self


@pytest.mark.parametrize("store", [None, StoreSettings("127.0.0.1:1")])
def test_gossip_begins_after_the_components_that_handle_datagrams(
    monkeypatch: pytest.MonkeyPatch, store: StoreSettings | None
) -> None:
    """Datagrams are forwarded to the reader, the puller and the monitor, so these must exist."""
    log: list[str] = []

    def start(_: Node, kind: type, *__: Any, **___: Any) -> FakeActor:
        log.append(kind.__name__)
        return FakeActor(kind.__name__, log)

    monkeypatch.setattr(Node, "_start", start)
    ports = Ports(8101, 8102, 8102, 8103)
    settings = Settings("vm-1", "hall", "region", "127.0.0.1", "127.0.0.1", ports, "http://x")
    node = Node(settings._replace(store=store))
    node.start()
    gossip_start = log.index(f"{Gossip.__name__} received {Begin.__name__}")
    reader = "Reader" if store is None else "StoreReader"
    assert {"HealthMonitor", "Puller", reader} <= set(log[:gossip_start])
    node._pause.stop()
