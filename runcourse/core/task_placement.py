"""Places waiting tasks, each on the allowed machine with the best score."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

from .budget import TurnBudget
from .context import Context
from .failures import FAILS_EVERYWHERE_REASON, Failures
from .gang_placement import GangPlacement
from .ids import ShareNo, TaskId
from .machine import Machine
from .machines import MAX_LISTED_TASKS, Fleet
from .placement import count_fitting
from .preemption import Preemption
from .queue_order import QueueOrder
from .quota import Quota
from .scoring import Scoring
from .turn import Turn, UnmetDemand
from .work import Work, fetch_s, has_begun, permits, zone_allows_task

# Tasks of overdue arrays that may start before all other work, per array task placed in the share.
OVERDUE_START_FRACTION = 0.2
MAX_OVERDUE_CREDIT = 50.0  # tasks; limit on such starts that a share accumulates
# Seconds after submission in which a service is placed on no machine that is reserved for a gang.
REPLICA_AVOIDS_RESERVED_S = 3.0
# Seconds after submission in which an array is placed on no machine that is reserved for a gang;
# after that only its first task may be.
ARRAY_AVOIDS_RESERVED_S = 45.0
NO_ROOM = "no machine with room"
TEAM_LIMIT = "team limit"

ScoredMachine = tuple[float, int, Machine]  # negative score, index among the candidates, machine


class TaskPlacement:
    """Places the tasks of waiting jobs within a turn (one pass over a share's waiting jobs)."""

    def __init__(
        self,
        context: Context,
        fleet: Fleet,
        quota: Quota,
        order: QueueOrder,
        budget: TurnBudget,
        scoring: Scoring,
        preemption: Preemption,
        gang_placement: GangPlacement,
        failures: Failures,
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.quota = quota
        self.order = order
        self.budget = budget
        self.scoring = scoring
        self.preemption = preemption
        self.gang_placement = gang_placement
        self.failures = failures
        # By share: tasks that overdue arrays may start before all other work.
        self._overdue_credit: dict[ShareNo, float] = {}

    def array_task_placed(self, share: ShareNo) -> None:
        """Adds to the share's credit for overdue work, for each array task started."""
        self._overdue_credit[share] = min(
            self._overdue_credit.get(share, 0.0) + OVERDUE_START_FRACTION, MAX_OVERDUE_CREDIT
        )

    def serve_overdue(self, turn: Turn, waiting: Iterable[Work]) -> None:
        """Places a limited number of tasks of overdue arrays before all other work.

        The first task of each array takes no credit of the share, each further one takes one, so
        that overdue work gets a part of all starts. The pass ends when an array that has begun
        gets no task placed. Serving all overdue work first would make the work that arrives
        meanwhile overdue as well.
        """
        share = turn.owned_share.number
        overdue = [w for w in waiting if self.order.overdue(w)]
        credit = self._overdue_credit.get(share, 0.0) if overdue else 0.0
        for work in sorted(overdue, key=lambda w: (w.job.submitted, w.job.uid)):
            before = len(work.pending)
            first = 0 if has_begun(work) else 1  # the first task takes no credit
            max_tasks = max(first, int(credit))
            if max_tasks and before:
                candidates = [
                    m
                    for m in self._candidates(turn, work, turn.machines_with_room)
                    if self._may_use(turn, work, m)
                ]
                self._place_tasks(turn, work, candidates, False, max_tasks)
                credit -= max(0, before - len(work.pending) - first)
                if len(work.pending) == before and not first:
                    break
        self._overdue_credit[share] = credit

    def serve_with_preemption(self, turn: Turn, work: Work) -> None:
        """Places the job's tasks in its last try of the turn, and records those that lack room.

        Work of lower priority may be preempted for it.
        """
        missing = self.serve(turn, work, turn.machines_with_room, may_preempt=True)
        if missing:
            closed = tuple(z for z in sorted(work.zones) if not zone_allows_task(work, z))
            turn.unmet.append(UnmetDemand(work.job, missing, closed))

    def serve(self, turn: Turn, work: Work, machines: list[Machine], may_preempt: bool) -> int:
        """Places pending tasks on the machines; returns how many found no machine.

        `may_preempt` is set for the last try of a turn, which covers all machines with room and
        may preempt work of lower priority.
        """
        if not work.pending:
            return 0
        spec, size = work.job.spec, work.job.size
        if spec.gang:
            return self._serve_gang(turn, work, machines, may_preempt)
        constraints = (spec.spot, spec.types, spec.zone)
        if may_preempt and any(
            failed.fits(size) for failed in turn.sizes_without_room.get(constraints, ())
        ):
            work.wait_reason = NO_ROOM
            self.preemption.make_room(turn, work, len(work.pending))
            return len(work.pending)
        candidates = self._candidates(turn, work, machines)
        if turn.reserved:
            candidates = [m for m in candidates if self._may_use(turn, work, m)]
        if not candidates:
            # With reservations, another job may still have room where this one must not go.
            if not turn.reserved and may_preempt:
                turn.sizes_without_room.setdefault(constraints, []).append(size)
            if not may_preempt:
                return len(work.pending)
        return self._place_tasks(turn, work, candidates, may_preempt)

    def _serve_gang(
        self, turn: Turn, work: Work, machines: list[Machine], may_preempt: bool
    ) -> int:
        machines = [m for m in machines if self._may_use(turn, work, m)]
        return self.gang_placement.serve(turn, work, machines, may_preempt)

    def probe(self, turn: Turn, work: Work) -> None:
        """Starts one task of a job, or a whole gang, that fails wherever it starts.

        It runs after all other work of the turn, preferably on a machine where the job has not
        failed yet and that holds its image. A job of which a task already runs for longer than the
        failed ones did counts as successful instead.
        """
        if self.failures.runs_past_failures(work):
            self.failures.note_success(work)
            return
        work.wait_reason = FAILS_EVERYWHERE_REASON
        if self.context.now < work.not_before or any(work.zones.values()):
            return
        candidates = self._candidates(turn, work, turn.machines_with_room)
        candidates = [m for m in candidates if m.id not in work.failure_counts] or candidates
        candidates = [m for m in candidates if work.job.spec.image in m.images] or candidates
        if candidates and work.job.spec.gang:
            self._serve_gang(turn, work, candidates, may_preempt=False)
        elif candidates:
            self._place_tasks(turn, work, candidates, False, 1)
        work.wait_reason = FAILS_EVERYWHERE_REASON

    def _candidates(self, turn: Turn, work: Work, machines: Iterable[Machine]) -> list[Machine]:
        """Returns the machines that have room for a task of the job and allow it."""
        size = work.job.size
        fits = [
            m
            for m in machines
            if size.fits(m.room) and m.id not in turn.claimed and permits(work.job, m)
        ]
        policy = self.scoring.policy
        return policy.candidates(work, fits) if policy.active else fits

    def _may_use(self, turn: Turn, work: Work, machine: Machine) -> bool:
        """Returns whether no reservation keeps the job from the machine.

        Replicas avoid reserved machines at first, or a stream of new ones would take all reserved
        room. After that they may use them: otherwise they would preempt the gang as soon as it is
        placed there, and both would start again and again. An array that has waited long without
        a start may also begin there.
        """
        job = work.job
        if turn.reserved.get(machine.id, job.uid) == job.uid:
            return True
        waited = self.context.now - job.submitted
        return (job.spec.service and waited > REPLICA_AVOIDS_RESERVED_S) or (
            not job.spec.gang and waited > ARRAY_AVOIDS_RESERVED_S and not has_begun(work)
        )

    # --- placing tasks -------------------------------------------------------------------

    def _place_tasks(
        self,
        turn: Turn,
        work: Work,
        candidates: list[Machine],
        may_preempt: bool,
        max_tasks: float = math.inf,
    ) -> int:
        """Places at most `max_tasks` pending tasks; returns how many found no machine.

        Each of the candidates has room for one task at least. Returns 0 if the team's limit is
        reached; tasks for which `_preempt_at_image` makes room are not counted.
        """
        job = work.job
        extra = turn.unlocated_of(job.spec.team)
        work.wait_reason = ""
        if not self.quota.allows(job, extra):
            work.wait_reason = TEAM_LIMIT
            return 0
        awaiting = self._preempt_at_image(turn, work, candidates)
        pool = self.budget.sample(candidates, len(work.pending))
        scored = [(-self.scoring.score(job, m), index, m) for index, m in enumerate(pool)]
        heapq.heapify(scored)
        limit = len(work.pending) - max_tasks
        while len(work.pending) > max(awaiting, limit):
            if not self.quota.allows(job, extra):
                work.wait_reason = TEAM_LIMIT
                return 0
            if not self._place_next(work, scored):
                break
        missing = len(work.pending) - awaiting
        if missing > 0:
            work.wait_reason = NO_ROOM
            if may_preempt:
                self.preemption.make_room(turn, work, missing)
        return missing

    def _place_next(self, work: Work, scored: list[ScoredMachine]) -> bool:
        """Places the next task on the best machine that may take it; returns whether there is one.

        `scored` is a heap, which is updated.
        """
        job = work.job
        task = TaskId(job.uid, next(reversed(work.pending)))
        skipped = []
        while scored and not self._may_take(work, task, scored[0][2]):
            entry = heapq.heappop(scored)
            if zone_allows_task(work, entry[2].record.zone):
                # It holds a former attempt of this task, but may take other tasks.
                skipped.append(entry)
        if not scored:
            return False
        _, index, machine = scored[0]
        self.fleet.placements.place(job, task.number, machine, machine.share.next_attempt())
        waited = self.context.now - job.submitted
        self.context.log("debug", f"{task} placed on {machine.id}, {waited:.2f} s after its job")
        if job.size.fits(machine.room) and len(machine.placements) < MAX_LISTED_TASKS:
            heapq.heapreplace(scored, (-self.scoring.score(job, machine), index, machine))
        else:
            heapq.heappop(scored)
        for entry in skipped:
            heapq.heappush(scored, entry)
        return True

    @staticmethod
    def _may_take(work: Work, task: TaskId, machine: Machine) -> bool:
        """Returns whether zone rules and former attempts allow the task on the machine."""
        return zone_allows_task(work, machine.record.zone) and not (
            task.number in work.attempted and machine.holds(task)
        )

    def _preempt_at_image(self, turn: Turn, work: Work, candidates: list[Machine]) -> int:
        """Preempts for urgent replicas on machines that can have their image in time.

        This extends the SlackVM paper's placement. A replica is urgent if its job class has an
        objective for the time to start, and too few candidates can hold the image within it.
        Returns for how many tasks room is being made; they wait until it is free.
        """
        job = work.job
        wait_limit_s = self.order.wait_limits_s.get(job.spec.lane)
        if wait_limit_s is None or not job.spec.service or work.fails_everywhere:
            return 0
        missing = len(work.pending) - sum(
            count_fitting(job.size, m.room) for m in candidates if fetch_s(job, m) <= wait_limit_s
        )
        if missing <= 0:
            return 0
        return self.preemption.make_room(turn, work, missing, wait_limit_s)
