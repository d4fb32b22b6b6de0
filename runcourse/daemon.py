"""The controller's process: sockets, timers, and the execution of the core's effects."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import signal
import threading
from collections.abc import Coroutine
from typing import Any

import msgspec

from .config import Operators, Platform, parse_address
from .core import types
from .core.entitlement_policy import EntitlementPolicy
from .core.ids import Instant, Member
from .core.node import Node
from .core.status import status_of
from .core.stored_values import ROOT
from .errors import SettingsError
from .net.clients import Cloud, Result, StateService, Workers
from .net.http import Reply, Server
from .net.peers import PeerLinks
from .policy_file import PolicyFile
from .wire import codec
from .wire import messages as wire
from .wire.peer_messages import OperatorQuestion, PeerMessage

log = logging.getLogger("runcourse")

TICK_INTERVAL_S = 0.05
USER_TIMEOUT_S = 3.5  # for the core's answer to a user; then 503
DIVISION_TIMEOUT_S = 4.5  # for the core's answer to an operator; then "unknown"
REPORT_TIMEOUT_S = 3.5  # for the core's answer to a worker's report; then 503
RETRY_AFTER_S = 1.0  # sent to a user whose request was not answered in time
INTERNAL_HTTP_CONNECTIONS = 8  # for metrics, on the internal address
REPORT_PATH = "/agent/beat"
GC_THRESHOLDS = (10_000, 20, 20)  # allocations, then collections of the generation below
LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _PendingRequest:
    """A request that was passed to the core and is not answered yet."""

    __slots__ = ("answer", "future")

    def __init__(self) -> None:
        self.answer: Any = None
        self.future: asyncio.Future[Any] | None = None  # created if the answer is not immediate

    def resolve(self, answer: Any) -> None:
        """Stores the core's answer and wakes the waiting request."""
        self.answer = answer
        if self.future is not None and not self.future.done():
            self.future.set_result(answer)


