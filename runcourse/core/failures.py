"""Whose fault is it when a task fails: a machine's, its job's own mistake, or chance?"""

from __future__ import annotations

from collections.abc import Callable

from .context import Context
from .ids import LONG_AGO, Instant
from .machine import Placement
from .machines import Fleet
from .work import Work

FAILING_MACHINES = 3  # machines on which a job failed, and nothing of it went well: its own mistake
FAILING_TRIES = 6  # or failures where there are fewer machines
PROBE_FIRST_S = 2.0  # until one task of such a job is tried again; twice as long each time
PROBE_MOST_S = 60.0
FAULTY_AT = 2  # jobs without a mistake that failed on a machine: its fault
FAULTY_S = 120.0  # within which, and for which it is set aside
FAILS_EVERYWHERE_REASON = "fails wherever it starts"
PAUSE_S = 5.0  # a machine's after a first failure


class Failures:
    """Counts failures by machine and job, sets machines aside, and puts jobs off."""

    def __init__(self, context: Context, fleet: Fleet, changed: Callable[[], None]) -> None:
        self.context = context
        self.fleet = fleet
        self._changed = changed

    def record_failure(self, work: Work, placement: Placement) -> None:
        """A machine on which tasks of several jobs fail is set aside; a job that fails on
        several machines, and does well on none, fails everywhere, which is no machine's fault."""
        now = self.context.now
        machine, uid = placement.machine, work.job.uid
        work.errors[machine.id] = work.errors.get(machine.id, 0) + 1
        work.max_time_to_failure_s = max(
            work.max_time_to_failure_s, now - (placement.ran_since or placement.since)
        )
        if work.fails_everywhere:
            # Tasks that were under way when it was found are no tries of their own.
            if now >= work.not_before:
                self._put_off(work)
            return
        again = now - machine.errors.get(uid, LONG_AGO) < FAULTY_S and self._does_well(work)
        machine.errors[uid] = now
        if self._fails_everywhere(work):
            self._found_failing(work)
            return
        recent = [uid for uid, at in machine.errors.items() if now - at < FAULTY_S]
        if len(recent) >= FAULTY_AT or again:
            machine.quarantined_until = Instant(now + FAULTY_S)
            self.context.log(
                "warning", f"machine {machine.id}: tasks of {len(recent)} jobs failed, set aside"
            )
        elif len(work.errors) == 1:  # on a second machine it is rather the job's own mistake
            machine.quarantined_until = max(machine.quarantined_until, Instant(now + PAUSE_S))

    def _fails_everywhere(self, work: Work) -> bool:
        """One task that fails by chance, or on one faulty machine, is no mistake of its job: it
        fails on several, or also where others do well, and nothing of it goes well anywhere."""
        if self._does_well(work):
            return False
        if len(work.errors) >= FAILING_MACHINES:
            return True
        machines = self.fleet.machines
        well = sum(
            id in machines and self.context.now - machines[id].last_success_at < FAULTY_S
            for id in work.errors
        )
        return well >= 2 or (
            sum(work.errors.values()) >= FAILING_TRIES and (len(work.errors) >= 2 or well >= 1)
        )

    def _does_well(self, work: Work) -> bool:
        return bool(work.job.done_count or work.unstored_done_bits) or self.runs_past_failures(work)

    def runs_past_failures(self, work: Work) -> bool:
        """Has a task of the job run for longer than those that failed?"""
        enough = 1.5 * work.max_time_to_failure_s + 1.0
        return any(
            p.stage == "running" and self.context.now - p.ran_since > enough
            for p in self.fleet.placements.of_job(work.job.uid)
        )

    def _found_failing(self, work: Work) -> None:
        """With many such jobs about, each machine has run some: none is set aside for them."""
        now = self.context.now
        uid = work.job.uid
        work.fails_everywhere = True
        self.context.log(
            "warning",
            f"job {uid}: failed on {len(work.errors)} machines, tried again one task at a time",
        )
        self._put_off(work)
        for id in work.errors:
            machine = self.fleet.machines.get(id)
            if machine is not None and machine.errors.pop(uid, None) is not None:
                recent = [at for at in machine.errors.values() if now - at < FAULTY_S]
                if len(recent) < FAULTY_AT:
                    machine.quarantined_until = now
        # What has not begun yet would fetch its image for nothing.
        for placement in self.fleet.placements.of_job(uid):
            if placement.stage in ("sent", "fetching"):
                self.fleet.placements.stop(placement)

    def _put_off(self, work: Work) -> None:
        pause = min(PROBE_MOST_S, PROBE_FIRST_S * 2 ** min(work.probe_count, 8))
        work.not_before = Instant(self.context.now + pause)
        work.probe_count += 1

    def note_success(self, work: Work) -> None:
        """Something of it goes well, so what failed was chance, or the machines' fault."""
        if work.fails_everywhere:
            self.context.log("info", f"job {work.job.uid}: goes well after all")
            work.fails_everywhere = False
            work.not_before = LONG_AGO
            self._changed()
        work.errors.clear()
        work.max_time_to_failure_s = 0.0
