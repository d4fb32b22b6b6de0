"""The daemon over loopback, with simulated state service, cloud and workers."""

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


class Service:
    """A controller in this process, the simulated services, and a client of its users' API."""

    def __init__(self, standins: Standins, daemon: Daemon) -> None:
        self.standins = standins
        self.daemon = daemon
        self.client = Client("127.0.0.1", standins.api, limit=2)

    async def call(self, method: str, path: str, body: Any = None) -> tuple[int, dict[str, Any]]:
        data = encode(body) if body is not None else None
        status, answer = await self.client.request(method, path, data, 5.0)
        return status, decode_map(answer) if answer else {}

    async def wait_until(self, path: str, field: str, value: Any) -> dict[str, Any]:
        """Returns the first answer in which the field has the value."""
        async with asyncio.timeout(20):
            while True:
                status, answer = await self.call("GET", path)
                if status == 200 and answer.get(field) == value:
                    return answer
                await asyncio.sleep(0.05)


def run_with_service(tmp_path: Path, scenario: Callable[[Service], Awaitable[None]]) -> None:
    """Runs the scenario against a controller that has read the catalog of machine types."""

    async def main() -> None:
        standins = Standins()
        path = tmp_path / "settings.toml"
        path.write_text(await standins.start(), encoding="utf-8")
        daemon = Daemon(load_platform(path), Operators(sync_every=0.05), random.Random(1))
        daemon_task = asyncio.create_task(daemon.run())
        service = Service(standins, daemon)
        try:
            async with asyncio.timeout(10):
                while not daemon.node.fleet.types:
                    await asyncio.sleep(0.02)
            await scenario(service)
            assert not daemon_task.done(), "the daemon must not end during the scenario"
        finally:
            daemon_task.cancel()
            service.client.close()
            await daemon.close()
            await standins.stop()

    asyncio.run(main())


