"""Simulated state service, cloud and workers over loopback HTTP.

As a program it writes a settings file for one controller and serves until it is terminated:

    python3 tests/standins.py /tmp/settings.toml
    python3 run.py serve --config /tmp/settings.toml
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import socket
import sys
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from key_value import Change, KeyValueStore, NoSuchLease  # noqa: E402

from runcourse.net.http import Client, NotSent, Reply, Server, Unanswered  # noqa: E402
from runcourse.wire.codec import decode_map, encode  # noqa: E402

REPORT_S = 0.3
STARTUP_S = 0.2  # until a worker accepts requests
TASK_S = 0.5
REPORT_TIMEOUT_S = 4.0


def free_port() -> int:
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


def reply(status: int, body: Any) -> Reply:
    return Reply(status, encode(body))


class StateService(KeyValueStore):
    """The state service as PROTOCOL describes it, without rate limits."""

    def __init__(self) -> None:
        super().__init__(time.monotonic)
        self.down = False
        self.server = Server(self.serve, 100)

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        if self.down:
            return reply(503, {"error": "trouble"})
        self.expire()
        path, _, query = target.partition("?")
        request = {k: v[0] for k, v in parse_qs(query).items()}
        if path == "/keys":
            return self.page(request)
        if path == "/follow":
            first = bisect.bisect_right(self.log, int(request["since"]), key=lambda c: c.stamp)
            return reply(200, {"epoch": self.epoch, "events": list(map(event, self.log[first:]))})
        if path == "/commit":
            return self.answer_commit(decode_map(body))
        if path == "/leases":
            return reply(200, {"grant": self.grant(decode_map(body)["life_ms"] / 1000)})
        if path.startswith("/leases/"):
            return reply(200 if self.extend(int(path.split("/")[2])) else 404, {})
        return reply(404, {})

    def page(self, request: dict[str, str]) -> Reply:
        most = int(request.get("most", 1000))
        keys = sorted(
            k for k in self.data if k.startswith(request["under"]) and k > request.get("since", "")
        )
        pairs = [
            {"key": k, "value": self.data[k].value, "stamp": self.data[k].stamp}
            for k in keys[:most]
        ]
        return reply(200, {"pairs": pairs, "has_next": len(keys) > most, "epoch": self.epoch})

    def answer_commit(self, body: dict[str, Any]) -> Reply:
        failed = self.failed([(c["key"], c["stamp"]) for c in body["when"]])
        if failed:
            return reply(409, {"failed": failed, "epoch": self.epoch})
        try:
            return reply(200, {"epoch": self.commit(map(write, body["then"]))})
        except NoSuchLease:
            return reply(400, {"error": "no such lease"})


def write(change: dict[str, Any]) -> tuple[str, Any, int | None]:
    """Returns the key, value and lease of one write of a transaction."""
    if "drop" in change:
        return change["drop"], None, None
    return change["write"], change["value"], change.get("grant") or None


def event(change: Change) -> dict[str, Any]:
    """Returns a change in the format of `/follow`."""
    if change.value is None:
        return {"drop": change.key, "stamp": change.stamp}
    return {"write": change.key, "value": change.value, "stamp": change.stamp}


class Worker:
    """Reports every 0.3 s; a task ends after 0.5 s unless it is listed in `until_stopped`."""

    def __init__(self, cloud: Cloud, host: str, hull: str, yard: str, lendable: bool) -> None:
        self.cloud = cloud
        self.identity = {"host": host, "hull": hull, "yard": yard, "lendable": lendable}
        self.tick = 0
        self.baton = 0
        self.legs: dict[tuple[str, int], dict[str, Any]] = {}
        self.server = Server(self.serve, 10)
        self.task = asyncio.create_task(self.run())

    def report(self) -> dict[str, Any]:
        self.tick += 1
        return {
            **self.identity,
            "addr": f"127.0.0.1:{self.server.port}",
            "tenure": 1,
            "tick": self.tick,
            "baton": self.baton,
            "warning_s": None,
            "legs": list(self.legs.values()),
        }

    async def run(self) -> None:
        await asyncio.sleep(STARTUP_S)
        await self.server.start("127.0.0.1", 0)
        client = Client("127.0.0.1", self.cloud.api_port, limit=1)
        while True:
            try:
                status, body = await client.request(
                    "POST", "/agent/beat", encode(self.report()), REPORT_TIMEOUT_S
                )
                if status == 200:
                    self.execute_orders(decode_map(body))
            except (NotSent, Unanswered):
                pass
            await asyncio.sleep(REPORT_S)

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        if target == "/status":
            return reply(200, self.report())
        message = decode_map(body)
        if message["baton"] < self.baton or message["tenure"] != 1:
            return reply(409, self.report())
        self.execute_orders(message)
        return reply(200, self.report())

    def execute_orders(self, message: dict[str, Any]) -> None:
        if message["baton"] < self.baton:
            return
        self.baton = message["baton"]
        for order in message["orders"]:
            key = (order["leg"], order["try"])
            if order["verb"] == "run" and key not in self.legs:
                self.legs[key] = {"leg": order["leg"], "try": order["try"], "stage": "running"}
                if order["leg"] not in self.cloud.until_stopped:
                    asyncio.get_running_loop().call_later(TASK_S, self.end, key, "done")
            elif order["verb"] == "kill":
                self.end(key, "halted")
            elif order["verb"] == "clear":
                self.legs.pop(key, None)

    def end(self, key: tuple[str, int], cause: str) -> None:
        if key in self.legs and self.legs[key]["stage"] == "running":
            self.legs[key].update(stage="ended", cause=cause)


class Cloud:
    """The cloud, which starts a worker for each rented machine."""

    def __init__(self, api_port: int) -> None:
        self.api_port = api_port
        self.workers: dict[str, Worker] = {}
        self.hires: dict[str, list[str]] = {}
        self.until_stopped: set[str] = set()  # tasks that run until they are stopped
        self.names = itertools.count()
        self.server = Server(self.serve, 20)

    async def serve(self, method: str, target: str, body: bytes) -> Reply:
        path = target.partition("?")[0]
        if path == "/catalog":
            return reply(
                200,
                {
                    "hulls": [
                        {
                            "label": "m4",
                            "vcpus": 4,
                            "gpus": 0,
                            "ram_gb": 16,
                            "cache_gb": 40,
                            "pull_gb_per_s": 1.0,
                            "hourly": 1.0,
                            "market_price": 0.3,
                            "startup_s": 1,
                            "yards": ["a", "b"],
                        }
                    ]
                },
            )
        if path == "/machines" and method == "GET":
            hosts = [
                {
                    "uid": id,
                    "addr": f"127.0.0.1:{w.server.port}",
                    "hull": "m4",
                    "yard": w.identity["yard"],
                    "lendable": w.identity["lendable"],
                    "stage": "running",
                    "age_s": 1.0,
                }
                for id, w in sorted(self.workers.items())
                if w.tick
            ]
            return reply(200, {"hosts": hosts, "has_next": False})
        request = decode_map(body)
        if path == "/machines":
            if request["hire"] not in self.hires:
                ids = [f"i-{next(self.names):06d}" for _ in range(min(request["number"], 2))]
                for id in ids:
                    self.workers[id] = Worker(
                        self, id, request["hull"], request["yard"], request["lendable"]
                    )
                self.hires[request["hire"]] = ids
            return reply(200, {"hosts": self.hires[request["hire"]]})
        for id in request["hosts"]:
            worker = self.workers.pop(id, None)
            if worker is not None:
                worker.task.cancel()
                await worker.server.close()
        return reply(200, {})


SETTINGS = """\
member = "runner-0"
area = "a"
api_addr = "127.0.0.1:{api}"
internal_addr = "127.0.0.1:{internal}"

