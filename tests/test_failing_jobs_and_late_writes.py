"""Combined failures: late writes, quorum grants with cancellations, and failing jobs among faulty
machines."""

from typing import Any

import pytest
from test_failure_regressions import started_world
from test_safety_checks import owner_and_machine
from world import CANCEL_S, FIVE_MEMBERS, MEMBERS, World, spec

from runcourse.core import types as t
from runcourse.core.ids import Instant, JobId, Stamp
from runcourse.core.jobs import PAGE_BITS, Job
from runcourse.core.machines import MAX_LISTED_TASKS
from runcourse.wire.codec import encode
from runcourse.wire.messages import commands


def test_late_page_write_does_not_overwrite_a_newer_one() -> None:
    """An unanswered flush reaches the state service after a newer flush of the same owner."""
    world = World(machines=3)
    world.run(4.0)
    world.submit(spec("j-000001", tasks=24, estimate_s=60.0))
    world.run(2.0)
    member = owner_of_job(world, "j-000001")
    node = world.nodes[member]
    assert node is not None
    work = node.scheduler.work[JobId("j-000001")]

    def flush(bits: int) -> t.Commit:
        work.unstored_done_bits |= bits
        node.scheduler.finishes.store_finished(work, complete=False)
        node.store._flush()
        commit = next(e for e in node.context.effects if isinstance(e, t.Commit))
        node.context.effects.clear()
        return commit

    first, newer = flush(1), flush(2)
    assert world.state.serve(member, newer)[0] == 200
    assert world.state.serve(member, first)[0] == 409
    assert world.state.data["rc/done/j-000001/0"][0] == {"bits": "3"}


def test_last_finish_of_a_job_marks_every_task_done() -> None:
    world = World(machines=3)
    world.run(4.0)
    world.submit(spec("j-000002", tasks=1, estimate_s=1.0))
    world.until(lambda: world.poll("j-000002") == "done", 30)
    assert not [key for key in world.state.data if key.startswith("rc/done/j-000002")]
    assert PAGE_BITS > 1 and not world.violations


@pytest.mark.parametrize("members", [MEMBERS, FIVE_MEMBERS])
def test_grant_holder_learns_of_cancellations_made_meanwhile(members: tuple[str, ...]) -> None:
    """The state service first refuses the owner alone, which also can't reach the node that accepts
    a cancellation. Then it refuses all nodes, and peers that have read the cancellation grant the
    owner time for longer than a cancellation may take."""
    world = World(machines=6, members=members, cpus_max=100.0)
    world.run(4.0)
    world.submit(spec("j-000003", tasks=2, team="team-1", estimate_s=500.0))
    world.until(lambda: world.poll("j-000003") == "running", 20)
    owner = owner_of_job(world, "j-000003")
    accepting_node = next(m for m in members if m != owner)
    world.cut_links.add(frozenset((owner, accepting_node)))
    world.state.refused_members.add(owner)
    world.run(0.2)
    assert world.cancel("j-000003", accepting_node) == "cancelled"
    world.run(0.4)
    world.state.outage(True)
    world.run(CANCEL_S + 5.0)
    assert not world.violations
    assert not world.on_machines()


def owner_of_job(world: World, uid: str) -> str:
    """Returns the name of the node that schedules the job."""
    return next(m for m, n in world.nodes.items() if n is not None and uid in n.scheduler.work)  # type: ignore[comparison-overlap]


def test_failing_job_quarantines_no_machine_and_holds_no_room() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    for n in range(4):
        uid = f"j-00010{n}"
        world.failing_jobs.add(uid)
        assert world.submit(spec(uid, tasks=8, team=f"team-{n}", image="bad")) == 201
    world.run(10.0)
    nodes = [n for n in world.nodes.values() if n is not None]
    assert all(
        n.context.now >= m.quarantined_until for n in nodes for m in n.fleet.machines.values()
    )
    for node in nodes:
        for work in node.scheduler.work.values():
            assert work.fails_everywhere and work.wait_reason == "fails wherever it starts"
        assert not any(node.scheduler.unmet.values()), "no machine is hired for these jobs"
    starts_before = len(world.starts)
    world.run(30.0)
    assert len(world.starts) - starts_before <= 4 * 5, "one task at a time, with increasing backoff"
    # Other jobs get the room at once.
    world.submit(spec("j-000110", tasks=9, team="team-0", estimate_s=1.0))
    world.until(lambda: world.poll("j-000110") == "done", 8)
    for n in range(4):
        assert world.cancel(f"j-00010{n}") == "cancelled"
    starts_before = len(world.starts)
    world.run(60.0)
    assert len(world.starts) == starts_before and not world.violations


def test_faulty_machine_is_identified_among_failing_jobs() -> None:
    world = World(machines=6, cpus_max=100.0)
    world.run(4.0)
    faulty = world.workers["i-000002"]
    faulty.fails_tasks = True
    for n in range(3):
        world.failing_jobs.add(f"j-00020{n}")
        world.submit(spec(f"j-00020{n}", tasks=4, team=f"team-{n}"))
    for n in range(4):
        world.submit(spec(f"j-00021{n}", tasks=12, team=f"team-{n}", estimate_s=1.0))
    world.run(25.0)
    quarantined = {
        m.id
        for node in world.nodes.values()
        if node is not None
        for m in node.fleet.machines.values()
        if node.context.now < m.quarantined_until
    }
    assert quarantined == {"i-000002"}
    for n in range(4):
        assert world.poll(f"j-00021{n}") == "done"
    assert not world.violations


