"""Guards that end-to-end scenarios rarely reach; each test fails if its guard is removed."""

from typing import Any

from test_failure_regressions import bare_machine, started_world
from world import World, spec

from runcourse.core import types as t
from runcourse.core.ids import Attempt, Incarnation, Instant, Session, ShareNo, TaskId
from runcourse.core.jobs import Job, Jobs, job_value
from runcourse.core.machine import Machine, Placement
from runcourse.core.node import Node
from runcourse.core.work import Work, permits
from runcourse.wire.peer_messages import GrantRequest, GrantResponse


def placements_in_share(node: Node, share: ShareNo) -> list[Placement]:
    """Returns all placements on the machines of a share."""
    return [p for m in node.fleet.of_share(share) for p in m.placements.values()]


def owner_and_machine(world: World) -> tuple[Node, Machine]:
    """Returns the first node that has machines, and its first machine."""
    node = next(n for n in world.nodes.values() if n is not None and n.fleet.machines)
    return node, next(iter(node.fleet.machines.values()))


def report_of(machine: Machine, session: int, seq: int, *tasks: t.TaskReport) -> t.Report:
    """Returns a report of the machine under its present token."""
    return t.Report(
        machine.id,
        machine.addr,
        "m4",
        machine.record.zone,
        False,
        Session(session),
        seq,
        machine.token,
        None,
        tasks,
    )


def test_older_report_changes_nothing() -> None:
    node, machine = owner_and_machine(started_world())
    task = TaskId(spec("j-000001").uid, 0)  # type: ignore[arg-type]
    running = t.TaskReport(task, Attempt(7), "running")
    assert node.fleet.reports.apply(report_of(machine, machine.session, machine.seq + 5, running))
    assert task in node.fleet.placements.by_task
    assert not node.fleet.reports.apply(report_of(machine, machine.session, machine.seq - 1))
    assert not node.fleet.reports.apply(report_of(machine, machine.session - 1, 999))
    assert task in node.fleet.placements.by_task


def test_order_with_an_unknown_outcome_raises_the_token() -> None:
    node, machine = owner_and_machine(started_world())
    job = Job(spec("j-000002"), 1)  # type: ignore[arg-type]
    node.fleet.placements.place(job, 0, machine, machine.share.next_attempt())
    before = machine.token
    node.fleet.commands.push()
    command = next(e for e in node.context.effects if isinstance(e, t.Command))
    node.handle(node.context.now, t.Outcome(command.tag, 0, None, sent=True))
    assert machine.token > before and machine.suspected and machine.suspect_token == machine.token
    token_before_unsent = machine.token
    machine.next_command_at = node.context.now
    node.fleet.commands._dirty[machine.id] = None
    node.fleet.commands.push()
    command = next(e for e in reversed(node.context.effects) if isinstance(e, t.Command))
    node.handle(node.context.now, t.Outcome(command.tag, 0, None, sent=False))
    assert machine.token == token_before_unsent, "an order that was never sent needs no fence"


def test_finished_attempt_is_forgotten_only_once_the_finish_is_stored() -> None:
    node, machine = owner_and_machine(started_world())
    job = node.jobs.apply_job(
        "j-000003",
        job_value(spec("j-000003"), "accepted"),
        9,  # type: ignore[arg-type]
        0.0,
    )
    placement = Placement(TaskId(job.uid, 1), Attempt(1), machine, job, Instant(0.0))
    placement.stage, placement.cause, placement.seen = "ended", "done", True
    machine.placements[(placement.task, placement.attempt)] = placement
    assert not node.fleet.commands.orders(machine, answering=True)
    job.add_done(0b10)
    assert [o.op for o in node.fleet.commands.orders(machine, answering=True)] == ["forget"]


def test_final_stage_is_kept_whatever_update_arrives() -> None:
    jobs = Jobs()
    uid: Any = "j-000004"
    jobs.apply_job(uid, job_value(spec(uid), "accepted"), 1, 0.0)  # type: ignore[arg-type]
    jobs.apply_job(uid, job_value(spec(uid), "cancelled"), 2, 0.0)  # type: ignore[arg-type]
    jobs.apply_job(uid, job_value(spec(uid), "accepted"), 1, 0.0)  # type: ignore[arg-type]
    assert jobs.get(uid).stage == "cancelled"  # type: ignore[union-attr]


def test_only_spot_jobs_are_permitted_on_spot_machines() -> None:
    machine = bare_machine()
    machine.record = machine.record._replace(spot=True)
    ordinary = Job(spec("j-000005"), 1)  # type: ignore[arg-type]
    spot_job = Job(spec("j-000006", spot=True), 1)  # type: ignore[arg-type]
    other_zone = Job(spec("j-000007", spot=True, zone="b"), 1)  # type: ignore[arg-type]
    other_type = Job(spec("j-000008", spot=True, types=("x9",)), 1)  # type: ignore[arg-type]
    assert not permits(ordinary, machine)
    assert permits(spot_job, machine)
    assert not permits(other_zone, machine)
    assert not permits(other_type, machine)


