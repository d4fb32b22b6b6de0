"""The daemon over loopback, against stand-ins for everything outside."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from standins import Standins

from runcourse.client import ask
from runcourse.config import Operators, load_platform
from runcourse.core import types as t
from runcourse.core.ids import Instant
from runcourse.core.versions import VERSION
from runcourse.daemon import Daemon
from runcourse.net.http import Client
from runcourse.wire.codec import decode_map, encode
from runcourse.wire.peer_messages import OperatorQuestion

JOB: dict[str, Any] = {
    "uid": "j-000001",
    "lane": "x",
    "crew": "crew-0",
    "shape": "batch",
    "rank": "normal",
    "legs": 3,
    "vcpus": 2.0,
    "gpus": 0.0,
    "ram_gb": 4.0,
    "kit": "img",
    "pull_gb": 0.1,
    "hulls": None,
    "yard": None,
    "together": False,
    "spread": False,
    "lendable": False,
    "guess_s": 1.0,
    "mark_every_s": 0.0,
    "mark_cost_s": 0.0,
    "due_s": None,
}

Ask = Callable[..., Awaitable[tuple[int, dict[str, Any]]]]


class Service:
    """A real controller beside the stand-ins."""

    def __init__(self, standins: Standins, daemon: Daemon) -> None:
        self.standins = standins
        self.daemon = daemon
        self.client = Client("127.0.0.1", standins.api, limit=2)

    async def ask(self, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        data = encode(body) if body is not None else None
        status, answer = await self.client.request(method, path, data, 5.0)
        return status, decode_map(answer) if answer else {}

    async def until(self, path: str, field: str, value: Any) -> dict[str, Any]:
        async with asyncio.timeout(20):
            while True:
                status, answer = await self.ask("GET", path)
                if status == 200 and answer.get(field) == value:
                    return answer
                await asyncio.sleep(0.05)


def play(tmp_path: Path, story: Callable[[Service], Awaitable[None]]) -> None:
    async def main() -> None:
        standins = Standins()
        path = tmp_path / "settings.toml"
        path.write_text(await standins.start(), encoding="utf-8")
        daemon = Daemon(load_platform(path), Operators(sync_every=0.05), random.Random(1))
        running = asyncio.create_task(daemon.run())
        service = Service(standins, daemon)
        try:
            async with asyncio.timeout(10):
                while not daemon.node.fleet.types:
                    await asyncio.sleep(0.02)
            await story(service)
            assert not running.done(), "the daemon ended by itself"
        finally:
            running.cancel()
            service.client.close()
            await daemon.close()
            await standins.stop()

    asyncio.run(main())


def test_jobs_run_on_hired_machines(tmp_path: Path) -> None:
    async def story(service: Service) -> None:
        assert await service.ask("POST", "/v1/jobs", JOB) == (
            201,
            {"uid": "j-000001", "stage": "queued"},
        )
        done = await service.until("/v1/jobs/j-000001", "stage", "done")
        assert done["done"] == 3 and done["running"] == 0
        assert (await service.ask("POST", "/v1/jobs", JOB))[0] == 200
        assert (await service.ask("POST", "/v1/jobs/j-000001/withdraw", {}))[1]["stage"] == "done"

    play(tmp_path, story)


def test_a_service_runs_until_it_is_cancelled(tmp_path: Path) -> None:
    async def story(service: Service) -> None:
        service.standins.cloud.until_stopped.update({"j-000002/0", "j-000002/1"})
        job = {**JOB, "uid": "j-000002", "shape": "service", "legs": 2}
        assert (await service.ask("POST", "/v1/jobs", job))[0] == 201
        await service.until("/v1/jobs/j-000002", "running", 2)
        status, answer = await service.ask("POST", "/v1/jobs/j-000002/withdraw", {})
        assert (status, answer["stage"]) == (200, "cancelled")
        async with asyncio.timeout(5):
            while any(
                leg["stage"] == "running"
                for w in service.standins.cloud.workers.values()
                for leg in w.legs.values()
            ):
                await asyncio.sleep(0.05)

    play(tmp_path, story)


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"legs": 0}, 400),
        ({"legs": 100_001}, 400),
        ({"legs": "3"}, 400),
        ({"vcpus": -1.0}, 400),
        ({"vcpus": float("nan")}, 400),
        ({"ram_gb": float("inf")}, 400),
        ({"shape": "odd"}, 400),
        ({"rank": "top"}, 400),
        ({"uid": "job-1"}, 400),
        ({"crew": None}, 400),
        ({"crew": "nobody"}, 422),
        ({"vcpus": 5.0}, 422),
        ({"hulls": ["g9"]}, 422),
        ({"shape": "service", "legs": 9}, 422),
    ],
)
def test_bad_submissions_are_told_so(tmp_path: Path, change: dict[str, Any], status: int) -> None:
    async def story(service: Service) -> None:
        got, _ = await service.ask("POST", "/v1/jobs", {**JOB, **change})
        assert got == status
        assert (await service.ask("GET", "/v1/jobs/j-000001"))[0] == 404

    play(tmp_path, story)


def test_odd_requests_never_hang_or_end_the_process(tmp_path: Path) -> None:
    async def raw(port: int, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        return answer

    async def story(service: Service) -> None:
        port = service.standins.api
        assert (await service.client.request("POST", "/v1/jobs", b"\xc1", 5))[0] == 400
        assert (await service.client.request("POST", "/v1/jobs", encode([1]), 5))[0] == 400
        assert (await service.client.request("POST", "/agent/beat", encode({"host": 3}), 5))[
            0
        ] == 400
        assert (await service.ask("GET", "/nothing"))[0] == 404
        assert (await service.ask("DELETE", "/v1/jobs"))[0] == 405
        assert (await raw(port, b"no http at all\r\n\r\n")).startswith(b"HTTP/1.1 400")
        big = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70000
        assert (await raw(port, big)).startswith(b"HTTP/1.1 413")
        head = b"GET /healthz HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 40000
        assert (await raw(port, head)).startswith(b"HTTP/1.1 4")
        assert (await service.ask("GET", "/healthz"))[0] == 200

    play(tmp_path, story)


def test_without_the_state_service_requests_are_refused_at_once(tmp_path: Path) -> None:
    async def story(service: Service) -> None:
        service.standins.state.down = True
        async with asyncio.timeout(5):
            while not service.daemon.node.store.failing:
                await asyncio.sleep(0.02)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await service.ask("POST", "/v1/jobs", JOB))[0] == 503
        assert (await service.ask("GET", "/v1/jobs/j-000001"))[0] == 503
        assert loop.time() - began < 3.0
        service.standins.state.down = False
        async with asyncio.timeout(5):
            while (await service.ask("POST", "/v1/jobs", JOB))[0] != 201:
                await asyncio.sleep(0.05)

    play(tmp_path, story)


def test_an_answer_that_is_late_is_refused_instead(tmp_path: Path) -> None:
    """The process stood still between the decision and here."""

    async def story(service: Service) -> None:
        node = service.daemon.node
        handle, past = node.handle, Instant(asyncio.get_running_loop().time() - 1.0)

        def late(now: float, event: Any) -> list[Any]:
            effects = handle(now, event)
            for effect in effects:
                if isinstance(effect, t.UserAnswer | t.ReportAnswer | t.Command):
                    effect.until = past
            return effects

        assert (await service.ask("POST", "/v1/jobs", JOB))[0] == 201
        await service.until("/v1/jobs/j-000001", "stage", "done")
        node.handle = late  # type: ignore[method-assign]
        assert (await service.ask("GET", "/v1/jobs/j-000001"))[0] == 503
        worker = next(iter(service.standins.cloud.workers.values()))
        assert (await service.ask("POST", "/agent/beat", worker.report()))[0] == 503
        baton = worker.baton
        machine = next(iter(node.fleet.machines.values()))
        node.fleet.commands.suspect(machine)  # raises the token; a command would tell the worker
        async with asyncio.timeout(10):
            while machine.next_command_at <= node.context.now - 0.5 or machine.command_in_flight:
                await asyncio.sleep(0.02)
        assert machine.suspected and worker.baton == baton

    play(tmp_path, story)


def test_what_fails_outside_the_core_is_an_outcome_all_the_same(tmp_path: Path) -> None:
    """Whatever a call ends with, who asked for it hears so; else it would wait for ever."""

    async def story(service: Service) -> None:
        async def fails() -> Any:
            raise RuntimeError("unable to perform operation")

        heard: list[t.Outcome] = []
        service.daemon._start_call(heard.append, fails())
        async with asyncio.timeout(5):
            while not heard:
                await asyncio.sleep(0.01)
        assert heard[0].status == 0 and heard[0].sent

    play(tmp_path, story)


def test_operators_see_status_and_metrics(tmp_path: Path) -> None:
    async def story(service: Service) -> None:
        service.standins.cloud.until_stopped.add("j-000003/0")
        job = {**JOB, "uid": "j-000003", "shape": "service", "legs": 1}
        assert (await service.ask("POST", "/v1/jobs", job))[0] == 201
        await service.until("/v1/jobs/j-000003", "running", 1)
        assert (
            await service.ask(
                "POST", "/v1/jobs", {**JOB, "uid": "j-000004", "legs": 50, "vcpus": 4.0}
            )
        )[0] == 201
        # A gang that no machine has room for as a whole, and within its team's limit.
        gang = {
            **JOB,
            "uid": "j-000005",
            "shape": "ensemble",
            "legs": 2,
            "vcpus": 4.0,
            "together": True,
        }
        assert (await service.ask("POST", "/v1/jobs", gang))[0] == 201
        status = await ask_status(service.standins.internal)
        assert status["versions"] == {"runner-0": VERSION}
        assert [g["tasks"] for g in status["gangs"]] == [2]
        assert status["leader"] == "runner-0"
        assert status["shares"][0]["owner"] == "runner-0" and status["shares"][0]["settled"]
        assert any(m["tasks"] == 1 for m in status["machines"])
        client = Client("127.0.0.1", service.standins.internal, limit=1)
        code, body = await client.request("GET", "/metrics", None, 5.0)
        client.close()
        text = body.decode()
        assert code == 200
        assert 'runcourse_jobs{stage="open"} 3.0' in text
        assert 'runcourse_gangs{phase="running"} 0.0' in text
        assert "runcourse_cancellations_unconfirmed 0.0" in text
        assert "runcourse_machines" in text and "runcourse_memory_bytes" in text

    play(tmp_path, story)


async def ask_status(port: int) -> dict[str, Any]:
    return await asyncio.to_thread(ask, "127.0.0.1", port, OperatorQuestion("status"))
