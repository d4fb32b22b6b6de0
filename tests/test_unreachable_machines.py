"""Machines reachable in one direction only, nodes isolated with their workers, and the jobs known
meanwhile."""

import pytest
from failing_parts import CLUSTER_SIZES, owner_of, replacement_delay_s
from test_failure_regressions import started_world
from world import CANCEL_S, World, spec

from runcourse.core import types as t
from runcourse.core.ids import Instant, TaskId
from runcourse.core.jobs import job_value


@CLUSTER_SIZES
def test_all_jobs_are_known_after_all_nodes_restart(members: tuple[str, ...]) -> None:
    world = World(members=members)
    world.run(4.0)
    for n in range(3000):
        job = spec(f"j-{n:06d}", tasks=1, team=f"team-{n % 4}")
        world.specs[job.uid] = job
        world.state.epoch += 1
        world.finished.add(TaskId(job.uid, 0))  # type: ignore[arg-type]
        value = job_value(job, "done" if n % 3 else "cancelled")
        world.state.data["rc/job/" + job.uid] = (value, world.state.epoch, None)
    for member in members:
        world.crash(member)
        world.after(0.5, lambda m=member: world.start(m))  # type: ignore[misc]
    world.run(6.0)
    sampled = [f"j-{n:06d}" for n in range(0, 3000, 299)]
    for member in members:
        assert all(world.poll(uid, member) in ("done", "cancelled") for uid in sampled)
    assert not world.violations


def test_refusals_due_to_lost_contact_end_with_the_outage() -> None:
    world = started_world()
    for n in range(6):
        world.submit(spec(f"j-00010{n}", service=True, tasks=1, team=f"team-{n % 4}"))
    world.state.outage(True)
    world.run(14.0)
    assert world.poll("j-000100") == "?", "no job state can be answered in an outage"
    world.state.outage(False)
    world.run(3.0)
    for member in world.members:
        assert all(world.poll(f"j-00010{n}", member) != "?" for n in range(6))
    assert world.cancel("j-000100") == "cancelled" and not world.violations


def test_large_jobs_start_despite_a_steady_stream_of_small_urgent_jobs() -> None:
    world = World(machines=5, cpus_max=100.0)
    world.run(4.0)
    # team-0 and team-3 are in the same share. The stream alone would fill the share, and the
    # running tasks of team-0 use up its guarantee.
    world.submit(spec("j-000199", tasks=2, team="team-0", service=True))
    world.run(3.0)
    world.submit(spec("j-000200", tasks=30, team="team-0", rank=2, estimate_s=3.0, deadline_s=20.0))
    world.submit(spec("j-000201", tasks=4, team="team-0", rank=2, service=True))
    started_at: dict[str, float] = {}
    number = 300
    while world.now < 250.0:
        for _ in range(3):
            number += 1
            job = spec(
                f"j-{number:06d}", tasks=2, team="team-3", rank=1, estimate_s=2.0, deadline_s=30.0
            )
            world.specs[job.uid] = job
            world.ask("user", "n0", t.Submit(0, job.uid, job), lambda answer: None)
        world.run(1.0)
        for _, task, _ in world.starts[-40:]:
            started_at.setdefault(str(task.job), world.now)
    assert started_at["j-000200"] < 240.0 and started_at["j-000201"] < 240.0
    assert not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("restarts", [False, True], ids=["plain", "owner restarts"])
def test_unreachable_machine_is_replaced(members: tuple[str, ...], restarts: bool) -> None:
    # The worker chooses the next node at random, so its lease sometimes ends first.
    durations_s = sorted(replacement_delay_s(members, restarts, seed) for seed in range(1, 6))
    assert durations_s[2] < 10.0 and durations_s[-1] < 14.0


