"""Where the whole of a gang goes: all of its tasks or none, by the same score as any task.

Extension of the paper's placement from single tasks to sets: the tasks are placed one after the
other on a scratch copy of the allocations, each where it scores best given those before it, and
only a set that is complete, in one zone if the job says so, is carried out.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from .budget import TurnBudget
from .context import Context
from .gangs import Gangs
from .ids import JobId, MachineId, TaskId
from .jobs import Job
from .machine import Machine
from .machines import MOST_LISTED, Fleet
from .placement import ZERO_SIZE, Size, count_fitting
from .preemption import Preemption
from .quota import Quota
from .shares import Shares
from .turn import Turn
from .work import Work, fetch_s, permits, zone_allows_task

Score = Callable[[Job, Machine, Size], float]

NO_ROOM = "no room for the whole gang"
# What falls free in one place is reserved for a gang that waits longer; where its class is promised
# to start within some time, for one that has waited half of that.
RESERVE_AFTER_S = 15.0
FREE_SOON_S = 60.0  # what will run longer is not counted on
RESERVED_S = 60.0  # for so long at a time
RESERVED_PART = 0.2  # of a share's CPUs, reserved for gangs at the most, beyond the first


class Plan(NamedTuple):
    """Where all tasks of a gang would go."""

    slowest: float  # seconds until the last image is there
    score: float
    places: list[tuple[int, Machine]]  # task numbers and where they go


class GangPlacement:
    """Plans and starts whole gangs."""

    def __init__(
        self,
        context: Context,
        shares: Shares,
        fleet: Fleet,
        quota: Quota,
        gangs: Gangs,
        preemption: Preemption,
        budget: TurnBudget,
        score: Score,
        within: Mapping[str, float],
    ) -> None:
        self.context = context
        self.shares = shares
        self.fleet = fleet
        self.quota = quota
        self.gangs = gangs
        self.preemption = preemption
        self.budget = budget
        self.score = score
        self.wait_limits_s = within  # seconds that a class is promised to start in

    def serve(self, turn: Turn, work: Work, machines: Iterable[Machine], last: bool) -> int:
        """Start all that is pending of the gang, or nothing; returns how many tasks need room.
        Only the `last` try may stop others."""
        job, n = work.job, len(work.pending)
        work.wait_reason = self.gangs.check_startable(work)
        if work.wait_reason or not n:
            return 0
        if not self.quota.allows(job, turn.unlocated_of(job.spec.team).plus(self.gangs.size(work))):
            work.wait_reason = "team limit"
            return 0
        fits = [
            m
            for m in machines
            if job.size.fits(m.room)
            and m.id not in turn.claimed
            and permits(job, m)
            and zone_allows_task(work, m.record.zone)
        ]
        plan = self._plan(work, fits)
        if plan is None:
            work.wait_reason = NO_ROOM
            if last:
                self.preemption.make_room_for_gang(turn, work)
            return n
        holding = self.shares.owned[work.share]
        attempt = work.attempt if any(work.zones.values()) else None
        attempt = holding.next_attempt() if attempt is None else attempt
        for number, machine in plan.places:
            self.fleet.placements.place(job, number, machine, attempt)
        self.context.log(
            "debug",
            f"gang {job.uid} placed on"
            f" {len({m.id for _, m in plan.places})} machines,"
            f" {self.context.now - job.submitted:.2f} s after its job,"
            f" images there in {plan.slowest:.1f} s",
        )
        return 0

    def _plan(self, work: Work, fits: list[Machine]) -> Plan | None:
        if not work.job.spec.together:
            return self._fill(work, fits)
        zones: dict[str, list[Machine]] = {}
        for machine in fits:
            zones.setdefault(machine.record.zone, []).append(machine)
        plans = [
            plan for zone in sorted(zones) if (plan := self._fill(work, zones[zone])) is not None
        ]
        return min(plans, key=lambda p: (p.slowest, -p.score), default=None)

    def _fill(self, work: Work, machines: list[Machine]) -> Plan | None:
        job, n = work.job, len(work.pending)
        room = {
            m.id: min(count_fitting(job.size, m.room), MOST_LISTED - len(m.placements))
            for m in machines
        }
        if sum(room.values()) < n:
            return None
        pool = self.budget.sample(machines, 4 * n)
        used = {m.id: m.used for m in pool}
        left = {zone: self.gangs.most_in_zone(work, zone) for zone in {m.record.zone for m in pool}}
        heap = [(-self.score(job, m, m.used), k, m) for k, m in enumerate(pool)]
        heapq.heapify(heap)
        pending = list(reversed(work.pending))
        places: list[tuple[int, Machine]] = []
        total = slowest = 0.0
        while pending and heap:
            score, k, machine = heap[0]
            number = self._number_for(work, machine, pending)
            if left[machine.record.zone] <= 0 or room[machine.id] <= 0 or number is None:
                heapq.heappop(heap)
                continue
            pending.remove(number)
            places.append((number, machine))
            total -= score
            slowest = max(slowest, fetch_s(job, machine))
            left[machine.record.zone] -= 1
            room[machine.id] -= 1
            used[machine.id] = used[machine.id].plus(job.size)
            heapq.heapreplace(heap, (-self.score(job, machine, used[machine.id]), k, machine))
        return Plan(slowest, total, places) if not pending else None

    @staticmethod
    def _number_for(work: Work, machine: Machine, pending: list[int]) -> int | None:
        """A task of which the machine does not list a former start: that would be refused, or
        not be carried out at all."""
        for number in pending:
            if not (number in work.tried and machine.holds(TaskId(work.job.uid, number))):
                return number
        return None

    # --- gangs that wait long ------------------------------------------------------------

    def reserve(
        self, waiting: list[Work], usable: Callable[[], list[Machine]]
    ) -> dict[MachineId, JobId]:
        """Single tasks would take whatever falls free before it is enough for a gang. So for those
        that have waited longest, where least is missing, nothing else is started for a while;
        no more machines than they need, none whose work will take long, and a part of all only."""
        aged = [
            w
            for w in waiting
            if w.job.spec.gang
            and not w.fails_everywhere
            and w.attempt is None
            and self.context.now > w.job.submitted + self._reserve_after_s(w.job)
        ]
        if not aged:
            return {}
        reserved: dict[MachineId, JobId] = {}
        machines = usable()
        left = RESERVED_PART * sum(m.type.cpus for m in machines if m.type)
        for work in sorted(aged, key=lambda w: (w.job.submitted, w.job.uid)):
            if not self.quota.allows(work.job, self.gangs.size(work)):
                continue
            # What does not fall free in that time falls free too seldom to be waited for.
            if self.context.now > work.reserved_at + 2 * RESERVED_S:
                work.reserved_at = self.context.now
            elif self.context.now > work.reserved_at + RESERVED_S:
                continue
            found = self._soonest(work, [m for m in machines if m.id not in reserved])
            if found is None:
                continue
            left -= sum(m.type.cpus for m in found if m.type)
            if reserved and left < 0:
                break
            reserved.update((m.id, work.job.uid) for m in found)
        return reserved

    def _reserve_after_s(self, job: Job) -> float:
        within = self.wait_limits_s.get(job.spec.lane)
        return RESERVE_AFTER_S if within is None else within / 2

    def _soonest(self, work: Work, machines: list[Machine]) -> list[Machine] | None:
        """The machines, in one zone if it must be, where least has to fall free for the whole."""
        job, n = work.job, len(work.pending)
        zones: dict[str, list[tuple[int, int, Machine]]] = {}
        for machine in machines:
            soon = count_fitting(job.size, self._soon(machine))
            if soon and permits(job, machine):
                zone = machine.record.zone if job.spec.together else ""
                free = count_fitting(job.size, machine.room)
                zones.setdefault(zone, []).append((free, soon, machine))
        best: tuple[int, list[Machine]] | None = None
        for zone in sorted(zones):
            lacks, chosen, there = 0, [], 0
            for free, soon, machine in sorted(
                zones[zone], key=lambda z: (z[0] - z[1], -z[1], z[2].id)
            ):
                if there >= n:
                    break
                there += soon
                lacks += soon - free
                chosen.append(machine)
            if there >= n and (best is None or lacks < best[0]):
                best = (lacks, chosen)
        return best[1] if best else None

    def _soon(self, machine: Machine) -> Size:
        """Its room once what ends soon has ended."""
        now, room = self.context.now, machine.room
        for placement in machine.placements.values():
            job = placement.job
            if not placement.active or job is None or job.spec.service:
                continue
            ran = now - placement.ran_since if placement.ran_since else 0.0
            if placement.stopping or job.spec.estimate_s - ran < FREE_SOON_S:
                room = room.plus(placement.size)
        return room if machine.type else ZERO_SIZE
