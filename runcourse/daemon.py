"""The process round the core: sockets, timers, and effects carried out."""

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

from .config import Operators, Platform, address
from .core import types as t
from .core.entitlement import EntitlementPolicy
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

TICK_S = 0.05
USER_S = 3.5
DIVISION_S = 4.5
BEAT_S = 3.5
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class _Question:
    """A request that the core was fed, until it is answered."""

    __slots__ = ("answer", "future")

    def __init__(self) -> None:
        self.answer: Any = None
        self.future: asyncio.Future[Any] | None = None  # made if somebody has to wait

    def answered(self, answer: Any) -> None:
        """The core's answer, to whoever asked."""
        self.answer = answer
        if self.future is not None and not self.future.done():
            self.future.set_result(answer)


class Daemon:
    """One controller as a process."""

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
            policy_file.make() if policy_file else None,
            entitlements,
        )
        self._state = StateService(*address(platform.services.state, "services.state"))
        self._cloud = Cloud(
            *address(platform.services.cloud, "services.cloud"), platform.settings.cloud.rps
        )
        sockets = platform.settings.quota.sockets(platform.settings.nodes)
        self._workers = Workers(sockets.kept)
        peers = {Member(p.member): address(p.addr, "peers") for p in platform.peers}
        self._links = PeerLinks(
            Member(platform.member),
            peers,
            self._heard,
            self._operators_ask,
            Server(self._serve_internal, 8),
        )
        self._server = Server(self._serve, sockets.served, "/agent/beat", sockets.reports)
        self._requests = 0
        self._questions: dict[int, _Question] = {}
        self._malformed: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.start()
        gc.collect()
        gc.freeze()
        # What a turn makes is freed by its counts; cycles are few, and looking for them costs.
        gc.set_threshold(10_000, 20, 20)
        while True:
            self._feed(t.Tick())
            await asyncio.sleep(TICK_S)

    async def start(self) -> None:
        """Open the listening sockets."""
        await self._server.start(*address(self._platform.api_addr, "api_addr"))
        await self._links.start(*address(self._platform.internal_addr, "internal_addr"))
        # A program that embeds this in a thread keeps its own signals.
        in_main = threading.current_thread() is threading.main_thread()
        if self._policy_file is not None and in_main:
            self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        log.info("serving as %s", self._platform.member)

    async def close(self) -> None:
        """Close everything that is open."""
        for task in list(self._tasks):
            task.cancel()
        await self._server.close()
        await self._links.close()

    # --- core ----------------------------------------------------------------------------

    def _feed(self, event: Any) -> None:
        for effect in self.node.handle(self._loop.time(), event):
            self._carry_out(effect)

    def _carry_out(self, effect: Any) -> None:
        match effect:
            case t.UserAnswer() | t.ReportAnswer() | t.DivisionAnswer():
                question = self._questions.pop(effect.request, None)
                if question is not None:
                    question.answered(effect)
            case t.Log():
                log.log(LEVELS[effect.level], "%s", effect.text)
            case t.SendToPeer():
                self._links.send(effect.member, effect.message)
            case _:
                self._start_call(effect.tag, self._call(effect))

    def _call(self, effect: Any) -> Coroutine[Any, Any, Result]:
        """The call to an outside system that an effect asks for."""
        match effect:
            case t.Command():
                return self._workers.command(effect)
            case t.Probe():
                return self._workers.status(effect.addr)
            case t.ReadCatalog():
                return self._cloud.catalog()
            case t.ListMachines():
                return self._cloud.list_machines()
            case t.Rent():
                return self._cloud.rent(effect)
            case t.Release():
                return self._cloud.release(effect.machines)
        return self._state_call(effect)

    def _state_call(self, effect: Any) -> Coroutine[Any, Any, Result]:
        match effect:
            case t.Follow():
                return self._state.follow(ROOT, effect.since)
            case t.ReadAll():
                return self._state.read_all(ROOT)
            case t.Commit():
                return self._state.commit(effect)
            case t.GrantLease():
                return self._state.grant(effect.ttl_ms)
            case t.ExtendLease():
                return self._state.extend(effect.lease)
        raise TypeError(f"unknown effect {effect!r}")

    def reload(self) -> dict[str, Any]:
        """Read the policy's file again; a faulty one leaves the old settings in force."""
        if self._policy_file is None:
            return {"error": "no policy file was named when this controller was started"}
        try:
            settings = self._policy_file.load()
        except SettingsError as problem:
            log.error("settings not replaced: %s", problem)
            return {"error": str(problem)}
        self._feed(t.ReplacePolicySettings(settings))
        log.info("settings replaced: %s", self._policy_file.path)
        return {"reloaded": str(self._policy_file.path)}

    def _start_call(self, tag: Any, work: Coroutine[Any, Any, Result]) -> None:
        began = self._loop.time()

        async def go() -> None:
            try:
                status, body, sent = await work
            except Exception:
                # Whatever went wrong, the core must not wait for ever: its fate is unknown.
                log.exception("internal error")
                status, body, sent = 0, None, True
            self._feed(t.Outcome(tag, status, body, sent, began))

        task = asyncio.create_task(go())
        task.add_done_callback(lambda _: work.close())  # if it never began
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("internal error", exc_info=task.exception())

    def _heard(self, member: Member, message: PeerMessage) -> None:
        self._feed(t.PeerMessageReceived(member, message))

    async def _operators_ask(self, question: OperatorQuestion) -> dict[str, Any]:
        if question.ask == "status":
            return status_of(self.node)
        if question.ask == "reload":
            return self.reload()
        if question.ask == "division":
            return await self._ask_division(question.division)
        return {"error": "unknown question"}

    async def _ask_division(self, call: dict[str, Any]) -> dict[str, Any]:
        try:
            request = msgspec.convert({**call, "request": 0}, t.DivisionRequest)
        except msgspec.ValidationError as problem:
            return {"result": "refused", "reason": str(problem)}
        answer: t.DivisionAnswer | None = await self._ask(request, DIVISION_S)
        if answer is None:
            return {"result": "unknown", "reason": "no answer in time: ask again"}
        leader = self.node.rental.leadership.leader()
        addresses = {p.member: p.addr for p in self._platform.peers}
        return {
            **msgspec.to_builtins(answer),
            "status": self.node.entitlements.status(),
            "leader": leader,
            "leader_addr": addresses.get(leader or "", self._platform.internal_addr),
        }

    async def _serve_internal(self, method: str, target: str, body: bytes) -> Reply:
        """Plain HTTP on the internal address: the metrics."""
        if target.partition("?")[0] != "/metrics":
            return Reply(404)
        if method != "GET":
            return Reply(405)
        # Not imported before somebody asks: a start must be quick.
        from .net.metrics import render

        content, content_type = render(self.node, self._server.open, self.malformed())
        return Reply(200, content, content_type=content_type)

    def malformed(self) -> int:
        """Requests and answers that were not what the protocol says."""
        parties = (self._state, self._cloud, self._workers, self._links)
        return sum(self._malformed.values()) + sum(sum(p.malformed.values()) for p in parties)

    # --- requests ------------------------------------------------------------------------

    async def _ask(self, event: Any, timeout_s: float) -> Any:
        """Feed a request to the core and wait for its answer."""
        self._requests += 1
        event.request = self._requests
        question = self._questions[event.request] = _Question()
        self._feed(event)
        if question.answer is not None:  # most reports are answered at once, without a timer
            return question.answer
        question.future = self._loop.create_future()
        try:
            async with asyncio.timeout(timeout_s):
                return await question.future
        except TimeoutError:
            self._questions.pop(event.request, None)
            return None

    async def _serve(self, method: str, target: str, body: bytes) -> Reply:
        path = target.partition("?")[0]
        try:
            if path == "/agent/beat":
                return await self._beat(body) if method == "POST" else Reply(405)
            if path == "/healthz":
                return await self._user(t.Health(0)) if method == "GET" else Reply(405)
            if path == "/v1/jobs":
                return await self._submit(body) if method == "POST" else Reply(405)
            parts = path.split("/")
            if path.startswith("/v1/jobs/") and len(parts) == 4:
                return await self._user(t.Poll(0, parts[3])) if method == "GET" else Reply(405)
            if path.startswith("/v1/jobs/") and len(parts) == 5 and parts[4] == "withdraw":
                return await self._user(t.Cancel(0, parts[3])) if method == "POST" else Reply(405)
            return Reply(404, codec.encode({"error": "no such path"}))
        except codec.Malformed as problem:
            self._malformed[path] = self._malformed.get(path, 0) + 1
            if self._malformed[path] == 1:
                log.info("malformed request to %s: %s", path, problem)
            return Reply(400, codec.encode({"error": str(problem)}))

    async def _submit(self, body: bytes) -> Reply:
        fields = codec.decode_map(body)
        uid = wire.submission_uid(fields) or ""
        try:
            event = t.Submit(0, uid, wire.decode_submission(fields))
        except codec.Malformed as problem:
            event = t.Submit(0, uid, None, str(problem))
        return await self._user(event)

    async def _user(self, event: Any) -> Reply:
        answer: t.UserAnswer | None = await self._ask(event, USER_S)
        # From here to the socket nothing waits: this is where it leaves.
        if answer is None or self._loop.time() >= answer.until:
            return Reply(503, codec.encode({"error": "no answer in time"}), 1.0)
        return Reply(answer.status, codec.encode(answer.body), answer.retry_after)

    async def _beat(self, body: bytes) -> Reply:
        report = wire.decode_report(body)
        answer: t.ReportAnswer | None = await self._ask(t.ReportReceived(0, report), BEAT_S)
        if answer is None or answer.status == 503 or self._loop.time() >= answer.until:
            return Reply(503, codec.encode({}))
        if answer.status == 421:
            return Reply(421, codec.encode(wire.redirect(answer.owner)))
        return Reply(200, codec.encode(wire.report_answer(answer.token, answer.orders)))