[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[settings]
nodes = 1
zones = ["a", "b"]

[[settings.teams]]
name = "crew-0"
cpus_max = 16.0

[settings.workers]
report_s = 0.3
lease_s = 3.0
cancel_s = 10.0

[settings.state]
rps = 400.0
write_rps = 200.0

[settings.cloud]
rps = 20.0
list_lag_s = 0.5
"""


class Standins:
    """The state service and the cloud on loopback addresses."""

    async def start(self) -> str:
        """Starts both servers and returns the settings of a controller that uses them."""
        api = free_port()
        self.state = StateService()
        self.cloud = Cloud(api)
        for server in (self.state.server, self.cloud.server):
            await server.start("127.0.0.1", 0)
        self.api = api
        self.internal = free_port()
        return SETTINGS.format(
            api=api,
            internal=self.internal,
            cloud=self.cloud.server.port,
            state=self.state.server.port,
        )

    async def stop(self) -> None:
        for worker in self.cloud.workers.values():
            worker.task.cancel()
            await worker.server.close()
        await self.state.server.close()
        await self.cloud.server.close()


async def _main(path: Path) -> None:
    standins = Standins()
    path.write_text(await standins.start(), encoding="utf-8")
    print(
        f"settings written to {path}; API address of the controller: 127.0.0.1:{standins.api}",
        flush=True,
    )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_main(Path(sys.argv[1])))
