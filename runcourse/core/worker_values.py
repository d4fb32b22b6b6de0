"""Reports of and orders to workers, independent of their encoding and transport."""

from __future__ import annotations

from typing import NamedTuple

from .ids import Attempt, MachineId, Session, TaskId, Token


class TaskReport(NamedTuple):
    """A worker's report of one task."""

    task: TaskId
    attempt: Attempt
    stage: str  # fetching, waiting (for its gang), running, saving, ended
    cause: str = ""  # when ended: done, stopped, error, full, busy, unknown, mates, incomplete
    saved: bool = False


class Report(NamedTuple):
    """A worker's report of itself and its tasks."""

    machine: MachineId
    addr: str
    type: str
    zone: str
    spot: bool
    session: Session
    seq: int
    token: Token
    notice_s: float | None
    tasks: tuple[TaskReport, ...]


class Order(NamedTuple):
    """An order to a worker for one task."""

    op: str  # start, stop, forget
    task: TaskId
    attempt: Attempt
    grace_s: float = 0.0
