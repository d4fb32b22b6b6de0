"""Limits how many machines a scheduling turn evaluates (scores, or searches for preemption)."""

from __future__ import annotations

from .context import Context
from .machine import Machine

EVALUATIONS_PER_S = 50_000.0  # each evaluation delays the next turn by 1 / this, in seconds
TASKS_PER_EVALUATION = 4  # preemption candidates that cost as much as evaluating one machine


class TurnBudget:
    """Counts the machines evaluated in a pass over all owned shares; limits them by sampling."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self._evaluated = 0

    def begin_turn(self) -> None:
        """Resets the count before the pass over the owned shares."""
        self._evaluated = 0

    def cost_s(self) -> float:
        """Returns the seconds by which the turn's evaluations delay the next turn."""
        return self._evaluated / EVALUATIONS_PER_S

    def sample(self, machines: list[Machine], least: int = 0) -> list[Machine]:
        """Returns the machines to evaluate: all of them, or a random sample.

        A sample has at most `turn_budget` machines, or `sample` machines once the turn has used up
        its budget, but at least `least` of them if there are as many.
        """
        max_machines = max(self.context.operators.turn_budget, least)
        if self._evaluated >= self.context.operators.turn_budget:
            max_machines = max(self.context.operators.sample, least)
        if len(machines) > max_machines:
            machines = self.context.rng.sample(machines, max_machines)
        self._evaluated += len(machines)
        return machines

    def charge_tasks(self, machines: list[Machine]) -> None:
        """Adds the cost of evaluating each task on the machines for preemption.

        Preemption evaluates task by task, and a machine may hold a hundred of them.
        """
        self._evaluated += sum(len(m.placements) for m in machines) // TASKS_PER_EVALUATION