class Daemon:
    """A controller's process: connects the core with sockets and timers."""

    def __init__(
        self,
        platform: Platform,
        operators: Operators,
        rng: random.Random | None = None,
        policy_file: PolicyFile | None = None,
        entitlements: EntitlementPolicy | None = None,
    ) -> None:
        self._platform = platform
        self._loop = asyncio.get_running_loop()
        self._policy_file = policy_file
        self.node = Node(
            platform,
            operators,
            rng or random.Random(),
            Instant(self._loop.time()),
            policy_file.create_policy() if policy_file else None,
            entitlements,
        )
        self._state = StateService(*parse_address(platform.services.state, "services.state"))
        self._cloud = Cloud(
            *parse_address(platform.services.cloud, "services.cloud"), platform.settings.cloud.rps
        )
        sockets = platform.settings.quota.sockets(platform.settings.nodes)
        self._workers = Workers(sockets.kept)
        peers = {Member(peer.member): parse_address(peer.addr, "peers") for peer in platform.peers}
        self._links = PeerLinks(
            Member(platform.member),
            peers,
            self._receive_message,
            self._answer_operator,
            Server(self._serve_internal, INTERNAL_HTTP_CONNECTIONS),
        )
        self._server = Server(self._serve, sockets.served, REPORT_PATH, sockets.reports)
        self._last_request = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._malformed: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serves until cancelled."""
        await self.start()
        gc.collect()
        gc.freeze()
        # Reference counting frees nearly all objects of a turn. Cycles are few, and a search for
        # them takes processor time, so it runs rarely.
        gc.set_threshold(*GC_THRESHOLDS)
        while True:
            self._handle_event(types.Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def start(self) -> None:
        """Opens the listening sockets."""
        await self._server.start(*parse_address(self._platform.api_addr, "api_addr"))
        await self._links.start(*parse_address(self._platform.internal_addr, "internal_addr"))
        # A program that runs a controller in a thread keeps its own signal handlers.
        in_main_thread = threading.current_thread() is threading.main_thread()
        if self._policy_file is not None and in_main_thread:
            self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        log.info("serving as %s", self._platform.member)

    async def close(self) -> None:
        """Cancels the running calls and closes the listening sockets."""
        for task in list(self._tasks):
            task.cancel()
        await self._server.close()
        await self._links.close()

    # --- events and effects of the core ---

    def _handle_event(self, event: Any) -> None:
        for effect in self.node.handle(self._loop.time(), event):
            self._execute(effect)

    def _execute(self, effect: Any) -> None:
        match effect:
            case types.UserAnswer() | types.ReportAnswer() | types.DivisionAnswer():
                pending = self._pending.pop(effect.request, None)
                if pending is not None:
                    pending.resolve(effect)
            case types.Log():
                log.log(LOG_LEVELS[effect.level], "%s", effect.text)
            case types.SendToPeer():
                self._links.send(effect.member, effect.message)
            case _:
                self._start_call(effect.tag, self._call(effect))

    def _call(self, effect: Any) -> Coroutine[Any, Any, Result]:
        """Returns the call to an external system that an effect requires."""
        match effect:
            case types.Command():
                return self._workers.command(effect)
            case types.Probe():
                return self._workers.status(effect.addr)
            case types.ReadCatalog():
                return self._cloud.catalog()
            case types.ListMachines():
                return self._cloud.list_machines()
            case types.Rent():
                return self._cloud.rent(effect)
            case types.Release():
                return self._cloud.release(effect.machines)
        return self._state_call(effect)

    def _state_call(self, effect: Any) -> Coroutine[Any, Any, Result]:
        match effect:
            case types.Follow():
                return self._state.follow(ROOT, effect.since)
            case types.ReadAll():
                return self._state.read_all(ROOT)
            case types.Commit():
                return self._state.commit(effect)
            case types.GrantLease():
                return self._state.grant(effect.ttl_ms)
            case types.ExtendLease():
                return self._state.extend(effect.lease)
        raise TypeError(f"unknown effect {effect!r}")

    def reload(self) -> dict[str, Any]:
        """Reads the placement policy's file again; with a faulty one the old settings stay."""
        if self._policy_file is None:
            return {"error": "no policy file was named when this controller was started"}
        try:
            settings = self._policy_file.load()
        except SettingsError as error:
            log.error("settings not replaced: %s", error)
            return {"error": str(error)}
        self._handle_event(types.ReplacePolicySettings(settings))
        log.info("settings replaced: %s", self._policy_file.path)
        return {"reloaded": str(self._policy_file.path)}

    def _start_call(self, tag: Any, call: Coroutine[Any, Any, Result]) -> None:
        began = self._loop.time()

        async def run_call() -> None:
            try:
                status, body, sent = await call
            except Exception:
                # The core must not wait forever, whatever the error: the result is unknown.
                log.exception("internal error")
                status, body, sent = 0, None, True
            self._handle_event(types.Outcome(tag, status, body, sent, began))

        task = asyncio.create_task(run_call())
        task.add_done_callback(lambda _: call.close())  # in case the task never began
        self._tasks.add(task)
        task.add_done_callback(self._call_ended)

    def _call_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("internal error", exc_info=task.exception())

    def _receive_message(self, member: Member, message: PeerMessage) -> None:
        self._handle_event(types.PeerMessageReceived(member, message))

    async def _answer_operator(self, question: OperatorQuestion) -> dict[str, Any]:
        if question.ask == "status":
            return status_of(self.node)
        if question.ask == "reload":
            return self.reload()
        if question.ask == "division":
            return await self._handle_division(question.division)
        return {"error": "unknown question"}

    async def _handle_division(self, fields: dict[str, Any]) -> dict[str, Any]:
        try:
            request = msgspec.convert({**fields, "request": 0}, types.DivisionRequest)
        except msgspec.ValidationError as error:
            return {"result": "refused", "reason": str(error)}
        answer: types.DivisionAnswer | None = await self._ask(request, DIVISION_TIMEOUT_S)
        if answer is None:
            return {"result": "unknown", "reason": "no answer in time: ask again"}
        leader = self.node.fleet_planner.leadership.leader()
        addresses = {peer.member: peer.addr for peer in self._platform.peers}
        return {
            **msgspec.to_builtins(answer),
            "status": self.node.entitlements.status(),
            "leader": leader,
            "leader_addr": addresses.get(leader or "", self._platform.internal_addr),
        }

    async def _serve_internal(self, method: str, target: str, body: bytes) -> Reply:
        """Serves the metrics over HTTP on the internal address."""
        if target.partition("?")[0] != "/metrics":
            return Reply(404)
        if method != "GET":
            return Reply(405)
        # Imported on the first request, so that the process starts quickly.
        from .net.metrics import render

        content, content_type = render(self.node, self._server.open, self.malformed())
        return Reply(200, content, content_type=content_type)

    def malformed(self) -> int:
        """Returns the number of requests, answers and messages that violated their protocol."""
        sources = (self._state, self._cloud, self._workers, self._links)
        return sum(self._malformed.values()) + sum(
            sum(source.malformed.values()) for source in sources
        )

    # --- requests ---

    async def _ask(self, event: Any, timeout_s: float) -> Any:
        """Passes a request to the core and returns its answer, or None if there is none in time."""
        self._last_request += 1
        event.request = self._last_request
        pending = self._pending[event.request] = _PendingRequest()
        self._handle_event(event)
        if pending.answer is not None:  # most reports are answered at once, without a timer
            return pending.answer
        pending.future = self._loop.create_future()
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.future
        except TimeoutError:
            self._pending.pop(event.request, None)
            return None

    async def _serve(self, method: str, target: str, body: bytes) -> Reply:
        path = target.partition("?")[0]
        try:
            if path == REPORT_PATH:
                return await self._handle_report(body) if method == "POST" else Reply(405)
            if path == "/healthz":
                return await self._answer_user(types.Health(0)) if method == "GET" else Reply(405)
            if path == "/v1/jobs":
                return await self._submit(body) if method == "POST" else Reply(405)
            parts = path.split("/")
            if path.startswith("/v1/jobs/") and len(parts) == 4:
                return (
                    await self._answer_user(types.Poll(0, parts[3]))
                    if method == "GET"
                    else Reply(405)
                )
            if path.startswith("/v1/jobs/") and len(parts) == 5 and parts[4] == "withdraw":
                return (
                    await self._answer_user(types.Cancel(0, parts[3]))
                    if method == "POST"
                    else Reply(405)
                )
            return Reply(404, codec.encode({"error": "no such path"}))
        except codec.Malformed as error:
            self._malformed[path] = self._malformed.get(path, 0) + 1
            if self._malformed[path] == 1:
                log.info("malformed request to %s: %s", path, error)
            return Reply(400, codec.encode({"error": str(error)}))

    async def _submit(self, body: bytes) -> Reply:
        fields = codec.decode_map(body)
        uid = wire.submission_uid(fields) or ""
        try:
            event = types.Submit(0, uid, wire.decode_submission(fields))
        except codec.Malformed as error:
            event = types.Submit(0, uid, None, str(error))
        return await self._answer_user(event)

    async def _answer_user(self, event: Any) -> Reply:
        answer: types.UserAnswer | None = await self._ask(event, USER_TIMEOUT_S)
        # Checked here because nothing waits between this point and the write to the socket.
        if answer is None or self._loop.time() >= answer.until:
            return Reply(503, codec.encode({"error": "no answer in time"}), RETRY_AFTER_S)
        return Reply(answer.status, codec.encode(answer.body), answer.retry_after)

    async def _handle_report(self, body: bytes) -> Reply:
        report = wire.decode_report(body)
        answer: types.ReportAnswer | None = await self._ask(
            types.ReportReceived(0, report), REPORT_TIMEOUT_S
        )
        if answer is None or answer.status == 503 or self._loop.time() >= answer.until:
            return Reply(503, codec.encode({}))
        if answer.status == 421:
            return Reply(421, codec.encode(wire.redirect(answer.owner)))
        return Reply(200, codec.encode(wire.report_answer(answer.token, answer.orders)))
