"""HTTP/1.1 over asyncio streams with h11: a server, and a client with pooled connections."""

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

from ..wire.codec import CONTENT_TYPE, MAX_BODY_BYTES

log = logging.getLogger("runcourse.http")

READ_SIZE_BYTES = 65536
MAX_HEAD_BYTES = 16 * 1024
IDLE_TIMEOUT_S = 75.0  # without a request on a connection; then the server closes it
IDLE_CHECKS_PER_TIMEOUT = 8
BODY_TIMEOUT_S = 10.0  # for each read of a request's body
LISTEN_BACKLOG = 256
CACHED_HEADS = 1024
DEFAULT_CONNECTIONS = 4
DEFAULT_CONNECT_TIMEOUT_S = 1.0
# After this many connections closed because the limit of `limited_path` was reached, the oldest
# kept one is closed too.
CLOSED_PER_ROTATION = 16
REASON_PHRASES = {
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


_END_OF_MESSAGE = h11.EndOfMessage()


# h11 validates every header of every message that it sends. Few heads differ, so they are cached.


@lru_cache(maxsize=CACHED_HEADS)
def _response_head(
    status: int, content_type: str, length: int, retry_after: int | None, close: bool
) -> h11.Response:
    headers = [("Content-Type", content_type), ("Content-Length", str(length))]
    if retry_after is not None:
        headers.append(("Retry-After", str(retry_after)))
    if close:
        headers.append(("Connection", "close"))
    return h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES.get(status, b""))


@lru_cache(maxsize=CACHED_HEADS)
def _request_head(method: str, target: str, host: str, length: int | None) -> h11.Request:
    headers = [("Host", host)]
    if length is not None:
        headers += [("Content-Type", CONTENT_TYPE), ("Content-Length", str(length))]
    return h11.Request(method=method, target=target, headers=headers)


class Server:
    """An HTTP server with one handler; errors of a client close only its connection."""

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        limited_path: str = "",
        max_limited: int = 0,
    ) -> None:
        """Creates a server of at most `max_connections` connections.

        At most `max_limited` of them are kept for clients that request `limited_path`: beyond that,
        the answer closes the connection, so that there are always some for other clients. Which
        connections are kept rotates slowly, so that no client has to reconnect for each request.
        """
        self._handler = handler
        self._max_connections = max_connections
        self._limited_path = limited_path
        self._max_limited = max_limited
        # Kept connections of clients of `limited_path`, oldest first.
        self._limited: dict[asyncio.StreamWriter, None] = {}
        # Kept connections of clients of `limited_path` that the next answer closes.
        self._closing: set[asyncio.StreamWriter] = set()
        self._closed_over_limit = 0
        self._open: set[asyncio.StreamWriter] = set()
        # Connections that wait for the head of a request, oldest first, and since when (loop time).
        self._idle: dict[asyncio.StreamWriter, float] = {}
        self._server: asyncio.Server | None = None

    @property
    def open(self) -> int:
        """The number of open connections."""
        return len(self._open)

    @property
    def limited_open(self) -> int:
        """The number of kept connections of clients of the limited path."""
        return len(self._limited)

    async def start(self, host: str, port: int) -> None:
        """Listens on an address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=LISTEN_BACKLOG)
        self._close_idle()

    def _close_idle(self) -> None:
        """Closes connections that have been idle for too long, and schedules the next check.

        One timer serves all connections: with thousands of them, setting and cancelling a timer for
        each request takes more time than reading it.
        """
        if self._server is None or not self._server.is_serving():
            return
        loop = asyncio.get_running_loop()
        for writer, since in list(self._idle.items()):
            if loop.time() - since < IDLE_TIMEOUT_S:
                break
            self._remove(writer)
            writer.close()
        loop.call_later(IDLE_TIMEOUT_S / IDLE_CHECKS_PER_TIMEOUT, self._close_idle)

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def close(self) -> None:
        """Stops listening; open connections stay open."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.serve(reader, writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, received: bytes = b""
    ) -> None:
        """Serves one connection, from which `received` has already been read."""
        if len(self._open) >= self._max_connections and not self._close_oldest_idle():
            writer.transport.abort()
            return
        self._open.add(writer)
        try:
            await self._serve_requests(reader, writer, received)
        except (TimeoutError, OSError, h11.LocalProtocolError):
            pass
        finally:
            self._remove(writer)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    def _remove(self, writer: asyncio.StreamWriter) -> None:
        self._open.discard(writer)
        self._remove_limited(writer)
        self._idle.pop(writer, None)

    def _remove_limited(self, writer: asyncio.StreamWriter) -> None:
        self._limited.pop(writer, None)
        self._closing.discard(writer)

    def _close_oldest_idle(self) -> bool:
        """Closes the connection that has been idle for longest; returns whether there was one.

        A client whose connection is closed between two requests opens another one, but a client
        whose connection is refused may consider the node dead.
        """
        writer = next(iter(self._idle), None)
        if writer is None:
            return False
        self._remove(writer)
        writer.close()
        return True

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, received: bytes
    ) -> None:
        protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        if received:
            protocol.receive_data(received)
        while True:
            try:
                self._idle[writer] = asyncio.get_running_loop().time()
                request, body = await self._read_request(protocol, reader, writer)
            except h11.RemoteProtocolError as error:
                await self._refuse(protocol, writer, error.error_status_hint or 400)
                return
            if request is None:
                return
            if body is None:
                await self._refuse(protocol, writer, 413)
                return
            target = request.target.decode("ascii", "replace")
            reply = await self._handler(request.method.decode("ascii"), target, body)
            if writer.is_closing():  # the client closed it; uvloop raises on a write
                return
            writer.write(self._encode(protocol, reply, self._must_close(writer, target)))
            await writer.drain()
            if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
                return
            protocol.start_next_cycle()

    def _must_close(self, writer: asyncio.StreamWriter, target: str) -> bool:
        """Returns whether the answer must close the connection, as the path's limit is exceeded."""
        if not self._limited_path or target != self._limited_path:
            self._remove_limited(writer)
            return False
        if writer in self._closing:
            self._remove_limited(writer)
            return True
        if writer not in self._limited and len(self._limited) >= self._max_limited:
            self._rotate()
            return True
        self._limited[writer] = None
        return False

    def _rotate(self) -> None:
        """Marks the oldest kept connection after each `CLOSED_PER_ROTATION` closed ones.

        The next answer closes the marked connection, and a new client's connection is kept.
        """
        self._closed_over_limit += 1
        if self._closed_over_limit % CLOSED_PER_ROTATION == 0:
            oldest = next((kept for kept in self._limited if kept not in self._closing), None)
            if oldest is not None:
                self._closing.add(oldest)

    async def _read_request(
        self, protocol: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[h11.Request | None, bytes | None]:
        """Returns (request, body).

        The request is None at the end of the connection; the body is None if it is too large.
        """
        request: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                if request is None:  # without a timer: see `_close_idle`
                    data = await reader.read(READ_SIZE_BYTES)
                else:
                    async with asyncio.timeout(BODY_TIMEOUT_S):
                        data = await reader.read(READ_SIZE_BYTES)
                protocol.receive_data(data)
            elif isinstance(event, h11.Request):
                self._idle.pop(writer, None)
                request = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return request, None
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return request, b"".join(chunks)
            else:
                return None, b""

    def _encode(self, protocol: h11.Connection, reply: Reply, close: bool = False) -> bytes:
        retry_after = None if reply.retry_after is None else max(1, round(reply.retry_after))
        parts = [
            protocol.send(
                _response_head(
                    reply.status, reply.content_type, len(reply.body), retry_after, close
                )
            )
        ]
        if reply.body:
            parts.append(protocol.send(h11.Data(data=reply.body)))
        parts.append(protocol.send(_END_OF_MESSAGE))
        return b"".join(part for part in parts if part)

    async def _refuse(
        self, protocol: h11.Connection, writer: asyncio.StreamWriter, status: int
    ) -> None:
        if protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE) and not writer.is_closing():
            writer.write(self._encode(protocol, Reply(status), close=True))
            with contextlib.suppress(OSError):
                await writer.drain()
        writer.close()


