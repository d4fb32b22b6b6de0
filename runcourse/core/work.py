"""The remaining work of an open (unfinished) job, and the machines where its tasks may run."""

from __future__ import annotations

from .ids import LONG_AGO, Attempt, Instant, MachineId, ShareNo
from .jobs import Job
from .machine import Machine, Placement

DEFAULT_FETCH_GB_PER_S = 1.0  # for machine types that state no fetch rate


class Work:
    """The remaining work of one open job of an owned share."""

    __slots__ = (
        "attempt",
        "attempted",
        "ending",
        "fails_everywhere",
        "failure_counts",
        "flush_retry_at",
        "flushed_at",
        "flushing",
        "incomplete_attempts",
        "job",
        "max_time_to_failure_s",
        "not_before",
        "pending",
        "prioritised_until",
        "probe_count",
        "reserved_at",
        "share",
        "started",
        "unstored_done_bits",
        "wait_reason",
        "zones",
    )

    def __init__(self, job: Job, share: ShareNo) -> None:
        self.job = job
        self.share = share
        self.pending: dict[int, None] = {}  # task numbers to start, the next one last
        self.zones: dict[str, int] = {}  # tasks placed per zone
        self.unstored_done_bits = 0  # bit set of tasks done but not stored
        self.flushing = False  # a write of finished tasks is under way
        self.flushed_at = LONG_AGO  # when the newest such write was queued
        self.flush_retry_at = LONG_AGO  # no such write earlier, after one that failed
        self.not_before = LONG_AGO  # no task is started earlier, after failures or refusals
        # End of the time in which a service or gang is served first and its tasks not preempted.
        self.prioritised_until = LONG_AGO
        self.failure_counts: dict[MachineId, int] = {}  # failures per machine
        self.max_time_to_failure_s = 0.0  # longest time from a start to its failure
        self.fails_everywhere = False  # its tasks seem to fail on every machine
        # Numbers of the tasks of which some machine may still list a former attempt.
        self.attempted: set[int] = set()
        self.probe_count = 0  # delayed retries since `fails_everywhere` was set
        self.wait_reason = ""  # why its next task is not started
        # Only for gangs, which have one attempt for all tasks:
        self.attempt: Attempt | None = None
        self.started = False  # all tasks of the current attempt may have run at the same time
        self.ending = False  # the attempt is over, but tasks of it may remain
        self.reserved_at = LONG_AGO  # when the current reservation period began
        self.incomplete_attempts = 0  # consecutive attempts not complete in time


def has_begun(work: Work) -> bool:
    """Returns whether any task of the job is placed or finished."""
    return bool(work.job.done_bits or work.unstored_done_bits or any(work.zones.values()))


def permits(job: Job, machine: Machine) -> bool:
    """Returns whether the job allows the machine by type, zone and spot kind."""
    spec = job.spec
    record = machine.record
    return (
        (spec.types is None or record.type in spec.types)
        and (spec.zone is None or record.zone == spec.zone)
        and (spec.spot or not record.spot)
    )


def zone_allows_task(work: Work, zone: str, more: int = 0) -> bool:
    """Returns whether `spread` and `together` allow another task of the job in the zone.

    `spread` allows half of the tasks, rounded up, in one zone; `together` allows one zone only.
    `more` tasks are counted in the zone in addition to those placed.
    """
    spec = work.job.spec
    placed = work.zones.get(zone, 0) + more
    if spec.spread and placed >= (spec.tasks + 1) // 2:
        return False
    return not (spec.together and any(n for z, n in work.zones.items() if z != zone))


def may_move_to(work: Work, from_zone: str, to_zone: str) -> bool:
    """Returns whether the job's zone rules still hold after moving one task between the zones."""
    return from_zone == to_zone or (zone_allows_task(work, to_zone) and not work.job.spec.together)


def images_being_fetched(machine: Machine) -> dict[str, float]:
    """Returns the images that the machine is fetching, with their sizes in GB.

    The result is cached in `machine.fetches`.
    """
    images = machine.fetches
    if images is None:
        images = machine.fetches = {}
        for placement in machine.placements.values():
            if placement.stage in ("sent", "fetching") and placement.job is not None:
                spec = placement.job.spec
                if spec.image not in machine.images:
                    images[spec.image] = spec.image_gb
    return images


def fetch_s(job: Job, machine: Machine) -> float:
    """Returns the seconds until the machine holds the job's image.

    All its fetches share the machine's fetch rate.
    """
    image = job.spec.image
    if image in machine.images or machine.type is None:
        return 0.0
    fetches = images_being_fetched(machine)
    gb = sum(fetches.values())
    if image not in fetches:
        gb += job.spec.image_gb
    return gb / (machine.type.fetch_gb_per_s or DEFAULT_FETCH_GB_PER_S)


def holds_or_fetches_image(image: str, machine: Machine) -> bool:
    """Returns whether the machine holds the image or is fetching it."""
    return image in machine.images or image in images_being_fetched(machine)


def lost_work_s(placement: Placement, now: Instant) -> float:
    """Returns the seconds of work that are lost if the task is stopped now.

    A job with checkpoints loses no more than the time to save.
    """
    if placement.stage != "running" or placement.job is None:
        return 0.0
    ran = now - placement.ran_since
    if placement.job.spec.checkpoint_s > 0:
        return min(placement.job.spec.save_s, ran)
    return ran


def stop_grace_s(placement: Placement) -> float:
    """Returns the seconds that the task needs to save its progress when it is stopped."""
    spec = placement.job.spec if placement.job else None
    return spec.save_s if spec and spec.checkpoint_s > 0 else 0.0
