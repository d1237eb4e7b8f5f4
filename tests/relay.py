"""A relay between nodes that can cut one direction: it drops datagrams and stalls streams."""

import asyncio
import contextlib
import threading
from collections.abc import Sequence
from functools import partial
from typing import cast

from stand_ins.launcher import PORTS

POLL_S = 0.02
CHUNK = 65536


class Relay:
    """Listens on the advertised address of every node and forwards to its real one.

    Args:
        net: Third byte of the nodes' real addresses.
        advertise_net: Third byte of the advertised addresses.
        count: Number of nodes; they are numbered from 1.
    """

    def __init__(self, net: int, advertise_net: int, count: int) -> None:
        self._net = net
        self._advertise_net = advertise_net
        self._count = count
        self._cuts: set[tuple[str, str]] = set()
        self._listening: list[asyncio.Server | asyncio.BaseTransport] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Listen for all nodes."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._listen(), self._loop).result(10.0)

    def stop(self) -> None:
        """Stop forwarding and free the addresses."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(10.0)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10.0)

    def cut(self, sources: Sequence[str], destinations: Sequence[str]) -> None:
        """Block all traffic from the source addresses to the destination addresses."""
        self._cuts |= {(one, other) for one in sources for other in destinations}

    def heal(self, sources: Sequence[str], destinations: Sequence[str]) -> None:
        """Undo a cut; stalled data of streams is then delivered."""
        self._cuts -= {(one, other) for one in sources for other in destinations}

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether a direction is cut."""
        return (source, destination) in self._cuts

    async def _listen(self) -> None:
        for number in range(1, self._count + 1):
            real = f"127.0.{self._net}.{number}"
            advertised = f"127.0.{self._advertise_net}.{number}"
            server = await asyncio.start_server(
                partial(self._stream, real), advertised, PORTS["stream"]
            )
            transport, _ = await self._loop.create_datagram_endpoint(
                partial(_Datagrams, self, real), local_addr=(advertised, PORTS["gossip"])
            )

            self._listening += [server, transport]

    async def _close(self) -> None:
        for listening in self._listening:
            listening.close()
        self._listening.clear()

    async def _stream(
        self, real: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source: str = writer.get_extra_info("peername")[0]
        try:
            onward_reader, onward = await asyncio.open_connection(real, PORTS["stream"])
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pipe(source, real, reader, onward),
            self._pipe(real, source, onward_reader, writer),
        )

    async def _pipe(
        self,
        source: str,
        destination: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                while self.is_cut(source, destination):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        writer.close()


class _Datagrams(asyncio.DatagramProtocol):
    """Forwards datagrams to one node."""

    def __init__(self, relay: Relay, real: str) -> None:
        self._relay = relay
        self._real = real
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if self._transport and not self._relay.is_cut(address[0], self._real):
            self._transport.sendto(data, (self._real, PORTS["gossip"]))
