"""HTTP with MessagePack bodies over asyncio: a small server, a client and a TCP proxy."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any] | None]]
HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT = 15_000, 30_000


_next_port = FIRST_PORT + 16 * os.getpid() % (LAST_PORT - FIRST_PORT)


def free_port() -> int:
    """Returns a free port below those that the system gives to others meanwhile.

    Scripts that run beside each other begin at different ports.
    """
    global _next_port
    while True:
        port = _next_port
        _next_port = port + 1 if port < LAST_PORT else FIRST_PORT
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


def abort(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _head_and_body(reader: asyncio.StreamReader) -> tuple[str, bytes, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    return head[0], await reader.readexactly(length) if length else b"", fields


class HttpServer:
    """Serves one handler; it gets method, target and decoded body, and returns status and body.

    A handler that returns None leaves the request without an answer: the connection is closed.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> int:
        """Listens and returns the port."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                line, body, _ = await _head_and_body(reader)
                method, target, _ = line.split(" ", 2)
                decoded = msgspec.msgpack.decode(body) if body else None
                answer = await self.handler(method, target, decoded)
                if answer is None:
                    return
                status, value = answer
                content = msgspec.msgpack.encode(value)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/msgpack\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(content), content)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class NoConnection(Exception):
    """Raised if no connection could be opened."""


class HttpClient:
    """One kept connection to an address."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, target: str, body: Any, timeout_s: float, connect_s: float = 0.5
    ) -> tuple[int, Any, dict[str, str]]:
        """Returns status, decoded body and fields; raises NoConnection, OSError or TimeoutError."""
        if self._streams is not None and self._streams[0].at_eof():
            self.close()
        if self._streams is None:
            try:
                async with asyncio.timeout(connect_s):
                    self._streams = await asyncio.open_connection(HOST, self.port)
            except (OSError, TimeoutError) as error:
                raise NoConnection(str(error)) from error
        reader, writer = self._streams
        content = msgspec.msgpack.encode(body) if body is not None else b""
        try:
            async with asyncio.timeout(timeout_s):
                writer.write(
                    f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                line, answer, fields = await _head_and_body(reader)
        except asyncio.IncompleteReadError as error:
            self.close()
            raise ConnectionResetError("closed") from error
        except BaseException:
            self.close()
            raise
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), msgspec.msgpack.decode(answer) if answer else None, fields

    def close(self) -> None:
        """Ends the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class Proxy:
    """Forwards TCP connections to a port.

    `mode` is `pass`, `hold` (bytes wait until the mode changes, also those of connections that
    were closed meanwhile) or `reset` (connections are reset, new ones as soon as they are made).
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self.port = 0
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listens and returns the port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def set_mode(self, mode: str) -> None:
        """Changes the mode."""
        self.mode = mode
        if mode == "reset":
            self.reset_all()
        self._changed.set()
        self._changed = asyncio.Event()

    def reset_all(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            abort(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            if self.mode == "reset":
                abort(writer)
                return
            await self._wait_for_pass()
            back, other = await asyncio.open_connection(HOST, self.target)
            self._writers.add(other)
            pumps = [
                asyncio.ensure_future(self._pump(reader, other)),
                asyncio.ensure_future(self._pump(back, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.ALL_COMPLETED)
        except OSError:
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.transport.abort()

    async def _wait_for_pass(self) -> None:
        while self.mode == "hold":
            await self._changed.wait()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._wait_for_pass()
                writer.write(data)
                await writer.drain()
        except OSError:
            abort(writer)
        finally:
            with contextlib.suppress(OSError, RuntimeError):
                await self._wait_for_pass()
                writer.write_eof()

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
