"""Small HTTP/1.1 server and client with MessagePack bodies, for the stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

pack = msgspec.msgpack.encode
unpack = msgspec.msgpack.decode
Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any]]]
CRLF = b"\r\n"


class Drop(Exception):
    """Raised by a handler that closes the connection without an answer."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Returns the first line, the headers and the body of a message."""
    head = (await reader.readuntil(CRLF * 2)).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


class Server:
    """Serves one handler on a free loopback port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> int:
        """Listens and returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, _, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                status, answer = await self.handler(method, target, unpack(body) if body else None)
                data = pack(answer)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (Drop, OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Client:
    """Sends requests to one address over one kept connection."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, target: str, body: Any = None, timeout_s: float = 4.0
    ) -> tuple[int, Any]:
        """Returns the status and the decoded body; status 0 if no answer came."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, target, body)
        except (OSError, TimeoutError, EOFError, ValueError, msgspec.DecodeError):
            self.close()
            return 0, None
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, method: str, target: str, body: Any) -> tuple[int, Any]:
        if self.streams is None or self.streams[0].at_eof():
            self.close()
            self.streams = await asyncio.open_connection(self.host, self.port)
        reader, writer = self.streams
        data = b"" if body is None else body if isinstance(body, bytes) else pack(body)
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"Content-Type: application/msgpack\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        first, headers, answer = await _read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), unpack(answer) if answer else None

    def close(self) -> None:
        """Closes the connection."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
