"""Simulated cluster for the core: a fake clock, a scripted state service, cloud and workers.

All random draws come from one seeded generator, so a run is repeatable. The workers and the state
service follow PROTOCOL. `World.violations` lists every rule that was broken.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

from production import PreDivisionNode, ProductionNode
from world_gangs import GangSteps
from world_rules import RuleChecks
from world_settings import (
    CANCEL_S,
    FIVE_MEMBERS,
    GANG_PEER_S,
    GANG_WAIT_S,
    LEASE_S,
    MEMBERS,
    REPORT_S,
    TYPE,
    ZONES,
    ignore_result,
    platform,
    spec,
)
from world_state import State
from world_users import UserRequests
from world_worker import Gang, Worker

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.core.ids import Instant
from runcourse.core.jobs import JobSpec
from runcourse.core.node import Node
from runcourse.entitlements.policy import Entitlements
from runcourse.entitlements.settings import EntitlementSettings
from runcourse.locality.policy import LocalityPolicy
from runcourse.locality.settings import LocalitySettings
from runcourse.wire.peer_messages import PeerMessage

__all__ = [
    "CANCEL_S",
    "FIVE_MEMBERS",
    "GANG_PEER_S",
    "GANG_WAIT_S",
    "LEASE_S",
    "MEMBERS",
    "REPORT_S",
    "TYPE",
    "ZONES",
    "World",
    "ignore_result",
    "platform",
    "spec",
]

TICK_S = 0.05  # between two ticks of a node
CHECK_INTERVAL_S = 0.1  # between two checks of the rules
MIN_LATENCY_S, MAX_LATENCY_S = 0.001, 0.02
STATE_TIMEOUT_S = 1.5  # until a request to the state service fails without an answer
LATE_WRITE_TIMEOUT_S = 2.5  # the same for a change that is applied late
MIN_LATE_WRITE_S, MAX_LATE_WRITE_S = 2.0, 12.0
WORKER_TIMEOUT_S = 2.0  # until a command or probe fails without an answer
MIN_DUPLICATE_DELAY_S = 0.5
MAX_DUPLICATE_DELAY_S = 3 * LEASE_S


class World(UserRequests, GangSteps, RuleChecks):
    """Nodes, workers, users, the state service and the cloud on one fake clock."""

    def __init__(
        self,
        seed: int = 1,
        machines: int = 4,
        members: tuple[str, ...] = MEMBERS,
        on_production: bool = False,
        before_divisions: bool = False,
        locality: LocalitySettings | None = None,
        operators: Operators | None = None,
        entitlements: EntitlementSettings | None = None,
        machine_zones: Sequence[str] = ZONES,
        **settings: Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.members = members
        # Members that start as the version in production, or as the version before divisions.
        self.production_members = set(members) if on_production else set()
        self.pre_division_members = set(members) if before_divisions else set()
        self.settings = settings
        self.locality = locality
        self.operators = operators or Operators()
        self.entitlements = entitlements
        self.state = State(self)
        self.nodes: dict[str, Node | None] = dict.fromkeys(members)
        self.generation = dict.fromkeys(members, 0)
        # Paused nodes: `frozen` maps a node to the end of its pause, `deferred` holds its
        # incoming events and unsent effects.
        self.frozen: dict[str, float] = {}
        self.deferred: dict[str, list[Callable[[], None]]] = {m: [] for m in members}
        self.pending_stalls: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.specs: dict[Any, JobSpec] = {}
        self.finished: set[Any] = set()
        self.violations: list[str] = []
        self.cut_links: set[frozenset[str]] = set()  # pairs without a connection
        self.hold_commands = False  # commands over cut links are delivered late, not lost
        self.held_commands: list[Callable[[], None]] = []
        self.inbound_cut: set[str] = set()  # workers that send reports and receive nothing
        self.fetch_s = 0.2  # duration of an image fetch
        self.gangs: dict[tuple[Any, int], Gang] = {}  # by job and attempt number
        self.progress: dict[Any, float] = {}  # saved seconds of work by gang job or array task
        self.gang_runs: list[tuple[float, Any, int]] = []  # start time, job, attempt
        self.outbound_cut: set[str] = set()  # workers that receive commands and cannot send reports
        self.state_delay_s = 0.0  # added to each answer of the state service
        self.link_delay_s = 0.0  # added to the latency of every message
        self.lost_answers = 0.0  # fraction of applied commits whose answer is lost
        self.duplicate_rate = 0.0  # fraction of messages of which a copy arrives late
        self.loss_rate = 0.0  # fraction of commands and state answers that are lost
        self.late_writes = 0.0  # fraction of commits without an answer, applied 2 to 12 s later
        self.failing_jobs: set[str] = set()  # jobs whose tasks fail on every machine
        self.capacity = machines
        self.last_stages: dict[str, str] = {}  # stage of each job as last reported to a user
        self.cancelled_at: dict[str, float] = {}
        self.starts: list[tuple[float, Any, str]] = []
        self._requests = itertools.count(1)
        self._answers: dict[tuple[str, int, int], Callable[[Any], None]] = {}
        self._names = itertools.count()
        for _ in range(machines):
            self.boot(machine_zones[len(self.workers) % len(machine_zones)], False)
        for member in members:
            self.start(member)
        self.after(CHECK_INTERVAL_S, self._watch)

    # --- clock -----------------------------------------------------------------------

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + seconds, next(self._count), action))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, action = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            action()
        self.now = end

    def until(self, condition: Callable[[], bool], limit: float = 60.0) -> None:
        end = self.now + limit
        while not condition():
            assert self.now < end, f"not within {limit} s; now {self.now:.1f} s"
            self.run(0.1)

    # --- nodes -----------------------------------------------------------------------

    def boot(self, zone: str, spot: bool) -> str:
        id = f"i-{next(self._names):06d}"
        self.workers[id] = Worker(self, id, zone, spot)
        return id

    def start(self, member: str) -> None:
        self.generation[member] += 1
        settings = platform(member, members=self.members, **self.settings)
        rng = random.Random(self.rng.random())
        now = Instant(self.now)
        # Nodes of older versions have the same attributes wherever tests read them.
        self.nodes[member] = (
            ProductionNode(settings, self.operators, rng, now)  # type: ignore[assignment]
            if member in self.production_members
            else PreDivisionNode(settings, self.operators, rng, now)
            if member in self.pre_division_members
            else self._node(settings, rng, now)
        )
        self._tick(member, self.generation[member])

    def _node(self, settings: Any, rng: random.Random, now: Instant) -> Node:
        organisations = Entitlements(self.entitlements) if self.entitlements else None
        return Node(settings, self.operators, rng, now, self._policy(settings), organisations)

    def _policy(self, settings: Any) -> LocalityPolicy | None:
        if self.locality is None:
            return None
        guarantees = {team.name: team.cpus for team in settings.settings.teams}
        return LocalityPolicy(self.locality, guarantees)

    def reload(self, locality: LocalitySettings) -> None:
        """Replaces the locality settings of every running node."""
        self.locality = locality
        for member, node in self.nodes.items():
            if node is not None:
                self.feed(member, t.ReplacePolicySettings(locality))

    def crash(self, member: str) -> None:
        self.nodes[member] = None
        self.generation[member] += 1
        self.frozen.pop(member, None)
        self.pending_stalls.pop(member, None)
        self.deferred[member].clear()

    def freeze(self, member: str, seconds: float) -> None:
        """Pauses the process; its clock runs on and its sockets still accept messages."""
        if self.nodes[member] is None or member in self.frozen:
            return
        self.frozen[member] = self.now + seconds
        generation = self.generation[member]

        def resume() -> None:
            if self.generation[member] != generation:
                return
            del self.frozen[member]
            deferred, self.deferred[member] = self.deferred[member], []
            for action in deferred:
                action()

        self.after(seconds, resume)

    def stall(self, member: str, seconds: float) -> None:
        """Pauses the process after it has decided on its next effects and before it sends them."""
        if member not in self.frozen:
            self.pending_stalls[member] = seconds

    def _tick(self, member: str, generation: int) -> None:
        if self.generation[member] == generation and self.nodes[member] is not None:
            if member not in self.frozen:  # timers that expire during a pause do not accumulate
                self.feed(member, t.Tick())
            self.after(TICK_S, lambda: self._tick(member, generation))

    def feed(self, member: str, event: Any) -> None:
        node = self.nodes[member]
        if node is None:
            return
        if member in self.frozen:
            self.deferred[member].append(lambda: self.feed(member, event))
            return
        effects = [e for e in node.handle(self.now, event) if not isinstance(e, t.Log)]
        if effects and member in self.pending_stalls:
            self.freeze(member, self.pending_stalls.pop(member))
            for effect in effects:
                self.deferred[member].append(lambda e=effect: self._carry_out(member, e))  # type: ignore[misc]
            return
        for effect in effects:
            self._carry_out(member, effect)

    def reachable(self, a: str, b: str) -> bool:
        return frozenset((a, b)) not in self.cut_links

    def _latency(self) -> float:
        return self.rng.uniform(MIN_LATENCY_S, MAX_LATENCY_S) + self.link_delay_s

    def _carry_out(self, member: str, effect: Any) -> None:
        generation = self.generation[member]
        started_at = self.now

        def complete(status: int, body: Any = None, sent: bool = True) -> None:
            if self.generation[member] == generation:
                self.feed(member, t.Outcome(effect.tag, status, body, sent, started_at))

        match effect:
            case t.UserAnswer() | t.ReportAnswer() | t.DivisionAnswer():
                waiter = self._answers.pop((member, generation, effect.request), None)
                if waiter is not None:
                    waiter(effect)
            case t.SendToPeer():
                for other in self.members:
                    if other != member and effect.member in (None, other):
                        self._send_to_peer(member, other, effect.message)
            case t.Follow() | t.ReadAll() | t.Commit() | t.GrantLease() | t.ExtendLease():
                self._to_state(member, effect, complete)
            case t.Command():
                self._to_worker(member, effect, complete)
            case t.Probe():
                self._probe(member, effect, complete)
            case t.ReadCatalog():
                self.after(self._latency(), lambda: complete(200, (TYPE,)))
            case t.ListMachines():
                listed = tuple(
                    t.CloudMachine(
                        w.id,
                        f"{w.id}:1",
                        "m4",
                        w.zone,
                        w.spot,  # type: ignore[arg-type]
                        "running" if w.alive else "failed",
                        1.0,
                    )
                    for w in self.workers.values()
                )
                self.after(self._latency(), lambda: complete(200, listed))
            case t.Rent():
                if len(self.workers) < self.capacity:
                    ids = (self.boot(effect.zone, effect.spot),)
                    self.after(self._latency(), lambda: complete(200, ids))
                else:
                    self.after(self._latency(), lambda: complete(503))
            case t.Release():
                for id in effect.machines:
                    worker = self.workers.pop(id, None)
                    if worker is not None:
                        worker.alive = False
                        worker.tasks.clear()
                self.after(self._latency(), lambda: complete(200))

    def _send_to_peer(self, member: str, other: str, message: PeerMessage) -> None:
        if self.reachable(member, other):

            def arrive() -> None:
                self.feed(other, t.PeerMessageReceived(member, message))  # type: ignore[arg-type]

            self.after(self._latency(), arrive)
            self._maybe_duplicate(arrive)

    def _maybe_duplicate(self, arrive: Callable[[], None]) -> None:
        """Delivers the message a second time at the set rate, up to three leases later."""
        if self.duplicate_rate and self.rng.random() < self.duplicate_rate:
            self.after(self.rng.uniform(MIN_DUPLICATE_DELAY_S, MAX_DUPLICATE_DELAY_S), arrive)

    def _to_state(self, member: str, effect: Any, complete: Callable[..., None]) -> None:
        if not self.reachable(member, "state"):
            self.after(STATE_TIMEOUT_S, lambda: complete(0))
            return

        if isinstance(effect, t.Commit) and self.rng.random() < self.late_writes:
            self.after(
                self.rng.uniform(MIN_LATE_WRITE_S, MAX_LATE_WRITE_S),
                lambda: ignore_result(self.state.serve(member, effect)),
            )
            self.after(LATE_WRITE_TIMEOUT_S, lambda: complete(0))
            return

        def serve() -> None:
            status, body = self.state.serve(member, effect)
            loss_rate = self.loss_rate + self.lost_answers * isinstance(effect, t.Commit)
            if self.rng.random() < loss_rate:
                self.after(STATE_TIMEOUT_S, lambda: complete(0))  # applied, but the answer is lost
            else:
                self.after(self._latency() + self.state_delay_s, lambda: complete(status, body))

        self.after(self._latency(), serve)
        if isinstance(effect, t.Commit):
            self._maybe_duplicate(lambda: ignore_result(self.state.serve(member, effect)))

    def _to_worker(self, member: str, effect: t.Command, complete: Callable[..., None]) -> None:
        id = effect.addr.partition(":")[0]

        def deliver() -> tuple[int, Any] | None:
            worker = self.workers.get(id)
            if worker is None or not worker.alive:
                return None
            if worker.hung:
                self.held_commands.append(deliver_late)
                return None
            return worker.command(effect)

        def deliver_late() -> None:
            worker = self.workers.get(id)
            if worker is not None and worker.alive:
                worker.command(effect)

        def arrive() -> None:
            lost = self.rng.random() < self.loss_rate
            if not self.reachable(member, id) or lost or id in self.inbound_cut:
                if self.hold_commands or lost:
                    self.held_commands.append(deliver_late)
                self.after(WORKER_TIMEOUT_S, lambda: complete(0))
                return
            result = deliver()
            if result is None:
                self.after(WORKER_TIMEOUT_S, lambda: complete(0))
            else:
                self.after(self._latency(), lambda: complete(*result))

        self.after(self._latency(), arrive)
        self._maybe_duplicate(deliver_late)

    def _probe(self, member: str, effect: t.Probe, complete: Callable[..., None]) -> None:
        id = effect.addr.partition(":")[0]

        def arrive() -> None:
            worker = self.workers.get(id)
            if (
                worker is None
                or not worker.alive
                or worker.hung
                or id in self.inbound_cut
                or not self.reachable(member, id)
            ):
                self.after(WORKER_TIMEOUT_S, lambda: complete(0))
            else:
                worker.step()
                self.after(self._latency(), lambda: complete(200, worker.report()))

        self.after(self._latency(), arrive)

    def deliver_held(self) -> None:
        """Delivers the commands that a cut link, a loss or a hung worker held back."""
        held, self.held_commands = self.held_commands, []
        for deliver in held:
            deliver()

    def _watch(self) -> None:
        self.after(CHECK_INTERVAL_S, self._watch)
        self.state.expire()
        for worker in self.workers.values():
            worker.step()
        self._step_gangs()
        for task, worker in self.on_machines():
            cancelled_at = self.cancelled_at.get(task.job)
            if cancelled_at is not None and self.now > cancelled_at + CANCEL_S:
                self.violations.append(f"ran_cancelled: {task} on {worker.id}")
