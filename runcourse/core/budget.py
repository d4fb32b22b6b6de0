"""What a turn may weigh before it looks at samples of machines instead of all."""

from __future__ import annotations

from .context import Context
from .machine import Machine

WEIGHED_PER_S = 50_000.0  # machines weighed in a turn put the next one off by as much
PLACEMENTS_WEIGH = 4  # tasks that might be stopped, weighed in the time of a machine


class TurnBudget:
    """Counts what a turn weighs."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self._weighed = 0

    def begin(self) -> None:
        """A turn begins."""
        self._weighed = 0

    def cost_s(self) -> float:
        """Seconds by which the turn's work puts off the next one."""
        return self._weighed / WEIGHED_PER_S

    def sample(self, machines: list[Machine], least: int = 0) -> list[Machine]:
        """All machines while a turn's budget lasts; then, as more is asked than a turn can
        weigh, a random sample. Never more than the budget, however many there are."""
        most = max(self.context.operators.turn_budget, least)
        if self._weighed >= self.context.operators.turn_budget:
            most = max(self.context.operators.sample, least)
        if len(machines) > most:
            machines = self.context.rng.sample(machines, most)
        self._weighed += len(machines)
        return machines

    def charge_tasks(self, machines: list[Machine]) -> None:
        """What there is to stop is weighed task by task, and a machine may hold a hundred."""
        self._weighed += sum(len(m.placements) for m in machines) // PLACEMENTS_WEIGH
