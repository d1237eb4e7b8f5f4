"""Baseline for the latency of roadpass: the same libraries and hops, without any decision.

`front ADDRESS BACK TARGET` accepts HTTP requests and forwards each over a stream. `back ADDRESS`
accepts streams and forwards requests to the target by HTTP. Its added latency is the least that
roadpass can add with these libraries.
"""

import socket
import sys
import threading
from typing import NamedTuple

from roadpass.message import Attempt, LoadReport, Reply
from roadpass.outcome import Answered
from roadpass.peer_pool import Address, PeerPool
from roadpass.stream import Stream
from roadpass.target import TargetClient
from roadpass.web import WebGateway, WebServer

THREADS = 48
TIMEOUT_S = 10.0
SWITCH_INTERVAL_S = 0.0005
NO_LOAD = LoadReport(0, 0, 1, 0.0, 0.0, 0.0, 1)
HELLO = {"t": "hello", "vm": "plumbing", "incarnation": 1}


class Front(NamedTuple):
    """Where the front forwards requests."""

    peers: PeerPool
    back: Address
    target: str


class _FrontGateway(WebGateway):
    """Forwards a request to the back."""

    def answer(self) -> None:
        front: Front = self.req.server.owner
        attempt = Attempt(
            id="a/1/1",
            target=front.target,
            route="r",
            method=self.method,
            path=self.uri,
            headers=self.headers(),
            body=self.body(),
            remaining_ms=TIMEOUT_S * 1e3,
            traffic_class="c",
            caller="c",
            repeatable=True,
            retry=False,
            revision=1,
            slow_ms=0.0,
        )
        message = front.peers.exchange(front.back, attempt.to_message(), timeout_s=TIMEOUT_S)
        match Reply.from_message(message).outcome:
            case Answered(status=status, headers=headers, body=body):
                self.reply(status, headers, body)
            case _:
                self.reply(502, [], b"")


def run_front(address: Address, back: Address, target: str) -> None:
    """Serve HTTP callers until killed."""
    front = Front(PeerPool(HELLO, ()), back, target)
    WebServer(address, _FrontGateway, front, threads=THREADS).safe_start()


def run_back(address: Address) -> None:
    """Serve streams until killed."""
    clients: dict[str, TargetClient] = {}
    listener = socket.create_server(address, backlog=512)
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=_serve, args=(sock, clients), daemon=True).start()


def _serve(sock: socket.socket, clients: dict[str, TargetClient]) -> None:
    stream = Stream.accept(sock, (), HELLO)
    while True:
        attempt = Attempt.from_message(stream.receive(60.0).message)
        client = clients.setdefault(attempt.target, TargetClient(attempt.target))
        response = client.send(
            attempt.id,
            attempt.method,
            attempt.path,
            attempt.headers,
            attempt.body,
            timeout_s=TIMEOUT_S,
            fresh=False,
        )
        stream.send(Reply(response.answer, NO_LOAD).to_message())


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    """Run the front or the back."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    match sys.argv[1:]:
        case ["front", address, back, target]:
            run_front(_address(address), _address(back), target)
        case ["back", address]:
            run_back(_address(address))
        case _:
            raise SystemExit(__doc__)


if __name__ == "__main__":
    main()