def test_tasks_on_unreachable_machines_count_against_limits_and_are_cancelled_in_time() -> None:
    world = started_world(machines=3, cpus_max=4.0)
    world.submit(spec("j-000410", service=True, tasks=2))
    world.until(lambda: len(world.on_machines()) == 2, 10)
    for worker in world.workers.values():
        world.inbound_cut.add(worker.id)
    world.cancel("j-000410")
    world.submit(spec("j-000411", service=True, tasks=2))
    world.run(CANCEL_S + 10.0)
    assert not world.violations, (
        "tasks that may still run exceed no limit, and none runs after the cancellation time"
    )


def test_machine_is_used_again_once_it_is_reached() -> None:
    world = started_world(machines=1, lease_s=12.0)
    node, machine = owner_of(world, next(iter(world.workers)))
    world.inbound_cut.add(machine.id)
    node.fleet.commands.suspect(machine)
    world.run(0.9)
    assert node.fleet.silent_s(machine) < 1.3
    assert not node.fleet.usable(machine), "a report does not show that the machine can be reached"
    world.inbound_cut.clear()
    world.until(lambda: node.fleet.usable(machine), 8)
    world.submit(spec("j-000420", tasks=1))
    world.until(lambda: world.poll("j-000420") == "done", 15)


def test_reports_of_an_unreachable_machine_are_refused_so_its_lease_ends() -> None:
    world = started_world(machines=1)
    node, machine = owner_of(world, next(iter(world.workers)))
    report = t.Report(
        machine.id,
        machine.addr,
        "m4",
        machine.record.zone,
        False,
        machine.session,
        machine.seq + 1,
        machine.token_seen,
        None,
        (),
    )

    def answer_status(seq: int) -> int:
        effects = node.handle(node.context.now, t.ReportReceived(1, report._replace(seq=seq)))
        return next(e.status for e in effects if isinstance(e, t.ReportAnswer))

    world.run(3.0)
    report = report._replace(seq=machine.seq + 1)
    node.fleet.commands.suspect(machine)
    assert answer_status(report.seq) == 200, "reports are answered for a while"
    machine.suspected_at = Instant(node.context.now - node.fleet.silence_limit_s() - 0.1)
    last_answer_at = machine.last_answer_at
    assert answer_status(report.seq + 1) == 503 and machine.last_answer_at == last_answer_at


def test_orders_in_an_answer_that_leave_no_trace_make_the_machine_suspected() -> None:
    world = started_world(machines=1)
    node, machine = owner_of(world, next(iter(world.workers)))
    world.run(2.0)
    assert node.fleet.usable(machine)
    world.inbound_cut.add(machine.id)
    world.submit(spec("j-000430", tasks=1))
    world.until(lambda: machine.suspected, 6)


@CLUSTER_SIZES
def test_node_isolated_with_its_workers_stops_and_recovers(members: tuple[str, ...]) -> None:
    world = World(machines=5, members=members, lease_s=10.0)
    world.run(4.0)
    for n in range(4):
        world.submit(spec(f"j-00060{n}", service=True, tasks=1, team=f"team-{n}"), members[-1])
    world.until(lambda: len(world.on_machines()) == 4, 20)
    world.run(8.0)
    for other in (*members[1:], "state"):
        world.cut_links.add(frozenset(("n0", other)))
    node = world.nodes["n0"]
    assert node is not None
    shares = set(node.shares.owned)
    assert shares
    world.run(node.authority.ttl + node.authority.grant_s + 0.5)
    assert not node.authority.may_act()
    health = [e for e in node.handle(world.now, t.Health(1)) if isinstance(e, t.UserAnswer)]
    assert health[0].status == 503, "the other nodes can be assumed to serve"
    other = world.nodes[members[1]]
    assert other is not None
    world.until(lambda: all(other.shares.live_owner(s) not in (None, "n0") for s in shares), 10)
    world.run(12.0)
    assert len(world.on_machines()) == 4
    world.cut_links.clear()
    world.run(20.0)
    assert world.nodes["n0"].shares.owned, "its share is handed back"  # type: ignore[union-attr]
    assert len(world.on_machines()) == 4 and not world.violations
