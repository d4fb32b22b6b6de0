"""Tests scheduling when more tasks wait than there is room for: images, shares, overdue work."""

from typing import Any

from test_failure_regressions import started_world
from test_safety_checks import owner_and_machine
from world import World, spec

from runcourse.core.ids import Instant, ShareNo
from runcourse.core.image_supply import HeldImages
from runcourse.core.jobs import Job
from runcourse.core.placement import ZERO_SIZE
from runcourse.core.preemption import MIN_RUNTIME_S
from runcourse.core.queue_order import OVERDUE_AFTER_S
from runcourse.core.task_placement import OVERDUE_START_FRACTION
from runcourse.core.work import Work


def waiting_work(share: ShareNo, image: str, number: int, **changes: Any) -> Work:
    """Returns the work of an array of 20 tasks, all of them pending."""
    job = Job(spec(f"j-{number:06d}", tasks=20, image=image, **changes), 1)  # type: ignore[arg-type]
    work = Work(job, share)
    work.pending = {n: None for n in reversed(range(20))}
    return work


def test_in_a_shortage_machines_are_left_to_tasks_whose_image_they_hold() -> None:
    node, machine = owner_and_machine(started_world(machines=12))
    scheduler, share = node.scheduler, machine.share
    machines = list(node.fleet.of_share(share.number))[:4]
    assert len(machines) == 4
    for number, holder in enumerate(machines):
        for image in ("a", "b") if number < 2 else ("c", "d"):
            holder.images[image] = 1.0
    works = [
        waiting_work(share.number, image, n, deadline_s=10.0 + n) for n, image in enumerate("cdab")
    ]
    plentiful = scheduler.image_supply.plentiful(share, works, lambda: machines, machines)
    assert plentiful == {"a", "b", "c", "d"}
    scheduler.image_supply._held.clear()
    assert not scheduler.image_supply.plentiful(share, [], lambda: machines, machines)
    # Only a machine that holds images a and b has room, for one task: the jobs with images c and d,
    # which are first in the queue, leave it to the job with image a.
    for m in node.fleet.of_share(share.number):
        if m is not machines[0]:
            m.room = ZERO_SIZE
    for work in works:
        work.job.submitted = node.context.now
        scheduler.enqueue(work)
    scheduler.image_supply._held[share.number] = HeldImages(
        node.context.now, dict.fromkeys("abcd", 12.0), 24.0
    )
    share.settled = True
    scheduler._run_turn(share)
    placed = {p.job.spec.image for p in machines[0].placements.values() if p.job is not None}
    assert placed == {"a"}


def test_task_takes_a_machine_without_its_image_if_no_other_task_waits() -> None:
    node, machine = owner_and_machine(started_world(machines=12))
    scheduler, share = node.scheduler, machine.share
    work = waiting_work(share.number, "c", 1)
    work.job.submitted = node.context.now
    scheduler.enqueue(work)
    for m in node.fleet.of_share(share.number):
        m.images["a"] = 1.0
    scheduler._run_turn(share)
    assert len(work.pending) < 20


def test_among_shares_that_are_all_short_machines_move_to_the_largest_demand() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    node = next(n for n in world.nodes.values() if n is not None)
    most_demanded_share = node.shares.of_team("team-1")  # type: ignore[arg-type]
    for number, (team, tasks) in enumerate((("team-0", 80), ("team-1", 300), ("team-2", 80))):
        world.submit(spec(f"j-00080{number}", tasks=tasks, team=team, estimate_s=3.0))

    def count_machines(share: int) -> int:
        return sum(
            1
            for key, (value, _, _) in world.state.data.items()
            if key.startswith("rc/machine/") and value.get("share") == share
        )

    before = count_machines(most_demanded_share)
    world.run(25.0)
    for uid in ("j-000800", "j-000802"):
        assert world.poll(uid) == "running", "each of them has running tasks"
    assert count_machines(most_demanded_share) >= before + 2
    assert all(count_machines(s) >= 1 for s in range(3)) and not world.violations


def test_overdue_work_starts_first_and_then_gets_a_part_of_the_starts() -> None:
    """If all overdue work started first, work submitted meanwhile became overdue in turn."""
    node, machine = owner_and_machine(started_world(machines=12))
    scheduler, share = node.scheduler, machine.share
    overdue = waiting_work(share.number, "img", 1, deadline_s=20.0)
    recent = waiting_work(share.number, "img", 2, deadline_s=500.0)
    overdue.job.submitted = node.context.now - OVERDUE_AFTER_S - 1.0  # type: ignore[assignment]
    recent.job.submitted = node.context.now
    started_tasks = 0
    for _ in range(15):
        for m in node.fleet.of_share(share.number):
            for placement in list(m.placements.values()):
                node.fleet.placements.remove(placement, "done")
        scheduler.enqueue(overdue)
        scheduler.enqueue(recent)
        overdue.unstored_done_bits = recent.unstored_done_bits = 0
        overdue.pending.update({n: None for n in range(20)})
        recent.pending.update({n: None for n in range(20)})
        before = len(overdue.pending)
        scheduler._run_turn(share)
        assert any(overdue.zones.values()), "the first task of the overdue job starts first"
        started_tasks += before - len(overdue.pending)
        placements_total = sum(len(m.placements) for m in node.fleet.of_share(share.number))
        assert placements_total >= 4
    assert 15 <= started_tasks <= 15 * (1 + placements_total * OVERDUE_START_FRACTION * 2)


def test_task_that_has_just_started_is_not_stopped_for_one_of_equal_rank() -> None:
    """An array left machines without its image to other tasks and at once stopped these tasks to
    take the machines: they were started and stopped again forty times a second."""
    node, machine = owner_and_machine(started_world(machines=12))
    scheduler, share = node.scheduler, machine.share
    borrower = waiting_work(share.number, "img", 1, team="team-3")
    claimant = waiting_work(share.number, "img", 2, team="team-0")
    replica = waiting_work(share.number, "img", 3, team="team-0", service=True, rank=0)
    borrower.job.submitted = node.context.now
    scheduler.enqueue(borrower)
    for m in node.fleet.of_share(share.number):  # more than its team's guarantee of 4 CPUs
        for _ in range(2):
            number = next(iter(borrower.pending))
            node.fleet.placements.place(borrower.job, number, m, share.next_attempt())

    def may_preempt(job: Job) -> bool:
        return scheduler.preemption.find_victims(job, machine, True, {}) is not None

    assert not may_preempt(claimant.job)
    assert may_preempt(replica.job), "a higher rank need not wait for the minimum runtime"
    node.context.now = Instant(node.context.now + MIN_RUNTIME_S + 0.1)
    assert may_preempt(claimant.job)
    borrower.job.submitted = node.context.now - OVERDUE_AFTER_S - 1.0
    assert not may_preempt(claimant.job), "overdue work that has started is not stopped"
