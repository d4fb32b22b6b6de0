"""What runs where: the owner's turns over its shares, and the finishes it stores."""

from __future__ import annotations

import heapq
import math
from functools import cache
from itertools import groupby
from typing import Any

from .budget import Budget
from .context import CLOCK_DRIFT, Context
from .draining import Draining
from .failures import FAILS, Failures
from .finishes import Finishes
from .gang_placement import GangPlacement
from .gangs import INCOMPLETE, Gangs
from .ids import ALWAYS, LONG_AGO, Instant, JobId, MachineId, ShareNo, TaskId, Team, later
from .jobs import Job, Jobs
from .machine import Machine, Placement
from .machines import MOST_LISTED, Fleet
from .order import Order
from .placement import NOTHING, Size, fits_times, progress
from .preemption import Preemption
from .quota import Quota
from .shares import Holding, Shares
from .store import Store
from .work import (
    Usable,
    Work,
    begun,
    fetch_s,
    fetches_or_holds,
    fetching,
    permits,
    zone_open,
)

RETRY_S = 0.25  # between turns while tasks wait for room
AGED_PART = 0.2  # of the array tasks started, those that overdue work may start first
AGED_CREDIT = 50.0
PLENTY = 2.0  # an image is held by enough machines: twice its part of what waits
HELD_EVERY_S = 1.0  # between two counts of what images the machines hold
ELSEWHERE_S = 3.0  # for which new replicas leave the room that is reserved for gangs
UNBEGUN_S = 45.0  # an array that waits longer begins wherever there is room
AT_RISK = 0.1  # part of a share's replicas, by CPUs, that may gather on one machine
MACHINE_S = 60.0  # a machine is paid for so long at the least
QUEUED_PER_S = 5_000.0  # and so do jobs gone through
LONGEST_GAP_S = 0.25