def test_batch_job_runs_on_hired_machines_until_done(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        assert await service.call("POST", "/v1/jobs", JOB) == (
            201,
            {"uid": "j-000001", "stage": "queued"},
        )
        done = await service.wait_until("/v1/jobs/j-000001", "stage", "done")
        assert done["done"] == 3 and done["running"] == 0
        assert (await service.call("POST", "/v1/jobs", JOB))[0] == 200
        assert (await service.call("POST", "/v1/jobs/j-000001/withdraw", {}))[1]["stage"] == "done"

    run_with_service(tmp_path, scenario)


def test_service_runs_until_it_is_cancelled(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        service.standins.cloud.until_stopped.update({"j-000002/0", "j-000002/1"})
        job = {**JOB, "uid": "j-000002", "shape": "service", "legs": 2}
        assert (await service.call("POST", "/v1/jobs", job))[0] == 201
        await service.wait_until("/v1/jobs/j-000002", "running", 2)
        status, answer = await service.call("POST", "/v1/jobs/j-000002/withdraw", {})
        assert (status, answer["stage"]) == (200, "cancelled")
        async with asyncio.timeout(5):
            while any(
                leg["stage"] == "running"
                for worker in service.standins.cloud.workers.values()
                for leg in worker.legs.values()
            ):
                await asyncio.sleep(0.05)

    run_with_service(tmp_path, scenario)


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
def test_invalid_submission_is_refused_and_not_stored(
    tmp_path: Path, change: dict[str, Any], status: int
) -> None:
    async def scenario(service: Service) -> None:
        actual_status, _ = await service.call("POST", "/v1/jobs", {**JOB, **change})
        assert actual_status == status
        assert (await service.call("GET", "/v1/jobs/j-000001"))[0] == 404

    run_with_service(tmp_path, scenario)


def test_malformed_requests_are_answered_and_do_not_stop_the_service(tmp_path: Path) -> None:
    async def send_raw(port: int, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        async with asyncio.timeout(5):
            answer = await reader.read()
        writer.close()
        return answer

    async def scenario(service: Service) -> None:
        port = service.standins.api
        assert (await service.client.request("POST", "/v1/jobs", b"\xc1", 5))[0] == 400
        assert (await service.client.request("POST", "/v1/jobs", encode([1]), 5))[0] == 400
        assert (await service.client.request("POST", "/agent/beat", encode({"host": 3}), 5))[
            0
        ] == 400
        assert (await service.call("GET", "/nothing"))[0] == 404
        assert (await service.call("DELETE", "/v1/jobs"))[0] == 405
        assert (await send_raw(port, b"no http at all\r\n\r\n")).startswith(b"HTTP/1.1 400")
        large_request = (
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70000
        )
        assert (await send_raw(port, large_request)).startswith(b"HTTP/1.1 413")
        large_head = b"GET /healthz HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 40000
        assert (await send_raw(port, large_head)).startswith(b"HTTP/1.1 4")
        assert (await service.call("GET", "/healthz"))[0] == 200

    run_with_service(tmp_path, scenario)


def test_requests_are_refused_promptly_while_the_state_service_fails(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        service.standins.state.down = True
        async with asyncio.timeout(5):
            while not service.daemon.node.store.failing:
                await asyncio.sleep(0.02)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await service.call("POST", "/v1/jobs", JOB))[0] == 503
        assert (await service.call("GET", "/v1/jobs/j-000001"))[0] == 503
        assert loop.time() - began < 3.0
        service.standins.state.down = False
        async with asyncio.timeout(5):
            while (await service.call("POST", "/v1/jobs", JOB))[0] != 201:
                await asyncio.sleep(0.05)

    run_with_service(tmp_path, scenario)


def test_answer_past_its_deadline_becomes_503_and_command_is_not_sent(tmp_path: Path) -> None:
    """Guards against answers and commands that are sent after a pause of the process, which
    falls between the decision and the send."""

    async def scenario(service: Service) -> None:
        node = service.daemon.node
        handle, past_time = node.handle, Instant(asyncio.get_running_loop().time() - 1.0)

        def handle_with_past_deadline(now: float, event: Any) -> list[Any]:
            effects = handle(now, event)
            for effect in effects:
                if isinstance(effect, t.UserAnswer | t.ReportAnswer | t.Command):
                    effect.until = past_time
            return effects

        assert (await service.call("POST", "/v1/jobs", JOB))[0] == 201
        await service.wait_until("/v1/jobs/j-000001", "stage", "done")
        node.handle = handle_with_past_deadline  # type: ignore[method-assign]
        assert (await service.call("GET", "/v1/jobs/j-000001"))[0] == 503
        worker = next(iter(service.standins.cloud.workers.values()))
        assert (await service.call("POST", "/agent/beat", worker.report()))[0] == 503
        token_before = worker.baton
        machine = next(iter(node.fleet.machines.values()))
        # This raises the token, which a command would pass on to the worker.
        node.fleet.commands.suspect(machine)
        async with asyncio.timeout(10):
            while machine.next_command_at <= node.context.now - 0.5 or machine.command_in_flight:
                await asyncio.sleep(0.02)
        assert machine.suspected and worker.baton == token_before

    run_with_service(tmp_path, scenario)


def test_call_that_raises_an_exception_still_yields_an_outcome(tmp_path: Path) -> None:
    """However a call ends, its caller in the core receives an outcome; without one it would wait
    for ever."""

    async def scenario(service: Service) -> None:
        async def failing_call() -> Any:
            raise RuntimeError("unable to perform operation")

        outcomes: list[t.Outcome] = []
        service.daemon._start_call(outcomes.append, failing_call())
        async with asyncio.timeout(5):
            while not outcomes:
                await asyncio.sleep(0.01)
        assert outcomes[0].status == 0 and outcomes[0].sent

    run_with_service(tmp_path, scenario)


def test_status_and_metrics_show_shares_machines_gangs_and_jobs(tmp_path: Path) -> None:
    async def scenario(service: Service) -> None:
        service.standins.cloud.until_stopped.add("j-000003/0")
        job = {**JOB, "uid": "j-000003", "shape": "service", "legs": 1}
        assert (await service.call("POST", "/v1/jobs", job))[0] == 201
        await service.wait_until("/v1/jobs/j-000003", "running", 1)
        assert (
            await service.call(
                "POST", "/v1/jobs", {**JOB, "uid": "j-000004", "legs": 50, "vcpus": 4.0}
            )
        )[0] == 201
        # The gang is within its team's limit, but no machine has room for the whole gang.
        gang = {
            **JOB,
            "uid": "j-000005",
            "shape": "ensemble",
            "legs": 2,
            "vcpus": 4.0,
            "together": True,
        }
        assert (await service.call("POST", "/v1/jobs", gang))[0] == 201
        status = await read_status(service.standins.internal)
        assert status["versions"] == {"runner-0": VERSION}
        assert [gang_status["tasks"] for gang_status in status["gangs"]] == [2]
        assert status["leader"] == "runner-0"
        assert status["shares"][0]["owner"] == "runner-0" and status["shares"][0]["settled"]
        assert any(machine["tasks"] == 1 for machine in status["machines"])
        client = Client("127.0.0.1", service.standins.internal, limit=1)
        metrics_status, body = await client.request("GET", "/metrics", None, 5.0)
        client.close()
        text = body.decode()
        assert metrics_status == 200
        assert 'runcourse_jobs{stage="open"} 3.0' in text
        assert 'runcourse_gangs{phase="running"} 0.0' in text
        assert "runcourse_cancellations_unconfirmed 0.0" in text
        assert "runcourse_machines" in text and "runcourse_memory_bytes" in text

    run_with_service(tmp_path, scenario)


async def read_status(port: int) -> dict[str, Any]:
    return await asyncio.to_thread(ask, "127.0.0.1", port, OperatorQuestion("status"))
