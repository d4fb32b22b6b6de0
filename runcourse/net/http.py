"""HTTP/1.1 over asyncio streams, with h11: a server, and a client with pooled connections."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections import deque
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import NamedTuple

import h11

from ..wire.codec import CONTENT_TYPE, MAX_BODY

log = logging.getLogger("runcourse.http")

READ_SIZE = 65536
IDLE_S = 75.0
BODY_S = 10.0
CLOSED_PER_ROTATION = 16  # connections ended as too many, until a kept one gives way
REASONS = {
    200: b"OK",
    201: b"Created",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Headers Too Large",
    503: b"Service Unavailable",
}


class Reply(NamedTuple):
    """The answer to a request."""

    status: int
    body: bytes = b""
    retry_after: float | None = None
    content_type: str = CONTENT_TYPE


Handler = Callable[[str, str, bytes], Awaitable[Reply]]


_END = h11.EndOfMessage()


# h11 checks every header of every message that it is told to send; few differ.


@lru_cache(maxsize=1024)
def _response(
    status: int, content_type: str, length: int, retry_after: int | None, close: bool
) -> h11.Response:
    headers = [("Content-Type", content_type), ("Content-Length", str(length))]
    if retry_after is not None:
        headers.append(("Retry-After", str(retry_after)))
    if close:
        headers.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))


@lru_cache(maxsize=1024)
def _request_head(method: str, target: str, host: str, length: int | None) -> h11.Request:
    headers = [("Host", host)]
    if length is not None:
        headers += [("Content-Type", CONTENT_TYPE), ("Content-Length", str(length))]
    return h11.Request(method=method, target=target, headers=headers)


class Server:
    """Serves one handler; faults of a client end its connection, never the process."""

    def __init__(
        self, handler: Handler, max_connections: int, crowd: str = "", crowd_connections: int = 0
    ) -> None:
        """Of the connections, those whose clients ask for the path `crowd` have a limit of their
        own: beyond it their answers end the connection, so there are always some for others.
        Which ones are kept rotates slowly, so that none of many clients always has to connect."""
        self._handler = handler
        self._max = max_connections
        self._crowd = crowd
        self._crowd_max = crowd_connections
        self._crowded: dict[asyncio.StreamWriter, None] = {}  # those kept for longest first
        self._giving_way: set[asyncio.StreamWriter] = set()  # of those, to be ended when answered
        self._turned_away = 0
        self._open: set[asyncio.StreamWriter] = set()
        # Without a whole request's head, oldest first; since when.
        self._idle: dict[asyncio.StreamWriter, float] = {}
        self._server: asyncio.Server | None = None

    @property
    def open(self) -> int:
        """Connections open now."""
        return len(self._open)

    @property
    def limited_open(self) -> int:
        """Those of the crowd among them."""
        return len(self._crowded)

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=256)
        self._sweep()

    def _sweep(self) -> None:
        """One timer for all connections: thousands of them, set and cancelled for each request,
        took more time than the reading."""
        if self._server is None or not self._server.is_serving():
            return
        loop = asyncio.get_running_loop()
        for writer, since in list(self._idle.items()):
            if loop.time() - since < IDLE_S:
                break
            self._forget(writer)
            writer.close()
        loop.call_later(IDLE_S / 8, self._sweep)

    @property
    def port(self) -> int:
        """The port listened on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.serve(reader, writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, begun: bytes = b""
    ) -> None:
        """Serve one connection, of which `begun` was read already."""
        if len(self._open) >= self._max and not self._close_oldest_idle():
            writer.transport.abort()
            return
        self._open.add(writer)
        try:
            await self._converse(reader, writer, begun)
        except (TimeoutError, OSError, h11.LocalProtocolError):
            pass
        finally:
            self._forget(writer)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    def _forget(self, writer: asyncio.StreamWriter) -> None:
        self._open.discard(writer)
        self._leave_crowd(writer)
        self._idle.pop(writer, None)

    def _leave_crowd(self, writer: asyncio.StreamWriter) -> None:
        self._crowded.pop(writer, None)
        self._giving_way.discard(writer)

    def _close_oldest_idle(self) -> bool:
        """A client whose connection is closed between two requests opens another one; one that
        is refused may take the node for dead."""
        writer = next(iter(self._idle), None)
        if writer is None:
            return False
        self._forget(writer)
        writer.close()
        return True

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, begun: bytes
    ) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=16 * 1024)
        if begun:
            conn.receive_data(begun)
        while True:
            try:
                self._idle[writer] = asyncio.get_running_loop().time()
                request, body = await self._request(conn, reader, writer)
            except h11.RemoteProtocolError as problem:
                await self._refuse(conn, writer, problem.error_status_hint or 400)
                return
            if request is None:
                return
            if body is None:
                await self._refuse(conn, writer, 413)
                return
            target = request.target.decode("ascii", "replace")
            reply = await self._handler(request.method.decode("ascii"), target, body)
            if writer.is_closing():  # the client is gone; uvloop raises if it is written to
                return
            writer.write(self._encode(conn, reply, self._crowds(writer, target)))
            await writer.drain()
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    def _crowds(self, writer: asyncio.StreamWriter, target: str) -> bool:
        """Must this answer end its connection, as there are too many of its kind?"""
        if not self._crowd or target != self._crowd:
            self._leave_crowd(writer)
            return False
        if writer in self._giving_way:
            self._leave_crowd(writer)
            return True
        if writer not in self._crowded and len(self._crowded) >= self._crowd_max:
            self._rotate()
            return True
        self._crowded[writer] = None
        return False

    def _rotate(self) -> None:
        """Now and then the connection kept for longest gives way, so the next to come is kept."""
        self._turned_away += 1
        if self._turned_away % CLOSED_PER_ROTATION == 0:
            oldest = next((w for w in self._crowded if w not in self._giving_way), None)
            if oldest is not None:
                self._giving_way.add(oldest)

    async def _request(
        self, conn: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[h11.Request | None, bytes | None]:
        """The next request; no request at the end of the connection, no body if too large."""
        request: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if request is None:  # no timer for each: see `_sweep`
                    data = await reader.read(READ_SIZE)
                else:
                    async with asyncio.timeout(BODY_S):
                        data = await reader.read(READ_SIZE)
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                self._idle.pop(writer, None)
                request = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY:
                    return request, None
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return request, b"".join(chunks)
            else:
                return None, b""

    def _encode(self, conn: h11.Connection, reply: Reply, close: bool = False) -> bytes:
        after = None if reply.retry_after is None else max(1, round(reply.retry_after))
        parts = [
            conn.send(_response(reply.status, reply.content_type, len(reply.body), after, close))
        ]
        if reply.body:
            parts.append(conn.send(h11.Data(data=reply.body)))
        parts.append(conn.send(_END))
        return b"".join(p for p in parts if p)

    async def _refuse(
        self, conn: h11.Connection, writer: asyncio.StreamWriter, status: int
    ) -> None:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE) and not writer.is_closing():
            writer.write(self._encode(conn, Reply(status), close=True))
            with contextlib.suppress(OSError):
                await writer.drain()
        writer.close()


