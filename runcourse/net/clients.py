"""Clients of the state service, the cloud and the workers; each call yields one `Outcome`."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from ..core import types
from ..core.ids import FAR_FUTURE
from ..core.leader.inventory import LIST_PAGE
from ..wire import cloud_messages, codec, state_messages
from ..wire import messages as wire
from .full_read import FullRead
from .http import Client, NotSent, TooLate, Unanswered

log = logging.getLogger("runcourse.net")

FOLLOW_TIMEOUT_S = 1.5
PAGE_TIMEOUT_S = 4.0
COMMIT_TIMEOUT_S = 2.5
LEASE_TIMEOUT_S = 1.5  # a lease's term counts from the sending, however slow the answer
CLOUD_TIMEOUT_S = 8.0
WORKER_TIMEOUT_S = 2.0
KEYS_PER_PAGE = 1000  # limit of the state service's protocol
STATE_CONNECTIONS = 12
LEASE_CONNECTIONS = 2  # for lease requests, which thus never wait for other requests
CLOUD_CONNECTIONS = 4
CLOUD_CONNECT_TIMEOUT_S = 2.0
CLOUD_RATE_FRACTION = 0.8  # of the cloud's request limit
COMMAND_REFUSED_STATUS = 409  # stale token or other session; the body is a report

Result = tuple[int, Any, bool]  # status, decoded answer, whether the request may have been sent


class ServiceClient:
    """Sends requests; counts malformed answers and logs the first for each kind of request."""

    def __init__(self) -> None:
        self.malformed: dict[str, int] = {}

    async def call(
        self,
        client: Client,
        method: str,
        target: str,
        body: Any,
        timeout_s: float,
        decode: Callable[[bytes], Any],
        also_accepted: tuple[int, ...] = (),
        until: float = FAR_FUTURE,
    ) -> Result:
        """Returns (status, decoded answer, whether the request may have been sent).

        The status is 0 if there was no valid answer; the answer is None if its status is not
        accepted. The request is not sent at or after the time `until`.
        """
        data = codec.encode(body) if body is not None else None
        try:
            status, answer = await client.request(method, target, data, timeout_s, until)
        except TooLate:
            return 0, types.LATE, False
        except NotSent:
            return 0, None, False
        except Unanswered:
            return 0, None, True
        if status != 200 and status not in also_accepted:
            return status, None, True
        try:
            return status, decode(answer), True
        except codec.Malformed as error:
            request = f"{client.host}:{client.port} {method} {target.partition('?')[0]}"
            if request not in self.malformed:
                log.warning("malformed answer from %s: %s", request, error)
            self.malformed[request] = self.malformed.get(request, 0) + 1
            return 0, None, True  # treated like no answer


class StateService(ServiceClient):
    """Requests to the state service."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._client = Client(host, port, limit=STATE_CONNECTIONS)
        self._lease_client = Client(host, port, limit=LEASE_CONNECTIONS)
        self._full_read = FullRead(self)

    async def read_all(self, root: str) -> Result:
        """Reads every key, and the revision after which changes must be followed."""
        return await self._full_read.run(root)

    async def page(self, root: str, since: str) -> Result:
        """Reads a page of the keys under the root, after the key `since`."""
        target = f"/keys?under={root}&most={KEYS_PER_PAGE}" + (f"&since={since}" if since else "")
        return await self.call(
            self._client, "GET", target, None, PAGE_TIMEOUT_S, state_messages.decode_page
        )

    async def follow(self, root: str, since: int) -> Result:
        """Reads the changes under the root since a revision."""
        return await self.call(
            self._client,
            "GET",
            f"/follow?under={root}&since={since}&wait_ms=0",
            None,
            FOLLOW_TIMEOUT_S,
            state_messages.decode_events,
        )

    async def commit(self, effect: types.Commit) -> Result:
        """Commits a transaction."""
        return await self.call(
            self._client,
            "POST",
            "/commit",
            state_messages.transaction(effect.when, effect.then),
            COMMIT_TIMEOUT_S,
            state_messages.decode_commit,
            until=effect.until,
        )

    async def grant(self, ttl_ms: int) -> Result:
        """Obtains a lease."""
        return await self.call(
            self._lease_client,
            "POST",
            "/leases",
            {"life_ms": ttl_ms},
            LEASE_TIMEOUT_S,
            state_messages.decode_lease,
        )

    async def extend(self, lease: int) -> Result:
        """Renews a lease."""
        return await self.call(
            self._lease_client,
            "POST",
            f"/leases/{lease}/extend",
            {},
            LEASE_TIMEOUT_S,
            lambda body: None,
        )