def test_node_without_state_service_and_peers_stops_though_workers_reach_it() -> None:
    """No peer grants the node time, and another node may have taken over its shares."""
    world = started_world()
    for other in ("state", "n1", "n2"):
        world.cut_links.add(frozenset(("n0", other)))
    world.run(6.0)
    node = world.nodes["n0"]
    assert node is not None and not node.authority.may_act()
    answers = []
    for machine in list(node.fleet.machines.values()):
        world.ask(machine.id, "n0", t.ReportReceived(0, report_of(machine, 9, 1)), answers.append)
    world.run(0.2)
    assert all(a.status == 503 for a in answers)


def test_unlocated_tasks_count_against_the_team_limit() -> None:
    world = World(machines=9, cpus_max=2.0)
    world.run(4.0)
    world.submit(spec("j-000009", tasks=2, service=True, cpus=1.0))
    world.until(lambda: len(world.on_machines()) == 2, 10)
    node = next(n for n in world.nodes.values() if n is not None and n.scheduler.work)
    owned_share = next(
        h for h in node.shares.owned.values() if h.number == node.shares.of_team("team-0")
    )  # type: ignore[arg-type]
    # As after a takeover: no task is located yet.
    owned_share.settled = False
    unsettled = list(node.fleet.of_share(owned_share.number))[-1]
    unsettled.unsettle()
    work = next(iter(node.scheduler.work.values()))
    work.pending = {1: None, 0: None}
    node.scheduler.enqueue(work)
    work.job.accepted = owned_share.epoch
    later = Job(spec("j-000010", tasks=1, cpus=1.0), owned_share.epoch + 1)  # type: ignore[arg-type]
    for placement in placements_in_share(node, owned_share.number):
        node.quota.remove(placement)
    assert node.quota.allows(later), "the located tasks alone would leave room"
    later_work = Work(later, owned_share.number)
    later_work.pending = {0: None}
    node.scheduler.enqueue(later_work)
    node.scheduler._run_turn(owned_share)
    assert TaskId(later.uid, 0) not in node.fleet.placements.by_task
    # A machine that can't hold such tasks counts for none of them.
    unsettled.record = unsettled.record._replace(spot=True)
    unlocated_tasks = node.scheduler.unlocated
    assert not unlocated_tasks.by_team(
        owned_share, unlocated_tasks.unsettled_representatives(owned_share)
    )
    owned_share.settled = unsettled.settled = True
    work.pending = {}
    node.scheduler._run_turn(owned_share)
    assert TaskId(later.uid, 0) in node.fleet.placements.by_task, [
        (m.id, m.room, node.fleet.usable(m), node.scheduler.work[later.uid].wait_reason)
        for m in node.fleet.of_share(owned_share.number)
    ]


def test_unlocated_tasks_of_a_cancelled_job_count_against_the_team_limit() -> None:
    """Tasks of a cancelled job kept running on machines that the new owner had not examined yet,
    and the job's team could use its whole limit in addition."""
    world = World(machines=9, cpus_max=8.0)
    world.run(4.0)
    world.submit(spec("j-000011", tasks=3, service=True))
    world.until(lambda: len(world.on_machines()) == 3, 10)
    node = next(n for n in world.nodes.values() if n is not None and n.scheduler.work)
    number = node.shares.of_team("team-0")  # type: ignore[arg-type]
    owned_share = node.shares.owned[number]
    for placement in placements_in_share(node, number):
        node.fleet.placements.remove(placement, "share lost")
    owned_share.settled = False
    unsettled = list(node.fleet.of_share(number))[:2]
    for machine in unsettled:
        machine.unsettle()
    job = node.jobs.get("j-000011")  # type: ignore[arg-type]
    assert job is not None
    job.accepted = owned_share.epoch
    job.stage = "cancelled"
    node.scheduler.job_changed(job)

    unlocated_tasks = node.scheduler.unlocated

    def unlocated_cpus() -> float:
        found = unlocated_tasks.by_team(
            owned_share, unlocated_tasks.unsettled_representatives(owned_share)
        )
        return found["team-0"].cpus if found else 0.0  # type: ignore[index]

    assert unlocated_cpus() == 6.0
    unsettled[0].settled = True
    assert unlocated_cpus() == 4.0, "no more than the other machine holds"
    node.context.now = Instant(node.context.now + 21.0)
    node.scheduler.tick()
    assert unlocated_cpus() == 0.0, "by then the cancelled tasks have ended"


def test_single_store_failure_amid_successes_is_no_reason_to_grant() -> None:
    node = owner_and_machine(started_world())[0]
    other = next(m for m in node.context.members if m != node.context.me)
    incarnation = node.authority.live_incarnation(other)

    def grants_time() -> bool:
        effects = node.handle(
            node.context.now,
            t.PeerMessageReceived(
                other, GrantRequest(Incarnation(str(incarnation)), 1, node.store.applied)
            ),
        )
        return any(
            isinstance(e, t.SendToPeer) and isinstance(e.message, GrantResponse) and e.message.ok
            for e in effects
        )

    node.store.failing = True
    node.store.failed_at = node.context.now
    node.store.last_contact = Instant(node.context.now - 0.5)
    assert not grants_time()
    node.store.last_contact = Instant(node.context.now - 1.5)
    assert grants_time()
    # A failure from before this process was paused is no reason either.
    node.store.failed_at = Instant(node.context.now - 5.0)
    assert not grants_time()