def fail_tasks_on_machines(world: World, uid: str, machines: int) -> Any:
    """Reports one failed task of the job on each of so many machines; returns the job's work."""
    node = world.nodes[owner_of_job(world, uid)]
    assert node is not None
    work = node.scheduler.work[uid]  # type: ignore[index]
    failures_by_machine: dict[str, t.TaskReport] = {}
    for machine in node.fleet.of_share(work.share):
        for placement in list(machine.placements.values()):
            if (
                placement.task.job == uid
                and machine.id not in failures_by_machine
                and len(failures_by_machine) < machines
            ):
                failed = t.TaskReport(placement.task, placement.attempt, "ended", "error")
                failures_by_machine[machine.id] = failed
                node.fleet.placements.update(machine, failed, node.jobs.get(failed.task.job))
    assert len(failures_by_machine) == machines
    return work


def test_chance_failures_do_not_mark_a_job_as_failing() -> None:
    world = World(machines=30, cpus_max=100.0)
    world.run(4.0)
    world.submit(spec("j-000300", tasks=10, estimate_s=60.0))
    world.run(8.0)
    work = fail_tasks_on_machines(world, "j-000300", 2)
    assert not work.fails_everywhere
    node = world.nodes[owner_of_job(world, "j-000300")]
    assert node is not None
    # Most tasks of the job have run for longer than those that failed soon after their start.
    work.max_time_to_failure_s = 1.0
    work.failure_counts.update({"i-1": 1, "i-2": 1})  # type: ignore[dict-item]
    machine = next(m for m in node.fleet.of_share(work.share) if m.placements)
    placement = next(p for p in machine.placements.values() if p.active)
    placement.ran_since = Instant(node.context.now - 0.5)
    node.scheduler.failures.record_failure(work, placement)
    assert not work.fails_everywhere


def test_job_marked_as_failing_resumes_after_one_task_succeeds() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    world.failing_jobs.add("j-000400")
    world.submit(spec("j-000400", tasks=6, estimate_s=3.0))
    world.run(6.0)
    node = world.nodes[owner_of_job(world, "j-000400")]
    assert node is not None and node.scheduler.work["j-000400"].fails_everywhere  # type: ignore[index]
    world.failing_jobs.clear()
    world.until(lambda: world.poll("j-000400") == "done", 40)
    assert not world.violations


def test_many_short_tasks_do_not_cause_one_hire_each() -> None:
    node = owner_and_machine(started_world(machines=6))[0]
    needing_machines = node.scheduler.tasks_needing_machines
    short = Job(spec("j-000500", tasks=25_000, estimate_s=4.0), Stamp(1))
    assert needing_machines(short, 25_000) == 1667 and needing_machines(short, 1) == 1
    assert needing_machines(Job(spec("j-000501", estimate_s=200.0), Stamp(1)), 70) == 70
    assert (
        needing_machines(Job(spec("j-000502", estimate_s=4.0, deadline_s=30.0), Stamp(1)), 70) == 70
    )
    assert needing_machines(Job(spec("j-000503", service=True), Stamp(1)), 7) == 7


def test_machine_with_too_many_tasks_gets_no_more_and_fewer_commands() -> None:
    world = World(machines=6, cpus_max=1000.0)
    world.run(4.0)
    node, machine = owner_and_machine(world)
    job = Job(spec("j-000510", tasks=2000, cpus=0.01, memory=0.01), Stamp(1))
    for n in range(MAX_LISTED_TASKS):
        node.fleet.placements.place(job, n, machine, machine.share.next_attempt())
    assert not node.fleet.usable(machine)
    assert (
        len(
            encode(
                commands(
                    machine.token,
                    machine.session,
                    node.fleet.commands.orders(machine, answering=False),
                )
            )
        )
        < 48 * 1024
    )
    node.fleet.commands.delay_next_command(machine)
    assert machine.next_command_at >= node.context.now + 1.0
    uncrowded = next(m for m in node.fleet.machines.values() if m is not machine)
    node.fleet.commands.delay_next_command(uncrowded)
    assert uncrowded.next_command_at <= node.context.now


def test_flood_from_one_team_leaves_room_for_submissions_of_others() -> None:
    node = owner_and_machine(started_world())[0]
    refused_of_flood = refused_of_others = 0
    for n in range(400):
        team, request = ("team-1", 10_000) if n % 20 == 19 else ("team-0", 0)
        job = spec(f"j-{n + 600:06d}", team=team)
        for effect in node.handle(node.context.now, t.Submit(request + n, job.uid, job)):
            if isinstance(effect, t.UserAnswer):
                assert effect.status == 429 and effect.retry_after
                if effect.request < 10_000:
                    refused_of_flood += 1
                else:
                    refused_of_others += 1
    assert refused_of_flood > 200 and refused_of_others == 0
