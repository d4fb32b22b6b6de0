"""One machine as its share's owner knows it, its record in the store, and what is placed on it."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any, NamedTuple, Protocol

from .ids import (
    LONG_AGO,
    Attempt,
    Instant,
    JobId,
    MachineId,
    Session,
    ShareNo,
    Stamp,
    TaskId,
    Token,
    make_token,
)
from .jobs import Job
from .placement import ZERO_SIZE, Size
from .shares import Holding
from .stored_values import MachineValue
from .types import MachineType

Key = tuple[TaskId, Attempt]
RUNNING_STAGES = ("running", "saving")
STOPPING = 1_000  # counted below every rank
ROOM_TOLERANCE_CPUS = 1e-9  # rounding left over by sums of sizes


class MachineIndex(Protocol):
    """Where the machines of a share are indexed: each tells it of what changes about it."""

    def room_changed(self, machine: Machine, before: int) -> None:
        """The machine has another level of room than `before`."""

    def allocated(self, cpus: float, lasting: float) -> None:
        """More is allocated on a machine, or less; `service_cpus`: of services."""

    def last_message_at(self, machine: Machine) -> None:
        """A message of the machine was believed now."""

    def answered(self, machine: Machine) -> None:
        """The lease of the machine's worker counts from now."""

    def suspect(self, machine: Machine) -> None:
        """The machine counts as not reached from now on."""

    def unsettle(self, machine: Machine) -> None:
        """The machine may hold tasks of an earlier owner."""

    def notice(self, machine: Machine) -> None:
        """The cloud will take the machine away."""


class Known(NamedTuple):
    """What was known of a worker when something was asked of it."""

    number: tuple[int, int]  # session and sequence
    token: Token


class Record(NamedTuple):
    """What the state service says of a machine."""

    share: ShareNo
    type: str
    zone: str
    spot: bool
    leaving: bool
    stamp: Stamp

    def value(self, **changes: Any) -> MachineValue:
        """The record as it is stored, with changes."""
        record = self._replace(**changes)
        return MachineValue(record.share, record.type, record.zone, record.spot, record.leaving)


class Placement:
    """One attempt of a task on a machine."""

    __slots__ = (
        "attempt",
        "cause",
        "commanded",
        "do_token",
        "fence",
        "forced",
        "given",
        "grace_s",
        "job",
        "machine",
        "ran_since",
        "seen",
        "since",
        "size",
        "stage",
        "stage_before",
        "stopping",
        "task",
    )

    def __init__(
        self, task: TaskId, attempt: Attempt, machine: Machine, job: Job | None, now: Instant
    ) -> None:
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.job = job
        self.size = job.size if job else ZERO_SIZE
        self.stage = "sent"  # sent, fetching, waiting (for its gang), running, saving, ended
        self.stage_before = ""  # once ended: the one before
        self.cause = ""
        self.seen = False  # some message listed it
        self.commanded = False  # a command with the order to start it may have left
        self.do_token = Token(0)  # of the newest command with that order
        self.given = -1  # number of the answered report whose answer told the worker to start it
        self.stopping = False
        self.grace_s = 0.0
        self.forced = False
        self.fence = Token(0)
        self.since = now
        self.ran_since = Instant(0.0)

    @property
    def active(self) -> bool:
        """Does it hold room?"""
        return self.stage != "ended"


def room_level(cpus: float) -> int:
    """The level at which a machine with so many free CPUs is indexed, rounding left aside."""
    return math.floor(cpus + ROOM_TOLERANCE_CPUS)


