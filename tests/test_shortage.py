"""When more waits than there is room for: images, shares and overdue work."""

from typing import Any

from test_failures import ready
from test_guards import owner_of_some
from world import World, spec

from runcourse.core.ids import ShareNo
from runcourse.core.jobs import Job
from runcourse.core.placement import NOTHING
from runcourse.core.scheduler import AGED_PART, AGED_S, Work


def waiting(share: ShareNo, image: str, number: int, **changes: Any) -> Work:
    job = Job(spec(f"j-{number:06d}", tasks=20, image=image, **changes), 1)  # type: ignore[arg-type]
    work = Work(job, share)
    work.pending = {n: None for n in reversed(range(20))}
    return work


def test_in_a_shortage_a_task_leaves_machines_to_those_whose_image_is_there() -> None:
    node, machine = owner_of_some(ready(machines=12))
    scheduler, share = node.scheduler, machine.share
    machines = node.fleet.of_share(share.number)[:4]
    assert len(machines) == 4
    for number, m in enumerate(machines):
        for image in ("a", "b") if number < 2 else ("c", "d"):
            m.images[image] = 1.0
    works = [waiting(share.number, image, n, deadline_s=10.0 + n)
             for n, image in enumerate("cdab")]
    plenty = scheduler._plentiful(share, works, machines, machines)
    assert plenty == {"a", "b", "c", "d"}
    scheduler._held.clear()
    assert not scheduler._plentiful(share, [], machines, machines)
    # One task's room on a machine that holds a and b: neither the first nor the second takes it.
    for m in node.fleet.of_share(share.number):
        if m is not machines[0]:
            m.room = NOTHING
    for work in works:
        work.job.submitted = node.cx.now
        scheduler.work[work.job.uid] = work
    scheduler._held[share.number] = (node.cx.now, dict.fromkeys("abcd", 12.0))
    share.settled = True
    scheduler._turn(share)
    placed = {p.job.spec.image for p in machines[0].placements.values() if p.job is not None}
    assert placed == {"a"}


def test_with_nobody_else_a_task_takes_a_machine_without_its_image() -> None:
    node, machine = owner_of_some(ready(machines=12))
    scheduler, share = node.scheduler, machine.share
    work = waiting(share.number, "c", 1)
    work.job.submitted = node.cx.now
    scheduler.work[work.job.uid] = work
    for m in node.fleet.of_share(share.number):
        m.images["a"] = 1.0
    scheduler._turn(share)
    assert len(work.pending) < 20


def test_shares_that_are_all_short_yield_to_the_one_that_asks_for_most() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    node = next(n for n in world.nodes.values() if n is not None)
    much, number = node.shares.of_team("team-1"), 900  # type: ignore[arg-type]
    world.submit(spec("j-000800", tasks=300, team="team-1", estimate_s=3.0))

    def machines(share: int) -> int:
        return sum(1 for key, (value, _, _) in world.state.data.items()
                   if key.startswith("rc/machine/") and value.get("share") == share)

    before = machines(much)
    for _ in range(30):
        for team in ("team-0", "team-2"):
            number += 1
            job = spec(f"j-{number:06d}", tasks=4, team=team, estimate_s=2.0)
            world.submit(job)
        world.run(1.0)
    assert machines(much) > before
    assert all(machines(s) >= 1 for s in range(3)) and not world.broken


def test_overdue_work_begins_first_and_then_has_a_part_of_the_starts() -> None:
    """All of it first made whatever came meanwhile overdue in its turn."""
    node, machine = owner_of_some(ready(machines=12))
    scheduler, share = node.scheduler, machine.share
    old = waiting(share.number, "img", 1, deadline_s=20.0)
    new = waiting(share.number, "img", 2, deadline_s=500.0)
    old.job.submitted = node.cx.now - AGED_S - 1.0  # type: ignore[assignment]
    new.job.submitted = node.cx.now
    scheduler.work = {w.job.uid: w for w in (old, new)}
    started = 0
    for _ in range(15):
        for m in node.fleet.of_share(share.number):
            for placement in list(m.placements.values()):
                node.fleet._remove(placement, "done")
        scheduler.work = {w.job.uid: w for w in (old, new)}
        old.finished = new.finished = 0
        old.pending.update({n: None for n in range(20)})
        new.pending.update({n: None for n in range(20)})
        before = len(old.pending)
        scheduler._turn(share)
        assert any(old.zones.values()), "its first task goes first"
        started += before - len(old.pending)
        total = sum(len(m.placements) for m in node.fleet.of_share(share.number))
        assert total >= 4
    assert 15 <= started <= 15 * (1 + total * AGED_PART * 2)
