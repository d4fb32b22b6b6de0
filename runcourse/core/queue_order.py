"""The order in which waiting jobs are served."""

from __future__ import annotations

import math
from typing import Any

from .context import Context
from .ids import Instant
from .jobs import name_digest
from .quota import Quota
from .work import Work, has_begun

# Seconds after submission from which a job is overdue: otherwise smaller jobs could overtake it
# forever. An overdue service or gang is then served first for as long again.
OVERDUE_AFTER_S = 120.0
OVERDUE_RANK = -1  # sorts before every rank
# Fraction of its estimate that a job that has begun is assumed to still need: estimates are often
# wrong by half, and part of the job may be done.
BEGUN_ESTIMATE_FACTOR = 0.5
DEFAULT_DEADLINE_FACTOR = 1.0  # where an objective states no multiple of the deadline


class QueueOrder:
    """Orders waiting jobs by guarantee, rank and the objectives of their classes."""

    def __init__(self, context: Context, quota: Quota) -> None:
        self.context = context
        self.quota = quota
        # By job class: multiples of the deadline, and seconds to start or to finish within.
        self._deadline_factors: dict[str, tuple[float, ...]] = {}
        for objective in context.platform.settings.objectives:
            if objective.kind == "deadline" and objective.job_class is not None:
                factors = {
                    *self._deadline_factors.get(objective.job_class, ()),
                    objective.times or DEFAULT_DEADLINE_FACTOR,
                }
                self._set(self._deadline_factors, objective.job_class, tuple(sorted(factors)))
        self.wait_limits_s: dict[str, float] = {}
        for objective in context.platform.settings.objectives:
            if (
                objective.kind == "wait"
                and objective.job_class is not None
                and objective.within_s is not None
            ):
                self._set(self.wait_limits_s, objective.job_class, objective.within_s)
        self._finish_limits_s: dict[str, list[float]] = {}
        for objective in context.platform.settings.objectives:
            if (
                objective.kind == "finished"
                and objective.job_class is not None
                and objective.within_s is not None
            ):
                limits_s = [*self._finish_limits_s.get(objective.job_class, ()), objective.within_s]
                self._set(self._finish_limits_s, objective.job_class, limits_s)

    @staticmethod
    def _set(by_class: dict[str, Any], job_class: str, value: Any) -> None:
        """Sets the value for the class name and for its short form in stored large submissions."""
        by_class[job_class] = by_class[name_digest(job_class)] = value

    def urgency(self, work: Work) -> tuple[bool, int, int, float, str]:
        """Returns the sort key of the work; the least is served first.

        Work within its team's guarantee comes first, then the smaller rank number (the
        higher priority), then the job that will miss the fewest of its time limits, then the
        nearest deadline: a job that will be late anyway must not make the next one late too.
        Overdue services and gangs come before all others.
        """
        job = work.job
        spec = job.spec
        now = self.context.now
        begun = has_begun(work)
        key = (not self.quota.within_guarantee(job), spec.rank)
        if not begun and now > job.submitted + OVERDUE_AFTER_S and now >= work.prioritised_until:
            work.prioritised_until = Instant(now + OVERDUE_AFTER_S)
        if spec.service or spec.gang:
            if now < work.prioritised_until:
                return (False, OVERDUE_RANK, 0, job.submitted, job.uid)
            return (*key, 0, job.submitted, job.uid)
        if not spec.deadline_s:
            return (*key, 0, math.inf, job.uid)
        remaining_s = spec.estimate_s * (BEGUN_ESTIMATE_FACTOR if begun else 1.0)
        limits_s = [
            factor * spec.deadline_s
            for factor in self._deadline_factors.get(spec.lane, (DEFAULT_DEADLINE_FACTOR,))
        ]
        limits_s += self._finish_limits_s.get(spec.lane, ())
        missed = sum(now + remaining_s > job.submitted + limit_s for limit_s in limits_s)
        return (*key, missed, job.submitted + spec.deadline_s, job.uid)

    def overdue(self, work: Work) -> bool:
        """Returns whether the job is an array submitted more than OVERDUE_AFTER_S ago.

        Arrays that fail on every machine are never overdue.
        """
        spec = work.job.spec
        return (
            not spec.service
            and not spec.gang
            and not work.fails_everywhere
            and self.context.now > work.job.submitted + OVERDUE_AFTER_S
        )