class Cloud(ServiceClient):
    """Requests to the cloud, spaced to stay below its request limit."""

    def __init__(self, host: str, port: int, rps: float) -> None:
        super().__init__()
        self._client = Client(
            host, port, limit=CLOUD_CONNECTIONS, connect_s=CLOUD_CONNECT_TIMEOUT_S
        )
        self._interval_s = 1.0 / (CLOUD_RATE_FRACTION * rps)
        self._next_at = 0.0
        self._pacing_lock = asyncio.Lock()

    async def _wait_for_slot(self) -> None:
        # Only one caller waits at a time, so that requests which became due while the process was
        # paused are not sent all at once.
        async with self._pacing_lock:
            loop = asyncio.get_running_loop()
            if self._next_at > loop.time():
                await asyncio.sleep(self._next_at - loop.time())
            self._next_at = loop.time() + self._interval_s

    async def _call_paced(
        self, method: str, target: str, body: Any, decode: Callable[[bytes], Any]
    ) -> Result:
        await self._wait_for_slot()
        return await self.call(self._client, method, target, body, CLOUD_TIMEOUT_S, decode)

    async def catalog(self) -> Result:
        """Reads the machine types."""
        return await self._call_paced("GET", "/catalog", None, cloud_messages.decode_catalog)

    async def list_machines(self) -> Result:
        """Reads all pages of the machine list."""
        machines: list[types.CloudMachine] = []
        since: str | None = None
        while True:
            status, body, sent = await self._call_paced(
                "GET",
                cloud_messages.machine_list_target(since, LIST_PAGE),
                None,
                cloud_messages.decode_machine_page,
            )
            if status != 200:
                return status, None, sent
            page, has_next = body
            machines.extend(page)
            if not has_next or not page:
                return 200, tuple(machines), True
            since = page[-1].id

    async def rent(self, effect: types.Rent) -> Result:
        """Rents machines."""
        return await self._call_paced(
            "POST",
            "/machines",
            cloud_messages.rent_request(
                effect.name, effect.type, effect.zone, effect.spot, effect.number
            ),
            cloud_messages.decode_rented,
        )

    async def release(self, machines: list[Any]) -> Result:
        """Returns machines to the cloud."""
        return await self._call_paced(
            "POST", "/machines/release", cloud_messages.release_request(machines), lambda body: None
        )


class Workers(ServiceClient):
    """Requests to workers; keeps the connections to the `max_clients` most recently used."""

    def __init__(self, max_clients: int) -> None:
        super().__init__()
        self._max_clients = max_clients
        self._clients: OrderedDict[str, Client] = OrderedDict()

    async def command(self, effect: types.Command) -> Result:
        """Sends orders to a worker and returns its report."""
        client = self._client(effect.addr)
        if client is None:
            return 0, None, False
        return await self.call(
            client,
            "POST",
            "/do",
            wire.commands(effect.token, effect.session, effect.orders),
            WORKER_TIMEOUT_S,
            wire.decode_report,
            also_accepted=(COMMAND_REFUSED_STATUS,),
            until=effect.until,
        )

    async def status(self, addr: str) -> Result:
        """Requests a worker's report."""
        client = self._client(addr)
        if client is None:
            return 0, None, False
        return await self.call(client, "GET", "/status", None, WORKER_TIMEOUT_S, wire.decode_report)

    def _client(self, addr: str) -> Client | None:
        client = self._clients.get(addr)
        if client is None:
            host, _, port = addr.rpartition(":")
            if not host or not port.isdigit():
                return None
            client = self._clients[addr] = Client(host, int(port), limit=1)
            while len(self._clients) > self._max_clients:
                self._clients.popitem(last=False)[1].retire()
        self._clients.move_to_end(addr)
        return client
