"""Attribution of task failures to a faulty machine, a faulty job, or chance."""

from __future__ import annotations

from collections.abc import Callable

from .context import Context
from .ids import LONG_AGO, Instant
from .machine import Placement
from .machines import Fleet
from .work import Work

# A job without any success is at fault itself if it failed on FAILING_MACHINES, or on
# FAILING_HEALTHY_MACHINES where tasks succeeded recently. After FAILING_ATTEMPTS failures,
# FAILING_FEW_MACHINES or one such healthy machine suffice, because there may be no more machines.
FAILING_MACHINES = 3
FAILING_HEALTHY_MACHINES = 2
FAILING_ATTEMPTS = 6
FAILING_FEW_MACHINES = 2
FIRST_RETRY_DELAY_S = 2.0  # before one task of a faulty job is retried; doubles each time
MAX_RETRY_DELAY_S = 60.0
MAX_RETRY_DOUBLINGS = 8
FAULTY_MACHINE_JOBS = 2  # a machine is faulty if so many jobs, not at fault, failed on it
# Time in which failures of jobs that are not at fault count against a machine, and for which a
# faulty machine is quarantined.
FAULT_PERIOD_S = 120.0
FAILS_EVERYWHERE_REASON = "fails wherever it starts"
FIRST_FAILURE_PAUSE_S = 5.0  # a machine gets no new tasks for so long after a job first failed
# A task that runs for longer than this factor times the longest time to a failure of its job, and
# a margin, counts as a success.
RUN_PAST_FACTOR = 1.5
RUN_PAST_MARGIN_S = 1.0


class Failures:
    """Counts failures by machine and job, quarantines machines and delays retries of jobs."""

    def __init__(self, context: Context, fleet: Fleet, changed: Callable[[], None]) -> None:
        self.context = context
        self.fleet = fleet
        self._changed = changed

    def record_failure(self, work: Work, placement: Placement) -> None:
        """Records the failure of an attempt, and quarantines its machine or delays its job.

        A machine on which tasks of several jobs fail, or repeatedly those of a job that succeeds
        elsewhere, is quarantined; after the first failure of a job it pauses. A job that fails on
        several machines and succeeds on none fails everywhere, which is no machine's fault.
        """
        now = self.context.now
        machine, uid = placement.machine, work.job.uid
        work.failure_counts[machine.id] = work.failure_counts.get(machine.id, 0) + 1
        work.max_time_to_failure_s = max(
            work.max_time_to_failure_s, now - (placement.ran_since or placement.since)
        )
        if work.fails_everywhere:
            # Tasks that already ran when the job was found faulty don't count as retries.
            if now >= work.not_before:
                self._delay_retry(work)
            return
        repeated = now - machine.last_failures.get(
            uid, LONG_AGO
        ) < FAULT_PERIOD_S and self._has_success(work)
        machine.last_failures[uid] = now
        if self._fails_everywhere(work):
            self._mark_failing(work)
            return
        recent = [
            uid
            for uid, failed_at in machine.last_failures.items()
            if now - failed_at < FAULT_PERIOD_S
        ]
        if len(recent) >= FAULTY_MACHINE_JOBS or repeated:
            machine.quarantined_until = Instant(now + FAULT_PERIOD_S)
            self.context.log(
                "warning", f"machine {machine.id}: tasks of {len(recent)} jobs failed, set aside"
            )
        elif (
            len(work.failure_counts) == 1
        ):  # on a second machine the job itself is more likely at fault
            machine.quarantined_until = max(
                machine.quarantined_until, Instant(now + FIRST_FAILURE_PAUSE_S)
            )

    def _fails_everywhere(self, work: Work) -> bool:
        """Returns whether the job itself is at fault.

        A task that fails by chance or on one faulty machine doesn't prove that. Its tasks must
        fail on several machines, or also where those of other jobs succeed, and none may succeed.
        """
        if self._has_success(work):
            return False
        if len(work.failure_counts) >= FAILING_MACHINES:
            return True
        machines = self.fleet.machines
        healthy = sum(
            id in machines and self.context.now - machines[id].last_success_at < FAULT_PERIOD_S
            for id in work.failure_counts
        )
        return healthy >= FAILING_HEALTHY_MACHINES or (
            sum(work.failure_counts.values()) >= FAILING_ATTEMPTS
            and (len(work.failure_counts) >= FAILING_FEW_MACHINES or healthy >= 1)
        )

    def _has_success(self, work: Work) -> bool:
        return bool(work.job.done_count or work.unstored_done_bits) or self.runs_past_failures(work)

    def runs_past_failures(self, work: Work) -> bool:
        """Returns whether a task of the job has run for longer than those that failed."""
        min_run_s = RUN_PAST_FACTOR * work.max_time_to_failure_s + RUN_PAST_MARGIN_S
        return any(
            placement.stage == "running" and self.context.now - placement.ran_since > min_run_s
            for placement in self.fleet.placements.of_job(work.job.uid)
        )

    def _mark_failing(self, work: Work) -> None:
        """Marks the job as failing everywhere and withdraws its failures from its machines.

        Where many such jobs are submitted, every machine has run some of them, and none may be
        quarantined for that.
        """
        now = self.context.now
        uid = work.job.uid
        work.fails_everywhere = True
        self.context.log(
            "warning",
            f"job {uid}: failed on {len(work.failure_counts)} machines,"
            " tried again one task at a time",
        )
        self._delay_retry(work)
        for id in work.failure_counts:
            machine = self.fleet.machines.get(id)
            if machine is not None and machine.last_failures.pop(uid, None) is not None:
                recent = [
                    failed_at
                    for failed_at in machine.last_failures.values()
                    if now - failed_at < FAULT_PERIOD_S
                ]
                if len(recent) < FAULTY_MACHINE_JOBS:
                    machine.quarantined_until = now
        # Tasks that have not started yet would fetch their image for nothing.
        for placement in self.fleet.placements.of_job(uid):
            if placement.stage in ("sent", "fetching"):
                self.fleet.placements.stop(placement)

    def _delay_retry(self, work: Work) -> None:
        delay_s = min(
            MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** min(work.probe_count, MAX_RETRY_DOUBLINGS)
        )
        work.not_before = Instant(self.context.now + delay_s)
        work.probe_count += 1

    def note_success(self, work: Work) -> None:
        """Clears the job's failures: since a task succeeds, chance or machines caused them."""
        if work.fails_everywhere:
            self.context.log("info", f"job {work.job.uid}: goes well after all")
            work.fails_everywhere = False
            work.not_before = LONG_AGO
            self._changed()
        work.failure_counts.clear()
        work.max_time_to_failure_s = 0.0
