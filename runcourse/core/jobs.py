"""Jobs as stored: submissions, stages and finished tasks."""

from __future__ import annotations

import hashlib
import re
from bisect import bisect_right, insort
from collections import Counter
from collections.abc import Collection

import msgspec

from .ids import ABSENT, JobId, Stamp
from .placement import Size
from .sizes import json_size

JOB = "rc/job/"
DONE = "rc/done/"  # pages of finished tasks
PART = "rc/part/"  # parts of such pages, where a page is too large for a value
PAGE_BITS = 16384  # finished tasks per stored page: 4 KiB of hexadecimal digits
PART_BITS = 4096  # finished tasks per part, where a page is too large for the state service
STAGE_GROWTH_BYTES = 80  # growth of a job's value after its acceptance, kept free
DIGEST_BYTES = 16
MAX_TASKS = 100_000
RANKS = {"prod": 0, "urgent": 1, "normal": 2, "idle": 3}  # the lowest has the highest priority
UID = re.compile(r"j-[0-9]{1,18}\Z", re.ASCII)


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True):
    """A submission, with the names of the core for the fields of `wire.messages`."""

    uid: str
    lane: str
    team: str
    service: bool
    gang: bool = False
    rank: int
    tasks: int
    cpus: float
    gpus: float
    memory: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None = None
    zone: str | None = None
    together: bool = False
    spread: bool = False
    spot: bool = False
    estimate_s: float = 0.0
    checkpoint_s: float = 0.0
    save_s: float = 0.0
    deadline_s: float | None = None

    @property
    def size(self) -> Size:
        """Returns the resources that one task takes."""
        return Size(self.cpus, self.memory, self.gpus)


class JobValue(msgspec.Struct, frozen=True):
    """A job as it is stored."""

    spec: JobSpec
    stage: str  # accepted, cancelled or done


class PageValue(msgspec.Struct, frozen=True):
    """A stored page or part of a job's finished tasks: one bit a task, in hexadecimal digits."""

    bits: str


class Job:
    """One accepted job, as the state service holds it."""

    __slots__ = (
        "accepted",
        "cancelled",
        "done_bits",
        "done_count",
        "size",
        "spec",
        "stage",
        "stamp",
        "submitted",
        "uid",
    )

    def __init__(self, spec: JobSpec, stamp: Stamp) -> None:
        self.uid = JobId(spec.uid)
        self.spec = spec
        self.size = spec.size
        self.stage = "accepted"
        self.stamp = stamp
        self.accepted = stamp  # revision of the first value read: its acceptance, unless final
        self.cancelled = ABSENT  # revision of its cancellation, once a read returned it
        self.submitted = 0.0  # when this node first read the job, on its steady clock
        self.done_bits = 0  # one bit for each task that is stored as finished
        self.done_count = 0

    @property
    def final(self) -> bool:
        """Returns whether the job is done or cancelled."""
        return self.stage != "accepted"

    def is_done(self, index: int) -> bool:
        """Returns whether the task is stored as finished."""
        return bool(self.done_bits >> index & 1)

    def page(self, number: int, extra: int, length: int = PAGE_BITS) -> PageValue:
        """Returns the stored form of one page of finished tasks, with those of `extra` added."""
        mask = (1 << length) - 1
        bits = ((self.done_bits | extra) >> (number * length)) & mask
        return PageValue(f"{bits:x}")

    def add_done(self, bits: int) -> None:
        """Adds finished tasks, given as bits."""
        self.done_bits |= bits
        self.done_count = self.done_bits.bit_count()