class NotSent(Exception):
    """The request surely did not leave."""


class TooLate(NotSent):
    """It did not leave, as its time had passed."""


class Unanswered(Exception):
    """The request may have been carried out, or may yet be."""


class _Link:
    __slots__ = ("conn", "reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.conn = h11.Connection(h11.CLIENT)


class Client:
    """Requests to one address. A connection carries one request at a time and is kept."""

    def __init__(self, host: str, port: int, limit: int = 4, connect_s: float = 1.0) -> None:
        self.host = host
        self.port = port
        self._connect_s = connect_s
        self._idle: deque[_Link] = deque()
        self._slots = asyncio.Semaphore(limit)
        self._host = f"{host}:{port}"
        self._retired = False

    def retire(self) -> None:
        """No more of its connections are kept, those in use now included."""
        self._retired = True
        self.close()

    def close(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().writer.transport.abort()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes | None,
        timeout_s: float,
        until: float = math.inf,
    ) -> tuple[int, bytes]:
        """`until`: on the loop's clock, checked once nothing more is waited for before the
        request leaves; a slot, a connection or a pause of the process may have taken long."""
        async with self._slots:
            link = await self._link()
            if asyncio.get_running_loop().time() >= until:
                self._idle.append(link)
                raise TooLate(self._host)
            try:
                async with asyncio.timeout(timeout_s):
                    status, answer, keep = await self._exchange(link, method, target, body)
            except BaseException as problem:
                link.writer.transport.abort()
                self.close()  # what hung may be the path, not this one connection
                # RuntimeError: uvloop's word for a connection that was closed before the write.
                if isinstance(
                    problem,
                    (OSError, TimeoutError, EOFError, RuntimeError, h11.RemoteProtocolError),
                ):
                    raise Unanswered(f"{self._host}: {problem!r}") from problem
                raise
            if keep and not self._retired:
                link.conn.start_next_cycle()
                self._idle.append(link)
            else:
                link.writer.close()
            return status, answer

    async def _link(self) -> _Link:
        while self._idle:
            link = self._idle.pop()
            if not link.reader.at_eof() and not link.writer.is_closing():
                return link
            link.writer.transport.abort()
        try:
            async with asyncio.timeout(self._connect_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except (OSError, TimeoutError) as problem:
            raise NotSent(f"{self._host}: {problem!r}") from problem
        return _Link(reader, writer)

    async def _exchange(
        self, link: _Link, method: str, target: str, body: bytes | None
    ) -> tuple[int, bytes, bool]:
        conn = link.conn
        parts = [
            conn.send(
                _request_head(method, target, self._host, None if body is None else len(body))
            )
        ]
        if body:
            parts.append(conn.send(h11.Data(data=body)))
        parts.append(conn.send(_END))
        link.writer.write(b"".join(p for p in parts if p))
        status = 0
        chunks: list[bytes] = []
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                data = await link.reader.read(READ_SIZE)
                conn.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                keep = conn.our_state is h11.DONE and conn.their_state is h11.DONE
                return status, b"".join(chunks), keep
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed")
