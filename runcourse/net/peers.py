"""Links between the controllers: JSON lines over TCP, one direction a connection."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from ..core.ids import Member
from ..wire.peer_messages import (
    Introduction,
    MalformedPeerMessage,
    OperatorQuestion,
    PeerMessage,
    decode,
    decode_first,
    encode,
)
from .http import Server

log = logging.getLogger("runcourse.peers")

MAX_QUEUED_BYTES = 4 << 20  # for one peer; a plan for a large fleet is many messages
LINE_LIMIT = 1 << 20
MAX_UNSENT_BYTES = 1 << 20


class _Outbound:
    """Keeps a connection to one peer; what can't be sent soon is dropped, oldest first."""

    def __init__(self, me: Member, host: str, port: int) -> None:
        self._me = me
        self._host = host
        self._port = port
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = asyncio.Event()

    def send(self, line: bytes) -> None:
        self._queue.append(line)
        self._queued_bytes += len(line)
        while self._queued_bytes > MAX_QUEUED_BYTES:
            self._queued_bytes -= len(self._queue.popleft())
        self._wake.set()

    def _take_queue(self) -> bytes:
        lines = b"".join(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        return lines

    async def run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(1.5):
                    reader, writer = await asyncio.open_connection(self._host, self._port)
            except (OSError, TimeoutError):
                self._take_queue()
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
        writer.write(encode(Introduction(self._me)))
        ended = asyncio.ensure_future(reader.read(1))
        try:
            while not ended.done():
                self._wake.clear()
                if self._queue:
                    writer.write(self._take_queue())
                    if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                        return
                waker = asyncio.ensure_future(self._wake.wait())
                await asyncio.wait((ended, waker), return_when=asyncio.FIRST_COMPLETED)
                waker.cancel()
        finally:
            ended.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await ended


class PeerLinks:
    """All links of one controller, and the questions of operators' tools."""

    def __init__(
        self,
        me: Member,
        peers: dict[Member, tuple[str, int]],
        heard: Callable[[Member, PeerMessage], None],
        operators_ask: Callable[[OperatorQuestion], Awaitable[dict[str, Any]]],
        http: Server,
    ) -> None:
        self._out = {m: _Outbound(me, *addr) for m, addr in peers.items()}
        self._heard = heard
        self._operators_ask = operators_ask
        self._http = http
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.malformed: dict[str, int] = {}  # lines that were ignored, by kind

    async def start(self, host: str, port: int) -> None:
        """Listen, and keep a connection to each peer."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=LINE_LIMIT)
        self._tasks = [asyncio.create_task(o.run()) for o in self._out.values()]

    async def close(self) -> None:
        """Stop listening and connecting."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def send(self, member: Member | None, message: PeerMessage) -> None:
        """Queue a message for one peer, or for all if `member` is None."""
        line = encode(message)
        for name, out in self._out.items():
            if member is None or member == name:
                out.send(line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(5):
                begun = await reader.readline()
            if begun.startswith(b"GET "):
                await self._http.serve(reader, writer, begun)
                return
            first = decode_first(begun)
            if isinstance(first, OperatorQuestion):
                answer = await self._operators_ask(first)
                writer.write(msgspec.json.encode(answer) + b"\n")
                await writer.drain()
            elif first.member in self._out:
                while line := await reader.readline():
                    self._receive(first.member, line)
        except MalformedPeerMessage as problem:
            self._note_malformed("unknown", problem)
        except (OSError, TimeoutError, ValueError):
            log.debug("peer connection ended", exc_info=True)
        finally:
            writer.close()

    def _receive(self, member: Member, line: bytes) -> None:
        try:
            message = decode(line)
        except MalformedPeerMessage as problem:
            self._note_malformed(member, problem)
        else:
            self._heard(member, message)

    def _note_malformed(self, sender: str, problem: MalformedPeerMessage) -> None:
        """A faulty or unknown message is counted, logged once a kind, and ignored."""
        self.malformed[problem.kind] = self.malformed.get(problem.kind, 0) + 1
        if self.malformed[problem.kind] == 1:
            log.warning("malformed message from %s (%s): %s", sender, problem.kind, problem)