class Jobs:
    """The table of all jobs, filled only with what the state service holds."""

    def __init__(self) -> None:
        self._jobs: dict[JobId, Job] = {}
        self._open: dict[JobId, Job] = {}
        # The number of open jobs (neither done nor cancelled), by team and CPUs of one task.
        self._open_task_sizes: Counter[tuple[str, float]] = Counter()
        # Bit mask of finished tasks, for jobs whose submission was not read from the store yet.
        self._early_pages: dict[JobId, int] = {}
        self._cancelled: list[tuple[Stamp, JobId]] = []
        # Jobs whose cancellation a peer reported and this node has not read yet.
        self._reported_cancelled: dict[JobId, None] = {}

    def get(self, uid: JobId) -> Job | None:
        """Returns the job, or None if it is not known."""
        return self._jobs.get(uid)

    def __len__(self) -> int:
        return len(self._jobs)

    def open_jobs(self) -> Collection[Job]:
        """Returns the jobs that are neither done nor cancelled."""
        return self._open.values()

    def apply_job(self, uid: JobId, value: JobValue, stamp: Stamp, now: float) -> Job:
        """Applies the stored value of a job."""
        job = self._jobs.get(uid)
        if job is None:
            job = Job(value.spec, stamp)
            job.submitted = now
            job.add_done(self._early_pages.pop(uid, 0))
            self._jobs[uid] = job
        if value.stage == "cancelled":
            insort(self._cancelled, (stamp, uid))  # a first read is sorted by name, not by revision
            self._reported_cancelled.pop(uid, None)
            job.cancelled = stamp
        # A job that is done or cancelled stays so, whatever the order in which values arrive.
        if not job.final:
            # A cancellation that a peer reported before this node read the job still applies.
            job.stage = "cancelled" if uid in self._reported_cancelled else value.stage
            if job.final:
                self._close(job)
            elif uid not in self._open:
                self._open[uid] = job
                self._open_task_sizes[job.spec.team, job.spec.cpus] += 1
        job.stamp = stamp
        return job

    def cancelled_since(self, stamp: Stamp) -> list[JobId]:
        """Returns the jobs that are known to have been cancelled after that revision."""
        first = bisect_right(self._cancelled, stamp, key=lambda entry: entry[0])
        return [uid for _, uid in self._cancelled[first:]] + list(self._reported_cancelled)

    def cancel(self, uid: JobId) -> Job | None:
        """Applies a stored cancellation that a peer reported and no read has returned yet.

        The job's stamp stays, so that a change based on it fails. Returns the job, or None if it
        is not known or was done or cancelled already.
        """
        job = self._jobs.get(uid)
        if job is None or not job.final:
            self._reported_cancelled[uid] = None
        if job is None or job.final:
            return None
        job.stage = "cancelled"
        self._close(job)
        return job

    def _close(self, job: Job) -> None:
        if self._open.pop(job.uid, None) is not None:
            kind = (job.spec.team, job.spec.cpus)
            self._open_task_sizes[kind] -= 1
            if not self._open_task_sizes[kind]:
                del self._open_task_sizes[kind]

    def open_task_sizes(self) -> Collection[tuple[str, float]]:
        """Returns the distinct pairs of a team and the CPUs of one task, over all open jobs."""
        return self._open_task_sizes.keys()

    def apply_page(self, uid: JobId, page: int, value: PageValue, length: int = PAGE_BITS) -> None:
        """Applies a stored page of finished tasks; a page holds `length` tasks."""
        bits = int(value.bits, 16) << (page * length)
        job = self._jobs.get(uid)
        if job is None:
            self._early_pages[uid] = self._early_pages.get(uid, 0) | bits
        else:
            job.add_done(bits)


def name_digest(name: str) -> str:
    """Returns a short digest that replaces a name that only needs to be distinct."""
    return "~" + hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()


def fit_spec(spec: JobSpec, types: Collection[str], max_bytes: int) -> JobSpec | None:
    """Returns the submission as it fits into a value of `max_bytes`, or None if it cannot.

    If necessary, types that do not exist are removed, and long names that only need to be
    distinct are replaced by digests.
    """

    def fits(spec: JobSpec) -> bool:
        return json_size(job_value(spec, "accepted")) + STAGE_GROWTH_BYTES <= max_bytes

    if not fits(spec) and spec.types is not None:
        spec = msgspec.structs.replace(spec, types=tuple(t for t in spec.types if t in types))
    for name in ("image", "lane"):
        if not fits(spec) and len(getattr(spec, name)) > len(name_digest("")):
            spec = msgspec.structs.replace(spec, **{name: name_digest(getattr(spec, name))})
    return spec if fits(spec) else None


def job_value(spec: JobSpec, stage: str) -> JobValue:
    """Returns a job as it is stored."""
    return JobValue(spec, stage)


def final_value(spec: JobSpec, stage: str, max_bytes: int) -> JobValue:
    """Returns the stored form of a job that needs no machines any more.

    What the former version stored may be larger than the state service accepts now.
    """
    return job_value(fit_spec(spec, (), max_bytes) or spec, stage)
