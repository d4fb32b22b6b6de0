"""A small world for the core: a fake clock, a scripted state service, cloud and workers.

Everything random comes from one seeded generator, so a run repeats. The workers and the
state service follow PROTOCOL; the world notes every broken rule in `broken`.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from typing import Any

from production import Former
from world_settings import (
    CANCEL_S,
    FIVE,
    GANG_PEER_S,
    GANG_WAIT_S,
    LEASE_S,
    MEMBERS,
    REPORT_S,
    TYPE,
    ZONES,
    platform,
    spec,
    void,
)
from world_state import State
from world_worker import Gang, Worker

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.core.ids import Instant
from runcourse.core.jobs import JobSpec
from runcourse.core.node import Node
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


class World:
    """Nodes, workers, users, the state service and the cloud on one fake clock."""

    def __init__(
        self,
        seed: int = 1,
        machines: int = 4,
        members: tuple[str, ...] = MEMBERS,
        former: bool = False,
        locality: LocalitySettings | None = None,
        operators: Operators | None = None,
        machine_zones: Sequence[str] = ZONES,
        **settings: Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.members = members
        self.former = set(members) if former else set()  # start as the version in production
        self.settings = settings
        self.locality = locality
        self.operators = operators or Operators()
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
        self.broken: list[str] = []
        self.cut: set[frozenset[str]] = set()  # pairs that can't reach each other
        self.hold = False  # do cuts hold commands back, to deliver them late?
        self.held: list[Callable[[], None]] = []
        self.deaf: set[str] = set()  # workers whose reports arrive, and nothing reaches them
        self.fetch_s = 0.2  # until a machine holds an image
        self.gangs: dict[tuple[Any, int], Gang] = {}  # by job and attempt
        self.progress: dict[Any, float] = {}  # of gangs, saved
        self.gang_runs: list[tuple[float, Any, int]] = []  # when gangs began to run
        self.mute: set[str] = set()  # workers that reach no node, while commands reach them
        self.slow_state = 0.0  # seconds more that the state service takes to answer
        self.slow_links = 0.0  # seconds more that every message takes
        self.lost_answers = 0.0  # share of changes carried out at once whose answer is lost
        self.echo = 0.0  # share of messages of which a copy arrives again, late
        self.lose = 0.0  # share of messages to workers and of answers that get lost
        self.late_writes = 0.0  # share of changes without an answer, carried out 2 to 12 s later
        self.failing_jobs: set[str] = set()  # jobs whose tasks fail wherever they start
        self.capacity = machines
        self.told: dict[str, str] = {}  # the last word a user got on a job
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
            Former(settings, self.operators, rng, now)  # type: ignore[assignment]
            if member in self.former
            else Node(settings, self.operators, rng, now, self._policy(settings))
        )
        self._tick(member, self.generation[member])

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
        return frozenset((a, b)) not in self.cut

    def _latency(self) -> float:
        return self.rng.uniform(0.001, 0.02) + self.slow_links

    def _carry_out(self, member: str, effect: Any) -> None:
        generation = self.generation[member]
        began = self.now

        def back(status: int, body: Any = None, sent: bool = True) -> None:
            if self.generation[member] == generation:
                self.feed(member, t.Outcome(effect.tag, status, body, sent, began))

        match effect:
            case t.UserAnswer() | t.ReportAnswer():
                waiter = self._answers.pop((member, generation, effect.request), None)
                if waiter is not None:
                    waiter(effect)
            case t.SendToPeer():
                for other in self.members:
                    if other != member and effect.member in (None, other):
                        self._say(member, other, effect.message)
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

    def _say(self, member: str, other: str, message: PeerMessage) -> None:
        if self.reachable(member, other):

            def arrive() -> None:
                self.feed(other, t.PeerMessageReceived(member, message))  # type: ignore[arg-type]

            self.after(self._latency(), arrive)
            self._copy(arrive)

    def _copy(self, arrive: Callable[[], None]) -> None:
        """Perhaps the same message comes once more, by up to well over a lease later."""
        if self.echo and self.rng.random() < self.echo:
            self.after(self.rng.uniform(0.5, 3 * LEASE_S), arrive)

    def _to_state(self, member: str, effect: Any, back: Callable[..., None]) -> None:
        if not self.reachable(member, "state"):
            self.after(1.5, lambda: back(0))
            return

        if isinstance(effect, t.Commit) and self.rng.random() < self.late_writes:
            self.after(self.rng.uniform(2.0, 12.0), lambda: void(self.state.serve(member, effect)))
            self.after(2.5, lambda: back(0))
            return

        def serve() -> None:
            status, body = self.state.serve(member, effect)
            share = self.lose + self.lost_answers * isinstance(effect, t.Commit)
            if self.rng.random() < share:
                self.after(1.5, lambda: back(0))  # applied, but the answer is lost
            else:
                self.after(self._latency() + self.slow_state, lambda: back(status, body))

        self.after(self._latency(), serve)
        if isinstance(effect, t.Commit):
            self._copy(lambda: void(self.state.serve(member, effect)))

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
            lost = self.rng.random() < self.lose
            if not self.reachable(member, id) or lost or id in self.deaf:
                if self.hold or lost:
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
                or id in self.deaf
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

    def ask(self, origin: str, member: str, event: Any, answered: Callable[[Any], None]) -> None:
        def arrive() -> None:
            if self.nodes[member] is None:
                self.after(self._latency(), lambda: answered(None))
                return
            if not self.reachable(origin, member):
                return
            event.request = next(self._requests)

            def reply(answer: Any) -> None:
                if self.reachable(origin, member) and origin not in self.deaf:
                    self.after(self._latency(), lambda: answered(answer))

            self._answers[(member, self.generation[member], event.request)] = reply
            self.feed(member, event)

        self.after(self._latency(), arrive)
        if isinstance(event, t.ReportReceived):
            report = event.report

            def again() -> None:
                if self.nodes[member] is not None:
                    self.feed(member, t.ReportReceived(next(self._requests), report))

            self._copy(again)

    # --- users -----------------------------------------------------------------------

    def _user(self, member: str, event: Any) -> t.UserAnswer | None:
        got: list[Any] = []
        self.ask("user", member, event, got.append)
        end = self.now + 4.0
        while not got and self.now < end:
            self.run(0.05)
        return got[0] if got else None

    def submit(self, job: JobSpec, member: str = "n0") -> int:
        self.specs[job.uid] = job
        answer = self._user(member, t.Submit(0, job.uid, job))
        if answer is not None and answer.status in (200, 201):
            self.note(job.uid, answer.body["stage"])
        return answer.status if answer else 0

    def poll(self, uid: str, member: str = "n0") -> str:
        answer = self._user(member, t.Poll(0, uid))
        if answer is None or answer.status not in (200, 404):
            return "?"
        stage = "unknown" if answer.status == 404 else str(answer.body["stage"])
        self.note(uid, stage)
        return stage

    def cancel(self, uid: str, member: str = "n0") -> str:
        answer = self._user(member, t.Cancel(0, uid))
        if answer is None or answer.status != 200:
            return "?"
        self.note(uid, answer.body["stage"])
        return str(answer.body["stage"])

    def note(self, uid: str, stage: str, known: str | None = None) -> None:
        """A user was told so. `known`: what the user had been told when the request was sent;
        answers that cross on their way prove nothing against each other."""
        before = known or self.told.get(uid)
        if stage == "cancelled":
            self.cancelled_at.setdefault(uid, self.now)
        if before in ("done", "cancelled") and stage != before:
            self.broken.append(f"went_back: {uid} {before} -> {stage}")
        # Told before that it is unknown, a job was not accepted yet, if it ever was.
        if before not in (None, "unknown") and stage == "unknown":
            self.broken.append(f"forgotten: {uid}")
        if stage == "done":
            missing = [
                i
                for i in range(self.specs[uid].tasks)
                if not any(x.job == uid and x.number == i for x in self.finished)
            ]
            if missing:
                self.broken.append(f"not_done: {uid} lacks {missing}")
        # Of answers that crossed the final one, or any after a 404, is what the user keeps.
        if self.told.get(uid) not in ("done", "cancelled") and (
            stage != "unknown" or before is None
        ):
            self.told[uid] = stage

    # --- rules -----------------------------------------------------------------------

    def on_machines(self) -> list[tuple[Any, Worker]]:
        return [
            (task, w)
            for w in self.workers.values()
            if w.alive
            for (task, _), e in w.tasks.items()
            if e[0] in ("running", "waiting", "saving")
        ]

    # --- gangs -----------------------------------------------------------------------

    def running_gangs(self) -> set[str]:
        return {str(uid) for (uid, _), gang in self.gangs.items() if not gang.over}

    def saves(self, order: t.Order, entry: list[Any]) -> bool:
        """A task of a running gang that is told to stop with time to save goes on doing that."""
        job = self.specs[order.task.job]
        gang = self.gangs.get((order.task.job, order.attempt))
        if (
            not job.gang
            or gang is None
            or gang.over
            or entry[0] not in ("running", "saving")
            or not job.checkpoint_s
            or order.grace_s < job.save_s
        ):
            return False
        if entry[0] == "running":
            entry[0], entry[2] = "saving", self.now
        if gang.told_at is None:
            gang.told_at = self.now
        return True

    def _step_gangs(self) -> None:
        found: dict[tuple[Any, int], list[tuple[Worker, Any, list[Any]]]] = {}
        for worker in self.workers.values():
            for (task, attempt), entry in worker.tasks.items():
                if worker.alive and self.specs[task.job].gang and entry[0] != "ended":
                    found.setdefault((task.job, attempt), []).append((worker, task, entry))
        for key, members in found.items():
            if key not in self.gangs:
                ready = {task for w, task, e in members if e[0] == "waiting" and not w.hung}
                if len(ready) == self.specs[key[0]].tasks:
                    self.gangs[key] = Gang(self.now)
                    self.gang_runs.append((self.now, *key))
                    for _, _, entry in members:
                        entry[0], entry[2] = "running", self.now
        for key, gang in self.gangs.items():
            if not gang.over:
                self._step_gang(key[0], gang, found.get(key, []))

    def _step_gang(
        self, uid: Any, gang: Gang, members: list[tuple[Worker, Any, list[Any]]]
    ) -> None:
        job, now = self.specs[uid], self.now
        reached = self.progress.get(uid, 0.0) + (gang.told_at or now) - gang.since
        there = [m for m in members if m[2][0] in ("running", "saving")]

        def end(cause: str, progress: float) -> None:
            gang.over = True
            self.progress[uid] = progress
            for _, task, entry in there:
                entry[0], entry[1] = "ended", cause
                if cause == "done":
                    self.finished.add(task)

        marked = reached - reached % job.checkpoint_s if job.checkpoint_s else 0.0
        if len(there) < job.tasks or any(w.hung for w, _, _ in there):
            gang.broken_at = gang.broken_at or now
            if now - gang.broken_at > 0.5 * GANG_PEER_S:
                end("mates", marked)
        elif gang.told_at is not None:
            saved = [e for _, _, e in there if e[0] == "saving" and now - e[2] >= job.save_s]
            if len(saved) == job.tasks:
                end("stopped", reached)
            elif now - gang.told_at > GANG_PEER_S and any(e[0] == "running" for _, _, e in there):
                end("mates", marked)
        elif uid not in self.failing_jobs and reached > job.estimate_s:
            end("done", job.estimate_s)
        elif uid in self.failing_jobs:
            end("error", 0.0)

    def check_start(self, worker: Worker, task: Any) -> None:
        self.starts.append((self.now, task, worker.id))
        for other, where in self.on_machines():
            if other == task and where is not worker:
                self.broken.append(f"ran_twice: {task} on {where.id} and {worker.id}")
        job = self.specs[task.job]
        used = job.cpus + sum(
            self.specs[x.job].cpus
            for x, _ in self.on_machines()
            if self.specs[x.job].team == job.team
        )
        if used > self.settings.get("cpus_max", 16.0) + 1e-6:
            self.broken.append(f"quota: {job.team} uses {used}")
        if not job.spot and worker.spot:
            self.broken.append(f"wrong_place: {task} on a spot machine")
        if job.zone is not None and job.zone != worker.zone:
            self.broken.append(f"wrong_place: {task} in zone {worker.zone}")
        if job.together and any(
            x.job == job.uid and w.zone != worker.zone for x, w in self.on_machines()
        ):
            self.broken.append(f"wrong_place: {task} in zone {worker.zone}, others elsewhere")
        if job.spread:
            here = 1 + sum(
                1 for x, w in self.on_machines() if x.job == job.uid and w.zone == worker.zone
            )
            if here > (job.tasks + 1) // 2:
                self.broken.append(f"wrong_place: {task} makes {here} in zone {worker.zone}")

    def _watch(self) -> None:
        self.after(0.1, self._watch)
        self.state.expire()
        for worker in self.workers.values():
            worker.step()
        self._step_gangs()
        for task, worker in self.on_machines():
            told = self.cancelled_at.get(task.job)
            if told is not None and self.now > told + CANCEL_S:
                self.broken.append(f"ran_cancelled: {task} on {worker.id}")
