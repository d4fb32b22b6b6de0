"""The placement score of the SlackVM paper (Algorithm 2), and sizes of tasks and machines.

The functions here are pure. Extensions of the score are in `scoring`.
"""

from __future__ import annotations

from typing import NamedTuple

MIN_CPUS = 1e-6  # a task that requests no CPUs counts as requesting this many
SIZE_TOLERANCE = 1e-9  # CPUs, gigabytes or GPUs; absorbs rounding in sums of sizes
UNLIMITED_COUNT = 1_000_000  # returned by `count_fitting` for a task of size zero


class Size(NamedTuple):
    """CPUs, memory in gigabytes, and GPUs of a task or machine."""

    cpus: float
    memory: float
    gpus: float = 0.0

    def fits(self, room: Size) -> bool:
        """Returns whether this size fits into the room."""
        slack = SIZE_TOLERANCE
        return (
            self.cpus <= room.cpus + slack
            and self.memory <= room.memory + slack
            and self.gpus <= room.gpus + slack
        )

    def plus(self, other: Size) -> Size:
        """Returns the sum of both sizes."""
        return Size(self.cpus + other.cpus, self.memory + other.memory, self.gpus + other.gpus)

    def minus(self, other: Size) -> Size:
        """Returns this size reduced by the other."""
        return Size(self.cpus - other.cpus, self.memory - other.memory, self.gpus - other.gpus)

    def times(self, count: int) -> Size:
        """Returns the size of `count` tasks of this size."""
        return Size(self.cpus * count, self.memory * count, self.gpus * count)


ZERO_SIZE = Size(0.0, 0.0, 0.0)


def progress_score(config: Size, allocated: Size, task: Size) -> float:
    """Returns by how much a task brings allocated memory per CPU nearer to that of the hardware.

    The unit is gigabytes per CPU; `config` is the machine's size. A positive score means nearer. A
    move away from it weighs more on a fuller machine, so that unbalancing tasks go where balance
    can still be restored.
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
    """Returns how many tasks of the size fit into the room."""
    counts = [
        int((have + SIZE_TOLERANCE) / need)
        for need, have in zip(task, room, strict=True)
        if need > 0
    ]
    return max(0, min(counts)) if counts else UNLIMITED_COUNT
