"""The score of the SlackVM paper (Algorithm 2) and its documented extensions. Pure."""

from __future__ import annotations

from typing import NamedTuple

MIN_CPUS = 1e-6  # a task that asks for no CPU counts as asking for this much


class Size(NamedTuple):
    """CPUs, memory and GPUs of a task or machine."""

    cpus: float
    memory: float
    gpus: float = 0.0

    def fits(self, room: Size) -> bool:
        """Is there room for it?"""
        slack = 1e-9
        return (
            self.cpus <= room.cpus + slack
            and self.memory <= room.memory + slack
            and self.gpus <= room.gpus + slack
        )

    def plus(self, other: Size) -> Size:
        """The sum of both."""
        return Size(self.cpus + other.cpus, self.memory + other.memory, self.gpus + other.gpus)

    def minus(self, other: Size) -> Size:
        """What is left without the other."""
        return Size(self.cpus - other.cpus, self.memory - other.memory, self.gpus - other.gpus)

    def times(self, count: int) -> Size:
        """What so many tasks of this size take."""
        return Size(self.cpus * count, self.memory * count, self.gpus * count)


ZERO_SIZE = Size(0.0, 0.0, 0.0)


def progress_score(config: Size, allocated: Size, task: Size) -> float:
    """Progress of a machine's memory-per-CPU allocation towards its hardware ratio.

    Positive: the task brings the ratio nearer. A move away from it weighs more the
    fuller the machine, so that unbalancing tasks go where balance can still be restored.
    """
    target = config.memory / max(config.cpus, MIN_CPUS)
    cpus = max(task.cpus, MIN_CPUS)
    if allocated.cpus > 0:
        current = allocated.memory / allocated.cpus
        following = (allocated.memory + task.memory) / (allocated.cpus + cpus)
    else:
        current = target
        following = task.memory / cpus
    gain = abs(current - target) - abs(following - target)
    if gain < 0:
        gain *= 1.0 + allocated.cpus / max(config.cpus, MIN_CPUS)
    return gain


def count_fitting(task: Size, room: Size) -> int:
    """How many such tasks fit into the room."""
    counts = [int((have + 1e-9) / need) for need, have in zip(task, room, strict=True) if need > 0]
    return max(0, min(counts)) if counts else 1_000_000
