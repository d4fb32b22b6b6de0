"""A state service as PROTOCOL describes it; each controller has a port of its own."""

from __future__ import annotations

import asyncio
import bisect
import random
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from wire import HttpServer

KEPT_CHANGES = 10_000
PAGE = 1_000


class Entry(NamedTuple):
    """A value with the revision of its latest change and its lease."""

    value: Any
    stamp: int
    lease: int | None


class State:
    """Keys, leases, and what goes wrong.

    `down`: everybody gets 503. `refused`: these members get 503. `late`: that share of transactions
    gets no answer and is carried out 2 to 12 s later. `lost`: that share is carried out at once and
    only the answer is lost. `delay_s` is added to each answer.
    """

    def __init__(self, members: list[str], seed: int = 1) -> None:
        self.members = members
        self.rng = random.Random(seed)
        self.data: dict[str, Entry] = {}
        self.epoch = 0
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.refused: set[str] = set()
        self.late = 0.0
        self.lost = 0.0
        self.delay_s = 0.0
        self.ports: dict[str, int] = {}
        self._servers: list[HttpServer] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a port for each member."""
        for member in self.members:
            server = HttpServer(self._handler(member))
            self.ports[member] = await server.start()
            self._servers.append(server)
        self._spawn(self._expire_regularly())

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _expire_regularly(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if not self.down:
                self._expire()

    def set_down(self, down: bool) -> None:
        """Begins or ends an outage; after it every lease has its full time again."""
        self.down = down
        if not down:
            now = time.monotonic()
            self.leases = {n: (now + life, life) for n, (_, life) in self.leases.items()}

    def _expire(self) -> None:
        now = time.monotonic()
        ended = {n for n, (end, _) in self.leases.items() if now >= end}
        if not ended:
            return
        for number in ended:
            del self.leases[number]
        keys = [k for k, e in self.data.items() if e.lease in ended]
        if keys:
            self.epoch += 1
            for key in keys:
                self._change(key, None, None)

    def _change(self, key: str, value: Any, lease: int | None) -> None:
        if value is None:
            self.data.pop(key, None)
            self.log.append((self.epoch, {"drop": key, "stamp": self.epoch}))
        else:
            self.data[key] = Entry(value, self.epoch, lease)
            self.log.append((self.epoch, {"write": key, "value": value, "stamp": self.epoch}))
        if len(self.log) > 2 * KEPT_CHANGES:
            del self.log[:-KEPT_CHANGES]

    def _handler(self, member: str) -> Any:
        async def handle(method: str, target: str, body: Any) -> tuple[int, Any] | None:
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.down or member in self.refused:
                return 503, {"error": "trouble"}
            self._expire()
            path, _, query = target.partition("?")
            if path == "/commit":
                return await self._commit_with_trouble(body)
            return self._answer(path, {k: v[0] for k, v in parse_qs(query).items()}, body)

        return handle

    def _answer(self, path: str, query: dict[str, str], body: Any) -> tuple[int, Any]:
        if path == "/keys":
            found = sorted(
                k
                for k in self.data
                if k.startswith(query.get("under", "")) and k > query.get("since", "")
            )
            most = min(int(query.get("most", PAGE)), PAGE)
            pairs = [
                {"key": k, "value": self.data[k].value, "stamp": self.data[k].stamp}
                for k in found[:most]
            ]
            return 200, {"pairs": pairs, "has_next": len(found) > most, "epoch": self.epoch}
        if path == "/follow":
            since = int(query["since"])
            if self.log and since < self.log[0][0] - 1 and len(self.log) >= KEPT_CHANGES:
                return 410, {"epoch": self.epoch}
            first = bisect.bisect_right(self.log, since, key=lambda change: change[0])
            return 200, {"epoch": self.epoch, "events": [e for _, e in self.log[first:]]}
        if path == "/leases":
            number = self.epoch * 1000 + len(self.leases) + self.rng.randrange(1, 900)
            life = body["life_ms"] / 1000
            self.leases[number] = (time.monotonic() + life, life)
            return 200, {"grant": number}
        if path.startswith("/leases/") and path.endswith("/extend"):
            number = int(path.split("/")[2])
            if number not in self.leases:
                return 404, {}
            life = self.leases[number][1]
            self.leases[number] = (time.monotonic() + life, life)
            return 200, {"grant": number}
        return 404, {"epoch": self.epoch}

    async def _commit_with_trouble(self, body: Any) -> tuple[int, Any] | None:
        if self.rng.random() < self.late:

            async def later() -> None:
                await asyncio.sleep(self.rng.uniform(2.0, 12.0))
                if not self.down:
                    self.commit(body)

            self._spawn(later())
            await asyncio.sleep(30.0)
            return None
        answer = self.commit(body)
        if self.rng.random() < self.lost:
            await asyncio.sleep(30.0)
            return None
        return answer

    def commit(self, body: Any) -> tuple[int, Any]:
        """Carries out a transaction."""
        self._expire()
        failed = [
            c["key"]
            for c in body.get("when", [])
            if (self.data[c["key"]].stamp if c["key"] in self.data else 0) != c["stamp"]
        ]
        changes = body.get("then", [])
        if any(c.get("grant") is not None and c["grant"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.epoch += 1
            for change in changes:
                if "drop" in change:
                    self._change(change["drop"], None, None)
                else:
                    self._change(change["write"], change["value"], change.get("grant"))
        return 200, {"epoch": self.epoch}

    async def close(self) -> None:
        """Stops listening."""
        for task in list(self._tasks):
            task.cancel()
        for server in self._servers:
            await server.close()
