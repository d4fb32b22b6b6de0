"""A machine as its share's owner sees it: its stored record, its worker's state, its placements."""

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
from .shares import OwnedShare
from .stored_values import MachineValue
from .types import MachineType

Key = tuple[TaskId, Attempt]
RUNNING_STAGES = ("running", "saving")
STOPPING_RANK = 1_000  # of tasks being stopped; lower in priority than every rank of jobs
ROOM_TOLERANCE_CPUS = 1e-9  # rounding error of sums of sizes


class MachineIndex(Protocol):
    """The index of a share's machines; each machine notifies it of its changes."""

    def room_changed(self, machine: Machine, previous_level: int) -> None:
        """Called when the room level (whole free CPUs) has changed from `previous_level`."""

    def allocation_changed(self, cpus: float, service_cpus: float) -> None:
        """Called with changes of the CPUs allocated to all tasks and to services."""

    def message_received(self, machine: Machine) -> None:
        """Called when a message of the machine was accepted."""

    def lease_renewed(self, machine: Machine) -> None:
        """Called when the lease of the machine's worker counts from now."""

    def became_suspected(self, machine: Machine) -> None:
        """Called when the machine becomes suspected: it counts as unreachable from now on."""

    def became_unsettled(self, machine: Machine) -> None:
        """Called when the machine becomes unsettled: it may hold tasks of an earlier owner."""

    def notice_received(self, machine: Machine) -> None:
        """Called when the cloud announced that it will take the machine away."""


class KnownState(NamedTuple):
    """The state of a worker as known when a probe or command was sent to it."""

    number: tuple[int, int]  # session and sequence number
    token: Token


class Record(NamedTuple):
    """The record of a machine in the state service."""

    share: ShareNo
    type: str
    zone: str
    spot: bool
    leaving: bool
    stamp: Stamp

    def value(self, **changes: Any) -> MachineValue:
        """Returns the record as it is stored, with the changes applied."""
        record = self._replace(**changes)
        return MachineValue(record.share, record.type, record.zone, record.spot, record.leaving)


