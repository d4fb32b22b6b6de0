"""The score of a machine for a task: the SlackVM paper's progress score and extensions of it."""

from __future__ import annotations

from .context import Context
from .jobs import Job
from .machine import Machine
from .placement import MIN_CPUS, Size, progress_score
from .placement_policy import NoPolicy, PlacementPolicy
from .work import fetch_s

# Fraction of the CPUs of a share's replicas up to which a machine may gather them, within the
# limits MIN_REPLICA_FILL and MAX_REPLICA_FILL.
MAX_REPLICA_CONCENTRATION = 0.1
MIN_REPLICA_FILL = 0.5  # fraction of a machine that replicas may always fill
MAX_REPLICA_FILL = 0.9  # fraction of a machine that replicas may fill in any share
FILL_WEIGHT = 0.2  # score weight of all allocated CPUs, relative to the CPUs of replicas
ON_DEMAND_PENALTY = 0.3  # for arrays and gangs, on a machine neither spot nor with replicas


class Scoring:
    """Scores machines for tasks; a higher score is better."""

    def __init__(self, context: Context, policy: PlacementPolicy | None = None) -> None:
        self.context = context
        self.policy = policy or NoPolicy()
        self._service_cpus = 0.0  # CPUs of services in the share that the current turn serves

    def begin_turn(self, service_cpus: float) -> None:
        """Begins a turn over a share whose services hold `service_cpus` CPUs."""
        self._service_cpus = service_cpus

    def score(self, job: Job, machine: Machine, used: Size | None = None) -> float:
        """Returns the score of the machine for one task of the job.

        `used` replaces the recorded allocation of the machine while a set of tasks is planned.
        """
        assert machine.type is not None
        used = machine.used if used is None else used
        score = progress_score(machine.type.size, used, job.size)
        # Extension of the SlackVM paper: seconds until the machine holds the image.
        score -= self.context.operators.image_weight * fetch_s(job, machine)
        if self.policy.active:
            # Extension of the SlackVM paper: seconds of delay by data transfer and slowdown.
            cost_s = self.policy.cost_s(job.spec, machine, self.context.now)
            score -= self.context.operators.image_weight * cost_s
        if self.context.operators.gather_weight:
            score += self.context.operators.gather_weight * self._consolidation(job, machine, used)
        return score

    def _consolidation(self, job: Job, machine: Machine, used: Size) -> float:
        """Returns the consolidation part of the score, an extension of the paper.

        Replicas gather on few machines and other work fills those first, so that the remaining
        machines fall empty and can be returned. The progress score alone scatters tasks
        whose memory-per-CPU ratios deviate in the same direction, since it favours the emptier
        machine. Replicas gather only up to a fraction of a machine, since its loss takes all of
        them at once: up to half of it where the share has few replicas, and further where the
        machine holds a small fraction of the share's.
        """
        assert machine.type is not None
        cpus = max(machine.type.cpus, MIN_CPUS)
        fill = machine.service_cpus / cpus
        max_fill = max(
            MIN_REPLICA_FILL,
            min(MAX_REPLICA_FILL, MAX_REPLICA_CONCENTRATION * self._service_cpus / cpus),
        )
        if job.spec.service and fill >= max_fill:
            fill = max_fill - fill
        # Arrays and gangs use on-demand machines only where those are kept for replicas anyway.
        penalty = (
            0.0
            if machine.record.spot or machine.service_cpus > 0 or job.spec.service
            else ON_DEMAND_PENALTY
        )
        return fill + FILL_WEIGHT * used.cpus / cpus - penalty
