"""The score of a machine for a task: the paper's progress and the documented extensions."""

from __future__ import annotations

from .context import Context
from .jobs import Job
from .machine import Machine
from .placement import MIN_CPUS, Size, progress_score
from .policy import NoPolicy, PlacementPolicy
from .work import fetch_s

AT_RISK = 0.1  # part of a share's replicas, by CPUs, that may gather on one machine
FEW_LASTING = 0.5  # part of a machine that replicas may fill where a share has few
MOST_LASTING = 0.9
FILL_WEIGHT = 0.2  # of what is allocated, beside what lasts
DEAR_PENALTY = 0.3  # of an ordinary machine for work that may use cheap ones


class Scoring:
    """Scores machines; higher is better."""

    def __init__(self, context: Context, policy: PlacementPolicy | None = None) -> None:
        self.context = context
        self.policy = policy or NoPolicy()
        self._lasting = 0.0  # CPUs of services in the share whose turn it is

    def begin(self, lasting_cpus: float) -> None:
        """A turn begins over a share whose services take so many CPUs."""
        self._lasting = lasting_cpus

    def score(self, job: Job, machine: Machine, used: Size | None = None) -> float:
        """`used`: its allocations if not those of the ledger, while a set is put together."""
        assert machine.type is not None
        used = machine.used if used is None else used
        score = progress_score(machine.type.size, used, job.size)
        # Extension: seconds until the image is there.
        score -= self.context.operators.image_weight * fetch_s(job, machine)
        if self.policy.active:
            # Extension: seconds until the data is there, or lost by load.
            cost_s = self.policy.cost_s(job.spec, machine, self.context.now)
            score -= self.context.operators.image_weight * cost_s
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
        cpus = max(machine.type.cpus, MIN_CPUS)
        lasting = machine.lasting / cpus
        most = max(FEW_LASTING, min(MOST_LASTING, AT_RISK * self._lasting / cpus))
        if job.spec.service and lasting >= most:
            lasting = most - lasting
        # What may use cheap machines fills the dear ones only where they stay anyway.
        dear = (
            0.0 if machine.record.spot or machine.lasting > 0 or job.spec.service else DEAR_PENALTY
        )
        return lasting + FILL_WEIGHT * used.cpus / cpus - dear
