"""The outside systems as the core sees them: each effect becomes one Outcome."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from ..core import types as t
from ..core.ids import FAR_FUTURE
from ..core.leader.inventory import LIST_PAGE
from ..wire import cloud_messages, codec, state_messages
from ..wire import messages as wire
from .full_read import FullRead
from .http import Client, NotSent, TooLate, Unanswered

log = logging.getLogger("runcourse.net")

READ_S = 1.5
PAGE_S = 4.0
COMMIT_S = 2.5
RENEW_S = 1.5  # a slow answer still counts from its sending
CLOUD_S = 8.0
COMMAND_S = 2.0
PAGE = 1000  # keys, by the protocol

Result = tuple[int, Any, bool]


class Caller:
    """Counts and logs what malformed answers there are, once for each kind."""

    def __init__(self) -> None:
        self.malformed: dict[str, int] = {}

    async def call(
        self,
        client: Client,
        method: str,
        target: str,
        body: Any,
        timeout_s: float,
        read: Callable[[bytes], Any],
        also: tuple[int, ...] = (),
        until: float = FAR_FUTURE,
    ) -> Result:
        """(status, what `read` makes of a good answer, whether it may have been sent)"""
        data = codec.encode(body) if body is not None else None
        try:
            status, answer = await client.request(method, target, data, timeout_s, until)
        except TooLate:
            return 0, t.LATE, False
        except NotSent:
            return 0, None, False
        except Unanswered:
            return 0, None, True
        if status != 200 and status not in also:
            return status, None, True
        try:
            return status, read(answer), True
        except codec.Malformed as problem:
            place = f"{client.host}:{client.port} {method} {target.partition('?')[0]}"
            if place not in self.malformed:
                log.warning("malformed answer from %s: %s", place, problem)
            self.malformed[place] = self.malformed.get(place, 0) + 1
            return 0, None, True  # as good as no answer


class StateService(Caller):
    """Requests to the state service."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._client = Client(host, port, limit=12)
        self._renewals = Client(host, port, limit=2)
        self._full_read = FullRead(self)

    async def read_all(self, root: str) -> Result:
        """Every key, and the revision from which on changes must be followed."""
        return await self._full_read.run(root)

    async def page(self, root: str, since: str) -> Result:
        """A page of the keys under the root, after `since`."""
        target = f"/keys?under={root}&most={PAGE}" + (f"&since={since}" if since else "")
        return await self.call(self._client, "GET", target, None, PAGE_S, state_messages.page)

    async def follow(self, root: str, since: int) -> Result:
        """Changes under the root since a revision."""
        return await self.call(
            self._client,
            "GET",
            f"/follow?under={root}&since={since}&wait_ms=0",
            None,
            READ_S,
            state_messages.decode_events,
        )

    async def commit(self, effect: t.Commit) -> Result:
        """Carry out a transaction."""
        return await self.call(
            self._client,
            "POST",
            "/commit",
            state_messages.transaction(effect.when, effect.then),
            COMMIT_S,
            state_messages.decode_commit,
            until=effect.until,
        )

    async def grant(self, ttl_ms: int) -> Result:
        """Obtain a lease."""
        return await self.call(
            self._renewals, "POST", "/leases", {"life_ms": ttl_ms}, RENEW_S, state_messages.granted
        )

    async def extend(self, grant: int) -> Result:
        """Renew a lease."""
        return await self.call(
            self._renewals, "POST", f"/leases/{grant}/extend", {}, RENEW_S, lambda body: None
        )


class Cloud(Caller):
    """Keeps within the cloud's budget by spacing its requests."""

    def __init__(self, host: str, port: int, rps: float) -> None:
        super().__init__()
        self._client = Client(host, port, limit=4, connect_s=2.0)
        self._gap = 1.0 / (0.8 * rps)
        self._next = 0.0
        self._pace = asyncio.Lock()

    async def _wait_for_slot(self) -> None:
        # One waits at a time: those that fell due while the process stood still don't go at once.
        async with self._pace:
            loop = asyncio.get_running_loop()
            if self._next > loop.time():
                await asyncio.sleep(self._next - loop.time())
            self._next = loop.time() + self._gap

    async def _call_paced(
        self, method: str, target: str, body: Any, read: Callable[[bytes], Any]
    ) -> Result:
        await self._wait_for_slot()
        return await self.call(self._client, method, target, body, CLOUD_S, read)

    async def catalog(self) -> Result:
        """The machine types."""
        return await self._call_paced("GET", "/catalog", None, cloud_messages.catalog)

    async def list_machines(self) -> Result:
        """All pages of the machine list."""
        machines: list[t.CloudMachine] = []
        since: str | None = None
        while True:
            status, body, sent = await self._call_paced(
                "GET", cloud_messages.list_path(since, LIST_PAGE), None, cloud_messages.cloud_list
            )
            if status != 200:
                return status, None, sent
            page, more = body
            machines.extend(page)
            if not more or not page:
                return 200, tuple(machines), True
            since = page[-1].id

    async def rent(self, e: t.Rent) -> Result:
        """Rent machines."""
        return await self._call_paced(
            "POST",
            "/machines",
            cloud_messages.hire(e.name, e.type, e.zone, e.spot, e.number),
            cloud_messages.hired,
        )

    async def release(self, machines: list[Any]) -> Result:
        """Return machines."""
        return await self._call_paced(
            "POST", "/machines/release", cloud_messages.release(machines), lambda body: None
        )


class Workers(Caller):
    """Requests to workers, over connections that are kept while they are few."""

    def __init__(self, max_clients: int) -> None:
        super().__init__()
        self._max = max_clients
        self._clients: OrderedDict[str, Client] = OrderedDict()

    async def command(self, effect: t.Command) -> Result:
        """Send orders to a worker."""
        client = self._client(effect.addr)
        if client is None:
            return 0, None, False
        return await self.call(
            client,
            "POST",
            "/do",
            wire.commands(effect.token, effect.session, effect.orders),
            COMMAND_S,
            wire.decode_report,
            also=(409,),
            until=effect.until,
        )

    async def status(self, addr: str) -> Result:
        """Ask a worker for its report."""
        client = self._client(addr)
        if client is None:
            return 0, None, False
        return await self.call(client, "GET", "/status", None, COMMAND_S, wire.decode_report)

    def _client(self, addr: str) -> Client | None:
        client = self._clients.get(addr)
        if client is None:
            host, _, port = addr.rpartition(":")
            if not host or not port.isdigit():
                return None
            client = self._clients[addr] = Client(host, int(port), limit=1)
            while len(self._clients) > self._max:
                self._clients.popitem(last=False)[1].retire()
        self._clients.move_to_end(addr)
        return client
