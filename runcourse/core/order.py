"""In what order waiting work is served."""

from __future__ import annotations

import math
from typing import Any

from .context import Context
from .ids import Instant
from .jobs import name_digest
from .quota import Quota
from .work import Work, begun

OVERDUE_AFTER_S = (
    120.0  # a job that waits longer is overdue, or smaller ones would pass it for ever
)


class QueueOrder:
    """Compares waiting jobs by guarantee, rank and the aims of their classes."""

    def __init__(self, context: Context, quota: Quota) -> None:
        self.context = context
        self.quota = quota
        self._deadline_factors: dict[str, tuple[float, ...]] = {}
        for aim in context.platform.settings.objectives:
            if aim.kind == "deadline" and aim.job_class is not None:
                times = {*self._deadline_factors.get(aim.job_class, ()), aim.times or 1.0}
                self._set(self._deadline_factors, aim.job_class, tuple(sorted(times)))
        self.wait_limits_s: dict[str, float] = {}
        for aim in context.platform.settings.objectives:
            if aim.kind == "wait" and aim.job_class is not None and aim.within_s is not None:
                self._set(self.wait_limits_s, aim.job_class, aim.within_s)
        self._finished_within: dict[str, list[float]] = {}
        for aim in context.platform.settings.objectives:
            if aim.kind == "finished" and aim.job_class is not None and aim.within_s is not None:
                limits = [*self._finished_within.get(aim.job_class, ()), aim.within_s]
                self._set(self._finished_within, aim.job_class, limits)

    @staticmethod
    def _set(of_class: dict[str, Any], name: str, value: Any) -> None:
        """Under the name, and under what stands for it in the record of a large submission."""
        of_class[name] = of_class[name_digest(name)] = value

    def urgency(self, work: Work) -> tuple[bool, int, int, float, str]:
        """Guarantees, rank, then the nearest deadline among those that can still be kept: a job
        that will be late anyway must not make the next one late too."""
        job = work.job
        spec = job.spec
        now = self.context.now
        started = begun(work)
        key = (not self.quota.within_guarantee(job), spec.rank)
        if not started and now > job.submitted + OVERDUE_AFTER_S and now >= work.prioritised_until:
            work.prioritised_until = Instant(now + OVERDUE_AFTER_S)
        if spec.service or spec.gang:
            if now < work.prioritised_until:
                return (False, -1, 0, job.submitted, job.uid)
            return (*key, 0, job.submitted, job.uid)
        if not spec.deadline_s:
            return (*key, 0, math.inf, job.uid)
        # Estimates are often wrong by half: what has begun may end sooner.
        left = spec.estimate_s * (0.5 if started else 1.0)
        lasts = [times * spec.deadline_s for times in self._deadline_factors.get(spec.lane, (1.0,))]
        lasts += self._finished_within.get(spec.lane, ())
        tier = sum(now + left > job.submitted + last for last in lasts)
        return (*key, tier, job.submitted + spec.deadline_s, job.uid)

    def overdue(self, work: Work) -> bool:
        """Has the array waited for so long that it has a part of its own of all starts?"""
        spec = work.job.spec
        return (
            not spec.service
            and not spec.gang
            and not work.fails_everywhere
            and self.context.now > work.job.submitted + OVERDUE_AFTER_S
        )