class Machine:
    """One machine owned here, and what is known of its worker."""

    __slots__ = (
        "added",
        "addr",
        "asked_at",
        "born",
        "counter",
        "last_success_at",
        "next_command_at",
        "command_in_flight",
        "draining_until",
        "empty_since",
        "errors",
        "expired_session",
        "fetches",
        "full_until",
        "last_message_at",
        "id",
        "images",
        "index",
        "last_answer",
        "service_cpus",
        "moving",
        "notice_until",
        "placements",
        "position",
        "probing",
        "quarantined_until",
        "ranks",
        "reached",
        "record",
        "report_number",
        "reservations",
        "room",
        "room_level",
        "seq",
        "session",
        "settled",
        "share",
        "suspect_token",
        "suspected_at",
        "token_seen",
        "type",
        "up_since",
        "used",
    )

    def __init__(self, id: MachineId, record: Record, holding: Holding, now: Instant) -> None:
        self.id = id
        self.index: MachineIndex | None = None  # of its share
        self.position = 0  # in the order in which machines came to the share
        self.record = record
        self.share = holding
        self.type: MachineType | None = None
        self.addr = ""
        self.session = Session(0)
        self.seq = -1
        self.report_number = (Session(0), -1)  # of the newest report, live answers left out
        self.born = Token(0)  # reports with a lesser token are of a former life
        self.asked_at = LONG_AGO  # when its state was last asked for
        self.probing = False
        self.reached = LONG_AGO  # when a live answer last came
        self.token_seen = Token(0)
        self.counter = 0
        # A machine recorded after the takeover can't hold tasks of an earlier owner: it was
        # new, or moved while empty.
        self.settled = record.stamp > holding.epoch
        self.expired_session = Session(0)
        self.last_answer = now if self.settled else holding.since
        self.last_message_at = LONG_AGO
        self.up_since = Instant(0.0)
        self.notice_until: Instant | None = None
        self.placements: dict[Key, Placement] = {}
        self.used = ZERO_SIZE
        self.reservations: dict[TaskId, Size] = {}  # room kept for tasks that are being moved
        self.room = ZERO_SIZE
        self.room_level = 0
        self.ranks: dict[int, float] = {}  # CPUs of what is on it, by rank
        self.fetches: dict[str, float] | None = None  # images under way; None: to be counted
        self.images: OrderedDict[str, float] = OrderedDict()
        self.command_in_flight = False
        self.next_command_at = now
        # Reachable is more than heard: only a token of ours shown by the worker proves that
        # answers or commands arrive there. Until it shows this one, nothing new goes there,
        # and an order of unknown fate may yet be carried out.
        self.suspect_token = self.base_token
        self.suspected_at = now
        self.full_until = now
        self.quarantined_until = now
        self.errors: dict[JobId, Instant] = {}  # whose tasks failed here since one did well
        self.last_success_at = LONG_AGO  # when a task last completed here
        self.empty_since: Instant | None = now
        self.added = now
        self.draining_until = now  # its replicas move away, nothing new comes
        self.service_cpus = 0.0  # CPUs of services placed on it
        self.moving = False  # a change of its record is under way: nothing new goes there

    def unsettle(self) -> None:
        """Tasks of an earlier owner may be hidden there. The reverse is told by `settled` alone."""
        self.settled = False
        if self.index is not None:
            self.index.unsettle(self)

    def note_heard(self, now: Instant) -> None:
        """A message of it is believed now."""
        self.last_message_at = now
        if self.index is not None:
            self.index.last_message_at(self)

    def note_answer(self, now: Instant) -> None:
        """Its worker's lease counts from now at the latest."""
        self.last_answer = max(self.last_answer, now)
        if self.index is not None:
            self.index.answered(self)

    def note_notice(self, until: Instant) -> None:
        """The cloud will take it away then."""
        self.notice_until = until
        if self.index is not None:
            self.index.notice(self)

    @property
    def token(self) -> Token:
        """The fencing token of the next command."""
        return make_token(Stamp(max(self.share.epoch, self.record.stamp)), self.counter)

    @property
    def base_token(self) -> Token:
        """No earlier owner's token reaches it."""
        return make_token(Stamp(max(self.share.epoch, self.record.stamp)), 0)

    def set_type(self, type_: MachineType | None) -> None:
        """Its type became known, or changed."""
        self.type = type_
        self.set_used(self.used)

    def set_used(self, used: Size) -> None:
        """Set what is allocated on it."""
        if self.index is not None:
            self.index.allocated(used.cpus - self.used.cpus, 0.0)
        self.used = used
        self.room = self.type.size.minus(used) if self.type else ZERO_SIZE
        for size in self.reservations.values():
            self.room = self.room.minus(size)
        before, self.room_level = self.room_level, room_level(self.room.cpus)
        if self.index is not None and self.room_level != before:
            self.index.room_changed(self, before)

    def add_service_cpus(self, cpus: float) -> None:
        """A service takes so many CPUs more, or fewer."""
        self.service_cpus += cpus
        if self.index is not None:
            self.index.allocated(0.0, cpus)

    def clear_usage(self) -> None:
        """Nothing is placed on it any more: no rounding is left over."""
        self.set_used(ZERO_SIZE)
        self.ranks.clear()
        self.add_service_cpus(-self.service_cpus)

    def reserve(self, task: TaskId, size: Size) -> None:
        """Keep room for a task that is being moved here."""
        self.reservations[task] = size
        self.set_used(self.used)

    def unreserve(self, task: TaskId) -> None:
        """Let the room go that was kept for the task."""
        self.reservations.pop(task, None)
        self.set_used(self.used)

    def raise_fence(self) -> Token:
        """Raise the token and return it: earlier commands can't be carried out any more."""
        self.counter += 1
        return self.token

    @property
    def known_state(self) -> Known:
        """What is known of the worker now."""
        return Known((self.session, self.seq), self.token_seen)

    @property
    def suspected(self) -> bool:
        """Not shown to be reachable since something spoke against it."""
        return self.token_seen < self.suspect_token

    def mark_suspected(self, now: Instant) -> None:
        """Until the worker shows a token raised now, it counts as not reached."""
        if not self.suspected:
            self.suspected_at = now
        self.suspect_token = self.raise_fence()
        if self.index is not None:
            self.index.suspect(self)

    def count_rank(self, placement: Placement, sign: int) -> None:
        """Count the placement's CPUs by rank; `sign`: 1 to add, -1 to take away."""
        if placement.job is not None:
            rank = STOPPING if placement.stopping else placement.job.spec.rank
            self.ranks[rank] = self.ranks.get(rank, 0.0) + sign * placement.size.cpus

    def cpus_with_preemption(self, rank: int) -> float:
        """CPUs free, or held by what ranks lower than that or is being stopped."""
        return self.room.cpus + sum(cpus for r, cpus in self.ranks.items() if r > rank)

    def holds(self, task: TaskId) -> bool:
        """Does the machine list any attempt of the task?"""
        return any(t == task for t, _ in self.placements)

    def remember_image(self, job: Job) -> None:
        """The machine holds the image of the job; the least recently used ones may have gone."""
        images = self.images
        self.fetches = None
        images[job.spec.image] = job.spec.image_gb
        images.move_to_end(job.spec.image)
        if self.type is not None:
            while len(images) > 1 and sum(images.values()) > self.type.cache_gb:
                images.popitem(last=False)

    @property
    def busy(self) -> bool:
        """Something is on it, or may be, or may yet come to be."""
        # One that was never heard holds nothing: it must be possible to return what never came
        # up, or it is paid for ever.
        return (
            bool(self.placements)
            or bool(self.reservations)
            or self.command_in_flight
            or not self.settled
            or (self.suspected and self.last_message_at >= 0)
        )