class Scheduler:
    """Watches the ledger, and fills machines with the tasks that wait."""

    def __init__(
        self, context: Context, store: Store, shares: Shares, jobs: Jobs, quota: Quota
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.jobs = jobs
        self.quota = quota
        self.work: dict[JobId, Work] = {}
        # Per share: the job, how many of its tasks found no machine, and the zones closed to them.
        self.unmet: dict[ShareNo, list[tuple[Job, int, tuple[str, ...]]]] = {}
        self.order = Order(context, quota)
        self._credit: dict[ShareNo, float] = {}  # tasks that overdue work may start first
        self._dirty = True
        self._next_turn = Instant(0.0)
        self._due_at = ALWAYS  # when what backs off is to be looked at again
        self._ending: dict[JobId, tuple[Job, Instant]] = {}  # cancelled; until when they may run
        self.finishes = Finishes(context, store, shares)
        self.budget = Budget(context)
        self._queued = 0  # jobs that waited in the newest turn
        # CPUs that hold an image, and CPUs of all usable machines
        self._held: dict[ShareNo, tuple[Instant, dict[str, float], float]] = {}
        self._reserved: dict[MachineId, JobId] = {}  # machines, each for a gang, this turn
        self._lasting = 0.0  # CPUs of services in the share whose turn it is

    def join(self, fleet: Fleet) -> None:
        """The ledger tells the scheduler of changes, and the scheduler changes the ledger: the
        node builds the two for each other."""
        self.fleet = fleet
        self.failures = Failures(self.context, fleet, self.changed)
        self.gangs = Gangs(self.context, fleet, self.work)
        self.preemption = Preemption(
            self.context, fleet, self.quota, self.order, self.budget, self.work, self.gangs
        )
        self.gang_placement = GangPlacement(
            self.context,
            self.shares,
            fleet,
            self.quota,
            self.gangs,
            self.preemption,
            self.budget,
            self._score,
            self.order.within,
        )
        self.draining = Draining(self.context, self.shares, fleet, self.work, self.gangs)

    # --- jobs ----------------------------------------------------------------------------

    def job_changed(self, job: Job) -> None:
        share = self.shares.of_team(Team(job.spec.team))
        if job.stage == "cancelled":
            # Its tasks may go on for a while where no owner has found them yet, and count
            # against the team's limit: whoever owns the share by then.
            gone = later(
                self.context.now,
                self.context.platform.settings.workers.cancel_s * (1 + CLOCK_DRIFT),
            )
            self._ending[job.uid] = (job, gone)
        if share not in self.shares.owned:
            return
        if job.final:
            self._close(job)
        elif job.uid not in self.work:
            self._open(job, share)

    def gain(self, holding: Holding) -> None:
        for job in self.jobs.open_jobs():
            if self.shares.of_team(Team(job.spec.team)) == holding.number:
                self._open(job, holding.number)

    def lose(self, share: ShareNo) -> None:
        for uid in [u for u, w in self.work.items() if w.share == share]:
            del self.work[uid]
            self.finishes.drop(uid)
        self.unmet.pop(share, None)

    def _open(self, job: Job, share: ShareNo) -> None:
        work = Work(job, share)
        placed = {p.task.number for p in self.fleet.placements.of_job(job.uid)}
        # As digits once: shifting a large bitmap for each of 100,000 tasks takes seconds.
        done = f"{job.done_bits:b}".rjust(job.spec.tasks, "0")
        work.pending = {
            job.spec.tasks - 1 - n: None
            for n, bit in enumerate(done)
            if bit == "0" and job.spec.tasks - 1 - n not in placed
        }
        self.work[job.uid] = work
        if job.spec.gang:
            for placement in self.fleet.placements.of_job(job.uid):
                self.gangs.placed(work, placement)
        self._dirty = True

    def _close(self, job: Job) -> None:
        self.work.pop(job.uid, None)
        self.finishes.drop(job.uid)
        for placement in self.fleet.placements.of_job(job.uid):
            self.fleet.placements.stop(placement)
        self._dirty = True

    # --- what the ledger tells -----------------------------------------------------------

    def placed(self, placement: Placement) -> None:
        self.quota.add(placement)
        if placement.job is not None and not placement.job.spec.service:
            number = placement.machine.share.number
            self._credit[number] = min(self._credit.get(number, 0.0) + AGED_PART, AGED_CREDIT)
        work = self.work.get(placement.task.job)
        if work is not None:
            zone = placement.machine.record.zone
            work.zones[zone] = work.zones.get(zone, 0) + 1
            work.pending.pop(placement.task.number, None)
            if work.job.spec.gang:
                self.gangs.placed(work, placement)
        elif placement.job is not None and placement.job.final:
            self.fleet.placements.stop(placement)

    def unplaced(self, placement: Placement) -> None:
        self.quota.remove(placement)
        work = self.work.get(placement.task.job)
        if work is not None:
            zone = placement.machine.record.zone
            work.zones[zone] = work.zones.get(zone, 0) - 1

    def stopped(self, placement: Placement) -> None:
        self.quota.stops(placement)
        work = self.work.get(placement.task.job)
        if work is not None and work.job.spec.gang:
            self.gangs.stopped(work)

    def gone(self, placement: Placement, why: str) -> None:
        """The attempt is over, whatever the reason."""
        self._dirty = True
        work = self.work.get(placement.task.job)
        if work is None:
            return
        index = placement.task.number
        machine = placement.machine
        now = self.context.now
        if why == "done" and not work.job.spec.service:
            # If one task of a gang is done, all are.
            for number in range(work.job.spec.tasks) if work.job.spec.gang else (index,):
                self.finishes.add(work, number)
            machine.errors.clear()
            machine.did_well = now
            self.failures.acquit(work)
        elif why == "error":
            self.failures.failed(work, placement)
        elif why in ("full", "busy"):
            machine.full_until = Instant(now + 1.0)
        elif why == "unknown":
            work.not_before = Instant(now + 1.0)
        if (
            not work.finished >> index & 1
            and not work.job.is_done(index)
            and placement.task not in self.fleet.placements.by_task
        ):
            work.pending[index] = None
            work.tried.add(index)
            if work.job.spec.gang:
                self.gangs.gone(work, placement, why)

    def _probe(
        self,
        work: Work,
        usable: Usable,
        roomy: list[Machine],
        claimed: set[MachineId],
        unlocated: dict[Team, Size],
    ) -> None:
        """One task of a job that fails wherever it starts, in room that nobody else took, on a
        machine where it has not failed yet and, if there is one, that holds its image."""
        if self.failures.goes_well(work):
            self.failures.acquit(work)
            return
        work.wait_reason = FAILS
        if self.context.now < work.not_before or any(work.zones.values()):
            return
        size = work.job.size
        fits = [
            m for m in roomy if m.id not in claimed and size.fits(m.room) and permits(work.job, m)
        ]
        fits = [m for m in fits if m.id not in work.errors] or fits
        fits = [m for m in fits if work.job.spec.image in m.images] or fits
        if fits and work.job.spec.gang:
            self._serve(work, usable, fits, claimed, unlocated, {}, False)
        elif fits:
            self._fill(work, usable, fits, claimed, unlocated, False, 1)
        work.wait_reason = FAILS

    def running(self, placement: Placement) -> None:
        work = self.work.get(placement.task.job)
        if work is not None and work.job.spec.gang:
            self.gangs.running(work)

    def changed(self) -> None:
        self._dirty = True

    # --- turns ---------------------------------------------------------------------------

    def turn(self) -> None:
        now = self.context.now
        # Room may open by time alone, as pauses and backoffs end.
        due = self._dirty or (any(self.unmet.values()) and now >= self._next_turn + RETRY_S)
        if not (due or now >= self._due_at) or now < self._next_turn:
            return
        self._dirty = False
        self._due_at = ALWAYS
        self._queued = 0
        self.budget.begin()
        self.preemption.begin()
        for holding in list(self.shares.owned.values()):
            if self.shares.may_command(holding.number):
                self._turn(holding)
            else:
                self._dirty = True
        # A long queue is gone through less often: what a turn costs puts the next one off.
        cost = self.budget.cost_s() + self._queued / QUEUED_PER_S
        self._next_turn = Instant(now + min(0.02 + cost, LONGEST_GAP_S))

    def _turn(self, holding: Holding) -> None:
        now = self.context.now
        waiting = []
        mistaken = []
        hidden = self._hidden(holding)
        for work in self.work.values():
            if not work.pending or work.share != holding.number:
                continue
            if self._may_hide(work.job, holding, hidden):
                work.wait_reason = "share not settled"
            elif work.mistaken:
                mistaken.append(work)
            elif now < work.not_before:
                work.wait_reason = INCOMPLETE if work.incomplete else "its start was refused"
                self._due_at = min(self._due_at, work.not_before)
            else:
                waiting.append(work)
        if not waiting and not mistaken:
            self.unmet[holding.number] = []
            return
        self._queued += len(waiting)
        unlocated = self._unlocated(holding, hidden)
        order = {work.job.uid: self.order.urgency(work) for work in waiting}
        waiting.sort(key=lambda work: order[work.job.uid])
        machines = self.fleet.of_share(holding.number)
        self._lasting = sum(m.lasting for m in machines)

        @cache
        def usable() -> list[Machine]:
            return [m for m in machines if self.fleet.usable(m)]

        claimed: set[MachineId] = set()
        self._reserved = self.preemption.reserved = self.gang_placement.reserve(waiting, usable)
        unmet: list[tuple[Job, int, tuple[str, ...]]] = []
        # Sizes that found no room in this turn: what is no smaller won't find any either.
        full: dict[tuple[Any, ...], list[Size]] = {}
        least = Size(
            *map(min, zip(*(work.job.size for work in (*waiting, *mistaken)), strict=True))
        )
        # Most machines of a busy fleet are full: whether they are usable is asked only when
        # something might be stopped there.
        roomy = [
            m
            for m in machines
            if m.room.cpus + 1e-9 >= least.cpus and least.fits(m.room) and self.fleet.usable(m)
        ]
        plenty = self._plentiful(holding, waiting, usable, roomy)
        self._serve_aged(holding, waiting, usable, roomy, claimed, unlocated)
        # Class by class: what leaves a machine to others must not stop them for it at once.
        for _, together in groupby(waiting, key=lambda work: order[work.job.uid][:2]):
            later: list[Work] = []
            for work in together:
                spec = work.job.spec
                if spec.image in plenty and not spec.service and not spec.gang:
                    later.append(work)
                    held = [m for m in roomy if fetches_or_holds(spec.image, m)]
                    self._serve(work, usable, held, claimed, unlocated, {}, False)
                else:
                    self._serve_last(work, usable, roomy, claimed, unlocated, full, unmet)
            for work in later:
                self._serve_last(work, usable, roomy, claimed, unlocated, full, unmet)
        self.unmet[holding.number] = unmet
        # Last, never hired for, and nothing stops for them.
        for work in mistaken:
            self._probe(work, usable, roomy, claimed, unlocated)
            # Looked at again when the next try is due, or soon while one goes on or found no room.
            again = now + 1.0 if now >= work.not_before or work.zones else work.not_before
            self._due_at = min(self._due_at, Instant(again))

    def _open_to(self, work: Work, machine: Machine) -> bool:
        """Not reserved for another. Replicas look elsewhere at first, or a stream of new ones would
        take all that is reserved; then they take it, as they would stop the gang there at once, and
        both would begin again and again. An array that has not begun for long begins there."""
        job = work.job
        if self._reserved.get(machine.id, job.uid) == job.uid:
            return True
        waits = self.context.now - job.submitted
        return (job.spec.service and waits > ELSEWHERE_S) or (
            not job.spec.gang and waits > UNBEGUN_S and not begun(work)
        )

    def _serve_aged(
        self,
        holding: Holding,
        waiting: list[Work],
        usable: Usable,
        roomy: list[Machine],
        claimed: set[MachineId],
        unlocated: dict[Team, Size],
    ) -> None:
        """Work that is long overdue makes way steadily: its first task goes before all else, and
        after that a part of what is started is its own. All of it first would make whatever
        comes meanwhile overdue in its turn."""
        aged = [w for w in waiting if self.order.overdue(w)]
        credit = self._credit.get(holding.number, 0.0) if aged else 0.0
        for work in sorted(aged, key=lambda w: (w.job.submitted, w.job.uid)):
            before = len(work.pending)
            first = 0 if begun(work) else 1
            most = max(first, int(credit))
            if most and before:
                fits = [
                    m
                    for m in roomy
                    if work.job.size.fits(m.room)
                    and m.id not in claimed
                    and permits(work.job, m)
                    and self._open_to(work, m)
                ]
                self._fill(work, usable, fits, claimed, unlocated, False, most)
                credit -= max(0, before - len(work.pending) - first)
                if len(work.pending) == before and not first:
                    break
        self._credit[holding.number] = credit

    def needed(self, job: Job, count: int) -> int:
        """For how many of the waiting tasks to have machines: those without a deadline that end
        long before a machine has paid for itself follow each other on the same ones."""
        spec = job.spec
        if spec.service or spec.gang or spec.deadline_s or not spec.estimate_s:
            return count
        return min(count, math.ceil(count * spec.estimate_s / MACHINE_S))

    def _serve_last(
        self,
        work: Work,
        usable: Usable,
        roomy: list[Machine],
        claimed: set[MachineId],
        unlocated: dict[Team, Size],
        full: dict[tuple[Any, ...], list[Size]],
        unmet: list[tuple[Job, int, tuple[str, ...]]],
    ) -> None:
        missing = self._serve(work, usable, roomy, claimed, unlocated, full, True)
        if missing:
            closed = tuple(z for z in sorted(work.zones) if not zone_open(work, z))
            unmet.append((work.job, missing, closed))

    def _serve(
        self,
        work: Work,
        usable: Usable,
        roomy: list[Machine],
        claimed: set[MachineId],
        unlocated: dict[Team, Size],
        full: dict[tuple[Any, ...], list[Size]],
        last: bool,
    ) -> int:
        """Start what fits on the `roomy` machines; returns how many tasks found none. Only the
        `last` try may stop others."""
        if not work.pending:
            return 0
        spec, size = work.job.spec, work.job.size
        if spec.gang:
            return self.gang_placement.serve(
                work,
                usable,
                [m for m in roomy if self._open_to(work, m)],
                claimed,
                unlocated.get(Team(spec.team), NOTHING),
                last,
            )
        kind = (spec.spot, spec.types, spec.zone)
        if any(small.fits(size) for small in full.get(kind, ())):
            work.wait_reason = "no machine with room"
            if last:
                self.preemption.make_room(work, usable, claimed, len(work.pending))
            return len(work.pending)
        fits = [
            m for m in roomy if size.fits(m.room) and m.id not in claimed and permits(work.job, m)
        ]
        if self._reserved:
            fits = [m for m in fits if self._open_to(work, m)]
        if not fits:
            if not self._reserved:  # what is reserved for gangs is room to others
                full.setdefault(kind, []).append(size)
            if not last:
                return len(work.pending)
        return self._fill(work, usable, fits, claimed, unlocated, last)

    def _plentiful(
        self, holding: Holding, waiting: list[Work], usable: Usable, roomy: list[Machine]
    ) -> frozenset[str]:
        """Extension: while more waits than there is room for, images that enough machines hold
        for their part of what waits. Their tasks leave machines without the image to others
        whose image is there, as fetching takes a good part of a short task's time."""
        wanted: dict[str, float] = {}
        for work in waiting:
            cpus = len(work.pending) * work.job.size.cpus
            wanted[work.job.spec.image] = wanted.get(work.job.spec.image, 0.0) + cpus
        total = sum(wanted.values())
        if total <= sum(m.room.cpus for m in roomy):
            return frozenset()
        at, held, cpus = self._held.get(holding.number, (LONG_AGO, {}, 0.0))
        if self.context.now >= at + HELD_EVERY_S:
            held, cpus = {}, 0.0
            for machine in usable():
                assert machine.type is not None
                cpus += machine.type.cpus
                for image in (*fetching(machine), *machine.images):
                    held[image] = held.get(image, 0.0) + machine.type.cpus
            self._held[holding.number] = (self.context.now, held, cpus)
        if not cpus:
            return frozenset()
        return frozenset(
            image
            for image, part in wanted.items()
            if held.get(image, 0.0) / cpus >= min(PLENTY * part / total, 1.0)
        )

    def _hidden(self, holding: Holding) -> list[Machine]:
        """One machine of each kind and place among those that may hold unknown tasks."""
        if holding.settled:
            return []
        kinds = {
            (m.record.type, m.record.zone, m.record.spot): m
            for m in self.fleet.of_share(holding.number)
            if not m.settled
        }
        return list(kinds.values())

    def _may_hide(self, job: Job, holding: Holding, hidden: list[Machine]) -> bool:
        """May an earlier owner have started tasks of the job that aren't located yet? Only on
        machines where they are allowed and fit: the others need not be waited for."""
        return job.accepted <= holding.epoch and any(
            permits(job, m) and (m.type is None or job.size.fits(m.type.size)) for m in hidden
        )

    def _unlocated(self, holding: Holding, hidden: list[Machine]) -> dict[Team, Size]:
        """Tasks that an earlier owner may have started on machines not heard of yet: those of
        open jobs, and of jobs cancelled lately, which need not have stopped by now. No more
        than such machines hold."""
        if not hidden:
            return {}
        most = NOTHING
        for machine in self.fleet.of_share(holding.number):
            if not machine.settled:
                if machine.type is None:
                    most = Size(math.inf, math.inf, math.inf)
                    break
                most = most.plus(machine.type.size)
        found: dict[Team, Size] = {}

        def count(job: Job, n: int) -> None:
            if n > 0 and self._may_hide(job, holding, hidden):
                team = Team(job.spec.team)
                size = Size(job.size.cpus * n, job.size.memory * n, job.size.gpus * n)
                found[team] = found.get(team, NOTHING).plus(size)

        for work in self.work.values():
            if work.share == holding.number:
                count(work.job, len(work.pending))
        for job, _ in self._ending.values():
            if self.shares.of_team(Team(job.spec.team)) == holding.number:
                count(
                    job,
                    job.spec.tasks - job.done_count - len(self.fleet.placements.of_job(job.uid)),
                )
        return {team: Size(*map(min, size, most)) for team, size in found.items()}

    def _score(self, job: Job, machine: Machine, used: Size | None = None) -> float:
        """`used`: its allocations if not those of the ledger, while a set is put together."""
        assert machine.type is not None
        used = machine.used if used is None else used
        score = progress(machine.type.size, used, job.size)
        # Extension: seconds until the image is there.
        score -= self.context.operators.image_weight * fetch_s(job, machine)
        if self.context.operators.gather_weight:
            score += self.context.operators.gather_weight * self._consolidation(job, machine, used)
        return score

    def _consolidation(self, job: Job, machine: Machine, used: Size) -> float:
        """Extension: gather what lasts on few machines, and fill those
        first, so that the others fall empty and can be returned. The progress score alone
        scatters tasks that all lean one way, since it favours the lighter machine. Replicas
        gather only up to a part of a machine, since its loss takes them all at once: to half
        of it where they are few, further where it holds a small part of the share's."""
        assert machine.type is not None
        cpus = max(machine.type.cpus, 1e-6)
        lasting = machine.lasting / cpus
        most = max(0.5, min(0.9, AT_RISK * self._lasting / cpus))
        if job.spec.service and lasting >= most:
            lasting = most - lasting
        # What may use cheap machines fills the dear ones only where they stay anyway.
        dear = 0.0 if machine.record.spot or machine.lasting > 0 or job.spec.service else 0.3
        return lasting + 0.2 * used.cpus / cpus - dear

    def _fill(
        self,
        work: Work,
        usable: Usable,
        fits: list[Machine],
        claimed: set[MachineId],
        unlocated: dict[Team, Size],
        last: bool,
        most: float = math.inf,
    ) -> int:
        """Start what fits, `most` tasks at the most; returns how many found no machine. `fits`
        are the machines that have room for one task at the least."""
        job = work.job
        size = job.size
        extra = unlocated.get(Team(job.spec.team), NOTHING)
        now = self.context.now
        work.wait_reason = ""
        if not self.quota.allows(job, extra):
            work.wait_reason = "team limit"
            return 0
        held = self._room_with_image(work, usable, fits, claimed)
        pool = self.budget.sample(fits, len(work.pending))
        scored = [(-self._score(job, m), n, m) for n, m in enumerate(pool)]
        heapq.heapify(scored)
        end = len(work.pending) - most
        while len(work.pending) > max(held, end):
            if not self.quota.allows(job, extra):
                work.wait_reason = "team limit"
                return 0
            task = TaskId(job.uid, next(reversed(work.pending)))
            aside = []
            while scored and not (
                zone_open(work, scored[0][2].record.zone)
                and not (task.number in work.tried and scored[0][2].holds(task))
            ):
                entry = heapq.heappop(scored)
                if zone_open(work, entry[2].record.zone):
                    aside.append(entry)  # holds a former attempt of this task only
            if not scored:
                break
            _, n, machine = scored[0]
            self.fleet.placements.place(job, task.number, machine, machine.share.next_attempt())
            self.context.log(
                "debug", f"{task} placed on {machine.id}, {now - job.submitted:.2f} s after its job"
            )
            if size.fits(machine.room) and len(machine.placements) < MOST_LISTED:
                heapq.heapreplace(scored, (-self._score(job, machine), n, machine))
            else:
                heapq.heappop(scored)
            for entry in aside:
                heapq.heappush(scored, entry)
        missing = len(work.pending) - held
        if missing > 0:
            work.wait_reason = "no machine with room"
            if last:
                self.preemption.make_room(work, usable, claimed, missing)
        return missing

    def _room_with_image(
        self, work: Work, usable: Usable, fits: list[Machine], claimed: set[MachineId]
    ) -> int:
        """Extension: replicas that are promised to start sooner than their image can be fetched
        take the room of lesser work on machines that hold it. For how many tasks room is being
        made: they wait the moment until it is there."""
        job = work.job
        within = self.order.within.get(job.spec.lane)
        if within is None or not job.spec.service or work.mistaken:
            return 0
        lacking = len(work.pending) - sum(
            fits_times(job.size, m.room) for m in fits if fetch_s(job, m) <= within
        )
        if lacking <= 0:
            return 0
        return self.preemption.make_room(work, usable, claimed, lacking, within)

    def tick(self) -> None:
        while self._ending:  # oldest first
            uid = next(iter(self._ending))
            if self.context.now < self._ending[uid][1]:
                break
            del self._ending[uid]
        self.draining.tick()
