"""When more waits than there is room for: images, shares and overdue work."""

from typing import Any

from test_failures import ready
from test_guards import owner_of_some
from world import World, spec

from runcourse.core.ids import Instant, ShareNo
from runcourse.core.image_supply import HeldImages
from runcourse.core.jobs import Job
from runcourse.core.order import OVERDUE_AFTER_S
from runcourse.core.placement import ZERO_SIZE
from runcourse.core.preemption import MIN_RUNTIME_S
from runcourse.core.task_placement import OVERDUE_START_FRACTION
from runcourse.core.work import Work


def waiting(share: ShareNo, image: str, number: int, **changes: Any) -> Work:
    job = Job(spec(f"j-{number:06d}", tasks=20, image=image, **changes), 1)  # type: ignore[arg-type]
    work = Work(job, share)
    work.pending = {n: None for n in reversed(range(20))}
    return work


def test_in_a_shortage_a_task_leaves_machines_to_those_whose_image_is_there() -> None:
    node, machine = owner_of_some(ready(machines=12))
    scheduler, share = node.scheduler, machine.share
    machines = list(node.fleet.of_share(share.number))[:4]
    assert len(machines) == 4
    for number, m in enumerate(machines):
        for image in ("a", "b") if number < 2 else ("c", "d"):
            m.images[image] = 1.0
    works = [waiting(share.number, image, n, deadline_s=10.0 + n) for n, image in enumerate("cdab")]
    plenty = scheduler.image_supply.plentiful(share, works, lambda: machines, machines)
    assert plenty == {"a", "b", "c", "d"}
    scheduler.image_supply._held.clear()
    assert not scheduler.image_supply.plentiful(share, [], lambda: machines, machines)
    # One task's room on a machine that holds a and b: neither the first nor the second takes it.
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


def test_with_nobody_else_a_task_takes_a_machine_without_its_image() -> None:
    node, machine = owner_of_some(ready(machines=12))
    scheduler, share = node.scheduler, machine.share
    work = waiting(share.number, "c", 1)
    work.job.submitted = node.context.now
    scheduler.enqueue(work)
    for m in node.fleet.of_share(share.number):
        m.images["a"] = 1.0
    scheduler._run_turn(share)
    assert len(work.pending) < 20


def test_shares_that_are_all_short_yield_to_the_one_that_asks_for_most() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    node = next(n for n in world.nodes.values() if n is not None)
    much = node.shares.of_team("team-1")  # type: ignore[arg-type]
    for number, (team, tasks) in enumerate((("team-0", 80), ("team-1", 300), ("team-2", 80))):
        world.submit(spec(f"j-00080{number}", tasks=tasks, team=team, estimate_s=3.0))

    def machines(share: int) -> int:
        return sum(
            1
            for key, (value, _, _) in world.state.data.items()
            if key.startswith("rc/machine/") and value.get("share") == share
        )

    before = machines(much)
    world.run(25.0)
    for uid in ("j-000800", "j-000802"):
        assert world.poll(uid) == "running", "none of them was without work"
    assert machines(much) >= before + 2
    assert all(machines(s) >= 1 for s in range(3)) and not world.violations


def test_overdue_work_begins_first_and_then_has_a_part_of_the_starts() -> None:
    """All of it first made whatever came meanwhile overdue in its turn."""
    node, machine = owner_of_some(ready(machines=12))
    scheduler, share = node.scheduler, machine.share
    old = waiting(share.number, "img", 1, deadline_s=20.0)
    new = waiting(share.number, "img", 2, deadline_s=500.0)
    old.job.submitted = node.context.now - OVERDUE_AFTER_S - 1.0  # type: ignore[assignment]
    new.job.submitted = node.context.now
    started = 0
    for _ in range(15):
        for m in node.fleet.of_share(share.number):
            for placement in list(m.placements.values()):
                node.fleet.placements.remove(placement, "done")
        scheduler.enqueue(old)
        scheduler.enqueue(new)
        old.unstored_done_bits = new.unstored_done_bits = 0
        old.pending.update({n: None for n in range(20)})
        new.pending.update({n: None for n in range(20)})
        before = len(old.pending)
        scheduler._run_turn(share)
        assert any(old.zones.values()), "its first task goes first"
        started += before - len(old.pending)
        total = sum(len(m.placements) for m in node.fleet.of_share(share.number))
        assert total >= 4
    assert 15 <= started <= 15 * (1 + total * OVERDUE_START_FRACTION * 2)


def test_what_is_started_is_not_stopped_for_its_equal_in_the_same_breath() -> None:
    """An array left machines without its image to others, and stopped them for it at once: they
    were started again, and so on, forty times a second."""
    node, machine = owner_of_some(ready(machines=12))
    scheduler, share = node.scheduler, machine.share
    borrower = waiting(share.number, "img", 1, team="team-3")
    claimant = waiting(share.number, "img", 2, team="team-0")
    replica = waiting(share.number, "img", 3, team="team-0", service=True, rank=0)
    borrower.job.submitted = node.context.now
    scheduler.enqueue(borrower)
    for m in node.fleet.of_share(share.number):  # beyond its guarantee of 4 CPUs
        for _ in range(2):
            number = next(iter(borrower.pending))
            node.fleet.placements.place(borrower.job, number, m, share.next_attempt())

    def stoppable(job: Job) -> bool:
        return scheduler.preemption.find_victims(job, machine, True, {}) is not None

    assert not stoppable(claimant.job)
    assert stoppable(replica.job), "a higher rank need not wait"
    node.context.now = Instant(node.context.now + MIN_RUNTIME_S + 0.1)
    assert stoppable(claimant.job)
    borrower.job.submitted = node.context.now - OVERDUE_AFTER_S - 1.0
    assert not stoppable(claimant.job), "overdue work that has begun at last goes on"
