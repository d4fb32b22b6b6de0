"""Stand-in of the state service, with one port for each controller."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs

from .http import Drop, Server

KEPT_CHANGES = 10_000
PAGE_BYTES_MAX = 1000


class Bucket:
    """A token bucket with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, number: float) -> bool:
        """Takes tokens if there are enough."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < number:
            return False
        self.level -= number
        return True


class StateService:
    """The key-value store of the protocol; each controller has a door of its own."""

    def __init__(self, doors: int, rps: float, write_rps: float, ops: int) -> None:
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 0
        self.log: deque[tuple[int, str, Any]] = deque(maxlen=KEPT_CHANGES)
        self.leases: dict[int, list[float]] = {}
        self.grants = 0
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.ops = ops
        self.changed = asyncio.Event()
        self.refused = [False] * doors  # 503 through this door
        self.hung = [False] * doors  # no answer through this door
        self.late: list[Any] = [None] * doors  # hook(body) -> None, "lost" or seconds late
        self.servers = [Server(lambda m, t, b, d=d: self.serve(d, m, t, b)) for d in range(doors)]
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> list[int]:
        """Listens and returns the ports of the doors."""
        self.tasks.add(asyncio.create_task(self._expire_loop()))
        return [await server.start() for server in self.servers]

    def outage(self, on: bool) -> None:
        """Begins or ends an outage; afterwards every lease has its full time again."""
        self.refused = [on] * len(self.refused)
        if not on:
            for lease in self.leases.values():
                lease[0] = time.monotonic() + lease[1]

    async def _expire_loop(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if all(self.refused):
                continue
            now = time.monotonic()
            for number in [n for n, (end, _) in self.leases.items() if now >= end]:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self.leases[number]
        attached = [key for key, entry in self.data.items() if entry[2] == number]
        if attached:
            self._apply([{"drop": key} for key in attached])

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.epoch += 1
        for change in changes:
            if "drop" in change:
                if self.data.pop(change["drop"], None) is not None:
                    self.log.append((self.epoch, change["drop"], None))
            else:
                self.data[change["write"]] = (change["value"], self.epoch, change.get("grant"))
                self.log.append((self.epoch, change["write"], change["value"]))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, door: int, method: str, target: str, body: Any) -> tuple[int, Any]:
        """Answers one request."""
        if self.hung[door]:
            await asyncio.sleep(60)
            raise Drop
        if self.refused[door]:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in parse_qs(query).items()}
        if path == "/commit":
            return await self._serve_commit(door, body)
        if path == "/keys":
            return 200, self._page(args)
        if path.startswith("/keys/"):
            return self._get(path[len("/keys/") :])
        if path == "/follow":
            return await self._follow(door, args)
        return self._lease_call(method, path, body)

    async def _serve_commit(self, door: int, body: Any) -> tuple[int, Any]:
        hook = self.late[door]
        delay = hook(body) if hook else None
        if delay == "lost":
            self.commit(body)
            await asyncio.sleep(60)
            raise Drop
        if delay is not None:
            task = asyncio.create_task(self._commit_later(delay, body))
            self.tasks.add(task)
            await asyncio.sleep(60)
            raise Drop
        return self.commit(body)

    async def _commit_later(self, delay: float, body: Any) -> None:
        await asyncio.sleep(delay)
        self.commit(body)

    def commit(self, body: Any) -> tuple[int, Any]:
        """Carries out a transaction and returns the answer."""
        when, then = body.get("when", []), body.get("then", [])
        if len(then) > self.ops or len(when) > 4 * self.ops:
            return 400, {"error": "too large"}
        if not self.writes.take(len(then)):
            return 429, {"error": "too many changes"}
        for change in then:
            if change.get("grant") and change["grant"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["key"] for c in when if self.data.get(c["key"], (None, 0, None))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if then:
            self._apply(then)
        return 200, {"epoch": self.epoch}

    def _page(self, args: dict[str, str]) -> Any:
        most = min(PAGE_BYTES_MAX, int(args.get("most", PAGE_BYTES_MAX)))
        under, since = args.get("under", ""), args.get("since", "")
        keys = sorted(k for k in self.data if k.startswith(under) and k > since)
        pairs = [
            {"key": k, "value": self.data[k][0], "stamp": self.data[k][1]} for k in keys[:most]
        ]
        return {"pairs": pairs, "has_next": len(keys) > most, "epoch": self.epoch}

    def _get(self, key: str) -> tuple[int, Any]:
        entry = self.data.get(key)
        if entry is None:
            return 404, {"epoch": self.epoch}
        return 200, {"key": key, "value": entry[0], "stamp": entry[1], "grant": entry[2]}

    async def _follow(self, door: int, args: dict[str, str]) -> tuple[int, Any]:
        since, wait_s = int(args["since"]), int(args.get("wait_ms", 0)) / 1000
        if wait_s and since >= self.epoch:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if len(self.log) == KEPT_CHANGES and since < self.log[0][0] - 1:
            return 410, {"error": "too old"}
        events = [
            {"drop": key, "stamp": stamp}
            if value is None
            else {"write": key, "value": value, "stamp": stamp}
            for stamp, key, value in self.log
            if stamp > since and key.startswith(args.get("under", ""))
        ]
        return 200, {"epoch": self.epoch, "events": events}

    def _lease_call(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        parts = path.split("/")
        if path == "/leases":
            self.grants += 1
            seconds = body["life_ms"] / 1000
            self.leases[self.grants] = [time.monotonic() + seconds, seconds]
            return 200, {"grant": self.grants}
        number = int(parts[2])
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(number)
        else:
            self.leases[number][0] = time.monotonic() + self.leases[number][1]
        return 200, {}
