"""Links between the controllers: JSON lines over TCP, one direction a connection."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from ..core.ids import Member
from .http import Server

log = logging.getLogger("runcourse.peers")

QUEUE = 500
LINE_LIMIT = 1 << 20
STUCK_BYTES = 1 << 20

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder()


class _Outbound:
    """Keeps a connection to one peer; what can't be sent soon is dropped, oldest first."""

    def __init__(self, me: Member, host: str, port: int) -> None:
        self._me = me
        self._host = host
        self._port = port
        self._queue: deque[bytes] = deque(maxlen=QUEUE)
        self._wake = asyncio.Event()

    def send(self, message: dict[str, Any]) -> None:
        self._queue.append(_encoder.encode(message) + b"\n")
        self._wake.set()

    async def run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(1.5):
                    reader, writer = await asyncio.open_connection(self._host, self._port)
            except (OSError, TimeoutError):
                self._queue.clear()
                await asyncio.sleep(0.25)
                continue
            try:
                await self._pump(reader, writer)
            except (OSError, TimeoutError):
                pass
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.1)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(_encoder.encode({"member": self._me}) + b"\n")
        ended = asyncio.ensure_future(reader.read(1))
        try:
            while not ended.done():
                self._wake.clear()
                if self._queue:
                    writer.write(b"".join(self._queue))
                    self._queue.clear()
                    if writer.transport.get_write_buffer_size() > STUCK_BYTES:
                        return
                waker = asyncio.ensure_future(self._wake.wait())
                await asyncio.wait((ended, waker), return_when=asyncio.FIRST_COMPLETED)
                waker.cancel()
        finally:
            ended.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await ended


class PeerLinks:
    def __init__(
        self,
        me: Member,
        peers: dict[Member, tuple[str, int]],
        heard: Callable[[Member, dict[str, Any]], None],
        operators_ask: Callable[[dict[str, Any]], dict[str, Any]],
        http: Server,
    ) -> None:
        self._out = {m: _Outbound(me, *addr) for m, addr in peers.items()}
        self._heard = heard
        self._operators_ask = operators_ask
        self._http = http
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=LINE_LIMIT)
        self._tasks = [asyncio.create_task(o.run()) for o in self._out.values()]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def send(self, member: Member | None, message: dict[str, Any]) -> None:
        for name, out in self._out.items():
            if member is None or member == name:
                out.send(message)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(5):
                begun = await reader.readline()
            if begun.startswith(b"GET "):
                await self._http.serve(reader, writer, begun)
                return
            first = _decoder.decode(begun)
            if isinstance(first, dict) and first.get("ask"):
                writer.write(_encoder.encode(self._operators_ask(first)) + b"\n")
                await writer.drain()
                return
            member = Member(first["member"])
            if member not in self._out:
                return
            while line := await reader.readline():
                message = _decoder.decode(line)
                if isinstance(message, dict):
                    self._heard(member, message)
        except (OSError, TimeoutError, ValueError, KeyError, TypeError, msgspec.DecodeError):
            log.debug("peer connection ended", exc_info=True)
        finally:
            writer.close()