class NotSent(Exception):
    """Raised if the request was certainly not sent."""


class TooLate(NotSent):
    """Raised if the request was not sent because its time had passed."""


class Unanswered(Exception):
    """Raised if no answer came: the request may have been carried out, or may yet be."""


class _Connection:
    __slots__ = ("protocol", "reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)


class Client:
    """Sends requests to one address over at most `limit` connections.

    A connection carries one request at a time and is kept for later requests.
    """

    def __init__(
        self,
        host: str,
        port: int,
        limit: int = DEFAULT_CONNECTIONS,
        connect_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ) -> None:
        self.host = host
        self.port = port
        self._connect_s = connect_s
        self._idle: deque[_Connection] = deque()
        self._slots = asyncio.Semaphore(limit)
        self._address = f"{host}:{port}"
        self._retired = False

    def retire(self) -> None:
        """Closes idle connections, and those in use as soon as they are answered."""
        self._retired = True
        self.close()

    def close(self) -> None:
        """Closes the connections that are not in use."""
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
        """Sends a request and returns (status, body of the answer).

        Raises `TooLate` if the loop's clock has reached `until`. This is checked last before the
        request is sent, as waiting for a slot or a connection or a pause of the process may have
        taken long. Raises `NotSent` if it cannot connect, `Unanswered` if no answer comes.
        """
        async with self._slots:
            connection = await self._acquire()
            if asyncio.get_running_loop().time() >= until:
                self._idle.append(connection)
                raise TooLate(self._address)
            try:
                async with asyncio.timeout(timeout_s):
                    status, answer, keep = await self._exchange(connection, method, target, body)
            except BaseException as error:
                connection.writer.transport.abort()
                self.close()  # the network path may hang, not only this connection
                # uvloop raises RuntimeError if the connection was closed before the write.
                if isinstance(
                    error,
                    (OSError, TimeoutError, EOFError, RuntimeError, h11.RemoteProtocolError),
                ):
                    raise Unanswered(f"{self._address}: {error!r}") from error
                raise
            if keep and not self._retired:
                connection.protocol.start_next_cycle()
                self._idle.append(connection)
            else:
                connection.writer.close()
            return status, answer

    async def _acquire(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.transport.abort()
        try:
            async with asyncio.timeout(self._connect_s):
                reader, writer = await asyncio.open_connection(self.host, self.port)
        except (OSError, TimeoutError) as error:
            raise NotSent(f"{self._address}: {error!r}") from error
        return _Connection(reader, writer)

    async def _exchange(
        self, connection: _Connection, method: str, target: str, body: bytes | None
    ) -> tuple[int, bytes, bool]:
        protocol = connection.protocol
        parts = [
            protocol.send(
                _request_head(method, target, self._address, None if body is None else len(body))
            )
        ]
        if body:
            parts.append(protocol.send(h11.Data(data=body)))
        parts.append(protocol.send(_END_OF_MESSAGE))
        connection.writer.write(b"".join(part for part in parts if part))
        status = 0
        chunks: list[bytes] = []
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                data = await connection.reader.read(READ_SIZE_BYTES)
                protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                keep = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
                return status, b"".join(chunks), keep
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed")
