"""A small world for the core: a fake clock, a scripted state service, cloud and workers.

Everything random comes from one seeded generator, so a run repeats. The workers and the
state service follow PROTOCOL; the world notes every broken rule in `violations`.
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
    "FIVE",
    "GANG_PEER_S",
    "GANG_WAIT_S",
    "LEASE_S",
    "MEMBERS",
    "REPORT_S",
    "TYPE",
    "ZONES",
    "World",
    "platform",
    "spec",
    "void",
]


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
        self.production_members = (
            set(members) if on_production else set()
        )  # start as the version in production
        self.pre_division_members = (
            set(members) if before_divisions else set()
        )  # as the version before divisions
        self.settings = settings
        self.locality = locality
        self.operators = operators or Operators()
        self.entitlements = entitlements
        self.state = State(self)
        self.nodes: dict[str, Node | None] = dict.fromkeys(members)
        self.generation = dict.fromkeys(members, 0)
        # Nodes that stand still: what arrives, and what they were about to send, waits.
        self.frozen: dict[str, float] = {}
        self.waiting: dict[str, list[Callable[[], None]]] = {m: [] for m in members}
        self.stalling: dict[str, float] = {}
        self.workers: dict[str, Worker] = {}
        self.specs: dict[Any, JobSpec] = {}
        self.finished: set[Any] = set()
        self.violations: list[str] = []
        self.cut_links: set[frozenset[str]] = set()  # pairs that can't reach each other
        self.hold_commands = False  # do cuts hold commands back, to deliver them late?
        self.held: list[Callable[[], None]] = []
        self.inbound_cut: set[str] = set()  # workers whose reports arrive, and nothing reaches them
        self.fetch_s = 0.2  # until a machine holds an image
        self.gangs: dict[tuple[Any, int], Gang] = {}  # by job and attempt
        self.progress: dict[Any, float] = {}  # of gangs, saved
        self.gang_runs: list[tuple[float, Any, int]] = []  # when gangs began to run
        self.outbound_cut: set[str] = set()  # workers that reach no node, while commands reach them
        self.state_delay_s = 0.0  # seconds more that the state service takes to answer
        self.link_delay_s = 0.0  # seconds more that every message takes
        self.lost_answers = 0.0  # share of changes carried out at once whose answer is lost
        self.duplicate_rate = 0.0  # share of messages of which a copy arrives again, late
        self.loss_rate = 0.0  # share of messages to workers and of answers that get lost
        self.late_writes = 0.0  # share of changes without an answer, carried out 2 to 12 s later
        self.failing_jobs: set[str] = set()  # jobs whose tasks fail wherever they start
        self.capacity = machines
        self.last_stages: dict[str, str] = {}  # the last word a user got on a job
        self.cancelled_at: dict[str, float] = {}
        self.starts: list[tuple[float, Any, str]] = []
        self._requests = itertools.count(1)
        self._answers: dict[tuple[str, int, int], Callable[[Any], None]] = {}
        self._names = itertools.count()
        for _ in range(machines):
            self.boot(machine_zones[len(self.workers) % len(machine_zones)], False)
        for member in members:
            self.start(member)
        self.after(0.1, self._watch)

    # --- time ------------------------------------------------------------------------

    def after(self, seconds: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + seconds, next(self._count), what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, what = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            what()
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
        # A node of the version in production has the same parts, where tests look at them.
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
        """Operators put other locality settings in force at every node."""
        self.locality = locality
        for member, node in self.nodes.items():
            if node is not None:
                self.feed(member, t.ReplacePolicySettings(locality))

    def crash(self, member: str) -> None:
        self.nodes[member] = None
        self.generation[member] += 1
        self.frozen.pop(member, None)
        self.stalling.pop(member, None)
        self.waiting[member].clear()

    def freeze(self, member: str, seconds: float) -> None:
        """The process stands still, its clocks run on; its sockets go on taking what comes."""
        if self.nodes[member] is None or member in self.frozen:
            return
        self.frozen[member] = self.now + seconds
        generation = self.generation[member]

        def thaw() -> None:
            if self.generation[member] != generation:
                return
            del self.frozen[member]
            waiting, self.waiting[member] = self.waiting[member], []
            for what in waiting:
                what()

        self.after(seconds, thaw)

    def stall(self, member: str, seconds: float) -> None:
        """As `freeze`, but between the last check of what is sent next and its leaving."""
        if member not in self.frozen:
            self.stalling[member] = seconds

    def _tick(self, member: str, generation: int) -> None:
        if self.generation[member] == generation and self.nodes[member] is not None:
            if member not in self.frozen:  # timers that fall due meanwhile don't pile up
                self.feed(member, t.Tick())
            self.after(0.05, lambda: self._tick(member, generation))

    def feed(self, member: str, event: Any) -> None:
        node = self.nodes[member]
        if node is None:
            return
        if member in self.frozen:
            self.waiting[member].append(lambda: self.feed(member, event))
            return
        effects = [e for e in node.handle(self.now, event) if not isinstance(e, t.Log)]
        if effects and member in self.stalling:
            self.freeze(member, self.stalling.pop(member))
            for effect in effects:
                self.waiting[member].append(lambda e=effect: self._carry_out(member, e))  # type: ignore[misc]
            return
        for effect in effects:
            self._carry_out(member, effect)

    def reachable(self, a: str, b: str) -> bool:
        return frozenset((a, b)) not in self.cut_links

    def _latency(self) -> float:
        return self.rng.uniform(0.001, 0.02) + self.link_delay_s

    def _carry_out(self, member: str, effect: Any) -> None:
        generation = self.generation[member]
        began = self.now

        def back(status: int, body: Any = None, sent: bool = True) -> None:
            if self.generation[member] == generation:
                self.feed(member, t.Outcome(effect.tag, status, body, sent, began))

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
                self._to_state(member, effect, back)
            case t.Command():
                self._to_worker(member, effect, back)
            case t.Probe():
                self._probe(member, effect, back)
            case t.ReadCatalog():
                self.after(self._latency(), lambda: back(200, (TYPE,)))
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
                self.after(self._latency(), lambda: back(200, listed))
            case t.Rent():
                if len(self.workers) < self.capacity:
                    ids = (self.boot(effect.zone, effect.spot),)
                    self.after(self._latency(), lambda: back(200, ids))
                else:
                    self.after(self._latency(), lambda: back(503))
            case t.Release():
                for id in effect.machines:
                    worker = self.workers.pop(id, None)
                    if worker is not None:
                        worker.alive = False
                        worker.tasks.clear()
                self.after(self._latency(), lambda: back(200))

    def _send_to_peer(self, member: str, other: str, message: PeerMessage) -> None:
        if self.reachable(member, other):

            def arrive() -> None:
                self.feed(other, t.PeerMessageReceived(member, message))  # type: ignore[arg-type]

            self.after(self._latency(), arrive)
            self._copy(arrive)

    def _copy(self, arrive: Callable[[], None]) -> None:
        """Perhaps the same message comes once more, by up to well over a lease later."""
        if self.duplicate_rate and self.rng.random() < self.duplicate_rate:
            self.after(self.rng.uniform(0.5, 3 * LEASE_S), arrive)

    def _to_state(self, member: str, effect: Any, back: Callable[..., None]) -> None:
        if not self.reachable(member, "state"):
            self.after(1.5, lambda: back(0))
            return

        if isinstance(effect, t.Commit) and self.rng.random() < self.late_writes:
            self.after(
                self.rng.uniform(2.0, 12.0), lambda: ignore_result(self.state.serve(member, effect))
            )
            self.after(2.5, lambda: back(0))
            return

        def serve() -> None:
            status, body = self.state.serve(member, effect)
            share = self.loss_rate + self.lost_answers * isinstance(effect, t.Commit)
            if self.rng.random() < share:
                self.after(1.5, lambda: back(0))  # applied, but the answer is lost
            else:
                self.after(self._latency() + self.state_delay_s, lambda: back(status, body))

        self.after(self._latency(), serve)
        if isinstance(effect, t.Commit):
            self._copy(lambda: ignore_result(self.state.serve(member, effect)))

    def _to_worker(self, member: str, effect: t.Command, back: Callable[..., None]) -> None:
        id = effect.addr.partition(":")[0]

        def deliver() -> tuple[int, Any] | None:
            worker = self.workers.get(id)
            if worker is None or not worker.alive:
                return None
            if worker.hung:
                self.held.append(late)
                return None
            return worker.command(effect)

        def late() -> None:
            worker = self.workers.get(id)
            if worker is not None and worker.alive:
                worker.command(effect)

        def arrive() -> None:
            lost = self.rng.random() < self.loss_rate
            if not self.reachable(member, id) or lost or id in self.inbound_cut:
                if self.hold_commands or lost:
                    self.held.append(late)
                self.after(2.0, lambda: back(0))
                return
            result = deliver()
            if result is None:
                self.after(2.0, lambda: back(0))
            else:
                self.after(self._latency(), lambda: back(*result))

        self.after(self._latency(), arrive)
        self._copy(late)

    def _probe(self, member: str, effect: t.Probe, back: Callable[..., None]) -> None:
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
                self.after(2.0, lambda: back(0))
            else:
                worker.step()
                self.after(self._latency(), lambda: back(200, worker.report()))

        self.after(self._latency(), arrive)

    def deliver_held(self) -> None:
        """What a cut, a loss or a hanging machine held back arrives now."""
        held, self.held = self.held, []
        for late in held:
            late()

    def _watch(self) -> None:
        self.after(0.1, self._watch)
        self.state.expire()
        for worker in self.workers.values():
            worker.step()
        self._step_gangs()
        for task, worker in self.on_machines():
            told = self.cancelled_at.get(task.job)
            if told is not None and self.now > told + CANCEL_S:
                self.violations.append(f"ran_cancelled: {task} on {worker.id}")
