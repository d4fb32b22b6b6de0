"""Connections between controllers: JSON lines over TCP, one connection for each direction."""

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

MAX_QUEUED_BYTES = 4 << 20  # for one peer; the leader's plan for a large fleet is many messages
MAX_LINE_BYTES = 1 << 20
MAX_UNSENT_BYTES = 1 << 20  # in the socket's write buffer; beyond it the connection is closed
CONNECT_TIMEOUT_S = 1.5
CONNECT_RETRY_S = 0.25
RECONNECT_DELAY_S = 0.1
FIRST_LINE_TIMEOUT_S = 5


class _Outbound:
    """Keeps a connection to one peer and sends it the queued messages.

    Messages are dropped if the connection fails to open, and the oldest ones if the queue is full.
    """

    def __init__(self, member: Member, host: str, port: int) -> None:
        self._member = member
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
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(self._host, self._port)
            except (OSError, TimeoutError):
                self._take_queue()
                await asyncio.sleep(CONNECT_RETRY_S)
                continue
            try:
                await self._send_queued(reader, writer)
            except (OSError, TimeoutError):
                pass
            finally:
                writer.transport.abort()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _send_queued(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(encode(Introduction(self._member)))
        ended = asyncio.ensure_future(reader.read(1))
        try:
            while not ended.done():
                self._wake.clear()
                if self._queue:
                    writer.write(self._take_queue())
                    if writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                        return
                wake_task = asyncio.ensure_future(self._wake.wait())
                await asyncio.wait((ended, wake_task), return_when=asyncio.FIRST_COMPLETED)
                wake_task.cancel()
        finally:
            ended.cancel()
            with contextlib.suppress(asyncio.CancelledError, OSError):
                await ended


class PeerLinks:
    """All connections of one controller to its peers, and the questions of operators' tools."""

    def __init__(
        self,
        member: Member,
        peers: dict[Member, tuple[str, int]],
        on_message: Callable[[Member, PeerMessage], None],
        answer_operator: Callable[[OperatorQuestion], Awaitable[dict[str, Any]]],
        http: Server,
    ) -> None:
        self._outbound = {peer: _Outbound(member, *addr) for peer, addr in peers.items()}
        self._on_message = on_message
        self._answer_operator = answer_operator
        self._http = http
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.malformed: dict[str, int] = {}  # number of ignored lines by kind

    async def start(self, host: str, port: int) -> None:
        """Listens, and keeps a connection to each peer."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE_BYTES)
        self._tasks = [asyncio.create_task(outbound.run()) for outbound in self._outbound.values()]

    async def close(self) -> None:
        """Stops listening and connecting."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def send(self, member: Member | None, message: PeerMessage) -> None:
        """Queues a message for one peer, or for all if `member` is None."""
        line = encode(message)
        for name, outbound in self._outbound.items():
            if member is None or member == name:
                outbound.send(line)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(FIRST_LINE_TIMEOUT_S):
                first_line = await reader.readline()
            if first_line.startswith(b"GET "):
                await self._http.serve(reader, writer, first_line)
                return
            first = decode_first(first_line)
            if isinstance(first, OperatorQuestion):
                answer = await self._answer_operator(first)
                writer.write(msgspec.json.encode(answer) + b"\n")
                await writer.drain()
            elif first.member in self._outbound:
                while line := await reader.readline():
                    self._receive(first.member, line)
        except MalformedPeerMessage as error:
            self._note_malformed("unknown", error)
        except (OSError, TimeoutError, ValueError):
            log.debug("peer connection ended", exc_info=True)
        finally:
            writer.close()

    def _receive(self, member: Member, line: bytes) -> None:
        try:
            message = decode(line)
        except MalformedPeerMessage as error:
            self._note_malformed(member, error)
        else:
            self._on_message(member, message)

    def _note_malformed(self, sender: str, error: MalformedPeerMessage) -> None:
        """Counts a malformed or unknown message, and logs the first of its kind."""
        self.malformed[error.kind] = self.malformed.get(error.kind, 0) + 1
        if self.malformed[error.kind] == 1:
            log.warning("malformed message from %s (%s): %s", sender, error.kind, error)