class Placement:
    """One attempt of a task on a machine."""

    __slots__ = (
        "attempt",
        "cause",
        "fence",
        "grace_s",
        "job",
        "machine",
        "ran_since",
        "seen",
        "since",
        "size",
        "stage",
        "stage_before",
        "start_commanded",
        "start_report_seq",
        "start_token",
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
        self.stage_before = ""  # of an ended attempt: its stage before it ended
        self.cause = ""
        self.seen = False  # a message of the worker listed it
        self.start_commanded = False  # a command with its start order may have been sent
        self.start_token = Token(0)  # of the newest command with its start order
        # Sequence number of the report whose answer carried its start order; -1: none.
        self.start_report_seq = -1
        self.stopping = False
        self.grace_s = 0.0
        self.fence = Token(0)  # token raised when an unlisted task is stopped; 0: none
        self.since = now
        self.ran_since = Instant(0.0)

    @property
    def active(self) -> bool:
        """Returns whether the attempt occupies room on its machine."""
        return self.stage != "ended"

    @property
    def needs_stop_order(self) -> bool:
        """Returns whether the worker must be ordered to stop the task, perhaps once more.

        A task that saves its progress has its order, but only one without time to save ends the
        saving. Whether it has that one can't be told: the order that began the saving may be an
        earlier owner's, and may have arrived after this owner's decision to stop the task.
        """
        return self.stopping and self.seen and (self.stage != "saving" or self.grace_s <= 0)


def room_level(cpus: float) -> int:
    """Returns the whole number of free CPUs, by which machines are indexed; tolerates rounding
    errors."""
    return math.floor(cpus + ROOM_TOLERANCE_CPUS)


class Machine:
    """A machine of a share that this node owns, and the known state of its worker."""

    __slots__ = (
        "added_at",
        "addr",
        "command_in_flight",
        "counter",
        "cpus_by_rank",
        "draining_until",
        "empty_since",
        "expired_session",
        "fetches",
        "full_until",
        "id",
        "images",
        "index",
        "last_answer_at",
        "last_failures",
        "last_message_at",
        "last_reached_at",
        "last_success_at",
        "min_report_token",
        "moving",
        "next_command_at",
        "notice_until",
        "placements",
        "position",
        "probe_in_flight",
        "probed_at",
        "quarantined_until",
        "record",
        "report_number",
        "reservations",
        "room",
        "room_level",
        "seq",
        "service_cpus",
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

    def __init__(
        self, id: MachineId, record: Record, owned_share: OwnedShare, now: Instant
    ) -> None:
        self.id = id
        self.index: MachineIndex | None = None  # of its share's machines
        self.position = 0  # in the order in which machines were added to the share
        self.record = record
        self.share = owned_share
        self.type: MachineType | None = None
        self.addr = ""
        self.session = Session(0)
        self.seq = -1
        # Session and sequence number of the newest report; answers to commands and probes
        # don't count.
        self.report_number = (Session(0), -1)
        self.min_report_token = Token(0)  # a report with a lower token precedes a restart
        self.probed_at = LONG_AGO
        self.probe_in_flight = False
        self.last_reached_at = LONG_AGO  # when the worker last proved to be reachable
        self.token_seen = Token(0)
        self.counter = 0  # low part of the token; raised to invalidate earlier commands
        # Settled: it holds no task of an earlier owner that this one does not know. A machine
        # recorded after the takeover is settled: it was new then, or was transferred while empty.
        self.settled = record.stamp > owned_share.epoch
        self.expired_session = Session(0)  # newest session whose lease expired
        self.last_answer_at = now if self.settled else owned_share.since
        self.last_message_at = LONG_AGO
        self.up_since = Instant(0.0)
        self.notice_until: Instant | None = None  # when the cloud takes it away, if announced
        self.placements: dict[Key, Placement] = {}
        self.used = ZERO_SIZE
        self.reservations: dict[TaskId, Size] = {}  # room for tasks that are being moved here
        self.room = ZERO_SIZE
        self.room_level = 0
        self.cpus_by_rank: dict[int, float] = {}  # CPUs of its placements, by rank
        # Images being fetched; None: must be computed from the placements.
        self.fetches: dict[str, float] | None = None
        self.images: OrderedDict[str, float] = OrderedDict()
        self.command_in_flight = False
        self.next_command_at = now
        # A report doesn't prove that the worker is reachable: only a token of this node that the
        # worker reports proves that answers or commands arrive there. Until it reports
        # `suspect_token`, no new task is placed there, and an order of unknown outcome may still be
        # executed.
        self.suspect_token = self.base_token
        self.suspected_at = now
        self.full_until = now  # after its worker refused a start as full or busy
        self.quarantined_until = now
        # Last failure here of each job, since a task last succeeded here.
        self.last_failures: dict[JobId, Instant] = {}
        self.last_success_at = LONG_AGO  # when a task last completed here
        self.empty_since: Instant | None = now
        self.added_at = now
        self.draining_until = now  # until then its replicas move away and it gets no new tasks
        self.service_cpus = 0.0  # of services placed on it
        self.moving = False  # a write of its record is in flight: it gets no new tasks

    def unsettle(self) -> None:
        """Records that the machine may hold unreported tasks of an earlier owner.

        The index isn't notified when the machine becomes settled again: its queries check
        `settled` of each candidate.
        """
        self.settled = False
        if self.index is not None:
            self.index.became_unsettled(self)

    def note_message(self, now: Instant) -> None:
        """Records that a message of the worker was accepted now."""
        self.last_message_at = now
        if self.index is not None:
            self.index.message_received(self)

    def note_answer(self, now: Instant) -> None:
        """Records that the worker's lease counts from now at the latest."""
        self.last_answer_at = max(self.last_answer_at, now)
        if self.index is not None:
            self.index.lease_renewed(self)

    def note_notice(self, until: Instant) -> None:
        """Records that the cloud will take the machine away at `until`."""
        self.notice_until = until
        if self.index is not None:
            self.index.notice_received(self)

    @property
    def token(self) -> Token:
        """Returns the fencing token of the next command."""
        return make_token(Stamp(max(self.share.epoch, self.record.stamp)), self.counter)

    @property
    def base_token(self) -> Token:
        """Returns this owner's lowest token, which is above every token of earlier owners."""
        return make_token(Stamp(max(self.share.epoch, self.record.stamp)), 0)

    def set_type(self, type_: MachineType | None) -> None:
        """Sets the machine's type when it becomes known or changes."""
        self.type = type_
        self.set_used(self.used)

    def set_used(self, used: Size) -> None:
        """Sets the size allocated on the machine and updates its room."""
        if self.index is not None:
            self.index.allocation_changed(used.cpus - self.used.cpus, 0.0)
        self.used = used
        self.room = self.type.size.minus(used) if self.type else ZERO_SIZE
        for size in self.reservations.values():
            self.room = self.room.minus(size)
        previous_level, self.room_level = self.room_level, room_level(self.room.cpus)
        if self.index is not None and self.room_level != previous_level:
            self.index.room_changed(self, previous_level)

    def add_service_cpus(self, cpus: float) -> None:
        """Adds CPUs allocated to services; may be negative."""
        self.service_cpus += cpus
        if self.index is not None:
            self.index.allocation_changed(0.0, cpus)

    def clear_usage(self) -> None:
        """Resets all sums of a machine without placements, to discard rounding errors."""
        self.set_used(ZERO_SIZE)
        self.cpus_by_rank.clear()
        self.add_service_cpus(-self.service_cpus)

    def reserve(self, task: TaskId, size: Size) -> None:
        """Reserves room for a task that is being moved here."""
        self.reservations[task] = size
        self.set_used(self.used)

    def unreserve(self, task: TaskId) -> None:
        """Releases the room reserved for the task."""
        self.reservations.pop(task, None)
        self.set_used(self.used)

    def raise_fence(self) -> Token:
        """Raises the token and returns it; earlier commands can't be executed any more."""
        self.counter += 1
        return self.token

    @property
    def known_state(self) -> KnownState:
        """Returns the known state of the worker."""
        return KnownState((self.session, self.seq), self.token_seen)

    @property
    def suspected(self) -> bool:
        """Returns whether the machine is suspected: its worker, which counts as unreachable, has
        not reported the token raised when its reachability was last in doubt."""
        return self.token_seen < self.suspect_token

    def mark_suspected(self, now: Instant) -> None:
        """Raises the token; the worker counts as unreachable until it reports the new one."""
        if not self.suspected:
            self.suspected_at = now
        self.suspect_token = self.raise_fence()
        if self.index is not None:
            self.index.became_suspected(self)

    def count_rank(self, placement: Placement, sign: int) -> None:
        """Counts the placement's CPUs by rank; `sign` is 1 to add and -1 to subtract."""
        if placement.job is not None:
            rank = STOPPING_RANK if placement.stopping else placement.job.spec.rank
            self.cpus_by_rank[rank] = self.cpus_by_rank.get(rank, 0.0) + sign * placement.size.cpus

    def cpus_with_preemption(self, rank: int) -> float:
        """Returns the CPUs that are free, being freed, or held by tasks of lower priority."""
        return self.room.cpus + sum(
            cpus for other, cpus in self.cpus_by_rank.items() if other > rank
        )

    def holds(self, task: TaskId) -> bool:
        """Returns whether any attempt of the task is placed on the machine."""
        return any(placed == task for placed, _ in self.placements)

    def remember_image(self, job: Job) -> None:
        """Records that the machine caches the job's image.

        Images beyond the size of the cache are dropped, least recently used first.
        """
        images = self.images
        self.fetches = None
        images[job.spec.image] = job.spec.image_gb
        images.move_to_end(job.spec.image)
        if self.type is not None:
            while len(images) > 1 and sum(images.values()) > self.type.cache_gb:
                images.popitem(last=False)

    @property
    def busy(self) -> bool:
        """Returns whether the machine runs tasks, may run some, or may still be ordered to."""
        # A machine that never reported holds nothing. It must be possible to return a machine
        # that never came up, or it is paid for indefinitely.
        return (
            bool(self.placements)
            or bool(self.reservations)
            or self.command_in_flight
            or not self.settled
            or (self.suspected and self.last_message_at >= 0)
        )
