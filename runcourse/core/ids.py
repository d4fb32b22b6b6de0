"""Ids, versions and times as small types of their own."""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
MachineId = NewType("MachineId", str)
Member = NewType("Member", str)
Incarnation = NewType("Incarnation", str)
Team = NewType("Team", str)

ShareNo = NewType("ShareNo", int)
Stamp = NewType("Stamp", int)  # revision of a key's latest change; 0: the key does not exist
Token = NewType("Token", int)  # fencing token towards one worker
Attempt = NewType("Attempt", int)
Session = NewType("Session", int)

Instant = NewType("Instant", float)  # seconds on this process's steady clock

COUNTER_BITS = 20
ABSENT = Stamp(0)
NO_TOKEN = Token(0)
START = Instant(0.0)
LONG_AGO = Instant(-1e9)
FAR_FUTURE = Instant(1e18)


class TaskId(NamedTuple):
    """Task 3 of job j-000412 is written j-000412/3."""

    job: JobId
    number: int

    def __str__(self) -> str:
        return f"{self.job}/{self.number}"


@lru_cache(maxsize=16384)  # each report lists what the one before did, mostly
def parse_task(text: str) -> TaskId:
    """The id that a text stands for; raises ValueError."""
    job, _, index = text.rpartition("/")
    if not job or not index.isdigit():
        raise ValueError(f"not a task id: {text!r}")
    return TaskId(JobId(job), int(index))


def make_token(epoch: Stamp, counter: int) -> Token:
    """A later epoch outranks an earlier one, see `highest_epoch`."""
    return Token((epoch << COUNTER_BITS) + counter)


def make_attempt(epoch: Stamp, counter: int) -> Attempt:
    """Unique and rising with nothing stored: the epoch comes from the state service."""
    return Attempt((epoch << COUNTER_BITS) + counter)


def highest_epoch(epoch: Stamp, counter: int) -> Stamp:
    """The epoch that a counter reaches into. A counter beyond its bits is carried into the
    epoch; numbers stay unique and ordered as long as this is a revision that exists already,
    since whoever owns the share or machine next gets a later one."""
    return Stamp(epoch + (counter >> COUNTER_BITS))


def creation_order(machine: MachineId) -> tuple[int, str]:
    """Sorts machines by age. Names are numbered, and one digit more is a later name."""
    return len(machine), machine


def later(at: Instant, seconds: float) -> Instant:
    """The instant some seconds later."""
    return Instant(at + seconds)
