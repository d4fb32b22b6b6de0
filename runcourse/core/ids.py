"""Types of ids, revisions and instants."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
Member = NewType("Member", str)
Incarnation = NewType("Incarnation", str)  # random id of a process; new after a lost lease
Team = NewType("Team", str)

ShareNo = NewType("ShareNo", int)
Stamp = NewType("Stamp", int)  # revision of a key's latest change; 0: the key does not exist
Token = NewType("Token", int)  # fencing token of the commands to one worker
Attempt = NewType("Attempt", int)  # number of one start of a task
Session = NewType("Session", int)  # a worker's number; raised when its lease has expired

Instant = NewType("Instant", float)  # seconds on this process's steady clock

COUNTER_BITS = 20  # low bits of a token or attempt number; above: the epoch, a revision
PARSED_TASKS_CACHED = 16384
ABSENT = Stamp(0)
NO_TOKEN = Token(0)
START = Instant(0.0)
LONG_AGO = Instant(-1e9)
FAR_FUTURE = Instant(1e18)


class TaskId(NamedTuple):
    """The id of a task. Task 3 of job j-000412 is written j-000412/3."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


@lru_cache(maxsize=PARSED_TASKS_CACHED)  # consecutive reports list mostly the same tasks
def parse_task(text: str) -> TaskId:
    """Returns the task id in a text; raises ValueError if it is none."""
    job, _, index = text.rpartition("/")
    if not job or not index.isdigit():
        raise ValueError(f"not a task id: {text!r}")
    return TaskId(JobId(job), int(index))


def make_token(epoch: Stamp, counter: int) -> Token:
    """Returns a token. Tokens of a later epoch are higher, see `highest_epoch`."""
    return Token((epoch << COUNTER_BITS) + counter)


def make_attempt(epoch: Stamp, counter: int) -> Attempt:
    """Returns an attempt number, unique and rising because its epoch is a stored revision.

    No counter needs to be stored.
    """
    return Attempt((epoch << COUNTER_BITS) + counter)


def highest_epoch(epoch: Stamp, counter: int) -> Stamp:
    """Returns the epoch of a number after the carry of its counter.

    A counter that exceeds its bits is carried into the epoch. Numbers stay unique and ordered as
    long as the result is a revision that exists already, because the next owner of the share or
    machine gets a later one.
    """
    return Stamp(epoch + (counter >> COUNTER_BITS))


def creation_order(machine: MachineId) -> tuple[int, str]:
    """Returns a sort key by age. Names are numbered, and a longer name is a later one."""
    return len(machine), machine


def later(at: Instant, seconds: float) -> Instant:
    """Returns the instant `seconds` after `at`."""
    return Instant(at + seconds)
