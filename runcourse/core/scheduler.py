"""What runs where: the owner's turns over its shares, and the finishes it stores."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from functools import cache
from itertools import groupby
from typing import Any

from .context import DRIFT, Context
from .ids import ALWAYS, LONG_AGO, Instant, JobId, MachineId, ShareNo, Stamp, TaskId, Team, later
from .jobs import PAGE_BITS, Job, Jobs, job_value
from .machines import MOST_LISTED, Fleet, Machine, Placement
from .placement import NOTHING, Size, fits_times, progress
from .quota import Quota
from .shares import Holding, Shares
from .store import DONE, JOB, Store

DRAIN_S = 45.0  # a machine that is not empty by then takes tasks again
SETTLED_S = 35.0  # a replica that started lately is not moved
RETRY_S = 0.25  # between turns while tasks wait for room
FLUSH_GAP_S = 1.0  # between two stored changes of one job that do not complete it
RETRY_STORE_S = 0.3  # after a change that was not stored
AGED_S = 120.0  # a job that waits longer is overdue, or smaller ones would pass it for ever
YOUNG_S = 3.0  # what was placed since is not stopped for a guarantee
AGED_PART = 0.2  # of the array tasks started, those that overdue work may start first
AGED_CREDIT = 50.0
PLENTY = 2.0  # an image is held by enough machines: twice its part of what waits
HELD_EVERY_S = 1.0  # between two counts of what images the machines hold
MISTAKEN_AT = 3  # machines on which a job failed, and nothing of it went well: its own mistake
MISTAKEN_TRIES = 6  # or failures where there are fewer machines
PROBE_FIRST_S = 2.0  # until one task of such a job is tried again; twice as long each time
PROBE_MOST_S = 60.0
FAULTY_AT = 2  # jobs without a mistake that failed on a machine: its fault
FAULTY_S = 120.0  # within which, and for which it is set aside
FAILS = "fails wherever it starts"
PAUSE_S = 5.0  # a machine's after a first failure
AT_RISK = 0.1  # part of a share's replicas, by CPUs, that may gather on one machine
WEIGHED_PER_S = 50_000.0  # machines weighed in a turn put the next one off by as much
PLACEMENTS_WEIGH = 4  # tasks that might be stopped, weighed in the time of a machine
MACHINE_S = 60.0  # a machine is paid for so long at the least
QUEUED_PER_S = 5_000.0  # and so do jobs gone through
LONGEST_GAP_S = 0.25


Usable = Callable[[], list[Machine]]


class Work:
    """What is left to do of one open job of an owned share."""

    __slots__ = ("aged_until", "errors", "fails_after", "finished", "flushed_at", "flushing",
                 "job", "mistaken", "not_before", "pending", "probes", "retry_at", "share",
                 "tried", "waits", "zones")

    def __init__(self, job: Job, share: ShareNo) -> None:
        self.job = job
        self.share = share
        self.pending: dict[int, None] = {}  # to be started, the next one last
        self.zones: dict[str, int] = {}  # tasks placed per zone
        self.finished = 0  # bits of tasks that are done but not stored yet
        self.flushing = False
        self.flushed_at = LONG_AGO
        self.retry_at = LONG_AGO
        self.not_before = LONG_AGO
        self.aged_until = LONG_AGO  # goes first and is not stopped for others until then
        self.errors: dict[MachineId, int] = {}  # where its tasks failed, how often
        self.fails_after = 0.0  # seconds at the most from the start of a task to its failure
        self.mistaken = False  # fails wherever it is started, as it seems
        self.tried: set[int] = set()  # tasks of which machines may still list a former attempt
        self.probes = 0  # tries since that was found
        self.waits = ""  # why its next task waits


class Scheduler:
    """Watches the ledger, and fills machines with the tasks that wait."""

    def __init__(self, cx: Context, store: Store, shares: Shares, jobs: Jobs,
                 quota: Quota) -> None:
        self.cx = cx
        self.store = store
        self.shares = shares
        self.jobs = jobs
        self.quota = quota
        self.fleet: Fleet  # set by the node, which builds the two for each other
        self.work: dict[JobId, Work] = {}
        # Per share: the job, how many of its tasks found no machine, and the zones closed to them.
        self.unmet: dict[ShareNo, list[tuple[Job, int, tuple[str, ...]]]] = {}
        self._lateness: dict[str, tuple[float, ...]] = {}
        for aim in cx.platform.settings.objectives:
            if aim.kind == "deadline" and aim.job_class is not None:
                times = {*self._lateness.get(aim.job_class, ()), aim.times or 1.0}
                self._lateness[aim.job_class] = tuple(sorted(times))
        self._within = {aim.job_class: aim.within_s for aim in cx.platform.settings.objectives
                        if aim.kind == "wait" and aim.job_class is not None
                        and aim.within_s is not None}
        self._finished_within: dict[str, list[float]] = {}
        for aim in cx.platform.settings.objectives:
            if aim.kind == "finished" and aim.job_class is not None and aim.within_s is not None:
                self._finished_within.setdefault(aim.job_class, []).append(aim.within_s)
        self._credit: dict[ShareNo, float] = {}  # tasks that overdue work may start first
        self._draining: list[Machine] = []
        self._dirty = True
        self._next_turn = Instant(0.0)
        self._due_at = ALWAYS  # when what backs off is to be looked at again
        self._ending: dict[JobId, tuple[Job, Instant]] = {}  # cancelled; until when they may run
        self._finished: dict[JobId, Work] = {}  # with finishes that are not stored yet
        self._weighed = 0
        self._queued = 0  # jobs that waited in the newest turn
        # CPUs that hold an image, and CPUs of all usable machines
        self._held: dict[ShareNo, tuple[Instant, dict[str, float], float]] = {}
        self._lasting = 0.0  # CPUs of services in the share whose turn it is
        # Sizes for which, in this turn, nothing could be stopped to make room; by who asks.
        self._hopeless: dict[tuple[Any, ...], list[Size]] = {}

    # --- jobs ----------------------------------------------------------------------------

    def job_changed(self, job: Job) -> None:
        share = self.shares.of_team(Team(job.spec.team))
        if job.stage == "cancelled":
            # Its tasks may go on for a while where no owner has found them yet, and count
            # against the team's limit: whoever owns the share by then.
            gone = later(self.cx.now, self.cx.platform.settings.workers.cancel_s * (1 + DRIFT))
            self._ending[job.uid] = (job, gone)
        if share not in self.shares.mine:
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
            self._finished.pop(uid, None)
        self.unmet.pop(share, None)

    def _open(self, job: Job, share: ShareNo) -> None:
        work = Work(job, share)
        placed = {p.task.number for p in self.fleet.of_job(job.uid)}
        # As digits once: shifting a large bitmap for each of 100,000 tasks takes seconds.
        done = f"{job.done_bits:b}".rjust(job.spec.tasks, "0")
        work.pending = {job.spec.tasks - 1 - n: None for n, bit in enumerate(done)
                        if bit == "0" and job.spec.tasks - 1 - n not in placed}
        self.work[job.uid] = work
        self._dirty = True

    def _close(self, job: Job) -> None:
        self.work.pop(job.uid, None)
        self._finished.pop(job.uid, None)
        for placement in self.fleet.of_job(job.uid):
            self.fleet.stop(placement)
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
        elif placement.job is not None and placement.job.final:
            self.fleet.stop(placement)

    def lifted(self, placement: Placement) -> None:
        self.quota.remove(placement)
        work = self.work.get(placement.task.job)
        if work is not None:
            zone = placement.machine.record.zone
            work.zones[zone] = work.zones.get(zone, 0) - 1

    def stopped(self, placement: Placement) -> None:
        self.quota.stops(placement)

    def gone(self, placement: Placement, why: str) -> None:
        """The attempt is over, whatever the reason."""
        self._dirty = True
        work = self.work.get(placement.task.job)
        if work is None:
            return
        index = placement.task.number
        machine = placement.machine
        now = self.cx.now
        if why == "done" and not work.job.spec.service:
            work.finished |= 1 << index
            self._finished[work.job.uid] = work
            machine.errors.clear()
            machine.did_well = now
            self._acquit(work)
        elif why == "error":
            self._failed(work, placement)
        elif why in ("full", "busy"):
            machine.full_until = Instant(now + 1.0)
        elif why == "unknown":
            work.not_before = Instant(now + 1.0)
        if (not work.finished >> index & 1 and not work.job.is_done(index)
                and placement.task not in self.fleet.where):
            work.pending[index] = None
            work.tried.add(index)
            if work.job.spec.gang:
                # The mates can't go on without it: all start anew together.
                for mate in self.fleet.of_job(work.job.uid):
                    self.fleet.stop(mate, self._grace(mate))

    def _failed(self, work: Work, placement: Placement) -> None:
        """A machine on which tasks of several jobs fail is set aside; a job that fails on
        several machines, and does well on none, is mistaken, and no machine's fault."""
        now = self.cx.now
        machine, uid = placement.machine, work.job.uid
        work.errors[machine.id] = work.errors.get(machine.id, 0) + 1
        work.fails_after = max(work.fails_after, now - (placement.ran_since or placement.since))
        if work.mistaken:
            # Tasks that were under way when it was found are no tries of their own.
            if now >= work.not_before:
                self._put_off(work)
            return
        again = now - machine.errors.get(uid, LONG_AGO) < FAULTY_S and self._does_well(work)
        machine.errors[uid] = now
        if self._fails_everywhere(work):
            self._found_mistaken(work)
            return
        recent = [uid for uid, at in machine.errors.items() if now - at < FAULTY_S]
        if len(recent) >= FAULTY_AT or again:
            machine.quarantined_until = Instant(now + FAULTY_S)
            self.cx.log("warning", f"machine {machine.id}: tasks of {len(recent)} jobs failed,"
                                   " set aside")
        elif len(work.errors) == 1:  # on a second machine it is rather the job's own mistake
            machine.quarantined_until = max(machine.quarantined_until, Instant(now + PAUSE_S))

    def _fails_everywhere(self, work: Work) -> bool:
        """One task that fails by chance, or on one faulty machine, is no mistake of its job: it
        fails on several, or also where others do well, and nothing of it goes well anywhere."""
        if self._does_well(work):
            return False
        if len(work.errors) >= MISTAKEN_AT:
            return True
        machines = self.fleet.machines
        well = sum(id in machines and self.cx.now - machines[id].did_well < FAULTY_S
                   for id in work.errors)
        return well >= 2 or (sum(work.errors.values()) >= MISTAKEN_TRIES
                             and (len(work.errors) >= 2 or well >= 1))

    def _does_well(self, work: Work) -> bool:
        return bool(work.job.done_count or work.finished) or self._goes_well(work)

    def _goes_well(self, work: Work) -> bool:
        """Has a task of the job run for longer than those that failed?"""
        enough = 1.5 * work.fails_after + 1.0
        return any(p.stage == "running" and self.cx.now - p.ran_since > enough
                   for p in self.fleet.of_job(work.job.uid))

    def _found_mistaken(self, work: Work) -> None:
        """With many such jobs about, each machine has run some: none is set aside for them."""
        now = self.cx.now
        uid = work.job.uid
        work.mistaken = True
        self.cx.log("warning", f"job {uid}: failed on {len(work.errors)} machines, tried again"
                               " one task at a time")
        self._put_off(work)
        for id in work.errors:
            machine = self.fleet.machines.get(id)
            if machine is not None and machine.errors.pop(uid, None) is not None:
                recent = [at for at in machine.errors.values() if now - at < FAULTY_S]
                if len(recent) < FAULTY_AT:
                    machine.quarantined_until = now
        # What has not begun yet would fetch its image for nothing.
        for placement in self.fleet.of_job(uid):
            if placement.stage in ("sent", "fetching"):
                self.fleet.stop(placement)

    def _put_off(self, work: Work) -> None:
        pause = min(PROBE_MOST_S, PROBE_FIRST_S * 2 ** min(work.probes, 8))
        work.not_before = Instant(self.cx.now + pause)
        work.probes += 1

    def _acquit(self, work: Work) -> None:
        """Something of it goes well, so what failed was chance, or the machines' fault."""
        if work.mistaken:
            self.cx.log("info", f"job {work.job.uid}: goes well after all")
            work.mistaken = False
            work.not_before = LONG_AGO
            self._dirty = True
        work.errors.clear()
        work.fails_after = 0.0

    def _probe(self, work: Work, usable: Usable, roomy: list[Machine],
               claimed: set[MachineId], unlocated: dict[Team, Size]) -> None:
        """One task of a job that fails wherever it starts, in room that nobody else took, on a
        machine where it has not failed yet and, if there is one, that holds its image."""
        if self._goes_well(work):
            self._acquit(work)
            return
        work.waits = FAILS
        if self.cx.now < work.not_before or any(work.zones.values()):
            return
        size = work.job.size
        fits = [m for m in roomy if m.id not in claimed and size.fits(m.room)
                and self._permits(work.job, m)]
        fits = [m for m in fits if m.id not in work.errors] or fits
        fits = [m for m in fits if work.job.spec.image in m.images] or fits
        if fits:
            self._fill(work, usable, fits, claimed, unlocated, False, 1)
            work.waits = FAILS

    def running(self, placement: Placement) -> None:
        pass

    def changed(self) -> None:
        self._dirty = True

    # --- finishes ------------------------------------------------------------------------

    def flush(self) -> None:
        now = self.cx.now
        for work in list(self._finished.values()):
            if work.flushing or now < work.retry_at:
                continue
            job = work.job
            complete = (job.done_bits | work.finished).bit_count() >= job.spec.tasks
            if not complete and now < work.flushed_at + FLUSH_GAP_S:
                continue
            if not self.shares.may_command(work.share):
                continue
            self._store_finishes(work, complete)

    def _store_finishes(self, work: Work, complete: bool) -> None:
        job = work.job
        bits = work.finished
        work.flushing = True
        work.flushed_at = self.cx.now
        first = (bits & -bits).bit_length() - 1
        key = JOB + job.uid
        when = [self.shares.guard(work.share), (key, int(job.stamp))]
        then: list[tuple[str, Any, int | None]] = []
        if complete:  # says of every task that it is done: no page need say it too
            then.append((key, job_value(job.spec, "done"), None))
        else:
            for n in range(first // PAGE_BITS, (bits.bit_length() - 1) // PAGE_BITS + 1):
                if bits >> (n * PAGE_BITS) & ((1 << PAGE_BITS) - 1):
                    page = f"{DONE}{job.uid}/{n}"
                    # A change without an answer may be carried out after newer ones, and would
                    # take back what they stored: the page's version makes it fail.
                    when.append((page, int(self.store.stamp(page))))
                    then.append((page, job.page(n, bits), None))

        def done(result: str, stamp: Stamp) -> None:
            work.flushing = False
            if result == "ok":
                work.finished &= ~bits
                if not work.finished and self._finished.get(job.uid) is work:
                    del self._finished[job.uid]
            else:
                work.retry_at = Instant(self.cx.now + RETRY_STORE_S)

        self.store.commit(when, then, done)

    # --- turns ---------------------------------------------------------------------------

    def turn(self) -> None:
        now = self.cx.now
        # Room may open by time alone, as pauses and backoffs end.
        due = self._dirty or (any(self.unmet.values()) and now >= self._next_turn + RETRY_S)
        if not (due or now >= self._due_at) or now < self._next_turn:
            return
        self._dirty = False
        self._due_at = ALWAYS
        self._weighed = self._queued = 0
        self._hopeless.clear()
        for holding in list(self.shares.mine.values()):
            if self.shares.may_command(holding.number):
                self._turn(holding)
            else:
                self._dirty = True
        # A long queue is gone through less often: what a turn costs puts the next one off.
        cost = self._weighed / WEIGHED_PER_S + self._queued / QUEUED_PER_S
        self._next_turn = Instant(now + min(0.02 + cost, LONGEST_GAP_S))

    def _turn(self, holding: Holding) -> None:
        now = self.cx.now
        waiting = []
        mistaken = []
        hidden = self._hidden(holding)
        for work in self.work.values():
            if not work.pending or work.share != holding.number:
                continue
            if self._may_hide(work.job, holding, hidden):
                work.waits = "share not settled"
            elif work.mistaken:
                mistaken.append(work)
            elif now < work.not_before:
                work.waits = "its start was refused"
                self._due_at = min(self._due_at, work.not_before)
            else:
                waiting.append(work)
        if not waiting and not mistaken:
            self.unmet[holding.number] = []
            return
        self._queued += len(waiting)
        unlocated = self._unlocated(holding, hidden)
        order = {work.job.uid: self._urgency(work) for work in waiting}
        waiting.sort(key=lambda work: order[work.job.uid])
        machines = self.fleet.of_share(holding.number)
        self._lasting = sum(m.lasting for m in machines)

        @cache
        def usable() -> list[Machine]:
            return [m for m in machines if self.fleet.usable(m)]

        claimed: set[MachineId] = set()
        unmet: list[tuple[Job, int, tuple[str, ...]]] = []
        # Sizes that found no room in this turn: what is no smaller won't find any either.
        full: dict[tuple[Any, ...], list[Size]] = {}
        least = Size(*map(min, zip(*(work.job.size for work in (*waiting, *mistaken)),
                                   strict=True)))
        # Most machines of a busy fleet are full: whether they are usable is asked only when
        # something might be stopped there.
        roomy = [m for m in machines if m.room.cpus + 1e-9 >= least.cpus
                 and least.fits(m.room) and self.fleet.usable(m)]
        plenty = self._plentiful(holding, waiting, usable, roomy)
        self._serve_aged(holding, waiting, usable, roomy, claimed, unlocated)
        # Class by class: what leaves a machine to others must not stop them for it at once.
        for _, together in groupby(waiting, key=lambda work: order[work.job.uid][:2]):
            later: list[Work] = []
            for work in together:
                spec = work.job.spec
                if spec.image in plenty and not spec.service and not spec.gang:
                    later.append(work)
                    held = [m for m in roomy if self._fetches_or_holds(spec.image, m)]
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

    def _serve_aged(self, holding: Holding, waiting: list[Work], usable: Usable,
                    roomy: list[Machine], claimed: set[MachineId],
                    unlocated: dict[Team, Size]) -> None:
        """Work that is long overdue makes way steadily: its first task goes before all else, and
        after that a part of what is started is its own. All of it first would make whatever
        comes meanwhile overdue in its turn."""
        aged = [w for w in waiting if self._overdue(w)]
        credit = self._credit.get(holding.number, 0.0) if aged else 0.0
        for work in sorted(aged, key=lambda w: (w.job.submitted, w.job.uid)):
            before = len(work.pending)
            first = 0 if self._begun(work) else 1
            most = max(first, int(credit))
            if most and before:
                fits = [m for m in roomy if work.job.size.fits(m.room)
                        and m.id not in claimed and self._permits(work.job, m)]
                self._fill(work, usable, fits, claimed, unlocated, False, most)
                credit -= max(0, before - len(work.pending) - first)
                if len(work.pending) == before and not first:
                    break
        self._credit[holding.number] = credit

    def _overdue(self, work: Work) -> bool:
        spec = work.job.spec
        return (not spec.service and not spec.gang and not work.mistaken
                and self.cx.now > work.job.submitted + AGED_S)

    def _begun(self, work: Work) -> bool:
        return bool(work.job.done_bits or work.finished or any(work.zones.values()))

    def needed(self, job: Job, count: int) -> int:
        """For how many of the waiting tasks to have machines: those without a deadline that end
        long before a machine has paid for itself follow each other on the same ones."""
        spec = job.spec
        if spec.service or spec.gang or spec.deadline_s or not spec.estimate_s:
            return count
        return min(count, math.ceil(count * spec.estimate_s / MACHINE_S))

    def _serve_last(self, work: Work, usable: Usable, roomy: list[Machine],
                    claimed: set[MachineId], unlocated: dict[Team, Size],
                    full: dict[tuple[Any, ...], list[Size]],
                    unmet: list[tuple[Job, int, tuple[str, ...]]]) -> None:
        missing = self._serve(work, usable, roomy, claimed, unlocated, full, True)
        if missing:
            closed = tuple(z for z in sorted(work.zones) if not self._zone_open(work, z))
            unmet.append((work.job, missing, closed))

    def _serve(self, work: Work, usable: Usable, roomy: list[Machine],
               claimed: set[MachineId], unlocated: dict[Team, Size],
               full: dict[tuple[Any, ...], list[Size]], last: bool) -> int:
        """Start what fits on the `roomy` machines; returns how many tasks found none. Only the
        `last` try may stop others."""
        if not work.pending:
            return 0
        spec, size = work.job.spec, work.job.size
        kind = (spec.spot, spec.types, spec.zone)
        if any(small.fits(size) for small in full.get(kind, ())):
            work.waits = "no machine with room"
            if last and not spec.gang:
                self._make_room(work, usable, claimed, len(work.pending))
            return len(work.pending)
        fits = [m for m in roomy if size.fits(m.room) and m.id not in claimed
                and self._permits(work.job, m)]
        if not fits:
            full.setdefault(kind, []).append(size)
            if not last:
                return len(work.pending)
        return self._fill(work, usable, fits, claimed, unlocated, last)

    def _plentiful(self, holding: Holding, waiting: list[Work], usable: Usable,
                   roomy: list[Machine]) -> frozenset[str]:
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
        if self.cx.now >= at + HELD_EVERY_S:
            held, cpus = {}, 0.0
            for machine in usable():
                assert machine.type is not None
                cpus += machine.type.cpus
                for image in (*self._fetching(machine), *machine.images):
                    held[image] = held.get(image, 0.0) + machine.type.cpus
            self._held[holding.number] = (self.cx.now, held, cpus)
        if not cpus:
            return frozenset()
        return frozenset(image for image, part in wanted.items()
                         if held.get(image, 0.0) / cpus >= min(PLENTY * part / total, 1.0))

    def _fetches_or_holds(self, image: str, machine: Machine) -> bool:
        return image in machine.images or image in self._fetching(machine)

    def _sample(self, machines: list[Machine], least: int = 0) -> list[Machine]:
        """All machines while a turn's budget lasts; then, as more is asked than a turn can
        weigh, a random sample."""
        most = max(self.cx.operators.sample, least)
        if self._weighed >= self.cx.operators.turn_budget and len(machines) > most:
            machines = self.cx.rng.sample(machines, most)
        self._weighed += len(machines)
        return machines

    def _urgency(self, work: Work) -> tuple[bool, int, int, float, str]:
        """Guarantees, rank, then the nearest deadline among those that can still be kept: a job
        that will be late anyway must not make the next one late too."""
        job = work.job
        spec = job.spec
        now = self.cx.now
        begun = self._begun(work)
        key = (not self.quota.guaranteed(job), spec.rank)
        if not begun and now > job.submitted + AGED_S and now >= work.aged_until:
            work.aged_until = Instant(now + AGED_S)
        if spec.service or spec.gang:
            if now < work.aged_until:
                return (False, -1, 0, job.submitted, job.uid)
            return (*key, 0, job.submitted, job.uid)
        if not spec.deadline_s:
            return (*key, 0, math.inf, job.uid)
        # Estimates are often wrong by half: what has begun may end sooner.
        left = spec.estimate_s * (0.5 if begun else 1.0)
        lasts = [times * spec.deadline_s for times in self._lateness.get(spec.lane, (1.0,))]
        lasts += self._finished_within.get(spec.lane, ())
        tier = sum(now + left > job.submitted + last for last in lasts)
        return (*key, tier, job.submitted + spec.deadline_s, job.uid)

    def _hidden(self, holding: Holding) -> list[Machine]:
        """One machine of each kind and place among those that may hold unknown tasks."""
        if holding.settled:
            return []
        kinds = {(m.record.type, m.record.zone, m.record.spot): m
                 for m in self.fleet.of_share(holding.number) if not m.settled}
        return list(kinds.values())

    def _may_hide(self, job: Job, holding: Holding, hidden: list[Machine]) -> bool:
        """May an earlier owner have started tasks of the job that aren't located yet? Only on
        machines where they are allowed and fit: the others need not be waited for."""
        return job.accepted <= holding.epoch and any(
            self._permits(job, m) and (m.type is None or job.size.fits(m.type.size))
            for m in hidden)

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
                count(job, job.spec.tasks - job.done_count - len(self.fleet.of_job(job.uid)))
        return {team: Size(*map(min, size, most)) for team, size in found.items()}

    def _permits(self, job: Job, machine: Machine) -> bool:
        spec = job.spec
        record = machine.record
        return (
            (spec.types is None or record.type in spec.types)
            and (spec.zone is None or record.zone == spec.zone)
            and (spec.spot or not record.spot)
        )

    def _zone_open(self, work: Work, zone: str, more: int = 0) -> bool:
        """`spread` and `together`, given the job's other tasks at this moment, and `more`."""
        spec = work.job.spec
        placed = work.zones.get(zone, 0) + more
        if spec.spread and placed >= (spec.tasks + 1) // 2:
            return False
        return not (spec.together and any(n for z, n in work.zones.items() if z != zone))

    def _score(self, job: Job, machine: Machine) -> float:
        assert machine.type is not None
        score = progress(machine.type.size, machine.used, job.size)
        # Extension: seconds until the image is there.
        score -= self.cx.operators.image_weight * self._fetch_s(job, machine)
        if self.cx.operators.gather_weight:
            score += self.cx.operators.gather_weight * self._company(job, machine)
        return score

    def _company(self, job: Job, machine: Machine) -> float:
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
        return lasting + 0.2 * machine.used.cpus / cpus - dear

    def _fill(self, work: Work, usable: Usable, fits: list[Machine],
              claimed: set[MachineId], unlocated: dict[Team, Size], last: bool,
              most: float = math.inf) -> int:
        """Start what fits, `most` tasks at the most; returns how many found no machine. `fits`
        are the machines that have room for one task at the least."""
        job = work.job
        size = job.size
        extra = unlocated.get(Team(job.spec.team), NOTHING)
        now = self.cx.now
        work.waits = ""
        if not self.quota.allows(job, extra):
            work.waits = "team limit"
            return 0
        held = self._room_with_image(work, usable, fits, claimed)
        pool = self._sample(fits, len(work.pending))
        scored = [(-self._score(job, m), n, m) for n, m in enumerate(pool)]
        holding = self.shares.mine.get(work.share)
        attempt = holding.next_attempt() if holding is not None else None
        if job.spec.gang:
            # Mates know each other by their common attempt, so a gang starts as a whole.
            if any(work.zones.values()):
                work.waits = "mates of an earlier attempt are still there"
                return 0
            if not self._gang_fits(work, scored, extra):
                work.waits = "no room for the whole gang"
                return len(work.pending)
        heapq.heapify(scored)
        end = len(work.pending) - most
        while len(work.pending) > max(held, end):
            if not self.quota.allows(job, extra):
                work.waits = "team limit"
                return 0
            task = TaskId(job.uid, next(reversed(work.pending)))
            aside = []
            while scored and not (self._zone_open(work, scored[0][2].record.zone)
                                  and not (task.number in work.tried
                                           and scored[0][2].holds(task))):
                entry = heapq.heappop(scored)
                if self._zone_open(work, entry[2].record.zone):
                    aside.append(entry)  # holds a former attempt of this task only
            if not scored:
                break
            _, n, machine = scored[0]
            if not job.spec.gang:
                attempt = machine.share.next_attempt()
            assert attempt is not None
            self.fleet.place(job, task.number, machine, attempt)
            self.cx.log("debug", f"{task} placed on {machine.id}, {now - job.submitted:.2f} s"
                                 " after its job")
            if size.fits(machine.room) and len(machine.placements) < MOST_LISTED:
                heapq.heapreplace(scored, (-self._score(job, machine), n, machine))
            else:
                heapq.heappop(scored)
            for entry in aside:
                heapq.heappush(scored, entry)
        missing = len(work.pending) - held
        if missing > 0:
            work.waits = "no machine with room"
            if last:
                self._make_room(work, usable, claimed, missing)
        return missing

    def _room_with_image(self, work: Work, usable: Usable, fits: list[Machine],
                         claimed: set[MachineId]) -> int:
        """Extension: replicas that are promised to start sooner than their image can be fetched
        take the room of lesser work on machines that hold it. For how many tasks room is being
        made: they wait the moment until it is there."""
        job = work.job
        within = self._within.get(job.spec.lane)
        if within is None or not job.spec.service or work.mistaken:
            return 0
        lacking = len(work.pending) - sum(fits_times(job.size, m.room) for m in fits
                                          if self._fetch_s(job, m) <= within)
        if lacking <= 0:
            return 0
        return self._make_room(work, usable, claimed, lacking, within)

    def _gang_fits(self, work: Work, scored: list[tuple[float, int, Machine]],
                   extra: Size) -> bool:
        """A gang starts only when all of its tasks that wait fit at once."""
        job = work.job
        n = len(work.pending)
        size = Size(job.size.cpus * (n - 1), job.size.memory * (n - 1), job.size.gpus * (n - 1))
        if not self.quota.allows(job, extra.plus(size)):
            return False
        zones: dict[str, int] = {}
        for _, _, machine in scored:
            zone = machine.record.zone
            if self._zone_open(work, zone):
                zones[zone] = zones.get(zone, 0) + fits_times(job.size, machine.room)
        if job.spec.spread:
            most = (job.spec.tasks + 1) // 2
            zones = {z: min(k, most - work.zones.get(z, 0)) for z, k in zones.items()}
        if not job.spec.together:
            return sum(zones.values()) >= n
        # All in one zone: only machines of a zone that has room for all of them count.
        fitting = {z for z, k in zones.items() if k >= n}
        scored[:] = [entry for entry in scored if entry[2].record.zone in fitting]
        return bool(fitting)

    def _make_room(self, work: Work, usable: Usable, claimed: set[MachineId],
                   missing: int, within: float = math.inf) -> int:
        """Stop lesser work where the waiting task then fits, and has its image `within`
        seconds; least work lost first. Returns for how many tasks.

        Only as many tasks are served by a guarantee as lie within it, and no team is brought
        below its own: else two teams would stop each other's tasks in turn.
        """
        job = work.job
        guaranteed = self.quota.guaranteed_count(job)
        if not self.quota.could_stop(job, guaranteed > 0):
            return 0
        spec = job.spec
        asks = (spec.rank, spec.spot, spec.types, spec.zone, spec.team if guaranteed > 0 else "",
                tuple(z for z in work.zones if not self._zone_open(work, z)),
                spec.image if within < math.inf else "")
        if any(size.fits(job.size) for size in self._hopeless.get(asks, ())):
            return 0
        stopping = self.quota.stopping
        made: dict[str, int] = {}  # by zone

        def cost(machine: Machine) -> tuple[float, list[Placement]] | None:
            zone = machine.record.zone
            if (not self._zone_open(work, zone, made.get(zone, 0))
                    or (within < math.inf and self._fetch_s(job, machine) > within)):
                return None
            victims = self._victims(job, machine, guaranteed > 0, stopping)
            if victims is None:
                return None
            lost = sum(self._loss(v, self.cx.now) for v in victims)
            return lost + (self._fetch_s(job, machine) if job.spec.service else 0.0), victims

        candidates: list[tuple[float, str, Machine]] = []
        pool = self._sample([m for m in usable() if m.id not in claimed
                             and self._permits(job, m)], 4 * missing)
        # What there is to stop is weighed task by task, and a machine may hold a hundred.
        self._weighed += sum(len(m.placements) for m in pool) // PLACEMENTS_WEIGH
        for machine in pool:
            found = cost(machine)
            if found is not None:
                candidates.append((found[0], machine.id, machine))
        if not candidates:
            self._hopeless.setdefault(asks, []).append(job.size)
        heapq.heapify(candidates)
        while missing > 0 and candidates:
            before, _, machine = heapq.heappop(candidates)
            # What was stopped since may have changed what may be stopped here.
            found = cost(machine)
            if found is None:
                continue
            if found[0] > before:
                heapq.heappush(candidates, (found[0], machine.id, machine))
                continue
            missing -= 1
            guaranteed -= 1
            made[machine.record.zone] = made.get(machine.record.zone, 0) + 1
            claimed.add(machine.id)
            for victim in found[1]:
                self.cx.log("info", f"{victim.task} stopped for {job.uid}")
                self.fleet.stop(victim, self._grace(victim))
        return sum(made.values())

    def _victims(self, job: Job, machine: Machine, guaranteed: bool,
                 stopping: dict[Team, Size]) -> list[Placement] | None:
        """What to stop on the machine so that one task of the job fits; None: it can't."""
        room = machine.room
        active = [p for p in machine.placements.values() if p.active]
        for placement in active:
            if placement.stopping:
                room = room.plus(placement.size)
        victims: list[Placement] = []
        more = dict(stopping)
        for placement in sorted((p for p in active if not p.stopping),
                                key=lambda p: self._loss(p, self.cx.now)):
            if job.size.fits(room):
                break
            if placement.job is None:
                continue
            team = Team(placement.job.spec.team)
            # Else what began at last, with least to lose, would be stopped at once, and started
            # and stopped again many times a second.
            work = self.work.get(placement.task.job)
            if work is not None and self.cx.now < work.aged_until:
                continue
            if placement.job.spec.rank <= job.spec.rank and (
                    self.cx.now < placement.since + YOUNG_S
                    or (work is not None and self._overdue(work))):
                continue
            if self.quota.may_stop(job, guaranteed, placement, more.get(team, NOTHING)):
                more[team] = more.get(team, NOTHING).plus(placement.size)
                victims.append(placement)
                room = room.plus(placement.size)
        return victims if job.size.fits(room) else None

    def _fetch_s(self, job: Job, machine: Machine) -> float:
        """Seconds until the machine holds the job's image: fetches under way share its rate."""
        image = job.spec.image
        if image in machine.images or machine.type is None:
            return 0.0
        fetching = self._fetching(machine)
        gb = sum(fetching.values())
        if image not in fetching:
            gb += job.spec.image_gb
        return gb / (machine.type.fetch_gb_per_s or 1.0)

    def _fetching(self, machine: Machine) -> dict[str, float]:
        """Images under way to the machine, and their size."""
        fetching = machine.fetches
        if fetching is None:
            fetching = machine.fetches = {}
            for placement in machine.placements.values():
                if placement.stage in ("sent", "fetching") and placement.job is not None:
                    other = placement.job.spec
                    if other.image not in machine.images:
                        fetching[other.image] = other.image_gb
        return fetching

    def _loss(self, placement: Placement, now: Instant) -> float:
        if placement.stage != "running" or placement.job is None:
            return 0.0
        ran = now - placement.ran_since
        if placement.job.spec.checkpoint_s > 0:
            return min(placement.job.spec.save_s, ran)
        return ran

    def _grace(self, placement: Placement) -> float:
        spec = placement.job.spec if placement.job else None
        return spec.save_s if spec and spec.checkpoint_s > 0 else 0.0

    def _moves_to(self, placement: Placement, target: Machine) -> bool:
        """Would the zones still be as the job asks, with this task there instead?"""
        work = self.work.get(placement.task.job)
        here = placement.machine.record.zone
        there = target.record.zone
        if work is None:
            return False
        return here == there or (self._zone_open(work, there) and not work.job.spec.together)

    def drain(self, share: ShareNo, number: int) -> None:
        """Empty the machines of the share that hold the fewest replicas: nothing new goes
        there, and once only replicas are left they move."""
        lasting = [m for m in self.fleet.of_share(share) if self.fleet.usable(m) and m.lasting > 0]
        lasting.sort(key=lambda m: (m.lasting, m.id))
        for machine in lasting[:min(number, len(lasting) - 1)]:
            machine.draining_until = Instant(self.cx.now + DRAIN_S)
            self._draining.append(machine)

    def vacate(self, share: ShareNo, rank: int, size: Size,
               serves: Callable[[Machine], bool]) -> Machine | None:
        """Stop all that runs on one machine, if all of it ranks lower; least work lost first.
        Nothing new goes there until it has changed its share."""
        now = self.cx.now
        best: tuple[float, str, Machine] | None = None
        for machine in self.fleet.of_share(share):
            active = [p for p in machine.placements.values() if p.active]
            if (not self.fleet.usable(machine) or not serves(machine) or machine.type is None
                    or not size.fits(machine.type.size)
                    or any(p.job is None or p.job.spec.rank <= rank for p in active)):
                continue
            lost = sum(self._loss(p, now) for p in active)
            if best is None or (lost, machine.id) < best[:2]:
                best = (lost, machine.id, machine)
        if best is None:
            return None
        machine = best[2]
        machine.draining_until = Instant(now + DRAIN_S)
        for placement in list(machine.placements.values()):
            self.fleet.stop(placement, self._grace(placement))
        return machine

    def soon_empty(self, share: ShareNo, serves: Callable[[Machine], bool]) -> list[Machine]:
        """Machines without replicas, those first that fall empty soonest as it seems, and idle
        for the least until then."""
        now = self.cx.now
        found: list[tuple[float, str, Machine]] = []
        for machine in self.fleet.of_share(share):
            if machine.lasting > 0 or not self.fleet.usable(machine) or not serves(machine):
                continue
            left = [max(0.0, p.job.spec.estimate_s - (now - p.ran_since if p.ran_since else 0.0))
                    for p in machine.placements.values() if p.active and p.job is not None]
            found.append((max(left, default=0.0) * max(len(left), 1), machine.id, machine))
        return [machine for _, _, machine in sorted(found, key=lambda f: f[:2])]

    def _move_away(self, machine: Machine) -> None:
        """Move the replicas if the others have room and hold their images: then a move takes
        a moment only, and the empty machine can be returned."""
        now = self.cx.now
        placements = list(machine.placements.values())
        if not all(p.job is not None and p.job.spec.service and p.stage == "running"
                   and not p.stopping and now - p.ran_since > SETTLED_S for p in placements):
            return
        machines = [m for m in self.fleet.of_share(machine.share.number)
                    if m is not machine and self.fleet.usable(m) and m.placements]
        rooms = {m.id: m.room for m in machines}
        for placement in placements:
            assert placement.job is not None
            target = next((m for m in machines
                           if placement.job.spec.image in m.images
                           and self._permits(placement.job, m)
                           and self._moves_to(placement, m)
                           and placement.size.fits(rooms[m.id])), None)
            if target is None:
                return
            rooms[target.id] = rooms[target.id].minus(placement.size)
        self.cx.log("info", f"machine {machine.id}: {len(placements)} replicas move away")
        self._draining.remove(machine)
        machine.draining_until = Instant(now + DRAIN_S)
        for placement in placements:
            self.fleet.stop(placement)

    def _leave(self, machine: Machine) -> None:
        """A machine under notice: what won't end in time and finds room elsewhere stops now,
        with time to save, rather than when the machine is taken."""
        now = self.cx.now
        left = (machine.notice_until or now) - now
        others = [m for m in self.fleet.of_share(machine.share.number) if self.fleet.usable(m)]
        rooms = {m.id: m.room for m in others}
        for placement in list(machine.placements.values()):
            job = placement.job
            if job is None or not placement.active or placement.stopping:
                continue
            if not job.spec.service and placement.stage == "running":
                remaining = job.spec.estimate_s - (now - placement.ran_since)
                if remaining < left:
                    continue
            target = next((m for m in others if self._permits(job, m)
                           and self._moves_to(placement, m)
                           and placement.size.fits(rooms[m.id])), None)
            saving = job.spec.checkpoint_s > 0 and left < job.spec.save_s + 2.0
            if target is None and not saving:
                continue
            if target is not None:
                rooms[target.id] = rooms[target.id].minus(placement.size)
            self.fleet.stop(placement, self._grace(placement))

    def tick(self) -> None:
        while self._ending:  # oldest first
            uid = next(iter(self._ending))
            if self.cx.now < self._ending[uid][1]:
                break
            del self._ending[uid]
        for machine in self.fleet.machines.values():
            if machine.notice_until is not None and self.shares.may_command(machine.share.number):
                self._leave(machine)
        for machine in list(self._draining):
            if (self.cx.now >= machine.draining_until
                    or self.fleet.machines.get(machine.id) is not machine):
                self._draining.remove(machine)
            elif self.shares.may_command(machine.share.number):
                self._move_away(machine)
