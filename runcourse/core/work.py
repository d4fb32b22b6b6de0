"""What is left to do of an open job, and where its tasks may go."""

from __future__ import annotations

from .ids import LONG_AGO, Attempt, Instant, MachineId, ShareNo
from .jobs import Job
from .machine import Machine, Placement


class Work:
    """What is left to do of one open job of an owned share."""

    __slots__ = (
        "prioritised_until",
        "attempt",
        "ending",
        "errors",
        "max_time_to_failure_s",
        "fails_everywhere",
        "unstored_done_bits",
        "flushed_at",
        "flushing",
        "incomplete_attempts",
        "job",
        "not_before",
        "pending",
        "probe_count",
        "reserved_at",
        "flush_retry_at",
        "share",
        "started",
        "tried",
        "wait_reason",
        "zones",
    )

    def __init__(self, job: Job, share: ShareNo) -> None:
        self.job = job
        self.share = share
        self.pending: dict[int, None] = {}  # to be started, the next one last
        self.zones: dict[str, int] = {}  # tasks placed per zone
        self.unstored_done_bits = 0  # bits of tasks that are done but not stored yet
        self.flushing = False
        self.flushed_at = LONG_AGO
        self.flush_retry_at = LONG_AGO
        self.not_before = LONG_AGO
        self.prioritised_until = LONG_AGO  # goes first and is not stopped for others until then
        self.errors: dict[MachineId, int] = {}  # where its tasks failed, how often
        self.max_time_to_failure_s = (
            0.0  # seconds at the most from the start of a task to its failure
        )
        self.fails_everywhere = False  # wherever it is started, as it seems
        self.tried: set[int] = set()  # tasks of which machines may still list a former attempt
        self.probe_count = 0  # tries since that was found
        self.wait_reason = ""  # why its next task waits
        # Of a gang alone, which has one attempt for all its tasks:
        self.attempt: Attempt | None = None
        self.started = False  # all its tasks ran at the same time, or may have
        self.ending = False  # the attempt is over, though not everywhere yet
        self.reserved_at = LONG_AGO  # since when room is reserved for it
        self.incomplete_attempts = 0  # attempts in turn that were not complete in time


def begun(work: Work) -> bool:
    """Has any task of the job been started or finished?"""
    return bool(work.job.done_bits or work.unstored_done_bits or any(work.zones.values()))


def permits(job: Job, machine: Machine) -> bool:
    """May tasks of the job go to the machine, by type, zone and kind?"""
    spec = job.spec
    record = machine.record
    return (
        (spec.types is None or record.type in spec.types)
        and (spec.zone is None or record.zone == spec.zone)
        and (spec.spot or not record.spot)
    )


def zone_allows_task(work: Work, zone: str, more: int = 0) -> bool:
    """`spread` and `together`, given the job's other tasks at this moment, and `more`."""
    spec = work.job.spec
    placed = work.zones.get(zone, 0) + more
    if spec.spread and placed >= (spec.tasks + 1) // 2:
        return False
    return not (spec.together and any(n for z, n in work.zones.items() if z != zone))


def may_move_to(work: Work, here: str, there: str) -> bool:
    """Would the zones still be as the job asks, with one of its tasks there instead of here?"""
    return here == there or (zone_allows_task(work, there) and not work.job.spec.together)


def images_being_fetched(machine: Machine) -> dict[str, float]:
    """Images under way to the machine, and their size."""
    images = machine.fetches
    if images is None:
        images = machine.fetches = {}
        for placement in machine.placements.values():
            if placement.stage in ("sent", "fetching") and placement.job is not None:
                other = placement.job.spec
                if other.image not in machine.images:
                    images[other.image] = other.image_gb
    return images


def fetch_s(job: Job, machine: Machine) -> float:
    """Seconds until the machine holds the job's image: fetches under way share its rate."""
    image = job.spec.image
    if image in machine.images or machine.type is None:
        return 0.0
    under_way = images_being_fetched(machine)
    gb = sum(under_way.values())
    if image not in under_way:
        gb += job.spec.image_gb
    return gb / (machine.type.fetch_gb_per_s or 1.0)


def fetches_or_holds(image: str, machine: Machine) -> bool:
    """Does the machine hold the image, or is it under way?"""
    return image in machine.images or image in images_being_fetched(machine)


def loss(placement: Placement, now: Instant) -> float:
    """Seconds of work that are lost if the task is stopped now."""
    if placement.stage != "running" or placement.job is None:
        return 0.0
    ran = now - placement.ran_since
    if placement.job.spec.checkpoint_s > 0:
        return min(placement.job.spec.save_s, ran)
    return ran


def stop_grace_s(placement: Placement) -> float:
    """The time that the task needs to save when it is stopped."""
    spec = placement.job.spec if placement.job else None
    return spec.save_s if spec and spec.checkpoint_s > 0 else 0.0
