"""Where waiting tasks go: the machine that scores best among those that may take them."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

from .budget import TurnBudget
from .context import Context
from .failures import FAILS, Failures
from .gang_placement import GangPlacement
from .ids import ShareNo, TaskId
from .machine import Machine
from .machines import MOST_LISTED, Fleet
from .order import QueueOrder
from .placement import count_fitting
from .preemption import Preemption
from .quota import Quota
from .scoring import Scoring
from .turn import Turn, UnmetDemand
from .work import Work, begun, fetch_s, permits, zone_allows_task

OVERDUE_START_FRACTION = 0.2  # of the array tasks started, those that overdue work may start first
AGED_CREDIT = 50.0
ELSEWHERE_S = 3.0  # for which new replicas leave the room that is reserved for gangs
UNBEGUN_S = 45.0  # an array that waits longer begins wherever there is room
NO_ROOM = "no machine with room"
TEAM_LIMIT = "team limit"

Scored = tuple[float, int, Machine]  # negative score, position among the candidates


class TaskPlacement:
    """Starts the tasks of waiting jobs within a turn."""

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
        self._credit: dict[ShareNo, float] = {}  # tasks that overdue work may start first

    def array_task_placed(self, share: ShareNo) -> None:
        """For each array task started, overdue work may start a part of one first."""
        self._credit[share] = min(
            self._credit.get(share, 0.0) + OVERDUE_START_FRACTION, AGED_CREDIT
        )

    def serve_overdue(self, turn: Turn, waiting: Iterable[Work]) -> None:
        """Work that is long overdue makes way steadily: its first task goes before all else, and
        after that a part of what is started is its own. All of it first would make whatever
        comes meanwhile overdue in its turn."""
        number = turn.holding.number
        aged = [w for w in waiting if self.order.overdue(w)]
        credit = self._credit.get(number, 0.0) if aged else 0.0
        for work in sorted(aged, key=lambda w: (w.job.submitted, w.job.uid)):
            before = len(work.pending)
            first = 0 if begun(work) else 1
            most = max(first, int(credit))
            if most and before:
                fits = [
                    m
                    for m in self._fitting(turn, work, turn.machines_with_room)
                    if self._open(turn, work, m)
                ]
                self._fill(turn, work, fits, False, most)
                credit -= max(0, before - len(work.pending) - first)
                if len(work.pending) == before and not first:
                    break
        self._credit[number] = credit

    def serve_last(self, turn: Turn, work: Work) -> None:
        """The last try of a turn: it may stop lesser work, and what is missing is noted."""
        missing = self.serve(turn, work, turn.machines_with_room, last=True)
        if missing:
            closed = tuple(z for z in sorted(work.zones) if not zone_allows_task(work, z))
            turn.unmet.append(UnmetDemand(work.job, missing, closed))

    def serve(self, turn: Turn, work: Work, machines: list[Machine], last: bool) -> int:
        """Start what fits on the machines; returns how many tasks found none. Only the `last`
        try may stop others."""
        if not work.pending:
            return 0
        spec, size = work.job.spec, work.job.size
        if spec.gang:
            return self._serve_gang(turn, work, machines, last)
        kind = (spec.spot, spec.types, spec.zone)
        if last and any(small.fits(size) for small in turn.full.get(kind, ())):
            work.wait_reason = NO_ROOM
            self.preemption.make_room(turn, work, len(work.pending))
            return len(work.pending)
        fits = self._fitting(turn, work, machines)
        if turn.reserved:
            fits = [m for m in fits if self._open(turn, work, m)]
        if not fits:
            if not turn.reserved and last:  # what is reserved for gangs is room to others
                turn.full.setdefault(kind, []).append(size)
            if not last:
                return len(work.pending)
        return self._fill(turn, work, fits, last)

    def _serve_gang(self, turn: Turn, work: Work, machines: list[Machine], last: bool) -> int:
        machines = [m for m in machines if self._open(turn, work, m)]
        return self.gang_placement.serve(turn, work, machines, last)

    def probe(self, turn: Turn, work: Work) -> None:
        """One task of a job that fails wherever it starts, in room that nobody else took, on a
        machine where it has not failed yet and, if there is one, that holds its image."""
        if self.failures.goes_well(work):
            self.failures.note_success(work)
            return
        work.wait_reason = FAILS
        if self.context.now < work.not_before or any(work.zones.values()):
            return
        fits = self._fitting(turn, work, turn.machines_with_room)
        fits = [m for m in fits if m.id not in work.errors] or fits
        fits = [m for m in fits if work.job.spec.image in m.images] or fits
        if fits and work.job.spec.gang:
            self._serve_gang(turn, work, fits, last=False)
        elif fits:
            self._fill(turn, work, fits, False, 1)
        work.wait_reason = FAILS

    def _fitting(self, turn: Turn, work: Work, machines: Iterable[Machine]) -> list[Machine]:
        """Machines with room for a task of the job, where it is allowed."""
        size = work.job.size
        fits = [
            m
            for m in machines
            if size.fits(m.room) and m.id not in turn.claimed and permits(work.job, m)
        ]
        policy = self.scoring.policy
        return policy.candidates(work, fits) if policy.active else fits

    def _open(self, turn: Turn, work: Work, machine: Machine) -> bool:
        """Not reserved for another. Replicas look elsewhere at first, or a stream of new ones would
        take all that is reserved; then they take it, as they would stop the gang there at once, and
        both would begin again and again. An array that has not begun for long begins there."""
        job = work.job
        if turn.reserved.get(machine.id, job.uid) == job.uid:
            return True
        waits = self.context.now - job.submitted
        return (job.spec.service and waits > ELSEWHERE_S) or (
            not job.spec.gang and waits > UNBEGUN_S and not begun(work)
        )

    # --- filling -------------------------------------------------------------------------

    def _fill(
        self,
        turn: Turn,
        work: Work,
        fits: list[Machine],
        last: bool,
        most: float = math.inf,
    ) -> int:
        """Start what fits, `most` tasks at the most; returns how many found no machine. `fits`
        are the machines that have room for one task at the least."""
        job = work.job
        extra = turn.unlocated_of(job.spec.team)
        work.wait_reason = ""
        if not self.quota.allows(job, extra):
            work.wait_reason = TEAM_LIMIT
            return 0
        held = self._room_with_image(turn, work, fits)
        pool = self.budget.sample(fits, len(work.pending))
        scored = [(-self.scoring.score(job, m), n, m) for n, m in enumerate(pool)]
        heapq.heapify(scored)
        end = len(work.pending) - most
        while len(work.pending) > max(held, end):
            if not self.quota.allows(job, extra):
                work.wait_reason = TEAM_LIMIT
                return 0
            if not self._place_next(work, scored):
                break
        missing = len(work.pending) - held
        if missing > 0:
            work.wait_reason = NO_ROOM
            if last:
                self.preemption.make_room(turn, work, missing)
        return missing

    def _place_next(self, work: Work, scored: list[Scored]) -> bool:
        """Place the next task on the best machine that may take it; `scored` is a heap."""
        job = work.job
        task = TaskId(job.uid, next(reversed(work.pending)))
        aside = []
        while scored and not self._may_take(work, task, scored[0][2]):
            entry = heapq.heappop(scored)
            if zone_allows_task(work, entry[2].record.zone):
                aside.append(entry)  # holds a former attempt of this task only
        if not scored:
            return False
        _, n, machine = scored[0]
        self.fleet.placements.place(job, task.number, machine, machine.share.next_attempt())
        waited = self.context.now - job.submitted
        self.context.log("debug", f"{task} placed on {machine.id}, {waited:.2f} s after its job")
        if job.size.fits(machine.room) and len(machine.placements) < MOST_LISTED:
            heapq.heapreplace(scored, (-self.scoring.score(job, machine), n, machine))
        else:
            heapq.heappop(scored)
        for entry in aside:
            heapq.heappush(scored, entry)
        return True

    @staticmethod
    def _may_take(work: Work, task: TaskId, machine: Machine) -> bool:
        return zone_allows_task(work, machine.record.zone) and not (
            task.number in work.tried and machine.holds(task)
        )

    def _room_with_image(self, turn: Turn, work: Work, fits: list[Machine]) -> int:
        """Extension: replicas that are promised to start sooner than their image can be fetched
        take the room of lesser work on machines that hold it. For how many tasks room is being
        made: they wait the moment until it is there."""
        job = work.job
        within = self.order.wait_limits_s.get(job.spec.lane)
        if within is None or not job.spec.service or work.fails_everywhere:
            return 0
        lacking = len(work.pending) - sum(
            count_fitting(job.size, m.room) for m in fits if fetch_s(job, m) <= within
        )
        if lacking <= 0:
            return 0
        return self.preemption.make_room(turn, work, lacking, within)
